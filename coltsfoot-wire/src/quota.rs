//! Grants of a customer's tokens, from the owner of a zone bucket to those who hold them.
//!
//! Reports and grants carry cumulative counters of a session, so that lost, doubled or reordered
//! messages neither lose nor double tokens.

use std::time;

use coltsfoot_types::{id, name};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A message about a customer's tokens.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum QuotaMessage {
    /// From a holder to the owner of a zone bucket.
    Report(GrantReport),
    /// From the owner of a zone bucket to a holder.
    Grant(GrantUpdate),
    /// From the former owner of a zone bucket to its successor.
    Handover(BucketHandover),
    /// How far the sender has folded the configuration log.
    Applied(AppliedOffset),
}

/// Who holds granted tokens.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum HolderRole {
    /// An instance, which admits requests.
    Instance,
    /// The owner of another zone's bucket, which grants them on.
    Zone,
}

/// State of a holder's session and its demand.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct GrantReport {
    /// The customer.
    pub customer: name::CustomerName,
    /// Zone of the bucket that is asked.
    pub zone: name::ZoneName,
    /// Who asks.
    pub role: HolderRole,
    /// Number of the session, absent until a grant named one.
    pub session: Option<u64>,
    /// Number of the report, rising for each holder.
    pub sequence: u64,
    /// Tokens spent in this session so far.
    pub spent: u64,
    /// Tokens returned unspent in this session so far.
    pub returned: u64,
    /// Tokens that finished requests did not use, since the holder started; not bound to the
    /// session.
    pub refunded: u64,
    /// Milliseconds since the oldest admission whose refund no answered report carried.
    pub refund_age_ms: u32,
    /// Tokens that the holder wants to hold for its demand.
    pub wanted: u64,
    /// Part of them that requests wait for at this moment; only zones say so.
    pub urgent: u64,
    /// Tokens that a zone takes if they would overflow at the owner.
    pub surplus: u64,
    /// Whether the holder waits for an answer.
    pub expects_answer: bool,
    /// Requests that wait for tokens, in order.
    pub requests: SmallVec<[TokenRequest; 1]>,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TokenRequest {
    /// The request.
    pub request: id::RequestId,
    /// Digest of the request's content; it is the same when the caller sends it again.
    pub fingerprint: u64,
    /// Tokens that it is charged with.
    pub tokens: u64,
    /// Milliseconds that it can still wait.
    pub wait_ms: u32,
}

/// State of a session at the owner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct GrantUpdate {
    /// The customer.
    pub customer: name::CustomerName,
    /// Zone of the bucket.
    pub zone: name::ZoneName,
    /// Role of the holder that is answered.
    pub role: HolderRole,
    /// Number of the session.
    pub session: u64,
    /// Number of the update, rising within the session.
    pub number: u64,
    /// Number of the last report that the owner took in.
    pub sequence: u64,
    /// Tokens granted in this session so far, already debited from the bucket.
    pub granted: u64,
    /// Time until unspent tokens expire, measured from when the numbered report was sent.
    pub lifetime: time::Duration,
    /// Tokens per second that the bucket accrues beyond its own zone's demand.
    pub spare_rate: u64,
    /// Whether the bucket is so full that spending should be reported at once.
    pub is_nearly_full: bool,
    /// Requests that the granted tokens are for, where several wait.
    pub served: SmallVec<[id::RequestId; 1]>,
    /// Requests that will not get tokens within their wait.
    pub refusals: SmallVec<[TokenRefusal; 1]>,
}

/// A request that will not get tokens within its wait.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TokenRefusal {
    /// The request.
    pub request: id::RequestId,
    /// Time after which it will get them if it is sent again.
    pub retry_after: time::Duration,
}

/// What the successor of an owner continues with.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct BucketHandover {
    /// The customer.
    pub customer: name::CustomerName,
    /// Zone of the bucket.
    pub zone: name::ZoneName,
    /// Number of the view by which the receiver became owner.
    pub view: id::FencingNumber,
    /// Tokens in the bucket.
    pub level: u64,
    /// Tokens granted and possibly unspent.
    pub outstanding: u64,
}

/// How far an instance has folded the configuration log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AppliedOffset {
    /// Offset up to which the sender has folded.
    pub offset: id::LogOffset,
    /// Offset that the sender knows the receiver to have folded.
    pub seen: id::LogOffset,
}

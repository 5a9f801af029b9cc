//! Grants of a customer's quota tokens from the owner of a zone bucket to the holders.
//!
//! Reports and grants carry cumulative counters of a session, so that lost, duplicated or reordered
//! messages neither lose nor duplicate tokens.

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
    /// How far the sender has applied the configuration log.
    Applied(AppliedOffset),
}

/// Role of a holder of granted tokens.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum HolderRole {
    /// An instance, which admits requests.
    Instance,
    /// The owner of another zone's bucket, which grants the tokens to its own instances.
    Zone,
}

/// State of a holder's session and its demand.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct GrantReport {
    /// The customer.
    pub customer: name::CustomerName,
    /// Zone of the bucket that is asked.
    pub zone: name::ZoneName,
    /// Role of the holder.
    pub role: HolderRole,
    /// Number of the session; `None` until a grant has set it.
    pub session: Option<u64>,
    /// Number of the report, increasing per holder.
    pub sequence: u64,
    /// Tokens spent in this session so far.
    pub spent: u64,
    /// Tokens returned unspent in this session so far.
    pub returned: u64,
    /// Tokens that finished requests did not use, counted since the holder started, across
    /// sessions.
    pub refunded: u64,
    /// Time since the oldest admission whose refund no acknowledged report carried, in
    /// milliseconds.
    pub refund_age_ms: u32,
    /// Tokens that the holder needs to hold for its demand.
    pub wanted: u64,
    /// Part of `wanted` that requests are waiting for now; set only by zones.
    pub urgent: u64,
    /// Tokens that a zone accepts if the owner's bucket would overflow.
    pub surplus: u64,
    /// Whether the holder waits for a response.
    pub expects_answer: bool,
    /// Requests that wait for tokens, in queue order.
    pub requests: SmallVec<[TokenRequest; 1]>,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TokenRequest {
    /// The request.
    pub request: id::RequestId,
    /// Digest of the request's content, the same if the caller resends it.
    pub fingerprint: u64,
    /// Tokens that it is charged.
    pub tokens: u64,
    /// Time that it can still wait, in milliseconds.
    pub wait_ms: u32,
}

/// State of a session at the owner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct GrantUpdate {
    /// The customer.
    pub customer: name::CustomerName,
    /// Zone of the bucket.
    pub zone: name::ZoneName,
    /// Role of the receiving holder.
    pub role: HolderRole,
    /// Number of the session.
    pub session: u64,
    /// Number of the update, increasing within the session.
    pub number: u64,
    /// Number of the last report that the owner processed.
    pub sequence: u64,
    /// Tokens granted in this session so far, already debited from the bucket.
    pub granted: u64,
    /// Time until unspent tokens expire, measured from when report `sequence` was sent.
    pub lifetime: time::Duration,
    /// Tokens per second that the bucket accrues in excess of its own zone's demand.
    pub spare_rate: u64,
    /// Whether the bucket is nearly full, so that spending should be reported at once.
    pub is_nearly_full: bool,
    /// Requests that the granted tokens are for, if several are waiting.
    pub served: SmallVec<[id::RequestId; 1]>,
    /// Requests that will not get tokens in time.
    pub refusals: SmallVec<[TokenRefusal; 1]>,
}

/// A request that will not get tokens in time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct TokenRefusal {
    /// The request.
    pub request: id::RequestId,
    /// Time after which it will get them if it is resent.
    pub retry_after: time::Duration,
}

/// State of a bucket for the successor of its owner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct BucketHandover {
    /// The customer.
    pub customer: name::CustomerName,
    /// Zone of the bucket.
    pub zone: name::ZoneName,
    /// Fencing number of the view that made the receiver the owner.
    pub view: id::FencingNumber,
    /// Tokens in the bucket.
    pub level: u64,
    /// Tokens granted and possibly unspent.
    pub outstanding: u64,
}

/// How far an instance has applied the configuration log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AppliedOffset {
    /// Offset up to which the sender has applied the log.
    pub offset: id::LogOffset,
    /// Offset up to which the receiver has applied the log, as far as the sender knows.
    pub seen: id::LogOffset,
}

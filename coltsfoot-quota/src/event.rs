//! Events and actions of the quota state machines.

use std::time;

use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::quota;
use smallvec::SmallVec;

use crate::limit_history;

/// Recipient of a quota message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaDestination {
    /// An instance by its name.
    Instance(name::InstanceName),
    /// The instance that owns a customer's bucket in a zone.
    Owner {
        /// The customer.
        customer: name::CustomerName,
        /// The zone.
        zone: name::ZoneName,
    },
}

/// An action that the embedding program carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaAction {
    /// Admits a request; its tokens are charged.
    Admit {
        /// The request.
        request: id::RequestId,
    },
    /// Refuses a request; nothing is charged.
    Refuse {
        /// The request.
        request: id::RequestId,
        /// Why.
        reason: refusal::RefusalReason,
        /// Delay before the caller should retry; zero if a retry would not help.
        retry_after: time::Duration,
    },
    /// Sends a message.
    Send {
        /// To whom.
        destination: QuotaDestination,
        /// The message.
        message: quota::QuotaMessage,
    },
}

/// Actions in the order in which they are to be carried out.
pub type QuotaActions = SmallVec<[QuotaAction; 4]>;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub request: id::RequestId,
    /// The customer that is charged.
    pub customer: name::CustomerName,
    /// Tokens of the prompt and of the largest output.
    pub tokens: u64,
    /// Instant after which the caller no longer needs the answer.
    pub deadline: clock::MonotonicTime,
    /// Digest of the API key and the body; the same when the caller retries.
    pub fingerprint: u64,
}

/// Event at an instance that admits requests.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A request asks for admission.
    Admit(AdmissionRequest),
    /// An admitted request has ended.
    Finish {
        /// The request.
        request: id::RequestId,
        /// Tokens charged but not used.
        unused: u64,
    },
    /// The caller gave up on a request that may still wait.
    Cancel {
        /// The request.
        request: id::RequestId,
    },
    /// An owner answered a report.
    Grant {
        /// The owner.
        sender: name::InstanceName,
        /// Its answer.
        update: quota::GrantUpdate,
    },
    /// The limits of a customer changed; absent limits remove the customer.
    Configured {
        /// The customer.
        customer: name::CustomerName,
        /// The newest limits.
        limits: Option<limit_history::CustomerLimits>,
    },
    /// A zone became reachable or unreachable.
    Reachability {
        /// The zone.
        zone: name::ZoneName,
        /// Whether its instances can be reached.
        reachable: bool,
    },
    /// Time passed.
    Tick,
}

/// The term for which an instance owns a customer's zone bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipTerm {
    /// Number of the zone view that assigned the ownership.
    pub view: id::FencingNumber,
    /// Instant from which no earlier owner can act.
    pub active_from: clock::MonotonicTime,
    /// Part of the zone's limits that the owner may use, in thousandths; below 1,000 while the zone
    /// is in restricted mode.
    pub share_permille: u16,
}

/// Event at an instance that owns zone buckets.
#[derive(Clone, Debug)]
pub enum OwnerEvent {
    /// The instance became the owner, or its share changed.
    OwnershipGained {
        /// The customer.
        customer: name::CustomerName,
        /// The term.
        term: OwnershipTerm,
    },
    /// The instance is no longer the owner.
    OwnershipLost {
        /// The customer.
        customer: name::CustomerName,
        /// Number of the zone view that assigned the ownership to a successor; absent if the bucket
        /// is not handed over.
        successor_view: Option<id::FencingNumber>,
    },
    /// The lease under which the instance acts as owner was renewed.
    LeaseRenewed {
        /// Instant at which the lease expires.
        until: clock::MonotonicTime,
    },
    /// A holder of tokens sent a report.
    Report {
        /// The holder.
        sender: name::InstanceName,
        /// Its report.
        report: quota::GrantReport,
    },
    /// Another zone's owner answered a loan report.
    Grant {
        /// The owner.
        sender: name::InstanceName,
        /// Its answer.
        update: quota::GrantUpdate,
    },
    /// The former owner handed over a bucket.
    Handover(quota::BucketHandover),
    /// The limits of a customer changed; absent limits remove the customer.
    Configured {
        /// The customer.
        customer: name::CustomerName,
        /// Offset of the log record that changed the limits.
        offset: id::LogOffset,
        /// The limits.
        limits: Option<limit_history::CustomerLimits>,
    },
    /// Every instance of the fleet has applied the configuration log up to an offset.
    ConfigurationApplied {
        /// The offset.
        offset: id::LogOffset,
    },
    /// A zone became reachable or unreachable.
    Reachability {
        /// The zone.
        zone: name::ZoneName,
        /// Whether its instances can be reached.
        reachable: bool,
    },
    /// Time passed.
    Tick,
}

//! Events and actions of the quota's state machines.

use std::time;

use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::quota;
use smallvec::SmallVec;

use crate::limit_history;

/// Whom a message goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaDestination {
    /// An instance by its name.
    Instance(name::InstanceName),
    /// The instance that owns a customer's bucket of a zone.
    Owner {
        /// The customer.
        customer: name::CustomerName,
        /// The zone.
        zone: name::ZoneName,
    },
}

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaAction {
    /// Lets a request go on; its tokens are charged.
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
        /// When the caller should come back; zero if that would not help.
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

/// Actions in the order in which they are to be done.
pub type QuotaActions = SmallVec<[QuotaAction; 4]>;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub request: id::RequestId,
    /// The customer that it is charged to.
    pub customer: name::CustomerName,
    /// Tokens of the prompt and of the largest output.
    pub tokens: u64,
    /// Instant after which the answer is of no use.
    pub deadline: clock::MonotonicTime,
    /// Digest of key and body; the same when the caller sends the request again.
    pub fingerprint: u64,
}

/// What happened at an instance that admits requests.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A request asks for admission.
    Admit(AdmissionRequest),
    /// An admitted request has ended.
    Finish {
        /// The request.
        request: id::RequestId,
        /// Tokens that it was charged with but did not use.
        unused: u64,
    },
    /// A request that may still wait is no longer wanted.
    Cancel {
        /// The request.
        request: id::RequestId,
    },
    /// An owner answered.
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
    /// Number of the zone view that gave the ownership.
    pub view: id::FencingNumber,
    /// Instant from which no earlier owner acts any more.
    pub active_from: clock::MonotonicTime,
    /// Part of the zone's limits that the owner may use, in thousandths; less than 1,000 while the
    /// zone is in restricted mode.
    pub share_permille: u16,
}

/// What happened at an instance that owns zone buckets.
#[derive(Clone, Debug)]
pub enum OwnerEvent {
    /// The instance became owner, or its share changed.
    OwnershipGained {
        /// The customer.
        customer: name::CustomerName,
        /// The term.
        term: OwnershipTerm,
    },
    /// The instance is no longer owner.
    OwnershipLost {
        /// The customer.
        customer: name::CustomerName,
        /// Number of the zone view that gave the ownership to another instance, if it is to
        /// continue with what is in the bucket.
        successor_view: Option<id::FencingNumber>,
    },
    /// The lease under which the instance acts as owner was renewed.
    LeaseRenewed {
        /// Instant until which it may act.
        until: clock::MonotonicTime,
    },
    /// A holder reported.
    Report {
        /// The holder.
        sender: name::InstanceName,
        /// Its report.
        report: quota::GrantReport,
    },
    /// Another zone's owner answered.
    Grant {
        /// The owner.
        sender: name::InstanceName,
        /// Its answer.
        update: quota::GrantUpdate,
    },
    /// The former owner handed a bucket over.
    Handover(quota::BucketHandover),
    /// The limits of a customer changed; absent limits remove the customer.
    Configured {
        /// The customer.
        customer: name::CustomerName,
        /// Offset of the record that changed them.
        offset: id::LogOffset,
        /// The limits.
        limits: Option<limit_history::CustomerLimits>,
    },
    /// Every instance of the fleet has folded the configuration log up to an offset.
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

//! Heartbeats and view changes of a zone, sent by UDP.
//!
//! Durations are measured on the sender's clock and given in milliseconds.

use coltsfoot_types::{id, name};
use serde::{Deserialize, Serialize};

/// A message between members of a zone.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub enum MemberMessage {
    /// Heartbeat: asks the receiver for a sign of life and for its vote on the sender's lease.
    Probe(ProbeRequest),
    /// Answers a heartbeat.
    ProbeAnswer(ProbeAnswer),
    /// Asks whether the receiver has heard from an instance that is silent towards the sender.
    IndirectProbe {
        /// The silent instance.
        target: name::InstanceName,
    },
    /// Answers an indirect probe.
    IndirectAnswer {
        /// The instance that was asked about.
        target: name::InstanceName,
        /// Time since the sender last heard from it.
        age_ms: u32,
    },
    /// Asks the members of a group to take the sender in.
    Join {
        /// The group.
        group: GroupNumber,
    },
    /// Asks for a promise to leave all older views for this one.
    Propose(ViewProposal),
    /// Gives the promise.
    Accept(ProposalAccept),
    /// Refuses the promise and says why.
    Reject(ProposalReject),
    /// Says that the sender belongs to another group than the proposed view.
    OtherGroup {
        /// Epoch of the proposed view.
        epoch: id::FencingNumber,
    },
    /// Makes a view known that got its acknowledgements.
    Installed(InstalledView),
}

/// Number of a group of instances within a zone, from 0.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct GroupNumber(pub u8);

/// A heartbeat.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProbeRequest {
    /// Number of the sender's heartbeat round, which the answer repeats.
    pub sequence: u32,
    /// Epoch of the view that the sender holds, zero without one.
    pub epoch: id::FencingNumber,
    /// Whether the sender is draining.
    pub leaving: bool,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProbeAnswer {
    /// Number of the heartbeat round.
    pub sequence: u32,
    /// Epoch of the view that the sender of the answer holds, zero without one.
    pub epoch: id::FencingNumber,
    /// Whether the answer counts as an acknowledgement of the heartbeat's epoch.
    pub granted: bool,
    /// Whether the sender of the answer is draining.
    pub leaving: bool,
}

/// What identifies a view and its quorum.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct ViewSummary {
    /// Epoch, which is the fencing number of the view's owners.
    pub epoch: id::FencingNumber,
    /// Members, sorted by name.
    pub members: Vec<name::InstanceName>,
    /// Members of the log view that the epoch's offset belongs to, sorted by name; the place in
    /// the list keeps provisional epochs of two proposers apart.
    pub roster: Vec<name::InstanceName>,
}

/// A view that asks for acknowledgement.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ViewProposal {
    /// The group.
    pub group: GroupNumber,
    /// The view.
    pub view: ViewSummary,
    /// Views whose owners may still act; a majority of each has to acknowledge the new one.
    pub predecessors: Vec<ViewSummary>,
}

/// A promise to acknowledge no older view any more.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProposalAccept {
    /// Epoch of the accepted view.
    pub epoch: id::FencingNumber,
    /// Lowest epoch from which on the sender knows all views that it accepted.
    pub known_since: id::FencingNumber,
    /// Whether all orders that the sender gave as an owner have had time to arrive.
    pub quiescent: bool,
    /// Time since the sender last acknowledged a lease of each instance.
    pub grants: Vec<GrantAge>,
}

/// Time since an instance last got an acknowledgement of its lease.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct GrantAge {
    /// The instance.
    pub instance: name::InstanceName,
    /// Time since the acknowledgement.
    pub age_ms: u32,
}

/// A refusal of a proposal.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProposalReject {
    /// Epoch of the refused view.
    pub epoch: id::FencingNumber,
    /// The newest view that the sender accepted, if any.
    pub promised: Option<ViewSummary>,
    /// Views that the sender accepted and whose owners may still act.
    pub open: Vec<ViewSummary>,
}

/// How far the owners of a view may act.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum ViewGrade {
    /// A majority of each predecessor acknowledged the view.
    Full,
    /// Half of a predecessor acknowledged the view: the other half may act as well.
    Restricted {
        /// Members of the predecessor that acknowledged.
        kept: u8,
        /// All members of the predecessor.
        of: u8,
    },
}

/// A view that got its acknowledgements.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct InstalledView {
    /// The proposal.
    pub proposal: ViewProposal,
    /// How far its owners may act.
    pub grade: ViewGrade,
    /// Instances that accepted, which ended their older leases.
    pub released: Vec<ReleasedInstance>,
    /// Lower bounds of the time since other instances last got an acknowledgement of a lease.
    pub grants: Vec<GrantAge>,
    /// Whether instances that did not answer were counted as gone, so that each older lease has to
    /// be waited out whole.
    pub presumed_gone: bool,
}

/// An instance that ended the leases it held under older views.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ReleasedInstance {
    /// The instance.
    pub instance: name::InstanceName,
    /// Whether all its orders have had time to arrive.
    pub quiescent: bool,
}

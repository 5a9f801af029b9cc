//! Heartbeats and membership views of a zone, sent over UDP.
//!
//! Durations are measured on the sender's clock and given in milliseconds.

use coltsfoot_types::{id, name};
use serde::{Deserialize, Serialize};

/// A message between members of a zone.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub enum MemberMessage {
    /// Heartbeat: asks the receiver for a response and for its acknowledgement of the sender's
    /// lease.
    Probe(ProbeRequest),
    /// Response to a heartbeat.
    ProbeAnswer(ProbeAnswer),
    /// Asks whether the receiver has heard from an instance that does not respond to the sender.
    IndirectProbe {
        /// The instance that does not respond.
        target: name::InstanceName,
    },
    /// Response to an indirect probe.
    IndirectAnswer {
        /// The instance of the probe.
        target: name::InstanceName,
        /// Time since the sender last heard from it, in milliseconds.
        age_ms: u32,
    },
    /// Asks the members of a group to add the sender to their view.
    Join {
        /// Group to join.
        group: GroupNumber,
    },
    /// Asks for a promise to acknowledge no view older than this one.
    Propose(ViewProposal),
    /// Makes the promise.
    Accept(ProposalAccept),
    /// Rejects the proposal and says why.
    Reject(ProposalReject),
    /// The sender belongs to another group than the proposed view.
    OtherGroup {
        /// Epoch of the proposed view.
        epoch: id::FencingNumber,
    },
    /// Announces a view that has been acknowledged.
    Installed(InstalledView),
}

/// Number of a group of instances within a zone, from 0.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct GroupNumber(pub u8);

/// Heartbeat of an instance.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProbeRequest {
    /// Number of the sender's heartbeat round, which the response repeats.
    pub sequence: u32,
    /// Epoch of the sender's view, zero without one.
    pub epoch: id::FencingNumber,
    /// Whether the sender is draining.
    pub leaving: bool,
}

/// Response to a heartbeat.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProbeAnswer {
    /// Number of the heartbeat round, copied from the heartbeat.
    pub sequence: u32,
    /// Epoch of the responder's view, zero without one.
    pub epoch: id::FencingNumber,
    /// Whether the response acknowledges the lease of the heartbeat's epoch.
    pub granted: bool,
    /// Whether the responder is draining.
    pub leaving: bool,
}

/// Identity of a view and its quorum.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct ViewSummary {
    /// Epoch, which is the fencing number of the view's owners.
    pub epoch: id::FencingNumber,
    /// Members, sorted by name.
    pub members: Vec<name::InstanceName>,
    /// Members of the log view that the epoch's offset belongs to, sorted by name; a proposer's
    /// index in the list makes its provisional epochs distinct from those of others.
    pub roster: Vec<name::InstanceName>,
}

/// A proposed view.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ViewProposal {
    /// Group of the view.
    pub group: GroupNumber,
    /// The proposed view.
    pub view: ViewSummary,
    /// Views whose owners may still be active; a majority of each has to acknowledge the new view.
    pub predecessors: Vec<ViewSummary>,
}

/// A promise to acknowledge no older view.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProposalAccept {
    /// Epoch of the accepted view.
    pub epoch: id::FencingNumber,
    /// Lowest epoch from which the sender knows all views that it accepted.
    pub known_since: id::FencingNumber,
    /// Whether all orders that the sender issued as an owner have had time to arrive.
    pub quiescent: bool,
    /// Time since the sender last acknowledged each instance's lease.
    pub grants: Vec<GrantAge>,
}

/// Time since an instance's lease was last acknowledged.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct GrantAge {
    /// The instance.
    pub instance: name::InstanceName,
    /// Time since the acknowledgement, in milliseconds.
    pub age_ms: u32,
}

/// Rejection of a proposal.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ProposalReject {
    /// Epoch of the rejected view.
    pub epoch: id::FencingNumber,
    /// The newest view that the sender accepted, if any.
    pub promised: Option<ViewSummary>,
    /// Views that the sender accepted and whose owners may still be active.
    pub open: Vec<ViewSummary>,
}

/// Which actions the owners of a view may take.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub enum ViewGrade {
    /// A majority of each predecessor acknowledged the view.
    Full,
    /// Only half of a predecessor acknowledged the view; the other half may be active too.
    Restricted {
        /// Number of members of the predecessor that acknowledged.
        kept: u8,
        /// Number of members of the predecessor.
        of: u8,
    },
}

/// A view that has been acknowledged.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct InstalledView {
    /// The acknowledged proposal.
    pub proposal: ViewProposal,
    /// Which actions its owners may take.
    pub grade: ViewGrade,
    /// Instances that accepted and thereby ended their older leases.
    pub released: Vec<ReleasedInstance>,
    /// Lower bounds of the time since the leases of other instances were last acknowledged.
    pub grants: Vec<GrantAge>,
    /// Whether unresponsive instances were presumed gone, so that every older lease has to expire
    /// in full first.
    pub presumed_gone: bool,
}

/// An instance that ended the leases it held under older views.
#[derive(Clone, Debug, Hash, PartialEq, Deserialize, Serialize)]
pub struct ReleasedInstance {
    /// The instance.
    pub instance: name::InstanceName,
    /// Whether all orders that it issued have had time to arrive.
    pub quiescent: bool,
}

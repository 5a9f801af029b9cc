//! Input events and output actions of a permit agent.

use std::time;

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

/// Route from an instance to an engine cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellRoute {
    /// The cell.
    pub cell: placement::CellId,
    /// Its current owner.
    pub owner: CellOwner,
    /// Whether the cell is in this instance's zone.
    pub is_local: bool,
}

/// Owner of a cell, as far as an instance knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellOwner {
    /// The instance that owns the cell.
    Instance(name::InstanceName),
    /// No owner: the lease with this fencing number has expired on every clock.
    Expired(id::FencingNumber),
    /// Unknown; the previous owner's lease may still be valid.
    Unknown,
}

impl CellOwner {
    /// Returns the owning instance, `None` if the cell has no known owner.
    pub fn instance(&self) -> Option<&name::InstanceName> {
        match self {
            Self::Instance(instance) => Some(instance),
            Self::Expired(_) | Self::Unknown => None,
        }
    }
}

/// Input event of a permit agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A request needs a permit. Its adapter version has been resolved.
    PermitRequested {
        /// Base model of the adapter.
        base_model: name::ModelName,
        /// The attempt to run, with its adapter and limits.
        demand: placement::PermitDemand,
    },
    /// The attempt ended on the engine or was not sent.
    Ended {
        /// The release to forward to the cell's owner.
        release: placement::PermitRelease,
    },
    /// The caller disconnected before the attempt was sent.
    Cancelled {
        /// The attempt.
        attempt: id::AttemptId,
    },
    /// The reachable cells or their owners changed.
    RoutesChanged {
        /// All reachable cells; unreachable ones are omitted.
        routes: Vec<CellRoute>,
    },
    /// A message arrived from the owner of a cell.
    Received {
        /// The message.
        message: placement::PlacementMessage,
        /// The sender.
        sender: name::InstanceName,
    },
    /// Periodic timer, about every 50 ms.
    Tick,
}

/// Output action of a permit agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message to an instance, possibly this one.
    Send {
        /// The receiver.
        receiver: name::InstanceName,
        /// The message.
        message: placement::PlacementMessage,
    },
    /// Send the attempt to an engine.
    Dispatch {
        /// The attempt.
        attempt: id::AttemptId,
        /// The engine.
        engine: name::UpstreamName,
        /// The adapter version.
        adapter: adapter::AdapterVersion,
        /// Fencing number of the permit, checked by engines that support it.
        fencing: id::FencingNumber,
        /// Latest time to send it. If it is missed, [`AgentEvent::Ended`] must report the attempt
        /// as not sent.
        send_by: clock::MonotonicTime,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// The attempt.
        attempt: id::AttemptId,
        /// Reason for the refusal.
        reason: refusal::RefusalReason,
        /// Time after which the caller may retry.
        retry_after: time::Duration,
    },
}

/// Actions returned for one event.
pub type AgentActions = SmallVec<[AgentAction; 4]>;

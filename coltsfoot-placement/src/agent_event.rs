//! Events that an instance's agent takes and actions that it orders.

use std::time;

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

/// A cell as seen by an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellRoute {
    /// The cell.
    pub cell: placement::CellId,
    /// Who owns it.
    pub owner: CellOwner,
    /// Whether the cell belongs to the zone of this instance.
    pub is_local: bool,
}

/// Who owns a cell, as far as an instance knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellOwner {
    /// An instance.
    Instance(name::InstanceName),
    /// Nobody: the lease of the owner with this fencing number has certainly lapsed.
    Expired(id::FencingNumber),
    /// Not known; the former owner's lease may still run.
    Unknown,
}

impl CellOwner {
    /// Returns the owning instance.
    pub fn instance(&self) -> Option<&name::InstanceName> {
        match self {
            Self::Instance(instance) => Some(instance),
            Self::Expired(_) | Self::Unknown => None,
        }
    }
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A request needs a permit. Its adapter version is settled.
    Wanted {
        /// Base model of the adapter.
        base_model: name::ModelName,
        /// What is to run.
        demand: placement::PermitDemand,
    },
    /// The attempt has ended at the engine.
    Ended {
        /// The release to pass on.
        release: placement::PermitRelease,
    },
    /// The caller has gone before the attempt was sent.
    Cancelled {
        /// The attempt.
        attempt: id::AttemptId,
    },
    /// The reachable cells and their owners have changed; cells that can't be reached are absent.
    RoutesChanged {
        /// All reachable cells.
        routes: Vec<CellRoute>,
    },
    /// A message from the owner of a cell.
    Received {
        /// The message.
        message: placement::PlacementMessage,
        /// Who sent it.
        sender: name::InstanceName,
    },
    /// Time has passed. Sent every 50 ms or so.
    Tick,
}

/// What an agent orders.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Sends a message to an instance, which may be this one.
    Send {
        /// The receiver.
        receiver: name::InstanceName,
        /// The message.
        message: placement::PlacementMessage,
    },
    /// Sends the attempt to an engine.
    Dispatch {
        /// The attempt.
        attempt: id::AttemptId,
        /// The engine.
        engine: name::UpstreamName,
        /// The adapter version.
        adapter: adapter::AdapterVersion,
        /// Fencing number of the permit, for engines that check it.
        fencing: id::FencingNumber,
        /// When it must have been sent, else [`AgentEvent::Ended`] says that it was not.
        send_by: clock::MonotonicTime,
    },
    /// Refuses the request as not run.
    Refuse {
        /// The attempt.
        attempt: id::AttemptId,
        /// Why.
        reason: refusal::RefusalReason,
        /// Time after which the caller may ask again.
        retry_after: time::Duration,
    },
}

/// Actions of one event.
pub type AgentActions = SmallVec<[AgentAction; 4]>;

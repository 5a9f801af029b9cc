//! Input events and output actions of an engine cell.

use std::time;

use coltsfoot_types::{adapter, id, name, time as clock};
use coltsfoot_wire::placement;

/// Input event of an engine cell.
#[derive(Clone, Debug)]
pub enum CellEvent {
    /// An instance requests a permit.
    PermitRequested {
        /// The instance.
        instance: name::InstanceName,
        /// The attempt to run, with its adapter and limits.
        demand: placement::PermitDemand,
    },
    /// An instance releases a permit.
    PermitReleased {
        /// The instance.
        instance: name::InstanceName,
        /// The attempt and its outcome.
        release: placement::PermitRelease,
    },
    /// An instance withdraws its permit request.
    PermitCancelled {
        /// The attempt.
        attempt: id::AttemptId,
    },
    /// An instance reports the permits it holds.
    PermitsReported {
        /// The instance.
        instance: name::InstanceName,
        /// Fencing number of the report request.
        fencing: id::FencingNumber,
        /// All permits the instance holds in this cell.
        permits: Vec<placement::HeldPermit>,
    },
    /// An instance has terminated and will send no more messages.
    InstanceDead {
        /// The instance.
        instance: name::InstanceName,
    },
    /// An engine completed a load order.
    LoadEnded {
        /// The order.
        order: OrderId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// An engine completed an unload order.
    UnloadEnded {
        /// The order.
        order: OrderId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// An engine was added or its listing changed.
    EngineListed {
        /// The listing.
        engine: EngineListing,
    },
    /// An engine is draining and gets no new work.
    EngineLeaving {
        /// The engine.
        engine: name::UpstreamName,
    },
    /// An engine was removed together with the requests running on it.
    EngineRemoved {
        /// The engine.
        engine: name::UpstreamName,
    },
    /// An engine reported its state, which may be out of date.
    EngineReported {
        /// The engine.
        engine: name::UpstreamName,
        /// The report.
        report: EngineReport,
    },
    /// This instance became the owner of the cell.
    OwnershipGained {
        /// The lease.
        lease: CellLease,
        /// Instances that may hold permits of the previous owner; empty after a clean handover.
        reporters: Vec<name::InstanceName>,
        /// Whether permits may be outstanding that none of the reporters will report.
        unknown_permits: bool,
    },
    /// The lease on the cell was extended.
    OwnershipRenewed {
        /// New expiry of the lease.
        until: clock::MonotonicTime,
    },
    /// This instance no longer owns the cell.
    OwnershipLost,
    /// The load ledger granted one load.
    LoadGranted {
        /// The grant.
        grant: placement::LoadGrantId,
        /// Time within which the load must start, measured from the request.
        start_within: time::Duration,
    },
    /// Periodic timer, about every 50 ms.
    Tick,
}

/// Lease that makes an instance the owner of an engine cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellLease {
    /// Fencing number attached to all orders under this lease.
    pub fencing: id::FencingNumber,
    /// Start, after the previous owner's lease expired.
    pub active_from: clock::MonotonicTime,
    /// Expiry; no order is sent at or after it.
    pub until: clock::MonotonicTime,
    /// Whether the owner lacks a majority. Engines that don't check fencing numbers then only get
    /// loads into free slots, without evictions.
    pub restricted: bool,
}

/// Properties of an engine from the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineListing {
    /// Unique name of the engine.
    pub name: name::UpstreamName,
    /// Maximum number of resident adapters.
    pub slots: u32,
    /// Maximum number of requests in its batch.
    pub batch_size: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// State reported by an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Identifies the engine's process; changes on restart.
    pub generation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting on the engine.
    pub waiting: u32,
    /// Resident adapter versions.
    pub resident: Vec<adapter::AdapterVersion>,
    /// Adapter versions of running and waiting requests; `None` if the engine doesn't report them.
    pub active: Option<Vec<adapter::AdapterVersion>>,
}

/// Identifier of an order to an engine, unique within one [`crate::cell::EngineCell`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine carried it out.
    Done,
    /// The engine or the adapter store failed.
    Failed,
    /// The engine refused the order because of its outdated fencing number.
    Fenced,
}

/// Output action of an engine cell.
#[derive(Clone, Debug, PartialEq)]
pub enum CellAction {
    /// Send a permit to an instance.
    Grant {
        /// The instance.
        instance: name::InstanceName,
        /// The permit.
        grant: placement::PermitGrant,
    },
    /// Send a refusal to an instance.
    Refuse {
        /// The instance.
        instance: name::InstanceName,
        /// The refusal.
        refusal: placement::PermitRefusal,
    },
    /// Load an adapter on an engine; answered by [`CellEvent::LoadEnded`].
    Load {
        /// The order.
        order: EngineOrder,
    },
    /// Unload an adapter from an engine; answered by [`CellEvent::UnloadEnded`].
    Unload {
        /// The order.
        order: EngineOrder,
    },
    /// Ask an instance for the permits it holds; answered by [`CellEvent::PermitsReported`].
    RequestReport {
        /// The instance.
        instance: name::InstanceName,
        /// Fencing number of this owner, to be repeated in the report.
        fencing: id::FencingNumber,
    },
    /// Ask the load ledger for grants; answered by [`CellEvent::LoadGranted`].
    RequestLoads {
        /// Loads wanted in addition to those granted.
        wanted: u32,
    },
    /// Return a load grant to the ledger.
    ReturnLoad {
        /// The grant.
        grant: placement::LoadGrantId,
        /// Whether a load took place.
        used: bool,
    },
}

/// A load or unload order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Identifier repeated in the answer.
    pub id: OrderId,
    /// The engine.
    pub engine: name::UpstreamName,
    /// The adapter version to load or unload.
    pub adapter: adapter::AdapterVersion,
    /// Fencing number of the cell's owner.
    pub fencing: id::FencingNumber,
}

//! Events that an engine cell takes and actions that it orders.

use std::time;

use coltsfoot_types::{adapter, id, name, time as clock};
use coltsfoot_wire::placement;

/// What happens to an engine cell.
#[derive(Clone, Debug)]
pub enum CellEvent {
    /// An instance wants a permit.
    PermitWanted {
        /// The instance.
        instance: name::InstanceName,
        /// What is to run.
        demand: placement::PermitDemand,
    },
    /// An instance gives a permit back.
    PermitReleased {
        /// The instance.
        instance: name::InstanceName,
        /// The release.
        release: placement::PermitRelease,
    },
    /// An instance no longer wants a permit.
    PermitCancelled {
        /// The attempt.
        attempt: id::AttemptId,
    },
    /// An instance reports the permits that it holds.
    PermitsReported {
        /// The instance.
        instance: name::InstanceName,
        /// Fencing number that the report answers.
        fencing: id::FencingNumber,
        /// All its permits.
        permits: Vec<placement::HeldPermit>,
    },
    /// An instance has died and sends nothing more.
    InstanceDead {
        /// The instance.
        instance: name::InstanceName,
    },
    /// An order to load has ended.
    LoadEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// An order to unload has ended.
    UnloadEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// An engine is listed or its listing has changed.
    EngineListed {
        /// The listing.
        engine: EngineListing,
    },
    /// An engine is leaving: it gets no new work.
    EngineLeaving {
        /// The engine.
        engine: name::UpstreamName,
    },
    /// An engine is gone, with all that ran on it.
    EngineRemoved {
        /// The engine.
        engine: name::UpstreamName,
    },
    /// An engine's report of itself, which lags behind its state.
    EngineReported {
        /// The engine.
        engine: name::UpstreamName,
        /// The report.
        report: EngineReport,
    },
    /// This instance owns the cell.
    OwnershipGained {
        /// The lease.
        lease: CellLease,
        /// Instances that may hold permits of the former owner; empty if it handed over.
        reporters: Vec<name::InstanceName>,
        /// Whether permits may be out that none of the reporters knows.
        unknown_permits: bool,
    },
    /// The lease on the cell was renewed.
    OwnershipRenewed {
        /// End of the lease.
        until: clock::MonotonicTime,
    },
    /// This instance does not own the cell any more.
    OwnershipLost,
    /// The load ledger permits one load.
    LoadGranted {
        /// The grant.
        grant: placement::LoadGrantId,
        /// Time until the load must have started.
        start_within: time::Duration,
    },
    /// Time has passed. Sent every 50 ms or so.
    Tick,
}

/// Lease on an engine cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellLease {
    /// Fencing number of all orders under this lease.
    pub fencing: id::FencingNumber,
    /// Start, after the former owner's lease has lapsed.
    pub active_from: clock::MonotonicTime,
    /// End; no order is sent from then on.
    pub until: clock::MonotonicTime,
    /// Whether the owner acts without a majority: engines that don't check fencing numbers then
    /// get loads into free slots only.
    pub restricted: bool,
}

/// An engine as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineListing {
    /// Name.
    pub name: name::UpstreamName,
    /// Adapters that it holds at a time.
    pub slots: u32,
    /// Requests that it runs at a time.
    pub batch_size: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// An engine's report of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Number that changes when the engine restarts.
    pub generation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Resident adapter versions.
    pub resident: Vec<adapter::AdapterVersion>,
    /// Adapter versions of requests that run or wait, if the engine reports them.
    pub active: Option<Vec<adapter::AdapterVersion>>,
}

/// Identifier of an order to an engine, unique for the cell's machine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine has carried it out.
    Done,
    /// The engine or the store has failed.
    Failed,
    /// The engine refused the order for its old fencing number.
    Fenced,
}

/// What an engine cell orders.
#[derive(Clone, Debug, PartialEq)]
pub enum CellAction {
    /// Sends a permit to an instance.
    Grant {
        /// The instance.
        instance: name::InstanceName,
        /// The permit.
        grant: placement::PermitGrant,
    },
    /// Sends a refusal to an instance.
    Refuse {
        /// The instance.
        instance: name::InstanceName,
        /// The refusal.
        refusal: placement::PermitRefusal,
    },
    /// Orders an engine to load an adapter; [`CellEvent::LoadEnded`] answers.
    Load {
        /// The order.
        order: EngineOrder,
    },
    /// Orders an engine to unload an adapter; [`CellEvent::UnloadEnded`] answers.
    Unload {
        /// The order.
        order: EngineOrder,
    },
    /// Asks an instance for the permits that it holds.
    RequestReport {
        /// The instance.
        instance: name::InstanceName,
        /// Fencing number of this owner.
        fencing: id::FencingNumber,
    },
    /// Asks the load ledger for loads.
    RequestLoads {
        /// Loads wanted beyond those granted.
        wanted: u32,
    },
    /// Gives leave for a load back to the ledger.
    ReturnLoad {
        /// The grant.
        grant: placement::LoadGrantId,
        /// Whether a load took place.
        used: bool,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// Its identifier.
    pub id: OrderId,
    /// The engine.
    pub engine: name::UpstreamName,
    /// The adapter version.
    pub adapter: adapter::AdapterVersion,
    /// Fencing number of the owner.
    pub fencing: id::FencingNumber,
}

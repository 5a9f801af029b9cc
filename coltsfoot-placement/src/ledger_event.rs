//! Settings, input events and output actions of a load ledger.

use std::time;

use coltsfoot_types::{id, name};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

/// Limits of a zone's share of the load budget.
#[derive(Clone, Debug, bon::Builder)]
pub struct LedgerSettings {
    /// The zone.
    pub zone: name::ZoneName,
    /// The other zones of the fleet.
    pub peers: Vec<name::ZoneName>,
    /// The zone's own share of concurrent loads. The shares of all zones add up to at most the
    /// fleet's limit.
    pub loads_in_flight: u32,
    /// The zone's own share of load starts per second. The shares of all zones add up to the
    /// rate that the adapter store sustains.
    pub loads_per_second: f64,
    /// Maximum number of loads that start at once after an idle period.
    #[builder(default = 1)]
    pub burst: u32,
    /// Time within which a granted load must start.
    #[builder(default = time::Duration::from_secs(2))]
    pub start_within: time::Duration,
    /// Maximum duration of a load; the order is abandoned after it.
    #[builder(default = time::Duration::from_secs(10))]
    pub max_load_time: time::Duration,
    /// Interval between loan requests.
    #[builder(default = time::Duration::from_millis(100))]
    pub retry_interval: time::Duration,
}

/// Input event of a zone's ledger.
#[derive(Clone, Debug)]
pub enum LedgerEvent {
    /// This instance became the owner of the ledger, after the previous owner's lease expired.
    OwnershipGained {
        /// Fencing number of this ownership; part of each grant's identifier.
        fencing: id::FencingNumber,
    },
    /// This instance no longer owns the ledger.
    OwnershipLost,
    /// A cell wants loads in addition to those granted; replaces its earlier request.
    LoadsRequested {
        /// The cell.
        cell: placement::CellId,
        /// Number of loads.
        wanted: u32,
    },
    /// A load ended or its grant is not needed.
    LoadReturned {
        /// The grant.
        grant: placement::LoadGrantId,
        /// Whether a load took place.
        used: bool,
    },
    /// Another zone's ledger requests a loan.
    LoanRequested {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        wanted: u32,
    },
    /// Another zone's ledger granted a loan.
    LoanGranted {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Time within which the loads must start, measured from the loan request.
        start_within: time::Duration,
    },
    /// Another zone's ledger returns a loan.
    LoanReturned {
        /// Number of loads.
        loads: u32,
        /// Whether loads took place.
        used: bool,
    },
    /// Periodic timer.
    Tick,
}

/// Output action of a zone's ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Send a grant for one load to the owner of a cell.
    Grant {
        /// The cell.
        cell: placement::CellId,
        /// The grant.
        grant: placement::LoadGrantId,
        /// Time within which the load must start.
        start_within: time::Duration,
    },
    /// Request a loan from another zone's ledger.
    RequestLoan {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        wanted: u32,
    },
    /// Lend loads to another zone's ledger.
    GrantLoan {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Time within which the loads must start.
        start_within: time::Duration,
    },
    /// Return loads to the zone that lent them.
    ReturnLoan {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Whether loads took place.
        used: bool,
    },
}

/// Actions returned for one event.
pub type LedgerActions = SmallVec<[LedgerAction; 4]>;

//! Settings of a load ledger, events that it takes and actions that it orders.

use std::time;

use coltsfoot_types::{id, name};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

/// Limits of a zone's part of the load budget.
#[derive(Clone, Debug, bon::Builder)]
pub struct LedgerSettings {
    /// The zone.
    pub zone: name::ZoneName,
    /// The other zones of the fleet.
    pub peers: Vec<name::ZoneName>,
    /// Loads in flight that the zone may have by itself. The parts of all zones sum to at most
    /// the fleet's limit.
    pub loads_in_flight: u32,
    /// Loads per second that the zone may start by itself. The parts of all zones sum to the
    /// store's rate.
    pub loads_per_second: f64,
    /// Loads that may start at once after a pause.
    #[builder(default = 1)]
    pub burst: u32,
    /// Time within which a granted load must start.
    #[builder(default = time::Duration::from_secs(2))]
    pub start_within: time::Duration,
    /// Longest time that a load takes; the order is given up after it.
    #[builder(default = time::Duration::from_secs(10))]
    pub max_load_time: time::Duration,
    /// Interval between repeated requests for loans.
    #[builder(default = time::Duration::from_millis(100))]
    pub retry_interval: time::Duration,
}

/// What happens to a zone's ledger.
#[derive(Clone, Debug)]
pub enum LedgerEvent {
    /// This instance owns the ledger from now on, after the former owner's lease has lapsed.
    OwnershipGained {
        /// Fencing number.
        fencing: id::FencingNumber,
    },
    /// This instance does not own the ledger any more.
    OwnershipLost,
    /// A cell wants loads beyond those granted; replaces what it wanted before.
    LoadsWanted {
        /// The cell.
        cell: placement::CellId,
        /// Number of loads.
        wanted: u32,
    },
    /// A load has ended or is not needed.
    LoadReturned {
        /// The grant.
        grant: placement::LoadGrantId,
        /// Whether a load took place.
        used: bool,
    },
    /// Another zone's ledger asks for a loan.
    LoanWanted {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        wanted: u32,
    },
    /// Another zone's ledger lends loads.
    LoanGranted {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Time within which they must be started, from when the loan was asked for.
        start_within: time::Duration,
    },
    /// Another zone's ledger gives a loan back.
    LoanReturned {
        /// Number of loads.
        loads: u32,
        /// Whether loads took place.
        used: bool,
    },
    /// Time has passed.
    Tick,
}

/// What a zone's ledger orders.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Sends leave for one load to the owner of a cell.
    Grant {
        /// The cell.
        cell: placement::CellId,
        /// The grant.
        grant: placement::LoadGrantId,
        /// Time until the load must have started.
        start_within: time::Duration,
    },
    /// Asks another zone's ledger for a loan.
    RequestLoan {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        wanted: u32,
    },
    /// Lends loads to another zone's ledger.
    GrantLoan {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Time within which they must be started.
        start_within: time::Duration,
    },
    /// Gives loads back to the zone that lent them.
    ReturnLoan {
        /// The zone.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Whether loads took place.
        used: bool,
    },
}

/// Actions of one event of a ledger.
pub type LedgerActions = SmallVec<[LedgerAction; 4]>;

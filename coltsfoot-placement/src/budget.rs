//! Fleet-wide load budget: concurrent loads and load rate, distributed among cells by demand.
//!
//! Each zone's [`LoadLedger`] holds a fixed share of the budget, so that the budget is never
//! exceeded even while zones can't reach one another. It lends what its zone doesn't need.

use std::collections;
use std::ops;
use std::time;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::placement;

pub use crate::ledger_event::{LedgerAction, LedgerActions, LedgerEvent, LedgerSettings};

/// A load that may be in flight.
#[derive(Debug)]
struct OpenLoad {
    /// When it counts as ended even if no message reports its end.
    ends_by: clock::MonotonicTime,
    /// The zone that lent the load; `None` for the ledger's own share.
    lender: Option<name::ZoneName>,
}

/// A borrowed load that is not used yet.
#[derive(Debug)]
struct UnusedLoan {
    lender: name::ZoneName,
    start_by: clock::MonotonicTime,
}

/// Distributes a zone's share of the load budget, on the instance that owns it.
#[derive(Debug)]
pub struct LoadLedger {
    settings: LedgerSettings,
    fencing: Option<id::FencingNumber>,
    sequence: u64,
    open: collections::BTreeMap<placement::LoadGrantId, OpenLoad>,
    /// Latest end of each load lent to another zone.
    lent: collections::VecDeque<clock::MonotonicTime>,
    /// Unused loads borrowed from other zones.
    borrowed: collections::VecDeque<UnusedLoan>,
    /// Loads wanted by each cell, granted round-robin.
    wanted: collections::BTreeMap<placement::CellId, u32>,
    last_served: Option<placement::CellId>,
    tokens: f64,
    filled_at: clock::MonotonicTime,
    loan_asked_at: clock::MonotonicTime,
    next_peer: usize,
    /// Time until which loads of the previous owner may be in flight.
    unknown_until: clock::MonotonicTime,
}

impl LoadLedger {
    /// Creates a ledger without an owner.
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            fencing: None,
            sequence: 0,
            open: collections::BTreeMap::new(),
            lent: collections::VecDeque::new(),
            borrowed: collections::VecDeque::new(),
            wanted: collections::BTreeMap::new(),
            last_served: None,
            tokens: 0.0,
            filled_at: clock::MonotonicTime::default(),
            loan_asked_at: clock::MonotonicTime::default(),
            next_peer: 0,
            unknown_until: clock::MonotonicTime::default(),
            settings,
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, now: clock::MonotonicTime, event: LedgerEvent) -> LedgerActions {
        let mut actions = LedgerActions::new();
        self.advance(now);
        match event {
            LedgerEvent::OwnershipGained { fencing } => self.gain_ownership(now, fencing),
            LedgerEvent::OwnershipLost => self.lose_ownership(),
            LedgerEvent::LoadsRequested { cell, wanted } => self.set_wanted(cell, wanted),
            LedgerEvent::LoadReturned { grant, used } => {
                self.return_load(&grant, used, &mut actions);
            }
            LedgerEvent::LoanReturned { loads, used } => self.return_lent(loads, used),
            LedgerEvent::LoanRequested { zone, wanted } => {
                self.lend(now, zone, wanted, &mut actions);
            }
            LedgerEvent::LoanGranted { zone, loads, start_within } => {
                self.borrow(now, &zone, loads, start_within);
            }
            LedgerEvent::Tick => {}
        }
        if self.fencing.is_some() {
            self.serve(now, &mut actions);
            self.request_loan(now, &mut actions);
            self.return_loans(&mut actions);
        }
        actions
    }

    /// Returns the number of loads granted by this ledger that may be in flight.
    pub fn open_loads(&self) -> usize {
        self.open.len()
    }

    /// Starts without tokens, and reserves capacity for loads of the previous owner until they
    /// have ended.
    fn gain_ownership(&mut self, now: clock::MonotonicTime, fencing: id::FencingNumber) {
        self.lose_ownership();
        self.fencing = Some(fencing);
        self.unknown_until = now + self.settings.start_within + self.settings.max_load_time;
    }

    fn lose_ownership(&mut self) {
        self.fencing = None;
        self.open.clear();
        self.lent.clear();
        self.borrowed.clear();
        self.wanted.clear();
        self.tokens = 0.0;
    }

    fn advance(&mut self, now: clock::MonotonicTime) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.settings.loads_per_second;
        self.tokens = (self.tokens + earned).min(f64::from(self.settings.burst));
        self.filled_at = now;
        self.open.retain(|_, load| now < load.ends_by);
        self.lent.retain(|ends_by| now < *ends_by);
        self.borrowed.retain(|loan| now < loan.start_by);
    }

    fn set_wanted(&mut self, cell: placement::CellId, wanted: u32) {
        if wanted == 0 {
            self.wanted.remove(&cell);
            return;
        }
        self.wanted.insert(cell, wanted);
    }

    fn return_load(
        &mut self,
        grant: &placement::LoadGrantId,
        used: bool,
        actions: &mut LedgerActions,
    ) {
        let Some(load) = self.open.remove(grant) else {
            return;
        };
        if let Some(zone) = load.lender {
            actions.push(LedgerAction::ReturnLoan { zone, loads: 1, used });
        } else if !used {
            self.refill(1);
        }
    }

    fn return_lent(&mut self, loads: u32, used: bool) {
        for _ in 0..loads {
            if self.lent.pop_front().is_some() && !used {
                self.refill(1);
            }
        }
    }

    fn refill(&mut self, loads: u32) {
        self.tokens = (self.tokens + f64::from(loads)).min(f64::from(self.settings.burst));
    }

    /// Returns how many loads of its own share may start now. Half of the share is reserved while
    /// loads of the previous owner may be in flight.
    fn free_loads(&self, now: clock::MonotonicTime) -> u32 {
        let share = self.settings.loads_in_flight;
        let own = self.open.values().filter(|load| load.lender.is_none()).count();
        let taken = (own + self.lent.len()) as u32;
        let is_unknown = now < self.unknown_until;
        let share = if is_unknown { share - share / 2 } else { share };
        share.saturating_sub(taken).min(self.tokens as u32)
    }

    fn serve(&mut self, now: clock::MonotonicTime, actions: &mut LedgerActions) {
        while let Some(cell) = self.next_cell() {
            let Some((start_within, lender)) = self.take_load(now) else {
                return;
            };
            self.last_served = Some(cell.clone());
            if let Some(wanted) = self.wanted.get_mut(&cell) {
                *wanted -= 1;
                if *wanted == 0 {
                    self.wanted.remove(&cell);
                }
            }
            actions.push(self.grant(now, cell, start_within, lender));
        }
    }

    fn grant(
        &mut self,
        now: clock::MonotonicTime,
        cell: placement::CellId,
        start_within: time::Duration,
        lender: Option<name::ZoneName>,
    ) -> LedgerAction {
        let zone = self.settings.zone.clone();
        let fencing = self.fencing.unwrap_or_default();
        let grant = placement::LoadGrantId { zone, fencing, sequence: self.sequence };
        self.sequence += 1;
        let ends_by = now + start_within + self.settings.max_load_time;
        self.open.insert(grant.clone(), OpenLoad { ends_by, lender });
        LedgerAction::Grant { cell, grant, start_within }
    }

    /// Takes one load: a borrowed one first, since it expires sooner.
    fn take_load(
        &mut self,
        now: clock::MonotonicTime,
    ) -> Option<(time::Duration, Option<name::ZoneName>)> {
        if let Some(loan) = self.borrowed.pop_front() {
            return Some((loan.start_by.since(now), Some(loan.lender)));
        }
        if self.free_loads(now) == 0 {
            return None;
        }
        self.tokens -= 1.0;
        Some((self.settings.start_within, None))
    }

    /// Returns the next cell that wants loads, in round-robin order.
    fn next_cell(&self) -> Option<placement::CellId> {
        let after = self.last_served.as_ref().and_then(|last| {
            let range = (ops::Bound::Excluded(last), ops::Bound::Unbounded);
            self.wanted.range::<placement::CellId, _>(range).next()
        });
        let next = after.or_else(|| self.wanted.iter().next());
        next.map(|(cell, _)| cell.clone())
    }

    /// Lends free loads while none of its own cells wants any.
    fn lend(
        &mut self,
        now: clock::MonotonicTime,
        zone: name::ZoneName,
        wanted: u32,
        actions: &mut LedgerActions,
    ) {
        if self.fencing.is_none() || !self.wanted.is_empty() {
            return;
        }
        let loads = wanted.min(self.free_loads(now));
        if loads == 0 {
            return;
        }
        let start_within = self.settings.start_within;
        let ends_by = now + start_within * 2 + self.settings.max_load_time;
        self.tokens -= f64::from(loads);
        self.lent.extend((0..loads).map(|_| ends_by));
        actions.push(LedgerAction::GrantLoan { zone, loads, start_within });
    }

    fn borrow(
        &mut self,
        now: clock::MonotonicTime,
        lender: &name::ZoneName,
        loads: u32,
        start_within: time::Duration,
    ) {
        let start_by = (self.loan_asked_at + start_within).min(now + start_within);
        let loans = (0..loads).map(|_| UnusedLoan { lender: lender.clone(), start_by });
        self.borrowed.extend(loans);
    }

    /// Requests a loan from the next zone in turn.
    fn request_loan(&mut self, now: clock::MonotonicTime, actions: &mut LedgerActions) {
        let wanted = self.wanted.values().sum::<u32>();
        let is_early = now.since(self.loan_asked_at) < self.settings.retry_interval;
        if wanted == 0 || is_early || self.settings.peers.is_empty() {
            return;
        }
        let zone = self.settings.peers[self.next_peer % self.settings.peers.len()].clone();
        self.next_peer += 1;
        self.loan_asked_at = now;
        actions.push(LedgerAction::RequestLoan { zone, wanted });
    }

    /// Returns unused loans once no cell wants loads.
    fn return_loans(&mut self, actions: &mut LedgerActions) {
        if !self.wanted.is_empty() {
            return;
        }
        for loan in self.borrowed.drain(..) {
            actions.push(LedgerAction::ReturnLoan { zone: loan.lender, loads: 1, used: false });
        }
    }
}

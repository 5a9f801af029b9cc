//! The fleet-wide load budget: loads in flight and the store's rate, shared among cells by demand.
//!
//! Each zone's [`LoadLedger`] holds a fixed share of the fleet's budget, so that the parts of zones
//! that can't reach one another never exceed the whole, and lends what it does not need.

use std::collections;
use std::ops;
use std::time;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::placement;

pub use crate::ledger_event::{LedgerAction, LedgerActions, LedgerEvent, LedgerSettings};

/// A load that may be in flight.
#[derive(Debug)]
struct OpenLoad {
    /// When it must have ended, whatever the messages about it say.
    ends_by: clock::MonotonicTime,
    /// The zone that lent it.
    lender: Option<name::ZoneName>,
}

/// A loan that is not used yet.
#[derive(Debug)]
struct UnusedLoan {
    lender: name::ZoneName,
    start_by: clock::MonotonicTime,
}

/// A zone's share of the load budget, on the instance that owns it.
#[derive(Debug)]
pub struct LoadLedger {
    settings: LedgerSettings,
    fencing: Option<id::FencingNumber>,
    sequence: u64,
    open: collections::BTreeMap<placement::LoadGrantId, OpenLoad>,
    /// Ends of the loads that are lent out.
    lent: collections::VecDeque<clock::MonotonicTime>,
    /// Loads of other zones that are still unused.
    borrowed: collections::VecDeque<UnusedLoan>,
    /// Loads wanted by each cell, served in turn.
    wanted: collections::BTreeMap<placement::CellId, u32>,
    last_served: Option<placement::CellId>,
    tokens: f64,
    filled_at: clock::MonotonicTime,
    loan_asked_at: clock::MonotonicTime,
    next_peer: usize,
    /// Until when loads of a former owner may be in flight.
    unknown_until: clock::MonotonicTime,
}

impl LoadLedger {
    /// Builds a ledger that nobody owns.
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

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: clock::MonotonicTime, event: LedgerEvent) -> LedgerActions {
        let mut actions = LedgerActions::new();
        self.advance(now);
        match event {
            LedgerEvent::OwnershipGained { fencing } => self.gain_ownership(now, fencing),
            LedgerEvent::OwnershipLost => self.lose_ownership(),
            LedgerEvent::LoadsWanted { cell, wanted } => self.set_wanted(cell, wanted),
            LedgerEvent::LoadReturned { grant, used } => {
                self.return_load(&grant, used, &mut actions);
            }
            LedgerEvent::LoanReturned { loads, used } => self.return_lent(loads, used),
            LedgerEvent::LoanWanted { zone, wanted } => self.lend(now, zone, wanted, &mut actions),
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

    /// Returns the loads that may be in flight by leave of this ledger.
    pub fn open_loads(&self) -> usize {
        self.open.len()
    }

    /// A new owner starts without tokens. Loads of the former one count until they must have
    /// ended.
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

    /// Loads of its own share that may start now. While loads of a former owner may be in flight,
    /// half of the share is kept back for them.
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

    /// Takes leave for one load: a borrowed one first, since it expires sooner.
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

    /// The cell after the one served last, among those that set_wanted loads.
    fn next_cell(&self) -> Option<placement::CellId> {
        let after = self.last_served.as_ref().and_then(|last| {
            let range = (ops::Bound::Excluded(last), ops::Bound::Unbounded);
            self.wanted.range::<placement::CellId, _>(range).next()
        });
        let next = after.or_else(|| self.wanted.iter().next());
        next.map(|(cell, _)| cell.clone())
    }

    /// Lends what its own cells don't set_wanted at the moment.
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

    /// Asks one other zone after the other.
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

    /// Gives loans back that no cell wants any more.
    fn return_loans(&mut self, actions: &mut LedgerActions) {
        if !self.wanted.is_empty() {
            return;
        }
        for loan in self.borrowed.drain(..) {
            actions.push(LedgerAction::ReturnLoan { zone: loan.lender, loads: 1, used: false });
        }
    }
}

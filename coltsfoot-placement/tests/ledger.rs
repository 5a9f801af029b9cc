//! The load budget of a fleet is never exceeded, is distributed by demand, and is not lost.

use std::collections;
use std::time;

use coltsfoot_placement::budget::{LedgerAction, LedgerEvent, LedgerSettings, LoadLedger};
use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::placement;
use rstest::rstest;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// The ledgers of three zones, which may be partitioned from one another.
struct LedgerFleet {
    ledgers: Vec<LoadLedger>,
    now: clock::MonotonicTime,
    is_partitioned: bool,
    /// Loads in flight: grant, zone and end.
    loads: Vec<(placement::LoadGrantId, usize, clock::MonotonicTime)>,
    started: [u32; 3],
    wanted: [u32; 3],
    peak_in_flight: usize,
}

impl LedgerFleet {
    fn new(is_partitioned: bool, loads_per_second: f64) -> Self {
        let now = clock::MonotonicTime(1_000_000);
        let ledgers = (0..3).map(|zone| {
            let peers = ZONES.iter().filter(|name| **name != ZONES[zone]);
            let settings = LedgerSettings::builder()
                .zone(ZONES[zone].into())
                .peers(peers.map(|name| (*name).into()).collect())
                .loads_in_flight([3, 3, 2][zone])
                .loads_per_second(loads_per_second)
                .burst(2)
                .build();
            let mut ledger = LoadLedger::new(settings);
            ledger.handle(now, LedgerEvent::OwnershipGained { fencing: id::FencingNumber(1) });
            ledger
        });
        let ledgers = ledgers.collect();
        let loads = Vec::new();
        Self {
            ledgers,
            now,
            is_partitioned,
            loads,
            started: [0; 3],
            wanted: [0; 3],
            peak_in_flight: 0,
        }
    }

    fn cell(zone: usize) -> placement::CellId {
        placement::CellId { zone: ZONES[zone].into(), base_model: "base".into(), index: 0 }
    }

    fn send(&mut self, zone: usize, event: LedgerEvent) {
        let mut queue = collections::VecDeque::from([(zone, event)]);
        while let Some((zone, event)) = queue.pop_front() {
            for action in self.ledgers[zone].handle(self.now, event) {
                let from = ZONES[zone].into();
                let (to, event) = match action {
                    LedgerAction::Grant { grant, .. } => {
                        self.start(zone, grant);
                        continue;
                    }
                    LedgerAction::RequestLoan { zone: to, wanted } => {
                        (to, LedgerEvent::LoanRequested { zone: from, wanted })
                    }
                    LedgerAction::GrantLoan { zone: to, loads, start_within } => {
                        (to, LedgerEvent::LoanGranted { zone: from, loads, start_within })
                    }
                    LedgerAction::ReturnLoan { zone: to, loads, used } => {
                        (to, LedgerEvent::LoanReturned { loads, used })
                    }
                };
                if !self.is_partitioned {
                    let to = ZONES.iter().position(|name| *name == to.as_str()).unwrap();
                    queue.push_back((to, event));
                }
            }
        }
    }

    fn start(&mut self, zone: usize, grant: placement::LoadGrantId) {
        self.started[zone] += 1;
        self.wanted[zone] = self.wanted[zone].saturating_sub(1);
        let ends = self.now + time::Duration::from_millis(800);
        self.loads.push((grant, zone, ends));
        self.peak_in_flight = self.peak_in_flight.max(self.loads.len());
    }

    /// Runs for `seconds` with a constant number of wanted loads in each zone.
    fn run(&mut self, seconds: u64, wanted: [u32; 3]) {
        for _ in 0..seconds * 20 {
            self.now = self.now + time::Duration::from_millis(50);
            let (ended, running): (Vec<_>, Vec<_>) =
                self.loads.drain(..).partition(|load| load.2 <= self.now);
            self.loads = running;
            for (grant, zone, _) in ended {
                self.send(zone, LedgerEvent::LoadReturned { grant, used: true });
            }
            for (zone, wanted) in wanted.into_iter().enumerate() {
                self.wanted[zone] = wanted;
                let cell = Self::cell(zone);
                self.send(zone, LedgerEvent::LoadsRequested { cell, wanted });
            }
        }
    }
}

#[rstest]
#[case::reachable(false)]
#[case::partitioned(true)]
fn the_fleet_never_has_more_than_8_loads_in_flight(#[case] is_partitioned: bool) {
    let mut fleet = LedgerFleet::new(is_partitioned, 50.0);
    fleet.run(30, [20, 20, 20]);
    fleet.run(30, [20, 0, 0]);
    fleet.run(30, [0, 20, 20]);
    assert!(fleet.peak_in_flight <= 8, "{} in flight", fleet.peak_in_flight);
    assert!(fleet.started.iter().all(|started| *started > 30), "{:?}", fleet.started);
}

#[rstest]
#[case::with_loans(false, 75..=91)]
#[case::own_share_only(true, 25..=32)]
fn a_single_busy_zone_borrows_the_rate_of_reachable_zones(
    #[case] is_partitioned: bool,
    #[case] expected: std::ops::RangeInclusive<u32>,
) {
    let mut fleet = LedgerFleet::new(is_partitioned, 1.0);
    fleet.run(30, [3, 0, 0]);
    assert!(expected.contains(&fleet.started[0]), "{:?} in 30 s", fleet.started);
}

#[test]
fn the_load_rate_is_limited_over_all_zones() {
    let mut fleet = LedgerFleet::new(false, 1.0);
    fleet.run(60, [5, 5, 5]);
    let started = fleet.started.iter().sum::<u32>();
    assert!((170..=190).contains(&started), "{started} in 60 s at 3 a second");
}

#[test]
fn a_new_owner_reserves_half_of_its_share_for_unknown_loads() {
    let mut fleet = LedgerFleet::new(true, 50.0);
    fleet.run(2, [5, 0, 0]);
    fleet.loads.clear();
    fleet.send(0, LedgerEvent::OwnershipGained { fencing: id::FencingNumber(2) });
    fleet.peak_in_flight = 0;
    fleet.run(3, [5, 0, 0]);
    assert!(fleet.peak_in_flight <= 2, "{} of 3", fleet.peak_in_flight);
}

#[test]
fn a_grant_whose_end_is_never_reported_expires() {
    let mut fleet = LedgerFleet::new(true, 50.0);
    fleet.run(20, [0, 0, 0]);
    fleet.run(1, [9, 0, 0]);
    let before = fleet.started[0];
    fleet.loads.clear();
    fleet.run(1, [9, 0, 0]);
    assert_eq!(fleet.started[0], before, "its whole share counts as in flight");
    fleet.run(15, [9, 0, 0]);
    assert!(fleet.started[0] > before);
}

#[test]
fn an_unneeded_loan_is_returned_and_reusable() {
    let mut fleet = LedgerFleet::new(false, 0.1);
    fleet.run(60, [0, 0, 0]);
    let start_within = time::Duration::from_secs(2);
    let lent = LedgerEvent::LoanGranted { zone: "b".into(), loads: 2, start_within };
    let actions = fleet.ledgers[0].handle(fleet.now, lent);
    let given_back = LedgerAction::ReturnLoan { zone: "b".into(), loads: 1, used: false };
    assert_eq!(actions.iter().filter(|action| **action == given_back).count(), 2);

    let wanted = LedgerEvent::LoanRequested { zone: "a".into(), wanted: 2 };
    let actions = fleet.ledgers[1].handle(fleet.now, wanted);
    assert!(matches!(actions[0], LedgerAction::GrantLoan { loads: 2, .. }));
    let cell = LedgerFleet::cell(1);
    let actions =
        fleet.ledgers[1].handle(fleet.now, LedgerEvent::LoadsRequested { cell, wanted: 1 });
    assert!(!actions.iter().any(|action| matches!(action, LedgerAction::Grant { .. })));
    let returned = LedgerEvent::LoanReturned { loads: 2, used: false };
    let actions = fleet.ledgers[1].handle(fleet.now, returned);
    assert!(actions.iter().any(|action| matches!(action, LedgerAction::Grant { .. })));
}

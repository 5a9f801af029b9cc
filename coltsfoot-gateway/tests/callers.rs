//! Which connection of a caller gives way.

use std::time;

use coltsfoot_gateway::caller_ledger::{CallerLedger, CallerPhase, max_connections};
use coltsfoot_types::time::MonotonicTime;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::default() + time::Duration::from_millis(ms)
}

fn open(ledger: &mut CallerLedger, ms: u64, phase: CallerPhase) -> u64 {
    let id = ledger.open(at(ms));
    ledger.enter(at(ms), id, phase);
    id
}

#[test]
fn memory_is_given_up_by_the_oldest_request_that_is_still_read_and_holds_some() {
    let mut ledger = CallerLedger::default();
    let small = open(&mut ledger, 1, CallerPhase::Reading);
    let served = open(&mut ledger, 2, CallerPhase::Reading);
    ledger.hold(served, 100);
    assert!(ledger.enter(at(3), served, CallerPhase::Serving));
    let [old, young, own] = [5, 6, 4].map(|ms| open(&mut ledger, ms, CallerPhase::Reading));
    for id in [old, young, own] {
        ledger.hold(id, 100);
    }
    assert!(!ledger.awaits_memory(own));
    assert_eq!(ledger.give_way_to_body(own), Some(old));
    assert!(ledger.awaits_memory(own));
    assert!(!ledger.enter(at(7), old, CallerPhase::Serving), "it is refused");
    assert_eq!(ledger.give_way_to_body(own), Some(young));
    assert_eq!(ledger.give_way_to_body(own), None, "neither {small} nor {served}");
    for id in [old, young] {
        ledger.enter(at(8), id, CallerPhase::Ending);
    }
    assert!(!ledger.awaits_memory(own));
}

#[test]
fn new_connections_replace_ended_ones_then_slow_requests_idle_ones_and_young_requests() {
    let mut ledger = CallerLedger::default();
    let served = open(&mut ledger, 0, CallerPhase::Serving);
    let slow = open(&mut ledger, 10, CallerPhase::Reading);
    let idle = [500, 20].map(|ms| open(&mut ledger, ms, CallerPhase::Idle));
    let young = open(&mut ledger, 1500, CallerPhase::Reading);
    let ending = open(&mut ledger, 1600, CallerPhase::Ending);
    let order: Vec<_> = std::iter::from_fn(|| ledger.give_way_to_connection(at(1700))).collect();
    assert_eq!(order, [ending, slow, idle[1], idle[0], young], "not {served}");
    for id in order {
        ledger.close(id);
    }
    assert_eq!(ledger.open_connections(), 1);
}

#[test]
fn connections_leave_descriptors_and_memory_to_others() {
    const MB: usize = 1024 * 1024;
    assert_eq!(max_connections(4100, 260 * MB), 2925);
    assert_eq!(max_connections(3075, 120 * MB), 1920);
    assert_eq!(max_connections(0, 260 * MB), 2922);
    assert_eq!(max_connections(100, 1), 1);
}

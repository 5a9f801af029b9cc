//! Which connection of a caller gives way.

use std::time;

use coltsfoot_gateway::caller_ledger::{
    CallerLedger, CallerPhase, caller_descriptors, idle_descriptors, max_tunnels,
};
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
    assert!(!ledger.awaits_release(own));
    assert_eq!(ledger.give_way_to_request(at(7), own), Some(old));
    assert!(ledger.awaits_release(own));
    assert!(!ledger.enter(at(7), old, CallerPhase::Serving), "it is refused");
    assert_eq!(ledger.give_way_to_request(at(7), own), Some(young));
    assert_eq!(ledger.give_way_to_request(at(7), own), None, "neither {small} nor {served}");
    for id in [old, young] {
        ledger.enter(at(8), id, CallerPhase::Ending);
    }
    assert!(!ledger.awaits_release(own));
}

#[test]
fn requests_replace_slow_ones_then_idle_connections_and_young_requests() {
    let mut ledger = CallerLedger::default();
    let served = open(&mut ledger, 0, CallerPhase::Serving);
    let ending = open(&mut ledger, 5, CallerPhase::Ending);
    let idle = [30, 20].map(|ms| open(&mut ledger, ms, CallerPhase::Idle));
    let new = open(&mut ledger, 1600, CallerPhase::Idle);
    let [slow, young, own] = [10, 1500, 1].map(|ms| open(&mut ledger, ms, CallerPhase::Reading));
    for id in [slow, young, own] {
        ledger.hold(id, 100);
    }
    let order: Vec<_> = std::iter::from_fn(|| ledger.give_way_to_request(at(1700), own)).collect();
    assert_eq!(order, [slow, idle[1], idle[0], young], "neither {served}, {ending} nor {new}");
    for id in [slow, young] {
        ledger.close(id);
    }
    assert!(ledger.awaits_release(own), "an idle connection that is not closed yet");
    for id in idle {
        ledger.close(id);
    }
    assert!(!ledger.awaits_release(own));
}

#[test]
fn requests_that_are_served_need_descriptors_for_two_upstreams() {
    let mut ledger = CallerLedger::default();
    let ids = [(); 3].map(|()| open(&mut ledger, 0, CallerPhase::Reading));
    assert_eq!((ledger.descriptors(), ledger.may_serve(5)), (3, true));
    assert!(ledger.enter(at(1), ids[0], CallerPhase::Serving));
    assert_eq!((ledger.descriptors(), ledger.may_serve(6)), (5, false));
    assert!(ledger.enter(at(1), ids[1], CallerPhase::Serving));
    assert_eq!((ledger.descriptors(), ledger.may_serve(9)), (7, true));
    ledger.enter(at(2), ids[0], CallerPhase::Idle);
    assert_eq!(ledger.descriptors(), 5);
    ledger.close(ids[1]);
    ledger.close(ids[2]);
    assert_eq!(ledger.descriptors(), 1);
}

#[test]
fn new_connections_replace_ended_ones_then_slow_requests_idle_ones_and_young_requests() {
    let mut ledger = CallerLedger::default();
    let served = open(&mut ledger, 0, CallerPhase::Serving);
    let slow = open(&mut ledger, 10, CallerPhase::Reading);
    let idle = [500, 20].map(|ms| open(&mut ledger, ms, CallerPhase::Idle));
    let young = open(&mut ledger, 1500, CallerPhase::Reading);
    let ending = open(&mut ledger, 1600, CallerPhase::Ending);
    let new = open(&mut ledger, 1400, CallerPhase::Idle);
    let order: Vec<_> = std::iter::from_fn(|| ledger.give_way_to_connection(at(1700))).collect();
    assert_eq!(order, [ending, slow, idle[1], idle[0], young, new], "not {served}");
    assert!(ledger.awaits_close());
    for id in order {
        ledger.close(id);
    }
    assert_eq!((ledger.open_connections(), ledger.awaits_close()), (1, false));
}

#[test]
fn connections_leave_descriptors_to_others() {
    let divide = |max| (caller_descriptors(max), idle_descriptors(max), max_tunnels(max));
    assert_eq!(divide(4100), (2925, 487, 243));
    assert_eq!(divide(3075), (2154, 359, 179));
    assert_eq!(divide(0), (2922, 487, 243));
    assert_eq!(divide(100), (1, 0, 0));
}

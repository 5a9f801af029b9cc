//! An adapter that serves a request is never evicted, whatever fails or restarts meanwhile.

mod common;

use std::time;

use coltsfoot_placement::event::{CellEvent, OrderOutcome};
use coltsfoot_types::id;
use coltsfoot_wire::placement::{AttemptOutcome, HeldPermit};

/// Returns a cell whose only engine has one slot, occupied by an adapter that serves a request.
fn busy_cell() -> (common::TestCell, id::AttemptId) {
    let mut test = common::TestCell::new(1, 1, 8);
    let attempt = test.want("menus@1");
    test.settle();
    assert!(test.granted(attempt).is_some());
    test.advance(2_000);
    (test, attempt)
}

fn held(attempt: id::AttemptId) -> HeldPermit {
    HeldPermit { attempt, adapter: "menus@1".parse().unwrap(), engine: "e0".into() }
}

fn assert_not_evicted_within(test: &mut common::TestCell, millis: u64) {
    for _ in 0..millis / 500 {
        test.advance(500);
        assert!(test.unloads.is_empty(), "evicted at {:?}", test.now);
    }
}

#[test]
fn a_running_request_keeps_its_adapter_until_it_ends() {
    let (mut test, attempt) = busy_cell();
    let other = test.want("rosters@1");
    assert_not_evicted_within(&mut test, 5_000);
    test.answer(attempt);
    test.settle();
    assert!(test.granted(other).is_some());
}

#[test]
fn a_terminated_instances_pin_lasts_for_the_maximum_request_time() {
    let (mut test, _) = busy_cell();
    test.send(CellEvent::InstanceDead { instance: "a".into() });
    test.want_from("b", "acme", "rosters@1");
    test.report("e0", 1, 1, &["menus@1"]);
    assert_not_evicted_within(&mut test, 25_000);
    let late = test.want_from("b", "acme", "rosters@1");
    test.advance(25_000);
    test.want_from("b", "acme", "rosters@1");
    test.advance(12_000);
    assert_eq!(test.unloads.len(), 1, "the maximum request time of 60 s has passed; {late} waits");
}

#[test]
fn a_terminated_instances_pin_ends_with_a_current_idle_report() {
    let (mut test, _) = busy_cell();
    test.send(CellEvent::InstanceDead { instance: "a".into() });
    test.want_from("b", "acme", "rosters@1");
    test.advance(1_000);
    test.report("e0", 1, 0, &["menus@1"]);
    assert!(test.unloads.is_empty(), "the report may predate the last request");
    test.advance(3_000);
    test.report("e0", 1, 0, &["menus@1"]);
    assert_eq!(test.unloads.len(), 1);
}

#[test]
fn an_attempt_with_a_lost_connection_keeps_its_pin() {
    let (mut test, attempt) = busy_cell();
    test.release(attempt, AttemptOutcome::Unknown);
    test.want("rosters@1");
    assert_not_evicted_within(&mut test, 20_000);
}

#[test]
fn a_new_owner_evicts_only_after_all_instances_have_reported() {
    let (mut test, attempt) = busy_cell();
    test.gain_ownership(&["a", "b"], false);
    test.report("e0", 1, 1, &["menus@1"]);
    test.want("rosters@1");
    assert_not_evicted_within(&mut test, 2_000);
    assert!(test.report_requests.len() > 2, "report requests are repeated");
    let fencing = id::FencingNumber(test.fencing);
    let report = |instance: &str, permits| CellEvent::PermitsReported {
        instance: instance.into(),
        fencing,
        permits,
    };
    test.send(report("a", vec![held(attempt)]));
    assert_not_evicted_within(&mut test, 2_000);
    test.send(report("b", vec![]));
    assert_not_evicted_within(&mut test, 2_000);
    test.answer(attempt);
    assert_eq!(test.unloads.len(), 1);
}

#[test]
fn a_report_to_an_older_owner_is_ignored() {
    let (mut test, _) = busy_cell();
    test.gain_ownership(&["a"], false);
    test.report("e0", 1, 1, &["menus@1"]);
    let fencing = id::FencingNumber(test.fencing - 1);
    test.send(CellEvent::PermitsReported { instance: "a".into(), fencing, permits: vec![] });
    test.want("rosters@1");
    assert_not_evicted_within(&mut test, 5_000);
}

#[test]
fn permits_lost_with_the_previous_owner_keep_their_pins() {
    let (mut test, _) = busy_cell();
    test.gain_ownership(&[], true);
    test.report("e0", 1, 1, &["menus@1"]);
    test.want("rosters@1");
    assert_not_evicted_within(&mut test, 25_000);
    test.report("e0", 1, 0, &["menus@1"]);
    assert_eq!(test.unloads.len(), 1);
}

#[test]
fn an_instance_that_terminates_before_its_report_keeps_its_pins() {
    let (mut test, _) = busy_cell();
    test.gain_ownership(&["a"], false);
    test.report("e0", 1, 1, &["menus@1"]);
    test.send(CellEvent::InstanceDead { instance: "a".into() });
    test.want_from("b", "acme", "rosters@1");
    assert_not_evicted_within(&mut test, 25_000);
}

#[test]
fn an_engine_listed_after_the_reports_gets_its_pins() {
    let (mut test, attempt) = busy_cell();
    test.send(CellEvent::EngineRemoved { engine: "e0".into() });
    test.gain_ownership(&["a"], false);
    let fencing = id::FencingNumber(test.fencing);
    let permits = vec![held(attempt)];
    test.send(CellEvent::PermitsReported { instance: "a".into(), fencing, permits });
    let listing = coltsfoot_placement::event::EngineListing {
        name: "e0".into(),
        slots: 1,
        batch_size: 8,
        checks_fencing: true,
    };
    test.send(CellEvent::EngineListed { engine: listing });
    test.report("e0", 1, 1, &["menus@1"]);
    test.want("rosters@1");
    assert_not_evicted_within(&mut test, 5_000);
}

#[test]
fn an_owner_paused_past_its_lease_orders_nothing() {
    let mut test = common::TestCell::new(1, 1, 8);
    test.warm("menus@1");
    test.gain_ownership_with_lease(&[], false, 1, false);
    test.report("e0", 1, 0, &["menus@1"]);
    test.now = test.now + time::Duration::from_secs(5);
    let (loads, grants) = (test.loads.len(), test.grants.len());
    let attempt = test.want("rosters@1");
    test.want("menus@1");
    test.send(CellEvent::Tick);
    assert!(test.unloads.is_empty());
    assert_eq!((test.loads.len(), test.grants.len()), (loads, grants));
    assert!(test.refused(attempt).is_some(), "refused, so that it goes to the new owner");
}

#[test]
fn an_expired_lease_is_not_renewed() {
    let mut test = common::TestCell::new(1, 1, 8);
    test.gain_ownership_with_lease(&[], false, 1, false);
    test.now = test.now + time::Duration::from_secs(2);
    let until = test.now + time::Duration::from_secs(9);
    test.send(CellEvent::OwnershipRenewed { until });
    let attempt = test.want("menus@1");
    assert!(test.refused(attempt).is_some());
}

#[test]
fn an_owner_without_a_majority_evicts_only_where_fencing_is_checked() {
    let mut test = common::TestCell::new(2, 1, 8);
    test.warm("menus@1");
    test.warm("rosters@1");
    test.gain_ownership_with_lease(&[], false, 600, true);
    let (first, second) = if test.holds("e0", "menus@1") {
        ("menus@1", "rosters@1")
    } else {
        ("rosters@1", "menus@1")
    };
    test.report("e0", 1, 0, &[first]);
    test.report("e1", 1, 0, &[second]);
    test.advance(3_000);
    test.want("x@1");
    test.want("y@1");
    test.advance(3_000);
    let engines: Vec<_> = test.unloads.iter().map(|order| order.engine.to_string()).collect();
    assert_eq!(engines, ["e0"], "only e0 checks fencing numbers");
}

#[test]
fn a_restart_clears_residency_and_keeps_the_pins() {
    let (mut test, attempt) = busy_cell();
    test.report("e0", 2, 0, &[]);
    assert!(!test.holds("e0", "menus@1"));
    let other = test.want("menus@1");
    assert!(test.granted(other).is_none(), "the restarted engine holds no adapter");
    test.settle();
    assert!(test.granted(other).is_some());
    test.answer(other);
    test.want("rosters@1");
    assert_not_evicted_within(&mut test, 5_000);
    test.answer(attempt);
    assert_eq!(test.unloads.len(), 1);
}

#[test]
fn a_load_from_before_a_restart_is_ignored() {
    let mut test = common::TestCell::new(1, 2, 8);
    let attempt = test.want("menus@1");
    test.report("e0", 2, 0, &[]);
    test.end_load(OrderOutcome::Done);
    assert!(test.granted(attempt).is_none());
    test.advance(500);
    test.settle();
    assert!(test.granted(attempt).is_some());
}

#[test]
fn requests_waiting_for_a_batch_get_no_permit_on_a_restarted_engine() {
    let mut test = common::TestCell::new(1, 2, 1);
    let running = test.want("menus@1");
    test.settle();
    let waiting = test.want("menus@1");
    test.report("e0", 2, 0, &[]);
    test.release(running, AttemptOutcome::EngineFailed);
    assert!(test.granted(waiting).is_none());
    test.settle();
    assert!(test.granted(waiting).is_some());
}

#[test]
fn a_restart_clears_loads_that_reports_do_not_show_yet() {
    let mut test = common::TestCell::new(1, 2, 8);
    test.warm("menus@1");
    test.report("e0", 2, 0, &[]);
    assert!(!test.holds("e0", "menus@1"));
}

#[test]
fn waiting_requests_get_neither_load_nor_permit_after_a_pause_past_the_lease() {
    let mut test = common::TestCell::new(1, 3, 1);
    test.auto_grant = false;
    test.gain_ownership_with_lease(&[], false, 1, false);
    test.report("e0", 1, 0, &["menus@1"]);
    let running = test.want("menus@1");
    let waiting_for_batch = test.want("menus@1");
    let waiting_for_load = test.want("rosters@1");
    test.now = test.now + time::Duration::from_secs(5);
    test.grant_loads(1);
    test.answer(running);
    test.send(CellEvent::Tick);
    assert!(test.loads.is_empty() && test.unloads.is_empty());
    assert!(test.granted(waiting_for_batch).is_none());
    test.send(CellEvent::OwnershipLost);
    assert!(test.refused(waiting_for_batch).is_some() && test.refused(waiting_for_load).is_some());
}

//! Loads are shared by waiting requests, limited by the load budget, and retried a bounded
//! number of times.

mod common;

use coltsfoot_placement::event::OrderOutcome;
use coltsfoot_types::refusal::RefusalReason;
use coltsfoot_wire::placement::PermitRefusalReason;

#[test]
fn one_load_serves_all_requests_waiting_for_it() {
    let mut test = common::TestCell::new(2, 2, 8);
    let attempts: Vec<_> = (0..5).map(|_| test.want("menus@1")).collect();
    assert_eq!(test.loads.len(), 1);
    test.end_load(OrderOutcome::Done);
    assert!(attempts.iter().all(|attempt| test.granted(*attempt).is_some()));
    assert!(test.loads.is_empty());
}

#[test]
fn a_new_version_is_loaded_beside_the_running_old_one() {
    let mut test = common::TestCell::new(1, 2, 8);
    let old = test.want("menus@1");
    test.settle();
    let new = test.want("menus@2");
    assert_eq!(test.granted(new), None);
    test.settle();
    assert_eq!(test.granted(old).unwrap().adapter.version, 1);
    assert_eq!(test.granted(new).unwrap().adapter.version, 2);
    assert!(test.holds("e0", "menus@1"));
}

#[test]
fn a_failing_load_is_retried_then_refused_immediately() {
    let mut test = common::TestCell::new(2, 2, 8);
    let first = test.want("menus@1");
    let mut engines = Vec::new();
    for _ in 0..3 {
        engines.push(test.end_load(OrderOutcome::Failed).engine);
        test.advance(600);
    }
    assert!(test.loads.is_empty());
    assert_ne!(engines[0], engines[1], "the second attempt uses another engine");
    let reason = PermitRefusalReason::Refused(RefusalReason::LoadFailed);
    assert_eq!(test.refused(first), Some(reason));
    let second = test.want("menus@1");
    assert_eq!(test.refused(second), Some(reason), "refused immediately");
    test.advance(5_000);
    let third = test.want("menus@1");
    test.settle();
    assert!(test.granted(third).is_some(), "loaded again after the cooldown");
}

#[test]
fn no_load_starts_without_a_grant() {
    let mut test = common::TestCell::new(1, 8, 8);
    test.auto_grant = false;
    for index in 0..4 {
        test.want(&format!("a{index}@1"));
    }
    assert!(test.loads.is_empty());
    test.grant_loads(3);
    assert_eq!(test.loads.len(), 3);
    for _ in 0..3 {
        test.end_load(OrderOutcome::Done);
    }
    assert_eq!(test.loads.len(), 0);
    assert_eq!(test.returned, [true; 3]);
}

#[test]
fn many_cold_adapters_of_one_customer_do_not_delay_another() {
    let mut test = common::TestCell::new(1, 64, 8);
    test.auto_grant = false;
    for index in 0..40 {
        test.want_from("a", "flood", &format!("cold{index}@1"));
    }
    test.want_from("a", "calm", "menus@1");
    test.grant_loads(2);
    let loaded: Vec<_> = test.loads.iter().map(|order| order.adapter.to_string()).collect();
    assert!(loaded.contains(&"menus@1".to_owned()), "{loaded:?}");
}

//! Leaving, slow and failing engines, outdated reports, and the choice among engines.

mod common;

use std::time;

use coltsfoot_placement::event::{CellEvent, OrderOutcome};
use coltsfoot_placement::settings::CellSettings;
use coltsfoot_types::id;
use coltsfoot_wire::placement::AttemptOutcome;
use rstest::rstest;

#[test]
fn a_leaving_engine_gets_no_new_work_and_finishes_running_requests() {
    let mut test = common::TestCell::new(2, 4, 8);
    let running = test.want("menus@1");
    test.settle();
    let engine = test.granted(running).unwrap().engine.clone();
    test.send(CellEvent::EngineLeaving { engine: engine.clone() });
    let next = test.want("menus@1");
    test.settle();
    assert_ne!(test.granted(next).unwrap().engine, engine);
    test.answer(running);
    assert!(test.loads.is_empty());
}

#[test]
fn requests_that_wait_for_a_leaving_engines_batch_go_elsewhere() {
    let mut test = common::TestCell::new(2, 4, 1);
    let running = test.want("menus@1");
    test.settle();
    let waiting = test.want("menus@1");
    let engine = test.granted(running).unwrap().engine.clone();
    test.send(CellEvent::EngineLeaving { engine: engine.clone() });
    test.advance(100);
    test.settle();
    assert!(test.granted(waiting).is_some_and(|grant| grant.engine != engine));
}

/// A report may predate the last orders and must not revert them.
#[rstest]
#[case::not_yet_shown(&[], true)]
#[case::shown(&["menus@1"], true)]
fn an_outdated_report_does_not_undo_a_load(#[case] resident: &[&str], #[case] held: bool) {
    let mut test = common::TestCell::new(1, 2, 8);
    test.warm("menus@1");
    test.report("e0", 1, 0, resident);
    assert_eq!(test.holds("e0", "menus@1"), held);
}

#[test]
fn an_outdated_report_does_not_restore_an_evicted_adapter() {
    let mut test = common::TestCell::new(1, 1, 8);
    test.warm("menus@1");
    test.advance(3_000);
    test.warm("rosters@1");
    test.report("e0", 1, 0, &["menus@1"]);
    assert!(!test.holds("e0", "menus@1"));
    assert!(test.holds("e0", "rosters@1"));
}

#[test]
fn an_adapter_missing_from_current_reports_is_removed() {
    let mut test = common::TestCell::new(1, 2, 8);
    test.warm("menus@1");
    test.advance(3_000);
    test.report("e0", 1, 0, &[]);
    assert!(!test.holds("e0", "menus@1"));
}

#[test]
fn a_load_whose_answer_was_lost_is_detected_from_the_report() {
    let mut test = common::TestCell::new(1, 2, 8);
    let attempt = test.want("menus@1");
    test.end_load(OrderOutcome::Failed);
    test.now = test.now + time::Duration::from_secs(3);
    test.report("e0", 1, 0, &["menus@1"]);
    assert!(test.granted(attempt).is_some());
}

#[test]
fn a_reported_adapter_beyond_the_slots_is_unloaded() {
    let mut test = common::TestCell::new(1, 1, 8);
    test.warm("menus@1");
    test.advance(3_000);
    test.report("e0", 1, 0, &["menus@1", "stray@1"]);
    let order = test.end_unload(OrderOutcome::Done);
    assert_eq!(order.adapter.to_string(), "stray@1");
    assert!(test.holds("e0", "menus@1"));
}

#[test]
fn a_not_resident_answer_removes_the_residency() {
    let mut test = common::TestCell::new(1, 2, 8);
    test.warm("menus@1");
    let attempt = test.want("menus@1");
    test.release(attempt, AttemptOutcome::NotResident);
    let next = test.want("menus@1");
    assert!(test.granted(next).is_none());
    test.settle();
    assert!(test.granted(next).is_some());
}

/// An engine counts as slow by the duration of its recent answers.
#[test]
fn a_slow_engine_gets_little_work() {
    let mut test = common::TestCell::new(3, 2, 16);
    for adapter in ["a@1", "b@1", "c@1"] {
        test.warm(adapter);
    }
    let slow = (0..3).map(|index| format!("e{index}")).find(|name| test.holds(name, "a@1"));
    for _ in 0..12 {
        for adapter in ["a@1", "b@1", "c@1"] {
            let attempt = test.want(adapter);
            let Some(grant) = test.granted(attempt) else { continue };
            let is_slow = Some(grant.engine.to_string()) == slow;
            let duration = time::Duration::from_secs(if is_slow { 60 } else { 3 });
            let outcome = AttemptOutcome::Answered { output_tokens: 100, duration };
            test.release(attempt, outcome);
        }
        test.advance(50);
    }
    let attempts: Vec<_> = (0..12).map(|_| test.want("a@1")).collect();
    test.settle();
    test.advance(100);
    let on_slow = |attempt: &&id::AttemptId| {
        test.granted(**attempt).is_some_and(|grant| Some(grant.engine.to_string()) == slow)
    };
    assert!(attempts.iter().filter(on_slow).count() <= 2, "slow engine has a batch of 2, not 16");
    assert!(attempts.iter().all(|attempt| test.granted(*attempt).is_some()));
}

#[test]
fn an_engine_is_suspended_after_consecutive_failures() {
    let mut test = common::TestCell::new(2, 4, 8);
    test.warm("menus@1");
    for _ in 0..3 {
        let attempt = test.want("menus@1");
        test.release(attempt, AttemptOutcome::EngineFailed);
    }
    let attempt = test.want("menus@1");
    assert!(test.granted(attempt).is_none());
    test.settle();
    assert!(test.granted(attempt).is_some(), "loaded on the other engine");
}

#[test]
fn a_popular_adapter_gets_a_replica_before_its_batch_is_full() {
    let mut test = common::TestCell::new(2, 2, 10);
    test.warm("hot@1");
    for _ in 0..10 {
        test.want("hot@1");
    }
    assert_eq!(test.loads.len(), 1, "replica ordered while the first batch still has room");
    test.settle();
    assert!(test.holds("e0", "hot@1") && test.holds("e1", "hot@1"));
}

#[test]
fn a_replica_does_not_evict_a_more_popular_adapter() {
    let mut test = common::TestCell::new(2, 1, 10);
    test.warm("other@1");
    for _ in 0..50 {
        test.warm("other@1");
    }
    test.warm("hot@1");
    for _ in 0..10 {
        test.want("hot@1");
    }
    test.advance(3_000);
    assert!(test.unloads.is_empty());
}

#[test]
fn adapters_requested_once_do_not_evict_popular_ones() {
    let mut test = common::TestCell::new(1, 3, 8);
    for _ in 0..5 {
        test.warm("menus@1");
        test.warm("rosters@1");
    }
    for index in 0..20 {
        test.advance(1_500);
        test.warm(&format!("scan{index}@1"));
    }
    assert!(test.holds("e0", "menus@1") && test.holds("e0", "rosters@1"));
}

#[test]
fn popularity_decays_after_a_shift() {
    let settings =
        CellSettings::builder().popularity_half_life(time::Duration::from_secs(60)).build();
    let mut test = common::TestCell::with_settings(1, 1, 8, settings);
    for _ in 0..20 {
        test.warm("former@1");
    }
    test.advance(600_000);
    test.gain_ownership(&[], false);
    test.report("e0", 1, 0, &["former@1"]);
    for _ in 0..3 {
        test.warm("new@1");
        test.advance(1_500);
    }
    assert!(test.holds("e0", "new@1"));
}

#[test]
fn a_started_batch_is_filled_before_an_empty_one() {
    let mut test = common::TestCell::new(2, 2, 4);
    test.warm("menus@1");
    let attempts: Vec<_> = (0..4).map(|_| test.want("menus@1")).collect();
    test.settle();
    let engine = &test.granted(attempts[0]).unwrap().engine;
    assert!(attempts.iter().all(|attempt| test.granted(*attempt).unwrap().engine == *engine));
}

#[test]
fn memory_is_bounded_by_recently_used_adapters() {
    let settings =
        CellSettings::builder().popularity_half_life(time::Duration::from_secs(1)).build();
    let mut test = common::TestCell::with_settings(1, 4, 8, settings);
    for index in 0..500 {
        test.warm(&format!("a{index}@1"));
        test.advance(50);
    }
    test.advance(10_000);
    assert!(test.cell.sizes().tracked_adapters < 20, "{:?}", test.cell.sizes());
}

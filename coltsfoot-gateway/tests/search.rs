//! Search for an upstream: when a request waits and when it is refused, by load pattern.

mod fleet_fixture;

use coltsfoot_gateway::upstream_search::{LoadEnd, SearchStep, UpstreamSearch};
use fleet_fixture::{TARGET, at, fleet, report_adapters, search_step};

#[test]
fn an_engine_that_holds_the_adapter_gets_the_request_at_once() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    report_adapters(&mut view, "b", &["x"], 0);
    let mut search = UpstreamSearch::new(at(0), TARGET);
    assert!(
        matches!(search_step(&mut search, 0, &view), SearchStep::Send(chosen) if &*chosen.id == "b")
    );
}

/// Load pattern: a burst takes the last slots while the load request is in transit.
#[test]
fn a_full_engine_is_not_requested_twice_before_a_wait() {
    let view = fleet(&[("a", "z"), ("b", "z")]);
    let mut search = UpstreamSearch::new(at(0), TARGET);
    let mut requested = Vec::new();
    for now in [0, 3] {
        let SearchStep::Load(chosen) = search_step(&mut search, now, &view) else {
            panic!("no load")
        };
        search.load_ended(&chosen.id, LoadEnd::NoSlot);
        requested.push(chosen.id);
    }
    requested.sort();
    assert_eq!(requested, ["a".into(), "b".into()]);
    assert!(matches!(search_step(&mut search, 6, &view), SearchStep::Wait(_)));
    assert!(matches!(search_step(&mut search, 46, &view), SearchStep::Load(_)));
}

/// Load pattern: long streams take all slots. A request that can't start in time is refused early.
#[test]
fn without_a_free_slot_a_request_is_refused_after_a_quarter_of_its_target_latency() {
    let mut view = fleet(&[("a", "z")]);
    report_adapters(&mut view, "a", &[], 0);
    let mut search = UpstreamSearch::new(at(0), TARGET);
    let mut now = 0;
    let reason = loop {
        match search_step(&mut search, now, &view) {
            SearchStep::Wait(pause) => now += pause.as_millis() as u64,
            SearchStep::Refuse(reason) => break reason,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(reason, "no_upstream");
    assert!((250..=290).contains(&now), "refused after {now} ms");
}

#[test]
fn a_slot_that_is_freed_meanwhile_is_used() {
    let mut view = fleet(&[("a", "z")]);
    report_adapters(&mut view, "a", &[], 0);
    let mut search = UpstreamSearch::new(at(0), TARGET);
    assert!(matches!(search_step(&mut search, 0, &view), SearchStep::Wait(_)));
    report_adapters(&mut view, "a", &[], 1);
    assert!(matches!(search_step(&mut search, 40, &view), SearchStep::Load(_)));
}

/// Failure: several owners are killed. A request tries at most three of them.
#[test]
fn a_request_is_refused_after_three_failed_loads() {
    let view = fleet(&[("a", "z"), ("b", "z"), ("c", "z"), ("d", "z")]);
    let mut search = UpstreamSearch::new(at(0), TARGET);
    for now in 0..3 {
        let SearchStep::Load(chosen) = search_step(&mut search, now, &view) else {
            panic!("no load")
        };
        search.load_ended(&chosen.id, LoadEnd::Failed);
    }
    assert_eq!(search_step(&mut search, 3, &view), SearchStep::Refuse("no_place"));
}

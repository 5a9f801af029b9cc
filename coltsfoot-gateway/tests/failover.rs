//! When another upstream is sought for a request whose upstream is silent.

mod fleet_fixture;

use std::time;

use coltsfoot_gateway::failover_timer::FailoverTimer;
use coltsfoot_gateway::rules;
use coltsfoot_gateway::upstream_search::{SearchStep, UpstreamSearch};
use fleet_fixture::{at, fleet, report_adapters, search_step};
use rstest::rstest;
use smallvec::smallvec;

fn route(kind: rules::RouteKind, target_ms: u64) -> rules::RouteRule {
    rules::RouteRule::builder()
        .name("r".into())
        .host("h".into())
        .path_prefix("/".into())
        .kind(kind)
        .timeout(time::Duration::from_secs(9))
        .target_latency(time::Duration::from_millis(target_ms))
        .services(smallvec![rules::TrafficShare { service: "llm".into(), weight: 1 }])
        .build()
}

/// Returns the first millisecond at which the timer is due, checked each 10 ms.
fn due_ms(timer: &FailoverTimer, from_ms: u64, is_upstream_silent: bool) -> u64 {
    let mut checks = (from_ms..).step_by(10);
    checks.find(|ms| timer.is_due(at(*ms), is_upstream_silent)).expect("due at some time")
}

#[rstest]
#[case::whole_response(rules::RouteKind::Idempotent, 600, false, 600)]
#[case::stream(rules::RouteKind::Streaming, 600, false, 1200)]
#[case::stream_of_a_silent_upstream(rules::RouteKind::Streaming, 600, true, 600)]
fn without_a_head_another_upstream_is_sought_by_the_target_latency(
    #[case] kind: rules::RouteKind,
    #[case] target_ms: u64,
    #[case] is_upstream_silent: bool,
    #[case] expected_ms: u64,
) {
    let timer = FailoverTimer::for_head(at(1000), &route(kind, target_ms));
    assert_eq!(due_ms(&timer, 1000, is_upstream_silent), 1000 + expected_ms);
}

/// Load pattern: an engine pauses for a second between events, again and again, and goes on.
#[test]
fn pauses_of_a_second_cause_no_search() {
    let mut timer = FailoverTimer::for_first_event(at(0), &route(rules::RouteKind::Streaming, 300));
    for event_ms in (1000..20_000).step_by(1000) {
        assert!(due_ms(&timer, event_ms - 1000, true) > event_ms);
        timer.event_received(at(event_ms));
    }
    assert_eq!(due_ms(&timer, 19_000, false), 20_500);
}

/// Load pattern: all engines are full, and one of them pauses under many streams.
#[test]
fn searches_that_find_no_upstream_are_spaced() {
    let mut timer = FailoverTimer::for_first_event(at(0), &route(rules::RouteKind::Streaming, 300));
    let mut searches = Vec::new();
    let mut now_ms = 0;
    while searches.len() < 7 {
        now_ms = due_ms(&timer, now_ms, true);
        assert!(timer.time_until_due(at(now_ms)).is_zero());
        searches.push(now_ms);
        timer.search_failed(at(now_ms));
    }
    assert_eq!(searches, [1500, 1800, 2400, 3600, 6000, 8400, 10_800]);
    timer.event_received(at(now_ms));
    timer.search_failed(at(now_ms + 1500));
    assert_eq!(due_ms(&timer, now_ms, true), now_ms + 1800, "progress restarts the pauses");
}

#[test]
fn search_during_a_pause_never_chooses_the_paused_upstream_and_never_waits() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    report_adapters(&mut view, "a", &["x"], 0);
    let mut search = UpstreamSearch::without_wait(at(0), "a".into());
    assert!(
        matches!(search_step(&mut search, 0, &view), SearchStep::Load(chosen) if &*chosen.id == "b")
    );
    report_adapters(&mut view, "b", &[], 0);
    assert_eq!(search_step(&mut search, 0, &view), SearchStep::Refuse("no_upstream"));
}

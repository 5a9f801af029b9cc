//! Draining upstreams and upstreams that asked for a backoff, as the search for an upstream sees
//! them.

mod fleet_fixture;

use std::time;

use coltsfoot_gateway::availability_table::{self, UpstreamAvailability};
use coltsfoot_gateway::fleet_view;
use coltsfoot_gateway::upstream;
use coltsfoot_gateway::upstream_search::SearchStep;
use fleet_fixture::{at, entry, fleet, prompt, report_adapters, sends_to, service, step};
use rstest::rstest;

fn number(view: &fleet_view::FleetView, id: &str) -> u32 {
    view.upstream(id).expect("known").number
}

/// Between the choice of an engine and the request lie the load of an adapter and a permit.
#[test]
fn upstream_that_leaves_after_it_was_chosen_gets_no_request() {
    let mut view = fleet(&[("a", "z")]);
    report_adapters(&mut view, "a", &["x"], 0);
    assert!(sends_to(&step(0, &view), "a"));
    assert!(view.sendable_upstream(at(0), "a").is_ok());
    let mut draining = entry("a", "z");
    draining.state = upstream::UpstreamState::Draining;
    view.put_upstream(draining);
    assert_eq!(view.sendable_upstream(at(1), "a").err(), Some("upstream_draining"));
    view.put_upstream(entry("a", "z"));
    let number = number(&view, "a");
    view.availability_mut().mark_draining(at(2), number);
    assert_eq!(view.sendable_upstream(at(2), "a").err(), Some("upstream_closed"));
    view.remove_upstream("a");
    assert_eq!(view.sendable_upstream(at(3), "a").err(), Some("upstream_gone"));
}

#[test]
fn a_draining_incarnation_stays_unavailable_whatever_its_entry_says() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    report_adapters(&mut view, "a", &["x"], 0);
    report_adapters(&mut view, "b", &["x"], 0);
    let draining = number(&view, "a");
    assert!(view.availability_mut().mark_draining(at(0), draining));
    assert!(!view.availability_mut().mark_draining(at(1), draining), "known");
    assert!(sends_to(&step(10, &view), "b"));
    view.put_upstream(entry("a", "z"));
    assert!(sends_to(&step(20, &view), "b"), "its entry says ready again");
    view.remove_upstream("a");
    view.put_upstream(entry("a", "z"));
    report_adapters(&mut view, "a", &["x"], 0);
    assert!(sends_to(&step(30, &view), "b"), "its entry expired and came back");
    view.remove_upstream("b");
    assert!(matches!(step(40, &view), SearchStep::Wait(_)), "a new upstream may start soon");
    let mut again = entry("a", "z");
    again.born_ms = Some(again.born_ms.unwrap_or_default() + 1);
    view.put_upstream(again);
    report_adapters(&mut view, "a", &["x"], 0);
    assert!(sends_to(&step(50, &view), "a"), "a new incarnation");
}

#[test]
fn requests_are_refused_while_all_upstreams_back_off() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    for (id, seconds) in [("a", 3), ("b", 2)] {
        report_adapters(&mut view, id, &["x"], 0);
        let number = number(&view, id);
        view.availability_mut().back_off(at(0), number, time::Duration::from_secs(seconds));
    }
    assert_eq!(step(10, &view), SearchStep::Refuse("upstreams_quiet"));
    assert_eq!(view.next_available(at(10), &service().name), Some(at(2000)));
    assert!(
        matches!(step(1900, &view), SearchStep::Wait(_)),
        "the backoff ends soon enough to wait"
    );
    assert!(sends_to(&step(2000, &view), "b"));
}

#[test]
fn one_probe_request_is_sent_after_a_backoff() {
    let mut view = fleet(&[("a", "z")]);
    report_adapters(&mut view, "a", &["x"], 0);
    let number = number(&view, "a");
    view.availability_mut().back_off(at(0), number, time::Duration::from_secs(1));
    view.availability_mut().end_backoff(at(500), number);
    assert_eq!(
        view.availability().status(at(600), number),
        UpstreamAvailability::UnavailableUntil(at(1000)),
        "a response to an earlier request does not end the backoff"
    );
    assert!(sends_to(&step(1000, &view), "a"));
    view.request_sent(at(1000), "a", Some(&prompt("x", 1)));
    assert!(!sends_to(&step(1010, &view), "a"), "the probe is in progress");
    view.availability_mut().end_backoff(at(1100), number);
    assert!(sends_to(&step(1110, &view), "a"));
}

#[rstest]
#[case::longer(2, 3, 3)]
#[case::shorter(3, 2, 3)]
#[case::beyond_the_maximum(2, u64::MAX, availability_table::MAX_BACKOFF.as_secs())]
fn the_longest_backoff_applies(#[case] first: u64, #[case] second: u64, #[case] expected: u64) {
    let mut table = availability_table::AvailabilityTable::default();
    for seconds in [first, second] {
        table.back_off(at(0), 7, time::Duration::from_secs(seconds));
    }
    assert_eq!(table.status(at(1), 7), UpstreamAvailability::UnavailableUntil(at(expected * 1000)));
}

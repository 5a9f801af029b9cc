//! Upstreams that leave or want nothing for a while, as placing sees them.

mod fleet_fixture;

use std::time;

use coltsfoot_gateway::availability_table::{self, UpstreamAvailability};
use coltsfoot_gateway::fleet_view;
use coltsfoot_gateway::upstream_search::SearchStep;
use fleet_fixture::{at, entry, fleet, prompt, sends_to, service, step, tell};
use rstest::rstest;

fn number(view: &fleet_view::FleetView, id: &str) -> u32 {
    view.upstream(id).expect("known").number
}

#[test]
fn an_incarnation_that_leaves_stays_out_whatever_its_entry_says() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    tell(&mut view, "a", &["x"], 0);
    tell(&mut view, "b", &["x"], 0);
    let leaving = number(&view, "a");
    assert!(view.availability_mut().mark_draining(at(0), leaving));
    assert!(!view.availability_mut().mark_draining(at(1), leaving), "known");
    assert!(sends_to(&step(10, &view), "b"));
    view.put_upstream(entry("a", "z"));
    assert!(sends_to(&step(20, &view), "b"), "told ready again");
    view.remove_upstream("a");
    view.put_upstream(entry("a", "z"));
    tell(&mut view, "a", &["x"], 0);
    assert!(sends_to(&step(30, &view), "b"), "its entry lapsed and came back");
    view.remove_upstream("b");
    assert!(matches!(step(40, &view), SearchStep::Wait(_)), "there may be a new one soon");
    let mut again = entry("a", "z");
    again.born_ms = Some(again.born_ms.unwrap_or_default() + 1);
    view.put_upstream(again);
    tell(&mut view, "a", &["x"], 0);
    assert!(sends_to(&step(50, &view), "a"), "a new incarnation");
}

#[test]
fn all_upstreams_that_want_quiet_refuse_at_once_until_the_first_wants_work() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    for (id, seconds) in [("a", 3), ("b", 2)] {
        tell(&mut view, id, &["x"], 0);
        let number = number(&view, id);
        view.availability_mut().back_off(at(0), number, time::Duration::from_secs(seconds));
    }
    assert_eq!(step(10, &view), SearchStep::Refuse("upstreams_quiet"));
    assert_eq!(view.next_available(at(10), &service().name), Some(at(2000)));
    assert!(matches!(step(1900, &view), SearchStep::Wait(_)), "it is worth waiting");
    assert!(sends_to(&step(2000, &view), "b"));
}

#[test]
fn one_request_is_tried_after_a_quiet_time_before_all_that_waited() {
    let mut view = fleet(&[("a", "z")]);
    tell(&mut view, "a", &["x"], 0);
    let number = number(&view, "a");
    view.availability_mut().back_off(at(0), number, time::Duration::from_secs(1));
    view.availability_mut().end_backoff(at(500), number);
    assert_eq!(
        view.availability().status(at(600), number),
        UpstreamAvailability::UnavailableUntil(at(1000)),
        "an answer to a request from before ends nothing"
    );
    assert!(sends_to(&step(1000, &view), "a"));
    view.request_sent(at(1000), "a", Some(&prompt("x", 1)));
    assert!(!sends_to(&step(1010, &view), "a"), "the first one is tried");
    view.availability_mut().end_backoff(at(1100), number);
    assert!(sends_to(&step(1110, &view), "a"));
}

#[rstest]
#[case::longer(2, 3, 3)]
#[case::shorter(3, 2, 3)]
#[case::beyond_any_use(2, u64::MAX, availability_table::MAX_BACKOFF.as_secs())]
fn the_longest_wish_counts(#[case] first: u64, #[case] second: u64, #[case] expected: u64) {
    let mut table = availability_table::AvailabilityTable::default();
    for seconds in [first, second] {
        table.back_off(at(0), 7, time::Duration::from_secs(seconds));
    }
    assert_eq!(table.status(at(1), 7), UpstreamAvailability::UnavailableUntil(at(expected * 1000)));
}

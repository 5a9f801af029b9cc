//! Quarantine of requests that crash any upstream, across several instances.

use std::collections;
use std::net;
use std::time;

use coltsfoot_gateway::crash_ledger::{self, NoticeAudience};
use coltsfoot_gateway::fleet_view;
use coltsfoot_once::crash_suspects::RunEnd;
use coltsfoot_types::time as clock;
use coltsfoot_wire::{fleet, once};

mod fleet_fixture;

const CRASHING: once::RequestDigest = once::RequestDigest([1; 32]);
const INNOCENT: once::RequestDigest = once::RequestDigest([2; 32]);
const HOUR_S: u64 = 3600;

fn at_s(seconds: u64) -> clock::MonotonicTime {
    clock::MonotonicTime::default() + time::Duration::from_secs(seconds)
}

/// Runs a request until its upstream crashes; returns the notice for other instances.
fn run_to_crash(
    ledger: &mut crash_ledger::CrashLedger,
    second: u64,
    upstream: &str,
    digest: once::RequestDigest,
) -> Option<once::CrashNotice> {
    let now = at_s(second);
    let attempt = ledger.begin(upstream, digest);
    ledger.end(now, upstream, attempt, &digest, RunEnd::ConnectionLost);
    ledger.record_crash(now, upstream, second * 1000).into_iter().next()
}

/// Runs a request to its end; returns the recipients of the clearance.
fn run_to_completion(
    ledger: &mut crash_ledger::CrashLedger,
    second: u64,
    digest: once::RequestDigest,
) -> Option<NoticeAudience> {
    let attempt = ledger.begin("sound", digest);
    ledger.end(at_s(second), "sound", attempt, &digest, RunEnd::Completed)
}

#[test]
fn a_request_is_quarantined_after_three_crashes_even_if_no_instance_saw_two() {
    let mut ledgers: [crash_ledger::CrashLedger; 4] = Default::default();
    let [first, second, third, collector] = &mut ledgers;
    let one = run_to_crash(first, 1, "a", CRASHING).expect("a crash");
    assert_eq!(crash_ledger::audience(one.crashes.len()), NoticeAudience::Collectors);
    let two = run_to_crash(second, 5, "b", CRASHING).expect("a crash");
    assert!(collector.merge_notice(at_s(1), &one).expect("a new notice").merged.is_none());
    let merged =
        collector.merge_notice(at_s(5), &two).expect("a new notice").merged.expect("both crashes");
    assert_eq!(crash_ledger::audience(merged.crashes.len()), NoticeAudience::All);
    for ledger in [&mut *first, &mut *second, &mut *third] {
        ledger.merge_notice(at_s(5), &merged);
        assert_eq!(ledger.quarantine_left(at_s(6), &CRASHING), None);
    }
    let three = run_to_crash(third, 9, "a", CRASHING).expect("a crash");
    assert!(first.merge_notice(at_s(9), &three).expect("a new notice").is_quarantined);
    assert!(collector.merge_notice(at_s(9), &three).expect("a new notice").is_quarantined);
    for ledger in [first, third, collector] {
        let refusal = ledger.quarantine_left(at_s(10), &CRASHING).expect("refused");
        assert!(refusal > time::Duration::from_secs(23 * HOUR_S));
    }
}

#[test]
fn one_crash_seen_by_several_instances_counts_once() {
    let [mut here, mut there]: [crash_ledger::CrashLedger; 2] = Default::default();
    let seen_here = run_to_crash(&mut here, 1, "a", CRASHING).expect("a crash");
    let attempt = there.begin("a", CRASHING);
    there.end(at_s(1), "a", attempt, &CRASHING, RunEnd::ConnectionLost);
    there.record_crash(at_s(1), "a", 1_400);
    assert_eq!(there.merge_notice(at_s(2), &seen_here), None);
    assert_eq!(there.crash_count(at_s(2), &CRASHING), 1);
    run_to_crash(&mut there, 3, "a", CRASHING);
    assert_eq!(there.crash_count(at_s(3), &CRASHING), 2, "the upstream had restarted");
}

#[test]
fn a_completed_request_is_no_longer_suspected() {
    let [mut here, mut there]: [crash_ledger::CrashLedger; 2] = Default::default();
    for second in [1, 4] {
        let notice = run_to_crash(&mut here, second, "a", INNOCENT).expect("a crash");
        there.merge_notice(at_s(second), &notice);
    }
    assert_eq!(run_to_completion(&mut here, 6, INNOCENT), Some(NoticeAudience::All));
    there.clear_request(at_s(6), &INNOCENT);
    assert_eq!(
        run_to_completion(&mut here, 7, INNOCENT),
        None,
        "the request is not suspected any more"
    );
    for ledger in [&mut here, &mut there] {
        run_to_crash(ledger, 9, "a", INNOCENT);
        assert_eq!(ledger.crash_count(at_s(9), &INNOCENT), 1);
    }
}

#[test]
fn crashes_hours_apart_do_not_add_up() {
    let mut ledger = crash_ledger::CrashLedger::default();
    for number in 0..6 {
        run_to_crash(&mut ledger, number * (HOUR_S + 1), "a", INNOCENT);
    }
    assert_eq!(ledger.quarantine_left(at_s(6 * HOUR_S), &INNOCENT), None);
}

#[test]
fn an_upstream_that_leaves_or_stays_alive_makes_no_suspects() {
    let mut ledger = crash_ledger::CrashLedger::default();
    let running = ledger.begin("a", INNOCENT);
    let lost = ledger.begin("a", CRASHING);
    ledger.end(at_s(1), "a", lost, &CRASHING, RunEnd::ConnectionLost);
    let suspected: Vec<_> = ledger
        .record_departure(at_s(2), "a", 2_000)
        .into_iter()
        .map(|notice| notice.digest)
        .collect();
    assert_eq!(suspected, [CRASHING], "the other request was still running");
    ledger.end(at_s(3), "a", running, &INNOCENT, RunEnd::Completed);

    let attempt = ledger.begin("b", INNOCENT);
    ledger.end(at_s(4), "b", attempt, &INNOCENT, RunEnd::ConnectionLost);
    ledger.confirm_alive("b");
    assert!(ledger.record_crash(at_s(5), "b", 5_000).is_empty());
}

#[test]
fn broadcast_notices_are_resent_newest_first_and_limited_in_number() {
    let mut ledger = crash_ledger::CrashLedger::default();
    for number in 0..20 {
        let digest = once::RequestDigest([number; 32]);
        for crash in 0..3 {
            run_to_crash(&mut ledger, u64::from(number) * 10 + crash * 2, "a", digest);
        }
    }
    run_to_crash(&mut ledger, 300, "a", once::RequestDigest([99; 32]));
    let resent = ledger.notices_to_resend(at_s(301));
    assert_eq!(resent.len(), 8);
    assert_eq!(resent[0].digest, once::RequestDigest([19; 32]));
    let mut new_ledger = crash_ledger::CrashLedger::default();
    assert!(new_ledger.merge_notice(at_s(301), &resent[0]).expect("a new notice").is_quarantined);
    assert_eq!(new_ledger.merge_notice(at_s(302), &resent[0]), None);
}

#[test]
fn all_instances_have_the_same_collectors_of_a_request() {
    let address = |id: u64| net::SocketAddr::from(([10, 0, 0, 1], id as u16));
    let collectors = |own: u64| {
        let mut view = fleet_view::FleetView::default();
        for id in (1..=40).filter(|id| *id != own) {
            let beat = fleet_fixture::sample_heartbeat(1, Vec::new());
            let beat = fleet::FleetHeartbeat { sender: id, address: address(id), ..beat };
            view.apply_heartbeat(at_s(1), &beat);
        }
        view.crash_collectors(own, &CRASHING)
    };
    let all: collections::BTreeSet<net::SocketAddr> = (1..=40).flat_map(collectors).collect();
    assert_eq!(all.len(), 3);
    let collecting = (1..=40).filter(|own| all.contains(&address(*own)));
    for own in collecting {
        assert_eq!(collectors(own).len(), 2, "a collector sends to the two others");
    }
}

/// Failure: the first crash is detected only by the upstream's next entry, shortly before it crashes again.
#[test]
fn a_crash_that_is_detected_late_does_not_hide_the_next_one() {
    let at_ms = |ms: u64| clock::MonotonicTime(ms * 1000);
    let mut ledger = crash_ledger::CrashLedger::default();
    let lose_connection = |ledger: &mut crash_ledger::CrashLedger, ms| {
        let attempt = ledger.begin("a", CRASHING);
        ledger.end(at_ms(ms), "a", attempt, &CRASHING, RunEnd::ConnectionLost);
    };
    lose_connection(&mut ledger, 0);
    assert_eq!(ledger.record_departure(at_ms(400), "a", 50_400).len(), 1);
    lose_connection(&mut ledger, 1_200);
    assert_eq!(ledger.record_crash(at_ms(1_201), "a", 51_201).len(), 1);
    assert_eq!(ledger.crash_count(at_ms(1_300), &CRASHING), 2);
}

//! Quarantine, circuit breaker, slow start and retry budget.

mod common;

use std::time;

use coltsfoot_once::circuit_breaker::{self, BreakerPermit, UpstreamOutcome};
use coltsfoot_once::crash_suspects::{self, RunEnd};
use coltsfoot_once::quarantine::{self, QuarantineStatus};
use coltsfoot_once::retry_budget;
use coltsfoot_types::{id, name};
use coltsfoot_wire::once;
use rstest::rstest;

use common::at_ms;

fn table() -> quarantine::QuarantineTable {
    quarantine::QuarantineTable::new(quarantine::QuarantineSettings::default())
}

fn digest(number: u8) -> once::RequestDigest {
    once::RequestDigest([number; 32])
}

fn attempt(number: u16) -> id::AttemptId {
    id::AttemptId { request: id::RequestId(u128::from(number)), number: 0 }
}

fn crash(upstream: &str) -> once::CrashId {
    once::CrashId { upstream: upstream.into(), generation: 1 }
}

const CULPRIT: u8 = 1;
const BYSTANDER: u8 = 2;

#[test]
fn two_crashes_quarantine_only_the_culprit() {
    let (first, second) = (name::UpstreamName::from("a"), name::UpstreamName::from("b"));
    let mut suspects = crash_suspects::CrashSuspects::default();
    let mut table = table();
    suspects.begin(&first, attempt(1), digest(CULPRIT), false);
    suspects.begin(&first, attempt(2), digest(BYSTANDER), false);
    suspects.end(at_ms(1), &first, attempt(1), RunEnd::ConnectionLost, &mut table);
    assert_eq!(suspects.record_crash(at_ms(2), &crash("a"), &mut table).len(), 2);
    assert_eq!(table.status(at_ms(3), &digest(CULPRIT)), QuarantineStatus::Suspected);

    assert!(suspects.may_join(&second, true));
    suspects.begin(&second, attempt(3), digest(CULPRIT), true);
    assert!(!suspects.may_join(&second, true), "suspects are isolated from each other");
    assert!(suspects.may_join(&second, false));
    suspects.begin(&first, attempt(4), digest(BYSTANDER), true);
    suspects.record_crash(at_ms(4), &crash("b"), &mut table);
    assert_eq!(table.status(at_ms(5), &digest(CULPRIT)), QuarantineStatus::Quarantined);
    suspects.end(at_ms(6), &first, attempt(4), RunEnd::Completed, &mut table);
    assert_eq!(table.status(at_ms(7), &digest(BYSTANDER)), QuarantineStatus::Clear);
    let end_ms = 5 + 600_000;
    assert_eq!(table.status(at_ms(end_ms), &digest(CULPRIT)), QuarantineStatus::Clear);
}

#[test]
fn lost_connection_without_a_crash_is_not_suspicious() {
    let upstream = name::UpstreamName::from("a");
    let mut suspects = crash_suspects::CrashSuspects::default();
    let mut table = table();
    suspects.begin(&upstream, attempt(1), digest(CULPRIT), false);
    suspects.end(at_ms(1), &upstream, attempt(1), RunEnd::ConnectionLost, &mut table);
    suspects.confirm_alive(&upstream);
    assert!(suspects.record_crash(at_ms(2), &crash("a"), &mut table).is_empty());
    assert_eq!(table.status(at_ms(3), &digest(CULPRIT)), QuarantineStatus::Clear);
}

#[rstest]
#[case::in_order(&[0, 1])]
#[case::duplicated_and_reversed(&[1, 0, 1, 0])]
fn notices_of_two_zones_merge_in_any_order(#[case] order: &[usize]) {
    let (mut here, mut there) = (table(), table());
    let notices = [
        here.record(at_ms(0), digest(CULPRIT), crash("a")).unwrap(),
        there.record(at_ms(0), digest(CULPRIT), crash("b")).unwrap(),
    ];
    let mut other = table();
    for index in order {
        other.merge(at_ms(1), &notices[*index]);
    }
    assert_eq!(other.status(at_ms(2), &digest(CULPRIT)), QuarantineStatus::Quarantined);
    assert!(!other.merge(at_ms(2), &notices[0]), "a known crash is not new");
}

#[test]
fn crash_recorded_twice_counts_once() {
    let mut table = table();
    assert!(table.record(at_ms(0), digest(CULPRIT), crash("a")).is_some());
    assert!(table.record(at_ms(1), digest(CULPRIT), crash("a")).is_none());
    assert_eq!(table.crashes(at_ms(2), &digest(CULPRIT)), 1);
}

fn answered(ms: u64) -> UpstreamOutcome {
    UpstreamOutcome::Answered(time::Duration::from_millis(ms))
}

#[rstest]
#[case::failing(UpstreamOutcome::Failed, BreakerPermit::Open)]
#[case::too_slow(answered(2_000), BreakerPermit::Open)]
#[case::slower_than_average(answered(200), BreakerPermit::Closed)]
#[case::neutral(UpstreamOutcome::Neutral, BreakerPermit::Closed)]
fn breaker_opens_on_failures_and_slow_responses(
    #[case] outcome: UpstreamOutcome,
    #[case] expected: BreakerPermit,
) {
    let settings = circuit_breaker::BreakerSettings::builder().build();
    let mut breaker = circuit_breaker::CircuitBreaker::new(settings);
    for _ in 0..20 {
        breaker.record(at_ms(0), answered(50));
    }
    for _ in 0..3 {
        breaker.record(at_ms(1), outcome);
    }
    assert_eq!(breaker.permit(at_ms(2)), expected);
}

#[test]
fn probe_closes_breaker_or_doubles_open_time() {
    let settings = circuit_breaker::BreakerSettings::builder().build();
    let mut breaker = circuit_breaker::CircuitBreaker::new(settings);
    for _ in 0..3 {
        breaker.record(at_ms(0), UpstreamOutcome::Failed);
    }
    assert_eq!(breaker.permit(at_ms(999)), BreakerPermit::Open);
    assert_eq!(breaker.permit(at_ms(1_000)), BreakerPermit::Probe);
    breaker.begin_probe(at_ms(1_000));
    assert_eq!(breaker.permit(at_ms(1_001)), BreakerPermit::Open, "one probe at a time");
    breaker.record(at_ms(1_100), UpstreamOutcome::Failed);
    assert_eq!(breaker.permit(at_ms(3_000)), BreakerPermit::Open);
    assert_eq!(breaker.permit(at_ms(3_100)), BreakerPermit::Probe);
    breaker.begin_probe(at_ms(3_100));
    breaker.record(at_ms(3_200), answered(50));
    assert_eq!(breaker.permit(at_ms(3_200)), BreakerPermit::Closed);
    let limits = [3_200, 5_700, 8_200].map(|ms| breaker.concurrency(at_ms(ms), 16));
    assert_eq!(limits, [1, 8, 16], "concurrency ramps up");
}

#[test]
fn retries_stay_within_ratio_of_traffic() {
    let settings = retry_budget::RetrySettings { ratio_permille: 100, max_saved_retries: 5 };
    let mut budget = retry_budget::RetryBudget::new(settings);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    // The first deposit is lost, since the budget starts full.
    assert_eq!(retries, 5 + 99);
}

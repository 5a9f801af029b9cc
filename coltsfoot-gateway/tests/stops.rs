//! Planned stops, and how long connections of callers may be idle.

use std::time;

use coltsfoot_gateway::duration_estimate::DurationEstimate;
use coltsfoot_gateway::idle_connection::IdleConnection;
use coltsfoot_gateway::stop_plan::{StopPhase, StopPlan};
use coltsfoot_types::time as clock;
use rstest::rstest;

/// Time of the runtime clock at which the stops begin.
const START_MS: u64 = 70_000;
/// Interval between checks of a stop.
const STEP_MS: u64 = 50;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime((START_MS + ms) * 1000)
}

/// Runs a stop whose requests and idle connections are open until the given times, and returns when it
/// entered each phase.
fn phase_times(grace_ms: u64, requests_until: u64, idle_until: u64) -> [u64; 2] {
    let mut plan = StopPlan::begin(at(0), time::Duration::from_millis(grace_ms));
    let mut entered = [0; 2];
    for ms in (STEP_MS..grace_ms).step_by(STEP_MS as usize) {
        let before = plan.phase();
        let is_idle_open = before < StopPhase::Closing || ms < idle_until;
        let sockets = usize::from(ms < requests_until) + usize::from(is_idle_open);
        let phase = plan.advance(at(ms), sockets);
        let index = [StopPhase::Closing, StopPhase::Ended].iter().position(|other| *other == phase);
        if let Some(index) = index.filter(|_| phase != before) {
            entered[index] = ms;
        }
    }
    entered
}

#[rstest]
#[case::nothing_open(8000, 0, 0, [2500, 2550])]
#[case::a_request_is_open(8000, 5000, 0, [2500, 5000])]
#[case::an_idle_connection_is_told(8000, 0, 2900, [2500, 2900])]
#[case::a_request_does_not_end(8000, 9000, 0, [2500, 7500])]
#[case::an_idle_connection_does_not_end(8000, 0, 9000, [2500, 7500])]
#[case::short_grace(3000, 9000, 0, [1250, 2500])]
fn stop_serves_and_closes_and_takes_no_longer_than_needed(
    #[case] grace_ms: u64,
    #[case] requests_until: u64,
    #[case] idle_until: u64,
    #[case] expected: [u64; 2],
) {
    assert_eq!(phase_times(grace_ms, requests_until, idle_until), expected);
}

#[test]
fn pause_of_the_process_in_a_stop_skips_no_phase() {
    let mut plan = StopPlan::begin(at(0), time::Duration::from_secs(8));
    let phases = [(); 3].map(|()| plan.advance(at(60_000), 1));
    assert_eq!(phases, [StopPhase::Closing, StopPhase::Ended, StopPhase::Ended]);
}

#[rstest]
#[case::just_answered(0, 300)]
#[case::idle_for_long(5000, 0)]
fn stop_closes_a_connection_once_its_caller_had_time_for_a_next_request(
    #[case] idle_ms: u64,
    #[case] left_ms: u64,
) {
    let idle = IdleConnection::begin(at(0), time::Duration::from_secs(15));
    assert_eq!(idle.time_left_in_stop(at(idle_ms)), time::Duration::from_millis(left_ms));
}

#[rstest]
#[case::unchanged(3000, 3000, 1000, 2000)]
#[case::lowered_limit_binds_the_next_idle_time_only(15_000, 3000, 12_000, 3000)]
#[case::raised_limit_binds_at_once(3000, 15_000, 4000, 11_000)]
#[case::over(3000, 3000, 3000, 0)]
fn idle_connection_is_kept_as_long_as_its_caller_may_use_it(
    #[case] limit_before_ms: u64,
    #[case] limit_ms: u64,
    #[case] idle_ms: u64,
    #[case] left_ms: u64,
) {
    let idle = IdleConnection::begin(at(0), time::Duration::from_millis(limit_before_ms));
    let left = idle.time_left(at(idle_ms), time::Duration::from_millis(limit_ms));
    assert_eq!(left, time::Duration::from_millis(left_ms));
}

/// Load pattern: a stop with 7.5 s for what runs, and requests at different moments of it.
#[rstest]
#[case::fits(1000, 15_000, false, Some(6000), true)]
#[case::does_not_fit(2000, 15_000, false, Some(6000), false)]
#[case::deadline_comes_first(2000, 7000, false, Some(6000), true)]
#[case::may_be_repeated(2000, 15_000, true, Some(6000), true)]
#[case::nothing_is_known(2000, 15_000, false, None, true)]
fn request_is_begun_in_a_stop_only_if_it_can_end(
    #[case] now: u64,
    #[case] deadline: u64,
    #[case] may_retry: bool,
    #[case] expected_ms: Option<u64>,
    #[case] may_begin: bool,
) {
    let plan = StopPlan::begin(at(0), time::Duration::from_secs(8));
    assert_eq!((plan.closes_at(), plan.ends_at()), (at(2500), at(7500)));
    let expected = expected_ms.map(time::Duration::from_millis);
    assert_eq!(plan.may_begin(at(now), at(deadline), may_retry, expected), may_begin);
}

/// Load pattern: streams of 20 to 200 tokens at engines of two speeds, then all slow down.
#[test]
fn expected_duration_follows_the_work_and_the_speed() {
    let mut estimate = DurationEstimate::default();
    assert_eq!(estimate.expected(100), None);
    let mut record = |round: u64, ms_per_token: u64| {
        let work = 20 + (round * 37 % 180) as u32;
        estimate.record(time::Duration::from_millis(ms_per_token * u64::from(work)), work);
        estimate.expected(100).expect("known")
    };
    let mixed: Vec<_> = (0..200).map(|round| record(round, 6 + round % 2 * 4)).collect();
    let steady = &mixed[50..];
    assert!(steady.iter().all(|expected| (1000..1400).contains(&expected.as_millis())));
    let slow: Vec<_> = (0..20).map(|round| record(round, 30)).collect();
    assert!(slow[10..].iter().all(|expected| expected.as_millis() >= 2800), "{slow:?}");
}

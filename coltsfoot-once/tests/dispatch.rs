//! Failures at every stage of a dispatch, for idempotent and once-only calls.

mod common;

use coltsfoot_once::claim_request::{self, ClaimAction, ClaimEvent};
use coltsfoot_once::dispatch::{self, DispatchActions};
use coltsfoot_once::dispatch_event::{
    AttemptEvent, CallEnd, DispatchAction, DispatchEvent, ResponseHead, ResponseIdentity,
};
use coltsfoot_once::{retry_budget, run_state};
use coltsfoot_types::{id, refusal};
use coltsfoot_wire::once;
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

use common::{at_ms, entry};

const DEADLINE_MS: u64 = 3_000;

struct DispatchTest {
    machine: dispatch::DispatchMachine,
    budget: retry_budget::RetryBudget,
    rng: rngs::SmallRng,
    ms: u64,
}

fn won_claim() -> claim_request::WonClaim {
    let mut request = claim_request::ClaimRequest::new(
        at_ms(0),
        run_state::PendingRequest::new(),
        claim_request::ClaimSettings::default(),
        entry(1, 0),
        at_ms(DEADLINE_MS),
    );
    let verdict = ClaimEvent::Verdict(once::ClaimVerdict::Won);
    let action = request.handle(at_ms(0), verdict).into_iter().next();
    let Some(ClaimAction::Dispatch(claim)) = action else { panic!("{action:?}") };
    claim
}

impl DispatchTest {
    fn new(once_only: bool, streamed: bool) -> Self {
        let kind = match once_only {
            true => dispatch::CallKind::OnceOnly(won_claim()),
            false => dispatch::CallKind::Idempotent(run_state::PendingRequest::new()),
        };
        let settings = dispatch::DispatchSettings::builder()
            .request(id::RequestId(7))
            .maybe_adapter(streamed.then(|| "menus@3".parse().unwrap()))
            .is_streamed(streamed)
            .deadline(at_ms(DEADLINE_MS))
            .build();
        Self {
            machine: dispatch::DispatchMachine::new(kind, settings),
            budget: retry_budget::RetryBudget::new(retry_budget::RetrySettings::default()),
            rng: rngs::SmallRng::seed_from_u64(1),
            ms: 0,
        }
    }

    fn handle(&mut self, event: DispatchEvent) -> DispatchActions {
        self.machine.handle(at_ms(self.ms), event, &mut self.budget, &mut self.rng)
    }

    fn permit(&mut self, number: u16) -> DispatchActions {
        self.handle(DispatchEvent::Tick);
        let upstream = format!("upstream-{number}").as_str().into();
        let attempt = attempt(number);
        self.handle(DispatchEvent::Permitted { attempt, upstream, is_draining: false })
    }

    fn attempt(&mut self, number: u16, event: AttemptEvent) -> DispatchActions {
        self.handle(DispatchEvent::Attempt(attempt(number), event))
    }
}

fn attempt(number: u16) -> id::AttemptId {
    id::AttemptId { request: id::RequestId(7), number }
}

fn identity(number: u16) -> ResponseIdentity {
    ResponseIdentity {
        attempt: Some(attempt(number).to_string()),
        adapter: Some("menus@3".to_owned()),
    }
}

fn head(status: u16, is_not_run: bool) -> AttemptEvent {
    AttemptEvent::Head(ResponseHead { status, is_not_run })
}

fn token(number: u32) -> AttemptEvent {
    AttemptEvent::Token { number, identity: identity(0) }
}

/// Lists the actions that are visible to caller, upstream and log.
fn describe(actions: &DispatchActions) -> String {
    let names = actions.iter().filter_map(|action| match action {
        DispatchAction::CountRetry(reason) => Some(format!("retry {}", reason.code())),
        DispatchAction::Refuse { reason, run, .. } => Some(format!("{} {run}", reason.code())),
        DispatchAction::AbortStream(reason, run) => Some(format!("abort {} {run}", reason.code())),
        DispatchAction::RecordOutcome(CallEnd::Answered) => Some("record Answered".to_owned()),
        DispatchAction::RecordOutcome(CallEnd::Unanswered(entry)) => {
            Some(format!("record {:?}", entry.outcome))
        }
        DispatchAction::ForwardResponse => Some("forward".to_owned()),
        DispatchAction::EndStream => Some("end".to_owned()),
        DispatchAction::ForwardToken => Some("token".to_owned()),
        DispatchAction::Cancel(..) => Some("cancel".to_owned()),
        DispatchAction::CountStaleResponse => Some("stale".to_owned()),
        DispatchAction::Resume { after, .. } => Some(format!("resume {after}")),
        _ => None,
    });
    names.collect::<Vec<_>>().join(", ")
}

#[rstest]
#[case::before_connect(vec![AttemptEvent::ConnectFailed],
    "retry connect_failed", "retry connect_failed")]
#[case::while_sending(vec![AttemptEvent::SendFailed],
    "cancel, retry send_failed", "upstream_failed unknown, record MayHaveRun")]
#[case::upstream_closes_connection(vec![AttemptEvent::NoResponse],
    "cancel, retry no_answer", "upstream_failed unknown, record MayHaveRun")]
#[case::times_out(vec![AttemptEvent::TimedOut],
    "cancel, retry timed_out", "upstream_failed unknown, record MayHaveRun")]
#[case::refused_without_running(vec![head(503, true)],
    "retry refused_unrun", "retry refused_unrun")]
#[case::server_error(vec![head(500, false), AttemptEvent::Ended(identity(0))],
    "cancel, retry server_error", "forward, record Answered")]
#[case::client_error(vec![head(400, true), AttemptEvent::Ended(identity(0))],
    "forward", "forward, record Answered")]
#[case::body_truncated(vec![head(200, false), AttemptEvent::BodyFailed],
    "cancel, retry broken_answer", "upstream_failed yes, record RanWithoutAnswer")]
#[case::body_stalls(vec![head(200, false), AttemptEvent::TimedOut],
    "cancel, retry timed_out", "upstream_failed yes, record RanWithoutAnswer")]
#[case::response_to_another_request(vec![head(200, false), AttemptEvent::Ended(identity(9))],
    "cancel, retry wrong_answer", "wrong_answer unknown, record MayHaveRun")]
#[case::complete(vec![head(200, false), AttemptEvent::Ended(identity(0))],
    "forward", "forward, record Answered")]
fn failures_are_retried_or_reported_with_run_state(
    #[case] events: Vec<AttemptEvent>,
    #[case] idempotent: &str,
    #[case] once_only: &str,
    #[values(false, true)] is_once_only: bool,
) {
    let mut test = DispatchTest::new(is_once_only, false);
    let sent = test.permit(0);
    let is_fresh = |action: &DispatchAction| match action {
        DispatchAction::Send { needs_fresh_connection, .. } => *needs_fresh_connection,
        _ => false,
    };
    assert_eq!(sent.iter().any(is_fresh), is_once_only);
    let all: Vec<_> = events.into_iter().map(|event| describe(&test.attempt(0, event))).collect();
    let seen = all.into_iter().filter(|names| !names.is_empty() && names != "stale");
    let expected = if is_once_only { once_only } else { idempotent };
    assert_eq!(seen.collect::<Vec<_>>().join("; "), expected);
}

#[rstest]
#[case::not_sent(false, None, "deadline_exceeded no, record NotRun")]
#[case::sent(true, None, "deadline_exceeded unknown")]
#[case::late_response(true, Some("record Answered"), "deadline_exceeded unknown")]
fn once_only_call_continues_after_its_deadline(
    #[case] is_sent: bool,
    #[case] late: Option<&str>,
    #[case] expected: &str,
) {
    let mut test = DispatchTest::new(true, false);
    match is_sent {
        true => drop(test.permit(0)),
        false => drop(test.handle(DispatchEvent::Tick)),
    }
    test.ms = DEADLINE_MS;
    assert_eq!(describe(&test.handle(DispatchEvent::Tick)), expected);
    if let Some(late) = late {
        test.attempt(0, head(200, false));
        assert_eq!(describe(&test.attempt(0, AttemptEvent::Ended(identity(0)))), late);
    }
}

#[test]
fn retries_are_limited_by_deadline_attempts_and_budget() {
    let mut test = DispatchTest::new(false, false);
    test.permit(0);
    test.ms = DEADLINE_MS - 1;
    let actions = test.attempt(0, AttemptEvent::ConnectFailed);
    assert_eq!(describe(&actions), "upstream_failed no", "a retry would pass the deadline");

    let mut test = DispatchTest::new(false, false);
    for number in 0..4 {
        test.ms += 200;
        test.permit(number);
        let expected = if number < 3 { "retry connect_failed" } else { "upstream_failed no" };
        assert_eq!(describe(&test.attempt(number, AttemptEvent::ConnectFailed)), expected);
    }

    let mut test = DispatchTest::new(false, false);
    while test.budget.withdraw() {}
    test.permit(0);
    let actions = test.attempt(0, AttemptEvent::NoResponse);
    assert_eq!(describe(&actions), "cancel, upstream_failed unknown");
}

#[rstest]
#[case::before_any_attempt(0, "no_upstream no, record NotRun")]
#[case::after_an_attempt(1, "upstream_failed no, record NotRun")]
fn refusal_without_upstream_depends_on_previous_attempts(
    #[case] attempts: u16,
    #[case] expected: &str,
) {
    let mut test = DispatchTest::new(true, false);
    test.handle(DispatchEvent::Tick);
    for number in 0..attempts {
        test.permit(number);
        test.attempt(number, AttemptEvent::ConnectFailed);
        test.ms += 200;
        test.handle(DispatchEvent::Tick);
    }
    let refused = DispatchEvent::PermitRefused {
        attempt: attempt(attempts),
        reason: refusal::RefusalReason::NoUpstream,
        retry_after: None,
    };
    assert_eq!(describe(&test.handle(refused)), expected);
}

#[test]
fn permit_of_draining_upstream_is_released() {
    let mut test = DispatchTest::new(false, false);
    test.handle(DispatchEvent::Tick);
    let permitted = DispatchEvent::Permitted {
        attempt: attempt(0),
        upstream: "draining".into(),
        is_draining: true,
    };
    let actions = test.handle(permitted);
    assert!(matches!(actions[0], DispatchAction::ReleasePermit(..)));
    assert!(matches!(actions[1], DispatchAction::RequestPermit { .. }));
    assert!(!actions.iter().any(|action| matches!(action, DispatchAction::Send { .. })));
}

#[test]
fn stream_resumes_then_fails_over_with_each_token_once() {
    let mut test = DispatchTest::new(false, true);
    test.permit(0);
    test.attempt(0, head(200, false));
    let names = [1, 2, 2, 1].map(|number| describe(&test.attempt(0, token(number))));
    assert_eq!(names, ["token", "token", "", ""]);
    assert_eq!(describe(&test.attempt(0, token(5))), "resume 2", "a gap counts as a broken stream");
    assert_eq!(describe(&test.attempt(0, token(3))), "token");
    assert_eq!(describe(&test.attempt(0, AttemptEvent::BodyFailed)), "resume 3");
    let failed = describe(&test.attempt(0, AttemptEvent::ResumeFailed));
    assert_eq!(failed, "cancel, retry broken_answer");
    test.ms += 100;
    let sent = test.permit(1);
    let continues =
        |action: &DispatchAction| matches!(action, DispatchAction::Send { continue_after: 3, .. });
    assert!(sent.iter().any(continues));
    assert_eq!(describe(&test.attempt(0, token(4))), "stale", "the first attempt has ended");
    test.attempt(1, head(200, false));
    let first = AttemptEvent::Token { number: 1, identity: identity(1) };
    assert_eq!(describe(&test.attempt(1, first)), "token");
    assert_eq!(describe(&test.attempt(1, AttemptEvent::Ended(identity(1)))), "end");
}

#[test]
fn stream_without_retries_left_ends_with_an_error() {
    let mut test = DispatchTest::new(false, true);
    while test.budget.withdraw() {}
    test.permit(0);
    test.attempt(0, head(200, false));
    test.attempt(0, token(1));
    test.attempt(0, AttemptEvent::BodyFailed);
    let failed = describe(&test.attempt(0, AttemptEvent::BodyFailed));
    assert_eq!(failed, "cancel, abort upstream_failed yes");
}

#[rstest]
#[case::other_adapter(Some("menus@4"))]
#[case::no_adapter(None)]
fn token_of_another_adapter_is_never_forwarded(#[case] adapter: Option<&str>) {
    let mut test = DispatchTest::new(false, true);
    test.permit(0);
    test.attempt(0, head(200, false));
    let identity = ResponseIdentity { adapter: adapter.map(str::to_owned), ..identity(0) };
    let actions = test.attempt(0, AttemptEvent::Token { number: 1, identity });
    assert_eq!(describe(&actions), "cancel, retry wrong_answer");
}

#[rstest]
#[case::idempotent(false, "cancel")]
#[case::once_only(true, "")]
fn caller_disconnect_cancels_only_idempotent_calls(
    #[case] is_once_only: bool,
    #[case] expected: &str,
) {
    let mut test = DispatchTest::new(is_once_only, false);
    test.permit(0);
    assert_eq!(describe(&test.handle(DispatchEvent::CallerDisconnected)), expected);
    assert_eq!(test.machine.is_ended(), !is_once_only);
    if is_once_only {
        test.attempt(0, head(200, false));
        let end = test.attempt(0, AttemptEvent::Ended(identity(0)));
        assert_eq!(describe(&end), "record Answered");
    }
}

#[test]
fn request_is_not_retried_after_two_lost_connections() {
    let mut test = DispatchTest::new(false, false);
    test.permit(0);
    test.attempt(0, AttemptEvent::NoResponse);
    test.ms += 100;
    let isolated = test.handle(DispatchEvent::Tick);
    let is_isolated = |action: &DispatchAction| {
        matches!(action, DispatchAction::RequestPermit { is_isolated: true, .. })
    };
    assert!(isolated.iter().any(is_isolated));
    test.permit(1);
    let actions = test.attempt(1, AttemptEvent::NoResponse);
    assert_eq!(describe(&actions), "cancel, upstream_failed unknown");

    let mut test = DispatchTest::new(false, false);
    test.permit(0);
    let actions = test.handle(DispatchEvent::Suspected { crashes: 2 });
    assert_eq!(describe(&actions), "cancel, quarantined unknown");
}

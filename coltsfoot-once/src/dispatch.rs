//! Dispatch of one request: attempts, retries, stream resumption and knowledge of its execution.

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::attempt_events::{AttemptFailure, knowledge_of};
use crate::backoff;
use crate::claim_request;
use crate::dispatch_event::{AttemptEnd, CallEnd, DispatchAction, DispatchEvent, ResponseHead};
use crate::retry_budget;
use crate::retry_reason::RetryReason;
use crate::run_state::{self, RunKnowledge, RunState};
use crate::stream_position;

/// Number of crashes from which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 2;

/// Whether a call may be executed more than once.
#[derive(Debug)]
pub enum CallKind {
    /// It may be executed more than once.
    Idempotent(run_state::PendingRequest),
    /// It may be executed at most once and has been claimed.
    OnceOnly(claim_request::WonClaim),
}

/// Settings of a dispatch.
#[derive(Clone, Debug, bon::Builder)]
pub struct DispatchSettings {
    /// The request.
    pub request: id::RequestId,
    /// Adapter version that the response must name; `None` for plain services.
    pub adapter: Option<adapter::AdapterVersion>,
    /// Whether the response is streamed.
    #[builder(default = false)]
    pub is_streamed: bool,
    /// Time by which the caller must be answered.
    pub deadline: clock::MonotonicTime,
    /// Maximum number of attempts.
    #[builder(default = 4)]
    pub max_attempts: u16,
    /// Maximum number of consecutive resumptions without a new token.
    #[builder(default = 1)]
    pub max_idle_resumes: u32,
    /// Delays between attempts.
    #[builder(default = DEFAULT_BACKOFF)]
    pub backoff: backoff::BackoffSettings,
}

const DEFAULT_BACKOFF: backoff::BackoffSettings = backoff::BackoffSettings {
    initial: std::time::Duration::from_millis(20),
    maximum: std::time::Duration::from_secs(1),
};

/// Actions of one event, in order.
pub type DispatchActions = SmallVec<[DispatchAction; 4]>;

/// An attempt that was sent to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) id: id::AttemptId,
    pub(crate) upstream: name::UpstreamName,
    pub(crate) head: Option<ResponseHead>,
    pub(crate) idle_resumes: u32,
}

/// State of a request.
#[derive(Clone, Debug)]
pub(crate) enum DispatchState {
    Created,
    AwaitingPermit(id::AttemptId),
    BackingOff(clock::MonotonicTime),
    Sent(SentAttempt),
    Ended,
}

/// State machine of the attempts of one request.
#[derive(Debug)]
pub struct DispatchMachine {
    pub(crate) settings: DispatchSettings,
    claim: Option<claim_request::WonClaim>,
    pub(crate) state: DispatchState,
    next_number: u16,
    knowledge: RunKnowledge,
    pub(crate) position: stream_position::StreamPosition,
    avoid: SmallVec<[name::UpstreamName; 4]>,
    is_isolated: bool,
    pub(crate) caller_waits: bool,
    sends: u32,
    lost_connections: u32,
}

impl DispatchMachine {
    /// Creates the dispatch of a request. The first event must be a tick.
    pub fn new(kind: CallKind, settings: DispatchSettings) -> Self {
        let claim = match kind {
            CallKind::Idempotent(_) => None,
            CallKind::OnceOnly(claim) => Some(claim),
        };
        Self {
            settings,
            claim,
            state: DispatchState::Created,
            next_number: 0,
            knowledge: RunKnowledge::NotRun,
            position: stream_position::StreamPosition::default(),
            avoid: SmallVec::new(),
            is_isolated: false,
            caller_waits: true,
            sends: 0,
            lost_connections: 0,
        }
    }

    /// Returns the number of attempts sent so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the attempt in progress at an upstream, if any.
    pub fn current(&self) -> Option<id::AttemptId> {
        match &self.state {
            DispatchState::Sent(sent) => Some(sent.id),
            _ => None,
        }
    }

    /// Returns whether the request has ended; further events have no effect on it.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, DispatchState::Ended)
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn handle(
        &mut self,
        now: clock::MonotonicTime,
        event: DispatchEvent,
        budget: &mut retry_budget::RetryBudget,
        rng: &mut impl rand::Rng,
    ) -> DispatchActions {
        let mut actions = DispatchActions::new();
        match event {
            DispatchEvent::Permitted { attempt, upstream, is_draining } => {
                self.handle_permit(attempt, upstream, is_draining, &mut actions);
            }
            DispatchEvent::PermitRefused { attempt, reason, retry_after } => {
                if self.awaits_permit(attempt) {
                    let reason = self.final_reason(reason);
                    self.send_refusal(reason, retry_after, &mut actions);
                    self.end_without_response(&mut actions);
                }
            }
            DispatchEvent::Attempt(attempt, event) => match self.sent_attempt(attempt) {
                Some(sent) => {
                    let step = self.handle_attempt_event(sent, event, &mut actions);
                    if let Some(failure) = step {
                        self.fail(now, failure, budget, rng, &mut actions);
                    }
                }
                None => actions.push(DispatchAction::CountStaleResponse),
            },
            DispatchEvent::Suspected { crashes } => self.handle_suspicion(crashes, &mut actions),
            DispatchEvent::CallerDisconnected => self.handle_disconnect(&mut actions),
            DispatchEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the reason to report: if no upstream is left after failed attempts, their failure.
    fn final_reason(&self, reason: refusal::RefusalReason) -> refusal::RefusalReason {
        match reason {
            refusal::RefusalReason::NoUpstream if self.sends > 0 => {
                refusal::RefusalReason::UpstreamFailed
            }
            reason => reason,
        }
    }

    fn awaits_permit(&self, attempt: id::AttemptId) -> bool {
        matches!(self.state, DispatchState::AwaitingPermit(wanted) if wanted == attempt)
    }

    fn sent_attempt(&self, attempt: id::AttemptId) -> Option<SentAttempt> {
        match &self.state {
            DispatchState::Sent(sent) if sent.id == attempt => Some(sent.clone()),
            _ => None,
        }
    }

    pub(crate) fn is_once_only(&self) -> bool {
        self.claim.is_some()
    }

    fn handle_permit(
        &mut self,
        attempt: id::AttemptId,
        upstream: name::UpstreamName,
        is_draining: bool,
        actions: &mut DispatchActions,
    ) {
        if !self.awaits_permit(attempt) || is_draining {
            let end = AttemptEnd::Abandoned;
            actions.push(DispatchAction::ReleasePermit(attempt, upstream, end));
            if is_draining && self.awaits_permit(attempt) {
                self.request_permit(actions);
            }
            return;
        }
        assert!(
            !self.is_once_only() || self.knowledge == RunKnowledge::NotRun,
            "a once-only call that may have run must not be sent again"
        );
        self.sends += 1;
        self.position.begin_attempt();
        actions.push(DispatchAction::Send {
            attempt,
            upstream: upstream.clone(),
            needs_fresh_connection: self.is_once_only(),
            continue_after: self.position.delivered(),
        });
        let sent = SentAttempt { id: attempt, upstream, head: None, idle_resumes: 0 };
        self.state = DispatchState::Sent(sent);
    }

    fn request_permit(&mut self, actions: &mut DispatchActions) {
        let attempt = id::AttemptId { request: self.settings.request, number: self.next_number };
        self.next_number += 1;
        self.state = DispatchState::AwaitingPermit(attempt);
        let avoid = self.avoid.clone();
        let is_isolated = self.is_isolated;
        actions.push(DispatchAction::RequestPermit { attempt, avoid, is_isolated });
    }

    fn fail(
        &mut self,
        now: clock::MonotonicTime,
        failure: AttemptFailure,
        budget: &mut retry_budget::RetryBudget,
        rng: &mut impl rand::Rng,
        actions: &mut DispatchActions,
    ) {
        let DispatchState::Sent(sent) = self.state.clone() else { return };
        self.knowledge = self.knowledge.max(failure.knowledge);
        let end = match failure.reason {
            RetryReason::RefusedNotRun => AttemptEnd::Refused,
            _ => AttemptEnd::Failed,
        };
        if failure.knowledge != RunKnowledge::NotRun && !self.is_once_only() {
            actions.push(DispatchAction::Cancel(sent.id, sent.upstream.clone()));
        }
        actions.push(DispatchAction::ReleasePermit(sent.id, sent.upstream.clone(), end));
        self.avoid.push(sent.upstream);
        if failure.reason.is_lost_connection() {
            self.lost_connections += 1;
            self.is_isolated = true;
        }
        let wait = self.settings.backoff.wait(u32::from(sent.id.number), rng);
        if self.may_retry(now + wait) && budget.withdraw() {
            actions.push(DispatchAction::CountRetry(failure.reason));
            self.state = DispatchState::BackingOff(now + wait);
            return;
        }
        self.refuse(failure.refusal(), actions);
    }

    fn may_retry(&self, at: clock::MonotonicTime) -> bool {
        let may_repeat = !self.is_once_only() || self.knowledge == RunKnowledge::NotRun;
        let has_attempts = self.next_number < self.settings.max_attempts
            && self.lost_connections < QUARANTINE_CRASHES;
        may_repeat && has_attempts && self.caller_waits && at < self.settings.deadline
    }

    fn handle_suspicion(&mut self, crashes: u32, actions: &mut DispatchActions) {
        self.is_isolated |= crashes > 0;
        let must_complete = self.is_once_only() && matches!(self.state, DispatchState::Sent(_));
        if crashes >= QUARANTINE_CRASHES && !self.is_ended() && !must_complete {
            self.abandon_attempt(AttemptEnd::Abandoned, actions);
            self.refuse(refusal::RefusalReason::Quarantined, actions);
        }
    }

    fn handle_disconnect(&mut self, actions: &mut DispatchActions) {
        self.caller_waits = false;
        if self.is_once_only() || self.is_ended() {
            return;
        }
        self.abandon_attempt(AttemptEnd::Abandoned, actions);
        self.state = DispatchState::Ended;
    }

    /// Cancels the pending permit request or the attempt in progress.
    fn abandon_attempt(&mut self, end: AttemptEnd, actions: &mut DispatchActions) {
        match &self.state {
            DispatchState::AwaitingPermit(attempt) => {
                actions.push(DispatchAction::CancelPermit(*attempt));
            }
            DispatchState::Sent(sent) => {
                let unanswered = RunKnowledge::MayHaveRun;
                self.knowledge = self.knowledge.max(knowledge_of(sent.head, unanswered));
                actions.push(DispatchAction::Cancel(sent.id, sent.upstream.clone()));
                actions.push(DispatchAction::ReleasePermit(sent.id, sent.upstream.clone(), end));
            }
            _ => {}
        }
    }

    fn advance(&mut self, now: clock::MonotonicTime, actions: &mut DispatchActions) {
        if self.is_ended() {
            return;
        }
        if now >= self.settings.deadline && self.caller_waits {
            return self.handle_deadline(actions);
        }
        match self.state {
            DispatchState::Created => self.request_permit(actions),
            DispatchState::BackingOff(until) if now >= until => self.request_permit(actions),
            DispatchState::BackingOff(until) => actions.push(DispatchAction::WakeAt(until)),
            _ => {}
        }
        if self.caller_waits {
            actions.push(DispatchAction::WakeAt(self.settings.deadline));
        }
    }

    /// Refuses the request at the deadline. A once-only call that was sent continues, so that its
    /// outcome can be recorded.
    fn handle_deadline(&mut self, actions: &mut DispatchActions) {
        let must_complete = self.is_once_only() && matches!(self.state, DispatchState::Sent(_));
        let reason = refusal::RefusalReason::DeadlineExceeded;
        if !must_complete {
            self.abandon_attempt(AttemptEnd::Failed, actions);
            return self.refuse(reason, actions);
        }
        self.knowledge = self.knowledge.max(RunKnowledge::MayHaveRun);
        self.send_refusal(reason, None, actions);
        self.caller_waits = false;
    }

    fn refuse(&mut self, reason: refusal::RefusalReason, actions: &mut DispatchActions) {
        self.send_refusal(reason, None, actions);
        self.end_without_response(actions);
    }

    fn send_refusal(
        &self,
        reason: refusal::RefusalReason,
        retry_after: Option<std::time::Duration>,
        actions: &mut DispatchActions,
    ) {
        if !self.caller_waits {
            return;
        }
        let run = RunState::new(self.knowledge);
        actions.push(match self.position.delivered() > 0 {
            true => DispatchAction::AbortStream(reason, run),
            false => DispatchAction::Refuse { reason, run, retry_after },
        });
    }

    fn end_without_response(&mut self, actions: &mut DispatchActions) {
        self.state = DispatchState::Ended;
        let Some(claim) = &self.claim else { return };
        let outcome = match self.knowledge {
            RunKnowledge::NotRun => once::CallOutcome::NotRun,
            RunKnowledge::MayHaveRun => once::CallOutcome::MayHaveRun,
            RunKnowledge::Ran => once::CallOutcome::RanWithoutAnswer,
        };
        actions.push(DispatchAction::RecordOutcome(CallEnd::Unanswered(claim.outcome(outcome))));
    }

    /// Returns the log entry for the answer of a once-only call; `None` for other calls.
    pub fn answered(&self, answer: once::RecordedAnswer) -> Option<once::OutcomeEntry> {
        let outcome = once::CallOutcome::Answered(answer);
        self.claim.as_ref().map(|claim| claim.outcome(outcome))
    }

    /// Returns the log entry for a once-only call whose answer is too large to record; `None` for
    /// other calls.
    pub fn ran_without_answer(&self) -> Option<once::OutcomeEntry> {
        let outcome = once::CallOutcome::RanWithoutAnswer;
        self.claim.as_ref().map(|claim| claim.outcome(outcome))
    }
}

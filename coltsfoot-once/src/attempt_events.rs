//! Handling of attempt events: progress, end of the response, or failure.

use coltsfoot_types::refusal;

use crate::dispatch::{DispatchActions, DispatchMachine, DispatchState, SentAttempt};
use crate::dispatch_event::{
    AttemptEnd, AttemptEvent, CallEnd, DispatchAction, ResponseHead, ResponseIdentity,
};
use crate::retry_reason::RetryReason;
use crate::run_state::RunKnowledge;
use crate::stream_position;

/// Reason for a failed attempt and what is known of its execution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) reason: RetryReason,
    pub(crate) knowledge: RunKnowledge,
}

impl DispatchMachine {
    /// Handles an event of the current attempt. Returns the failure, if it is one.
    pub(crate) fn handle_attempt_event(
        &mut self,
        mut sent: SentAttempt,
        event: AttemptEvent,
        actions: &mut DispatchActions,
    ) -> Option<AttemptFailure> {
        let failure = |reason, knowledge| Some(AttemptFailure { reason, knowledge });
        match event {
            AttemptEvent::ConnectFailed => {
                failure(RetryReason::ConnectFailed, RunKnowledge::NotRun)
            }
            AttemptEvent::SendFailed => failure(RetryReason::SendFailed, RunKnowledge::MayHaveRun),
            AttemptEvent::NoResponse => failure(RetryReason::NoResponse, RunKnowledge::MayHaveRun),
            AttemptEvent::TimedOut => {
                failure(RetryReason::TimedOut, knowledge_of(sent.head, RunKnowledge::MayHaveRun))
            }
            AttemptEvent::Head(head) => {
                sent.head = Some(head);
                self.state = DispatchState::Sent(sent);
                self.handle_head(head)
            }
            AttemptEvent::Token { number, identity } => {
                self.handle_token(sent, number, &identity, actions)
            }
            AttemptEvent::BodyFailed => self.resume_or_fail(sent, actions),
            AttemptEvent::Ended(identity) => self.handle_end(&sent, &identity, actions),
            AttemptEvent::ResumeFailed => {
                let knowledge = knowledge_of(sent.head, RunKnowledge::MayHaveRun);
                failure(RetryReason::BrokenResponse, knowledge)
            }
        }
    }

    fn handle_head(&self, head: ResponseHead) -> Option<AttemptFailure> {
        if head.is_not_run && head.is_upstream_specific() {
            let reason = RetryReason::RefusedNotRun;
            return Some(AttemptFailure { reason, knowledge: RunKnowledge::NotRun });
        }
        let may_repeat = head.status >= 500 && !self.is_once_only();
        may_repeat.then_some(AttemptFailure {
            reason: RetryReason::ServerError,
            knowledge: RunKnowledge::MayHaveRun,
        })
    }

    fn handle_token(
        &mut self,
        mut sent: SentAttempt,
        number: u32,
        identity: &ResponseIdentity,
        actions: &mut DispatchActions,
    ) -> Option<AttemptFailure> {
        if !identity.matches(sent.id, self.settings.adapter.as_ref()) {
            return Some(AttemptFailure::wrong_response());
        }
        match self.position.advance(number) {
            stream_position::TokenStep::Forward => {
                sent.idle_resumes = 0;
                self.state = DispatchState::Sent(sent);
                if self.caller_waits {
                    actions.push(DispatchAction::ForwardToken);
                }
                None
            }
            stream_position::TokenStep::Duplicate => None,
            stream_position::TokenStep::Gap => self.resume_or_fail(sent, actions),
        }
    }

    fn resume_or_fail(
        &mut self,
        mut sent: SentAttempt,
        actions: &mut DispatchActions,
    ) -> Option<AttemptFailure> {
        if self.settings.is_streamed && sent.idle_resumes < self.settings.max_idle_resumes {
            sent.idle_resumes += 1;
            actions.push(DispatchAction::Resume {
                attempt: sent.id,
                upstream: sent.upstream.clone(),
                after: self.position.delivered_of_attempt(),
            });
            self.state = DispatchState::Sent(sent);
            return None;
        }
        let knowledge = knowledge_of(sent.head, RunKnowledge::MayHaveRun);
        Some(AttemptFailure { reason: RetryReason::BrokenResponse, knowledge })
    }

    fn handle_end(
        &mut self,
        sent: &SentAttempt,
        identity: &ResponseIdentity,
        actions: &mut DispatchActions,
    ) -> Option<AttemptFailure> {
        let is_success = sent.head.is_some_and(ResponseHead::is_success);
        let is_matching = !is_success || identity.matches(sent.id, self.settings.adapter.as_ref());
        if !is_matching {
            return Some(AttemptFailure::wrong_response());
        }
        let end = AttemptEnd::Answered;
        actions.push(DispatchAction::ReleasePermit(sent.id, sent.upstream.clone(), end));
        if self.caller_waits {
            actions.push(match self.settings.is_streamed && is_success {
                true => DispatchAction::EndStream,
                false => DispatchAction::ForwardResponse,
            });
        }
        if self.is_once_only() {
            actions.push(DispatchAction::RecordOutcome(CallEnd::Answered));
        }
        self.state = DispatchState::Ended;
        None
    }
}

impl AttemptFailure {
    fn wrong_response() -> Self {
        Self { reason: RetryReason::WrongResponse, knowledge: RunKnowledge::MayHaveRun }
    }

    pub(crate) fn refusal(self) -> refusal::RefusalReason {
        match self.reason {
            RetryReason::WrongResponse => refusal::RefusalReason::WrongAnswer,
            _ => refusal::RefusalReason::UpstreamFailed,
        }
    }
}

/// Returns what a response head tells about execution, or `otherwise` if it tells nothing. A
/// success status means that the request ran.
pub(crate) fn knowledge_of(head: Option<ResponseHead>, otherwise: RunKnowledge) -> RunKnowledge {
    match head {
        Some(head) if head.is_not_run => RunKnowledge::NotRun,
        Some(head) if head.is_success() => RunKnowledge::Ran,
        _ => otherwise,
    }
}

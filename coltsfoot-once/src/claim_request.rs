//! Claim of a once-only call at its instance, made before dispatch, and the report of its outcome.

use std::time;

use coltsfoot_types::{refusal, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::run_state::{self, RunKnowledge, RunState};

/// Permission to dispatch a claimed call; created at most once per claim.
#[derive(Debug, Eq, PartialEq)]
pub struct WonClaim {
    key: once::IdempotencyKey,
    claim: once::ClaimId,
}

impl WonClaim {
    /// Returns the log entry for the outcome of the call.
    pub fn outcome(&self, outcome: once::CallOutcome) -> once::OutcomeEntry {
        once::OutcomeEntry { key: self.key, claim: self.claim, outcome }
    }
}

/// Event of a claim.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The claim owner decided the claim.
    Verdict(once::ClaimVerdict),
    /// Time passed.
    Tick,
}

/// An action that the embedding program carries out for a claim.
#[derive(Debug, PartialEq)]
pub enum ClaimAction {
    /// Send a message to the zone's claim owner.
    SendOwner(once::ClaimMessage),
    /// Send [`ClaimEvent::Tick`] no later than at this time.
    WakeAt(clock::MonotonicTime),
    /// Dispatch the call.
    Dispatch(WonClaim),
    /// Replay the recorded response of the first submission.
    Answer(once::RecordedAnswer),
    /// Refuse the call, with the reason and whether it ran.
    Refuse(refusal::RefusalReason, RunState),
    /// Report the outcome through an [`OutcomeReport`].
    RecordOutcome(once::OutcomeEntry),
}

/// Actions of one event, in order.
pub type ClaimActions = SmallVec<[ClaimAction; 2]>;

/// Timeouts of a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Interval at which an unanswered message to the claim owner is resent.
    pub resend_interval: time::Duration,
    /// Time before the deadline at which the claim is abandoned.
    pub deadline_margin: time::Duration,
    /// Maximum wait for the first verdict, in case the log can't be reached.
    pub max_log_wait: time::Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            resend_interval: time::Duration::from_millis(250),
            deadline_margin: time::Duration::from_millis(50),
            max_log_wait: time::Duration::from_secs(5),
        }
    }
}

/// State machine of the claim of one submission.
#[derive(Debug)]
pub struct ClaimRequest {
    settings: ClaimSettings,
    entry: once::ClaimEntry,
    deadline: clock::MonotonicTime,
    expires_at: clock::MonotonicTime,
    resend_at: clock::MonotonicTime,
    claimed_by_other: bool,
    is_done: bool,
}

impl ClaimRequest {
    /// Creates a claim, to be started by a tick. `entry.claim` must be unique to this submission.
    pub fn new(
        now: clock::MonotonicTime,
        _pending: run_state::PendingRequest,
        settings: ClaimSettings,
        entry: once::ClaimEntry,
        deadline: clock::MonotonicTime,
    ) -> Self {
        Self {
            settings,
            entry,
            deadline,
            expires_at: (now + settings.max_log_wait).min(deadline - settings.deadline_margin),
            resend_at: now,
            claimed_by_other: false,
            is_done: false,
        }
    }

    /// Returns the identifier of the claim.
    pub fn claim(&self) -> once::ClaimId {
        self.entry.claim
    }

    /// Returns whether the claim was decided or abandoned.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Processes an event and returns the resulting actions. The first event must be a tick.
    pub fn handle(&mut self, now: clock::MonotonicTime, event: ClaimEvent) -> ClaimActions {
        let mut actions = ClaimActions::new();
        if self.is_done {
            return actions;
        }
        if let ClaimEvent::Verdict(verdict) = event {
            self.handle_verdict(now, verdict, &mut actions);
        }
        if !self.is_done {
            self.advance(now, &mut actions);
        }
        actions
    }

    fn handle_verdict(
        &mut self,
        now: clock::MonotonicTime,
        verdict: once::ClaimVerdict,
        actions: &mut ClaimActions,
    ) {
        match verdict {
            once::ClaimVerdict::Won if now < self.expires_at => self.dispatch(actions),
            once::ClaimVerdict::Won | once::ClaimVerdict::Unavailable => self.abandon(actions),
            once::ClaimVerdict::Claimed => {
                self.claimed_by_other = true;
                self.expires_at = self.deadline - self.settings.deadline_margin;
            }
            once::ClaimVerdict::Ended(outcome) => self.replay_outcome(outcome, actions),
            once::ClaimVerdict::OtherRequest => {
                let reason = refusal::RefusalReason::IdempotencyKeyReused;
                self.refuse(reason, RunKnowledge::NotRun, actions);
            }
            once::ClaimVerdict::Expired => {
                let reason = refusal::RefusalReason::InvalidIdempotencyKey;
                self.refuse(reason, RunKnowledge::MayHaveRun, actions);
            }
            once::ClaimVerdict::Forgotten => {
                let reason = refusal::RefusalReason::PossiblyRan;
                self.refuse(reason, RunKnowledge::MayHaveRun, actions);
            }
        }
    }

    fn dispatch(&mut self, actions: &mut ClaimActions) {
        self.is_done = true;
        let claim = WonClaim { key: self.entry.key, claim: self.entry.claim };
        actions.push(ClaimAction::Dispatch(claim));
    }

    fn replay_outcome(&mut self, outcome: once::CallOutcome, actions: &mut ClaimActions) {
        match outcome {
            once::CallOutcome::Answered(answer) => {
                self.is_done = true;
                actions.push(ClaimAction::Answer(answer));
            }
            once::CallOutcome::RanWithoutAnswer => {
                self.refuse(refusal::RefusalReason::PossiblyRan, RunKnowledge::Ran, actions);
            }
            once::CallOutcome::MayHaveRun => {
                self.refuse(refusal::RefusalReason::PossiblyRan, RunKnowledge::MayHaveRun, actions);
            }
            once::CallOutcome::NotRun => {
                let reason = refusal::RefusalReason::IdempotencyKeySpent;
                self.refuse(reason, RunKnowledge::NotRun, actions);
            }
        }
    }

    fn advance(&mut self, now: clock::MonotonicTime, actions: &mut ClaimActions) {
        if now >= self.expires_at {
            return self.abandon(actions);
        }
        if now >= self.resend_at {
            self.resend_at = now + self.settings.resend_interval;
            let time_left = self.expires_at.since(now);
            let message = once::ClaimMessage::Submit { claim: self.entry.clone(), time_left };
            actions.push(ClaimAction::SendOwner(message));
        }
        actions.push(ClaimAction::WakeAt(self.resend_at.min(self.expires_at)));
    }

    /// Abandons the claim. It may still reach the log, and another submission of the key may run,
    /// so the caller is told that the call may have run.
    fn abandon(&mut self, actions: &mut ClaimActions) {
        let reason = match self.claimed_by_other {
            true => refusal::RefusalReason::PossiblyRan,
            false => refusal::RefusalReason::LogUnavailable,
        };
        self.refuse(reason, RunKnowledge::MayHaveRun, actions);
        actions.push(ClaimAction::RecordOutcome(once::OutcomeEntry {
            key: self.entry.key,
            claim: self.entry.claim,
            outcome: once::CallOutcome::NotRun,
        }));
    }

    fn refuse(
        &mut self,
        reason: refusal::RefusalReason,
        knowledge: RunKnowledge,
        actions: &mut ClaimActions,
    ) {
        self.is_done = true;
        actions.push(ClaimAction::Refuse(reason, RunState::new(knowledge)));
    }
}

/// Reports the outcome of a call until it is in the log or the report expires.
#[derive(Clone, Debug)]
pub struct OutcomeReport {
    entry: once::OutcomeEntry,
    resend_interval: time::Duration,
    expires_at: clock::MonotonicTime,
    is_confirmed: bool,
}

impl OutcomeReport {
    /// Creates a report that expires after `lifetime`, such as the window of the key.
    pub fn new(
        now: clock::MonotonicTime,
        entry: once::OutcomeEntry,
        settings: ClaimSettings,
        lifetime: time::Duration,
    ) -> Self {
        Self {
            entry,
            resend_interval: settings.resend_interval,
            expires_at: now + lifetime,
            is_confirmed: false,
        }
    }

    /// Returns the identifier of the claim.
    pub fn claim(&self) -> once::ClaimId {
        self.entry.claim
    }

    /// Records that the claim owner found the outcome in the log.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns the message to send now and the time of the next call; `None` once the outcome is
    /// confirmed or the report has expired. Call it for the first time after creation.
    pub fn tick(
        &mut self,
        now: clock::MonotonicTime,
    ) -> Option<(once::ClaimMessage, clock::MonotonicTime)> {
        if self.is_confirmed || now >= self.expires_at {
            return None;
        }
        let message = once::ClaimMessage::Settle { outcome: self.entry.clone() };
        Some((message, now + self.resend_interval))
    }
}

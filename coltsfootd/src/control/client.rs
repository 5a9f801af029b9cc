//! Client of the control thread for traffic threads: sends events and receives replies by channel.

use std::net;
use std::time;

use coltsfoot_once::{claim_request, run_state};
use coltsfoot_types::{adapter, id, name, refusal, time as instant};
use coltsfoot_wire::{once, placement};

use crate::control::{ControlEvent, EventSender};

/// Request for admission under the customer's rate limit.
#[derive(Clone, Debug)]
pub struct AdmissionQuery {
    /// The request.
    pub request: id::RequestId,
    /// The customer whose quota is charged.
    pub customer: name::CustomerName,
    /// Tokens charged: prompt plus maximum output.
    pub tokens: u64,
    /// Longest time that the request may wait.
    pub max_wait: time::Duration,
    /// Digest of key and body; identical when the caller retries the request.
    pub fingerprint: u64,
}

/// Request for a permit to run one attempt on an engine.
#[derive(Clone, Debug)]
pub struct PermitQuery {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// The customer on whose behalf it runs.
    pub customer: name::CustomerName,
    /// The customer's weight in the fair queue.
    pub weight: u32,
    /// Priority among the customer's requests; higher goes first.
    pub priority: u8,
    /// The adapter version to run.
    pub adapter: adapter::AdapterVersion,
    /// The adapter's base model.
    pub base_model: name::ModelName,
    /// Tokens of the prompt plus the maximum output.
    pub tokens: u64,
    /// Longest time that the request may wait.
    pub max_wait: time::Duration,
}

/// Request for the claim of a once-only call.
#[derive(Clone, Debug)]
pub struct ClaimQuery {
    /// The claim.
    pub entry: once::ClaimEntry,
    /// Deadline of the call.
    pub deadline: instant::MonotonicTime,
}

/// Outcome of a claim.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The call may be dispatched.
    Dispatch(claim_request::WonClaim),
    /// The call has already run; its caller gets the recorded answer.
    Answer(once::RecordedAnswer),
    /// The call is refused.
    Refuse(refusal::RefusalReason, run_state::RunState),
}

/// Refusal of a query by the control thread.
#[derive(Clone, Copy, Debug)]
pub struct ControlRefusal {
    /// The reason.
    pub reason: refusal::RefusalReason,
    /// Delay after which a retry may succeed; none if waiting doesn't help.
    pub retry_after: Option<time::Duration>,
}

impl ControlRefusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: refusal::RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }
}

/// Channel for the control thread's reply to one query.
pub type ReplySender<T> = async_channel::Sender<Result<T, ControlRefusal>>;

/// A granted permit to send an attempt to an engine.
#[derive(Clone, Debug)]
pub struct GrantedPermit {
    /// The engine to run the request on.
    pub upstream: name::UpstreamName,
    /// The engine's address.
    pub address: net::SocketAddr,
    /// Time by which the attempt must be sent.
    pub send_by: instant::MonotonicTime,
}

/// Sends queries to the control thread and waits for its replies.
#[derive(Clone)]
pub struct ControlClient {
    events: EventSender,
}

impl ControlClient {
    /// Creates a client over the control thread's event queue.
    pub fn new(events: EventSender) -> Self {
        Self { events }
    }

    /// Waits for admission. Dropping the future cancels the wait.
    pub async fn admit(&self, query: AdmissionQuery) -> Result<ChargeGuard, ControlRefusal> {
        let mut charge = ChargeGuard {
            events: self.events.clone(),
            request: query.request,
            charged: query.tokens,
            used: 0,
        };
        let (sender, receiver) = async_channel::bounded(1);
        self.events.send(ControlEvent::Admit(query, sender));
        match receiver.recv().await {
            Ok(Ok(())) => Ok(charge),
            Ok(Err(refusal)) => {
                charge.used = charge.charged;
                Err(refusal)
            }
            Err(_) => Err(ControlRefusal::new(refusal::RefusalReason::Internal)),
        }
    }

    /// Sends a crash notice to the other instances.
    pub fn announce_crash(&self, notice: once::CrashNotice) {
        self.events.send(ControlEvent::CrashSuspected(notice));
    }

    /// Waits for the claim of a once-only call; none if the control thread has stopped. Dropping
    /// the future does not cancel the claim.
    pub async fn claim(&self, query: ClaimQuery) -> Option<ClaimDecision> {
        let (sender, receiver) = async_channel::bounded(1);
        self.events.send(ControlEvent::Claim(query, sender));
        receiver.recv().await.ok()
    }

    /// Reports the outcome of a once-only call and waits until it is on the log.
    pub async fn record_outcome(&self, outcome: once::OutcomeEntry) {
        let (sender, receiver) = async_channel::bounded(1);
        self.events.send(ControlEvent::RecordOutcome(outcome, sender));
        let _ = receiver.recv().await;
    }

    /// Waits for a permit. Dropping the future cancels the wait.
    pub async fn permit(&self, query: PermitQuery) -> Result<PermitGuard, ControlRefusal> {
        let (sender, receiver) = async_channel::bounded(1);
        let waiting = PermitWait { events: self.events.clone(), attempt: Some(query.attempt) };
        let attempt = query.attempt;
        self.events.send(ControlEvent::Permit(query, sender));
        match receiver.recv().await {
            Ok(Ok(permit)) => {
                waiting.finish();
                let events = self.events.clone();
                let outcome = placement::AttemptOutcome::NotSent;
                Ok(PermitGuard { events, attempt, permit, outcome })
            }
            Ok(Err(refusal)) => {
                waiting.finish();
                Err(refusal)
            }
            Err(_) => Err(ControlRefusal::new(refusal::RefusalReason::Internal)),
        }
    }
}

/// Cancels the permit query when dropped before `finish`.
struct PermitWait {
    events: EventSender,
    attempt: Option<id::AttemptId>,
}

impl PermitWait {
    fn finish(mut self) {
        self.attempt = None;
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt {
            self.events.send(ControlEvent::CancelPermit(attempt));
        }
    }
}

/// Tokens charged for a request. Dropping the guard refunds the unused tokens, or cancels the
/// admission if it is still pending.
pub struct ChargeGuard {
    events: EventSender,
    request: id::RequestId,
    charged: u64,
    used: u64,
}

impl ChargeGuard {
    /// Records the tokens used so far.
    pub fn set_used(&mut self, tokens: u64) {
        self.used = tokens.min(self.charged);
    }

    /// Keeps the whole charge, for calls whose usage isn't known.
    pub fn keep_all(&mut self) {
        self.used = self.charged;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if self.used < self.charged {
            self.events.send(ControlEvent::Refund {
                request: self.request,
                tokens: self.charged - self.used,
            });
        }
    }
}

/// A permit in use; dropping it releases the permit to the engine's cell.
pub struct PermitGuard {
    events: EventSender,
    attempt: id::AttemptId,
    /// The permit.
    pub permit: GrantedPermit,
    outcome: placement::AttemptOutcome,
}

impl PermitGuard {
    /// Returns the recorded outcome of the attempt; `NotSent` if none was recorded.
    pub fn outcome(&self) -> placement::AttemptOutcome {
        self.outcome
    }

    /// Records the outcome of the attempt.
    pub fn set_outcome(&mut self, outcome: placement::AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.events.send(ControlEvent::Release(self.attempt, self.outcome));
    }
}

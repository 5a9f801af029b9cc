//! The traffic threads' side of the control thread: requests as events, answers by channel.

use std::net;
use std::time;

use coltsfoot_once::{claim_request, run_state};
use coltsfoot_types::{adapter, id, name, refusal, time as instant};
use coltsfoot_wire::{once, placement};

use crate::control::{ControlEvent, EventSender};

/// Asks for admission of one request against its customer's rate.
#[derive(Clone, Debug)]
pub struct AdmissionQuery {
    /// The request.
    pub request: id::RequestId,
    /// The customer that is charged.
    pub customer: name::CustomerName,
    /// Tokens charged: prompt and largest output.
    pub tokens: u64,
    /// Time that the request may wait.
    pub max_wait: time::Duration,
    /// Digest of key and body; the same when the caller sends the request again.
    pub fingerprint: u64,
}

/// Asks for a permit to run one attempt on an engine.
#[derive(Clone, Debug)]
pub struct PermitQuery {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// The customer that it runs for.
    pub customer: name::CustomerName,
    /// The customer's weight in the fair queue.
    pub weight: u32,
    /// Priority inside the customer.
    pub priority: u8,
    /// The adapter version to run.
    pub adapter: adapter::AdapterVersion,
    /// The adapter's base model.
    pub base_model: name::ModelName,
    /// Tokens of the prompt and the largest output.
    pub tokens: u64,
    /// Time that the request may wait.
    pub max_wait: time::Duration,
}

/// Asks for the claim of a once-only call.
#[derive(Clone, Debug)]
pub struct ClaimQuery {
    /// The claim.
    pub entry: once::ClaimEntry,
    /// When the call must be answered.
    pub deadline: instant::MonotonicTime,
}

/// What became of a claim.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The call may be dispatched.
    Dispatch(claim_request::WonClaim),
    /// The call has run; its caller gets the same answer.
    Answer(once::RecordedAnswer),
    /// The call is refused.
    Refuse(refusal::RefusalReason, run_state::RunState),
}

/// Why the control thread refused.
#[derive(Clone, Copy, Debug)]
pub struct ControlRefusal {
    /// The reason.
    pub reason: refusal::RefusalReason,
    /// When coming back will help, if waiting helps.
    pub retry_after: Option<time::Duration>,
}

impl ControlRefusal {
    /// Creates a refusal without a time to come back.
    pub fn new(reason: refusal::RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }
}

/// Where an answer of the control thread goes.
pub type ReplySender<T> = async_channel::Sender<Result<T, ControlRefusal>>;

/// A permit as granted.
#[derive(Clone, Debug)]
pub struct GrantedPermit {
    /// The engine to run the request on.
    pub upstream: name::UpstreamName,
    /// The engine's address.
    pub address: net::SocketAddr,
    /// When the attempt must have been sent.
    pub send_by: instant::MonotonicTime,
}

/// Sends requests to the control thread and waits for its answers.
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

    /// Tells the other instances of a crash.
    pub fn announce_crash(&self, notice: once::CrashNotice) {
        self.events.send(ControlEvent::CrashSuspected(notice));
    }

    /// Waits for the claim of a once-only call; none if the control thread has ended. The claim goes
    /// on if the future is dropped.
    pub async fn claim(&self, query: ClaimQuery) -> Option<ClaimDecision> {
        let (sender, receiver) = async_channel::bounded(1);
        self.events.send(ControlEvent::Claim(query, sender));
        receiver.recv().await.ok()
    }

    /// Reports how a once-only call has ended and waits until that is on the log.
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

/// A wait for a permit that is cancelled when dropped.
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

/// Tokens charged for a request. What it did not use is refunded when the guard is dropped; a
/// wait that is still open is cancelled.
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

    /// Keeps the whole charge, when the use isn't known.
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

/// A permit in use; dropping it releases the engine's place.
pub struct PermitGuard {
    events: EventSender,
    attempt: id::AttemptId,
    /// The permit.
    pub permit: GrantedPermit,
    outcome: placement::AttemptOutcome,
}

impl PermitGuard {
    /// Returns how the request ended, as far as was recorded.
    pub fn outcome(&self) -> placement::AttemptOutcome {
        self.outcome
    }

    /// Records how the request ended.
    pub fn set_outcome(&mut self, outcome: placement::AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.events.send(ControlEvent::Release(self.attempt, self.outcome));
    }
}

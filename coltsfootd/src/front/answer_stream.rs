//! Stream of the parts of one answer, across retries at several engines.

use std::collections;
use std::sync;
use std::time;

use coltsfoot_once::dispatch::{CallKind, DispatchMachine, DispatchSettings};
use coltsfoot_once::dispatch_event::{
    AttemptEnd, AttemptEvent, DispatchAction, DispatchEvent, ResponseHead, ResponseIdentity,
};
use coltsfoot_once::{backoff, run_state};
use coltsfoot_platform::{error, protocol};
use coltsfoot_types::{adapter, id, name, time as instant};
use coltsfoot_wire::once;

use crate::control::client;
use crate::front::crash_detector;
use crate::front::engine_attempt::{AnswerPart, AttemptError, EngineAttempt};
use crate::{answer, event, metrics, shared};

/// Maximum attempts of one request.
const MAX_ATTEMPTS: u16 = 6;
/// Backoff between attempts.
const ATTEMPT_BACKOFF: backoff::BackoffSettings = backoff::BackoffSettings {
    initial: time::Duration::from_millis(50),
    maximum: time::Duration::from_secs(1),
};

/// An admitted chat request.
#[derive(Clone)]
pub struct AdmittedChat {
    /// The request.
    pub request: id::RequestId,
    /// The customer that is charged.
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
    /// Time by which the answer must be complete.
    pub deadline: instant::MonotonicTime,
    /// The request as sent to engines.
    pub chat: protocol::ChatRequest,
}

/// Yields the parts of an answer in order and exactly once, across attempts.
pub struct AnswerStream {
    shared: sync::Arc<shared::InstanceShared>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    admitted: AdmittedChat,
    digest: once::RequestDigest,
    machine: DispatchMachine,
    actions: collections::VecDeque<DispatchAction>,
    attempt: Option<EngineAttempt>,
    wake_at: instant::MonotonicTime,
    /// Received part that the machine has not yet decided to forward.
    part: Option<AnswerPart>,
    /// Text forwarded so far, from which another engine continues.
    text: String,
    tokens: u32,
}

/// Event that ended a wait.
enum StreamEvent {
    Dispatch(DispatchEvent),
    Failed(id::AttemptId, AttemptError),
}

impl AnswerStream {
    /// Creates the stream and starts the dispatch.
    pub fn new(
        shared: sync::Arc<shared::InstanceShared>,
        executor: sync::Arc<async_executor::Executor<'static>>,
        admitted: AdmittedChat,
    ) -> Self {
        let settings = DispatchSettings::builder()
            .request(admitted.request)
            .adapter(admitted.adapter.clone())
            .is_streamed(true)
            .deadline(admitted.deadline)
            .max_attempts(MAX_ATTEMPTS)
            .backoff(ATTEMPT_BACKOFF)
            .build();
        let kind = CallKind::Idempotent(run_state::PendingRequest::new());
        let digest = crash_detector::digest_of(&admitted.chat);
        let mut stream = Self {
            machine: DispatchMachine::new(kind, settings),
            actions: collections::VecDeque::new(),
            attempt: None,
            wake_at: admitted.deadline,
            part: None,
            text: String::new(),
            tokens: 0,
            shared,
            executor,
            admitted,
            digest,
        };
        stream.shared.lock_retries().deposit();
        stream.report_suspicion();
        stream.handle(DispatchEvent::Tick);
        stream
    }

    /// Returns the number of output tokens forwarded so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the next part. After a refusal or the end it never resolves.
    pub async fn next_part(&mut self) -> Result<AnswerPart, answer::CallerRefusal> {
        loop {
            let Some(action) = self.actions.pop_front() else {
                self.advance().await;
                continue;
            };
            if let Some(result) = self.execute(action).await {
                return result;
            }
        }
    }

    fn handle(&mut self, event: DispatchEvent) {
        let now = self.shared.clock.now();
        let mut retries = self.shared.lock_retries();
        let actions = self.machine.handle(now, event, &mut retries, &mut rand::rng());
        drop(retries);
        self.actions.extend(actions);
    }

    /// Waits for the attempt's next event or the timer and passes it to the machine.
    async fn advance(&mut self) {
        if self.machine.is_ended() {
            // The refusal or the end was already returned.
            return futures_lite::future::pending().await;
        }
        let pause = self.wake_at.since(self.shared.clock.now());
        self.wake_at = self.admitted.deadline;
        let wake = async {
            async_io::Timer::after(pause).await;
            StreamEvent::Dispatch(DispatchEvent::Tick)
        };
        let event = match (&mut self.attempt, self.machine.current()) {
            (Some(attempt), Some(id)) => {
                let reading = async {
                    match attempt.next_part().await {
                        Ok(part) => {
                            let event = part_event(&part, attempt.tokens(), id, &self.admitted);
                            self.part = Some(part);
                            StreamEvent::Dispatch(DispatchEvent::Attempt(id, event))
                        }
                        Err(error) => StreamEvent::Failed(id, error),
                    }
                };
                futures_lite::future::or(reading, wake).await
            }
            _ => wake.await,
        };
        match event {
            StreamEvent::Dispatch(event) => self.handle(event),
            StreamEvent::Failed(id, error) => self.fail(id, error).await,
        }
    }

    async fn execute(
        &mut self,
        action: DispatchAction,
    ) -> Option<Result<AnswerPart, answer::CallerRefusal>> {
        match action {
            DispatchAction::RequestPermit { attempt, .. } => self.request_permit(attempt).await,
            DispatchAction::Send { attempt, .. } => self.send(attempt).await,
            DispatchAction::Resume { attempt, .. } => self.resume(attempt).await,
            DispatchAction::ReleasePermit(_, _, AttemptEnd::Answered) => {
                self.shared.lock_quarantine().clear_suspect(self.shared.clock.now(), &self.digest);
                if let Some(attempt) = self.attempt.take() {
                    attempt.complete().await;
                }
            }
            DispatchAction::ReleasePermit(..) => self.attempt = None,
            DispatchAction::ForwardToken => return self.forward_token().map(Ok),
            DispatchAction::EndStream => return self.part.take().map(Ok),
            DispatchAction::Refuse { reason, run, retry_after } => {
                return Some(Err(answer::CallerRefusal { reason, ran: run.into(), retry_after }));
            }
            DispatchAction::AbortStream(reason, run) => {
                let ran = run.into();
                return Some(Err(answer::CallerRefusal { reason, ran, retry_after: None }));
            }
            DispatchAction::CountRetry(reason) => self.shared.metrics.count_retry(reason.into()),
            DispatchAction::WakeAt(at) => self.wake_at = self.wake_at.min(at),
            // `Cancel` needs no action: dropping the attempt cancels it at its engine.
            _ => {}
        }
        None
    }

    fn forward_token(&mut self) -> Option<AnswerPart> {
        let part = self.part.take()?;
        if let AnswerPart::Text(text) = &part {
            self.text.push_str(text);
            self.tokens += 1;
        }
        Some(part)
    }

    async fn request_permit(&mut self, attempt: id::AttemptId) {
        self.report_suspicion();
        if self.machine.is_ended() {
            return;
        }
        let query = self.permit_query(attempt);
        let requested_at = self.shared.clock.now();
        let permit = async { Some(self.shared.control.permit(query).await) };
        let event = match futures_lite::future::or(permit, self.expiry()).await {
            None => DispatchEvent::Tick,
            Some(Err(refusal)) => DispatchEvent::PermitRefused {
                attempt,
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            },
            Some(Ok(permit)) => {
                self.shared.metrics.record_permit_wait(self.shared.clock.now().since(requested_at));
                let upstream = permit.permit.upstream.clone();
                let adapter = self.admitted.adapter.clone();
                let (shared, executor) = (&self.shared, &self.executor);
                self.attempt = Some(EngineAttempt::new(shared, executor, attempt, adapter, permit));
                DispatchEvent::Permitted { attempt, upstream, is_draining: false }
            }
        };
        self.handle(event);
    }

    async fn send(&mut self, id: id::AttemptId) {
        let chat = self.remaining_chat();
        let time_left = self.time_left();
        let expiry = self.expiry();
        let Some(attempt) = self.attempt.as_mut() else { return };
        if self.shared.clock.now() >= attempt.send_by() {
            self.shared.metrics.count_retry(metrics::RetryReason::PermitExpired);
            return self.handle(DispatchEvent::Attempt(id, AttemptEvent::ConnectFailed));
        }
        let sending = async { Some(attempt.send(&chat, time_left).await) };
        match futures_lite::future::or(sending, expiry).await {
            None => self.handle(DispatchEvent::Tick),
            Some(Ok(())) => {
                let head = ResponseHead { status: 200, is_not_run: false };
                self.handle(DispatchEvent::Attempt(id, AttemptEvent::Head(head)));
            }
            Some(Err(error)) => self.fail(id, error).await,
        }
    }

    async fn resume(&mut self, id: id::AttemptId) {
        let expiry = self.expiry();
        let Some(attempt) = self.attempt.as_mut() else { return };
        let resuming = async { Some(attempt.resume().await) };
        match futures_lite::future::or(resuming, expiry).await {
            None => self.handle(DispatchEvent::Tick),
            Some(Ok(())) => {}
            Some(Err(error)) => {
                self.log_failure(&error);
                self.handle(DispatchEvent::Attempt(id, AttemptEvent::ResumeFailed));
            }
        }
    }

    /// Reports a failure to the machine, after a check whether the engine crashed.
    async fn fail(&mut self, id: id::AttemptId, error: AttemptError) {
        self.log_failure(&error);
        if is_lost_connection(&error)
            && let Some(attempt) = &self.attempt
        {
            let upstream = attempt.upstream();
            let detector =
                crash_detector::CrashDetector { shared: &self.shared, digest: self.digest };
            detector.confirm(id, upstream, attempt.client()).await;
        }
        self.handle(DispatchEvent::Attempt(id, failure_event(&error)));
        if !self.machine.is_ended() {
            self.report_suspicion();
        }
    }

    /// Reports the number of crashes that the request is suspected of to the machine.
    fn report_suspicion(&mut self) {
        let now = self.shared.clock.now();
        let crashes = self.shared.lock_quarantine().crashes(now, &self.digest);
        if crashes > 0 {
            self.handle(DispatchEvent::Suspected { crashes });
        }
    }

    fn permit_query(&self, attempt: id::AttemptId) -> client::PermitQuery {
        let admitted = &self.admitted;
        client::PermitQuery {
            attempt,
            customer: admitted.customer.clone(),
            weight: admitted.weight,
            priority: admitted.priority,
            adapter: admitted.adapter.clone(),
            base_model: admitted.base_model.clone(),
            tokens: admitted.tokens,
            max_wait: self.time_left(),
        }
    }

    fn remaining_chat(&self) -> protocol::ChatRequest {
        let mut chat = self.admitted.chat.clone();
        if !self.text.is_empty() {
            chat.continue_from = Some(self.text.clone());
            chat.max_tokens = chat.max_tokens.map(|tokens| tokens.saturating_sub(self.tokens));
        }
        chat
    }

    fn log_failure(&self, error: &AttemptError) {
        let kind = match error {
            AttemptError::WrongAnswer(_) => event::WRONG_ANSWER,
            _ => event::ATTEMPT_FAILED,
        };
        event::emit(kind, format_args!("request {}: {error}", self.admitted.request));
    }

    fn time_left(&self) -> time::Duration {
        self.admitted.deadline.since(self.shared.clock.now())
    }

    /// Returns a future that resolves to `None` at the deadline.
    fn expiry<T>(&self) -> impl Future<Output = Option<T>> + use<T> {
        let timer = async_io::Timer::after(self.time_left());
        async {
            timer.await;
            None
        }
    }
}

/// Converts a part to an event. `EngineAttempt` has already checked the response's identity.
fn part_event(
    part: &AnswerPart,
    number: u32,
    attempt: id::AttemptId,
    admitted: &AdmittedChat,
) -> AttemptEvent {
    let identity = ResponseIdentity {
        attempt: Some(attempt.to_string()),
        adapter: Some(admitted.adapter.to_string()),
    };
    match part {
        AnswerPart::Text(_) => AttemptEvent::Token { number, identity },
        AnswerPart::End { .. } => AttemptEvent::Ended(identity),
    }
}

fn is_lost_connection(error: &AttemptError) -> bool {
    match error {
        AttemptError::Http(error::HttpError::Timeout { .. }) => false,
        AttemptError::Http(error) => !error.nothing_sent(),
        _ => false,
    }
}

fn failure_event(error: &AttemptError) -> AttemptEvent {
    match error {
        AttemptError::Http(error) if error.nothing_sent() => AttemptEvent::ConnectFailed,
        AttemptError::Http(error::HttpError::Timeout { .. }) => AttemptEvent::TimedOut,
        AttemptError::Http(error::HttpError::Send { .. }) => AttemptEvent::SendFailed,
        AttemptError::Http(error::HttpError::NoAnswer { .. }) => AttemptEvent::NoResponse,
        AttemptError::Http(_) | AttemptError::Malformed => AttemptEvent::BodyFailed,
        AttemptError::NotResident => {
            AttemptEvent::Head(ResponseHead { status: 404, is_not_run: true })
        }
        AttemptError::Status(status) => {
            // 4xx becomes 500: this instance built the request, so the caller isn't at fault.
            let status = (*status).max(500);
            AttemptEvent::Head(ResponseHead { status, is_not_run: false })
        }
        AttemptError::WrongAnswer(_) => AttemptEvent::Ended(ResponseIdentity::default()),
    }
}

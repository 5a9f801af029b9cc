//! The parts of one answer, over as many attempts as it takes.

use std::sync;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::{adapter, id, name, refusal, time as instant};

use crate::control::client;
use crate::front::engine_attempt::{AnswerPart, AttemptError, EngineAttempt};
use crate::{answer, event, metrics, shared};

/// Attempts of one request at engines.
const MAX_ATTEMPTS: u16 = 6;
/// Pause before the second attempt; it doubles with each further one.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(50);
/// Resumptions of one attempt at the same engine.
const MAX_RESUMPTIONS: u32 = 2;

/// A chat request after admission.
#[derive(Clone)]
pub struct AdmittedChat {
    /// The request.
    pub request: id::RequestId,
    /// The customer that is charged.
    pub customer: name::CustomerName,
    /// The customer's weight in the fair queue.
    pub weight: u32,
    /// Priority inside the customer.
    pub priority: u8,
    /// The adapter version to run.
    pub adapter: adapter::AdapterVersion,
    /// Its base model.
    pub base_model: name::ModelName,
    /// Tokens of the prompt and the largest output.
    pub tokens: u64,
    /// When the answer must be complete.
    pub deadline: instant::MonotonicTime,
    /// The request as sent to engines.
    pub chat: protocol::ChatRequest,
}

/// Yields the parts of an answer in order, each once.
pub struct AnswerSource {
    shared: sync::Arc<shared::InstanceShared>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    admitted: AdmittedChat,
    attempt: Option<EngineAttempt>,
    attempts: u16,
    resumptions: u32,
    maybe_ran: bool,
    /// Text passed on so far; another engine goes on after it.
    text: String,
    tokens: u32,
}

impl AnswerSource {
    /// Creates the source of an answer that has not begun.
    pub fn new(
        shared: sync::Arc<shared::InstanceShared>,
        executor: sync::Arc<async_executor::Executor<'static>>,
        admitted: AdmittedChat,
    ) -> Self {
        Self {
            shared,
            executor,
            admitted,
            attempt: None,
            attempts: 0,
            resumptions: 0,
            maybe_ran: false,
            text: String::new(),
            tokens: 0,
        }
    }

    /// Returns the output tokens passed on so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the next part. After a refusal or the end nothing more comes.
    pub async fn next_part(&mut self) -> Result<AnswerPart, answer::CallerRefusal> {
        let left = self.time_left();
        let expiry = async {
            async_io::Timer::after(left).await;
            None
        };
        let attempts = async { Some(self.try_attempts().await) };
        match futures_lite::future::or(attempts, expiry).await {
            Some(result) => result,
            None => Err(self.refuse(refusal::RefusalReason::DeadlineExceeded)),
        }
    }

    async fn try_attempts(&mut self) -> Result<AnswerPart, answer::CallerRefusal> {
        loop {
            let result = match self.attempt.take() {
                Some(attempt) => self.read(attempt).await,
                None => self.start().await,
            };
            match result {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(refusal) => return Err(refusal),
            }
        }
    }

    async fn read(
        &mut self,
        mut attempt: EngineAttempt,
    ) -> Result<Option<AnswerPart>, answer::CallerRefusal> {
        match attempt.next_part().await {
            Ok(AnswerPart::Text(text)) => {
                self.text.push_str(&text);
                self.tokens += 1;
                self.attempt = Some(attempt);
                Ok(Some(AnswerPart::Text(text)))
            }
            Ok(end @ AnswerPart::End { .. }) => {
                attempt.complete().await;
                Ok(Some(end))
            }
            Err(error) => {
                self.note_failure(&error);
                self.recover(attempt, error).await?;
                Ok(None)
            }
        }
    }

    /// Resumes a broken stream at the same engine; otherwise the next attempt goes on elsewhere.
    async fn recover(
        &mut self,
        mut attempt: EngineAttempt,
        error: AttemptError,
    ) -> Result<(), answer::CallerRefusal> {
        let resumable = matches!(error, AttemptError::Http(_));
        if resumable && self.resumptions < MAX_RESUMPTIONS {
            self.resumptions += 1;
            if attempt.resume().await.is_ok() {
                self.attempt = Some(attempt);
            }
        }
        Ok(())
    }

    async fn start(&mut self) -> Result<Option<AnswerPart>, answer::CallerRefusal> {
        if self.attempts >= MAX_ATTEMPTS {
            return Err(self.refuse(refusal::RefusalReason::UpstreamFailed));
        }
        let number = self.attempts;
        self.attempts += 1;
        async_io::Timer::after(backoff(number)).await;
        let attempt = id::AttemptId { request: self.admitted.request, number };
        let permit = self.wait_for_permit(attempt).await?;
        let adapter = self.admitted.adapter.clone();
        let mut attempt =
            EngineAttempt::new(&self.shared, &self.executor, attempt, adapter, permit);
        if self.shared.clock.now() >= attempt.send_by() {
            self.shared.metrics.count_retry(metrics::RetryReason::PermitExpired);
            return Ok(None);
        }
        let chat = self.chat_from_here();
        match attempt.send(&chat, self.time_left()).await {
            Ok(()) => {
                self.maybe_ran = true;
                self.attempt = Some(attempt);
            }
            Err(error) => {
                self.maybe_ran |= !error.shows_not_run();
                self.note_failure(&error);
            }
        }
        Ok(None)
    }

    async fn wait_for_permit(
        &mut self,
        attempt: id::AttemptId,
    ) -> Result<client::PermitGuard, answer::CallerRefusal> {
        let admitted = &self.admitted;
        let query = client::PermitQuery {
            attempt,
            customer: admitted.customer.clone(),
            weight: admitted.weight,
            priority: admitted.priority,
            adapter: admitted.adapter.clone(),
            base_model: admitted.base_model.clone(),
            tokens: admitted.tokens,
            patience: self.time_left(),
        };
        let asked = self.shared.clock.now();
        let permit = self.shared.control.permit(query).await.map_err(|refusal| {
            let refused = self.refuse(refusal.reason);
            refusal.retry_after.map_or(refused, |delay| refused.with_retry_after(delay))
        })?;
        self.shared.metrics.record_permit_wait(self.shared.clock.now().since(asked));
        Ok(permit)
    }

    fn chat_from_here(&self) -> protocol::ChatRequest {
        let mut chat = self.admitted.chat.clone();
        if !self.text.is_empty() {
            chat.continue_from = Some(self.text.clone());
            chat.max_tokens = chat.max_tokens.map(|tokens| tokens.saturating_sub(self.tokens));
        }
        chat
    }

    fn note_failure(&self, error: &AttemptError) {
        self.shared.metrics.count_retry(error.retry_reason());
        let kind = match error {
            AttemptError::WrongAnswer(_) => event::WRONG_ANSWER,
            _ => event::ATTEMPT_FAILED,
        };
        event::emit(kind, format_args!("request {}: {error}", self.admitted.request));
    }

    fn refuse(&self, reason: refusal::RefusalReason) -> answer::CallerRefusal {
        let ran = match self.maybe_ran {
            true => answer::RanAnswer::Unknown,
            false => answer::RanAnswer::No,
        };
        answer::CallerRefusal { reason, ran, retry_after: None }
    }

    fn time_left(&self) -> time::Duration {
        self.admitted.deadline.since(self.shared.clock.now())
    }
}

/// Returns the pause before an attempt, with jitter so that requests which failed together do not
/// come back together.
fn backoff(attempt: u16) -> time::Duration {
    if attempt == 0 {
        return time::Duration::ZERO;
    }
    let longest = FIRST_BACKOFF * (1 << (attempt - 1));
    longest.mul_f64(rand::random_range(0.5..1.0))
}

//! One attempt of a request at an engine, read as a sequence of answer parts.

use std::sync;
use std::time;

use coltsfoot_platform::{engine, error, http, protocol, sse};
use coltsfoot_types::{adapter, id, name, time as instant};
use coltsfoot_wire::placement;

use crate::control::client;
use crate::shared;

/// Maximum size of an engine's server-sent event.
const MAX_EVENT_BYTES: usize = 64 * 1_024;
/// Timeout for an engine's confirmation that an attempt was cancelled.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Data of the event after the last chunk.
const DONE_MARK: &str = "[DONE]";

/// Part of an answer: one token or the end.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// Text of one output token.
    Text(String),
    /// The end of the output.
    End {
        /// The engine's `finish_reason`, such as `stop`.
        finish_reason: String,
        /// Tokens used, as the engine counted them.
        usage: protocol::TokenUsage,
    },
}

/// Failure of an attempt.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] error::HttpError),
    /// The engine responded with an error status.
    #[error("the engine responded with status {0}")]
    Status(u16),
    /// The adapter was not resident on the engine.
    #[error("the adapter was not resident on the engine")]
    NotResident,
    /// The response is for another adapter, version or attempt.
    #[error("the response is for model and attempt {0}")]
    WrongAnswer(String),
    /// The response violates the expected format or ended early.
    #[error("the response is malformed or ended early")]
    Malformed,
}

impl AttemptError {
    /// Returns the outcome to report when the permit is released.
    fn permit_outcome(&self) -> placement::AttemptOutcome {
        match self {
            Self::Http(error) if error.nothing_sent() => placement::AttemptOutcome::EngineFailed,
            Self::Http(_) => placement::AttemptOutcome::Unknown,
            Self::Status(_) | Self::Malformed => placement::AttemptOutcome::EngineFailed,
            Self::NotResident => placement::AttemptOutcome::NotResident,
            Self::WrongAnswer(_) => placement::AttemptOutcome::WrongAnswer,
        }
    }
}

/// An attempt in progress. Dropping it before its end cancels it at the engine; the permit is
/// released only after that.
pub struct EngineAttempt {
    shared: sync::Arc<shared::InstanceShared>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    attempt: id::AttemptId,
    adapter: adapter::AdapterVersion,
    upstream: name::UpstreamName,
    client: engine::EngineClient,
    permit: Option<client::PermitGuard>,
    events: Option<sse::EventReader>,
    sent_at: instant::MonotonicTime,
    tokens: u32,
    end: Option<AnswerPart>,
    ended: bool,
}

impl EngineAttempt {
    /// Creates an unsent attempt that holds `permit`.
    pub fn new(
        shared: &sync::Arc<shared::InstanceShared>,
        executor: &sync::Arc<async_executor::Executor<'static>>,
        attempt: id::AttemptId,
        adapter: adapter::AdapterVersion,
        permit: client::PermitGuard,
    ) -> Self {
        let address = permit.permit.address;
        Self {
            upstream: permit.permit.upstream.clone(),
            shared: sync::Arc::clone(shared),
            executor: sync::Arc::clone(executor),
            attempt,
            adapter,
            client: engine::EngineClient::new(shared.upstreams.clone(), address),
            permit: Some(permit),
            events: None,
            sent_at: shared.clock.now(),
            tokens: 0,
            end: None,
            // An unsent attempt needs no cancellation.
            ended: true,
        }
    }

    /// Returns the name of the engine.
    pub fn upstream(&self) -> name::UpstreamName {
        self.upstream.clone()
    }

    /// Returns the client for the engine.
    pub fn client(&self) -> engine::EngineClient {
        self.client.clone()
    }

    /// Returns the number of output tokens received in this attempt.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the time by which the attempt must be sent.
    pub fn send_by(&self) -> instant::MonotonicTime {
        self.permit.as_ref().map_or(self.sent_at, |permit| permit.permit.send_by)
    }

    /// Sends the request and waits for the response head.
    pub async fn send(
        &mut self,
        chat: &protocol::ChatRequest,
        head_timeout: time::Duration,
    ) -> Result<(), AttemptError> {
        let reuse = http::ConnectionReuse::Allow;
        if let Some(permit) = &mut self.permit {
            permit.set_outcome(placement::AttemptOutcome::Unknown);
        }
        self.sent_at = self.shared.clock.now();
        self.ended = false;
        let sent = self.client.chat(chat, self.attempt, reuse, head_timeout).await;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(error) => {
                self.ended = error.nothing_sent();
                return Err(self.fail(error.into()));
            }
        };
        match exchange.status() {
            200 => self.read_events(exchange),
            404 => {
                self.ended = true;
                Err(self.fail(AttemptError::NotResident))
            }
            status => {
                self.ended = true;
                Err(self.fail(AttemptError::Status(status)))
            }
        }
    }

    /// Resumes a broken stream at the same engine after the last received token.
    pub async fn resume(&mut self) -> Result<(), AttemptError> {
        self.events = None;
        let exchange = match self.client.resume(self.attempt, self.tokens).await {
            Ok(exchange) => exchange,
            Err(error) => return Err(self.fail(error.into())),
        };
        match exchange.status() {
            200 => self.read_events(exchange),
            status => {
                self.ended = true;
                Err(self.fail(AttemptError::Status(status)))
            }
        }
    }

    /// Returns the next part of the answer, or why the attempt failed.
    pub async fn next_part(&mut self) -> Result<AnswerPart, AttemptError> {
        match self.read_part().await {
            Ok(part) => Ok(part),
            Err(error) => Err(self.fail(error)),
        }
    }

    async fn read_part(&mut self) -> Result<AnswerPart, AttemptError> {
        if let Some(end) = self.end.take() {
            return Ok(end);
        }
        loop {
            let events = self.events.as_mut().ok_or(AttemptError::Malformed)?;
            let event = events.next_event().await?.ok_or(AttemptError::Malformed)?;
            if event.data == DONE_MARK {
                return Err(AttemptError::Malformed);
            }
            let chunk: protocol::ChatChunk =
                serde_json::from_str(&event.data).map_err(|_| AttemptError::Malformed)?;
            self.check_identity(&chunk)?;
            if let Some(part) = self.convert(chunk, event.id)? {
                return Ok(part);
            }
        }
    }

    /// Releases the permit after the last part. The rest of the body is read in the background, so
    /// that the connection can be reused.
    async fn finish(&mut self) {
        self.ended = true;
        if let Some(mut permit) = self.permit.take() {
            let duration = self.shared.clock.now().since(self.sent_at);
            let output_tokens = self.tokens;
            permit.set_outcome(placement::AttemptOutcome::Answered { output_tokens, duration });
        }
        if let Some(mut events) = self.events.take() {
            let draining = async move { while let Ok(Some(_)) = events.next_event().await {} };
            self.executor.spawn(draining).detach();
        }
    }

    /// Ends the attempt after its last part.
    pub async fn complete(mut self) {
        self.finish().await;
    }

    fn read_events(&mut self, exchange: http::HttpExchange) -> Result<(), AttemptError> {
        self.events = Some(sse::EventReader::new(exchange, MAX_EVENT_BYTES));
        Ok(())
    }

    fn check_identity(&self, chunk: &protocol::ChatChunk) -> Result<(), AttemptError> {
        let model_fits = chunk.model == self.adapter.to_string();
        if model_fits && chunk.id == self.attempt.to_string() {
            return Ok(());
        }
        Err(AttemptError::WrongAnswer(format!("{} {}", chunk.model, chunk.id)))
    }

    /// Converts a chunk; none if its token was already forwarded. The last chunk may hold both a
    /// token and the end, which is then stored for the next call.
    fn convert(
        &mut self,
        chunk: protocol::ChatChunk,
        event_id: Option<String>,
    ) -> Result<Option<AnswerPart>, AttemptError> {
        let choice = chunk.choices.into_iter().next().ok_or(AttemptError::Malformed)?;
        if let Some(finish_reason) = choice.finish_reason {
            let usage = chunk.usage.ok_or(AttemptError::Malformed)?;
            self.end = Some(AnswerPart::End { finish_reason, usage });
        }
        let number = event_id.and_then(|id| id.parse().ok()).ok_or(AttemptError::Malformed)?;
        if number <= self.tokens {
            return Ok(self.end.take());
        }
        if number != self.tokens + 1 {
            return Err(AttemptError::Malformed);
        }
        self.tokens = number;
        Ok(Some(AnswerPart::Text(choice.delta.content)))
    }

    fn fail(&mut self, error: AttemptError) -> AttemptError {
        if let Some(permit) = &mut self.permit {
            permit.set_outcome(error.permit_outcome());
        }
        error
    }
}

impl Drop for EngineAttempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let Some(mut permit) = self.permit.take() else { return };
        let client = self.client.clone();
        let attempt = self.attempt;
        let confirmed = match permit.outcome() {
            placement::AttemptOutcome::Unknown => placement::AttemptOutcome::Cancelled,
            outcome => outcome,
        };
        // Unless the engine confirms the cancellation, the outcome stays unknown and the cell keeps
        // the permit reserved.
        permit.set_outcome(placement::AttemptOutcome::Unknown);
        let cancelling = async move {
            let timeout = async {
                async_io::Timer::after(CANCEL_TIMEOUT).await;
            };
            let cancel = async {
                match client.cancel(attempt).await {
                    Ok(()) => permit.set_outcome(confirmed),
                    Err(error::ClientError::Http(error::HttpError::Connect { .. })) => {
                        permit.set_outcome(placement::AttemptOutcome::EngineFailed);
                    }
                    Err(_) => {}
                }
            };
            futures_lite::future::or(cancel, timeout).await;
        };
        self.executor.spawn(cancelling).detach();
    }
}

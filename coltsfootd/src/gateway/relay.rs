//! Forwards a streamed response to the caller event by event.

use std::sync;
use std::time;

use coltsfoot_gateway::{engine_choice, event_stream};
use coltsfoot_http::{body, header, message};
use coltsfoot_types::time as instant;
use futures_lite::AsyncWriteExt as _;
use site_platform::fields;

use crate::gateway::{attempt, exchange, forwarding, in_flight};

/// Time without a complete event after which a stream is resumed at another upstream. Callers give
/// up after two seconds.
const MAX_STREAM_SILENCE: time::Duration = time::Duration::from_millis(1500);

impl forwarding::Forwarding<'_, '_> {
    /// Forwards the events of a stream as they arrive; after a retry only those not yet forwarded.
    pub(super) async fn relay(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        mut response: attempt::OpenResponse,
        in_flight_request: &mut in_flight::InFlightRequest<'_>,
        sent: instant::MonotonicTime,
    ) -> forwarding::AttemptOutcome {
        let mut splitter = event_stream::EventSplitter::default();
        let mut has_event = false;
        let mut last_event = self.state.now();
        loop {
            let silence = self.state.now().since(last_event);
            if self.is_overdue(&chosen.id, has_event, silence) {
                return self.record_broken(&chosen.id, "stream_silent");
            }
            let limit =
                MAX_STREAM_SILENCE.saturating_sub(silence).max(forwarding::SILENCE_CHECK_INTERVAL);
            let part = response.stream.read_part(&mut response.framing);
            let part = match message::with_timeout(limit, part).await {
                None => continue,
                Some(Err(_)) => return self.record_broken(&chosen.id, "stream_broke_off"),
                Some(Ok(part)) => part,
            };
            let Some(part) = part else { break };
            self.state.view().record_activity(self.state.now(), &chosen.id);
            splitter.push(&part);
            if splitter.is_overlong() {
                return self.record_broken(&chosen.id, "stream_garbled");
            }
            let mut output = Vec::new();
            while let Some(event) = splitter.next_event() {
                last_event = self.state.now();
                if !has_event {
                    has_event = true;
                    in_flight_request.finish_prefill();
                    self.record_first_event_time(chosen, sent);
                }
                match self.position.advance(&event) {
                    event_stream::EventDecision::Forward => output.extend_from_slice(&event.bytes),
                    event_stream::EventDecision::Duplicate => {}
                    event_stream::EventDecision::Gap => {
                        return self.record_broken(&chosen.id, "stream_gap");
                    }
                }
            }
            self.log.events = self.position.forwarded();
            if !output.is_empty() && !self.write_events(&response.head, &output).await {
                return forwarding::AttemptOutcome::Done(exchange::Outcome::Aborted("caller_gone"));
            }
        }
        if splitter.has_partial() {
            return self.record_broken(&chosen.id, "stream_garbled");
        }
        self.state.view().record_outcome(self.state.now(), &chosen.id, false);
        let is_written = self.write_last_chunk(&response.head).await;
        response.release(&self.state.pool);
        forwarding::AttemptOutcome::Done(if is_written {
            exchange::Outcome::Streamed
        } else {
            exchange::Outcome::Aborted("caller_gone")
        })
    }

    /// Returns whether a stream has gone too long without a complete event; partial events are no
    /// progress. A stream that can't be retried elsewhere is kept, as an engine that preempted it
    /// continues it later.
    fn is_overdue(
        &self,
        upstream: &sync::Arc<str>,
        has_event: bool,
        silence: time::Duration,
    ) -> bool {
        match has_event {
            true => silence >= MAX_STREAM_SILENCE && self.can_retry_elsewhere(upstream),
            false => silence >= self.attempt_limit().max(MAX_STREAM_SILENCE),
        }
    }

    fn record_first_event_time(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        sent: instant::MonotonicTime,
    ) {
        let now = self.state.now();
        let wait = now.since(self.exchange.received);
        if self.log.first_ms.is_none() {
            self.log.first_ms = Some(wait.as_millis());
            self.state.metrics.record_first_event(wait);
        }
        let elapsed = now.since(sent).as_secs_f64() * 1000.0;
        let ratio = elapsed / chosen.expected_ms.max(engine_choice::FIRST_EVENT_MS);
        self.state.view().first_event_timed(&chosen.id, ratio);
    }

    /// Writes events to the caller, preceded by the response head if it was not written yet.
    async fn write_events(&mut self, head: &header::ResponseHead, events: &[u8]) -> bool {
        let mut bytes = self.take_stream_head(head);
        bytes.extend_from_slice(&body::encode_chunk(events));
        self.writer.write_all(&bytes).await.is_ok()
    }

    async fn write_last_chunk(&mut self, head: &header::ResponseHead) -> bool {
        let mut bytes = self.take_stream_head(head);
        bytes.extend_from_slice(body::LAST_CHUNK);
        self.writer.write_all(&bytes).await.is_ok()
    }

    fn take_stream_head(&mut self, head: &header::ResponseHead) -> Vec<u8> {
        if std::mem::replace(&mut self.is_response_started, true) {
            return Vec::new();
        }
        let mut head = fields::encode_response(head);
        head.headers.push("Transfer-Encoding", "chunked");
        if self.exchange.connection_use() == exchange::ConnectionUse::Close {
            head.headers.push("Connection", "close");
        }
        head.encode()
    }
}

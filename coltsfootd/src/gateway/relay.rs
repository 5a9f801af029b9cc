//! Passes streams on event by event.

use std::sync;
use std::time;

use coltsfoot_gateway::{engine_choice, event_stream};
use coltsfoot_http::{body, header, message};
use coltsfoot_types::time as instant;
use futures_lite::AsyncWriteExt as _;
use site_platform::fields;

use crate::gateway::{attempt, exchange, forwarding, under_way};

/// Time without a whole event after which a stream goes on elsewhere. Callers leave after two seconds.
const MAX_STREAM_SILENCE: time::Duration = time::Duration::from_millis(1500);

impl forwarding::Forwarding<'_, '_> {
    /// Passes the events of a stream on as they come.
    pub(super) async fn relay(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        mut answer: attempt::OpenAnswer,
        under_way: &mut under_way::UnderWay<'_>,
        sent: instant::MonotonicTime,
    ) -> forwarding::AttemptOutcome {
        let mut splitter = event_stream::EventSplitter::default();
        let mut has_event = false;
        let mut last_event = self.state.now();
        loop {
            let silence = self.state.now().since(last_event);
            if self.is_overdue(&chosen.id, has_event, silence) {
                return self.broken(&chosen.id, "stream_silent");
            }
            let limit = MAX_STREAM_SILENCE.saturating_sub(silence).max(forwarding::SILENCE_CHECK);
            let part = answer.stream.read_part(&mut answer.framing);
            let part = match message::within(limit, part).await {
                None => continue,
                Some(Err(_)) => return self.broken(&chosen.id, "stream_broke_off"),
                Some(Ok(part)) => part,
            };
            let Some(part) = part else { break };
            self.state.view().upstream_heard(self.state.now(), &chosen.id);
            splitter.push(&part);
            if splitter.is_overlong() {
                return self.broken(&chosen.id, "stream_garbled");
            }
            let mut output = Vec::new();
            while let Some(event) = splitter.next_event() {
                last_event = self.state.now();
                if !has_event {
                    has_event = true;
                    under_way.prefill_finished();
                    self.time_first_event(chosen, sent);
                }
                match self.position.advance(&event) {
                    event_stream::EventVerdict::Forward => output.extend_from_slice(&event.bytes),
                    event_stream::EventVerdict::Duplicate => {}
                    event_stream::EventVerdict::Gap => {
                        return self.broken(&chosen.id, "stream_gap");
                    }
                }
            }
            if !output.is_empty() && !self.write_events(&answer.head, &output).await {
                return forwarding::AttemptOutcome::Done(exchange::Outcome::Cut("caller_gone"));
            }
        }
        if splitter.has_partial() {
            return self.broken(&chosen.id, "stream_garbled");
        }
        self.state.view().record_outcome(self.state.now(), &chosen.id, false);
        let end = self.write_end(&answer.head).await;
        answer.release(&self.state.pool);
        forwarding::AttemptOutcome::Done(if end {
            exchange::Outcome::Streamed
        } else {
            exchange::Outcome::Cut("caller_gone")
        })
    }

    /// Returns whether a stream without a whole event for so long is to be ended. Bytes that complete none
    /// are no progress. A stream that can't go on elsewhere is not ended: an engine that preempts it goes
    /// on later.
    fn is_overdue(
        &self,
        upstream: &sync::Arc<str>,
        has_event: bool,
        silence: time::Duration,
    ) -> bool {
        match has_event {
            true => silence >= MAX_STREAM_SILENCE && self.can_go_elsewhere(upstream),
            false => silence >= self.attempt_limit().max(MAX_STREAM_SILENCE),
        }
    }

    fn time_first_event(
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
        let taken = now.since(sent).as_secs_f64() * 1000.0;
        let ratio = taken / chosen.expected_ms.max(engine_choice::FIRST_EVENT_MS);
        self.state.view().first_event_timed(&chosen.id, ratio);
    }

    /// Writes events, before the first ones also the head of the answer.
    async fn write_events(&mut self, head: &header::ResponseHead, events: &[u8]) -> bool {
        let mut bytes = self.stream_head(head);
        bytes.extend_from_slice(&body::encode_chunk(events));
        self.writer.write_all(&bytes).await.is_ok()
    }

    async fn write_end(&mut self, head: &header::ResponseHead) -> bool {
        let mut bytes = self.stream_head(head);
        bytes.extend_from_slice(body::LAST_CHUNK);
        self.writer.write_all(&bytes).await.is_ok()
    }

    fn stream_head(&mut self, head: &header::ResponseHead) -> Vec<u8> {
        if std::mem::replace(&mut self.has_begun, true) {
            return Vec::new();
        }
        let mut head = fields::encode_answer(head);
        head.headers.push("Transfer-Encoding", "chunked");
        if self.exchange.connection_use() == exchange::ConnectionUse::Close {
            head.headers.push("Connection", "close");
        }
        head.encode()
    }
}

//! Forwards a streamed response to the caller event by event.

use std::sync;

use coltsfoot_gateway::{engine_choice, event_stream, failover_timer, upstream};
use coltsfoot_http::{body, header};
use coltsfoot_types::time as instant;
use futures_lite::AsyncWriteExt as _;
use site_platform::fields;
use smallvec::SmallVec;

use crate::gateway::{
    attempt, exchange, failover, forwarding, origins, paths, state, upstream_attempt,
};

/// Complete events that arrived together.
type EventBatch = SmallVec<[event_stream::StreamEvent; 2]>;

/// Copies of an event on its way: as received, split off, joined with others, and encoded as a chunk.
const EVENT_COPIES: usize = 4;

/// Result of waiting for events.
enum ReadResult<'a> {
    /// Events, or `None` at the end of the stream.
    Events(Option<EventBatch>),
    /// The stream failed, with the reason.
    Failed(&'static str),
    /// Another upstream has taken the request, with the reason.
    Moved(forwarding::AttemptStage<'a>, &'static str),
}

impl<'b> forwarding::Forwarding<'_, 'b> {
    /// Forwards the events of a stream as they arrive; after a retry only those not yet forwarded.
    pub(super) async fn relay(
        &mut self,
        open: upstream_attempt::OpenAttempt<'b>,
    ) -> forwarding::AttemptProgress<'b> {
        let upstream_attempt::OpenAttempt { mut attempt, mut response, mut splitter } = open;
        let upstream = sync::Arc::clone(&attempt.chosen.id);
        self.position.begin_run();
        let mut has_event = false;
        let received = self.state.now();
        let mut timer =
            failover_timer::FailoverTimer::for_first_event(received, &self.admitted.route);
        loop {
            let read = self.next_events(&upstream, &mut response, &mut splitter, &mut timer).await;
            let events = match read {
                ReadResult::Events(Some(events)) => events,
                ReadResult::Events(None) => break,
                ReadResult::Failed(detail) => {
                    let failed = self.fail_broken(attempt, detail);
                    return forwarding::AttemptProgress::Failed(failed);
                }
                ReadResult::Moved(stage, detail) => {
                    self.record_attempt(&self.fail_broken(attempt, detail), "moved");
                    return forwarding::AttemptProgress::Next(stage);
                }
            };
            timer.event_received(self.state.now());
            attempt.event_received();
            if !std::mem::replace(&mut has_event, true) {
                attempt.in_flight.finish_prefill();
                self.record_first_event_time(&attempt.chosen, attempt.sent);
            }
            let mut output = Vec::new();
            for event in events {
                match self.position.advance(&event) {
                    event_stream::EventDecision::Forward => output.extend_from_slice(&event.bytes),
                    event_stream::EventDecision::Duplicate => {}
                    event_stream::EventDecision::Gap => {
                        let failed = self.fail_broken(attempt, "stream_gap");
                        return forwarding::AttemptProgress::Failed(failed);
                    }
                }
            }
            self.log.events = self.position.forwarded();
            if !output.is_empty() {
                self.keep_build(attempt.chosen.build);
            }
            if !output.is_empty() && !self.write_events(&response.head, &output).await {
                let outcome = exchange::Outcome::Aborted("caller_gone");
                return forwarding::AttemptProgress::Done(outcome);
            }
        }
        if splitter.has_partial() {
            return forwarding::AttemptProgress::Failed(
                self.fail_broken(attempt, "stream_garbled"),
            );
        }
        self.state.view().record_outcome(self.state.now(), &upstream, false);
        let is_written = self.write_last_chunk(&response.head).await;
        response.release(&self.state.pool);
        forwarding::AttemptProgress::Done(if is_written {
            attempt.complete();
            exchange::Outcome::Streamed
        } else {
            exchange::Outcome::Aborted("caller_gone")
        })
    }

    /// Waits for the next events; seeks another upstream meanwhile if this one is silent. A stream that
    /// no other upstream takes is kept, as an engine that paused or preempted it continues it later.
    async fn next_events(
        &mut self,
        upstream: &sync::Arc<str>,
        response: &mut attempt::OpenResponse,
        splitter: &mut event_stream::EventSplitter,
        timer: &mut failover_timer::FailoverTimer,
    ) -> ReadResult<'b> {
        let state = self.exchange.state;
        let to_result = |read: Result<_, _>| match read {
            Ok(events) => ReadResult::Events(events),
            Err(detail) => ReadResult::Failed(detail),
        };
        loop {
            let overdue = async {
                self.wait_until_overdue(upstream, timer).await;
                None
            };
            let read = async { Some(read_events(state, upstream, response, splitter).await) };
            if let Some(read) = futures_lite::future::or(read, overdue).await {
                return to_result(read);
            }
            let read = read_events(state, upstream, response, splitter);
            match self.fail_over(upstream, read).await {
                failover::FailoverResult::Progress(read) => return to_result(read),
                failover::FailoverResult::Moved(stage, error) => {
                    return ReadResult::Moved(stage, error.unwrap_or("stream_silent"));
                }
                failover::FailoverResult::Unavailable => timer.search_failed(state.now()),
            }
        }
    }

    /// Binds the response to the version whose events the caller gets.
    fn keep_build(&mut self, build: upstream::BuildKey) {
        if !self.is_response_started {
            self.build = Some(build);
            origins::record_begin(self.state, &self.exchange.fields, self.admitted, build);
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
        self.state.view().first_event_timed(now, chosen, elapsed);
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

/// Reads until at least one event is complete; returns the events, `None` at the end of the stream, or why
/// the stream failed. Cancelling it loses nothing.
async fn read_events(
    state: &state::GatewayState,
    upstream: &str,
    response: &mut attempt::OpenResponse,
    splitter: &mut event_stream::EventSplitter,
) -> Result<Option<EventBatch>, &'static str> {
    let has_event = read_event(state, upstream, response, splitter).await?;
    Ok(has_event.then(|| std::iter::from_fn(|| splitter.next_event()).collect()))
}

/// Reads until the splitter holds a complete event; returns false at the end of the stream, or why the
/// stream failed. Cancelling it loses nothing.
pub(super) async fn read_event(
    state: &state::GatewayState,
    upstream: &str,
    response: &mut attempt::OpenResponse,
    splitter: &mut event_stream::EventSplitter,
) -> Result<bool, &'static str> {
    loop {
        if splitter.has_event() {
            return Ok(true);
        }
        if splitter.is_overlong() {
            return Err("stream_garbled");
        }
        let part = response.stream.read_part(&mut response.framing).await;
        let Some(part) = part.map_err(|_| "stream_broke_off")? else { return Ok(false) };
        paths::record_activity(state, upstream, response.is_direct());
        if !response.lease.grow_to(EVENT_COPIES * (splitter.buffered() + part.len())) {
            return Err("no_memory");
        }
        splitter.push(&part);
    }
}

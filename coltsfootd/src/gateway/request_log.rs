//! The log line that is written for each request.

use std::sync;

use coltsfoot_http::message;
use coltsfoot_types::time as instant;
use coltsfoot_wire::once;

use crate::event;
use crate::gateway::{exchange, state};

/// What became of the connection of a request that the instance gave up.
pub(super) const DROPPED: &str = "dropped";

/// Fields of a request's log line, filled in while it is served. The line is written once, also if
/// serving the request is cancelled.
pub(super) struct RequestLog<'a> {
    state: &'a state::GatewayState,
    request_id: Option<sync::Arc<str>>,
    received: instant::MonotonicTime,
    /// Status and reason of the response; `None` until it is known.
    outcome: Option<(u16, &'static str)>,
    is_written: bool,
    /// Whether the whole response was handed to the caller's connection.
    pub(super) is_delivered: bool,
    pub(super) route: Option<sync::Arc<str>>,
    pub(super) customer: Option<sync::Arc<str>>,
    pub(super) digest: Option<once::RequestDigest>,
    pub(super) tokens: u64,
    pub(super) upstream: Option<sync::Arc<str>>,
    pub(super) expected_ms: f64,
    pub(super) sends: u32,
    pub(super) loads: usize,
    /// Events of the response that were forwarded.
    pub(super) events: u64,
    /// Time from the end of reading the request to its first send, in microseconds.
    pub(super) placed_us: Option<u128>,
    /// Time from the end of reading the request to the first event of its stream, in milliseconds.
    pub(super) first_ms: Option<u128>,
}

impl<'a> RequestLog<'a> {
    /// Begins the log line of a request.
    pub(super) fn begin(exchange: &exchange::CallerExchange<'a>) -> Self {
        Self {
            state: exchange.state,
            request_id: exchange.fields.request_id.clone(),
            received: exchange.received,
            outcome: None,
            is_written: false,
            is_delivered: false,
            route: None,
            customer: None,
            digest: None,
            tokens: 0,
            upstream: None,
            expected_ms: 0.0,
            sends: 0,
            loads: 0,
            events: 0,
            placed_us: None,
            first_ms: None,
        }
    }

    /// Records the response that the caller is about to get.
    pub(super) fn record_outcome(&mut self, outcome: &exchange::Outcome) {
        self.outcome = Some(match outcome {
            exchange::Outcome::Buffered(head, _) => (head.status, "answered"),
            exchange::Outcome::Streamed => (200, "streamed"),
            exchange::Outcome::Aborted(reason) => (0, *reason),
            exchange::Outcome::Local(reply) => (reply.status, reply.reason),
        });
    }

    /// Logs a request that has ended and updates the metrics; `connection` tells what became of the
    /// caller's connection, which is the reason of a request without an outcome.
    pub(super) fn write(&mut self, connection: &'static str) {
        self.is_written = true;
        let (status, reason) = self.outcome.unwrap_or((0, connection));
        let elapsed = self.state.now().since(self.received);
        self.state.metrics.count_request(reason, elapsed);
        let routes = self.state.routes.load();
        let version = routes.as_ref().map_or(0, |routes| routes.rules().version);
        log::info!(
            event = event::REQUEST_ENDED.number,
            request = self.request_id.as_deref().unwrap_or_default(),
            route = self.route.as_deref().unwrap_or_default(),
            customer = self.customer.as_deref().unwrap_or_default(), tokens = self.tokens,
            digest = self.digest.map(|digest| digest.short()).unwrap_or_default(),
            upstream = self.upstream.as_deref().unwrap_or_default(),
            rules = version, status = status, reason = reason, delivered = self.is_delivered,
            connection = connection, events = self.events, sends = self.sends,
            loads = self.loads, expected_ms = self.expected_ms as u64,
            placed_us = self.placed_us.unwrap_or_default() as u64,
            first_ms = self.first_ms.unwrap_or_default() as u64,
            ms = elapsed.as_millis() as u64;
            "request_ended"
        );
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if !self.is_written {
            self.write(DROPPED);
        }
    }
}

/// Returns a short name for logs and metrics of how a caller ended its connection.
pub(super) fn end_code(end: message::PeerEnd) -> &'static str {
    match end {
        message::PeerEnd::Closed => "caller_closed",
        message::PeerEnd::Failed => "caller_reset",
    }
}

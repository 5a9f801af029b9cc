//! The log line that is written for each request.

use std::sync;

use coltsfoot_wire::once;

use crate::event;
use crate::gateway::exchange;

/// Fields of a request's log line, filled in while it is served.
#[derive(Default)]
pub(super) struct RequestLog {
    pub(super) route: Option<sync::Arc<str>>,
    pub(super) customer: Option<sync::Arc<str>>,
    pub(super) digest: Option<once::RequestDigest>,
    pub(super) tokens: u64,
    pub(super) upstream: Option<sync::Arc<str>>,
    pub(super) expected_ms: f64,
    pub(super) sends: u32,
    pub(super) loads: usize,
    /// Time from the end of reading the request to its first send, in microseconds.
    pub(super) placed_us: Option<u128>,
    /// Time from the end of reading the request to the first event of its stream, in milliseconds.
    pub(super) first_ms: Option<u128>,
}

impl RequestLog {
    /// Logs a request that has ended and updates the metrics.
    pub(super) fn write(
        &self,
        exchange: &exchange::CallerExchange<'_>,
        outcome: &exchange::Outcome,
    ) {
        let (status, reason) = match outcome {
            exchange::Outcome::Buffered(head, _) => (head.status, "answered"),
            exchange::Outcome::Streamed => (200, "streamed"),
            exchange::Outcome::Aborted(reason) => (0, *reason),
            exchange::Outcome::Local(reply) => (reply.status, reply.reason),
        };
        let elapsed = exchange.state.now().since(exchange.received);
        exchange.state.metrics.count_request(reason, elapsed);
        let routes = exchange.state.routes.load();
        let version = routes.as_ref().map_or(0, |routes| routes.rules().version);
        log::info!(
            event = event::REQUEST_ENDED.number,
            request = exchange.fields.request_id.as_deref().unwrap_or_default(),
            route = self.route.as_deref().unwrap_or_default(),
            customer = self.customer.as_deref().unwrap_or_default(), tokens = self.tokens,
            digest = self.digest.map(|digest| digest.short()).unwrap_or_default(),
            upstream = self.upstream.as_deref().unwrap_or_default(),
            rules = version, status = status, reason = reason, sends = self.sends,
            loads = self.loads, expected_ms = self.expected_ms as u64,
            placed_us = self.placed_us.unwrap_or_default() as u64,
            first_ms = self.first_ms.unwrap_or_default() as u64,
            ms = elapsed.as_millis() as u64;
            "request_ended"
        );
    }
}

//! Counters and latency histograms of a gateway, exported as Prometheus text.

use std::time;

use opentelemetry::KeyValue;
use opentelemetry::metrics;

use crate::metrics as registry;

/// The metrics of one gateway.
pub(crate) struct GatewayMetrics {
    registry: registry::MeterRegistry,
    requests: metrics::Counter<u64>,
    connections: metrics::Counter<u64>,
    attempts: metrics::Counter<u64>,
    failovers: metrics::Counter<u64>,
    loads: metrics::Counter<u64>,
    late_loads: metrics::Counter<u64>,
    held_threads: metrics::Counter<u64>,
    orders: metrics::Counter<u64>,
    reports: metrics::Counter<u64>,
    permits: metrics::Counter<u64>,
    cold_upstreams: metrics::Counter<u64>,
    tunnels: metrics::Counter<u64>,
    crash_suspects: metrics::Counter<u64>,
    evacuated_zones: metrics::Gauge<u64>,
    estimates: metrics::Counter<u64>,
    duration: metrics::Histogram<f64>,
    first_event: metrics::Histogram<f64>,
    load_wait: metrics::Histogram<f64>,
}

impl GatewayMetrics {
    /// Creates the metrics.
    pub fn new() -> Result<Self, registry::MetricsError> {
        let registry = registry::MeterRegistry::new()?;
        Ok(Self {
            requests: registry.counter("coltsfoot_gateway_requests", "Requests, by how they ended"),
            connections: registry.counter(
                "coltsfoot_gateway_connections_ended",
                "Connections of callers that ended, by reason",
            ),
            attempts: registry
                .counter("coltsfoot_gateway_attempts", "Attempts without an answer, by reason"),
            failovers: registry.counter(
                "coltsfoot_gateway_failovers",
                "Searches for another upstream while one is silent, by result",
            ),
            loads: registry
                .counter("coltsfoot_gateway_loads", "Waits for an adapter, by how they ended"),
            late_loads: registry.counter(
                "coltsfoot_gateway_late_loads",
                "Loads at owned engines that had not ended when they were expected to",
            ),
            held_threads: registry.counter(
                "coltsfoot_gateway_held_threads",
                "Times that a task held the thread for over 100 ms, by task",
            ),
            orders: registry
                .counter("coltsfoot_gateway_orders", "Orders to engines, by their answer"),
            reports: registry
                .counter("coltsfoot_gateway_reports", "Reports asked of engines, by success"),
            permits: registry.counter(
                "coltsfoot_gateway_permits",
                "Questions for leave to send to upstreams that named a limit, by answer and purpose",
            ),
            cold_upstreams: registry.counter(
                "coltsfoot_gateway_cold_upstreams",
                "Upstreams that became cold, by what told so",
            ),
            tunnels: registry.counter(
                "coltsfoot_gateway_tunnels",
                "Questions for a tunnel to an upstream through another instance, by answer",
            ),
            crash_suspects: registry.counter(
                "coltsfoot_gateway_crash_suspects",
                "Requests that were at an upstream when it crashed",
            ),
            evacuated_zones: registry.gauge(
                "coltsfoot_gateway_evacuated_zones",
                "Zones to which the operator wants nothing sent",
            ),
            estimates: registry.counter(
                "coltsfoot_gateway_estimates",
                "Loads that responses of upstreams stated, and messages on estimates, by kind",
            ),
            duration: registry
                .seconds("coltsfoot_gateway_request_seconds", "Time of a request, by outcome"),
            first_event: registry
                .seconds("coltsfoot_gateway_first_event_seconds", "Time to a first event"),
            load_wait: registry
                .seconds("coltsfoot_gateway_load_wait_seconds", "Wait for an adapter"),
            registry,
        })
    }

    /// Counts a completed request, by reason, and records its duration.
    pub fn count_request(&self, reason: &'static str, duration: time::Duration) {
        let labels = [KeyValue::new("reason", reason)];
        self.requests.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &labels);
    }

    /// Counts a connection of a caller that ended, by reason.
    pub fn count_connection(&self, reason: &'static str) {
        self.connections.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an attempt without a response for the caller, by reason.
    pub fn count_attempt(&self, detail: &'static str) {
        self.attempts.add(1, &[KeyValue::new("reason", detail)]);
    }

    /// Counts a search for another upstream while one is silent, by result.
    pub fn count_failover(&self, verdict: &'static str) {
        self.failovers.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts a wait for an adapter load, by result, and records its duration.
    pub fn count_load(&self, verdict: &'static str, wait: time::Duration) {
        self.loads.add(1, &[KeyValue::new("verdict", verdict)]);
        self.load_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Counts a load that had not ended when it was expected to.
    pub fn count_late_load(&self) {
        self.late_loads.add(1, &[]);
    }

    /// Counts a task that held the thread for long.
    pub fn count_held_thread(&self, task: &'static str) {
        self.held_threads.add(1, &[KeyValue::new("task", task)]);
    }

    /// Counts an order to an engine, by the engine's answer.
    pub fn count_order(&self, answer: &'static str) {
        self.orders.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Counts a report request to an engine, by success.
    pub fn count_report(&self, is_read: bool) {
        self.reports.add(1, &[KeyValue::new("read", is_read)]);
    }

    /// Counts a permit request for a rate-limited upstream, by result and purpose.
    pub fn count_permit(&self, verdict: &'static str, purpose: &'static str) {
        let labels = [KeyValue::new("verdict", verdict), KeyValue::new("purpose", purpose)];
        self.permits.add(1, &labels);
    }

    /// Counts an upstream that became cold, by what told so.
    pub fn count_cold(&self, source: &'static str) {
        self.cold_upstreams.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts a question for a tunnel, by its answer.
    pub fn count_tunnel(&self, verdict: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts requests that were running at an upstream when it crashed.
    pub fn count_crash_suspects(&self, requests: usize) {
        self.crash_suspects.add(requests as u64, &[]);
    }

    /// Records the number of evacuated zones.
    pub fn record_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.record(zones as u64, &[]);
    }

    /// Counts a load that a response stated, or a message on estimates, by kind.
    pub fn count_estimate(&self, kind: &'static str) {
        self.estimates.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the time from a request's arrival to its first event.
    pub fn record_first_event(&self, wait: time::Duration) {
        self.first_event.record(wait.as_secs_f64(), &[]);
    }

    /// Returns all metrics as Prometheus text.
    pub fn to_text(&self) -> String {
        self.registry.to_text()
    }
}

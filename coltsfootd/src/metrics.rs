//! Counters and histograms, recorded with `opentelemetry` and exported as Prometheus text.

use std::time;

use coltsfoot_once::retry_reason;
use coltsfoot_types::refusal;
use coltsfoot_wire::peer;
use opentelemetry::KeyValue;
use opentelemetry::metrics;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder as _;

/// Upper bounds of the histograms' buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Reason for a retry, as a label of the retry counter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryReason {
    /// The connection could not be established.
    Connect,
    /// The connection ended before the head of a response.
    NoResponse,
    /// The connection ended within the response.
    BrokenResponse,
    /// The upstream did not respond in time.
    Timeout,
    /// The upstream responded with a server error.
    UpstreamError,
    /// The upstream did not have the adapter.
    NotResident,
    /// The response was for another adapter, version or request.
    WrongResponse,
    /// The permit expired before the attempt was sent.
    PermitExpired,
    /// The upstream refused the request without executing it.
    RefusedNotRun,
}

impl From<retry_reason::RetryReason> for RetryReason {
    fn from(reason: retry_reason::RetryReason) -> Self {
        match reason {
            retry_reason::RetryReason::ConnectFailed => Self::Connect,
            retry_reason::RetryReason::SendFailed | retry_reason::RetryReason::NoResponse => {
                Self::NoResponse
            }
            retry_reason::RetryReason::TimedOut => Self::Timeout,
            retry_reason::RetryReason::RefusedNotRun => Self::RefusedNotRun,
            retry_reason::RetryReason::ServerError => Self::UpstreamError,
            retry_reason::RetryReason::BrokenResponse => Self::BrokenResponse,
            retry_reason::RetryReason::WrongResponse => Self::WrongResponse,
        }
    }
}

impl RetryReason {
    /// All reasons, whose series start at zero.
    pub const ALL: [Self; 9] = [
        Self::Connect,
        Self::NoResponse,
        Self::BrokenResponse,
        Self::Timeout,
        Self::UpstreamError,
        Self::NotResident,
        Self::WrongResponse,
        Self::PermitExpired,
        Self::RefusedNotRun,
    ];

    /// Returns the value of the label.
    pub fn code(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::NoResponse => "no_answer",
            Self::BrokenResponse => "broken_answer",
            Self::Timeout => "timeout",
            Self::UpstreamError => "upstream_error",
            Self::NotResident => "not_resident",
            Self::WrongResponse => "wrong_answer",
            Self::PermitExpired => "permit_expired",
            Self::RefusedNotRun => "refused_unrun",
        }
    }
}

/// Registry of meters with a Prometheus exporter.
pub(crate) struct MeterRegistry {
    registry: prometheus::Registry,
    meter: metrics::Meter,
    _provider: SdkMeterProvider,
}

impl MeterRegistry {
    /// Creates an empty registry.
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|error| MetricsError(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("coltsfootd");
        Ok(Self { registry, meter, _provider: provider })
    }

    /// Creates a counter.
    pub(crate) fn counter(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> metrics::Counter<u64> {
        self.meter.u64_counter(name).with_description(description).build()
    }

    /// Creates a gauge.
    pub(crate) fn gauge(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> metrics::Gauge<u64> {
        self.meter.u64_gauge(name).with_description(description).build()
    }

    /// Creates a histogram of durations in seconds.
    pub(crate) fn seconds(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> metrics::Histogram<f64> {
        let bounds = LATENCY_BOUNDS_S.to_vec();
        let histogram = self.meter.f64_histogram(name).with_description(description);
        histogram.with_boundaries(bounds).build()
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn to_text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        match prometheus::TextEncoder::new().encode(&families, &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# could not encode metrics: {error}\n"),
        }
    }
}

/// The metrics of one instance.
pub struct MetricSet {
    registry: MeterRegistry,
    answers: metrics::Counter<u64>,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
    loads: metrics::Counter<u64>,
    load_failures: metrics::Counter<u64>,
    load_stalls: metrics::Counter<u64>,
    ended_streams: metrics::Counter<u64>,
    peer_bytes: metrics::Counter<u64>,
    platform_bytes: metrics::Counter<u64>,
    output_tokens: metrics::Counter<u64>,
    permit_wait: metrics::Histogram<f64>,
    admission_wait: metrics::Histogram<f64>,
    first_token: metrics::Histogram<f64>,
}

/// Error of the exporter's setup.
#[derive(Debug, thiserror::Error)]
#[error("could not set up metrics: {0}; report this as a fault of the daemon")]
pub struct MetricsError(String);

impl MetricSet {
    /// Creates the metrics; counters with known label values start with a series at zero for each.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = MeterRegistry::new()?;
        let counter = |name, text| registry.counter(name, text);
        let seconds = |name, text| registry.seconds(name, text);
        let metrics = Self {
            answers: counter("coltsfoot_answers", "Requests answered whole, by route kind"),
            refusals: counter("coltsfoot_refusals", "Requests refused, by reason"),
            retries: counter("coltsfoot_retries", "Attempts repeated, by reason"),
            loads: counter("coltsfoot_loads", "Adapter loads ordered"),
            load_failures: counter("coltsfoot_load_failures", "Adapter loads that failed"),
            load_stalls: counter("coltsfoot_load_stalls", "Requests that waited for a load"),
            ended_streams: counter("coltsfoot_ended_streams", "Streams ended by a key withdrawal"),
            peer_bytes: counter(
                "coltsfoot_peer_bytes",
                "Bytes sent to other instances, by kind of message",
            ),
            platform_bytes: counter(
                "coltsfoot_platform_bytes",
                "Bytes to and from the platform and for engine orders and reports",
            ),
            output_tokens: counter("coltsfoot_output_tokens", "Tokens passed on to callers"),
            permit_wait: seconds("coltsfoot_permit_wait_seconds", "Wait for an engine permit"),
            admission_wait: seconds("coltsfoot_admission_wait_seconds", "Wait for admission"),
            first_token: seconds("coltsfoot_first_token_seconds", "Time to the first token"),
            registry,
        };
        metrics.start_series();
        Ok(metrics)
    }

    fn start_series(&self) {
        for reason in refusal::RefusalReason::ALL {
            self.refusals.add(0, &[KeyValue::new("reason", reason.code())]);
        }
        for reason in RetryReason::ALL {
            self.retries.add(0, &[KeyValue::new("reason", reason.code())]);
        }
        for kind in peer::PeerMessage::KINDS {
            self.peer_bytes.add(0, &[KeyValue::new("kind", kind)]);
        }
        for counter in [
            &self.loads,
            &self.load_failures,
            &self.load_stalls,
            &self.ended_streams,
            &self.platform_bytes,
            &self.output_tokens,
        ] {
            counter.add(0, &[]);
        }
    }

    /// Counts a request that was answered completely.
    pub fn count_answer(&self, kind: &'static str) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: refusal::RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a load order.
    pub fn count_load(&self) {
        self.loads.add(1, &[]);
    }

    /// Counts a load that failed.
    pub fn count_load_failure(&self) {
        self.load_failures.add(1, &[]);
    }

    /// Counts requests that waited for a load.
    pub fn count_load_stalls(&self, requests: u64) {
        self.load_stalls.add(requests, &[]);
    }

    /// Counts a stream that was ended because its API key was withdrawn.
    pub fn count_ended_stream(&self) {
        self.ended_streams.add(1, &[]);
    }

    /// Counts bytes sent to other instances in messages of a kind.
    pub fn count_peer_bytes(&self, kind: &'static str, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts bytes exchanged with the platform, and with engines by orders and reports.
    pub fn count_platform_bytes(&self, bytes: u64) {
        self.platform_bytes.add(bytes, &[]);
    }

    /// Counts output tokens.
    pub fn count_output_tokens(&self, tokens: u64) {
        self.output_tokens.add(tokens, &[]);
    }

    /// Records the wait for a permit.
    pub fn record_permit_wait(&self, wait: time::Duration) {
        self.permit_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Records the wait for admission.
    pub fn record_admission_wait(&self, wait: time::Duration) {
        self.admission_wait.record(wait.as_secs_f64(), &[]);
    }

    /// Records the time from a request's arrival to its first output token.
    pub fn record_first_token(&self, wait: time::Duration) {
        self.first_token.record(wait.as_secs_f64(), &[]);
    }

    /// Returns all metrics as Prometheus text.
    pub fn to_text(&self) -> String {
        self.registry.to_text()
    }
}

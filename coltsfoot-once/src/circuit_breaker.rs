//! Circuit breaker of one upstream, kept by the instance that issues permits for it.

use std::time;

use coltsfoot_types::time as clock;

use crate::slow_start;

/// Settings of a circuit breaker.
#[derive(Clone, Debug, bon::Builder)]
pub struct BreakerSettings {
    /// Consecutive failures that open the breaker.
    #[builder(default = 3)]
    pub failures_to_open: u32,
    /// Multiple of the average latency above which a response counts as a failure.
    #[builder(default = 8.0)]
    pub slow_factor: f64,
    /// Latency up to which no response counts as too slow.
    #[builder(default = time::Duration::from_millis(500))]
    pub min_slow_latency: time::Duration,
    /// Time for which the breaker stays open before the first probe.
    #[builder(default = time::Duration::from_secs(1))]
    pub open_time: time::Duration,
    /// Maximum time between probes; the time doubles with each failed probe.
    #[builder(default = time::Duration::from_secs(30))]
    pub max_open_time: time::Duration,
    /// Time after which another probe may be sent if the last one has no outcome.
    #[builder(default = time::Duration::from_secs(30))]
    pub probe_timeout: time::Duration,
    /// Time in which a recovered upstream ramps up to full concurrency.
    #[builder(default = time::Duration::from_secs(5))]
    pub ramp_time: time::Duration,
    /// Share of the full concurrency at the start of the ramp, in thousandths.
    #[builder(default = 100)]
    pub ramp_start_permille: u32,
}

/// Outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamOutcome {
    /// It was answered after this latency, per unit of work chosen by the caller (a token, a call).
    Answered(time::Duration),
    /// It failed at the upstream: no connection, no response or a broken response.
    Failed,
    /// It ended for a reason unrelated to the upstream's health.
    Neutral,
}

/// Requests that a breaker permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerPermit {
    /// All requests may be sent.
    Closed,
    /// One request may be sent as a probe; it must be safe to retry.
    Probe,
    /// No request may be sent.
    Open,
}

#[derive(Clone, Copy, Debug)]
enum BreakerState {
    Closed { failures: u32 },
    Open { since: clock::MonotonicTime, wait: time::Duration },
    HalfOpen { since: clock::MonotonicTime, wait: time::Duration },
}

/// Weight of a new sample in the moving average of latencies.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;

/// Circuit breaker of one upstream, with a slow start after it closes.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    state: BreakerState,
    average_latency: Option<time::Duration>,
    ramp: slow_start::SlowStart,
}

impl CircuitBreaker {
    /// Creates a closed breaker without a latency average.
    pub fn new(settings: BreakerSettings) -> Self {
        let ramp = slow_start::SlowStart::new(settings.ramp_time, settings.ramp_start_permille);
        Self { settings, state: BreakerState::Closed { failures: 0 }, average_latency: None, ramp }
    }

    /// Returns which requests may be sent at `now`.
    pub fn permit(&self, now: clock::MonotonicTime) -> BreakerPermit {
        match self.state {
            BreakerState::Closed { .. } => BreakerPermit::Closed,
            BreakerState::Open { since, wait } if now.since(since) >= wait => BreakerPermit::Probe,
            BreakerState::HalfOpen { since, .. }
                if now.since(since) >= self.settings.probe_timeout =>
            {
                BreakerPermit::Probe
            }
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => BreakerPermit::Open,
        }
    }

    /// Records that a probe was sent. Does nothing while the breaker is closed.
    pub fn begin_probe(&mut self, now: clock::MonotonicTime) {
        let wait = match self.state {
            BreakerState::Closed { .. } => return,
            BreakerState::Open { wait, .. } | BreakerState::HalfOpen { wait, .. } => wait,
        };
        self.state = BreakerState::HalfOpen { since: now, wait };
    }

    /// Returns the concurrency limit of the upstream, given its `full` concurrency.
    pub fn concurrency(&self, now: clock::MonotonicTime, full: u32) -> u32 {
        self.ramp.limit(now, full)
    }

    /// Starts the ramp anew after a cold restart.
    pub fn restart(&mut self, now: clock::MonotonicTime) {
        self.ramp.restart(now);
    }

    /// Records the outcome of a request.
    pub fn record(&mut self, now: clock::MonotonicTime, outcome: UpstreamOutcome) {
        match outcome {
            UpstreamOutcome::Neutral => self.record_neutral(now),
            UpstreamOutcome::Failed => self.record_failure(now),
            UpstreamOutcome::Answered(latency) if self.is_too_slow(latency) => {
                self.record_failure(now);
            }
            UpstreamOutcome::Answered(latency) => self.record_success(now, latency),
        }
    }

    fn is_too_slow(&self, latency: time::Duration) -> bool {
        let average = self.average_latency.unwrap_or(latency);
        let limit = average.mul_f64(self.settings.slow_factor).max(self.settings.min_slow_latency);
        latency > limit
    }

    fn record_neutral(&mut self, now: clock::MonotonicTime) {
        if let BreakerState::HalfOpen { wait, .. } = self.state {
            let since = now - wait;
            self.state = BreakerState::Open { since, wait };
        }
    }

    fn record_failure(&mut self, now: clock::MonotonicTime) {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.settings.failures_to_open => {
                self.state = BreakerState::Closed { failures: failures + 1 };
            }
            BreakerState::Closed { .. } => {
                self.state = BreakerState::Open { since: now, wait: self.settings.open_time };
            }
            BreakerState::HalfOpen { wait, .. } => {
                let wait = (wait * 2).min(self.settings.max_open_time);
                self.state = BreakerState::Open { since: now, wait };
            }
            // Requests sent before the breaker opened don't extend the open time.
            BreakerState::Open { .. } => {}
        }
    }

    fn record_success(&mut self, now: clock::MonotonicTime, latency: time::Duration) {
        let average = self.average_latency.unwrap_or(latency);
        let average =
            average.mul_f64(1.0 - LATENCY_EWMA_WEIGHT) + latency.mul_f64(LATENCY_EWMA_WEIGHT);
        self.average_latency = Some(average);
        match self.state {
            BreakerState::Closed { .. } => self.state = BreakerState::Closed { failures: 0 },
            BreakerState::HalfOpen { .. } => {
                self.state = BreakerState::Closed { failures: 0 };
                self.ramp.restart(now);
            }
            BreakerState::Open { .. } => {}
        }
    }
}

//! Circuit breaker of one upstream, held by the owner that gives permits for it.

use std::time;

use coltsfoot_types::time as clock;

use crate::slow_start;

/// Settings of a breaker.
#[derive(Clone, Debug, bon::Builder)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    #[builder(default = 3)]
    pub failures_to_open: u32,
    /// Latency, relative to the average one, from which an answer counts as a failure.
    #[builder(default = 8.0)]
    pub slow_factor: f64,
    /// Latency below which no answer counts as crawling.
    #[builder(default = time::Duration::from_millis(500))]
    pub min_slow_latency: time::Duration,
    /// Time until the first trial request.
    #[builder(default = time::Duration::from_secs(1))]
    pub open_time: time::Duration,
    /// Longest time between trial requests.
    #[builder(default = time::Duration::from_secs(30))]
    pub max_open_time: time::Duration,
    /// Time after which a trial request without an outcome counts as failed.
    #[builder(default = time::Duration::from_secs(30))]
    pub probe_timeout: time::Duration,
    /// Time over which an upstream that came back gets its full share.
    #[builder(default = time::Duration::from_secs(5))]
    pub ramp_time: time::Duration,
    /// Share at the start of the ramp, in thousandths.
    #[builder(default = 100)]
    pub ramp_start_permille: u32,
}

/// Outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamOutcome {
    /// It was answered after this latency, per unit of work that the caller of this function
    /// chooses (a token, a call).
    Answered(time::Duration),
    /// It failed at the upstream: no connection, no answer, a broken answer.
    Failed,
    /// It ended for a reason that says nothing of the upstream.
    Neutral,
}

/// What a breaker permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerPermit {
    /// Requests may go to the upstream.
    Closed,
    /// One request may go, as a trial; it must be one that may be repeated.
    Probe,
    /// No request may go.
    Open,
}

#[derive(Clone, Copy, Debug)]
enum BreakerState {
    Closed { failures: u32 },
    Open { since: clock::MonotonicTime, wait: time::Duration },
    HalfOpen { since: clock::MonotonicTime, wait: time::Duration },
}

/// Weight of a new latency in the average one.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;

/// Breaker of one upstream.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    state: BreakerState,
    average_latency: Option<time::Duration>,
    ramp: slow_start::SlowStart,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        let ramp = slow_start::SlowStart::new(settings.ramp_time, settings.ramp_start_permille);
        Self { settings, state: BreakerState::Closed { failures: 0 }, average_latency: None, ramp }
    }

    /// Returns what may go to the upstream now.
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

    /// Notes that a trial request was sent.
    pub fn begin_probe(&mut self, now: clock::MonotonicTime) {
        let wait = match self.state {
            BreakerState::Closed { .. } => return,
            BreakerState::Open { wait, .. } | BreakerState::HalfOpen { wait, .. } => wait,
        };
        self.state = BreakerState::HalfOpen { since: now, wait };
    }

    /// Returns how many requests may run at the upstream at a time.
    pub fn concurrency(&self, now: clock::MonotonicTime, full: u32) -> u32 {
        self.ramp.limit(now, full)
    }

    /// Notes a cold restart.
    pub fn restart(&mut self, now: clock::MonotonicTime) {
        self.ramp.restart(now);
    }

    /// Notes the outcome of a request.
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
            // Requests sent before it opened say nothing new.
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

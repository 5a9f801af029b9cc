//! Exponentially decaying rate estimate.

use std::time;

use coltsfoot_types::time as clock;

/// Estimates the recent rate of requests and of their tokens.
#[derive(Clone, Debug)]
pub(crate) struct DemandMeter {
    token_rate: f64,
    request_rate: f64,
    updated: clock::MonotonicTime,
    decay_time: time::Duration,
}

impl DemandMeter {
    /// Creates a meter whose estimate decays with time constant `decay_time`.
    pub(crate) fn new(decay_time: time::Duration) -> Self {
        Self { token_rate: 0.0, request_rate: 0.0, updated: clock::MonotonicTime(0), decay_time }
    }

    /// Records one request for `tokens`.
    pub(crate) fn add(&mut self, now: clock::MonotonicTime, tokens: u64) {
        self.request_rate = self.request_rate(now) + 1.0 / self.decay_time.as_secs_f64();
        self.token_rate = self.token_rate(now) + tokens as f64 / self.decay_time.as_secs_f64();
        self.updated = now;
    }

    /// Returns the estimate in tokens per second.
    pub(crate) fn token_rate(&self, now: clock::MonotonicTime) -> f64 {
        self.token_rate * self.decay(now)
    }

    /// Returns the estimate in requests per second.
    pub(crate) fn request_rate(&self, now: clock::MonotonicTime) -> f64 {
        self.request_rate * self.decay(now)
    }

    fn decay(&self, now: clock::MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        (-elapsed / self.decay_time.as_secs_f64()).exp()
    }
}

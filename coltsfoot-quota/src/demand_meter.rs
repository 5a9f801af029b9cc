//! An exponentially decaying estimate of demand.

use std::time;

use coltsfoot_types::time as clock;

/// Tokens per second that were lately asked for.
#[derive(Clone, Debug)]
pub(crate) struct DemandMeter {
    rate: f64,
    requests: f64,
    updated: clock::MonotonicTime,
    /// Time constant of the decay.
    decay_time: time::Duration,
}

impl DemandMeter {
    /// Builds a meter that forgets with a time constant.
    pub(crate) fn new(decay_time: time::Duration) -> Self {
        Self { rate: 0.0, requests: 0.0, updated: clock::MonotonicTime(0), decay_time }
    }

    /// Adds tokens asked for.
    pub(crate) fn add(&mut self, now: clock::MonotonicTime, tokens: u64) {
        self.requests = self.requests(now) + 1.0 / self.decay_time.as_secs_f64();
        self.rate = self.rate(now) + tokens as f64 / self.decay_time.as_secs_f64();
        self.updated = now;
    }

    /// Returns the estimate in tokens per second.
    pub(crate) fn rate(&self, now: clock::MonotonicTime) -> f64 {
        self.rate * self.decay(now)
    }

    /// Returns the estimate in requests per second.
    pub(crate) fn requests(&self, now: clock::MonotonicTime) -> f64 {
        self.requests * self.decay(now)
    }

    fn decay(&self, now: clock::MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        (-elapsed / self.decay_time.as_secs_f64()).exp()
    }
}

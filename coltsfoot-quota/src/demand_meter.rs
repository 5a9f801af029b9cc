//! An exponentially decaying estimate of demand.

use std::time;

use coltsfoot_types::time as clock;

/// Time constant of the decay.
const DECAY_TIME: time::Duration = time::Duration::from_secs(1);

/// Tokens per second that were lately asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    rate: f64,
    requests: f64,
    updated: clock::MonotonicTime,
}

impl DemandMeter {
    /// Adds tokens asked for.
    pub(crate) fn add(&mut self, now: clock::MonotonicTime, tokens: u64) {
        self.requests = self.requests(now) + 1.0 / DECAY_TIME.as_secs_f64();
        self.rate = self.rate(now) + tokens as f64 / DECAY_TIME.as_secs_f64();
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
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}

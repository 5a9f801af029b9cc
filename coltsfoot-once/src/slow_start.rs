//! Slow start: concurrency of an upstream ramps up linearly after a cold restart.

use std::time;

use coltsfoot_types::time as clock;

/// Linear ramp of an upstream's share after a cold restart.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    started_at: Option<clock::MonotonicTime>,
    ramp: time::Duration,
    floor_permille: u32,
}

impl SlowStart {
    /// Creates a ramp of a warm upstream, at its full share.
    pub fn new(ramp: time::Duration, floor_permille: u32) -> Self {
        Self { started_at: None, ramp, floor_permille }
    }

    /// Starts the ramp anew after a cold restart.
    pub fn restart(&mut self, now: clock::MonotonicTime) {
        self.started_at = Some(now);
    }

    /// Returns the current share of full concurrency, in thousandths.
    pub fn share_permille(&self, now: clock::MonotonicTime) -> u32 {
        let Some(started_at) = self.started_at else { return 1000 };
        let ramp_us = self.ramp.as_micros().max(1);
        let progress = now.since(started_at).as_micros() * 1000 / ramp_us;
        (progress.min(1000) as u32).max(self.floor_permille)
    }

    /// Returns the current concurrency limit, at least one, given the `full` concurrency.
    pub fn limit(&self, now: clock::MonotonicTime, full: u32) -> u32 {
        let limit = u64::from(full) * u64::from(self.share_permille(now)) / 1000;
        (limit as u32).max(1)
    }
}

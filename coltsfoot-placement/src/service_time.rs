//! Service times of an engine, to tell one that is slow but alive.

use std::time;

/// Weight of a new sample in the average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Samples before the average counts.
const MIN_SAMPLES: u32 = 5;
/// Ratio to the cell's median from which an engine counts as slow.
const SLOW_RATIO: f64 = 3.0;
/// Ratio to the cell's median below which a slow engine recovers.
const RECOVERED_RATIO: f64 = 1.5;
/// Part of its batch that a slow engine is given.
const SLOW_BATCH_DIVISOR: u32 = 8;

/// Average service time of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    seconds_per_token: f64,
    samples: u32,
    /// Lower bound from the oldest answer that is still due.
    lower_bound: f64,
    slow: bool,
}

impl ServiceTime {
    /// Adds an answer.
    pub(crate) fn add(&mut self, output_tokens: u32, duration: time::Duration) {
        let sample = duration.as_secs_f64() / f64::from(output_tokens.max(1));
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds_per_token += (sample - self.seconds_per_token) * weight;
    }

    /// Sets the time per token that the oldest answer, still due, has taken at least.
    pub(crate) fn set_lower_bound(&mut self, seconds_per_token: f64) {
        self.lower_bound = seconds_per_token;
    }

    /// Returns the average seconds per token, once enough samples are in.
    pub(crate) fn average(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.seconds_per_token)
    }

    /// Compares the engine with the median of its cell.
    pub(crate) fn update_slow(&mut self, median: f64) {
        let estimate = self.average().unwrap_or(0.0).max(self.lower_bound);
        let ratio = estimate / median.max(f64::MIN_POSITIVE);
        self.slow = ratio >= SLOW_RATIO || (self.slow && ratio >= RECOVERED_RATIO);
    }

    /// Returns whether the engine is slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.slow
    }

    /// Returns the part of a batch that the engine is given.
    pub(crate) fn usable_batch(&self, batch_size: u32) -> u32 {
        if self.slow {
            return (batch_size / SLOW_BATCH_DIVISOR).max(1);
        }
        batch_size
    }
}

//! Service time of an engine, to detect engines that respond but are slow.

use std::time;

/// Weight of a new sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Samples required before the average is used.
const MIN_SAMPLES: u32 = 5;
/// Ratio to the cell's median at which an engine counts as slow.
const SLOW_RATIO: f64 = 3.0;
/// Ratio to the cell's median below which a slow engine counts as recovered.
const RECOVERED_RATIO: f64 = 1.5;
/// Divisor applied to the batch size of a slow engine.
const SLOW_BATCH_DIVISOR: u32 = 8;

/// Moving average of an engine's service time per output token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    seconds_per_token: f64,
    samples: u32,
    /// Largest elapsed time per estimated token, in seconds, among the outstanding permits.
    lower_bound: f64,
    slow: bool,
}

impl ServiceTime {
    /// Adds the sample of a completed answer.
    pub(crate) fn add(&mut self, output_tokens: u32, duration: time::Duration) {
        let sample = duration.as_secs_f64() / f64::from(output_tokens.max(1));
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds_per_token += (sample - self.seconds_per_token) * weight;
    }

    /// Sets the lower bound given by attempts that have not completed yet.
    pub(crate) fn set_lower_bound(&mut self, seconds_per_token: f64) {
        self.lower_bound = seconds_per_token;
    }

    /// Returns the average in seconds per token, `None` before [`MIN_SAMPLES`] samples.
    pub(crate) fn average(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.seconds_per_token)
    }

    /// Updates whether the engine is slow compared with the median of its cell, with hysteresis.
    pub(crate) fn update_slow(&mut self, median: f64) {
        let estimate = self.average().unwrap_or(0.0).max(self.lower_bound);
        let ratio = estimate / median.max(f64::MIN_POSITIVE);
        self.slow = ratio >= SLOW_RATIO || (self.slow && ratio >= RECOVERED_RATIO);
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.slow
    }

    /// Returns the batch size to use, reduced while the engine is slow.
    pub(crate) fn usable_batch(&self, batch_size: u32) -> u32 {
        if self.slow {
            return (batch_size / SLOW_BATCH_DIVISOR).max(1);
        }
        batch_size
    }
}

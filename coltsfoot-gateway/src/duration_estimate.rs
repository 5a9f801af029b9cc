//! Expected duration of a request, from those of recent ones: a moving mean and a moving mean deviation, like
//! the retransmission timer of TCP (RFC 6298).

use std::time;

/// Weight of the newest sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations that a request is expected to take beyond the mean.
const DEVIATIONS: f64 = 2.0;

/// Duration per unit of work, such as a token of output.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationEstimate {
    /// Mean and mean deviation, in seconds; `None` before the first sample.
    per_unit: Option<(f64, f64)>,
}

impl DurationEstimate {
    /// Records a request that took `duration` for `work` units.
    pub fn record(&mut self, duration: time::Duration, work: u32) {
        let sample = duration.as_secs_f64() / f64::from(work.max(1));
        self.per_unit = Some(match self.per_unit {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => {
                let error = (sample - mean).abs();
                let deviation = deviation + (error - deviation) * DEVIATION_WEIGHT;
                (mean + (sample - mean) * MEAN_WEIGHT, deviation)
            }
        });
    }

    /// Returns within which time a request of `work` units probably ends; `None` if nothing is known.
    pub fn expected(&self, work: u32) -> Option<time::Duration> {
        let (mean, deviation) = self.per_unit?;
        let seconds = (mean + deviation * DEVIATIONS) * f64::from(work.max(1));
        Some(time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX))
    }
}

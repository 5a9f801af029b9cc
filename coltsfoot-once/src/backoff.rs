//! Exponential backoff with jitter.

use std::time;

use rand::RngExt as _;

/// Bounds of an exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct BackoffSettings {
    /// Upper bound of the first delay; doubles with each retry.
    pub initial: time::Duration,
    /// Upper bound of all delays.
    pub maximum: time::Duration,
}

impl BackoffSettings {
    /// Returns a random delay before retry `number`, counted from 0, between half of its bound and
    /// the bound.
    pub fn wait(&self, number: u32, rng: &mut impl rand::Rng) -> time::Duration {
        let factor = 1_u32.checked_shl(number.min(16)).unwrap_or(u32::MAX);
        let bound = self.initial.saturating_mul(factor).min(self.maximum);
        bound.mul_f64(rng.random_range(0.5..=1.0))
    }
}

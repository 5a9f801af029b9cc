//! Instants as plain numbers, so that decisions take `now` as an argument.

use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one process. Never compared between processes.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time elapsed since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant in seconds since the origin of the clock.
    pub fn as_secs_f64(self) -> f64 {
        time::Duration::from_micros(self.0).as_secs_f64()
    }
}

impl ops::Add<time::Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl ops::Sub<time::Duration> for MonotonicTime {
    type Output = Self;

    fn sub(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Milliseconds since the Unix epoch. Used only for ids and for records that people read.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

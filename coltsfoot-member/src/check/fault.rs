//! Faults of a schedule.

use std::time as std_time;

use rand::RngExt as _;

/// A fault that a schedule injects.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleFault {
    /// Instances end without a word; each is replaced after a while.
    Crash {
        /// How many at once.
        count: usize,
    },
    /// An instance is frozen and thawed.
    Freeze {
        /// For how long.
        duration: std_time::Duration,
    },
    /// The zone falls into two parts.
    Partition {
        /// For how long.
        duration: std_time::Duration,
    },
    /// The log can't be reached by anybody.
    LogOutage {
        /// For how long.
        duration: std_time::Duration,
    },
    /// One instance reaches neither log nor list.
    PlatformCut {
        /// For how long.
        duration: std_time::Duration,
    },
    /// Messages are lost, doubled and delayed.
    NetworkNoise {
        /// For how long.
        duration: std_time::Duration,
    },
    /// A new instance starts.
    Join,
    /// An instance is drained.
    Drain,
}

impl ScheduleFault {
    /// Draws a fault.
    pub fn draw(random: &mut impl rand::Rng) -> Self {
        let duration = std_time::Duration::from_millis(random.random_range(200..6_000));
        match random.random_range(0..12) {
            0 | 1 => Self::Crash { count: 1 },
            2 => Self::Crash { count: 2 },
            3..=5 => Self::Freeze { duration: duration * random.random_range(1..4) },
            6 | 7 => Self::Partition { duration },
            8 => Self::LogOutage { duration: duration * 2 },
            9 => Self::PlatformCut { duration: duration * 2 },
            10 => Self::NetworkNoise { duration },
            _ if random.random_bool(0.5) => Self::Join,
            _ => Self::Drain,
        }
    }
}

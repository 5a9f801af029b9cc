//! Faults injected into a simulation.

use std::time as std_time;

use rand::RngExt as _;

/// A fault to inject.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleFault {
    /// Instances crash; each is replaced after a delay.
    Crash {
        /// Number of simultaneous crashes.
        count: usize,
    },
    /// An instance is suspended and resumed.
    Freeze {
        /// Duration of the fault.
        duration: std_time::Duration,
    },
    /// The network of the zone splits into two partitions.
    Partition {
        /// Duration of the fault.
        duration: std_time::Duration,
    },
    /// The log is unreachable from all instances.
    LogOutage {
        /// Duration of the fault.
        duration: std_time::Duration,
    },
    /// One instance can reach neither the log nor the list.
    PlatformCut {
        /// Duration of the fault.
        duration: std_time::Duration,
    },
    /// Messages are lost, duplicated and delayed.
    NetworkNoise {
        /// Duration of the fault.
        duration: std_time::Duration,
    },
    /// An additional instance starts.
    Join,
    /// An instance starts a planned stop.
    Drain,
}

impl ScheduleFault {
    /// Draws a random fault.
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

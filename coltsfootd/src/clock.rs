//! The daemon's clock, which tests can pause; `async-io` has no such clock.

use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_types::time as instant;

/// A monotonic clock: the system's, or a paused one that only advances on request.
#[derive(Clone, Debug)]
pub struct RuntimeClock {
    source: ClockSource,
}

#[derive(Clone, Debug)]
enum ClockSource {
    System(time::Instant),
    Boot,
    Paused(sync::Arc<atomic::AtomicU64>),
}

impl RuntimeClock {
    /// Creates a clock that follows the system's monotonic clock, from zero.
    pub fn system() -> Self {
        Self { source: ClockSource::System(time::Instant::now()) }
    }

    /// Creates a clock of the time since boot, including time in which the machine was suspended.
    pub fn since_boot() -> Self {
        Self { source: ClockSource::Boot }
    }

    /// Creates a clock that stands at zero until it is advanced.
    pub fn paused() -> Self {
        Self { source: ClockSource::Paused(sync::Arc::default()) }
    }

    /// Returns the current time of this clock, in microseconds.
    pub fn now(&self) -> instant::MonotonicTime {
        match &self.source {
            ClockSource::System(origin) => {
                instant::MonotonicTime(origin.elapsed().as_micros() as u64)
            }
            ClockSource::Boot => {
                let elapsed = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                let micros = elapsed.tv_sec as u64 * 1_000_000 + elapsed.tv_nsec as u64 / 1000;
                instant::MonotonicTime(micros)
            }
            ClockSource::Paused(micros) => {
                instant::MonotonicTime(micros.load(atomic::Ordering::SeqCst))
            }
        }
    }

    /// Advances a paused clock; has no effect on the others.
    pub fn advance(&self, duration: time::Duration) {
        if let ClockSource::Paused(micros) = &self.source {
            micros.fetch_add(duration.as_micros() as u64, atomic::Ordering::SeqCst);
        }
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_time() -> instant::WallTime {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    instant::WallTime(elapsed.as_millis() as u64)
}

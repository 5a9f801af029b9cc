//! Time for which an idle connection of a caller is kept.

use std::time;

use coltsfoot_types::time as instant;

/// Idle time after which a stop closes a connection: a caller that sends one request after the other
/// is told instead.
const MIN_IDLE_TIME: time::Duration = time::Duration::from_millis(300);

/// A connection that waits for a request.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    since: instant::MonotonicTime,
    /// Longest idle time when the connection became idle. Its caller may rely on it.
    promised: time::Duration,
}

impl IdleConnection {
    /// Begins the idle time under the present limit.
    pub fn begin(now: instant::MonotonicTime, idle_timeout: time::Duration) -> Self {
        Self { since: now, promised: idle_timeout }
    }

    /// Returns the time until the connection is closed; a limit that was lowered meanwhile does not
    /// shorten it.
    pub fn time_left(
        &self,
        now: instant::MonotonicTime,
        idle_timeout: time::Duration,
    ) -> time::Duration {
        self.promised.max(idle_timeout).saturating_sub(now.since(self.since))
    }

    /// Returns the time until the connection is closed in a stop.
    pub fn time_left_in_stop(&self, now: instant::MonotonicTime) -> time::Duration {
        MIN_IDLE_TIME.saturating_sub(now.since(self.since))
    }
}

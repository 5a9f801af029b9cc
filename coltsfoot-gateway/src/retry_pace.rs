//! Interval between calls of the store while they fail.

use std::time;

use coltsfoot_types::time as clock;

/// Initial interval between a call that fails and its retry, and its maximum. It doubles with each failure,
/// since refused calls are charged too and peers forward what they read.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(400);
const MAX_INTERVAL: time::Duration = time::Duration::from_millis(1600);
/// Minimum pause between reads of a topic, for long polls that return at once and for slow responses.
pub const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(30);

/// Interval between the beginnings of two calls, which grows while they fail.
#[derive(Clone, Copy, Debug)]
pub struct RetryPace {
    interval: time::Duration,
}

impl Default for RetryPace {
    fn default() -> Self {
        Self { interval: MIN_INTERVAL }
    }
}

impl RetryPace {
    /// Returns the pause before the retry of a call that was sent at `sent` and has failed now. A call that hung
    /// has waited already: its connection may be dead and the store sound.
    pub fn record_failure(
        &mut self,
        now: clock::MonotonicTime,
        sent: clock::MonotonicTime,
    ) -> time::Duration {
        let pause = self.interval.saturating_sub(now.since(sent)).max(MIN_READ_INTERVAL);
        self.interval = (self.interval * 2).min(MAX_INTERVAL);
        pause
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}

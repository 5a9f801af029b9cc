//! Rate limit for appends: at most a fixed number in any second, unpaced at low rates.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

/// Length of the sliding window.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Sliding-window rate limiter that spaces appends at high rates.
#[derive(Clone, Debug)]
pub struct AppendPacer {
    limit: usize,
    sent: collections::VecDeque<clock::MonotonicTime>,
}

impl AppendPacer {
    /// Creates a pacer that permits `limit` appends, at least one, in any second.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), sent: collections::VecDeque::new() }
    }

    /// Returns the earliest time of the next append. The first half of a window's appends are not
    /// delayed, the others are spaced evenly.
    pub fn next_at(&self, now: clock::MonotonicTime) -> clock::MonotonicTime {
        let window_start = now - WINDOW;
        let recent = self.sent.iter().filter(|sent| **sent > window_start).count();
        let Some(last) = self.sent.back().filter(|_| recent * 2 >= self.limit) else { return now };
        let spaced_at = *last + WINDOW / self.limit as u32;
        let is_full = self.sent.len() >= self.limit;
        let free_at = self.sent.front().filter(|_| is_full).map_or(now, |first| *first + WINDOW);
        spaced_at.max(free_at).max(now)
    }

    /// Records an append sent at `now`.
    pub fn record(&mut self, now: clock::MonotonicTime) {
        self.sent.push_back(now);
        while self.sent.len() > self.limit {
            self.sent.pop_front();
        }
    }
}

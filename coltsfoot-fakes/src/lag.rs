//! Values that are seen late.

use std::collections;
use std::time;

/// Parts of the lag within which changes are joined.
const STEPS_PER_LAG: u32 = 10;

/// Remembers the past of a value for as long as it lags.
pub(crate) struct LaggedValue<T> {
    past: collections::VecDeque<(time::Instant, T)>,
}

impl<T: Clone> LaggedValue<T> {
    pub(crate) fn new(value: T) -> Self {
        Self { past: collections::VecDeque::from([(time::Instant::now(), value)]) }
    }

    pub(crate) fn record(&mut self, now: time::Instant, lag: time::Duration, value: T) {
        let is_seen = self.past.len() == 1;
        match self.past.back_mut() {
            Some((since, last)) if !is_seen && now.duration_since(*since) < lag / STEPS_PER_LAG => {
                *last = value;
            }
            _ => self.past.push_back((now, value)),
        }
        self.forget(now, lag);
    }

    pub(crate) fn get(&mut self, now: time::Instant, lag: time::Duration) -> T {
        self.forget(now, lag);
        self.past[0].1.clone()
    }

    fn forget(&mut self, now: time::Instant, lag: time::Duration) {
        while self.past.get(1).is_some_and(|(since, _)| now.duration_since(*since) >= lag) {
            self.past.pop_front();
        }
    }
}

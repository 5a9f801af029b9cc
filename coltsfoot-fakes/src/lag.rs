//! Values whose changes become visible after a lag.

use std::collections;
use std::time;

/// Changes within `lag / STEPS_PER_LAG` of each other are merged, which bounds the history.
const STEPS_PER_LAG: u32 = 10;

/// History of a value, as far back as its lag.
pub(crate) struct LaggedValue<T> {
    history: collections::VecDeque<(time::Instant, T)>,
}

impl<T: Clone> LaggedValue<T> {
    pub(crate) fn new(value: T) -> Self {
        Self { history: collections::VecDeque::from([(time::Instant::now(), value)]) }
    }

    pub(crate) fn record(&mut self, now: time::Instant, lag: time::Duration, value: T) {
        let is_visible = self.history.len() == 1;
        match self.history.back_mut() {
            Some((since, last))
                if !is_visible && now.duration_since(*since) < lag / STEPS_PER_LAG =>
            {
                *last = value;
            }
            _ => self.history.push_back((now, value)),
        }
        self.drop_expired(now, lag);
    }

    pub(crate) fn get(&mut self, now: time::Instant, lag: time::Duration) -> T {
        self.drop_expired(now, lag);
        self.history[0].1.clone()
    }

    fn drop_expired(&mut self, now: time::Instant, lag: time::Duration) {
        while self.history.get(1).is_some_and(|(since, _)| now.duration_since(*since) >= lag) {
            self.history.pop_front();
        }
    }
}

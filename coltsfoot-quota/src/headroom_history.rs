//! Smallest headroom of a bucket over the last minute, in slots of a second.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

/// Length of a slot.
const SLOT: time::Duration = time::Duration::from_secs(1);
/// Number of slots kept.
const MAX_SLOTS: usize = 64;

#[derive(Clone, Debug)]
struct HeadroomSlot {
    start: clock::MonotonicTime,
    headroom: u64,
}

/// Smallest values recorded since an instant of the last minute.
#[derive(Clone, Debug)]
pub struct HeadroomHistory {
    start: clock::MonotonicTime,
    slots: collections::VecDeque<HeadroomSlot>,
}

impl HeadroomHistory {
    /// Builds a history that knows nothing from before `start`.
    pub fn new(start: clock::MonotonicTime) -> Self {
        Self { start, slots: collections::VecDeque::new() }
    }

    /// Records a value. Instants must not fall.
    pub fn record(&mut self, now: clock::MonotonicTime, headroom: u64) {
        if let Some(last) = self.slots.back_mut()
            && now.since(last.start) < SLOT
        {
            last.headroom = last.headroom.min(headroom);
            return;
        }
        self.slots.push_back(HeadroomSlot { start: now, headroom });
        if self.slots.len() > MAX_SLOTS {
            self.slots.pop_front();
            self.start = self.slots.front().map_or(now, |slot| slot.start);
        }
    }

    /// Returns the smallest value since `instant`, zero if that lies before the history.
    pub fn smallest_since(&self, instant: clock::MonotonicTime) -> u64 {
        if instant < self.start {
            return 0;
        }
        let last = self.slots.iter().rposition(|slot| slot.start <= instant).unwrap_or(0);
        self.slots.range(last..).map(|slot| slot.headroom).min().unwrap_or(0)
    }

    /// Lowers the values since `instant`, because a correction of the past used headroom.
    pub fn lower_since(&mut self, instant: clock::MonotonicTime, amount: u64) {
        let last = self.slots.iter().rposition(|slot| slot.start <= instant).unwrap_or(0);
        for slot in self.slots.range_mut(last..) {
            slot.headroom = slot.headroom.saturating_sub(amount);
        }
    }
}

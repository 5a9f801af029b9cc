//! Popularity of adapter versions: exponentially decaying request counts.

use std::collections;
use std::time;

use coltsfoot_types::{adapter, time as clock};
use rustc_hash::FxHashMap;

/// Decayed count below which an adapter is no longer tracked.
const MIN_COUNT: f64 = 0.05;
/// Adapters checked per call of [`PopularityTable::sweep`].
const SWEEP_BATCH: usize = 64;

/// A count that halves every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedCount {
    value: f64,
    at: clock::MonotonicTime,
}

impl DecayedCount {
    pub(crate) fn value(self, now: clock::MonotonicTime, half_life: time::Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / half_life.as_secs_f64()).exp2()
    }
}

/// Decayed request counts of recently requested adapters.
#[derive(Debug)]
pub(crate) struct PopularityTable {
    half_life: time::Duration,
    counts: FxHashMap<adapter::AdapterVersion, DecayedCount>,
    /// All tracked adapters, in the order in which they are checked next.
    sweep: collections::VecDeque<adapter::AdapterVersion>,
}

impl PopularityTable {
    pub(crate) fn new(half_life: time::Duration) -> Self {
        Self { half_life, counts: FxHashMap::default(), sweep: collections::VecDeque::new() }
    }

    pub(crate) fn count(&mut self, now: clock::MonotonicTime, adapter: &adapter::AdapterVersion) {
        if let Some(count) = self.counts.get_mut(adapter) {
            *count = DecayedCount { value: count.value(now, self.half_life) + 1.0, at: now };
            return;
        }
        self.counts.insert(adapter.clone(), DecayedCount { value: 1.0, at: now });
        self.sweep.push_back(adapter.clone());
    }

    /// Returns the stored count, to be decayed by [`DecayedCount::value`].
    pub(crate) fn count_of(&self, adapter: &adapter::AdapterVersion) -> DecayedCount {
        self.counts.get(adapter).copied().unwrap_or_default()
    }

    /// Returns the decayed number of requests, zero for an untracked adapter.
    pub(crate) fn get(&self, now: clock::MonotonicTime, adapter: &adapter::AdapterVersion) -> f64 {
        self.counts.get(adapter).map_or(0.0, |count| count.value(now, self.half_life))
    }

    /// Returns the number of tracked adapters.
    pub(crate) fn len(&self) -> usize {
        self.counts.len()
    }

    /// Drops idle adapters, checking a bounded number per call.
    pub(crate) fn sweep(&mut self, now: clock::MonotonicTime) {
        for _ in 0..SWEEP_BATCH.min(self.sweep.len()) {
            let Some(adapter) = self.sweep.pop_front() else {
                break;
            };
            if self.get(now, &adapter) < MIN_COUNT {
                self.counts.remove(&adapter);
            } else {
                self.sweep.push_back(adapter);
            }
        }
        if self.counts.len() * 4 < self.counts.capacity() {
            self.counts.shrink_to(self.counts.len() * 2);
            self.sweep.shrink_to(self.sweep.len() * 2);
        }
    }
}

//! Minimum headroom of a bucket since any instant of the last minute.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

/// Time for which records are kept.
const RETENTION: time::Duration = time::Duration::from_secs(64);
/// Maximum number of records; beyond it the two oldest are merged.
const MAX_RECORDS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct HeadroomRecord {
    at: clock::MonotonicTime,
    headroom: u64,
}

/// Suffix minima of the recorded values: instants and values increase from front to back.
#[derive(Clone, Debug)]
pub struct HeadroomHistory {
    start: clock::MonotonicTime,
    records: collections::VecDeque<HeadroomRecord>,
}

impl HeadroomHistory {
    /// Creates an empty history that begins at `start`.
    pub fn new(start: clock::MonotonicTime) -> Self {
        Self { start, records: collections::VecDeque::new() }
    }

    /// Records a value. Instants must not decrease between calls.
    pub fn record(&mut self, now: clock::MonotonicTime, headroom: u64) {
        while self.records.back().is_some_and(|last| last.headroom >= headroom) {
            self.records.pop_back();
        }
        self.records.push_back(HeadroomRecord { at: now, headroom });
        if self.records.len() > MAX_RECORDS {
            self.merge_oldest();
        }
        self.start = self.start.max(now - RETENTION);
        while self.records.front().is_some_and(|first| first.at < self.start) {
            self.records.pop_front();
        }
    }

    /// Returns the minimum value recorded at or after `instant`; zero if `instant` lies before the
    /// history.
    pub fn min_since(&self, instant: clock::MonotonicTime) -> u64 {
        if instant < self.start {
            return 0;
        }
        let first = self.first_since(instant);
        self.records.get(first).or(self.records.back()).map_or(0, |record| record.headroom)
    }

    /// Reduces the values since `instant` after a retroactive credit used headroom.
    pub fn reduce_since(&mut self, instant: clock::MonotonicTime, amount: u64) {
        let first = self.first_since(instant);
        let mut lowered = self.records.split_off(first);
        for record in &mut lowered {
            record.headroom = record.headroom.saturating_sub(amount);
        }
        for record in lowered {
            self.record(record.at, record.headroom);
        }
    }

    fn first_since(&self, instant: clock::MonotonicTime) -> usize {
        self.records.partition_point(|record| record.at < instant)
    }

    /// Merges the two oldest records into their minimum.
    fn merge_oldest(&mut self) {
        let oldest = self.records.pop_front();
        if let (Some(oldest), Some(second)) = (oldest, self.records.front_mut()) {
            second.headroom = second.headroom.min(oldest.headroom);
        }
    }
}

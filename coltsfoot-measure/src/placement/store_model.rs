//! The weight store: a rate of starts, and loads that slow one another beyond a number in flight.

use std::collections;

use super::workload;

/// Loads that may start at once after a pause.
const START_BURST: f64 = 3.0;
/// Factor by which a slow store is slower.
const SLOW_FACTOR: f64 = 3.0;

/// The store and the loads in flight.
#[derive(Debug)]
pub struct StoreModel {
    loads_per_second: f64,
    load_us: f64,
    parallel: f64,
    slow: Option<(u64, u64)>,
    tokens: f64,
    waiting: collections::VecDeque<u64>,
    active: Vec<(u64, f64)>,
    updated_us: u64,
    /// Rises with each change.
    pub version: u64,
    /// Most loads that were in flight.
    pub peak: usize,
    /// Loads started.
    pub started: u64,
}

impl StoreModel {
    /// Builds an idle store.
    pub fn new(workload: &workload::PlacementWorkload, slow: Option<(u64, u64)>) -> Self {
        Self {
            loads_per_second: workload.loads_per_second,
            load_us: workload.load_ms as f64 * 1e3,
            parallel: f64::from(workload.loads_in_flight),
            slow,
            tokens: START_BURST,
            waiting: collections::VecDeque::new(),
            active: Vec::new(),
            updated_us: 0,
            version: 0,
            peak: 0,
            started: 0,
        }
    }

    /// Asks for a load.
    pub fn start(&mut self, now: u64, load: u64) {
        self.advance(now);
        self.waiting.push_back(load);
        self.admit();
    }

    /// Returns when something is due, in microseconds.
    pub fn next_event(&self) -> Option<u64> {
        let factor = self.factor(self.updated_us);
        let speed = self.speed() / factor;
        let end = self.active.iter().map(|load| load.1).min_by(f64::total_cmp);
        let end = end.map(|left| left / speed);
        let start = (!self.waiting.is_empty())
            .then(|| ((1.0 - self.tokens).max(0.0) / self.loads_per_second) * 1e6 * factor);
        let next = [end, start].into_iter().flatten().min_by(f64::total_cmp)?;
        Some(self.updated_us + next.ceil() as u64 + 1)
    }

    /// Advances to `now` and returns the loads that have ended.
    pub fn progress(&mut self, now: u64) -> Vec<u64> {
        self.advance(now);
        let ended = self.active.iter().filter(|load| load.1 <= 0.0);
        let ended = ended.map(|load| load.0).collect();
        self.active.retain(|load| load.1 > 0.0);
        self.admit();
        ended
    }

    fn advance(&mut self, now: u64) {
        let factor = self.factor(self.updated_us);
        let elapsed = (now - self.updated_us) as f64 / factor;
        let done = elapsed * self.speed();
        for load in &mut self.active {
            load.1 -= done;
        }
        self.tokens = (self.tokens + elapsed * 1e-6 * self.loads_per_second).min(START_BURST);
        self.updated_us = now;
    }

    fn admit(&mut self) {
        self.version += 1;
        while self.tokens >= 1.0 - 1e-9 {
            let Some(load) = self.waiting.pop_front() else {
                break;
            };
            self.tokens -= 1.0;
            self.started += 1;
            self.active.push((load, self.load_us));
        }
        self.peak = self.peak.max(self.active.len() + self.waiting.len());
    }

    /// Part of its full speed at which each load advances.
    fn speed(&self) -> f64 {
        let in_flight = (self.active.len() + self.waiting.len()) as f64;
        (self.parallel / in_flight.max(1.0)).min(1.0)
    }

    fn factor(&self, now: u64) -> f64 {
        let is_slow = self.slow.is_some_and(|(from, to)| (from..to).contains(&now));
        if is_slow { SLOW_FACTOR } else { 1.0 }
    }
}

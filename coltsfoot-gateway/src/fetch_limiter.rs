//! How many adapters the weight store delivers at once at full speed, and how long each takes then.
//!
//! No record of the platform tells either, and all engines share the weight store. Every owner
//! compares the time of its own fetches with what it expected: the bound on fetches under way rises
//! while they come in time and falls when they come late (additive increase, multiplicative decrease).
//! Instances tell each other their bounds, so that these converge and a newcomer begins with theirs.

use std::time;

use coltsfoot_types::time as clock;

use crate::engine_order;

/// Fetches under way at once before anything was observed.
const START_LIMIT: f64 = 8.0;
/// Fewest and most fetches under way at once.
const LIMITS: (f64, f64) = (4.0, 1024.0);
/// Share of the bound from which on a fetch tells whether the bound could be higher.
const PRESSED_SHARE: f64 = 0.7;
/// Share of the bound up to which a late fetch is not due to the number of fetches.
const CALM_SHARE: f64 = 0.25;
/// Growth with each timely fetch before the first late one.
const START_STEP: f64 = 1.0;
/// Growth with each timely fetch.
const STEP: f64 = 0.25;
/// Least and greatest part of the bound that is left after late fetches.
const BACK_OFF: (f64, f64) = (0.5, 0.85);
/// Weight of the bound of another instance, a beat.
const PEER_WEIGHT: f64 = 0.05;
/// Time of a fetch at full speed before anything was observed: the figure of the platform's sheets.
const START_FETCH_TIME: time::Duration = time::Duration::from_millis(250);
/// Longest time of a fetch at full speed that is believed, in milliseconds.
const MAX_FETCH_MS: f64 = 2_000.0;
/// Change of the expected time with each late and each timely fetch at full speed, so that one in
/// about fifty is late. It never falls below the time of the sheets: with less, all fetches would
/// come late and the bound would fall without cause.
const LATE_FACTOR: f64 = 1.05;
const TIMELY_FACTOR: f64 = 0.999;

/// What was seen of a fetch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FetchSample {
    /// When it began.
    pub started: clock::MonotonicTime,
    /// Fetches of all engines that were under way, with this one.
    pub concurrency: u32,
    /// Time that it was expected to take.
    pub expected: time::Duration,
    /// Time after which the adapter was there; the expected time if it was there by then.
    pub actual: time::Duration,
}

impl FetchSample {
    /// Returns whether the adapter was not there at the expected time.
    pub fn is_late(&self) -> bool {
        self.actual > self.expected
    }
}

/// What an instance has learned of the weight store.
#[derive(Clone, Debug)]
pub struct FetchLimiter {
    limit: f64,
    is_starting: bool,
    fetch_ms: f64,
    backed_off: clock::MonotonicTime,
}

impl Default for FetchLimiter {
    fn default() -> Self {
        Self {
            limit: START_LIMIT,
            is_starting: true,
            fetch_ms: START_FETCH_TIME.as_secs_f64() * 1000.0,
            backed_off: clock::MonotonicTime::default(),
        }
    }
}

impl FetchLimiter {
    /// Returns the fetches of all engines that run at once at full speed.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the same in tenths, for messages: instances that average whole numbers would sink.
    pub fn limit_tenths(&self) -> u16 {
        (self.limit * 10.0) as u16
    }

    /// Returns the time of a fetch at full speed.
    pub fn fetch_time(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.fetch_ms / 1000.0)
    }

    /// Returns the load of the weight store by so many fetches elsewhere.
    pub fn load(&self, in_flight: u32) -> engine_order::FetchLoad {
        let (concurrency_limit, fetch_time) = (self.limit(), self.fetch_time());
        engine_order::FetchLoad { in_flight, concurrency_limit, fetch_time }
    }

    /// Takes the outcome of a fetch of an engine that this instance owns.
    pub fn record_sample(&mut self, now: clock::MonotonicTime, sample: FetchSample) {
        let concurrency = f64::from(sample.concurrency);
        let is_calm = concurrency < self.limit * CALM_SHARE;
        if is_calm {
            let factor = if sample.is_late() { LATE_FACTOR } else { TIMELY_FACTOR };
            self.fetch_ms = believed(self.fetch_ms * factor);
        } else if sample.is_late() {
            self.back_off(now, sample);
        } else if concurrency >= self.limit * PRESSED_SHARE {
            self.limit += if self.is_starting { START_STEP } else { STEP };
        }
        self.limit = self.limit.clamp(LIMITS.0, LIMITS.1);
    }

    /// Lowers the bound, once for all fetches that began before it was lowered.
    fn back_off(&mut self, now: clock::MonotonicTime, sample: FetchSample) {
        if sample.started < self.backed_off {
            return;
        }
        self.backed_off = now;
        self.is_starting = false;
        let part = sample.expected.as_secs_f64() / sample.actual.as_secs_f64();
        let (least, greatest) = BACK_OFF;
        self.limit *= part.clamp(least, greatest);
    }

    /// Takes what another instance has learned. A newcomer takes over the highest bound.
    pub fn merge_peer(&mut self, limit_tenths: u16, fetch_time: time::Duration) {
        let (limit, fetch_ms) = (f64::from(limit_tenths) / 10.0, fetch_time.as_secs_f64() * 1000.0);
        if limit < LIMITS.0 {
            return;
        }
        let limit = limit.min(LIMITS.1);
        self.limit = match self.is_starting {
            true => self.limit.max(limit),
            false => self.limit + (limit - self.limit) * PEER_WEIGHT,
        };
        self.fetch_ms += (believed(fetch_ms) - self.fetch_ms) * PEER_WEIGHT;
    }
}

fn believed(fetch_ms: f64) -> f64 {
    fetch_ms.clamp(START_FETCH_TIME.as_secs_f64() * 1000.0, MAX_FETCH_MS)
}

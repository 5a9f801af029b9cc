//! Adaptive limit on concurrent adapter fetches from the weight store, and the expected fetch time.
//!
//! The platform publishes neither, and all engines share the weight store. Every owner compares the
//! duration of its own fetches with the expected one: the limit on concurrent fetches rises while
//! fetches are in time and falls when they are late (additive increase, multiplicative decrease).
//! Instances exchange their limits, so that the limits converge and a new instance starts with them.

use std::time;

use coltsfoot_types::time as clock;

use crate::engine_order;

/// Limit before the first sample, below which concurrency does not explain a late fetch as long as none was in
/// time.
const START_LIMIT: f64 = 8.0;
/// Lowest and highest limit.
const LIMIT_RANGE: (f64, f64) = (4.0, 1024.0);
/// Share of the limit at which a timely fetch raises the limit.
const PROBE_SHARE: f64 = 0.7;
/// Share of the limit below which concurrency does not explain a late fetch.
const LOW_LOAD_SHARE: f64 = 0.25;
/// Increase per timely fetch before the first late one.
const SLOW_START_STEP: f64 = 1.0;
/// Increase per timely fetch afterwards.
const STEP: f64 = 0.25;
/// Lowest and highest factor by which late fetches reduce the limit.
const BACK_OFF_FACTORS: (f64, f64) = (0.5, 0.85);
/// Weight of another instance's limit, per heartbeat.
const PEER_WEIGHT: f64 = 0.05;
/// Fetch time at full speed before the first sample, as the platform's documentation states it.
const START_FETCH_TIME: time::Duration = time::Duration::from_millis(250);
/// Upper bound on the fetch time at full speed, in milliseconds.
const MAX_FETCH_MS: f64 = 2_000.0;
/// Factors by which each late and each timely fetch at low load changes the fetch time, so that about
/// one fetch in fifty is late. The fetch time never falls below the documented one: otherwise all
/// fetches would be late and the limit would fall without cause.
const LATE_FACTOR: f64 = 1.05;
/// Factor by which a late fetch raises the fetch time while no fetch was ever in time.
const UNPROVEN_LATE_FACTOR: f64 = 1.1;
const TIMELY_FACTOR: f64 = 0.999;

/// Measured duration of one fetch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FetchSample {
    /// Start of the fetch.
    pub started: clock::MonotonicTime,
    /// Concurrent fetches of all engines at the start, including this one.
    pub concurrency: u32,
    /// Expected duration.
    pub expected: time::Duration,
    /// Time after which the adapter was loaded; equals `expected` if it was loaded by then.
    pub actual: time::Duration,
}

impl FetchSample {
    /// Returns whether the adapter was not loaded at the expected time.
    pub fn is_late(&self) -> bool {
        self.actual > self.expected
    }
}

/// What supports the expected fetch time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FetchEvidence {
    /// Nothing, it is the start value.
    Nothing,
    /// Late fetches or other instances; no fetch of this instance was in time since it rose.
    Unproven,
    /// A fetch of this instance was in time, so that concurrency explains a late one.
    Proven,
}

/// An instance's estimate of the concurrency and the speed of the weight store.
#[derive(Clone, Debug)]
pub struct FetchLimiter {
    limit: f64,
    is_slow_start: bool,
    fetch_ms: f64,
    evidence: FetchEvidence,
    /// Whether any fetch was in time.
    has_proof: bool,
    raised: clock::MonotonicTime,
    backed_off: clock::MonotonicTime,
}

impl Default for FetchLimiter {
    fn default() -> Self {
        Self {
            limit: START_LIMIT,
            is_slow_start: true,
            fetch_ms: START_FETCH_TIME.as_secs_f64() * 1000.0,
            evidence: FetchEvidence::Nothing,
            has_proof: false,
            raised: clock::MonotonicTime::default(),
            backed_off: clock::MonotonicTime::default(),
        }
    }
}

impl FetchLimiter {
    /// Returns the number of concurrent fetches of all engines that run at full speed.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the limit in tenths, for messages: rounded down to integers, averaged limits would drift
    /// downwards.
    pub fn limit_tenths(&self) -> u16 {
        (self.limit * 10.0) as u16
    }

    /// Returns the expected fetch time at full speed, in milliseconds, for messages: the start value only if
    /// nothing supports it.
    pub fn message_fetch_ms(&self) -> u16 {
        let start_ms = START_FETCH_TIME.as_millis() as u16;
        match self.evidence {
            FetchEvidence::Nothing => start_ms,
            _ => (self.fetch_ms.ceil() as u16).max(start_ms + 1),
        }
    }

    /// Returns the expected fetch time at full speed.
    pub fn fetch_time(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.fetch_ms / 1000.0)
    }

    /// Returns the load of the weight store with `in_flight` other fetches.
    pub fn load(&self, in_flight: u32) -> engine_order::FetchLoad {
        let (concurrency_limit, fetch_time) = (self.limit(), self.fetch_time());
        engine_order::FetchLoad { in_flight, concurrency_limit, fetch_time }
    }

    /// Updates the estimate with a fetch of an engine that this instance owns.
    pub fn record_sample(&mut self, now: clock::MonotonicTime, sample: FetchSample) {
        let concurrency = f64::from(sample.concurrency);
        let is_low_load = concurrency < self.limit * LOW_LOAD_SHARE;
        if sample.is_late() {
            let is_proven = self.evidence == FetchEvidence::Proven;
            if !is_proven && (is_low_load || concurrency <= START_LIMIT) {
                self.raise_fetch_time(now, sample, UNPROVEN_LATE_FACTOR);
            } else if is_low_load {
                self.raise_fetch_time(now, sample, LATE_FACTOR);
            } else {
                self.back_off(now, sample);
            }
        } else {
            self.prove();
            if is_low_load {
                self.fetch_ms = clamp_fetch_ms(self.fetch_ms * TIMELY_FACTOR);
            } else if concurrency >= self.limit * PROBE_SHARE {
                self.limit += if self.is_slow_start { SLOW_START_STEP } else { STEP };
            }
        }
        self.limit = self.limit.clamp(LIMIT_RANGE.0, LIMIT_RANGE.1);
    }

    /// Records that a fetch was in time. Late fetches before the first may have lowered the limit without
    /// cause.
    fn prove(&mut self) {
        if !self.has_proof {
            self.has_proof = true;
            self.is_slow_start = true;
            self.limit = self.limit.max(START_LIMIT);
        }
        self.evidence = FetchEvidence::Proven;
    }

    /// Raises the fetch time, at most once for all fetches that started before it was raised.
    fn raise_fetch_time(&mut self, now: clock::MonotonicTime, sample: FetchSample, factor: f64) {
        if sample.started < self.raised {
            return;
        }
        self.raised = now;
        self.fetch_ms = clamp_fetch_ms(self.fetch_ms * factor);
        self.evidence = FetchEvidence::Unproven;
    }

    /// Lowers the limit, at most once for all fetches that started before it was lowered.
    fn back_off(&mut self, now: clock::MonotonicTime, sample: FetchSample) {
        if sample.started < self.backed_off {
            return;
        }
        self.backed_off = now;
        self.is_slow_start = false;
        let ratio = sample.expected.as_secs_f64() / sample.actual.as_secs_f64();
        let (lowest, highest) = BACK_OFF_FACTORS;
        self.limit *= ratio.clamp(lowest, highest);
    }

    /// Merges the estimate of another instance. In slow start, the highest limit is adopted.
    pub fn merge_peer(&mut self, limit_tenths: u16, fetch_time: time::Duration) {
        let (limit, fetch_ms) = (f64::from(limit_tenths) / 10.0, fetch_time.as_secs_f64() * 1000.0);
        if limit < LIMIT_RANGE.0 {
            return;
        }
        let limit = limit.min(LIMIT_RANGE.1);
        self.limit = match self.is_slow_start {
            true => self.limit.max(limit),
            false => self.limit + (limit - self.limit) * PEER_WEIGHT,
        };
        // An instance that knows nothing reports the start value.
        if fetch_time == START_FETCH_TIME {
            return;
        }
        match self.evidence {
            FetchEvidence::Nothing => {
                self.fetch_ms = clamp_fetch_ms(fetch_ms);
                self.evidence = FetchEvidence::Unproven;
            }
            _ => self.fetch_ms += (clamp_fetch_ms(fetch_ms) - self.fetch_ms) * PEER_WEIGHT,
        }
    }
}

fn clamp_fetch_ms(fetch_ms: f64) -> f64 {
    fetch_ms.clamp(START_FETCH_TIME.as_secs_f64() * 1000.0, MAX_FETCH_MS)
}

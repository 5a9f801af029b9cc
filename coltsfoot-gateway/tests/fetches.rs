//! Simulated weight stores with different, unpublished capacities for concurrent fetches.

use std::time;

use coltsfoot_gateway::fetch_limiter::{FetchLimiter, FetchSample};
use coltsfoot_types::time as clock;

const FETCH_MS: u64 = 250;
/// Time between two checks by the owners.
const STEP_MS: u64 = 10;
/// Steps between two exchanges of the estimates.
const EXCHANGE_STEPS: u64 = 15;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn sample(started: u64, concurrency: u32, expected: u64, actual: u64) -> FetchSample {
    FetchSample {
        started: at(started),
        concurrency,
        expected: time::Duration::from_millis(expected),
        actual: time::Duration::from_millis(actual),
    }
}

#[derive(Clone, Copy)]
struct SimulatedFetch {
    instance: usize,
    started: u64,
    concurrency: u32,
    expected: u64,
    actual: u64,
}

/// A weight store that serves `capacity` fetches at full speed, and instances that always start as many
/// as they may.
struct SaturatedStore {
    capacity: f64,
    fetch_ms: f64,
    limiters: Vec<FetchLimiter>,
    fetches: Vec<SimulatedFetch>,
    completed: usize,
    longest_ms: u64,
}

impl SaturatedStore {
    fn new(capacity: f64, instances: usize) -> Self {
        Self {
            capacity,
            fetch_ms: FETCH_MS as f64,
            limiters: vec![FetchLimiter::default(); instances],
            fetches: Vec::new(),
            completed: 0,
            longest_ms: 0,
        }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        (self.completed, self.longest_ms) = (0, 0);
        for step in from_ms / STEP_MS..to_ms / STEP_MS {
            let now = step * STEP_MS;
            self.end_fetches(now);
            for turn in 0..self.limiters.len() {
                // The first instance to check finds the most capacity left, so the order rotates.
                self.begin_fetches(now, (turn + step as usize) % self.limiters.len());
            }
            if step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
        }
    }

    fn begin_fetches(&mut self, now: u64, instance: usize) {
        loop {
            let own = self.fetches.iter().filter(|fetch| fetch.instance == instance).count() as u32;
            let load = self.limiters[instance].load(self.fetches.len() as u32);
            if !load.may_fetch(own) {
                return;
            }
            let concurrency = load.in_flight + 1;
            let slowdown = (f64::from(concurrency) / self.capacity).max(1.0);
            let actual = (self.fetch_ms * slowdown) as u64;
            self.longest_ms = self.longest_ms.max(actual);
            let expected = load.expected_time().as_millis() as u64;
            self.fetches.push(SimulatedFetch {
                instance,
                started: now,
                concurrency,
                expected,
                actual,
            });
        }
    }

    fn end_fetches(&mut self, now: u64) {
        let (ended, open): (Vec<_>, _) =
            self.fetches.iter().partition(|fetch| fetch.started + fetch.actual <= now);
        self.fetches = open;
        self.completed += ended.len();
        for fetch in ended {
            // Requests arrive with a small delay, so a fetch that is 8 ms late is not noticed.
            let is_late = fetch.actual > fetch.expected + 8;
            let actual = if is_late { fetch.actual } else { fetch.expected };
            let sample = sample(fetch.started, fetch.concurrency, fetch.expected, actual);
            self.limiters[fetch.instance].record_sample(at(now), sample);
        }
    }

    fn exchange(&mut self) {
        let estimates: Vec<_> = self
            .limiters
            .iter()
            .map(|limiter| (limiter.limit_tenths(), limiter.fetch_time()))
            .collect();
        for (own, limiter) in self.limiters.iter_mut().enumerate() {
            for (_, (limit, fetch_time)) in
                estimates.iter().enumerate().filter(|(of, _)| *of != own)
            {
                limiter.merge_peer(*limit, *fetch_time);
            }
        }
    }

    fn limits(&self) -> impl Iterator<Item = f64> {
        self.limiters.iter().map(|limiter| f64::from(limiter.limit()))
    }
}

/// Endless requests for rare adapters: within two seconds the instances use nearly the whole capacity,
/// and fetches are slowed down only slightly.
#[test]
fn the_limit_converges_quickly_for_any_store() {
    for (capacity, instances) in [(8.0, 6), (24.0, 8), (24.0, 60), (48.0, 5), (88.0, 62)] {
        let mut store = SaturatedStore::new(capacity, instances);
        store.run(0, 2_000);
        store.run(2_000, 10_000);
        let possible = capacity * 8_000.0 / FETCH_MS as f64;
        let used = store.completed as f64 / possible;
        assert!(used > 0.85, "{used} of capacity {capacity} with {instances} instances");
        let max_ms = 1.6 * FETCH_MS as f64;
        assert!(
            (store.longest_ms as f64) < max_ms,
            "{} ms at capacity {capacity}",
            store.longest_ms
        );
    }
}

#[test]
fn the_limit_follows_a_store_whose_capacity_changes() {
    let mut store = SaturatedStore::new(48.0, 8);
    store.run(0, 4_000);
    assert!(store.limits().all(|limit| limit > 0.75 * 48.0));
    store.capacity = 12.0;
    store.run(4_000, 9_000);
    assert!(store.limits().all(|limit| limit < 1.5 * 12.0));
    store.capacity = 30.0;
    store.run(9_000, 20_000);
    assert!(store.limits().all(|limit| limit > 0.75 * 30.0));
}

#[test]
fn a_new_instance_adopts_the_limit_of_the_others() {
    let mut store = SaturatedStore::new(48.0, 8);
    store.run(0, 4_000);
    let mut new_limiter = FetchLimiter::default();
    new_limiter.merge_peer(store.limiters[0].limit_tenths(), store.limiters[0].fetch_time());
    assert_eq!(new_limiter.limit(), store.limiters[0].limit());
}

#[test]
fn late_fetches_at_low_load_raise_the_expected_time() {
    let mut limiter = FetchLimiter::default();
    for _ in 0..20 {
        limiter.record_sample(at(0), sample(0, 1, 250, 310));
    }
    assert_eq!(limiter.limit(), FetchLimiter::default().limit(), "concurrency is not the cause");
    assert!(limiter.fetch_time() > time::Duration::from_millis(600));
    assert!(limiter.load(0).expected_time() == limiter.fetch_time());
}

/// During low load the expected time stays above the true one, so that timely fetches do not look
/// congested and the limit holds when the load returns.
#[test]
fn a_long_time_of_low_load_does_not_make_fetches_seem_late() {
    let mut store = SaturatedStore::new(24.0, 8);
    store.run(0, 4_000);
    for _ in 0..2_000 {
        store.limiters[0].record_sample(at(4_000), sample(3_900, 1, 250, 250));
    }
    store.run(4_000, 9_000);
    assert!(store.limits().all(|limit| limit > 0.75 * 24.0));
}

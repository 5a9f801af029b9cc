//! Chooses the next order to an engine and applies its answer.

use std::sync;

use coltsfoot_types::time as clock;

use crate::engine_controller::{
    AdapterReadiness, EngineController, LOAD_MARGIN, MAX_CONCURRENT_LOADS, MAX_REPORT_AGE,
    MODEL_LOAD_TIME, PendingFetch, PlacedAdapter, UNLOAD_RETRY_INTERVAL, WARM_ADAPTERS, WARM_LOAD,
};
use crate::{demand, engine_order};

impl<A: Clone + PartialEq> EngineController<A> {
    pub(super) fn next_order(
        &self,
        now: clock::MonotonicTime,
        constraints: engine_order::OrderConstraints,
        in_use: impl Fn(demand::AdapterKey) -> bool,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> Option<engine_order::EngineOrder> {
        if let Some(order) = &self.unanswered
            && !is_outdated(order, &newest)
        {
            return Some(order.clone());
        }
        if now < self.blocked_until {
            return None;
        }
        if !self.has_model(now) {
            let is_coming = self.model_ready_at.is_some();
            return (!is_coming)
                .then(|| engine_order::EngineOrder::LoadModel(sync::Arc::clone(&self.model)));
        }
        let loading = self.placed.values().filter(|placed| !placed.is_usable(now)).count();
        if loading >= MAX_CONCURRENT_LOADS {
            return None;
        }
        self.order_for_request(now, constraints, &in_use, &newest)
            .or_else(|| self.order_for_version(now, &newest))
    }

    fn order_for_request(
        &self,
        now: clock::MonotonicTime,
        constraints: engine_order::OrderConstraints,
        in_use: &impl Fn(demand::AdapterKey) -> bool,
        newest: &impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> Option<engine_order::EngineOrder> {
        for request in &self.load_requests {
            let held = self.placed.get(&request.key);
            if held.is_some_and(|held| held.version >= request.version.unwrap_or(0)) {
                continue;
            }
            if !constraints.may_fetch && !self.warm.contains(&request.key) {
                continue;
            }
            if held.is_some() || self.placed.len() < self.capacity {
                let name = request.name.clone();
                // A newer version may have been published while the request waited.
                let version =
                    request.version.map(|version| version.max(newest(name.key()).unwrap_or(0)));
                return Some(engine_order::EngineOrder::LoadAdapter { name, version });
            }
            if let Some(victim) = self.victim(now, in_use) {
                return Some(engine_order::EngineOrder::UnloadAdapter(victim));
            }
        }
        None
    }

    /// Returns the least recently used adapter that can be evicted.
    fn victim(
        &self,
        now: clock::MonotonicTime,
        in_use: &impl Fn(demand::AdapterKey) -> bool,
    ) -> Option<demand::AdapterName> {
        let idle = self
            .placed
            .iter()
            .filter(|(key, placed)| !in_use(**key) && self.is_evictable(now, placed));
        idle.min_by_key(|(_, placed)| placed.last_used).map(|(_, placed)| placed.name.clone())
    }

    /// Returns whether an adapter is neither requested nor reserved for a request in transit.
    pub(super) fn is_evictable(&self, now: clock::MonotonicTime, placed: &PlacedAdapter) -> bool {
        let is_requested = self.load_requests.iter().any(|request| request.name == placed.name);
        !is_requested && now >= placed.reserved_until
    }

    fn order_for_version(
        &self,
        now: clock::MonotonicTime,
        newest: &impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> Option<engine_order::EngineOrder> {
        self.placed.iter().find_map(|(key, placed)| {
            let version = newest(*key).filter(|newest| *newest > placed.version)?;
            placed.is_usable(now).then(|| {
                let name = placed.name.clone();
                engine_order::EngineOrder::LoadAdapter { name, version: Some(version) }
            })
        })
    }

    /// Applies the answer to an order.
    pub fn order_ended(
        &mut self,
        now: clock::MonotonicTime,
        order: &engine_order::EngineOrder,
        answer: engine_order::OrderAnswer,
        fetches: engine_order::FetchLoad,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) {
        self.has_changed = true;
        match answer {
            engine_order::OrderAnswer::Accepted | engine_order::OrderAnswer::Holds => {
                self.unanswered = None;
                self.order_count = self.order_count.map(|count| count + 1);
                if answer == engine_order::OrderAnswer::Holds
                    && !matches!(order, engine_order::EngineOrder::UnloadAdapter(_))
                {
                    self.resync(now);
                }
                // The engine accepts orders again, so the previous unload is complete.
                self.unloading = None;
                self.apply(now, order, fetches, newest);
                if answer == engine_order::OrderAnswer::Accepted
                    && let engine_order::EngineOrder::UnloadAdapter(name) = order
                {
                    self.unloading = Some(name.clone());
                }
            }
            engine_order::OrderAnswer::Conflict if self.unloading.is_some() => {
                self.unanswered = None;
                self.blocked_until = now + UNLOAD_RETRY_INTERVAL;
            }
            engine_order::OrderAnswer::Unknown => self.unanswered = Some(order.clone()),
            engine_order::OrderAnswer::Conflict | engine_order::OrderAnswer::Refused => {
                self.unanswered = None;
                self.resync(now);
            }
        }
    }

    /// Discards the order count and sends no order until a report arrives that is not older than now.
    pub(super) fn resync(&mut self, now: clock::MonotonicTime) {
        self.order_count = None;
        self.next_report = now + MAX_REPORT_AGE;
    }

    fn apply(
        &mut self,
        now: clock::MonotonicTime,
        order: &engine_order::EngineOrder,
        fetches: engine_order::FetchLoad,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) {
        match order {
            engine_order::EngineOrder::LoadModel(_) => {
                self.model_ready_at = Some(now + MODEL_LOAD_TIME);
                self.next_report = self.next_report.min(now + MODEL_LOAD_TIME);
            }
            engine_order::EngineOrder::LoadAdapter { name, version } => {
                let key = name.key();
                let is_warm = self.warm.contains(&key);
                let duration = if is_warm { WARM_LOAD } else { fetches.expected_time() };
                let concurrency = fetches.in_flight + 1;
                let fetch = PendingFetch { concurrency, expected: duration, actual: duration };
                let version = version.or_else(|| newest(key)).unwrap_or(1);
                let ready_at = now + duration + LOAD_MARGIN;
                let placed = PlacedAdapter {
                    name: name.clone(),
                    version,
                    ordered: now,
                    ready_at,
                    readiness: AdapterReadiness::Expected,
                    fetch: (!is_warm).then_some(fetch),
                    reserved_until: ready_at,
                    last_used: now,
                };
                self.placed.insert(key, placed);
                self.remember_warm(key);
            }
            engine_order::EngineOrder::UnloadAdapter(name) => {
                self.placed.remove(&name.key());
            }
        }
    }

    pub(super) fn remember_warm(&mut self, key: demand::AdapterKey) {
        self.warm.retain(|warm| *warm != key);
        self.warm.push_back(key);
        if self.warm.len() > WARM_ADAPTERS {
            self.warm.pop_front();
        }
    }
}

/// Returns whether an order names an older version of an adapter than the newest.
fn is_outdated(
    order: &engine_order::EngineOrder,
    newest: &impl Fn(demand::AdapterKey) -> Option<u64>,
) -> bool {
    match order {
        engine_order::EngineOrder::LoadAdapter { name, version: Some(version) } => {
            newest(name.key()).is_some_and(|newest| newest > *version)
        }
        _ => false,
    }
}

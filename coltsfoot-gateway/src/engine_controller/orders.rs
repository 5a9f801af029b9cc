//! The next order to an engine, and what its answer changes.

use std::sync;

use coltsfoot_types::time as clock;

use crate::engine_controller::{
    EngineController, LEAVING_CHECK, LOAD_MARGIN, MAX_LOADING, MODEL_LOAD, PendingFetch,
    PlacedAdapter, REPORT_LAG, WARM_ADAPTERS, WARM_LOAD,
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
        if let Some(order) = &self.unanswered {
            return Some(order.clone());
        }
        if now < self.held_up_until {
            return None;
        }
        if !self.has_model(now) {
            let is_coming = self.model_ready_at.is_some();
            return (!is_coming)
                .then(|| engine_order::EngineOrder::LoadModel(sync::Arc::clone(&self.model)));
        }
        let loading = self.placed.values().filter(|placed| placed.ready_at > now).count();
        if loading >= MAX_LOADING {
            return None;
        }
        self.order_for_question(now, constraints, &in_use)
            .or_else(|| self.order_for_version(now, &newest))
    }

    fn order_for_question(
        &self,
        now: clock::MonotonicTime,
        constraints: engine_order::OrderConstraints,
        in_use: &impl Fn(demand::AdapterKey) -> bool,
    ) -> Option<engine_order::EngineOrder> {
        for request in &self.load_requests {
            let held = self.placed.get(&request.name.key());
            if held.is_some_and(|held| held.version >= request.version.unwrap_or(0)) {
                continue;
            }
            if !constraints.may_fetch && !self.warm.contains(&request.name.key()) {
                continue;
            }
            if held.is_some() || self.placed.len() < self.capacity {
                let (name, version) = (request.name.clone(), request.version);
                return Some(engine_order::EngineOrder::LoadAdapter { name, version });
            }
            if let Some(victim) = self.victim(now, in_use) {
                return Some(engine_order::EngineOrder::UnloadAdapter(victim));
            }
        }
        None
    }

    /// Returns the adapter that was not used for the longest time, of those without requests.
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

    /// Returns whether nobody asks for an adapter and no request for it is on its way.
    pub(super) fn is_evictable(&self, now: clock::MonotonicTime, placed: &PlacedAdapter) -> bool {
        let is_asked = self.load_requests.iter().any(|request| request.name == placed.name);
        !is_asked && now >= placed.promised_until
    }

    fn order_for_version(
        &self,
        now: clock::MonotonicTime,
        newest: &impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> Option<engine_order::EngineOrder> {
        self.placed.iter().find_map(|(key, placed)| {
            let version = newest(*key).filter(|newest| *newest > placed.version)?;
            (now >= placed.ready_at).then(|| {
                let name = placed.name.clone();
                engine_order::EngineOrder::LoadAdapter { name, version: Some(version) }
            })
        })
    }

    /// Takes the answer to an order.
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
                // The engine takes orders again, so that what was leaving is gone.
                self.leaving = None;
                self.apply(now, order, fetches, newest);
                if answer == engine_order::OrderAnswer::Accepted
                    && let engine_order::EngineOrder::UnloadAdapter(name) = order
                {
                    self.leaving = Some(name.clone());
                }
            }
            engine_order::OrderAnswer::Conflict if self.leaving.is_some() => {
                self.unanswered = None;
                self.held_up_until = now + LEAVING_CHECK;
            }
            engine_order::OrderAnswer::Unknown => self.unanswered = Some(order.clone()),
            engine_order::OrderAnswer::Conflict | engine_order::OrderAnswer::Refused => {
                self.unanswered = None;
                self.resync(now);
            }
        }
    }

    /// Forgets the number of orders until a report that can't be older than now has come.
    pub(super) fn resync(&mut self, now: clock::MonotonicTime) {
        self.order_count = None;
        self.next_report = now + REPORT_LAG;
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
                self.model_ready_at = Some(now + MODEL_LOAD);
                self.next_report = self.next_report.min(now + MODEL_LOAD);
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
                    fetch: (!is_warm).then_some(fetch),
                    promised_until: ready_at,
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

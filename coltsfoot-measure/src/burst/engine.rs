//! A model engine: a queue of prompts to read, streams that slow each other, places for adapters.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use coltsfoot_gateway::{demand, engine_controller, engine_order, upstream};

use crate::fleet_model::at;

/// Prompt tokens read in a millisecond; step of a stream in milliseconds; tokens of an event.
const READ_TOKENS_PER_MS: f64 = 38.7;
const STEP_MS: f64 = 5.47;
const TOKENS_PER_EVENT: f64 = 4.0;
/// Requests that run at once.
const SLOTS: usize = 64;
/// Places for adapters.
pub const PLACES: usize = 8;
/// Adapters delivered at once at full speed to all engines.
const FULL_SPEED: f64 = 8.0;
/// Time of a fetch at full speed, in milliseconds.
const FETCH_MS: f64 = 250.0;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct EngineRun {
    /// Number of the request.
    pub request: usize,
    /// Its adapter.
    pub adapter: Option<demand::AdapterKey>,
    /// When its prompt is read, and when its answer ends, in milliseconds.
    pub first_ms: u64,
    pub end_ms: u64,
}

/// One engine.
#[derive(Debug, Default)]
pub struct ModelEngine {
    /// Adapters with the time from which they serve.
    placed: BTreeMap<demand::AdapterKey, (demand::AdapterName, u64)>,
    warm: VecDeque<demand::AdapterKey>,
    leaving: BTreeSet<demand::AdapterKey>,
    cached_parts: BTreeSet<(u64, u64)>,
    read_free_ms: f64,
    orders: u64,
    pub runs: Vec<EngineRun>,
}

impl ModelEngine {
    /// Takes a request; `None` if its adapter is not there.
    pub fn send(
        &mut self,
        now: u64,
        request: usize,
        demand: &demand::PromptDemand,
        events: u32,
    ) -> Option<&EngineRun> {
        let adapter = demand.adapter.as_ref().map(demand::AdapterName::key);
        if let Some(key) = adapter {
            let is_there = self.placed.get(&key).is_some_and(|(_, ready)| now >= *ready);
            if !is_there || self.leaving.contains(&key) {
                return None;
            }
        }
        let weights = demand.weights_key();
        let kept: u32 = demand
            .parts
            .iter()
            .take_while(|part| self.cached_parts.contains(&(weights, part.id)))
            .map(|part| part.tokens)
            .sum();
        self.cached_parts.extend(demand.parts.iter().map(|part| (weights, part.id)));
        let waits = self.runs.len() >= SLOTS;
        let slot_free = self.runs.iter().map(|run| run.end_ms).min().filter(|_| waits);
        let begin = self.read_free_ms.max(now as f64).max(slot_free.unwrap_or(0) as f64);
        let unread = f64::from(demand.prompt_tokens - kept.min(demand.prompt_tokens));
        self.read_free_ms = begin + unread / READ_TOKENS_PER_MS;
        let slowdown = 1.0 + self.runs.len() as f64 / SLOTS as f64;
        let event_ms = STEP_MS * TOKENS_PER_EVENT * slowdown;
        let first_ms = (self.read_free_ms + event_ms) as u64;
        let end_ms = first_ms + (event_ms * f64::from(events)) as u64;
        self.runs.push(EngineRun { request, adapter, first_ms, end_ms });
        self.runs.last()
    }

    /// Ends the runs that are due; returns them.
    pub fn end_runs(&mut self, now: u64) -> Vec<EngineRun> {
        let (ended, running) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| now >= run.end_ms);
        self.runs = running;
        let used: BTreeSet<_> = self.runs.iter().filter_map(|run| run.adapter).collect();
        let gone: Vec<_> = self.leaving.difference(&used).copied().collect();
        for key in gone {
            self.leaving.remove(&key);
            self.placed.remove(&key);
        }
        ended
    }

    /// Returns whether an adapter is on its way from the weight store.
    pub fn fetching(&self, now: u64) -> usize {
        self.placed.values().filter(|(_, ready)| *ready > now + 50).count()
    }

    /// Carries out an order; `fetching` counts those of all engines. Returns whether it fetched.
    pub fn order(
        &mut self,
        now: u64,
        order: &engine_order::EngineOrder,
        fetching: usize,
    ) -> (engine_order::OrderAnswer, bool) {
        if !self.leaving.is_empty() {
            // One order at a time: an unload waits for the runs on its adapter.
            return (engine_order::OrderAnswer::Conflict, false);
        }
        match order {
            engine_order::EngineOrder::LoadModel(_) => (engine_order::OrderAnswer::Holds, false),
            engine_order::EngineOrder::LoadAdapter { name, .. } => {
                let key = name.key();
                assert!(
                    self.placed.contains_key(&key) || self.placed.len() < PLACES,
                    "an engine with more adapters than places crashes"
                );
                let is_warm = self.warm.contains(&key);
                let slowdown = ((fetching + 1) as f64 / FULL_SPEED).max(1.0);
                let cold = FETCH_MS * slowdown;
                let warm = engine_controller::WARM_LOAD.as_millis() as f64;
                let load_ms = if is_warm { warm } else { cold };
                self.placed.insert(key, (name.clone(), now + load_ms as u64));
                self.warm.retain(|warm| *warm != key);
                self.warm.push_back(key);
                if self.warm.len() > engine_controller::WARM_ADAPTERS {
                    self.warm.pop_front();
                }
                self.orders += 1;
                (engine_order::OrderAnswer::Accepted, !is_warm)
            }
            engine_order::EngineOrder::UnloadAdapter(name) => {
                let key = name.key();
                self.orders += 1;
                if self.runs.iter().any(|run| run.adapter == Some(key)) {
                    self.leaving.insert(key);
                    return (engine_order::OrderAnswer::Accepted, false);
                }
                self.placed.remove(&key);
                (engine_order::OrderAnswer::Holds, false)
            }
        }
    }

    /// Returns a report.
    pub fn report(&self, now: u64) -> upstream::EngineReport {
        let held = |(name, _): &(demand::AdapterName, u64)| upstream::ResidentAdapter {
            name: name.clone(),
            version: 1,
        };
        let (ready, pending): (Vec<_>, Vec<_>) =
            self.placed.values().partition(|(_, ready)| at(now) >= at(*ready));
        upstream::EngineReport {
            order_count: self.orders,
            models: vec!["m".into()],
            adapters: ready.into_iter().map(held).collect(),
            pending: pending.into_iter().map(held).collect(),
            ..Default::default()
        }
    }
}

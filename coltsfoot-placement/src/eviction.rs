//! Selection of the engine to load an adapter on, and of the adapter to evict.

use std::cmp;
use std::collections;
use std::time;

use coltsfoot_types::{adapter, name, time as clock};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::engine;
use crate::settings;

/// Time during which a newly loaded adapter is evicted only as a last resort, so that the requests
/// that waited for it can be sent.
const NEW_LOAD_GRACE: time::Duration = time::Duration::from_secs(1);

/// Selects the engine for a load.
pub(crate) struct TargetSelector<'a> {
    pub(crate) now: clock::MonotonicTime,
    pub(crate) engines: &'a collections::BTreeMap<name::UpstreamName, engine::EngineState>,
    pub(crate) half_life: time::Duration,
    /// Replica counts of the adapters with more than one replica.
    pub(crate) replica_counts: &'a FxHashMap<adapter::AdapterVersion, u32>,
    /// Whether engines that don't check fencing numbers only get loads into free slots.
    pub(crate) restricted: bool,
    pub(crate) packing: settings::BatchPacking,
}

/// Engine to load an adapter on.
#[derive(Clone, Debug)]
pub(crate) struct LoadTarget {
    pub(crate) engine: name::UpstreamName,
    /// The adapter to evict; `None` if a slot is free.
    pub(crate) victim: Option<Victim>,
}

/// An adapter that may be evicted.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    pub(crate) adapter: adapter::AdapterVersion,
    /// Estimated requests per half-life that would miss it.
    pub(crate) score: f64,
    used_at: clock::MonotonicTime,
}

impl Victim {
    fn compare(&self, other: &Self) -> cmp::Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score
            .then(self.used_at.cmp(&other.used_at))
            .then_with(|| self.adapter.cmp(&other.adapter))
    }
}

impl TargetSelector<'_> {
    /// Selects an engine for an adapter: one with a free slot, else one whose victim has a low
    /// score. Slow or full engines and `avoided` are used only if no other engine can load it.
    pub(crate) fn choose(
        &self,
        adapter: &adapter::AdapterVersion,
        avoided: Option<&name::UpstreamName>,
    ) -> Option<LoadTarget> {
        let candidates = || self.engines.values().filter(|engine| self.can_load(engine, adapter));
        let is_good = |engine: &&engine::EngineState| {
            !engine.is_slow() && Some(engine.name()) != avoided && engine.room() > 0
        };
        self.choose_among(candidates().filter(is_good)).or_else(|| self.choose_among(candidates()))
    }

    fn choose_among<'b>(
        &self,
        candidates: impl Iterator<Item = &'b engine::EngineState> + Clone,
    ) -> Option<LoadTarget> {
        let free = candidates.clone().filter(|engine| engine.has_free_slot());
        let free = free.min_by_key(|engine| self.fill_rank(engine));
        if let Some(engine) = free {
            return Some(LoadTarget { engine: engine.name().clone(), victim: None });
        }
        let victims = candidates.filter_map(|engine| Some((engine, self.find_victim(engine)?)));
        let victims: SmallVec<[_; 16]> = victims.collect();
        let lowest = victims.iter().map(|(_, victim)| victim.score).min_by(f64::total_cmp)?;
        let bound = lowest * self.packing.score_factor + self.packing.score_margin;
        let near_lowest = victims.into_iter().filter(|(_, victim)| victim.score <= bound);
        let (engine, victim) = near_lowest.min_by(|left, right| {
            let by_fill = self.fill_rank(left.0).cmp(&self.fill_rank(right.0));
            by_fill.then_with(|| left.1.compare(&right.1))
        })?;
        Some(LoadTarget { engine: engine.name().clone(), victim: Some(victim) })
    }

    fn can_load(&self, engine: &engine::EngineState, adapter: &adapter::AdapterVersion) -> bool {
        engine.is_usable(self.now) && engine.generation.is_some() && !engine.tracks(adapter)
    }

    fn fill_rank(&self, engine: &engine::EngineState) -> u32 {
        if self.packing.is_enabled {
            return engine.room();
        }
        engine.running
    }

    /// Returns whether any engine can load the adapter into a free slot or by an eviction.
    pub(crate) fn has_target(&self, adapter: &adapter::AdapterVersion) -> bool {
        let mut candidates = self.engines.values().filter(|engine| self.can_load(engine, adapter));
        candidates.any(|engine| engine.has_free_slot() || self.evictable(engine).next().is_some())
    }

    fn evictable<'b>(
        &'b self,
        engine: &'b engine::EngineState,
    ) -> impl Iterator<Item = (&'b adapter::AdapterVersion, &'b engine::Residency)> {
        let is_allowed = !self.restricted || engine.listing.checks_fencing;
        let resident = engine.resident.iter().filter(move |_| is_allowed);
        resident.filter(|(adapter, _)| engine.is_evictable(self.now, adapter))
    }

    /// Finds the evictable adapter of an engine with the lowest score. Evictability is only checked
    /// for adapters below the lowest score so far.
    fn find_victim(&self, engine: &engine::EngineState) -> Option<Victim> {
        if self.restricted && !engine.listing.checks_fencing {
            return None;
        }
        let mut lowest: Option<(f64, clock::MonotonicTime, &adapter::AdapterVersion)> = None;
        for (adapter, residency) in &engine.resident {
            let score = self.score(adapter, residency);
            let used_at = residency.used_at;
            let is_less = lowest.is_none_or(|lowest| {
                let order = score.total_cmp(&lowest.0);
                order.then_with(|| (used_at, adapter).cmp(&(lowest.1, lowest.2))).is_lt()
            });
            if is_less && engine.is_evictable(self.now, adapter) {
                lowest = Some((score, used_at, adapter));
            }
        }
        let (score, used_at, adapter) = lowest?;
        Some(Victim { adapter: adapter.clone(), score, used_at })
    }

    /// Estimates how often requests would miss the adapter: its popularity divided by the square of
    /// its replica count, since an additional replica only avoids waiting for a batch.
    fn score(&self, adapter: &adapter::AdapterVersion, residency: &engine::Residency) -> f64 {
        if self.now.since(residency.since) < NEW_LOAD_GRACE {
            return f64::MAX;
        }
        let popularity = residency.count.value(self.now, self.half_life);
        if self.replica_counts.is_empty() {
            return popularity;
        }
        let replicas = self.replica_counts.get(adapter).copied().unwrap_or(1);
        popularity / f64::from(replicas.pow(2))
    }
}

/// Counts the replicas of the adapters with more than one replica on usable engines.
pub(crate) fn count_replicas(
    now: clock::MonotonicTime,
    engines: &collections::BTreeMap<name::UpstreamName, engine::EngineState>,
) -> FxHashMap<adapter::AdapterVersion, u32> {
    let mut replicas = FxHashMap::<&adapter::AdapterVersion, u32>::default();
    for engine in engines.values().filter(|engine| engine.is_usable(now)) {
        for adapter in engine.resident.keys() {
            *replicas.entry(adapter).or_default() += 1;
        }
    }
    let several = replicas.into_iter().filter(|(_, replicas)| *replicas > 1);
    several.map(|(adapter, replicas)| (adapter.clone(), replicas)).collect()
}

//! Where an adapter is loaded, and which adapter gives way.

use std::cmp;
use std::collections;

use coltsfoot_types::{adapter, name, time as clock};

use crate::engine;
use crate::popularity;

/// Time for which a newly loaded adapter is evicted after all others, so that the requests that
/// waited for it can be sent.
const SETTLING_SECONDS: f64 = 1.0;

/// What the choice of a place depends on.
pub(crate) struct PlaceChooser<'a> {
    pub(crate) now: clock::MonotonicTime,
    pub(crate) engines: &'a collections::BTreeMap<name::UpstreamName, engine::EngineState>,
    pub(crate) popularity: &'a popularity::PopularityTable,
    /// Whether engines that don't check fencing numbers get loads into free slots only.
    pub(crate) restricted: bool,
    /// Whether fuller batches are chosen before emptier ones.
    pub(crate) pack_batches: bool,
}

/// A place for an adapter.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlace {
    pub(crate) engine: name::UpstreamName,
    /// The adapter that gives way; none if a slot is free.
    pub(crate) victim: Option<Victim>,
}

/// An adapter that can be evicted.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    pub(crate) adapter: adapter::AdapterVersion,
    /// Requests per half-life that would miss it.
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

impl PlaceChooser<'_> {
    /// Chooses an engine for an adapter: a free slot first, else the place of the adapter that
    /// will be missed least. `avoided` is used only if no other engine can take it.
    pub(crate) fn choose(
        &self,
        adapter: &adapter::AdapterVersion,
        avoided: Option<&name::UpstreamName>,
    ) -> Option<LoadPlace> {
        let candidates = || self.engines.values().filter(|engine| self.can_load(engine, adapter));
        let is_good = |engine: &&engine::EngineState| {
            !engine.is_slow() && Some(engine.name()) != avoided && engine.room() > 0
        };
        self.choose_among(candidates().filter(is_good)).or_else(|| self.choose_among(candidates()))
    }

    fn choose_among<'b>(
        &self,
        candidates: impl Iterator<Item = &'b engine::EngineState> + Clone,
    ) -> Option<LoadPlace> {
        let free = candidates.clone().filter(|engine| engine.has_free_slot());
        let free = free.min_by_key(|engine| self.fill_rank(engine));
        if let Some(engine) = free {
            return Some(LoadPlace { engine: engine.name().clone(), victim: None });
        }
        let victims = candidates.filter_map(|engine| Some((engine, self.find_victim(engine)?)));
        let (engine, victim) = victims.min_by(|left, right| left.1.compare(&right.1))?;
        Some(LoadPlace { engine: engine.name().clone(), victim: Some(victim) })
    }

    fn can_load(&self, engine: &engine::EngineState, adapter: &adapter::AdapterVersion) -> bool {
        engine.is_usable(self.now)
            && engine.generation.is_some()
            && !engine.holds(adapter)
            && !engine.loading.contains(adapter)
            && !engine.unloading.contains(adapter)
            && !engine.strays.contains(adapter)
    }

    fn fill_rank(&self, engine: &engine::EngineState) -> u32 {
        if self.pack_batches {
            return engine.room();
        }
        engine.running
    }

    fn find_victim(&self, engine: &engine::EngineState) -> Option<Victim> {
        if self.restricted && !engine.listing.checks_fencing {
            return None;
        }
        let evictable =
            engine.resident.iter().filter(|(adapter, _)| engine.is_evictable(self.now, adapter));
        let victims = evictable.map(|(adapter, residency)| Victim {
            adapter: adapter.clone(),
            score: self.score(engine, adapter, residency),
            used_at: residency.used_at,
        });
        victims.min_by(Victim::compare)
    }

    /// Estimates how often the adapter would be missed: its popularity, divided among its
    /// replicas, since a further one only spares a wait for a batch.
    fn score(
        &self,
        engine: &engine::EngineState,
        adapter: &adapter::AdapterVersion,
        residency: &engine::Residency,
    ) -> f64 {
        if self.now.since(residency.since).as_secs_f64() < SETTLING_SECONDS {
            return f64::MAX;
        }
        let others = self.engines.values().filter(|other| other.name() != engine.name());
        let copies = others.filter(|other| other.is_usable(self.now) && other.holds(adapter));
        self.popularity.get(self.now, adapter) / (1 + copies.count()).pow(2) as f64
    }
}

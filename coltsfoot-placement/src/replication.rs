//! Additional replicas of popular adapters, loaded before requests queue for them.

use coltsfoot_types::{adapter, time as clock};

use crate::cell::{CellActions, EngineCell};
use crate::engine;

impl EngineCell {
    /// Orders an additional replica of a popular adapter, unless a request waits for a load or the
    /// replica's expected share of requests does not exceed the victim's score.
    pub(crate) fn plan_replica(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        if !self.load_queue.is_empty() || !self.load_grants.is_available(now) {
            return;
        }
        let Some(adapter) = self.replica_candidates.pop_first() else {
            return;
        };
        if !self.needs_replica(now, &adapter) {
            return;
        }
        let Some(target) = self.target_selector(now).choose(&adapter, None) else {
            return;
        };
        let replicas = self.engines.values().filter(|engine| engine.holds(&adapter)).count();
        let gain = self.popularity.get(now, &adapter) / (1 + replicas).pow(2) as f64;
        if target.victim.as_ref().is_some_and(|victim| victim.score >= gain) {
            return;
        }
        self.counters.replica_loads += 1;
        self.order_load(now, adapter, target, actions);
    }

    /// Returns whether all engines that hold the adapter are nearly full, slow or unusable, and no
    /// load of it is in progress.
    pub(crate) fn needs_replica(
        &self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
    ) -> bool {
        let percent = self.settings.replica_fill_percent;
        let is_full = |engine: &engine::EngineState| {
            !engine.is_usable(now)
                || engine.service.is_slow()
                || engine.running * 100 >= engine.listing.batch_size * percent
        };
        let is_coming = self.orders.values().any(|order| order.loads(adapter));
        let mut holders = self.engines.values().filter(|engine| engine.holds(adapter));
        !is_coming && holders.all(is_full)
    }
}

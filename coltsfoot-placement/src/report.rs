//! Changes to the list of engines, and reconciliation with their reports, which may be out of
//! date.

use std::collections;

use coltsfoot_types::{adapter, name, refusal, time as clock};

use crate::cell::{CellActions, EngineCell};
use crate::engine;
use crate::engine_orders;
use crate::event;

impl EngineCell {
    /// Adds an engine or updates its listing.
    pub(crate) fn list_engine(&mut self, now: clock::MonotonicTime, listing: event::EngineListing) {
        if let Some(state) = self.engines.get_mut(&listing.name) {
            state.listing = listing;
            state.leaving = false;
            return;
        }
        let limits = Self::queue_limits(&self.settings);
        let name = listing.name.clone();
        let mut state = engine::EngineState::new(listing, limits);
        state.unknown_until = self.takeover.unknown_until();
        for permit in self.permits.values().filter(|permit| permit.engine == name) {
            state.pin(now, &permit.adapter);
        }
        self.engines.insert(name, state);
    }

    /// Stops giving an engine new work. Requests running on it finish normally.
    pub(crate) fn retire_engine(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        actions: &mut CellActions,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.leaving = true;
        self.readmit_ready(now, engine, |_| true, actions);
        self.refuse_without_engines(now, actions);
    }

    /// Refuses all waiting requests once no engine accepts new work, so that they can overflow to
    /// another cell.
    fn refuse_without_engines(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        let is_acting = self.fencing(now).is_some();
        if !is_acting || self.engines.values().any(|engine| !engine.leaving) {
            return;
        }
        let mut waiting: Vec<_> = self.waits.keys().copied().collect();
        waiting.sort();
        for request in waiting {
            self.refuse_request(request, refusal::RefusalReason::NoUpstream, actions);
        }
    }

    /// Removes an engine and the permits for requests on it.
    pub(crate) fn remove_engine(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        actions: &mut CellActions,
    ) {
        self.retire_engine(now, engine, actions);
        self.engines.remove(engine);
        self.permits.retain(|_, permit| permit.engine != *engine);
    }

    /// Reconciles the known residency with an engine's report. Orders that ended within the
    /// maximum report lag take precedence, since the report may predate them.
    pub(crate) fn reconcile(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        report: event::EngineReport,
        actions: &mut CellActions,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let former = state.generation.replace(report.generation);
        if former.is_some_and(|former| former != report.generation) {
            state.forget_residency();
            self.readmit_ready(now, engine, |_| true, actions);
        }
        if let Some(active) = active_adapters(&report) {
            self.narrow_unknown_adapters(now, engine, &active);
            self.end_orphaned_permits(now, engine, &active, actions);
        }
        let reported: collections::BTreeSet<_> = report.resident.into_iter().collect();
        self.remove_missing(now, engine, &reported, actions);
        self.adopt_reported(now, engine, reported, actions);
        self.serve_ready(now, engine, actions);
    }

    /// Returns whether the owner may order unloads on the engine. A restricted owner needs an
    /// engine that checks fencing numbers.
    fn may_evict(&self, now: clock::MonotonicTime, engine: &name::UpstreamName) -> bool {
        let checks = self.engines.get(engine).is_some_and(|state| state.listing.checks_fencing);
        let is_restricted = self.lease.is_some_and(|lease| lease.restricted);
        self.fencing(now).is_some() && (checks || !is_restricted)
    }

    /// Removes adapters that have been resident for longer than the report lag, yet are missing
    /// from the report.
    fn remove_missing(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        reported: &collections::BTreeSet<adapter::AdapterVersion>,
        actions: &mut CellActions,
    ) {
        let lag = self.settings.max_report_lag;
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.recent_orders.retain(|_, at| *at + lag > now);
        let recent_orders = &state.recent_orders;
        let resident = &mut state.resident;
        let before = resident.len();
        resident.retain(|adapter, residency| {
            reported.contains(adapter)
                || recent_orders.contains_key(adapter)
                || residency.since + lag > now
        });
        if resident.len() == before {
            return;
        }
        let kept: collections::BTreeSet<_> = resident.keys().cloned().collect();
        self.readmit_ready(now, engine, |adapter| !kept.contains(adapter), actions);
    }

    /// Adopts reported adapters that the cell doesn't know, and unloads those that exceed the
    /// engine's slots.
    fn adopt_reported(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        reported: collections::BTreeSet<adapter::AdapterVersion>,
        actions: &mut CellActions,
    ) {
        for adapter in reported {
            let Some(state) = self.engines.get_mut(engine) else {
                return;
            };
            let is_known = state.tracks(&adapter) || state.recent_orders.contains_key(&adapter);
            if is_known {
                continue;
            }
            if state.has_free_slot() {
                let count = self.popularity.count_of(&adapter);
                state.add_resident(now, adapter.clone(), count);
                self.readmit_waiters(now, &adapter, actions);
                continue;
            }
            if state.is_evictable(now, &adapter) && self.may_evict(now, engine) {
                if let Some(state) = self.engines.get_mut(engine) {
                    state.excess.insert(adapter.clone());
                }
                self.send_order(
                    now,
                    engine.clone(),
                    adapter,
                    engine_orders::OrderStep::UnloadExcess,
                    actions,
                );
            }
        }
    }
}

/// Returns the adapters of running and waiting requests: none for an idle engine, `None` if the
/// report of a busy engine doesn't list them.
fn active_adapters(
    report: &event::EngineReport,
) -> Option<collections::BTreeSet<adapter::AdapterVersion>> {
    if report.running == 0 && report.waiting == 0 {
        return Some(collections::BTreeSet::new());
    }
    report.active.as_ref().map(|active| active.iter().cloned().collect())
}

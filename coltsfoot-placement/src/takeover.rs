//! Ownership of a cell, and recovery of the previous owner's permits before any eviction.

use std::collections;

use coltsfoot_types::{adapter, id, name, time as clock};
use coltsfoot_wire::placement;

use crate::cell::{self, CellActions, EngineCell};
use crate::engine;
use crate::event;

/// Reports that a new owner waits for.
#[derive(Debug, Default)]
pub(crate) struct TakeoverState {
    /// Instances that may hold permits of the previous owner and have not reported them.
    awaited: collections::BTreeSet<name::InstanceName>,
    /// Whether permits may be outstanding that no instance will report.
    unknown_permits: bool,
    /// When all permits of the previous owner have expired.
    limit: clock::MonotonicTime,
    requested_at: clock::MonotonicTime,
}

impl TakeoverState {
    /// Stops waiting for an instance that terminated before it reported.
    pub(crate) fn forget_reporter(&mut self, instance: &name::InstanceName) {
        if self.awaited.remove(instance) {
            self.unknown_permits = true;
        }
    }

    /// Returns the time until which engines may run permits unknown to this owner, if any.
    pub(crate) fn unknown_until(&self) -> Option<clock::MonotonicTime> {
        (!self.is_complete()).then_some(self.limit)
    }

    fn is_complete(&self) -> bool {
        self.awaited.is_empty() && !self.unknown_permits
    }
}

impl EngineCell {
    /// Takes over the cell. No adapter is evicted until the permits of the previous owner are
    /// known or have expired.
    pub(crate) fn gain_ownership(
        &mut self,
        now: clock::MonotonicTime,
        lease: event::CellLease,
        reporters: Vec<name::InstanceName>,
        unknown_permits: bool,
        actions: &mut CellActions,
    ) {
        self.clear_lease(actions);
        self.lease = Some(lease);
        let awaited = reporters.into_iter().collect();
        let start = lease.active_from.max(now);
        let limit = start + self.settings.send_within + self.settings.max_request_time;
        self.takeover = TakeoverState { awaited, unknown_permits, limit, requested_at: now };
        for engine in self.engines.values_mut() {
            engine.unknown_until = self.takeover.unknown_until();
        }
        self.send_report_requests(actions);
    }

    /// Extends the current lease. An expired lease can't be renewed.
    pub(crate) fn renew(&mut self, now: clock::MonotonicTime, until: clock::MonotonicTime) {
        if let Some(lease) = self.lease.as_mut().filter(|lease| now < lease.until) {
            lease.until = lease.until.max(until);
        }
    }

    /// Ends the ownership. Waiting requests are refused, so that they go to the new owner.
    pub(crate) fn lose_ownership(&mut self, actions: &mut CellActions) {
        self.clear_lease(actions);
    }

    fn clear_lease(&mut self, actions: &mut CellActions) {
        self.lease = None;
        self.started = false;
        let mut waits: Vec<_> = self.waits.drain().map(|(_, wait)| wait).collect();
        waits.sort_by_key(|wait| wait.attempt);
        for wait in waits {
            let reason = placement::PermitRefusalReason::NotOwner;
            actions.push(cell::refuse(&wait, reason, std::time::Duration::ZERO));
        }
        self.deadlines.clear();
        self.permits.clear();
        self.demands.clear();
        self.retries.clear();
        self.replica_candidates.clear();
        self.orders.clear();
        self.load_grants.return_all(actions);
        let limits = Self::queue_limits(&self.settings);
        self.load_queue = coltsfoot_quota::fair_queue::FairQueue::new(limits.clone());
        for state in self.engines.values_mut() {
            let mut empty_state = engine::EngineState::new(state.listing.clone(), limits.clone());
            empty_state.leaving = state.leaving;
            *state = empty_state;
        }
    }

    /// Admits the requests that arrived before the lease became active.
    pub(crate) fn start_lease(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        if self.started || self.fencing(now).is_none() {
            return;
        }
        self.started = true;
        let requests: collections::BTreeSet<_> = self.waits.keys().copied().collect();
        for request in requests {
            if let Some(wait) = self.drop_wait(request) {
                self.admit(now, wait, actions);
            }
        }
    }

    /// Adopts the permits of the previous owner that an instance reports.
    pub(crate) fn accept_report(
        &mut self,
        now: clock::MonotonicTime,
        instance: &name::InstanceName,
        fencing: id::FencingNumber,
        permits: Vec<placement::HeldPermit>,
    ) {
        if self.lease.is_none_or(|lease| lease.fencing != fencing) {
            return;
        }
        for held in permits {
            self.adopt_permit(now, instance, held);
        }
        if self.takeover.awaited.remove(instance) && self.takeover.is_complete() {
            for engine in self.engines.values_mut() {
                engine.unknown_until = None;
            }
        }
    }

    fn adopt_permit(
        &mut self,
        now: clock::MonotonicTime,
        instance: &name::InstanceName,
        held: placement::HeldPermit,
    ) {
        if self.permits.contains_key(&held.attempt) {
            return;
        }
        if let Some(state) = self.engines.get_mut(&held.engine) {
            state.pin(now, &held.adapter);
        }
        let permit = engine::OutstandingPermit {
            engine: held.engine,
            adapter: held.adapter,
            instance: instance.clone(),
            granted_at: now,
            estimated_tokens: u32::MAX,
            ends_at: now + self.settings.send_within + self.settings.max_request_time,
            is_orphaned: false,
        };
        self.permits.insert(held.attempt, permit);
    }

    /// Repeats the report requests to instances that have not reported yet.
    pub(crate) fn repeat_report_requests(
        &mut self,
        now: clock::MonotonicTime,
        actions: &mut CellActions,
    ) {
        if now.since(self.takeover.requested_at) >= self.settings.retry_interval {
            self.takeover.requested_at = now;
            self.send_report_requests(actions);
        }
    }

    fn send_report_requests(&self, actions: &mut CellActions) {
        let Some(lease) = self.lease else {
            return;
        };
        for instance in &self.takeover.awaited {
            let instance = instance.clone();
            actions.push(event::CellAction::RequestReport { instance, fencing: lease.fencing });
        }
    }

    /// Narrows down which adapters the unknown permits can be for, using an engine report that
    /// covers all permits of the previous owner.
    pub(crate) fn narrow_unknown_adapters(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        active: &collections::BTreeSet<adapter::AdapterVersion>,
    ) {
        let Some(lease) = self.lease else {
            return;
        };
        let reports_cover_from =
            lease.active_from + self.settings.send_within + self.settings.max_report_lag;
        if reports_cover_from > now || !self.takeover.awaited.is_empty() {
            return;
        }
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        match &mut state.unknown_adapters {
            Some(unknown) => unknown.retain(|adapter| active.contains(adapter)),
            None => state.unknown_adapters = Some(active.clone()),
        }
    }

    /// Returns whether an engine withholds permits for the adapter.
    pub(crate) fn is_quiesced(&self, adapter: &adapter::AdapterVersion) -> bool {
        self.engines.values().any(|engine| engine.quiesced.as_ref() == Some(adapter))
    }

    /// Withholds permits for the least recently used adapter that unknown permits may use, if a
    /// waiting load has no target. While an adapter is in constant use, engine reports can't show
    /// that no unknown permit uses it.
    pub(crate) fn quiesce_for_load(
        &mut self,
        now: clock::MonotonicTime,
        actions: &mut CellActions,
    ) {
        let Some(wanted) = self.load_queue.iter().next().map(|entry| entry.item.clone()) else {
            return;
        };
        if self.engines.values().any(|engine| engine.quiesced.is_some()) {
            return;
        }
        let usable = self.engines.values().filter(|engine| {
            engine.is_usable(now) && !engine.tracks(&wanted) && engine.unknown_adapters.is_some()
        });
        let candidates = usable.flat_map(|engine| {
            let resident = engine.resident.iter();
            resident.map(move |(adapter, residency)| (residency.used_at, adapter, engine))
        });
        let unknown =
            candidates.filter(|(_, adapter, engine)| engine.may_run_unknown(now, adapter));
        let least = unknown.min_by_key(|(used_at, adapter, _)| (*used_at, *adapter));
        let Some((_, adapter, engine)) = least else {
            return;
        };
        let (adapter, engine) = (adapter.clone(), engine.name().clone());
        if let Some(state) = self.engines.get_mut(&engine) {
            state.quiesced = Some(adapter.clone());
        }
        self.readmit_ready(now, &engine, |moved| *moved == adapter, actions);
    }

    /// Ends the withholding of permits for adapters that are no longer resident, or for all once
    /// no load is queued.
    pub(crate) fn end_quiescence(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        let is_needed = !self.load_queue.is_empty();
        let mut released = Vec::new();
        for state in self.engines.values_mut() {
            let is_over = |adapter: &adapter::AdapterVersion| {
                !is_needed || !state.resident.contains_key(adapter)
            };
            if state.quiesced.as_ref().is_some_and(is_over) {
                released.extend(state.quiesced.take());
            }
        }
        for adapter in released {
            let waits = self.waits.values();
            let mut requests: Vec<_> = waits
                .filter(|wait| wait.demand.adapter == adapter)
                .map(|wait| wait.attempt.request)
                .collect();
            requests.sort_unstable();
            for request in requests {
                if let Some(wait) = self.drop_wait(request) {
                    self.admit(now, wait, actions);
                }
            }
        }
    }
}

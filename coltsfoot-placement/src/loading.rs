//! Adapter loads: shared by all requests that wait for an adapter, limited by the load budget, with
//! bounded retries.

use std::mem;
use std::time;

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

use crate::cell::{self, CellActions, EngineCell};
use crate::engine;
use crate::eviction;

/// Cost of a load in the fair queue, in tokens.
const LOAD_TOKENS: u64 = 1024;

/// Requests waiting for one adapter to be loaded.
#[derive(Debug, Default)]
pub(crate) struct LoadDemand {
    waiters: SmallVec<[id::RequestId; 4]>,
    /// Request that represents the demand in the load queue.
    queued_as: Option<id::RequestId>,
    /// Whether a load has been ordered and not ended.
    ordered: bool,
    failures: u32,
    /// Engine on which the last attempt failed.
    failed_on: Option<name::UpstreamName>,
}

impl EngineCell {
    /// Adds a request to the demand for its adapter. Refuses it after repeated load failures or if
    /// all engines are leaving.
    pub(crate) fn wait_for_load(
        &mut self,
        now: clock::MonotonicTime,
        mut wait: engine::WaitingPermit,
        actions: &mut CellActions,
    ) {
        let is_acting = self.fencing(now).is_some();
        if let Some((reason, retry_after)) =
            self.load_refusal(now, &wait.demand.adapter).filter(|_| is_acting)
        {
            let reason = placement::PermitRefusalReason::Refused(reason);
            actions.push(cell::refuse(&wait, reason, retry_after));
            return;
        }
        wait.cause = engine::WaitCause::Load;
        let adapter = wait.demand.adapter.clone();
        let demand = self.demands.entry(adapter.clone()).or_default();
        demand.waiters.push(wait.attempt.request);
        let is_first = demand.waiters.len() == 1 && !demand.ordered;
        self.insert_wait(wait);
        if is_first && !self.is_quiesced(&adapter) {
            self.queue_load(&adapter);
        }
    }

    fn load_refusal(
        &self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
    ) -> Option<(refusal::RefusalReason, time::Duration)> {
        if let Some(&until) = self.failed_loads.get(adapter).filter(|until| now < **until) {
            return Some((refusal::RefusalReason::LoadFailed, until.since(now)));
        }
        let is_any_left = self.engines.values().any(|engine| !engine.leaving);
        (!is_any_left).then_some((refusal::RefusalReason::NoUpstream, time::Duration::from_secs(1)))
    }

    /// Queues a demand with the weight, priority and deadline of its first waiting request.
    fn queue_load(&mut self, adapter: &adapter::AdapterVersion) {
        let Some(demand) = self.demands.get_mut(adapter) else {
            return;
        };
        let Some(wait) = demand.waiters.first().and_then(|request| self.waits.get(request)) else {
            return;
        };
        let entry = Self::queue_entry(wait, LOAD_TOKENS, adapter.clone());
        demand.queued_as = Some(entry.request);
        if self.load_queue.push(wait.arrived, entry).is_err() {
            demand.queued_as = None;
        }
    }

    /// Removes a request from the demand it waits for.
    pub(crate) fn leave_demand(&mut self, wait: &engine::WaitingPermit) {
        let request = wait.attempt.request;
        let adapter = &wait.demand.adapter;
        let Some(demand) = self.demands.get_mut(adapter) else {
            return;
        };
        demand.waiters.retain(|waiter| *waiter != request);
        let was_queued = demand.queued_as == Some(request);
        let is_empty = demand.waiters.is_empty() && !demand.ordered;
        if was_queued {
            demand.queued_as = None;
            self.load_queue.cancel(request);
        }
        if is_empty {
            self.retries.retain(|(_, retried)| retried != adapter);
            self.demands.remove(adapter);
        } else if was_queued {
            self.queue_load(&adapter.clone());
        }
    }

    /// Orders the loads that grants and engines allow, and requests or returns load grants.
    pub(crate) fn plan_loads(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        self.end_quiescence(now, actions);
        self.queue_due_retries(now);
        let mut is_blocked = false;
        while !is_blocked && !self.load_queue.is_empty() && self.load_grants.is_available(now) {
            is_blocked = !self.order_first_load(now, actions);
        }
        self.plan_replica(now, actions);
        let may_run_unknown = self.engines.values().any(|engine| engine.has_unknown(now));
        if may_run_unknown && !self.load_queue.is_empty() && !self.has_target(now) {
            self.quiesce_for_load(now, actions);
        }
        let wanted = self.load_queue.len() + usize::from(!self.replica_candidates.is_empty());
        let wanted = if is_blocked { 0 } else { wanted as u32 };
        let interval = self.settings.retry_interval;
        if wanted == 0 {
            self.load_grants.return_all(actions);
        } else if self.load_grants.is_due(now, wanted, interval) && self.has_target(now) {
            self.load_grants.request(now, wanted, actions);
        }
    }

    /// Returns whether any engine could take the first load of the queue.
    fn has_target(&self, now: clock::MonotonicTime) -> bool {
        let Some(entry) = self.load_queue.iter().next() else {
            return true;
        };
        self.target_selector(now).has_target(&entry.item)
    }

    pub(crate) fn target_selector(
        &self,
        now: clock::MonotonicTime,
    ) -> eviction::TargetSelector<'_> {
        eviction::TargetSelector {
            now,
            engines: &self.engines,
            half_life: self.settings.popularity_half_life,
            replica_counts: &self.replica_counts,
            restricted: self.lease.is_some_and(|lease| lease.restricted),
            packing: self.settings.packing,
        }
    }

    fn queue_due_retries(&mut self, now: clock::MonotonicTime) {
        while let Some((at, _)) = self.retries.first() {
            if *at > now {
                return;
            }
            if let Some((_, adapter)) = self.retries.pop_first() {
                self.queue_load(&adapter);
            }
        }
    }

    /// Orders the first load of the fair queue; returns whether it was possible.
    fn order_first_load(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) -> bool {
        let selector = eviction::TargetSelector {
            now,
            engines: &self.engines,
            half_life: self.settings.popularity_half_life,
            replica_counts: &self.replica_counts,
            restricted: self.lease.is_some_and(|lease| lease.restricted),
            packing: self.settings.packing,
        };
        let demands = &self.demands;
        let mut choice = None;
        let mut is_tried = false;
        let entry = self.load_queue.pop_where(now, |entry| {
            if mem::replace(&mut is_tried, true) {
                return false;
            }
            let avoided = demands.get(&entry.item).and_then(|demand| demand.failed_on.as_ref());
            choice = selector.choose(&entry.item, avoided);
            choice.is_some()
        });
        let (Some(entry), Some(target)) = (entry, choice) else {
            return false;
        };
        if let Some(demand) = self.demands.get_mut(&entry.item) {
            demand.queued_as = None;
            demand.ordered = true;
        }
        self.counters.demand_loads += 1;
        self.order_load(now, entry.item, target, actions)
    }

    /// Schedules a retry of a failed load with exponential backoff, or refuses the waiting requests
    /// after the last attempt.
    pub(crate) fn retry_load(
        &mut self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
        engine: name::UpstreamName,
        actions: &mut CellActions,
    ) {
        let Some(demand) = self.demands.get_mut(adapter) else {
            return;
        };
        demand.ordered = false;
        demand.failures += 1;
        demand.failed_on = Some(engine);
        if demand.failures < self.settings.load_attempts {
            let pause = self.settings.load_backoff * (1 << (demand.failures - 1).min(8));
            self.retries.insert((now + pause, adapter.clone()));
            return;
        }
        let hold = self.settings.failed_load_cooldown;
        self.failed_loads.insert(adapter.clone(), now + hold);
        for wait in self.take_waiters(adapter) {
            let reason =
                placement::PermitRefusalReason::Refused(refusal::RefusalReason::LoadFailed);
            actions.push(cell::refuse(&wait, reason, hold));
        }
    }

    /// Readmits all requests that wait for a load of the adapter.
    pub(crate) fn readmit_waiters(
        &mut self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
        actions: &mut CellActions,
    ) {
        for wait in self.take_waiters(adapter) {
            self.admit(now, wait, actions);
        }
    }

    /// Removes a demand and returns its waiting requests in order of arrival.
    fn take_waiters(&mut self, adapter: &adapter::AdapterVersion) -> Vec<engine::WaitingPermit> {
        let Some(demand) = self.demands.remove(adapter) else {
            return Vec::new();
        };
        if let Some(request) = demand.queued_as {
            self.load_queue.cancel(request);
        }
        self.retries.retain(|(_, retried)| retried != adapter);
        let waiters = demand.waiters.into_iter();
        waiters.filter_map(|request| self.take_wait(request)).collect()
    }

    fn take_wait(&mut self, request: id::RequestId) -> Option<engine::WaitingPermit> {
        let wait = self.waits.remove(&request)?;
        self.deadlines.remove(&(wait.deadline, request));
        Some(wait)
    }
}

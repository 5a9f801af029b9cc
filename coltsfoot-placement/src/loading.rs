//! Loads: one for all requests that wait for an adapter, within the budget, with bounded retries.

use std::mem;
use std::time;

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

use crate::cell::{self, CellActions, EngineCell};
use crate::engine;
use crate::event;
use crate::eviction;

/// Tokens that a load is charged with in the fair queue for loads.
const LOAD_TOKENS: u64 = 1024;

/// Requests that wait for one adapter to be loaded.
#[derive(Debug, Default)]
pub(crate) struct LoadDemand {
    waiters: SmallVec<[id::RequestId; 4]>,
    /// Request under which the demand stands in the load queue.
    queued_as: Option<id::RequestId>,
    /// Whether a load is on its way.
    ordered: bool,
    failures: u32,
    /// Engine on which the last try failed.
    failed_on: Option<name::UpstreamName>,
}

/// An order that an engine has not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct RunningOrder {
    pub(crate) engine: name::UpstreamName,
    pub(crate) adapter: adapter::AdapterVersion,
    pub(crate) step: OrderStep,
    /// Generation of the engine when the order was sent.
    pub(crate) generation: Option<u64>,
}

/// What an order does.
#[derive(Clone, Debug)]
pub(crate) enum OrderStep {
    /// Loads the adapter.
    Load {
        /// Leave of the load ledger.
        grant: placement::LoadGrantId,
    },
    /// Unloads the adapter to make room for another.
    Evict {
        /// The adapter to load then.
        successor: adapter::AdapterVersion,
        /// Leave of the load ledger.
        grant: placement::LoadGrantId,
    },
    /// Unloads an adapter that the cell has no slot for.
    Clear,
}

impl EngineCell {
    /// Adds a request to those that wait for its adapter, or refuses it while loads of it fail.
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
        wait.place = engine::WaitingPlace::Load;
        let adapter = wait.demand.adapter.clone();
        let demand = self.demands.entry(adapter.clone()).or_default();
        demand.waiters.push(wait.attempt.request);
        let is_first = demand.waiters.len() == 1 && !demand.ordered;
        self.insert_wait(wait);
        if is_first {
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

    /// Puts a demand into the load queue under its first waiting request.
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

    /// Takes a request out of the demand that it waits for.
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

    /// Orders the loads that the budget and the engines allow, and asks for more budget.
    pub(crate) fn plan_loads(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        self.queue_due_retries(now);
        let mut is_blocked = false;
        while !is_blocked && !self.load_queue.is_empty() && self.budget.is_available(now) {
            is_blocked = !self.order_first_load(now, actions);
        }
        self.plan_replica(now, actions);
        let wanted = self.load_queue.len() + usize::from(!self.replicas.is_empty());
        let wanted = if is_blocked { 0 } else { wanted as u32 };
        let interval = self.settings.repeat_interval;
        if wanted == 0 {
            self.budget.give_back(actions);
        } else if self.budget.is_due(now, wanted, interval) && self.has_place(now) {
            self.budget.request(now, wanted, actions);
        }
    }

    /// Returns whether some engine could take the load that is first in fair order.
    fn has_place(&self, now: clock::MonotonicTime) -> bool {
        let Some(entry) = self.load_queue.iter().next() else {
            return true;
        };
        let chooser = eviction::PlaceChooser {
            now,
            engines: &self.engines,
            half_life: self.settings.popularity_half_life,
            copies: &self.copies,
            restricted: self.lease.is_some_and(|lease| lease.restricted),
            packing: self.settings.packing,
        };
        chooser.has_place(&entry.item)
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

    /// Orders the load that is first in fair order; returns whether it was possible.
    fn order_first_load(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) -> bool {
        let chooser = eviction::PlaceChooser {
            now,
            engines: &self.engines,
            half_life: self.settings.popularity_half_life,
            copies: &self.copies,
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
            choice = chooser.choose(&entry.item, avoided);
            choice.is_some()
        });
        let (Some(entry), Some(place)) = (entry, choice) else {
            return false;
        };
        if let Some(demand) = self.demands.get_mut(&entry.item) {
            demand.queued_as = None;
            demand.ordered = true;
        }
        self.counters.demand_loads += 1;
        self.order_load(now, entry.item, place, actions)
    }

    /// Orders one further replica of a hot adapter, if no request waits for a load and the evicted
    /// adapter is less popular than the replica's part.
    fn plan_replica(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        if !self.load_queue.is_empty() || !self.budget.is_available(now) {
            return;
        }
        let Some(adapter) = self.replicas.pop_first() else {
            return;
        };
        if !self.needs_replica(now, &adapter) {
            return;
        }
        let chooser = eviction::PlaceChooser {
            now,
            engines: &self.engines,
            half_life: self.settings.popularity_half_life,
            copies: &self.copies,
            restricted: self.lease.is_some_and(|lease| lease.restricted),
            packing: self.settings.packing,
        };
        let Some(place) = chooser.choose(&adapter, None) else {
            return;
        };
        let copies = self.engines.values().filter(|engine| engine.holds(&adapter)).count();
        let gain = self.popularity.get(now, &adapter) / (1 + copies).pow(2) as f64;
        if place.victim.as_ref().is_some_and(|victim| victim.score >= gain) {
            return;
        }
        self.counters.replica_loads += 1;
        self.order_load(now, adapter, place, actions);
    }

    /// Returns whether all engines that hold the adapter are nearly full or can't be used, and no
    /// replica is on its way.
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

    /// Sends the first order of a load; returns false if the budget ran out meanwhile.
    fn order_load(
        &mut self,
        now: clock::MonotonicTime,
        adapter: adapter::AdapterVersion,
        place: eviction::LoadPlace,
        actions: &mut CellActions,
    ) -> bool {
        let Some(grant) = self.budget.take(now, actions) else {
            return false;
        };
        let Some(victim) = place.victim else {
            self.send_load(now, place.engine, adapter, grant, actions);
            return true;
        };
        let Some(state) = self.engines.get_mut(&place.engine) else {
            return false;
        };
        assert!(state.is_evictable(now, &victim.adapter), "a pinned adapter is never evicted");
        state.resident.remove(&victim.adapter);
        state.unloading.insert(victim.adapter.clone());
        state.reserved.insert(adapter.clone());
        self.counters.evictions += 1;
        let step = OrderStep::Evict { successor: adapter, grant };
        self.send_order(now, place.engine, victim.adapter, step, actions);
        true
    }

    fn send_load(
        &mut self,
        now: clock::MonotonicTime,
        engine: name::UpstreamName,
        adapter: adapter::AdapterVersion,
        grant: placement::LoadGrantId,
        actions: &mut CellActions,
    ) {
        if let Some(state) = self.engines.get_mut(&engine) {
            state.loading.insert(adapter.clone());
        }
        self.send_order(now, engine, adapter, OrderStep::Load { grant }, actions);
    }

    pub(crate) fn send_order(
        &mut self,
        now: clock::MonotonicTime,
        engine: name::UpstreamName,
        adapter: adapter::AdapterVersion,
        step: OrderStep,
        actions: &mut CellActions,
    ) {
        let Some(fencing) = self.fencing(now) else {
            return;
        };
        let id = event::OrderId(self.next_order);
        self.next_order += 1;
        let order =
            event::EngineOrder { id, engine: engine.clone(), adapter: adapter.clone(), fencing };
        actions.push(match &step {
            OrderStep::Load { .. } => event::CellAction::Load { order },
            OrderStep::Evict { .. } | OrderStep::Clear => event::CellAction::Unload { order },
        });
        let generation = self.engines.get(&engine).and_then(|state| state.generation);
        self.orders.insert(id, RunningOrder { engine, adapter, step, generation });
    }

    /// Takes the end of an unload, and loads the adapter that it made room for.
    pub(crate) fn end_unload(
        &mut self,
        now: clock::MonotonicTime,
        id: event::OrderId,
        outcome: event::OrderOutcome,
        actions: &mut CellActions,
    ) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        let is_current = self.settle_order(now, &order);
        let is_done = outcome == event::OrderOutcome::Done;
        if let Some(state) = self.engines.get_mut(&order.engine) {
            let is_stray = matches!(order.step, OrderStep::Clear);
            let leaving = if is_stray { &mut state.strays } else { &mut state.unloading };
            leaving.remove(&order.adapter);
            if let OrderStep::Evict { successor, .. } = &order.step {
                state.reserved.remove(successor);
            }
            if !is_done && is_current && !is_stray {
                let count = self.popularity.count_of(&order.adapter);
                state.add_resident(now, order.adapter.clone(), count);
            }
        }
        self.check_fenced(outcome);
        let OrderStep::Evict { successor, grant } = order.step else {
            return;
        };
        let is_usable = self.engines.get(&order.engine).is_some_and(|state| state.is_usable(now));
        if is_done && is_current && is_usable && self.fencing(now).is_some() {
            self.send_load(now, order.engine, successor, grant, actions);
            return;
        }
        actions.push(event::CellAction::ReturnLoad { grant, used: false });
        self.retry_load(now, &successor, order.engine, actions);
    }

    /// Takes the end of a load: gives permits to all that waited for it, or tries again.
    pub(crate) fn end_load(
        &mut self,
        now: clock::MonotonicTime,
        id: event::OrderId,
        outcome: event::OrderOutcome,
        actions: &mut CellActions,
    ) {
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        let is_current = self.settle_order(now, &order);
        if let OrderStep::Load { grant } = order.step {
            actions.push(event::CellAction::ReturnLoad { grant, used: true });
        }
        self.check_fenced(outcome);
        let is_done = outcome == event::OrderOutcome::Done && is_current;
        if let Some(state) = self.engines.get_mut(&order.engine) {
            state.loading.remove(&order.adapter);
            if is_done {
                let count = self.popularity.count_of(&order.adapter);
                state.add_resident(now, order.adapter.clone(), count);
            }
        }
        if is_done {
            self.failed_loads.remove(&order.adapter);
            self.readmit_waiters(now, &order.adapter, actions);
            return;
        }
        self.counters.failed_loads += 1;
        self.retry_load(now, &order.adapter, order.engine, actions);
    }

    /// Notes when the order ended; returns whether the engine is still the run that it was for.
    fn settle_order(&mut self, now: clock::MonotonicTime, order: &RunningOrder) -> bool {
        let Some(state) = self.engines.get_mut(&order.engine) else {
            return false;
        };
        state.settled.insert(order.adapter.clone(), now);
        state.generation == order.generation
    }

    fn check_fenced(&mut self, outcome: event::OrderOutcome) {
        if outcome == event::OrderOutcome::Fenced {
            self.lease = None;
        }
    }

    /// Tries a load again after a pause, or refuses all that wait for it after the last try.
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
        let hold = self.settings.failed_load_hold;
        self.failed_loads.insert(adapter.clone(), now + hold);
        for wait in self.take_waiters(adapter) {
            let reason =
                placement::PermitRefusalReason::Refused(refusal::RefusalReason::LoadFailed);
            actions.push(cell::refuse(&wait, reason, hold));
        }
    }

    /// Admits again all requests that wait for a load of the adapter.
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

    /// Ends a demand and returns its waiting requests, in order of arrival.
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

impl RunningOrder {
    /// Returns whether the adapter will be loaded by this order or by the one that follows it.
    pub(crate) fn loads(&self, adapter: &adapter::AdapterVersion) -> bool {
        match &self.step {
            OrderStep::Load { .. } => self.adapter == *adapter,
            OrderStep::Evict { successor, .. } => successor == adapter,
            OrderStep::Clear => false,
        }
    }
}

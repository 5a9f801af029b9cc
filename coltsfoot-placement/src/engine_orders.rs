//! Load and unload orders to engines, and their completion.

use coltsfoot_types::{adapter, name, time as clock};
use coltsfoot_wire::placement;

use crate::cell::{CellActions, EngineCell};
use crate::event;
use crate::eviction;

/// An order that the engine has not completed yet.
#[derive(Clone, Debug)]
pub(crate) struct RunningOrder {
    pub(crate) engine: name::UpstreamName,
    pub(crate) adapter: adapter::AdapterVersion,
    pub(crate) step: OrderStep,
    /// Generation of the engine when the order was sent.
    pub(crate) generation: Option<u64>,
}

/// Purpose of an order.
#[derive(Clone, Debug)]
pub(crate) enum OrderStep {
    /// Loads the adapter.
    Load {
        /// Grant of the load ledger.
        grant: placement::LoadGrantId,
    },
    /// Unloads the adapter to free its slot for another.
    Evict {
        /// The adapter to load next.
        successor: adapter::AdapterVersion,
        /// Grant of the load ledger.
        grant: placement::LoadGrantId,
    },
    /// Unloads a reported adapter beyond the known slots.
    UnloadExcess,
}

impl EngineCell {
    /// Orders the load, or the eviction that precedes it; returns false if no grant is left or the
    /// engine was removed.
    pub(crate) fn order_load(
        &mut self,
        now: clock::MonotonicTime,
        adapter: adapter::AdapterVersion,
        target: eviction::LoadTarget,
        actions: &mut CellActions,
    ) -> bool {
        let Some(grant) = self.load_grants.take(now, actions) else {
            return false;
        };
        let Some(victim) = target.victim else {
            self.send_load(now, target.engine, adapter, grant, actions);
            return true;
        };
        let Some(state) = self.engines.get_mut(&target.engine) else {
            return false;
        };
        assert!(state.is_evictable(now, &victim.adapter), "evicted adapter is still in use");
        state.resident.remove(&victim.adapter);
        state.unloading.insert(victim.adapter.clone());
        state.reserved.insert(adapter.clone());
        self.counters.evictions += 1;
        let step = OrderStep::Evict { successor: adapter, grant };
        self.send_order(now, target.engine, victim.adapter, step, actions);
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
            OrderStep::Evict { .. } | OrderStep::UnloadExcess => {
                event::CellAction::Unload { order }
            }
        });
        let generation = self.engines.get(&engine).and_then(|state| state.generation);
        self.orders.insert(id, RunningOrder { engine, adapter, step, generation });
    }

    /// Completes an unload and orders the load that it freed the slot for.
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
        let is_current = self.record_order_end(now, &order);
        let is_done = outcome == event::OrderOutcome::Done;
        if let Some(state) = self.engines.get_mut(&order.engine) {
            let is_excess = matches!(order.step, OrderStep::UnloadExcess);
            let leaving = if is_excess { &mut state.excess } else { &mut state.unloading };
            leaving.remove(&order.adapter);
            if let OrderStep::Evict { successor, .. } = &order.step {
                state.reserved.remove(successor);
            }
            if !is_done && is_current && !is_excess {
                let count = self.popularity.count_of(&order.adapter);
                state.add_resident(now, order.adapter.clone(), count);
            }
        }
        self.drop_lease_if_fenced(outcome);
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

    /// Completes a load: admits the requests that waited for it, or retries it.
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
        let is_current = self.record_order_end(now, &order);
        if let OrderStep::Load { grant } = order.step {
            actions.push(event::CellAction::ReturnLoad { grant, used: true });
        }
        self.drop_lease_if_fenced(outcome);
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

    /// Records when the order ended; returns whether the engine has not restarted since it was
    /// sent.
    fn record_order_end(&mut self, now: clock::MonotonicTime, order: &RunningOrder) -> bool {
        let Some(state) = self.engines.get_mut(&order.engine) else {
            return false;
        };
        state.recent_orders.insert(order.adapter.clone(), now);
        state.generation == order.generation
    }

    fn drop_lease_if_fenced(&mut self, outcome: event::OrderOutcome) {
        if outcome == event::OrderOutcome::Fenced {
            self.lease = None;
        }
    }
}

impl RunningOrder {
    /// Returns whether the adapter is loaded by this order or by its successor.
    pub(crate) fn loads(&self, adapter: &adapter::AdapterVersion) -> bool {
        match &self.step {
            OrderStep::Load { .. } => self.adapter == *adapter,
            OrderStep::Evict { successor, .. } => successor == adapter,
            OrderStep::UnloadExcess => false,
        }
    }
}

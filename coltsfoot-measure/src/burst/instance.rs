//! A gateway of the model: its view, the desks of the engines it owns, and its beats.

use std::collections::BTreeMap;
use std::time;

use coltsfoot_gateway::{engine_controller, engine_order, fleet_view, send_permits};
use coltsfoot_wire::fleet;

use crate::burst::engine;
use crate::fleet_model::{self, at};

/// Who asked for an adapter: an instance, and one of its requests.
pub type ModelAsker = (usize, usize);

/// One instance.
pub struct ModelInstance {
    pub number: usize,
    pub zone: String,
    pub view: fleet_view::FleetView,
    /// Desks of the engines owned, by the engine's place in the model.
    pub desks: BTreeMap<usize, engine_controller::EngineController<ModelAsker>>,
    sequence: u64,
}

impl ModelInstance {
    /// Creates an instance that knows the upstreams and owns some of them.
    pub fn new(number: usize, zone: String, view: fleet_view::FleetView, owned: &[usize]) -> Self {
        let desk = || engine_controller::EngineController::new("m".into(), engine::PLACES);
        let desks = owned.iter().map(|engine| (*engine, desk())).collect();
        Self { number, zone, view, desks, sequence: 0 }
    }

    /// Returns what the others are told now.
    pub fn beat(&mut self, now: u64, ids: &[std::sync::Arc<str>]) -> fleet::FleetHeartbeat {
        self.sequence += 1;
        let engines: Vec<_> =
            self.desks.keys().map(|place| self.describe(now, *place, ids)).collect();
        for engine in &engines {
            self.view.apply_own_engine(at(now), engine);
        }
        for id in ids {
            self.view.record_activity(at(now), id);
        }
        let fetching = self.fetching(now);
        let queued_fetches: u32 = self.desks.values().map(|desk| desk.queued_fetches()).sum();
        self.view.set_own_backlog(fetching + queued_fetches);
        let pace = self.view.fetch_limiter().clone();
        fleet::FleetHeartbeat {
            fetching: fetching as u16,
            queued_fetches: queued_fetches as u16,
            fetch_limit_tenths: pace.limit_tenths(),
            fetch_ms: pace.message_fetch_ms(),
            work: self.view.local_work(),
            adapter_usage: self.view.adapter_usage(true),
            engines: Some(engines),
            ..fleet_model::idle_beat(self.number as u64, self.number, &self.zone, self.sequence)
        }
    }

    fn describe(&self, now: u64, place: usize, ids: &[std::sync::Arc<str>]) -> fleet::OwnedEngine {
        let slot = self.view.upstream(&ids[place]).expect("known");
        let in_use = |key| slot.is_in_use(at(now), key);
        let fetches = self.view.fetch_load(self.view.fetch_backlog());
        self.desks[&place].describe(at(now), slot.number, 1, true, fetches, in_use)
    }

    /// Returns the adapters on their way to the engines owned.
    pub fn fetching(&self, now: u64) -> u32 {
        self.desks.values().map(|desk| desk.fetching(at(now))).sum()
    }

    /// Returns the next step of the desk of an engine owned.
    pub fn next_step(&mut self, now: u64, place: usize, id: &str) -> engine_order::ControllerStep {
        let own = self.fetching(now);
        let may_fetch = self.view.fetch_load(own + self.view.fetching()).may_fetch(own);
        let slot = self.view.upstream(id).expect("known");
        let limit = self.view.limits().limit(at(now), slot.number);
        let leave = engine_order::OrderConstraints {
            may_order: true,
            may_fetch,
            min_report_interval: limit.map_or(time::Duration::ZERO, send_permits::report_interval),
        };
        let desk = self.desks.get_mut(&place).expect("owned");
        let in_use = |key| slot.is_in_use(at(now), key);
        desk.next_step(at(now), leave, in_use, |_| None)
    }

    /// Returns the order of a step, or takes the report that it asks for.
    pub fn carry_out(
        &mut self,
        now: u64,
        place: usize,
        step: engine_order::ControllerStep,
        engine: &engine::ModelEngine,
    ) -> Option<engine_order::EngineOrder> {
        match step {
            engine_order::ControllerStep::Order { order, .. } => Some(order),
            engine_order::ControllerStep::Report => {
                let desk = self.desks.get_mut(&place).expect("owned");
                desk.report_ended(at(now), Some(&engine.report(now)));
                None
            }
            engine_order::ControllerStep::Wait(_) => None,
        }
    }

    /// Notes that an engine owned takes no orders for a while.
    pub fn pause(&mut self, now: u64, place: usize, wait: time::Duration) {
        self.desks.get_mut(&place).expect("owned").pause(at(now) + wait);
    }
}

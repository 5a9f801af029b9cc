//! Test harness: an engine cell whose actions are collected and whose orders the test completes.
#![allow(dead_code)]

use std::collections;
use std::time;

use coltsfoot_placement::cell::{CellActions, EngineCell};
use coltsfoot_placement::event::{self, CellAction, CellEvent};
use coltsfoot_placement::settings;
use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::placement;

/// A cell under test and the actions that it returned.
pub struct TestCell {
    pub cell: EngineCell,
    pub now: clock::MonotonicTime,
    /// Uncompleted load orders, oldest first; `unloads` likewise.
    pub loads: collections::VecDeque<event::EngineOrder>,
    pub unloads: collections::VecDeque<event::EngineOrder>,
    /// Granted permits, oldest first.
    pub grants: Vec<placement::PermitGrant>,
    pub refusals: Vec<placement::PermitRefusal>,
    pub report_requests: Vec<String>,
    pub returned: Vec<bool>,
    /// Whether requested loads are granted immediately.
    pub auto_grant: bool,
    pub fencing: u64,
    next_grant: u64,
    next_request: u128,
}

impl TestCell {
    /// Creates an owned cell with engines `e0`, `e1`... that have reported.
    pub fn new(engines: usize, slots: u32, batch_size: u32) -> Self {
        Self::with_settings(engines, slots, batch_size, settings::CellSettings::default())
    }

    pub fn with_settings(
        engines: usize,
        slots: u32,
        batch_size: u32,
        settings: settings::CellSettings,
    ) -> Self {
        let mut test = Self {
            cell: EngineCell::new(settings),
            now: clock::MonotonicTime(1_000_000),
            loads: collections::VecDeque::new(),
            unloads: collections::VecDeque::new(),
            grants: Vec::new(),
            refusals: Vec::new(),
            report_requests: Vec::new(),
            returned: Vec::new(),
            auto_grant: true,
            fencing: 1,
            next_grant: 0,
            next_request: 0,
        };
        for index in 0..engines {
            let name = format!("e{index}").into();
            let engine =
                event::EngineListing { name, slots, batch_size, checks_fencing: index % 2 == 0 };
            test.send(CellEvent::EngineListed { engine });
        }
        test.gain_ownership(&[], false);
        for index in 0..engines {
            test.report(&format!("e{index}"), 1, 0, &[]);
        }
        test
    }

    pub fn gain_ownership(&mut self, reporters: &[&str], unknown_permits: bool) {
        self.gain_ownership_with_lease(reporters, unknown_permits, 600, false);
    }

    pub fn gain_ownership_with_lease(
        &mut self,
        reporters: &[&str],
        unknown_permits: bool,
        seconds: u64,
        restricted: bool,
    ) {
        self.fencing += 1;
        let lease = event::CellLease {
            fencing: id::FencingNumber(self.fencing),
            active_from: self.now,
            until: self.now + time::Duration::from_secs(seconds),
            restricted,
        };
        let reporters = reporters.iter().map(|name| (*name).into()).collect();
        self.send(CellEvent::OwnershipGained { lease, reporters, unknown_permits });
    }

    pub fn send(&mut self, event: CellEvent) {
        let actions = self.cell.handle(self.now, event);
        self.take(actions);
    }

    fn take(&mut self, actions: CellActions) {
        for action in actions {
            match action {
                CellAction::Grant { grant, .. } => self.grants.push(grant),
                CellAction::Refuse { refusal, .. } => self.refusals.push(refusal),
                CellAction::Load { order } => self.loads.push_back(order),
                CellAction::Unload { order } => self.unloads.push_back(order),
                CellAction::RequestReport { instance, .. } => {
                    self.report_requests.push(instance.to_string());
                }
                CellAction::RequestLoads { wanted } if self.auto_grant => self.grant_loads(wanted),
                CellAction::RequestLoads { .. } => {}
                CellAction::ReturnLoad { used, .. } => self.returned.push(used),
            }
        }
    }

    pub fn grant_loads(&mut self, loads: u32) {
        for _ in 0..loads {
            let grant = placement::LoadGrantId {
                zone: "rennes".into(),
                fencing: id::FencingNumber(1),
                sequence: self.next_grant,
            };
            self.next_grant += 1;
            let start_within = time::Duration::from_secs(2);
            self.send(CellEvent::LoadGranted { grant, start_within });
        }
    }

    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now = self.now + time::Duration::from_millis(50);
            self.send(CellEvent::Tick);
        }
    }

    pub fn report(&mut self, engine: &str, generation: u64, running: u32, resident: &[&str]) {
        let resident = resident.iter().map(|text| text.parse().unwrap()).collect();
        let active = None;
        let report = event::EngineReport { generation, running, waiting: 0, resident, active };
        self.send(CellEvent::EngineReported { engine: engine.into(), report });
    }

    /// Requests a permit for the adapter and returns the attempt.
    pub fn want(&mut self, adapter: &str) -> id::AttemptId {
        self.want_from("a", "acme", adapter)
    }

    pub fn want_from(&mut self, instance: &str, customer: &str, adapter: &str) -> id::AttemptId {
        self.next_request += 1;
        let attempt = id::AttemptId { request: id::RequestId(self.next_request), number: 0 };
        let demand = Self::demand(attempt, customer, adapter);
        self.send(CellEvent::PermitRequested { instance: instance.into(), demand });
        attempt
    }

    pub fn demand(
        attempt: id::AttemptId,
        customer: &str,
        adapter: &str,
    ) -> placement::PermitDemand {
        placement::PermitDemand {
            attempt,
            customer: customer.into(),
            weight: 1,
            priority: 0,
            adapter: adapter.parse().unwrap(),
            estimated_tokens: 100,
            time_left: time::Duration::from_secs(30),
        }
    }

    pub fn release(&mut self, attempt: id::AttemptId, outcome: placement::AttemptOutcome) {
        let release = placement::PermitRelease { attempt, outcome };
        self.send(CellEvent::PermitReleased { instance: "a".into(), release });
    }

    pub fn answer(&mut self, attempt: id::AttemptId) {
        let duration = time::Duration::from_secs(3);
        self.release(attempt, placement::AttemptOutcome::Answered { output_tokens: 100, duration });
    }

    /// Completes the oldest load order.
    pub fn end_load(&mut self, outcome: event::OrderOutcome) -> event::EngineOrder {
        let order = self.loads.pop_front().expect("no load in progress");
        self.send(CellEvent::LoadEnded { order: order.id, outcome });
        order
    }

    /// Completes the oldest unload order.
    pub fn end_unload(&mut self, outcome: event::OrderOutcome) -> event::EngineOrder {
        let order = self.unloads.pop_front().expect("no unload in progress");
        self.send(CellEvent::UnloadEnded { order: order.id, outcome });
        order
    }

    /// Completes all orders successfully, until none is left.
    pub fn settle(&mut self) {
        while !self.loads.is_empty() || !self.unloads.is_empty() {
            if self.loads.is_empty() {
                self.end_unload(event::OrderOutcome::Done);
            } else {
                self.end_load(event::OrderOutcome::Done);
            }
        }
    }

    /// Loads an adapter and completes one request with it.
    pub fn warm(&mut self, adapter: &str) {
        let attempt = self.want(adapter);
        self.settle();
        assert!(self.granted(attempt).is_some(), "{adapter} was not loaded");
        self.answer(attempt);
    }

    pub fn granted(&self, attempt: id::AttemptId) -> Option<&placement::PermitGrant> {
        self.grants.iter().find(|grant| grant.attempt == attempt)
    }

    pub fn refused(&self, attempt: id::AttemptId) -> Option<placement::PermitRefusalReason> {
        let refusal = self.refusals.iter().find(|refusal| refusal.attempt == attempt)?;
        Some(refusal.reason)
    }

    pub fn holds(&self, engine: &str, adapter: &str) -> bool {
        self.cell.is_resident(&engine.into(), &adapter.parse().unwrap())
    }
}

//! The system's own decisions: an agent and a ledger for each zone, and one cell of engines.

use std::collections;
use std::time;

use coltsfoot_placement::agent::{self, AgentAction, AgentEvent};
use coltsfoot_placement::budget::{self, LedgerAction, LedgerEvent};
use coltsfoot_placement::cell;
use coltsfoot_placement::event::{self, CellAction, CellEvent};
use coltsfoot_placement::settings;
use coltsfoot_types::{adapter, id, time as clock};
use coltsfoot_wire::placement::{self, PlacementMessage};

use super::engine_model::{self, EngineProgress};
use super::event_queue;
use super::store_model;
use super::tally;
use super::trace;
use super::workload;

/// Delay between two instances of a zone or an instance and an engine, in microseconds.
const LOCAL_DELAY_US: u64 = 150;
/// Time of an unload, in microseconds.
const UNLOAD_US: u64 = 5_000;
/// Interval of the decisions' ticks, in microseconds.
const TICK_US: u64 = 50_000;
/// Time that an answer may take, in seconds.
const TIME_LEFT_S: u64 = 300;
/// Name of the base model.
const BASE_MODEL: &str = "base";

/// Variations of the policies, for comparison.
#[derive(Clone, Debug, Default)]
pub struct FleetPolicy {
    /// Settings of the cells.
    pub cell: settings::CellSettings,
    /// Whether each zone serves only its own requests.
    pub zones_apart: bool,
}

#[derive(Debug)]
enum FleetEvent {
    Arrival(usize),
    ToCell { zone: usize, event: Box<CellEvent> },
    ToAgent { zone: usize, event: Box<AgentEvent> },
    ToLedger { zone: usize, event: LedgerEvent },
    Dispatch { engine: usize, attempt: id::AttemptId, adapter: usize, agent: usize },
    Unloaded { engine: usize, adapter: usize, order: event::OrderId, generation: u64 },
    Engine { engine: usize, version: u64 },
    Store { version: u64 },
    Report,
    Tick,
    Restart,
}

#[derive(Debug)]
struct SimEngine {
    model: engine_model::EngineModel,
    resident: collections::BTreeSet<usize>,
    generation: u64,
    /// Attempt, adapter and agent of each running request.
    running: collections::BTreeMap<usize, RunningAttempt>,
}

#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    attempt: id::AttemptId,
    adapter: usize,
    agent: usize,
    started_us: u64,
}

#[derive(Debug)]
struct StoreLoad {
    engine: usize,
    adapter: usize,
    order: event::OrderId,
    generation: u64,
}

struct FleetRun<'a> {
    workload: &'a workload::PlacementWorkload,
    trace: &'a trace::RequestTrace,
    queue: event_queue::EventQueue<FleetEvent>,
    adapters: Vec<adapter::AdapterVersion>,
    numbers: collections::BTreeMap<adapter::AdapterVersion, usize>,
    cells: Vec<cell::EngineCell>,
    agents: Vec<agent::PermitAgent>,
    ledgers: Vec<budget::LoadLedger>,
    engines: Vec<SimEngine>,
    store: store_model::StoreModel,
    loads: collections::BTreeMap<u64, StoreLoad>,
    next_load: u64,
    tally: tally::RunTally,
}

/// Runs the trace; returns the counters of the cells, too.
pub fn run(
    workload: &workload::PlacementWorkload,
    trace: &trace::RequestTrace,
    policy: &FleetPolicy,
) -> (tally::RunTally, Vec<cell::CellCounters>) {
    let adapters: Vec<_> = (0..workload.adapters)
        .map(|number| adapter::AdapterVersion {
            adapter: format!("adapter-{number}").into(),
            version: 1,
        })
        .collect();
    let numbers = adapters.iter().cloned().zip(0..).collect();
    let zones = workload.zones.len();
    let engine = || SimEngine {
        model: engine_model::EngineModel::new(workload),
        resident: collections::BTreeSet::new(),
        generation: 1,
        running: collections::BTreeMap::new(),
    };
    let mut run = FleetRun {
        workload,
        trace,
        queue: event_queue::EventQueue::new(),
        adapters,
        numbers,
        cells: (0..zones).map(|_| cell::EngineCell::new(policy.cell.clone())).collect(),
        agents: (0..zones)
            .map(|_| agent::PermitAgent::new(settings::AgentSettings::default()))
            .collect(),
        ledgers: (0..zones).map(|zone| ledger(workload, zone)).collect(),
        engines: (0..workload.engines()).map(|_| engine()).collect(),
        store: store_model::StoreModel::new(workload, trace.slow),
        loads: collections::BTreeMap::new(),
        next_load: 0,
        tally: tally::RunTally::new(trace.requests.len()),
    };
    run.set_up(policy);
    run.run();
    run.tally.count_batches(workload, run.engines.iter().map(|engine| &engine.model));
    run.tally.loads = run.store.started;
    run.tally.peak_loads = run.store.peak;
    (run.tally, run.cells.iter().map(cell::EngineCell::counters).collect())
}

/// A zone's part of the store: equal parts, remainders to the first zones.
fn ledger(workload: &workload::PlacementWorkload, zone: usize) -> budget::LoadLedger {
    let zones = workload.zones.len();
    let peers = workload.zones.iter().enumerate().filter(|(other, _)| *other != zone);
    let parts = workload.loads_in_flight / zones as u32;
    let rest = workload.loads_in_flight % zones as u32;
    let settings = budget::LedgerSettings::builder()
        .zone(workload.zones[zone].as_str().into())
        .peers(peers.map(|(_, name)| name.as_str().into()).collect())
        .loads_in_flight(parts + u32::from((zone as u32) < rest))
        .loads_per_second(workload.loads_per_second / zones as f64)
        .build();
    budget::LoadLedger::new(settings)
}

impl FleetRun<'_> {
    fn set_up(&mut self, policy: &FleetPolicy) {
        let start = clock::MonotonicTime(0);
        for zone in 0..self.workload.zones.len() {
            for engine in self.engines_of(zone) {
                let listing = event::EngineListing {
                    name: engine_name(engine),
                    slots: self.workload.slots,
                    batch_size: self.workload.batch_size,
                    checks_fencing: true,
                };
                self.cells[zone].handle(start, CellEvent::EngineListed { engine: listing });
            }
            let lease = event::CellLease {
                fencing: id::FencingNumber(1),
                active_from: start,
                until: clock::MonotonicTime(u64::MAX),
                restricted: false,
            };
            let gained =
                CellEvent::OwnershipGained { lease, reporters: vec![], unknown_permits: false };
            self.cells[zone].handle(start, gained);
            let fencing = id::FencingNumber(1);
            self.ledgers[zone].handle(start, LedgerEvent::OwnershipGained { fencing });
            let routes = (0..self.workload.zones.len())
                .filter(|other| *other == zone || !policy.zones_apart)
                .map(|other| agent::CellRoute {
                    cell: self.cell_id(other),
                    owner: agent::CellOwner::Instance(self.workload.zones[other].as_str().into()),
                    is_local: other == zone,
                })
                .collect();
            self.agents[zone].handle(start, AgentEvent::RoutesChanged { routes });
        }
        for (request, drawn) in self.trace.requests.iter().enumerate() {
            self.queue.push(drawn.arrival_us, FleetEvent::Arrival(request));
        }
        if let Some(at) = self.trace.cold_at {
            self.queue.push(at, FleetEvent::Restart);
        }
        self.queue.push(0, FleetEvent::Report);
        self.queue.push(TICK_US, FleetEvent::Tick);
    }

    fn run(&mut self) {
        let end = (self.workload.duration_s + TIME_LEFT_S) * 1_000_000;
        while let Some((now, event)) = self.queue.pop() {
            if now > end {
                break;
            }
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: u64, event: FleetEvent) {
        match event {
            FleetEvent::Arrival(request) => self.arrive(now, request, 0),
            FleetEvent::ToCell { zone, event } => self.tell_cell(now, zone, *event),
            FleetEvent::ToAgent { zone, event } => self.tell_agent(now, zone, *event),
            FleetEvent::ToLedger { zone, event } => self.tell_ledger(now, zone, event),
            FleetEvent::Dispatch { engine, attempt, adapter, agent } => {
                self.start(now, engine, attempt, adapter, agent);
            }
            FleetEvent::Unloaded { engine, adapter, order, generation } => {
                self.end_unload(now, engine, adapter, order, generation);
            }
            FleetEvent::Engine { engine, version } => {
                if self.engines[engine].model.version == version {
                    self.progress(now, engine);
                }
            }
            FleetEvent::Store { version } => {
                if self.store.version == version {
                    self.end_loads(now);
                }
            }
            FleetEvent::Report => self.report(now),
            FleetEvent::Tick => self.tick(now),
            FleetEvent::Restart => self.restart(now),
        }
    }

    fn arrive(&mut self, now: u64, request: usize, number: u16) {
        let drawn = &self.trace.requests[request];
        let customer = drawn.adapter % self.workload.customers;
        let demand = placement::PermitDemand {
            attempt: id::AttemptId { request: id::RequestId(request as u128), number },
            customer: format!("customer-{customer}").as_str().into(),
            weight: 1,
            priority: 0,
            adapter: self.adapters[drawn.adapter].clone(),
            estimated_tokens: self.workload.prompt_tokens + drawn.output_tokens,
            time_left: time::Duration::from_secs(TIME_LEFT_S),
        };
        let event = AgentEvent::PermitRequested { base_model: BASE_MODEL.into(), demand };
        self.tell_agent(now, drawn.zone, event);
    }

    fn tell_agent(&mut self, now: u64, zone: usize, event: AgentEvent) {
        for action in self.agents[zone].handle(clock::MonotonicTime(now), event) {
            match action {
                AgentAction::Send { receiver, message } => {
                    self.send_to_owner(now, zone, receiver.as_str(), message);
                }
                AgentAction::Dispatch { attempt, engine, adapter, .. } => {
                    let engine = engine_number(engine.as_str());
                    let delay = self.delay(zone, engine / self.workload.engines_per_zone);
                    let adapter = self.numbers[&adapter];
                    let event = FleetEvent::Dispatch { engine, attempt, adapter, agent: zone };
                    self.queue.push(now + delay, event);
                }
                AgentAction::Refuse { .. } => self.tally.refused += 1,
            }
        }
    }

    fn send_to_owner(&mut self, now: u64, from: usize, to: &str, message: PlacementMessage) {
        let instance = self.workload.zones[from].as_str().into();
        let zone = self.zone_number(to);
        let event = match message {
            PlacementMessage::Request { demand, .. } => {
                CellEvent::PermitRequested { instance, demand }
            }
            PlacementMessage::Cancel { attempt, .. } => CellEvent::PermitCancelled { attempt },
            PlacementMessage::Release { release, .. } => {
                CellEvent::PermitReleased { instance, release }
            }
            _ => return,
        };
        let event = FleetEvent::ToCell { zone, event: Box::new(event) };
        self.queue.push(now + self.delay(from, zone), event);
    }

    fn tell_cell(&mut self, now: u64, zone: usize, event: CellEvent) {
        let wanted = match &event {
            CellEvent::PermitRequested { demand, .. } => Some(demand.attempt.request.0 as usize),
            _ => None,
        };
        let before = self.cells[zone].counters().load_stalls;
        let actions = self.cells[zone].handle(clock::MonotonicTime(now), event);
        if let Some(request) = wanted.filter(|_| self.cells[zone].counters().load_stalls > before) {
            self.tally.stall(request);
        }
        for action in actions {
            self.act(now, zone, action);
        }
    }

    fn act(&mut self, now: u64, zone: usize, action: CellAction) {
        match action {
            CellAction::Grant { instance, grant } => {
                self.tally.end_stall(now, grant.attempt.request.0 as usize, self.trace);
                let message = PlacementMessage::Grant { cell: self.cell_id(zone), grant };
                self.send_to_agent(now, zone, instance.as_str(), message);
            }
            CellAction::Refuse { instance, refusal } => {
                let message = PlacementMessage::Refusal { cell: self.cell_id(zone), refusal };
                self.send_to_agent(now, zone, instance.as_str(), message);
            }
            CellAction::Load { order } => self.load(now, order),
            CellAction::Unload { order } => self.unload(now, order),
            CellAction::RequestLoads { wanted } => {
                let event = LedgerEvent::LoadsRequested { cell: self.cell_id(zone), wanted };
                self.queue.push(now + LOCAL_DELAY_US, FleetEvent::ToLedger { zone, event });
            }
            CellAction::ReturnLoad { grant, used } => {
                let event = LedgerEvent::LoadReturned { grant, used };
                self.queue.push(now + LOCAL_DELAY_US, FleetEvent::ToLedger { zone, event });
            }
            CellAction::RequestReport { .. } => {}
        }
    }

    fn send_to_agent(&mut self, now: u64, from: usize, to: &str, message: PlacementMessage) {
        let zone = self.zone_number(to);
        let sender = self.workload.zones[from].as_str().into();
        let event = Box::new(AgentEvent::Received { message, sender });
        self.queue.push(now + self.delay(from, zone), FleetEvent::ToAgent { zone, event });
    }

    fn tell_ledger(&mut self, now: u64, zone: usize, event: LedgerEvent) {
        let name = self.workload.zones[zone].as_str();
        for action in self.ledgers[zone].handle(clock::MonotonicTime(now), event) {
            let (to, event) = match action {
                LedgerAction::Grant { grant, start_within, .. } => {
                    let event = Box::new(CellEvent::LoadGranted { grant, start_within });
                    self.queue.push(now + LOCAL_DELAY_US, FleetEvent::ToCell { zone, event });
                    continue;
                }
                LedgerAction::RequestLoan { zone: to, wanted } => {
                    (to, LedgerEvent::LoanRequested { zone: name.into(), wanted })
                }
                LedgerAction::ReturnLoan { zone: to, loads, used } => {
                    (to, LedgerEvent::LoanReturned { loads, used })
                }
                LedgerAction::GrantLoan { zone: to, loads, start_within } => {
                    (to, LedgerEvent::LoanGranted { zone: name.into(), loads, start_within })
                }
            };
            let to = self.zone_number(to.as_str());
            let at = now + self.delay(zone, to);
            self.queue.push(at, FleetEvent::ToLedger { zone: to, event });
        }
    }

    fn load(&mut self, now: u64, order: event::EngineOrder) {
        let engine = engine_number(order.engine.as_str());
        let adapter = self.numbers[&order.adapter];
        let generation = self.engines[engine].generation;
        let load = StoreLoad { engine, adapter, order: order.id, generation };
        self.loads.insert(self.next_load, load);
        self.store.start(now, self.next_load);
        self.next_load += 1;
        self.schedule_store();
    }

    fn unload(&mut self, now: u64, order: event::EngineOrder) {
        let engine = engine_number(order.engine.as_str());
        let adapter = self.numbers[&order.adapter];
        let state = &mut self.engines[engine];
        let is_pinned = state.running.values().any(|running| running.adapter == adapter);
        self.tally.evicted_while_pinned += u64::from(is_pinned);
        state.resident.remove(&adapter);
        let generation = state.generation;
        let event = FleetEvent::Unloaded { engine, adapter, order: order.id, generation };
        self.queue.push(now + UNLOAD_US, event);
    }

    fn end_unload(
        &mut self,
        now: u64,
        engine: usize,
        _adapter: usize,
        order: event::OrderId,
        generation: u64,
    ) {
        let is_current = self.engines[engine].generation == generation;
        let outcome =
            if is_current { event::OrderOutcome::Done } else { event::OrderOutcome::Failed };
        let zone = engine / self.workload.engines_per_zone;
        self.tell_cell(now, zone, CellEvent::UnloadEnded { order, outcome });
    }

    fn end_loads(&mut self, now: u64) {
        let ended = self.store.progress(now);
        self.schedule_store();
        for load in ended {
            let Some(load) = self.loads.remove(&load) else {
                continue;
            };
            let state = &mut self.engines[load.engine];
            let is_current = state.generation == load.generation
                && state.resident.len() < self.workload.slots as usize;
            if is_current {
                state.resident.insert(load.adapter);
            }
            let outcome =
                if is_current { event::OrderOutcome::Done } else { event::OrderOutcome::Failed };
            let zone = load.engine / self.workload.engines_per_zone;
            self.tell_cell(now, zone, CellEvent::LoadEnded { order: load.order, outcome });
        }
    }

    fn start(
        &mut self,
        now: u64,
        engine: usize,
        attempt: id::AttemptId,
        adapter: usize,
        agent: usize,
    ) {
        let request = attempt.request.0 as usize;
        let drawn = &self.trace.requests[request];
        let state = &mut self.engines[engine];
        if !state.resident.contains(&adapter) {
            self.end_attempt(now, engine, agent, attempt, placement::AttemptOutcome::NotResident);
            self.arrive(now, request, attempt.number + 1);
            return;
        }
        state.running.insert(request, RunningAttempt { attempt, adapter, agent, started_us: now });
        state.model.start(now, request, (adapter, drawn.prefix), drawn.output_tokens);
        self.schedule(engine);
    }

    fn end_attempt(
        &mut self,
        now: u64,
        engine: usize,
        agent: usize,
        attempt: id::AttemptId,
        outcome: placement::AttemptOutcome,
    ) {
        let release = placement::PermitRelease { attempt, outcome };
        let event = Box::new(AgentEvent::Ended { release });
        let delay = self.delay(agent, engine / self.workload.engines_per_zone);
        self.queue.push(now + delay, FleetEvent::ToAgent { zone: agent, event });
    }

    fn progress(&mut self, now: u64, engine: usize) {
        for progress in self.engines[engine].model.progress(now) {
            match progress {
                EngineProgress::FirstToken(request) => {
                    self.tally.fates[request].first_token_us.get_or_insert(now);
                }
                EngineProgress::Done(request) => self.end_request(now, engine, request),
            }
        }
        self.schedule(engine);
    }

    fn end_request(&mut self, now: u64, engine: usize, request: usize) {
        let Some(running) = self.engines[engine].running.remove(&request) else {
            return;
        };
        let drawn = &self.trace.requests[request];
        self.tally.wrong_adapter += u64::from(running.adapter != drawn.adapter);
        self.tally.fates[request].done_us = Some(now);
        let duration = time::Duration::from_micros(now - running.started_us);
        let outcome =
            placement::AttemptOutcome::Answered { output_tokens: drawn.output_tokens, duration };
        self.end_attempt(now, engine, running.agent, running.attempt, outcome);
    }

    fn restart(&mut self, now: u64) {
        for engine in 0..self.engines.len() {
            let state = &mut self.engines[engine];
            state.generation += 1;
            state.resident.clear();
            state.model.crash(now);
            for (request, running) in std::mem::take(&mut state.running) {
                let outcome = placement::AttemptOutcome::EngineFailed;
                self.end_attempt(now, engine, running.agent, running.attempt, outcome);
                self.arrive(now, request, running.attempt.number + 1);
            }
        }
    }

    fn report(&mut self, now: u64) {
        let lag = self.workload.report_lag_ms * 1000;
        for engine in 0..self.engines.len() {
            let state = &self.engines[engine];
            let resident = state.resident.iter();
            let report = event::EngineReport {
                generation: state.generation,
                running: state.model.running() as u32,
                waiting: 0,
                resident: resident.map(|adapter| self.adapters[*adapter].clone()).collect(),
                active: None,
            };
            let event = CellEvent::EngineReported { engine: engine_name(engine), report };
            let zone = engine / self.workload.engines_per_zone;
            let event = FleetEvent::ToCell { zone, event: Box::new(event) };
            let at = if now == 0 { 0 } else { now + lag };
            self.queue.push(at, event);
        }
        self.queue.push(now + self.workload.report_interval_ms * 1000, FleetEvent::Report);
    }

    fn tick(&mut self, now: u64) {
        for zone in 0..self.workload.zones.len() {
            self.tell_cell(now, zone, CellEvent::Tick);
            self.tell_agent(now, zone, AgentEvent::Tick);
            self.tell_ledger(now, zone, LedgerEvent::Tick);
        }
        self.queue.push(now + TICK_US, FleetEvent::Tick);
    }

    fn schedule(&mut self, engine: usize) {
        let model = &self.engines[engine].model;
        if let Some(at) = model.next_progress() {
            self.queue.push(at, FleetEvent::Engine { engine, version: model.version });
        }
    }

    fn schedule_store(&mut self) {
        if let Some(at) = self.store.next_event() {
            self.queue.push(at, FleetEvent::Store { version: self.store.version });
        }
    }

    fn engines_of(&self, zone: usize) -> std::ops::Range<usize> {
        let engines = self.workload.engines_per_zone;
        zone * engines..(zone + 1) * engines
    }

    fn cell_id(&self, zone: usize) -> placement::CellId {
        let zone = self.workload.zones[zone].as_str().into();
        placement::CellId { zone, base_model: BASE_MODEL.into(), index: 0 }
    }

    fn zone_number(&self, name: &str) -> usize {
        self.workload.zones.iter().position(|zone| zone == name).unwrap_or(0)
    }

    fn delay(&self, from: usize, to: usize) -> u64 {
        if from == to { LOCAL_DELAY_US } else { self.workload.zone_delay_us }
    }
}

fn engine_name(engine: usize) -> coltsfoot_types::name::UpstreamName {
    format!("engine-{engine}").into()
}

fn engine_number(name: &str) -> usize {
    name.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

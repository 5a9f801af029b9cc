//! The baseline: each instance alone sends to the engine with the least reported load, and each
//! engine loads what it is sent, in the place of the least recently used adapter.

use std::collections;

use super::engine_model::{self, EngineProgress};
use super::event_queue;
use super::store_model;
use super::tally;
use super::trace;
use super::workload;

/// Instances of each zone.
const INSTANCES_PER_ZONE: usize = 2;

#[derive(Debug)]
enum BaselineEvent {
    Arrival(usize),
    Engine { engine: usize, version: u64 },
    Store { version: u64 },
    Report,
    Restart,
}

#[derive(Debug)]
struct LoneEngine {
    model: engine_model::EngineModel,
    /// Resident adapters with the number of their last use.
    resident: collections::BTreeMap<usize, u64>,
    loading: collections::BTreeSet<usize>,
    waiting: collections::VecDeque<usize>,
    generation: u64,
}

struct BaselineRun<'a> {
    workload: &'a workload::PlacementWorkload,
    trace: &'a trace::RequestTrace,
    queue: event_queue::EventQueue<BaselineEvent>,
    engines: Vec<LoneEngine>,
    store: store_model::StoreModel,
    loads: collections::BTreeMap<u64, (usize, usize, u64)>,
    next_load: u64,
    uses: u64,
    /// Running and waiting requests of each engine, sampled now and shown after the lag.
    samples: collections::VecDeque<(u64, Vec<u32>)>,
    reported: Vec<u32>,
    /// Requests that each instance sent to each engine since the shown sample was taken.
    sent: Vec<collections::VecDeque<(u64, usize)>>,
    tally: tally::RunTally,
}

/// Runs the trace.
pub fn run(workload: &workload::PlacementWorkload, trace: &trace::RequestTrace) -> tally::RunTally {
    let engine = || LoneEngine {
        model: engine_model::EngineModel::new(workload),
        resident: collections::BTreeMap::new(),
        loading: collections::BTreeSet::new(),
        waiting: collections::VecDeque::new(),
        generation: 0,
    };
    let mut run = BaselineRun {
        workload,
        trace,
        queue: event_queue::EventQueue::new(),
        engines: (0..workload.engines()).map(|_| engine()).collect(),
        store: store_model::StoreModel::new(workload, trace.slow),
        loads: collections::BTreeMap::new(),
        next_load: 0,
        uses: 0,
        samples: collections::VecDeque::new(),
        reported: vec![0; workload.engines()],
        sent: vec![collections::VecDeque::new(); workload.zones.len() * INSTANCES_PER_ZONE],
        tally: tally::RunTally::new(trace.requests.len()),
    };
    run.run();
    run.tally.count_batches(workload, run.engines.iter().map(|engine| &engine.model));
    run.tally.loads = run.store.started;
    run.tally.peak_loads = run.store.peak;
    run.tally
}

impl BaselineRun<'_> {
    fn run(&mut self) {
        for (request, drawn) in self.trace.requests.iter().enumerate() {
            self.queue.push(drawn.arrival_us, BaselineEvent::Arrival(request));
        }
        if let Some(at) = self.trace.cold_at {
            self.queue.push(at, BaselineEvent::Restart);
        }
        self.queue.push(0, BaselineEvent::Report);
        // Requests that are still due long after the last arrival count as not answered.
        let end = self.workload.duration_s * 1_000_000 * 2;
        while let Some((now, event)) = self.queue.pop() {
            if now > end {
                break;
            }
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: u64, event: BaselineEvent) {
        match event {
            BaselineEvent::Arrival(request) => self.route(now, request),
            BaselineEvent::Engine { engine, version } => {
                if self.engines[engine].model.version == version {
                    self.progress(now, engine);
                }
            }
            BaselineEvent::Store { version } => {
                if self.store.version == version {
                    self.end_loads(now);
                }
            }
            BaselineEvent::Report => self.report(now),
            BaselineEvent::Restart => {
                for engine in 0..self.engines.len() {
                    self.restart(now, engine);
                }
            }
        }
    }

    fn route(&mut self, now: u64, request: usize) {
        let zone = self.trace.requests[request].zone;
        let instance = zone * INSTANCES_PER_ZONE + request % INSTANCES_PER_ZONE;
        let first = zone * self.workload.engines_per_zone;
        let sent = &self.sent[instance];
        let load = |engine: &usize| {
            let recent = sent.iter().filter(|(_, target)| target == engine).count() as u32;
            self.reported[*engine] + recent
        };
        let engines = first..first + self.workload.engines_per_zone;
        let chosen = engines.min_by_key(load).unwrap_or(first);
        self.sent[instance].push_back((now, chosen));
        self.engines[chosen].waiting.push_back(request);
        self.serve(now, chosen);
    }

    /// Starts what can start, and loads what is missing for the rest.
    fn serve(&mut self, now: u64, engine: usize) {
        let waiting = std::mem::take(&mut self.engines[engine].waiting);
        for request in waiting {
            let adapter = self.trace.requests[request].adapter;
            let state = &mut self.engines[engine];
            if !state.resident.contains_key(&adapter) {
                self.tally.stall(request);
                state.waiting.push_back(request);
                self.load(now, engine, adapter);
                continue;
            }
            if !state.model.has_room() {
                state.waiting.push_back(request);
                continue;
            }
            self.uses += 1;
            state.resident.insert(adapter, self.uses);
            let drawn = &self.trace.requests[request];
            state.model.start(now, request, (adapter, drawn.prefix), drawn.output_tokens);
            self.tally.end_stall(now, request, self.trace);
        }
        self.schedule(engine);
    }

    fn load(&mut self, now: u64, engine: usize, adapter: usize) {
        let state = &mut self.engines[engine];
        if state.loading.contains(&adapter) {
            return;
        }
        if state.resident.len() + state.loading.len() >= self.workload.slots as usize {
            let trace = self.trace;
            let pinned = state.model.requests().map(|request| trace.requests[request].adapter);
            let pinned: collections::BTreeSet<_> = pinned.collect();
            let idle = state.resident.iter().filter(|(adapter, _)| !pinned.contains(adapter));
            let Some(victim) = idle.min_by_key(|(_, used)| **used).map(|(victim, _)| *victim)
            else {
                return;
            };
            state.resident.remove(&victim);
        }
        state.loading.insert(adapter);
        self.loads.insert(self.next_load, (engine, adapter, state.generation));
        self.store.start(now, self.next_load);
        self.next_load += 1;
        self.schedule_store();
    }

    fn end_loads(&mut self, now: u64) {
        for load in self.store.progress(now) {
            let Some((engine, adapter, generation)) = self.loads.remove(&load) else {
                continue;
            };
            let state = &mut self.engines[engine];
            if state.generation == generation {
                state.loading.remove(&adapter);
                self.uses += 1;
                state.resident.insert(adapter, self.uses);
                self.serve(now, engine);
            }
        }
        self.schedule_store();
    }

    fn progress(&mut self, now: u64, engine: usize) {
        for progress in self.engines[engine].model.progress(now) {
            match progress {
                EngineProgress::FirstToken(request) => {
                    self.tally.fates[request].first_token_us.get_or_insert(now);
                }
                EngineProgress::Done(request) => self.tally.fates[request].done_us = Some(now),
            }
        }
        self.serve(now, engine);
    }

    fn restart(&mut self, now: u64, engine: usize) {
        let state = &mut self.engines[engine];
        state.generation += 1;
        state.resident.clear();
        state.loading.clear();
        let crashed = state.model.crash(now);
        let waiting = std::mem::take(&mut state.waiting);
        for request in crashed.into_iter().chain(waiting) {
            self.route(now, request);
        }
    }

    fn report(&mut self, now: u64) {
        let load = |engine: &LoneEngine| (engine.model.running() + engine.waiting.len()) as u32;
        self.samples.push_back((now, self.engines.iter().map(load).collect()));
        let lag = self.workload.report_lag_ms * 1000;
        while self.samples.front().is_some_and(|(taken, _)| taken + lag <= now) {
            let Some((taken, reported)) = self.samples.pop_front() else {
                break;
            };
            self.reported = reported;
            for sent in &mut self.sent {
                while sent.front().is_some_and(|(at, _)| *at <= taken) {
                    sent.pop_front();
                }
            }
        }
        self.queue.push(now + self.workload.report_interval_ms * 1000, BaselineEvent::Report);
    }

    fn schedule(&mut self, engine: usize) {
        let model = &self.engines[engine].model;
        if let Some(at) = model.next_progress() {
            self.queue.push(at, BaselineEvent::Engine { engine, version: model.version });
        }
    }

    fn schedule_store(&mut self) {
        if let Some(at) = self.store.next_event() {
            self.queue.push(at, BaselineEvent::Store { version: self.store.version });
        }
    }
}

//! State of a fake engine: slots, batch, runs and counters.

use std::collections;
use std::net;
use std::sync;
use std::time;

use coltsfoot_platform::{http, protocol};
use coltsfoot_types::{adapter, id};
use rand::{SeedableRng as _, rngs};

use crate::{SharedExecutor, batch, engine, lag, residency, run, server};

/// Runs retained so that their streams can be resumed.
const MAX_RETAINED_RUNS: usize = 4096;

/// Outcome of a load or unload order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    Done,
    StaleFencing,
    NoFreeSlot,
    LoadFailed,
    NotResident,
}

/// Mutable state of an engine; a crash resets all but the observations.
pub(crate) struct EngineCore {
    pub(crate) slots: residency::AdapterSlots,
    pub(crate) cache: residency::PrefixCache,
    pub(crate) observations: engine::EngineObservations,
    pub(crate) reports: lag::LaggedValue<protocol::LoadReport>,
    pub(crate) runs: collections::BTreeMap<String, sync::Arc<run::EngineRun>>,
    /// Number of running and queued requests by adapter.
    active: collections::BTreeMap<adapter::AdapterVersion, u32>,
    retained: collections::VecDeque<sync::Arc<run::EngineRun>>,
    pub(crate) batch: batch::BatchQueue,
    busy_since: Option<time::Instant>,
    rng: rngs::SmallRng,
}

/// Shared state of a fake engine.
pub(crate) struct EngineState {
    pub(crate) options: engine::EngineOptions,
    pub(crate) switches: sync::Mutex<engine::EngineSwitches>,
    pub(crate) core: sync::Mutex<EngineCore>,
    pub(crate) pool: http::HttpPool,
    pub(crate) executor: SharedExecutor,
    server: sync::OnceLock<server::HttpServer>,
}

impl EngineCore {
    fn new(generation: u64, seed: u64) -> Self {
        let report = protocol::LoadReport { generation, ..Default::default() };
        Self {
            slots: residency::AdapterSlots::default(),
            cache: residency::PrefixCache::default(),
            observations: engine::EngineObservations { generation, ..Default::default() },
            reports: lag::LaggedValue::new(report),
            runs: collections::BTreeMap::new(),
            active: collections::BTreeMap::new(),
            retained: collections::VecDeque::new(),
            batch: batch::BatchQueue::default(),
            busy_since: None,
            rng: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn report(&self) -> protocol::LoadReport {
        protocol::LoadReport {
            generation: self.observations.generation,
            running: self.batch.running,
            waiting: self.batch.waiting(),
            resident: self.slots.resident(),
            active: Some(self.active.keys().cloned().collect()),
        }
    }

    /// Records the current load report, which becomes visible after the lag.
    pub(crate) fn record_change(&mut self, report_lag_ms: u64) {
        let report = self.report();
        let lag = time::Duration::from_millis(report_lag_ms);
        self.reports.record(time::Instant::now(), lag, report);
    }

    /// Returns whether an order may run. Stale ones may if the engine doesn't check fencing.
    pub(crate) fn check_fencing(&mut self, number: id::FencingNumber, checks: bool) -> bool {
        if number >= self.slots.newest_fencing {
            self.slots.newest_fencing = number;
            return true;
        }
        if checks {
            self.observations.stale_orders_refused += 1;
        } else {
            self.observations.stale_orders_obeyed += 1;
        }
        !checks
    }

    pub(crate) fn add_run(&mut self, run: &sync::Arc<run::EngineRun>) {
        self.observations.chats += 1;
        *self.active.entry(run.adapter.clone()).or_default() += 1;
        self.runs.insert(run.attempt.clone(), sync::Arc::clone(run));
        self.retained.push_back(sync::Arc::clone(run));
        if self.retained.len() > MAX_RETAINED_RUNS {
            let Some(dropped) = self.retained.pop_front() else { return };
            let same = |run: &sync::Arc<run::EngineRun>| sync::Arc::ptr_eq(run, &dropped);
            if self.runs.get(&dropped.attempt).is_some_and(same) {
                self.runs.remove(&dropped.attempt);
            }
        }
    }

    pub(crate) fn count_start(&mut self) {
        let running = self.batch.running;
        self.observations.max_running = self.observations.max_running.max(running);
        self.busy_since.get_or_insert_with(time::Instant::now);
    }

    pub(crate) fn count_end(&mut self, run: &run::EngineRun, run_time: time::Duration) {
        self.observations.run_time_us += run_time.as_micros() as u64;
        if let Some(requests) = self.active.get_mut(&run.adapter) {
            *requests -= 1;
            if *requests == 0 {
                self.active.remove(&run.adapter);
            }
        }
        if self.batch.running == 0
            && let Some(since) = self.busy_since.take()
        {
            self.observations.busy_time_us += since.elapsed().as_micros() as u64;
        }
        if !run.is_aborted() {
            self.observations.completed += 1;
            self.observations.output_tokens += run.tokens.len() as u64;
        }
    }

    /// Aborts the unfinished runs of an adapter, or all of them, and returns their number.
    pub(crate) fn abort_runs(&mut self, adapter: Option<&adapter::AdapterVersion>) -> u64 {
        let unfinished = self.runs.values().filter(|run| !run.ended.is_open());
        let selected = unfinished.filter(|run| adapter.is_none_or(|name| run.adapter == *name));
        let count = selected.map(|run| run.abort()).count() as u64;
        self.observations.cut_runs += count;
        count
    }

    /// Records the use of a prompt prefix and returns whether it was cached.
    pub(crate) fn touch_prefix(
        &mut self,
        adapter: &adapter::AdapterVersion,
        hash: u64,
        capacity: usize,
        loss_permille: u32,
    ) -> bool {
        self.cache.touch(adapter, hash, capacity, loss_permille, &mut self.rng)
    }
}

impl EngineState {
    pub(crate) fn new(executor: &SharedExecutor, options: engine::EngineOptions) -> Self {
        let switches = sync::Mutex::new(options.switches.clone());
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let generation = since_epoch.unwrap_or_default().as_millis() as u64;
        let mut core = EngineCore::new(generation, options.seed);
        for adapter in &options.resident {
            core.slots.slots.insert(adapter.clone(), residency::SlotState::Resident);
        }
        core.record_change(0);
        Self {
            options,
            switches,
            core: sync::Mutex::new(core),
            pool: http::HttpPool::new(http::HttpLimits::default()),
            executor: sync::Arc::clone(executor),
            server: sync::OnceLock::new(),
        }
    }

    pub(crate) fn set_server(&self, server: server::HttpServer) {
        self.server.get_or_init(|| server);
    }

    pub(crate) fn server(&self) -> &server::HttpServer {
        self.server.get().expect("the server is set before `FakeEngine::start` returns")
    }

    pub(crate) fn switches(&self) -> engine::EngineSwitches {
        server::lock(&self.switches).clone()
    }

    pub(crate) fn observations(&self) -> engine::EngineObservations {
        let core = server::lock(&self.core);
        let mut observations = core.observations.clone();
        if let Some(since) = core.busy_since {
            observations.busy_time_us += since.elapsed().as_micros() as u64;
        }
        observations
    }

    pub(crate) fn store(&self) -> Option<net::SocketAddr> {
        self.options.store
    }

    pub(crate) fn crash(&self, outage: time::Duration) {
        let mut core = server::lock(&self.core);
        core.abort_runs(None);
        let mut observations = core.observations.clone();
        observations.generation += 1;
        observations.crashes += 1;
        let fresh = EngineCore::new(observations.generation, self.options.seed);
        *core = EngineCore { observations, ..fresh };
        drop(core);
        self.server().pause(outage);
    }
}

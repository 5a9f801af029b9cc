//! The limit: all slots of the fleet as one pool, with evictions that know the future.

use std::collections;

use super::engine_model::{self, EngineProgress};
use super::event_queue;
use super::store_model;
use super::tally;
use super::trace;
use super::workload;

/// What the eviction of a limit knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitKnowledge {
    /// The whole trace: evicts what is needed again last.
    Clairvoyant,
    /// The exact popularity at each moment, but no single request: evicts the least popular. No
    /// eviction that doesn't know the future does better while requests are independent.
    Popularity,
    /// The requests so far: evicts what was asked for least often.
    Counts,
}

#[derive(Debug)]
enum LimitEvent {
    Arrival(usize),
    Store { version: u64 },
    Pool { version: u64 },
    Restart,
}

struct LimitRun<'a> {
    workload: &'a workload::PlacementWorkload,
    trace: &'a trace::RequestTrace,
    knowledge: LimitKnowledge,
    queue: event_queue::EventQueue<LimitEvent>,
    /// All engines as one, each request running as in a batch of the mean size.
    pool: engine_model::EngineModel,
    resident: collections::BTreeSet<usize>,
    pins: collections::BTreeMap<usize, u32>,
    waiting: collections::BTreeMap<usize, Vec<usize>>,
    unplaced: collections::VecDeque<usize>,
    /// Arrivals of each adapter that are still to come, soonest last.
    uses: Vec<Vec<u64>>,
    popularity: Vec<f64>,
    next_swap: usize,
    store: store_model::StoreModel,
    tally: tally::RunTally,
}

/// Runs the trace.
pub fn run(
    workload: &workload::PlacementWorkload,
    trace: &trace::RequestTrace,
    knowledge: LimitKnowledge,
) -> tally::RunTally {
    let mut uses = vec![Vec::new(); workload.adapters];
    for drawn in trace.requests.iter().rev() {
        uses[drawn.adapter].push(drawn.arrival_us);
    }
    let mut pooled = workload.clone();
    pooled.batch_size = u32::MAX;
    pooled.step_us += workload.step_us_per_request * u64::from(workload.batch_size) / 2;
    pooled.step_us_per_request = 0;
    let mut run = LimitRun {
        workload,
        trace,
        knowledge,
        queue: event_queue::EventQueue::new(),
        pool: engine_model::EngineModel::new(&pooled),
        resident: collections::BTreeSet::new(),
        pins: collections::BTreeMap::new(),
        waiting: collections::BTreeMap::new(),
        unplaced: collections::VecDeque::new(),
        uses,
        popularity: match knowledge {
            LimitKnowledge::Counts => vec![0.0; workload.adapters],
            LimitKnowledge::Clairvoyant | LimitKnowledge::Popularity => trace.popularity.clone(),
        },
        next_swap: 0,
        store: store_model::StoreModel::new(workload, trace.slow),
        tally: tally::RunTally::new(trace.requests.len()),
    };
    for (request, drawn) in trace.requests.iter().enumerate() {
        run.queue.push(drawn.arrival_us, LimitEvent::Arrival(request));
    }
    if let Some(at) = trace.cold_at {
        run.queue.push(at, LimitEvent::Restart);
    }
    while let Some((now, event)) = run.queue.pop() {
        run.handle(now, event);
    }
    run.tally.loads = run.store.started;
    run.tally.peak_loads = run.store.peak;
    run.tally
}

impl LimitRun<'_> {
    fn handle(&mut self, now: u64, event: LimitEvent) {
        match event {
            LimitEvent::Arrival(request) => {
                self.uses[self.trace.requests[request].adapter].pop();
                self.learn(now, request);
                self.take(now, request);
            }
            LimitEvent::Store { version } => {
                if self.store.version == version {
                    self.end_loads(now);
                }
            }
            LimitEvent::Pool { version } => {
                if self.pool.version == version {
                    self.progress(now);
                }
            }
            LimitEvent::Restart => self.restart(now),
        }
    }

    fn learn(&mut self, now: u64, request: usize) {
        if self.knowledge == LimitKnowledge::Counts {
            self.popularity[self.trace.requests[request].adapter] += 1.0;
            return;
        }
        while let Some(swap) = self.trace.swaps.get(self.next_swap).filter(|swap| swap.at <= now) {
            self.popularity.swap(swap.left, swap.right);
            self.next_swap += 1;
        }
    }

    fn take(&mut self, now: u64, request: usize) {
        let adapter = self.trace.requests[request].adapter;
        if self.resident.contains(&adapter) {
            self.start(now, request);
            return;
        }
        self.tally.stall(request);
        if let Some(waiting) = self.waiting.get_mut(&adapter) {
            waiting.push(request);
            return;
        }
        if !self.make_room() {
            self.unplaced.push_back(request);
            return;
        }
        self.waiting.insert(adapter, vec![request]);
        self.store.start(now, adapter as u64);
        self.schedule_store();
    }

    fn start(&mut self, now: u64, request: usize) {
        let drawn = &self.trace.requests[request];
        *self.pins.entry(drawn.adapter).or_default() += 1;
        self.pool.start(now, request, (drawn.adapter, drawn.prefix), drawn.output_tokens);
        self.tally.end_stall(now, request, self.trace);
        self.schedule_pool();
    }

    fn make_room(&mut self) -> bool {
        let slots = self.workload.engines() * self.workload.slots as usize;
        if self.resident.len() + self.waiting.len() < slots {
            return true;
        }
        let idle = self.resident.iter().filter(|adapter| !self.pins.contains_key(adapter));
        let victim = match self.knowledge {
            LimitKnowledge::Clairvoyant => {
                idle.max_by_key(|adapter| self.uses[**adapter].last().copied().unwrap_or(u64::MAX))
            }
            LimitKnowledge::Popularity | LimitKnowledge::Counts => idle
                .min_by(|left, right| self.popularity[**left].total_cmp(&self.popularity[**right])),
        };
        let Some(victim) = victim.copied() else {
            return false;
        };
        self.resident.remove(&victim)
    }

    fn end_loads(&mut self, now: u64) {
        for load in self.store.progress(now) {
            let adapter = load as usize;
            let Some(waiting) = self.waiting.remove(&adapter) else {
                continue;
            };
            self.resident.insert(adapter);
            for request in waiting {
                self.start(now, request);
            }
        }
        self.schedule_store();
    }

    fn progress(&mut self, now: u64) {
        for progress in self.pool.progress(now) {
            match progress {
                EngineProgress::FirstToken(request) => {
                    self.tally.fates[request].first_token_us.get_or_insert(now);
                }
                EngineProgress::Done(request) => {
                    self.tally.fates[request].done_us = Some(now);
                    self.unpin(self.trace.requests[request].adapter);
                }
            }
        }
        self.schedule_pool();
        for request in std::mem::take(&mut self.unplaced) {
            self.take(now, request);
        }
    }

    fn unpin(&mut self, adapter: usize) {
        let Some(pins) = self.pins.get_mut(&adapter) else {
            return;
        };
        *pins -= 1;
        if *pins == 0 {
            self.pins.remove(&adapter);
        }
    }

    fn restart(&mut self, now: u64) {
        self.resident.clear();
        self.pins.clear();
        for request in self.pool.crash(now) {
            self.take(now, request);
        }
    }

    fn schedule_pool(&mut self) {
        if let Some(at) = self.pool.next_progress() {
            self.queue.push(at, LimitEvent::Pool { version: self.pool.version });
        }
    }

    fn schedule_store(&mut self) {
        if let Some(at) = self.store.next_event() {
            self.queue.push(at, LimitEvent::Store { version: self.store.version });
        }
    }
}

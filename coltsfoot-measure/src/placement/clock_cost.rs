//! Processor time of a decision, at a cell of the later size.

use std::time;

use coltsfoot_placement::cell;
use coltsfoot_placement::event::{self, CellAction, CellEvent};
use coltsfoot_placement::settings;
use coltsfoot_types::{adapter, id, time as clock};
use coltsfoot_wire::placement;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

/// Engines of the cell.
const ENGINES: u32 = 8;
/// Adapters that requests name.
const ADAPTERS: usize = 130_000;
/// Slots of each engine.
const SLOTS: u32 = 32;
/// Requests that run on each engine at a time.
const BATCH_SIZE: u32 = 32;
/// Requests that are timed.
const REQUESTS: usize = 100_000;
/// Requests that run or wait at a time.
const CONCURRENT: usize = 200;
/// Requests between two ticks.
const REQUESTS_PER_TICK: usize = 4;
/// Time between two requests, in microseconds.
const INTERVAL_US: u64 = 14_000;

/// Processor time and memory of a cell.
#[derive(Clone, Copy, Debug)]
pub struct DecisionCost {
    /// Mean time of an event other than a tick, in microseconds.
    pub mean_us: f64,
    /// Time that 99 in 100 of these events meet, in microseconds.
    pub p99_us: f64,
    /// Mean time of a tick, in microseconds.
    pub tick_us: f64,
    /// Adapters that the cell keeps counts of at the end.
    pub awake: usize,
}

/// Times the events of requests with skewed popularity and a full set of slots.
pub fn run(seed: u64) -> DecisionCost {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut cell = cell::EngineCell::new(settings::CellSettings::default());
    let mut now = clock::MonotonicTime(0);
    set_up(&mut cell, now);
    let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are valid");
    let mut ticks = histogram.clone();
    let mut running = std::collections::VecDeque::new();
    let mut sequence = 0;
    for number in 0..REQUESTS {
        now = now + time::Duration::from_micros(INTERVAL_US);
        let uniform: f64 = rng.random();
        // Popularity by rank with an exponent of about 1.2.
        let rank = (1.0 - uniform).powf(-4.0).min(ADAPTERS as f64) as usize;
        let attempt = id::AttemptId { request: id::RequestId(number as u128), number: 0 };
        running.push_back(attempt);
        let mut events = vec![wanted(attempt, rank)];
        if number % REQUESTS_PER_TICK == 0 {
            events.push(CellEvent::Tick);
        }
        if running.len() > CONCURRENT {
            let attempt = running.pop_front().expect("it is not empty");
            events.push(released(attempt));
        }
        while let Some(event) = events.pop() {
            let is_tick = matches!(event, CellEvent::Tick);
            let start = time::Instant::now();
            let actions = cell.handle(now, event);
            let histogram = if is_tick { &mut ticks } else { &mut histogram };
            histogram.record(start.elapsed().as_nanos() as u64).expect("the histogram grows");
            events.extend(actions.into_iter().flat_map(|action| answers(action, &mut sequence)));
        }
    }
    DecisionCost {
        mean_us: histogram.mean() / 1e3,
        tick_us: ticks.mean() / 1e3,
        p99_us: histogram.value_at_quantile(0.99) as f64 / 1e3,
        awake: cell.sizes().tracked_adapters,
    }
}

fn set_up(cell: &mut cell::EngineCell, now: clock::MonotonicTime) {
    let lease = event::CellLease {
        fencing: id::FencingNumber(1),
        active_from: now,
        until: clock::MonotonicTime(u64::MAX),
        restricted: false,
    };
    cell.handle(
        now,
        CellEvent::OwnershipGained { lease, reporters: vec![], unknown_permits: false },
    );
    for engine in 0..ENGINES {
        let name = coltsfoot_types::name::UpstreamName::from(format!("engine-{engine}"));
        let engine = event::EngineListing {
            name: name.clone(),
            slots: SLOTS,
            batch_size: BATCH_SIZE,
            checks_fencing: true,
        };
        cell.handle(now, CellEvent::EngineListed { engine });
        let report = event::EngineReport { generation: 1, ..event::EngineReport::default() };
        cell.handle(now, CellEvent::EngineReported { engine: name, report });
    }
}

fn wanted(attempt: id::AttemptId, adapter: usize) -> CellEvent {
    let demand = placement::PermitDemand {
        attempt,
        customer: format!("customer-{}", adapter % 5).as_str().into(),
        weight: 1,
        priority: 0,
        adapter: adapter::AdapterVersion {
            adapter: format!("adapter-{adapter}").as_str().into(),
            version: 1,
        },
        estimated_tokens: 800,
        time_left: time::Duration::from_secs(30),
    };
    CellEvent::PermitRequested { instance: "instance".into(), demand }
}

fn released(attempt: id::AttemptId) -> CellEvent {
    let duration = time::Duration::from_secs(3);
    let outcome = placement::AttemptOutcome::Answered { output_tokens: 100, duration };
    let release = placement::PermitRelease { attempt, outcome };
    CellEvent::PermitReleased { instance: "instance".into(), release }
}

/// Answers orders at once and well.
fn answers(action: CellAction, sequence: &mut u64) -> Vec<CellEvent> {
    let outcome = event::OrderOutcome::Done;
    match action {
        CellAction::Load { order } => vec![CellEvent::LoadEnded { order: order.id, outcome }],
        CellAction::Unload { order } => vec![CellEvent::UnloadEnded { order: order.id, outcome }],
        CellAction::RequestLoads { wanted } => (0..wanted.min(1))
            .map(|_| {
                *sequence += 1;
                let grant = placement::LoadGrantId {
                    zone: "zone".into(),
                    fencing: id::FencingNumber(1),
                    sequence: *sequence,
                };
                CellEvent::LoadGranted { grant, start_within: time::Duration::from_secs(2) }
            })
            .collect(),
        _ => Vec::new(),
    }
}

//! Loads of adapters that take longer than expected: how many requests are sent too early.

use std::collections::VecDeque;
use std::sync;
use std::time;

use coltsfoot_gateway::engine_controller::EngineController;
use coltsfoot_gateway::engine_order::{
    ControllerStep, EngineOrder, FetchLoad, OrderAnswer, OrderConstraints,
};
use coltsfoot_gateway::{demand, fetch_limiter, upstream};
use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Time of a message between two instances, and from a send until its rejection is known, in
/// milliseconds.
const MESSAGE_MS: u64 = 3;
const REJECTION_MS: u64 = 5;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 150;
/// Adapter slots of an engine.
const ADAPTER_SLOTS: usize = 8;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn adapter(number: usize) -> demand::AdapterName {
    demand::AdapterName { model: "m".into(), adapter: format!("a{number}").into() }
}

/// A request that waits for an adapter, and how far it has come.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    arrival_ms: u64,
    engine: usize,
    adapter: usize,
    /// Time of a message to the engine's owner, in milliseconds.
    distance_ms: u64,
    phase: RequestPhase,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestPhase {
    /// Asks the owner at this time; whether the adapter was missing before.
    Asks(u64, bool),
    Waits,
    SentAt(u64),
    Served(u64),
}

/// An engine with the controller and the limiter of its owner.
struct ReplayedEngine {
    controller: EngineController<usize>,
    limiter: fetch_limiter::FetchLimiter,
    /// When each adapter is loaded in truth, in milliseconds.
    loaded_ms: FxHashMap<usize, u64>,
    orders: u64,
    /// Fetches as the last heartbeat told the others.
    told_fetches: u32,
}

/// Requests at engines that fetch adapters from one weight store.
struct LoadReplay {
    /// Duration of a fetch at full speed, and how many fetches are served at full speed.
    fetch_ms: u64,
    capacity: u64,
    engines: Vec<ReplayedEngine>,
    requests: Vec<WaitingRequest>,
    /// When each request was rejected, in milliseconds.
    rejected_ms: Vec<u64>,
}

impl LoadReplay {
    fn new(fetch_ms: u64, capacity: u64, engines: usize) -> Self {
        let engine = || {
            let model: sync::Arc<str> = "m".into();
            let mut controller = EngineController::new(sync::Arc::clone(&model), ADAPTER_SLOTS);
            let report = upstream::EngineReport { models: vec![model], ..Default::default() };
            controller.report_ended(at(0), Some(&report));
            ReplayedEngine {
                controller,
                limiter: fetch_limiter::FetchLimiter::default(),
                loaded_ms: FxHashMap::default(),
                orders: 0,
                told_fetches: 0,
            }
        };
        let engines = (0..engines).map(|_| engine()).collect();
        Self { fetch_ms, capacity, engines, requests: Vec::new(), rejected_ms: Vec::new() }
    }

    /// Adds requests of several instances for one adapter, a millisecond apart.
    fn add_requests(&mut self, arrival_ms: u64, engine: usize, adapter: usize, count: usize) {
        for number in 0..count {
            let arrival_ms = arrival_ms + number as u64;
            let distance_ms = if number % 2 == 1 { 0 } else { MESSAGE_MS };
            let phase = RequestPhase::Asks(arrival_ms + distance_ms, false);
            let request = WaitingRequest { arrival_ms, engine, adapter, distance_ms, phase };
            self.requests.push(request);
        }
    }

    fn run(&mut self, to_ms: u64) {
        for now in 0..to_ms {
            for request in 0..self.requests.len() {
                self.step_request(now, request);
            }
            for engine in 0..self.engines.len() {
                self.step_engine(now, engine);
            }
            for engine in 0..self.engines.len() {
                if (now + 37 * engine as u64).is_multiple_of(HEARTBEAT_MS) {
                    self.send_heartbeat(now, engine);
                }
            }
        }
    }

    fn fetching(&self, now: u64) -> u64 {
        let loads = self.engines.iter().flat_map(|engine| engine.loaded_ms.values());
        loads.filter(|loaded_ms| **loaded_ms > now).count() as u64
    }

    fn step_request(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let engine = &mut self.engines[request.engine];
        let name = adapter(request.adapter);
        match request.phase {
            RequestPhase::Asks(due, was_missing) if now >= due => {
                if was_missing {
                    engine.controller.found_missing(at(now), name.key());
                }
                engine.controller.request_load(at(now), &name, None, number, |_| false);
                request.phase = RequestPhase::Waits;
            }
            RequestPhase::SentAt(due) if now >= due => {
                let is_loaded = engine.loaded_ms.get(&request.adapter).is_some_and(|ms| now >= *ms);
                request.phase = match is_loaded {
                    true => RequestPhase::Served(now),
                    false => {
                        self.rejected_ms.push(now);
                        RequestPhase::Asks(now + REJECTION_MS + request.distance_ms, true)
                    }
                };
            }
            _ => {}
        }
    }

    fn step_engine(&mut self, now: u64, number: usize) {
        let in_flight = self.fetching(now);
        let (fetch_ms, capacity) = (self.fetch_ms, self.capacity);
        let told: u32 = self.engines.iter().map(|engine| engine.told_fetches).sum();
        let requests = &mut self.requests;
        let engine = &mut self.engines[number];
        let own = engine.controller.fetching(at(now));
        let fetches = engine.limiter.load(told - engine.told_fetches + own);
        let constraints = OrderConstraints {
            may_order: true,
            may_fetch: fetches.may_fetch(own),
            min_report_interval: time::Duration::from_secs(60),
        };
        let step = engine.controller.next_step(at(now), constraints, |_| false, |_| None);
        if let ControllerStep::Order { order, .. } = step {
            if let EngineOrder::LoadAdapter { name, .. } = &order {
                let slowdown = ((in_flight + 1) as f64 / capacity as f64).max(1.0);
                let loaded = now + (fetch_ms as f64 * slowdown) as u64;
                let number = name.adapter[1..].parse().expect("a number");
                engine.loaded_ms.insert(number, loaded);
            }
            engine.orders += 1;
            let accepted = OrderAnswer::Accepted;
            engine.controller.order_ended(at(now), &order, accepted, fetches, |_| None);
        }
        for reply in engine.controller.take_replies(at(now)) {
            let request = &mut requests[reply.waiter];
            request.phase = match reply.is_ready {
                true => RequestPhase::SentAt(now + request.distance_ms),
                false => RequestPhase::Asks(now + 40, false),
            };
        }
        for sample in engine.controller.take_samples(at(now)) {
            engine.limiter.record_sample(at(now), sample);
        }
    }

    /// Sends the heartbeat of an owner to all others.
    fn send_heartbeat(&mut self, now: u64, from: usize) {
        let sender = &mut self.engines[from];
        sender.told_fetches = sender.controller.fetching(at(now));
        let (limit, fetch_ms) = (sender.limiter.limit_tenths(), sender.limiter.message_fetch_ms());
        let fetch_time = time::Duration::from_millis(u64::from(fetch_ms));
        for (number, engine) in self.engines.iter_mut().enumerate() {
            if number != from {
                engine.limiter.merge_peer(limit, fetch_time);
            }
        }
    }

    /// Returns the requests that were served and their mean time until then, in milliseconds.
    fn served(&self) -> (usize, f64) {
        let waits: VecDeque<u64> = self
            .requests
            .iter()
            .filter_map(|request| match request.phase {
                RequestPhase::Served(served_ms) => Some(served_ms - request.arrival_ms),
                _ => None,
            })
            .collect();
        (waits.len(), waits.iter().sum::<u64>() as f64 / waits.len().max(1) as f64)
    }

    fn rejections(&self, from_ms: u64) -> usize {
        self.rejected_ms.iter().filter(|ms| **ms >= from_ms).count()
    }
}

/// Load pattern: twelve requests at six instances wait for one fetch, which takes 450 ms instead of 250.
#[test]
fn one_request_at_a_time_is_sent_too_early() {
    let mut replay = LoadReplay::new(450, 32, 1);
    replay.add_requests(0, 0, 1, 12);
    replay.run(2_000);
    let (served, wait_ms) = replay.served();
    assert_eq!(served, 12);
    println!("{} rejections, {wait_ms} ms", replay.rejections(0));
    assert!(replay.rejections(0) <= 4, "{} rejections", replay.rejections(0));
    assert!(wait_ms < 600.0, "{wait_ms} ms");
}

/// Load pattern: 40 engines get two rare adapters each at once, with three requests for each, while the
/// weight store serves 16 fetches at full speed.
#[test]
fn a_storm_of_fetches_rejects_few_requests() {
    let mut replay = LoadReplay::new(250, 16, 40);
    for engine in 0..40 {
        for number in 0..2 {
            replay.add_requests(number as u64 * 20, engine, number, 3);
        }
    }
    replay.run(6_000);
    let (served, wait_ms) = replay.served();
    assert_eq!(served, 240);
    println!("{} rejections, {wait_ms} ms", replay.rejections(0));
    assert!(replay.rejections(0) <= 240, "{} rejections", replay.rejections(0));
    assert!(wait_ms < 2_000.0, "{wait_ms} ms");
}

/// Load pattern: at each of 40 engines a rare adapter is requested every 800 ms by two instances; a fetch
/// takes 288 ms, which nobody knows.
#[test]
fn the_fetch_time_is_learned_within_seconds() {
    let mut replay = LoadReplay::new(288, 32, 40);
    for round in 0..25 {
        for engine in 0..40 {
            replay.add_requests(round * 800 + engine as u64 * 20, engine, round as usize, 2);
        }
    }
    replay.run(22_000);
    let (served, wait_ms) = replay.served();
    assert_eq!(served, 2_000);
    println!(
        "{} rejections, {} after 3 s, {wait_ms} ms",
        replay.rejections(0),
        replay.rejections(3_000)
    );
    assert!(replay.rejections(3_000) <= 34, "{} rejections", replay.rejections(3_000));
    assert!(replay.rejections(0) <= 150, "{} rejections", replay.rejections(0));
    assert!(wait_ms < 400.0, "{wait_ms} ms");
}

/// Returns a controller without adapters, and the load of a weight store without other fetches.
fn idle_controller(slots: usize) -> (EngineController<usize>, FetchLoad) {
    let model: sync::Arc<str> = "m".into();
    let mut controller = EngineController::new(sync::Arc::clone(&model), slots);
    let report = upstream::EngineReport { models: vec![model], ..Default::default() };
    controller.report_ended(at(0), Some(&report));
    (controller, fetch_limiter::FetchLimiter::default().load(0))
}

fn step(controller: &mut EngineController<usize>, now: u64) -> ControllerStep {
    let constraints = OrderConstraints {
        may_order: true,
        may_fetch: true,
        min_report_interval: time::Duration::from_secs(60),
    };
    controller.next_step(at(now), constraints, |_| false, |_| None)
}

/// Orders what the controller wants to, and returns how many orders those were.
fn order_all(controller: &mut EngineController<usize>, now: u64, fetches: FetchLoad) -> usize {
    let mut count = 0;
    while let ControllerStep::Order { order, .. } = step(controller, now) {
        controller.order_ended(at(now), &order, OrderAnswer::Accepted, fetches, |_| None);
        count += 1;
    }
    count
}

/// Load pattern: many rare adapters at one engine, whose fetches take longer than expected. A fifth load while
/// four are in transit is rejected with 409.
#[test]
fn late_fetches_count_towards_those_in_transit() {
    let (mut controller, fetches) = idle_controller(ADAPTER_SLOTS);
    for number in 0..6 {
        controller.request_load(at(0), &adapter(number), None, number, |_| false);
    }
    assert_eq!(order_all(&mut controller, 0, fetches), 4);
    assert_eq!(controller.take_replies(at(260)).len(), 4);
    assert_eq!(order_all(&mut controller, 262, fetches), 0, "no fetch is known to have ended");
    for number in 0..4 {
        controller.found_missing(at(268), adapter(number).key());
    }
    assert_eq!(order_all(&mut controller, 295, fetches), 0, "all four are late");
    controller.request_load(at(295), &adapter(0), None, 0, |_| false);
    assert_eq!(controller.take_replies(at(330)).len(), 1);
    assert_eq!(order_all(&mut controller, 360, fetches), 2);
}

/// Load pattern: requests of several instances wait for one adapter while others want its slot.
#[test]
fn a_copy_is_kept_until_all_who_waited_were_told() {
    let (mut controller, fetches) = idle_controller(1);
    for waiter in 0..2 {
        controller.request_load(at(0), &adapter(1), None, waiter, |_| false);
    }
    assert_eq!(order_all(&mut controller, 0, fetches), 1);
    assert_eq!(controller.take_replies(at(260)).len(), 1);
    controller.found_missing(at(268), adapter(1).key());
    controller.request_load(at(269), &adapter(2), None, 9, |_| false);
    assert_eq!(controller.take_replies(at(269)).len(), 1, "there is no slot for the other adapter");
    assert_eq!(order_all(&mut controller, 270, fetches), 0);
    let told = controller.take_replies(at(330));
    assert_eq!(
        told.iter().map(|reply| (reply.waiter, reply.is_ready)).collect::<Vec<_>>(),
        [(1, true)]
    );
    controller.request_load(at(700), &adapter(2), None, 9, |_| false);
    assert!(!controller.take_replies(at(700))[0].is_ready, "its request may be in transit");
    controller.request_load(at(731), &adapter(2), None, 9, |_| false);
    let ControllerStep::Order { order, .. } = step(&mut controller, 731) else {
        panic!("no order")
    };
    assert_eq!(order, EngineOrder::UnloadAdapter(adapter(1)));
}

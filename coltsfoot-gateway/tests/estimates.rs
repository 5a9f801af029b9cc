//! Estimates of upstreams, by load pattern.

mod fleet_fixture;

use std::collections;
use std::time;

use coltsfoot_gateway::engine_choice::{ChosenUpstream, FIRST_EVENT_MS, PREFILL_TOKENS_PER_MS};
use coltsfoot_gateway::engine_estimate::{EngineEstimate, LoadStatement, ServiceEstimate};
use coltsfoot_gateway::fleet_view::estimates::EstimateNews;
use coltsfoot_gateway::{demand, engine_choice, fleet_view, rules};
use coltsfoot_wire::fleet;
use fleet_fixture::{at, entry, report_adapters, sample_heartbeat, service};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const HORIZON: time::Duration = time::Duration::from_millis(200);

fn load(running: u32, waiting: u32, pace: Option<f64>) -> LoadStatement {
    LoadStatement { running, waiting, slots: 64, pace }
}

fn told(log_hundredths: i16, samples: u8) -> fleet::UpstreamEstimate {
    fleet::UpstreamEstimate {
        upstream: 1,
        log_hundredths,
        samples,
        sent_tenths: 0,
        failed_tenths: 0,
    }
}

fn told_outcomes(sent: u16, failed: u16) -> fleet::UpstreamEstimate {
    fleet::UpstreamEstimate { sent_tenths: sent * 10, failed_tenths: failed * 10, ..told(0, 0) }
}

fn assert_near(value: f64, expected: f64, tolerance: f64) {
    assert!((value - expected).abs() <= tolerance, "{value} instead of {expected}");
}

#[test]
fn a_stated_pace_counts_less_the_older_it_is() {
    let mut estimate = EngineEstimate::default();
    for step in 0..100 {
        estimate.record_statement(at(step * 100), load(0, 0, Some(1.0)), 0);
    }
    estimate.record_statement(at(10_000), load(0, 0, Some(2.5)), 0);
    let paces = [10_000, 10_500, 12_000].map(|now| estimate.pace(at(now), HORIZON));
    assert!(paces[0] > 1.8 && paces[0] < 2.5, "{paces:?}");
    assert!(paces[1] > 1.1 && paces[1] < paces[0], "{paces:?}");
    assert_near(paces[2], 1.0, 0.05);
    let long = estimate.pace(at(10_000), time::Duration::from_secs(5));
    assert!(long < 1.2, "a long request outlasts the spell: {long}");
}

#[rstest]
#[case::empty(0, 0, 5)]
#[case::fewer_than_known(6, 0, 6)]
#[case::more_than_known(30, 4, 34)]
#[case::garbled(u32::MAX, u32::MAX, 128)]
fn a_stated_load_is_bounded_and_ages(
    #[case] running: u32,
    #[case] waiting: u32,
    #[case] expected: u32,
) {
    let mut estimate = EngineEstimate::default();
    let (known, local, slots) = (12, 5, 64);
    assert_eq!(estimate.running(at(0), known, local, slots), known);
    estimate.record_statement(at(1000), load(running, waiting, None), local);
    assert_eq!(estimate.running(at(1000), known, local, slots), expected);
    assert_eq!(estimate.running(at(6000), known, local, slots), known, "it is stale");
}

#[test]
fn requests_since_the_statement_are_added() {
    let mut estimate = EngineEstimate::default();
    estimate.record_statement(at(1000), load(20, 0, None), 5);
    assert_eq!(estimate.running(at(1000), 12, 8, 64), 23);
}

/// Load pattern: an engine, or the host of an instance, makes an instance measure nonsense.
#[rstest]
#[case::slow(i16::MAX)]
#[case::fast(i16::MIN)]
fn one_instance_among_several_does_not_move_the_speed_far(#[case] log_hundredths: i16) {
    let mut estimate = EngineEstimate::default();
    for sender in 0..8 {
        estimate.record_heard(at(sender), sender, &told(60, 3));
    }
    let honest = estimate.speed(at(10));
    assert!(honest > 1.5 && honest < 1.83, "{honest}");
    for step in 0..100 {
        estimate.record_heard(at(100 + step), 99, &told(log_hundredths, u8::MAX));
    }
    assert_near(estimate.speed(at(200)), honest, 0.15);
}

#[test]
fn a_single_instance_is_bounded_and_its_estimate_ages() {
    let mut estimate = EngineEstimate::default();
    estimate.record_heard(at(0), 1, &told(i16::MAX, u8::MAX));
    assert!(estimate.speed(at(0)) < 4.1);
    assert_near(estimate.speed(at(300_000)), 1.0, 0.01);
    let mut service = ServiceEstimate::default();
    for ratio in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
        assert_eq!(service.record(ratio), None);
    }
    service.record(1e9);
    assert!(service.factor() < 21.0);
}

#[test]
fn failures_of_one_instance_do_not_condemn_an_upstream() {
    let mut estimate = EngineEstimate::default();
    estimate.record_heard(at(0), 1, &told_outcomes(6000, 6000));
    let alone = estimate.shared_failure_rate(at(0));
    assert!(alone > 0.0 && alone <= 0.125, "{alone}");
    for sender in 2..5 {
        estimate.record_heard(at(0), sender, &told_outcomes(2, 1));
    }
    let several = estimate.shared_failure_rate(at(0));
    assert!(several > alone * 3.0, "{several}");
    assert!(estimate.shared_failure_rate(at(3000)) < several);
    assert!(estimate.shared_failure_rate(at(30_000)) < 0.01);
}

#[test]
fn successes_of_others_outweigh_failures() {
    let mut estimate = EngineEstimate::default();
    estimate.record_heard(at(0), 1, &told_outcomes(4, 2));
    estimate.record_heard(at(0), 2, &told_outcomes(4, 0));
    let before = estimate.shared_failure_rate(at(0));
    for _ in 0..4 {
        estimate.record_outcome(at(0), false);
    }
    assert!(estimate.has_failure_news(at(0)), "others want to know of the successes");
    assert!(estimate.shared_failure_rate(at(0)) < before);
}

/// Load pattern: this instance's path to an upstream is lost, not the upstream.
#[test]
fn failed_connections_are_not_told() {
    let mut view = fleet_view::FleetView::default();
    view.put_upstream(entry("1", "a"));
    view.connect_failed(at(1), "1");
    assert!(view.upstream("1").expect("known").failure_rate(at(1)) > 0.0);
    assert_eq!(view.estimates_to_tell(at(2), 7, EstimateNews::All), None);
    view.record_outcome(at(3), "1", true);
    assert!(view.estimates_to_tell(at(4), 7, EstimateNews::Failures).is_some());
}

#[test]
fn a_message_names_no_more_upstreams_than_fit_a_packet() {
    let mut view = fleet_view::FleetView::default();
    for id in 0..300 {
        view.put_upstream(entry(&id.to_string(), "a"));
        view.record_outcome(at(1), &id.to_string(), true);
    }
    let told = view.estimates_to_tell(at(2), u64::MAX, EstimateNews::All).expect("news");
    let length = fleet::FleetMessage::UpstreamEstimates(told).encode().expect("encodes").len();
    assert!(length <= 1200, "{length} bytes");
}

/// Deployment pattern: instances of the build before run beside this one.
#[test]
fn messages_of_the_build_before_are_read_and_unknown_ones_refused() {
    let unreached = fleet::UnreachedUpstreams { sender: 7, upstreams: vec![1, 300] };
    let unreached = fleet::FleetMessage::Unreached(unreached);
    for (bytes, expected) in [
        (&[9, 1, 5][..], fleet::FleetMessage::Draining(vec![5])),
        (&[17, 7, 2, 1, 172, 2][..], unreached),
    ] {
        assert_eq!(fleet::FleetMessage::decode(bytes), Ok(expected));
    }
    assert!(fleet::FleetMessage::decode(&[99, 0]).is_err());
}

/// What the choice knows of the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Knowledge {
    /// What each instance learns, without any statement of the engines.
    Own,
    /// Statements and measured times, told between instances.
    Shared,
    /// The same, and every second message is lost.
    Lossy,
}

/// An engine that reads prompts one after the other.
struct SimulatedEngine {
    /// Time that work takes, as a multiple of that at an engine of speed one.
    usual: f64,
    is_slow_now: bool,
    spell_ends: f64,
    busy_until: f64,
    running: u32,
    failure_share: f64,
}

impl SimulatedEngine {
    fn pace(&mut self, now: f64, random: &mut StdRng) -> f64 {
        while self.spell_ends <= now {
            self.is_slow_now = !self.is_slow_now;
            let mean = if self.is_slow_now { 600.0 } else { 3400.0 };
            self.spell_ends += exponential(random, mean);
        }
        if self.is_slow_now { 2.5 } else { 1.0 }
    }
}

fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

enum SimulatedEvent {
    FirstEvent { instance: usize, engine: usize, chosen: ChosenUpstream, sent: f64, tokens: u64 },
    End { instance: usize, engine: usize, has_failed: bool },
    Heartbeats,
    Estimates(u64),
}

const ADAPTERS: usize = 80;

/// Returns the engines that hold an adapter.
fn holders(adapter: usize) -> [usize; 2] {
    [adapter % ENGINES, (adapter * 7 + adapter / ENGINES + 3) % ENGINES]
}

/// Instances, engines and a clock.
struct World {
    views: Vec<fleet_view::FleetView>,
    engines: Vec<SimulatedEngine>,
    events: collections::BTreeMap<(u64, u64), SimulatedEvent>,
    random: StdRng,
    knowledge: Knowledge,
    /// Whether each request needs an adapter, so that only its holders may be chosen.
    has_adapters: bool,
    scheduled: u64,
    sequence: u64,
}

const INSTANCES: usize = 12;
const ENGINES: usize = 20;
const PROMPT_TOKENS: u32 = 2900;
/// Prompt tokens that an engine of speed one reads in a millisecond.
const TOKENS_PER_MS: f64 = 38.0;

impl World {
    fn new(seed: u64, knowledge: Knowledge) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut views = vec![fleet_view::FleetView::default(); INSTANCES];
        for view in &mut views {
            for id in 0..ENGINES {
                view.put_upstream(entry(&id.to_string(), "a"));
                let held: Vec<String> = (0..ADAPTERS)
                    .filter(|adapter| holders(*adapter).contains(&id))
                    .map(|adapter| format!("a{adapter}"))
                    .collect();
                let held: Vec<&str> = held.iter().map(String::as_str).collect();
                report_adapters(view, &id.to_string(), &held, 0);
            }
        }
        let engines = (0..ENGINES).map(|id| SimulatedEngine {
            usual: if id % 4 == 0 { 1.0 / 0.55 } else { 1.0 / 1.2 },
            is_slow_now: false,
            spell_ends: exponential(&mut random, 3400.0),
            busy_until: 0.0,
            running: 0,
            failure_share: 0.0,
        });
        let engines = engines.collect();
        Self {
            views,
            engines,
            events: collections::BTreeMap::new(),
            random,
            knowledge,
            has_adapters: true,
            scheduled: 0,
            sequence: 0,
        }
    }

    fn schedule(&mut self, ms: f64, event: SimulatedEvent) {
        self.scheduled += 1;
        self.events.insert(((ms * 1000.0) as u64, self.scheduled), event);
    }

    /// Serves requests that arrive for `length_ms`; returns the times to their first events, or the failures.
    fn serve(&mut self, per_s: f64, length_ms: f64) -> (Vec<f64>, u32) {
        let (mut waits, mut failures) = (Vec::new(), 0);
        self.schedule(0.0, SimulatedEvent::Heartbeats);
        self.schedule(0.0, SimulatedEvent::Estimates(0));
        let mut arrival = 0.0;
        while arrival < length_ms {
            arrival += exponential(&mut self.random, 1000.0 / per_s);
            while let Some(next) = self.events.first_entry()
                && next.key().0 as f64 / 1000.0 <= arrival
            {
                let ((us, _), event) = next.remove_entry();
                self.handle(us as f64 / 1000.0, event, &mut waits, &mut failures);
            }
            self.arrive(arrival);
        }
        (waits, failures)
    }

    fn arrive(&mut self, now: f64) {
        let instance = self.random.random_range(0..INSTANCES);
        let demand = demand::PromptDemand {
            model: "m".into(),
            adapter: self.has_adapters.then(|| demand::AdapterName {
                model: "m".into(),
                adapter: format!("a{}", self.random.random_range(0..ADAPTERS)).into(),
            }),
            prompt_tokens: PROMPT_TOKENS,
            max_output_tokens: 50,
            parts: Default::default(),
        };
        let clock = at(now as u64);
        let service = service();
        let request = engine_choice::PlacedRequest {
            service: &service,
            demand: Some(&demand),
            zone: "a",
            tried: &[],
            build: None,
        };
        let view = &mut self.views[instance];
        let chosen = engine_choice::choose(clock, view, &request).expect("an engine");
        let tokens = view.request_sent(clock, &chosen.id, Some(&demand));
        let index: usize = chosen.id.parse().expect("a number");
        let engine = &mut self.engines[index];
        let factor = engine.usual * engine.pace(now, &mut self.random);
        engine.running += 1;
        let statement =
            LoadStatement { pace: Some(factor / engine.usual), ..load(engine.running, 0, None) };
        if self.knowledge != Knowledge::Own {
            self.views[instance].record_load(clock, &chosen.id, statement);
        }
        let engine = &mut self.engines[index];
        if self.random.random::<f64>() < engine.failure_share {
            let end = SimulatedEvent::End { instance, engine: index, has_failed: true };
            self.views[instance].prefill_finished(&chosen.id, tokens);
            self.schedule(now + 5.0, end);
            return;
        }
        engine.busy_until =
            engine.busy_until.max(now) + f64::from(PROMPT_TOKENS) / TOKENS_PER_MS * factor;
        let first = engine.busy_until + 30.0 * factor;
        let event =
            SimulatedEvent::FirstEvent { instance, engine: index, chosen, sent: now, tokens };
        self.schedule(first, event);
        let end = SimulatedEvent::End { instance, engine: index, has_failed: false };
        self.schedule(first + 50.0 * 6.0 * factor, end);
    }

    fn handle(
        &mut self,
        now: f64,
        event: SimulatedEvent,
        waits: &mut Vec<f64>,
        failures: &mut u32,
    ) {
        let clock = at(now as u64);
        match event {
            SimulatedEvent::FirstEvent { instance, engine, chosen, sent, tokens } => {
                let view = &mut self.views[instance];
                view.prefill_finished(&engine.to_string(), tokens);
                view.first_event_timed(clock, &chosen, now - sent);
                waits.push(now - sent);
            }
            SimulatedEvent::End { instance, engine, has_failed } => {
                self.engines[engine].running -= 1;
                *failures += u32::from(has_failed);
                let view = &mut self.views[instance];
                view.request_ended(&engine.to_string(), None);
                view.record_outcome(clock, &engine.to_string(), has_failed);
            }
            SimulatedEvent::Heartbeats => {
                self.sequence += 1;
                for sender in 0..INSTANCES {
                    let mut heartbeat = sample_heartbeat(self.sequence, Vec::new());
                    heartbeat.sender = sender as u64;
                    heartbeat.work = self.views[sender].local_work();
                    for receiver in (0..INSTANCES).filter(|receiver| *receiver != sender) {
                        self.views[receiver].apply_heartbeat(clock, &heartbeat);
                    }
                }
                self.schedule(now + 300.0, SimulatedEvent::Heartbeats);
            }
            SimulatedEvent::Estimates(check) => {
                if self.knowledge != Knowledge::Own {
                    self.tell(clock, check);
                }
                self.schedule(now + 300.0, SimulatedEvent::Estimates(check + 1));
            }
        }
    }

    fn tell(&mut self, now: coltsfoot_types::time::MonotonicTime, check: u64) {
        let news = if check % 4 == 3 { EstimateNews::All } else { EstimateNews::Failures };
        for sender in 0..INSTANCES {
            let told = self.views[sender].estimates_to_tell(now, sender as u64, news);
            for receiver in (0..INSTANCES).filter(|receiver| *receiver != sender) {
                let is_lost = self.knowledge == Knowledge::Lossy && self.random.random_bool(0.5);
                if let Some(told) = told.as_ref().filter(|_| !is_lost) {
                    self.views[receiver].apply_estimates(now, told);
                }
            }
        }
    }
}

/// Returns the mean and the 99th percentile.
fn summary(mut waits: Vec<f64>) -> (f64, f64) {
    waits.sort_by(f64::total_cmp);
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    (mean, waits[waits.len() * 99 / 100])
}

/// Load pattern: a quarter of the engines runs at half the speed of the others for good, and each is slow for
/// 600 ms every four seconds; 12 instances see few responses of each, and two engines hold each adapter.
#[rstest]
#[case::moderate(100.0)]
#[case::busy(140.0)]
fn first_events_come_sooner_from_uneven_engines(#[case] per_s: f64) {
    let [own, shared, lossy] = first_events(per_s, true);
    assert!(shared.0 < own.0 * 0.97, "mean {} of {} ms", shared.0, own.0);
    assert!(shared.1 < own.1 * 0.95, "p99 {} of {} ms", shared.1, own.1);
    assert!(lossy.0 < own.0 && lossy.1 < own.1, "{lossy:?} of {own:?} ms with losses");
}

/// Load pattern: the same where any engine may be chosen, so that instances that know the same engines to be the
/// fastest meet there.
#[rstest]
#[case::moderate(100.0)]
#[case::busy(140.0)]
fn instances_that_know_the_same_do_not_meet_at_one_engine(#[case] per_s: f64) {
    let [own, shared, lossy] = first_events(per_s, false);
    for (mean, p99) in [shared, lossy] {
        assert!(mean < own.0 * 1.12 && p99 < own.1 * 1.12, "{mean}, {p99} of {own:?} ms");
    }
}

/// Returns the mean and the 99th percentile of the time to the first event by what the choice knows, over six
/// seeds.
fn first_events(per_s: f64, has_adapters: bool) -> [(f64, f64); 3] {
    let all = [Knowledge::Own, Knowledge::Shared, Knowledge::Lossy];
    let figures = all.map(|knowledge| {
        let waits = (1..=6).flat_map(|seed| {
            let mut world = World::new(seed, knowledge);
            world.has_adapters = has_adapters;
            world.serve(per_s, 40_000.0).0
        });
        summary(waits.collect())
    });
    println!("{per_s}/s, adapters {has_adapters}: own, shared, lossy {figures:.0?} ms");
    figures
}

/// Load pattern: an engine that looks well fails four of ten requests at once, so that it seems idle.
#[test]
fn all_find_an_engine_that_fails_some_requests() {
    let failures = [Knowledge::Own, Knowledge::Shared, Knowledge::Lossy].map(|knowledge| {
        let mut world = World::new(4, knowledge);
        world.engines[1].failure_share = 0.4;
        world.serve(100.0, 15_000.0).1
    });
    println!("failures of 1500 requests: own, shared, lossy {failures:?}");
    let [own, shared, lossy] = failures;
    assert!(shared * 3 < own * 2, "{shared} of {own}");
    assert!(lossy < own, "{lossy} of {own} with losses");
}

/// Load pattern: plain requests of 15 ms at upstreams with few slots, of which one is slow for good.
#[test]
fn plain_requests_go_where_they_take_less_time() {
    let mut view = fleet_view::FleetView::default();
    for id in ["1", "2"] {
        let mut entry = entry(id, "a");
        (entry.service, entry.slots) = ("app".into(), 6);
        view.put_upstream(entry);
    }
    let rule = rules::ServiceRule::builder().name("app".into()).max_connections(100).build();
    let request = engine_choice::PlacedRequest {
        service: &rule,
        demand: None,
        zone: "a",
        tried: &[],
        build: None,
    };
    let choose = |view: &fleet_view::FleetView, now| engine_choice::choose(at(now), view, &request);
    let before = choose(&view, 0).expect("an upstream");
    assert_near(before.expected_ms, 60.0, 0.0);
    let statement = LoadStatement { running: 0, waiting: 0, slots: 6, pace: Some(1.0) };
    for step in 0..40 {
        for (id, elapsed_ms) in [("1", 30.0), ("2", 15.0)] {
            let chosen = ChosenUpstream { id: id.into(), ..before.clone() };
            view.record_load(at(step * 10), id, statement);
            view.response_timed(at(step * 10), &chosen, elapsed_ms);
        }
    }
    let chosen = choose(&view, 1000).expect("an upstream");
    assert_eq!(&*chosen.id, "2");
    assert!(chosen.expected_ms < 22.0, "{} ms", chosen.expected_ms);
    // A pace that the faster one stated just now.
    view.record_load(at(1000), "2", LoadStatement { pace: Some(4.0), ..statement });
    assert_eq!(&*choose(&view, 1001).expect("an upstream").id, "1");
    assert_eq!(&*choose(&view, 4000).expect("an upstream").id, "2");
}

#[test]
fn an_upstream_that_states_no_load_is_chosen_as_before() {
    let mut view = fleet_fixture::fleet(&[("1", "a")]);
    let demand = fleet_fixture::prompt("a1", 1);
    let (service, tried) = (service(), []);
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(&demand),
        zone: "a",
        tried: &tried,
        build: None,
    };
    report_adapters(&mut view, "1", &["a1"], 8);
    let chosen = engine_choice::choose(at(0), &view, &request).expect("an upstream");
    let uncached = f64::from(demand.prompt_tokens) - f64::from(demand.shared_tokens()) * 0.7;
    assert_near(chosen.expected_ms, uncached / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS, 0.001);
    view.first_event_timed(at(1), &chosen, chosen.expected_ms * 3.0);
    assert_near(view.upstream("1").expect("known").slowness, 1.5, 0.001);
}

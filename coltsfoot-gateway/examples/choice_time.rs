//! Measures how long the choice of an engine takes: `cargo run --release -p coltsfoot-gateway --example choice_time`.

use std::hint;
use std::time;

use coltsfoot_gateway::engine_estimate::LoadStatement;
use coltsfoot_gateway::{demand, engine_choice, fleet_view, rules, upstream};
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;

/// Instances that told of each engine.
const INSTANCES: u64 = 20;
const CHOICES: u64 = 20_000;

fn main() {
    for engines in [60, 156, 730] {
        let [before, with_estimates] = [false, true].map(|states_load| {
            let view = build_view(engines, states_load);
            micros_per_choice(&view)
        });
        println!("{engines} engines: {before:.1} us, with estimates {with_estimates:.1} us");
    }
}

fn build_view(engines: u64, states_load: bool) -> fleet_view::FleetView {
    let mut view = fleet_view::FleetView::default();
    let now = clock::MonotonicTime(1_000_000);
    for number in 0..engines {
        let id = format!("i-{number}");
        view.put_upstream(upstream::UpstreamEntry {
            id: id.as_str().into(),
            born_ms: Some(1),
            service: "llm".into(),
            version: None,
            address: "10.0.0.1:1".parse().expect("an address"),
            zone: "a".into(),
            slots: 64,
            state: upstream::UpstreamState::Ready,
            cold_remaining: time::Duration::ZERO,
            models: vec!["m".into()],
            adapters: Vec::new(),
        });
        if !states_load {
            continue;
        }
        let load = LoadStatement { running: 20, waiting: 0, slots: 64, pace: Some(1.2) };
        view.record_load(now, &id, load);
        let upstream = view.upstream(&id).expect("known").number;
        for sender in 0..INSTANCES {
            let estimate = fleet::UpstreamEstimate {
                upstream,
                log_hundredths: (number % 40) as i16,
                samples: 4,
                sent_tenths: 20,
                failed_tenths: u16::from(number % 10 == 0) * 5,
            };
            let estimates = vec![estimate];
            let told = fleet::UpstreamEstimates { sender, must_forward: false, estimates };
            view.apply_estimates(now, &told);
        }
    }
    view
}

/// Returns the mean time of a choice among the engines that may load any adapter, in microseconds.
fn micros_per_choice(view: &fleet_view::FleetView) -> f64 {
    let service = rules::ServiceRule::builder().name("llm".into()).max_connections(100).build();
    let demand = demand::PromptDemand {
        model: "m".into(),
        adapter: None,
        prompt_tokens: 9200,
        max_output_tokens: 52,
        parts: Default::default(),
    };
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(&demand),
        zone: "a",
        tried: &[],
        build: None,
    };
    let started = time::Instant::now();
    for step in 0..CHOICES {
        let now = clock::MonotonicTime(1_100_000 + step);
        hint::black_box(engine_choice::choose(now, view, &request));
    }
    started.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}

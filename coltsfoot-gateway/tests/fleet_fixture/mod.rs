//! A fleet view and requests for tests of routing and adapter placement.

// Each test binary uses only some of the helpers.
#![allow(dead_code)]

use std::time;

use coltsfoot_gateway::upstream_search::{SearchStep, UpstreamSearch};
use coltsfoot_gateway::{demand, engine_choice, fleet_view, rules, upstream};
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use smallvec::smallvec;

pub fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

pub fn entry(id: &str, zone: &str) -> upstream::UpstreamEntry {
    upstream::UpstreamEntry {
        id: id.into(),
        born_ms: Some(1),
        service: "llm".into(),
        version: None,
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        slots: 64,
        state: upstream::UpstreamState::Ready,
        cold_remaining: time::Duration::ZERO,
        models: vec!["m".into()],
        adapters: Vec::new(),
    }
}

pub fn service() -> rules::ServiceRule {
    let model = rules::ModelRule { name: "m".into(), weights_mb: 10.0, adapter_mb: 1.0 };
    let engine = rules::EngineRule {
        slots: 64,
        memory_tokens: 232_000,
        weights_mb: 100.0,
        adapter_slots: 8,
        models: vec![model],
    };
    rules::ServiceRule::builder().name("llm".into()).max_connections(100).engine(engine).build()
}

pub fn prompt(adapter: &str, prefix_key: u64) -> demand::PromptDemand {
    let name = demand::AdapterName { model: "m".into(), adapter: adapter.into() };
    let part = |id, tokens| demand::PromptPart { id, tokens };
    demand::PromptDemand {
        model: "m".into(),
        adapter: Some(name),
        prompt_tokens: 9200,
        max_output_tokens: 52,
        parts: smallvec![part(1, 2500), part(prefix_key, 3800), part(prefix_key + 1000, 2900)],
    }
}

/// Creates a fleet whose engines all accept orders and hold no adapters.
pub fn fleet(engines: &[(&str, &str)]) -> fleet_view::FleetView {
    let mut view = fleet_view::FleetView::default();
    for (id, zone) in engines {
        view.put_upstream(entry(id, zone));
        report_adapters(&mut view, id, &[], 8);
    }
    view
}

pub fn sample_heartbeat(
    sequence: u64,
    adapter_usage: Vec<fleet::AdapterUsage>,
) -> fleet::FleetHeartbeat {
    fleet::FleetHeartbeat {
        sender: 7,
        address: "10.0.0.2:1".parse().expect("an address"),
        zone: "z".to_owned(),
        capacity: 250,
        sequence,
        interval_ms: 150,
        is_draining: false,
        cross_zone_peers: 0,
        operator: fleet::TopicDigest::default(),
        upstreams: fleet::TopicDigest::default(),
        store_age_ms: 0,
        partitions: Vec::new(),
        fetching: 0,
        queued_fetches: 0,
        fetch_limit_tenths: 80,
        fetch_ms: 250,
        work: Vec::new(),
        adapter_usage,
        engines: None,
        quota_usage: Vec::new(),
        origins: Vec::new(),
        silent: Vec::new(),
    }
}

pub fn owned_engine(number: u32) -> fleet::OwnedEngine {
    fleet::OwnedEngine {
        upstream: number,
        fence: 1,
        has_model: true,
        takes_orders: true,
        available_slots: 8,
        adapters: Vec::new(),
        pending: Vec::new(),
    }
}

pub fn report_adapters(
    view: &mut fleet_view::FleetView,
    id: &str,
    adapters: &[&str],
    available_slots: u8,
) {
    report_engine(view, id, adapters, available_slots, Vec::new());
}

pub fn report_pending(
    view: &mut fleet_view::FleetView,
    id: &str,
    pending: Vec<fleet::PendingAdapter>,
) {
    report_engine(view, id, &[], 0, pending);
}

pub fn report_engine(
    view: &mut fleet_view::FleetView,
    id: &str,
    adapters: &[&str],
    available_slots: u8,
    pending: Vec<fleet::PendingAdapter>,
) {
    let number = view.upstream(id).expect("known").number;
    let key = |adapter: &&str| prompt(adapter, 1).adapter.expect("named").key().0;
    view.apply_own_engine(
        at(0),
        &fleet::OwnedEngine {
            available_slots,
            adapters: adapters
                .iter()
                .map(|adapter| fleet::ResidentAdapter { adapter: key(adapter), version: 1 })
                .collect(),
            pending,
            ..owned_engine(number)
        },
    );
}

/// Target latency of the requests.
pub const TARGET: time::Duration = time::Duration::from_millis(1000);

/// Returns the next step of a search for an upstream that serves a prompt for adapter `x`.
pub fn search_step(
    search: &mut UpstreamSearch,
    now: u64,
    view: &fleet_view::FleetView,
) -> SearchStep {
    let (service, demand) = (service(), prompt("x", 1));
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(&demand),
        zone: "a",
        tried: &[],
        build: None,
    };
    search.next_step(at(now), view, &request)
}

/// Returns the first step of a search that starts now.
pub fn step(now: u64, view: &fleet_view::FleetView) -> SearchStep {
    search_step(&mut UpstreamSearch::new(at(now), TARGET), now, view)
}

pub fn sends_to(step: &SearchStep, id: &str) -> bool {
    matches!(step, SearchStep::Send(chosen) if &*chosen.id == id)
}

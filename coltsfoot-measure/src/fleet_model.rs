//! What the models of a fleet share: instants, beats, entries of upstreams, and how sends are counted.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::upstream;
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;

/// Span over which the users count what a limited upstream gets, in milliseconds.
const LIMIT_SPAN_MS: u64 = 4_000;

/// Returns an instant of a model.
pub fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

/// Returns the address of the instance at a place.
pub fn address(place: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], place as u16))
}

/// Returns the largest number of sends in 4 s, of those at times in milliseconds that rise.
pub fn busiest_span(sent_ms: &[u64]) -> usize {
    let spans = sent_ms.iter().enumerate().map(|(first, begin)| {
        sent_ms[first..].iter().filter(|sent| **sent < begin + LIMIT_SPAN_MS).count()
    });
    spans.max().unwrap_or(0)
}

/// Returns the beat of an instance that has nothing under way.
pub fn idle_beat(sender: u64, place: usize, zone: &str, sequence: u64) -> fleet::FleetHeartbeat {
    fleet::FleetHeartbeat {
        sender,
        address: address(place),
        zone: zone.to_owned(),
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
        adapter_usage: Vec::new(),
        engines: None,
        quota_usage: Vec::new(),
        origins: Vec::new(),
        silent: Vec::new(),
    }
}

/// Returns the entry of an engine that is ready.
pub fn engine_entry(id: &sync::Arc<str>, zone: &str) -> upstream::UpstreamEntry {
    upstream::UpstreamEntry {
        id: sync::Arc::clone(id),
        born_ms: Some(1),
        service: "llm".into(),
        version: None,
        address: address(1),
        zone: zone.into(),
        slots: 64,
        state: upstream::UpstreamState::Ready,
        cold_remaining: time::Duration::ZERO,
        models: vec!["m".into()],
        adapters: Vec::new(),
    }
}

//! Which upstreams an instance takes for lost, by what it meets when it connects.

mod fleet_fixture;

use std::collections::BTreeSet;
use std::net;
use std::sync;

use coltsfoot_gateway::path_table::{PathFailure, PathTable, ProbeCandidate, UpstreamPath};
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use fleet_fixture::{fleet as fleet_of, sample_heartbeat};
use rstest::rstest;

const SERVICE: &str = "llm";
const UPSTREAMS: u32 = 12;
/// Time within which an instance must know what it has lost, and what it has regained.
const CONTACT_MS: u64 = 3000;
const TICK_MS: u64 = 50;
/// Time after which an attempt to connect fails in silence.
const CONNECT_MS: u64 = 250;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn name(service: &str) -> sync::Arc<str> {
    service.into()
}

fn candidates(silent: impl Fn(u32) -> bool) -> Vec<ProbeCandidate> {
    let candidate =
        |number| ProbeCandidate { service: name(SERVICE), number, is_silent: silent(number) };
    (0..UPSTREAMS).map(candidate).collect()
}

/// Probes on a paused clock; `reaches` tells which connections an upstream accepts.
struct ProbedTable {
    table: PathTable,
    running: Vec<(u64, u32)>,
    probes: usize,
}

impl ProbedTable {
    fn new() -> Self {
        Self { table: PathTable::default(), running: Vec::new(), probes: 0 }
    }

    fn tick(&mut self, now: u64, silent: impl Fn(u32) -> bool, reaches: impl Fn(u32) -> bool) {
        for number in self.table.start_probes(at(now), &candidates(silent)) {
            let end = if reaches(number) { now + TICK_MS } else { now + CONNECT_MS };
            self.running.push((end, number));
            self.probes += 1;
        }
        let (ended, running) = self.running.drain(..).partition(|(end, _)| now >= *end);
        self.running = running;
        let ended: Vec<(u64, u32)> = ended;
        for (_, number) in ended {
            if reaches(number) {
                self.table.record_contact(at(now), SERVICE, number);
            } else {
                let service = name(SERVICE);
                self.table.record_failure(at(now), &service, number, PathFailure::Silent);
            }
        }
    }

    fn lost(&self) -> BTreeSet<u32> {
        let is_lost = |number: &u32| self.table.path(SERVICE, *number) != UpstreamPath::Direct;
        (0..UPSTREAMS).filter(is_lost).collect()
    }
}

/// Load pattern: requests run at all upstreams when the path to them is cut without a sign.
#[test]
fn silent_cut_from_all_upstreams_is_known_in_time_and_forgotten_when_it_ends() {
    let mut probed = ProbedTable::new();
    let silence_ms = 700;
    for now in (0..10_000).step_by(TICK_MS as usize) {
        probed.tick(now, |_| now >= silence_ms, |_| false);
        if now >= CONTACT_MS {
            assert_eq!(probed.lost().len(), UPSTREAMS as usize, "at {now} ms");
        }
    }
    for now in (10_000..20_000).step_by(TICK_MS as usize) {
        probed.tick(now, |_| false, |_| true);
        if now >= 10_000 + CONTACT_MS {
            assert!(probed.table.is_whole(), "at {now} ms: {:?}", probed.lost());
        }
    }
    assert!(probed.probes < 400, "{} probes", probed.probes);
}

/// Load pattern: some upstreams are lost while others go on.
#[test]
fn upstreams_that_are_in_contact_are_not_taken_for_lost() {
    let mut probed = ProbedTable::new();
    let is_cut = |number: u32| number < 3;
    for now in (0..8_000).step_by(TICK_MS as usize) {
        for number in (0..UPSTREAMS).filter(|number| !is_cut(*number)) {
            probed.table.record_contact(at(now), SERVICE, number);
        }
        probed.tick(now, |number| is_cut(number) && now >= 700, |number| !is_cut(number));
        if now >= CONTACT_MS {
            assert_eq!(probed.lost(), BTreeSet::from([0, 1, 2]), "at {now} ms");
        }
    }
}

/// Load pattern: two upstreams crash, and no request is at the others.
#[test]
fn idle_upstreams_beside_crashed_ones_are_probed_and_used() {
    let mut probed = ProbedTable::new();
    let reaches = |number: u32| number >= 2;
    for number in 0..2 {
        probed.table.record_failure(at(0), &name(SERVICE), number, PathFailure::Refused);
    }
    for now in (0..1_000).step_by(TICK_MS as usize) {
        probed.tick(now, |_| false, reaches);
    }
    assert_eq!(probed.lost(), BTreeSet::from([0, 1]));
}

#[rstest]
#[case::one(1, UpstreamPath::Direct)]
#[case::two(2, UpstreamPath::Lost(PathFailure::Refused))]
fn several_failures_without_a_contact_stand_for_the_service(
    #[case] failures: u32,
    #[case] expected: UpstreamPath,
) {
    let mut table = PathTable::default();
    for number in 0..failures {
        table.record_failure(at(10), &name(SERVICE), number, PathFailure::Refused);
    }
    assert_eq!(table.path(SERVICE, 7), expected);
    assert_eq!(table.path("desk", 7), UpstreamPath::Direct);
    table.record_contact(at(20), SERVICE, 8);
    assert_eq!(table.path(SERVICE, 7), UpstreamPath::Direct);
}

/// Load pattern: an availability zone is cut off from the many upstreams of the others.
#[test]
fn many_lost_upstreams_are_probed_at_a_bounded_rate() {
    let mut table = PathTable::default();
    let listed: Vec<ProbeCandidate> = (0..160)
        .map(|number| ProbeCandidate { service: name(SERVICE), number, is_silent: false })
        .collect();
    for candidate in &listed {
        table.record_failure(at(0), &name(SERVICE), candidate.number, PathFailure::Silent);
    }
    let probes = (0..5_000).step_by(100).map(|now| table.start_probes(at(now), &listed).len());
    let probes: usize = probes.sum();
    assert!((50..=150).contains(&probes), "{probes} probes in 5 s");
}

/// Load pattern: engines are slow for seconds, but accept connections.
#[test]
fn silent_upstreams_that_accept_connections_are_probed_rarely_and_used() {
    let mut probed = ProbedTable::new();
    for now in (0..10_000).step_by(TICK_MS as usize) {
        probed.tick(now, |_| true, |_| true);
        assert!(probed.lost().is_empty());
    }
    assert!(probed.probes <= 70, "{} probes", probed.probes);
}

fn peer(number: u64) -> (u64, net::SocketAddr) {
    (number, net::SocketAddr::from(([10, 0, 0, number as u8], 7600)))
}

fn heartbeat_of(number: u64, zone: &str) -> fleet::FleetHeartbeat {
    let (sender, address) = peer(number);
    let zone = zone.to_owned();
    fleet::FleetHeartbeat { sender, address, zone, ..sample_heartbeat(1, Vec::new()) }
}

#[test]
fn instances_that_reach_an_upstream_are_told_from_others_as_long_as_they_say_so() {
    let mut view = fleet_of(&[("e", "a")]);
    let number = view.upstream("e").expect("known").number;
    view.apply_heartbeat(at(0), &heartbeat_of(1, "a"));
    view.apply_heartbeat(at(0), &heartbeat_of(2, "a"));
    view.apply_heartbeat(at(0), &heartbeat_of(3, "b"));
    view.apply_heartbeat(
        at(0),
        &fleet::FleetHeartbeat { is_draining: true, ..heartbeat_of(4, "a") },
    );
    let unreached = fleet::UnreachedUpstreams { sender: 2, upstreams: vec![number] };
    view.apply_unreached(at(0), &unreached);
    let (same_zone, cross_zone) = view.carriers(at(100), number, "a");
    assert_eq!((&*same_zone, &*cross_zone), (&[peer(1).1][..], &[peer(3).1][..]));
    let next = fleet::FleetHeartbeat { sequence: 2, ..heartbeat_of(2, "a") };
    view.apply_heartbeat(at(900), &next);
    let (same_zone, cross_zone) = view.carriers(at(900), number, "a");
    assert_eq!((&*same_zone, &*cross_zone), (&[peer(2).1][..], &[][..]));
}

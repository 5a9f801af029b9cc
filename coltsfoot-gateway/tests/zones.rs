//! Zones of a large fleet, each represented by a relay.

use std::net;
use std::time;

use coltsfoot_gateway::fleet_view::{FleetView, zones};
use coltsfoot_gateway::quota_ledger::{QuotaClass, QuotaLedger, QuotaLimit, UsageReport};
use coltsfoot_gateway::zone_relay;
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;

mod fleet_fixture;

use fleet_fixture::{at, owned_engine, prompt, sample_heartbeat};

const ENGINES: [(&str, &str); 3] = [("near", "a"), ("far", "b"), ("third", "c")];

fn address(id: u64) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], id as u16))
}

fn member(id: u64) -> zones::OwnMember {
    zones::OwnMember { id, capacity: 120, address: address(id) }
}

/// Returns a heartbeat of an instance of zone `a`.
fn zone_heartbeat_of(id: u64, sequence: u64) -> fleet::FleetHeartbeat {
    fleet::FleetHeartbeat {
        sender: id,
        address: address(id),
        zone: "a".to_owned(),
        capacity: 120,
        ..sample_heartbeat(sequence, Vec::new())
    }
}

fn relay_heartbeat(
    now: clock::MonotonicTime,
    aggregator: &mut zone_relay::ZoneAggregator,
    view: &FleetView,
    id: u64,
    sequence: u64,
) -> fleet::ZoneHeartbeat {
    let digests = fleet::MemberDigests {
        instance: id,
        operator: fleet::TopicDigest::default(),
        upstreams: fleet::TopicDigest::default(),
    };
    let own = zone_relay::RelayState {
        member: member(id),
        zone: "a",
        sequence,
        interval: time::Duration::from_millis(250),
        digests,
        fetching: 1,
        queued_fetches: 2,
    };
    aggregator.build(now, view, own)
}

fn number(view: &FleetView, id: &str) -> u32 {
    view.upstream(id).expect("known").number
}

/// Instances 1 (the relay) and 2 run requests at an engine of another zone. One heartbeat gives the
/// instances there the total, the engines and the addresses of their owners.
#[test]
fn other_zones_receive_the_totals_of_a_zone() {
    let mut relay = fleet_fixture::fleet(&ENGINES);
    let demand = prompt("a1", 1);
    let key = demand.adapter.as_ref().expect("named").key();
    relay.request_sent(at(0), "far", Some(&demand));
    let far = number(&relay, "far");
    let mut second = zone_heartbeat_of(2, 1);
    second.work = vec![fleet::UpstreamWork { upstream: far, running: 4, prefill_tokens: 70 }];
    second.adapter_usage = vec![fleet::AdapterUsage { upstream: far, adapter: key.0, running: 4 }];
    let held = vec![fleet::ResidentAdapter { adapter: key.0, version: 3 }];
    let engine = fleet::OwnedEngine { adapters: held, ..owned_engine(number(&relay, "near")) };
    second.engines = Some(vec![engine]);
    second.fetching = 5;
    relay.apply_heartbeat(at(1), &second);
    let mut aggregator = zone_relay::ZoneAggregator::default();
    let sent = relay_heartbeat(at(10), &mut aggregator, &relay, 1, 1);

    let mut other = fleet_fixture::fleet(&ENGINES);
    assert!(other.apply_zone_heartbeat(at(12), &sent).is_applied);
    let slot = other.upstream("far").expect("known");
    assert_eq!(slot.work(at(20)).running, 5);
    assert_eq!(slot.running_on(at(20), key), 5);
    assert_eq!(other.fetching(), 6);
    let near = other.upstream("near").expect("known");
    assert!(other.has_usable_adapter(at(20), near, key));
    let owner = near.residency.owner.and_then(|owner| other.peer(owner)).expect("an owner");
    assert_eq!(owner.address, address(2));
    assert!(!other.apply_zone_heartbeat(at(13), &sent).is_applied, "a duplicate is ignored");
    // A heartbeat from the instance itself, sent while it discovers others, must not count twice.
    other.apply_heartbeat(at(14), &second);
    assert_eq!(other.upstream("far").expect("known").work(at(20)).running, 5);
    assert_eq!(other.fetching(), 6);
}

#[test]
fn changed_engines_are_sent_at_once_and_all_periodically() {
    let mut relay = fleet_fixture::fleet(&ENGINES);
    let mut aggregator = zone_relay::ZoneAggregator::default();
    let mut sent = |relay: &FleetView, sequence: u64| {
        let heartbeat = relay_heartbeat(at(sequence * 250), &mut aggregator, relay, 1, sequence);
        heartbeat.engines.len()
    };
    assert_eq!(sent(&relay, 1), 1, "only those of its own zone");
    assert_eq!(sent(&relay, 2), 0);
    fleet_fixture::report_adapters(&mut relay, "near", &["a7"], 7);
    assert_eq!(sent(&relay, 3), 1);
    fleet_fixture::report_adapters(&mut relay, "near", &["a7"], 7);
    let later: Vec<usize> = (4..10).map(|sequence| sent(&relay, sequence)).collect();
    assert_eq!(later.iter().sum::<usize>(), 1, "all of them once in eight heartbeats: {later:?}");
}

#[test]
fn the_largest_live_instance_is_the_relay() {
    let now = at(1_000);
    let relays = |silent: Option<u64>| -> Vec<u64> {
        let is_relay = |own: &u64| {
            let mut view = FleetView::default();
            for other in (1..=20).filter(|other| other != own) {
                let mut heartbeat = zone_heartbeat_of(other, 1);
                heartbeat.capacity = if other.is_multiple_of(10) { 500 } else { 120 };
                let last_seen = if silent == Some(other) { at(100) } else { now };
                view.apply_heartbeat(last_seen, &heartbeat);
            }
            let capacity = if own.is_multiple_of(10) { 500 } else { 120 };
            view.is_relay(now, "a", zones::OwnMember { capacity, ..member(*own) })
        };
        (1..=20).filter(|own| silent != Some(*own)).filter(is_relay).collect()
    };
    let first = relays(None);
    assert_eq!(first.len(), 1);
    assert!(first[0].is_multiple_of(10));
    let second = relays(Some(first[0]));
    assert_eq!(second.len(), 1);
    assert!(second[0].is_multiple_of(10));
}

fn usage_report(total: u64) -> UsageReport {
    let interval = std::time::Duration::from_millis(150);
    UsageReport { total, instances: 1, interval, is_deaf: false }
}

/// A customer's usage is counted once while its source changes from the instances themselves to a
/// relay and to the next relay, and while an instance restarts.
#[test]
fn quota_usage_is_counted_once_when_its_source_changes() {
    let customer: std::sync::Arc<str> = "c".into();
    let limit = QuotaLimit { rate_per_s: 0.0, burst: 10_000.0 };
    let mut ledger = QuotaLedger::default();
    ledger.set_limit(at(0), &customer, Some(limit));
    let mut sent = 0;
    let mut aggregators =
        [zone_relay::ZoneAggregator::default(), zone_relay::ZoneAggregator::default()];
    let used = |total| vec![fleet::CustomerUsage { customer: 1, total }];
    let mut view = FleetView::default();
    for instance in [7, 8] {
        view.apply_heartbeat(at(0), &zone_heartbeat_of(instance, 1));
    }
    let relay_total = |aggregators: &mut [zone_relay::ZoneAggregator; 2], relay: usize| {
        let heartbeat = relay_heartbeat(at(0), &mut aggregators[relay], &view, relay as u64 + 1, 1);
        heartbeat.quota_usage.first().map_or(0, |used| used.total)
    };
    // Incarnation 7 has used 500 before aggregation starts; it uses 100, restarts as 8 and uses
    // 200.
    for (instance, total) in [(7, 500), (7, 600), (8, 0), (8, 200)] {
        for aggregator in &mut aggregators {
            aggregator.record_usage(instance, &used(total), &[]);
        }
        sent = relay_total(&mut aggregators, 0);
    }
    assert_eq!(sent, 300);
    ledger.record_peer_report(at(1), 1, &customer, usage_report(0));
    ledger.record_peer_report(at(2), 1, &customer, usage_report(sent));
    // The next relay aggregated the same usage; its first total is only a starting point.
    ledger.forget_peer(1);
    ledger.record_peer_report(at(3), 2, &customer, usage_report(relay_total(&mut aggregators, 1)));
    for aggregator in &mut aggregators {
        aggregator.record_usage(8, &used(250), &[]);
    }
    ledger.record_peer_report(at(4), 2, &customer, usage_report(relay_total(&mut aggregators, 1)));
    // A tenth of the burst is available at the start: 1,000 less 350.
    assert_eq!(ledger.level(at(5), &customer), Some(650.0));
    assert!(ledger.admit(at(5), &customer, 650, QuotaClass::Plain).is_ok());
    assert!(ledger.admit(at(5), &customer, 1, QuotaClass::Plain).is_err());
}

#[test]
fn a_zone_whose_relay_falls_silent_is_suspected_until_another_takes_over() {
    let mut relay = fleet_fixture::fleet(&ENGINES);
    relay.apply_heartbeat(at(0), &zone_heartbeat_of(2, 1));
    let mut aggregator = zone_relay::ZoneAggregator::default();
    let mut other = fleet_fixture::fleet(&ENGINES);
    other.apply_zone_heartbeat(at(0), &relay_heartbeat(at(0), &mut aggregator, &relay, 1, 1));
    assert!(other.suspect_zones(at(500)).is_empty());
    assert_eq!(other.suspect_zones(at(1_000)).as_slice(), ["a"]);
    assert!(other.is_zone_relayed(at(1_000), "a"));
    let update = other.apply_zone_heartbeat(
        at(1_100),
        &relay_heartbeat(at(1_100), &mut aggregator, &relay, 2, 1),
    );
    assert_eq!(update.replaced, [1]);
    assert!(other.suspect_zones(at(1_200)).is_empty());
}

/// If a zone has two relays, for example after one was frozen, the other zones accept only the one
/// they know while it is live.
#[test]
fn one_relay_at_a_time_is_accepted() {
    let relay = fleet_fixture::fleet(&ENGINES);
    let mut aggregator = zone_relay::ZoneAggregator::default();
    let mut other = fleet_fixture::fleet(&ENGINES);
    assert!(
        other
            .apply_zone_heartbeat(at(0), &relay_heartbeat(at(0), &mut aggregator, &relay, 1, 1))
            .is_applied
    );
    let second = relay_heartbeat(at(100), &mut aggregator, &relay, 2, 1);
    assert!(!other.apply_zone_heartbeat(at(100), &second).is_applied);
    assert!(
        other
            .apply_zone_heartbeat(at(250), &relay_heartbeat(at(250), &mut aggregator, &relay, 1, 2))
            .is_applied
    );
    assert!(other.apply_zone_heartbeat(at(750), &second).is_applied);
}

/// After a partition that outlasts their state of each other, each zone tries the instances listed
/// in the store in turn.
#[test]
fn zones_rediscover_each_other_after_a_partition() {
    let relay = fleet_fixture::fleet(&ENGINES);
    let mut aggregator = zone_relay::ZoneAggregator::default();
    let mut other = fleet_fixture::fleet(&ENGINES);
    other.apply_zone_heartbeat(at(0), &relay_heartbeat(at(0), &mut aggregator, &relay, 1, 1));
    let listed = |id, zone: &str| zones::ListedInstance { address: address(id), zone: zone.into() };
    let listed = [listed(1, "a"), listed(2, "a"), listed(3, "b")];
    let contacts = |now| other.zone_contacts(at(now), "b", &listed);
    assert_eq!(contacts(100), [address(1)], "the live instance");
    let tried: Vec<_> = (0..2).flat_map(|turn| contacts(5_000 + turn * 500)).collect();
    assert_eq!(tried.len(), 2);
    assert!(tried.contains(&address(1)) && tried.contains(&address(2)), "each in turn: {tried:?}");
}

/// All instances start at once. The largest one reads the list while few are on it and takes the
/// fleet to be small, while the others expect it to relay for their zone.
#[test]
fn an_instance_that_found_few_others_relays_if_its_zone_expects_it() {
    let mut largest = fleet_fixture::fleet(&ENGINES);
    largest.set_listed_peers(1, 2);
    let mut other = zone_heartbeat_of(2, 1);
    other.cross_zone_peers = 40;
    largest.apply_heartbeat(at(0), &other);
    assert!(largest.heartbeat_plan("a").is_relayed);
    assert!(largest.is_relay(at(0), "a", zones::OwnMember { capacity: 250, ..member(1) }));
    assert_eq!(largest.cross_zone_peers("a"), 2, "reports of others are not passed on");
    other.cross_zone_peers = 2;
    other.sequence = 2;
    largest.apply_heartbeat(at(200), &other);
    assert!(!largest.heartbeat_plan("a").is_relayed, "the fleet has become small");
}

//! Engines of zones without an instance are owned by a few instances of other zones.

mod fleet_fixture;

use std::time;

use coltsfoot_gateway::fleet_view::{FleetView, zones};
use coltsfoot_gateway::zone_relay;
use coltsfoot_wire::fleet;
use fleet_fixture::at;

const ENGINES: [(&str, &str); 3] = [("e1", "a"), ("e2", "b"), ("e3", "b")];

fn heartbeat(sender: u64, zone: &str, sequence: u64) -> fleet::FleetHeartbeat {
    fleet::FleetHeartbeat {
        sender,
        address: format!("10.0.1.{sender}:7").parse().expect("an address"),
        zone: zone.to_owned(),
        ..fleet_fixture::sample_heartbeat(sequence, Vec::new())
    }
}

fn member(id: u64) -> zones::OwnMember {
    let address = format!("10.0.1.{id}:7").parse().expect("an address");
    zones::OwnMember { id, capacity: 250, address }
}

/// Returns the view of an instance of zone `a` that hears five others there, and one of zone `b` until `ms`.
fn view_of(own: u64, now: u64, last_heard: Option<u64>) -> FleetView {
    let mut view = fleet_fixture::fleet(&ENGINES);
    if let Some(ms) = last_heard {
        view.apply_heartbeat(at(ms), &heartbeat(20, "b", 1));
    }
    for other in (1..=6).filter(|other| *other != own) {
        view.apply_heartbeat(at(now), &heartbeat(other, "a", 1));
    }
    view
}

fn adopters(now: u64, last_heard: Option<u64>) -> Vec<u64> {
    let adopts = |own: &u64| {
        let view = view_of(*own, now, last_heard);
        let zones = view.zones_to_adopt(at(now), member(*own), "a", |service| service == "llm");
        assert!(zones.iter().all(|zone| &**zone == "b"), "{zones:?}");
        !zones.is_empty()
    };
    (1..=6).filter(adopts).collect()
}

/// Guards against engines that nobody orders to load anything once the only instance of their zone has left.
#[test]
fn a_few_instances_adopt_the_engines_of_a_zone_without_one() {
    assert_eq!(adopters(10_000, None).len(), 2);
    assert_eq!(adopters(10_000, Some(7_000)), adopters(10_000, None), "the same at all instances");
    assert!(adopters(10_000, Some(7_001)).is_empty(), "an instance was heard recently");
}

#[test]
fn zones_without_engines_and_evacuated_ones_are_not_adopted() {
    let adopter = adopters(10_000, None)[0];
    let mut view = view_of(adopter, 10_000, None);
    let adopted = |view: &FleetView, service| {
        view.zones_to_adopt(at(10_000), member(adopter), "a", |name| name == service)
    };
    assert_eq!(adopted(&view, "llm").len(), 1);
    assert!(adopted(&view, "plain").is_empty(), "only model engines have owners");
    view.evacuations_mut().evacuate(at(9_000), "b", time::Duration::ZERO);
    assert!(adopted(&view, "llm").is_empty());
}

/// Guards against adopted engines that the instances of further zones never hear of.
#[test]
fn the_relay_reports_the_engines_that_its_zone_has_adopted() {
    let reported = |adopted: &[&str]| {
        let mut view = view_of(1, 1_000, None);
        view.set_adopted(adopted.iter().map(|zone| (*zone).into()));
        let own = zone_relay::RelayState {
            member: member(1),
            zone: "a",
            sequence: 1,
            interval: time::Duration::from_millis(250),
            digests: fleet::MemberDigests {
                instance: 1,
                operator: fleet::TopicDigest::default(),
                upstreams: fleet::TopicDigest::default(),
            },
            fetching: 0,
            queued_fetches: 0,
        };
        zone_relay::ZoneAggregator::default().build(at(1_000), &view, own).engines.len()
    };
    assert_eq!(reported(&[]), 1);
    assert_eq!(reported(&["b"]), 3);
}

//! Choice of the upstream, by load pattern.

mod fleet_fixture;

use std::sync;
use std::time;

use coltsfoot_gateway::{demand, engine_choice, fleet_view, upstream};
use coltsfoot_wire::fleet;
use fleet_fixture::{
    at, fleet, owned_engine, prompt, report_adapters, report_pending, sample_heartbeat, service,
};

fn choose(
    view: &fleet_view::FleetView,
    now: u64,
    demand: &demand::PromptDemand,
) -> Option<engine_choice::ChosenUpstream> {
    let service = service();
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(demand),
        zone: "a",
        tried: &[],
        build: None,
    };
    engine_choice::choose(at(now), view, &request)
}

const SIX_ENGINES: [(&str, &str); 6] =
    [("1", "a"), ("2", "a"), ("3", "b"), ("4", "b"), ("5", "c"), ("6", "c")];

#[test]
fn adapters_have_one_home_each_and_spread_evenly() {
    let view = fleet(&SIX_ENGINES);
    let homes: Vec<sync::Arc<str>> = (0..600)
        .map(|number| choose(&view, 0, &prompt(&format!("a{number}"), 1)).expect("an upstream").id)
        .collect();
    for id in SIX_ENGINES.map(|(id, _)| id) {
        let count = homes.iter().filter(|home| &***home == id).count();
        assert!((60..140).contains(&count), "{count} of 600 adapters on engine {id}");
    }
    let smaller = fleet(&SIX_ENGINES[..5]);
    let moved = (0..600).filter(|number| {
        let demand = prompt(&format!("a{number}"), 1);
        let home = choose(&smaller, 0, &demand).expect("an upstream").id;
        home != homes[*number] && &*homes[*number] != "6"
    });
    assert_eq!(moved.count(), 0, "only adapters of the removed engine move");
}

/// Load pattern: a request for an adapter whose engine has a short queue.
#[test]
fn a_rare_adapter_is_queued_for_rather_than_replicated() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &["a1"], 7);
    for number in 0..3 {
        view.request_sent(at(1), &home, Some(&prompt("a1", 10 + number)));
    }
    let chosen = choose(&view, 2, &demand).expect("an upstream");
    assert_eq!((chosen.id, chosen.needs_load), (home, false));
}

/// Load pattern: an adapter gets more prompt tokens than its engine can prefill.
#[test]
fn a_popular_adapter_gets_a_second_engine() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &["a1"], 7);
    for number in 0..20 {
        view.request_sent(at(number * 50), &home, Some(&prompt("a1", 10 + number)));
    }
    let chosen = choose(&view, 1000, &demand).expect("an upstream");
    assert!(chosen.needs_load);
    assert_ne!(chosen.id, home);
}

#[test]
fn an_engine_without_a_free_slot_gets_no_further_adapter() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &["a2"], 0);
    assert_ne!(choose(&view, 0, &demand).expect("another upstream").id, home);
    for (id, _) in SIX_ENGINES {
        report_adapters(&mut view, id, &["a2"], 0);
    }
    assert_eq!(choose(&view, 0, &demand), None);
}

/// Load pattern: a zone is cut off; connections to its engines are reset one after the other.
#[test]
fn two_failed_connections_make_the_rest_of_their_zone_avoided() {
    let engines = [("1", "a"), ("2", "b"), ("3", "b"), ("4", "b"), ("5", "b")];
    let mut view = fleet(&engines);
    for (id, _) in engines {
        report_adapters(&mut view, id, &["a1"], 7);
    }
    for number in 0..5 {
        view.request_sent(at(1), "1", Some(&prompt("a1", 10 + number)));
    }
    assert_ne!(
        &*choose(&view, 2, &prompt("a1", 1)).expect("an upstream").id,
        "1",
        "engine 1 has a long queue"
    );
    view.connect_failed(at(3), "2");
    view.connect_failed(at(3), "3");
    assert_eq!(&*choose(&view, 4, &prompt("a1", 1)).expect("an upstream").id, "1");
}

#[test]
fn an_older_version_serves_only_while_it_is_replaced() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &["a1"], 7);
    let name = demand.adapter.clone().expect("an adapter");
    assert!(view.record_version(at(1000), &name, 2, Some(at(1000))));
    assert!(!view.record_version(at(1001), &name, 2, Some(at(1001))), "the version is known");
    assert!(!choose(&view, 2000, &demand).expect("an upstream").needs_load);
    assert!(choose(&view, 6000, &demand).expect("an upstream").needs_load);
}

/// Guards against an engine without an owner, whose old version every further new one made usable again.
#[test]
fn a_version_that_was_replaced_long_ago_does_not_serve_while_a_further_one_is_loaded() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &["a1"], 7);
    let name = demand.adapter.clone().expect("an adapter");
    assert!(view.record_version(at(1000), &name, 2, Some(at(1000))));
    assert!(view.record_version(at(11_000), &name, 3, Some(at(11_000))));
    assert!(choose(&view, 11_100, &demand).expect("an upstream").needs_load);
}

/// Load pattern: an engine stops sending during running requests, without closing a connection.
#[test]
fn a_silent_engine_gets_no_further_requests() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    for (id, _) in SIX_ENGINES {
        report_adapters(&mut view, id, &["a1"], 7);
    }
    view.request_sent(at(0), &home, Some(&demand));
    view.prefill_finished(&home, 100_000);
    view.record_activity(at(300), &home);
    assert!(!view.upstream(&home).expect("known").is_silent(at(900)));
    assert!(view.upstream(&home).expect("known").is_silent(at(1100)));
    assert_ne!(choose(&view, 1100, &demand).expect("another upstream").id, home);
}

/// Load pattern: a burst for one adapter, whose first load request takes the only free slot at its home.
#[test]
fn requests_wait_at_the_engine_that_loads_their_adapter() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    let demand = prompt("x", 1);
    let key = demand.adapter.as_ref().expect("an adapter").key();
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    let other = if &*home == "a" { "b" } else { "a" };
    report_adapters(&mut view, &home, &[], 1);
    view.load_requested(at(0), &home, key);
    // The owner reports that its last slot is taken.
    report_adapters(&mut view, &home, &[], 0);
    let joined = choose(&view, 0, &demand).expect("an upstream");
    assert_eq!((&*joined.id, joined.needs_load), (&*home, true));
    view.load_ended(&home, key);
    assert_eq!(&*choose(&view, 0, &demand).expect("an upstream").id, other);
    // Another instance learns the same from the owner's heartbeat.
    let pending = vec![fleet::PendingAdapter { adapter: key.0, ready_in_ms: 200 }];
    report_pending(&mut view, &home, pending);
    let joined = choose(&view, 0, &demand).expect("an upstream");
    assert_eq!((&*joined.id, joined.needs_load), (&*home, true));
    assert_eq!(&*choose(&view, 0, &prompt("y", 1)).expect("an upstream").id, other);
}

/// Load pattern: short requests of other instances on many adapters, each of which frees a slot at its
/// end.
#[test]
fn an_adapter_is_in_use_elsewhere_only_while_its_requests_run() {
    let mut view = fleet(&[("a", "z")]);
    let number = view.upstream("a").expect("known").number;
    let key = prompt("x", 1).adapter.expect("an adapter").key();
    let usage = |running| fleet::AdapterUsage { upstream: number, adapter: key.0, running };
    view.apply_heartbeat(at(100), &sample_heartbeat(1, vec![usage(2)]));
    assert!(view.upstream("a").expect("known").is_in_use(at(110), key));
    view.apply_heartbeat(at(250), &sample_heartbeat(2, vec![usage(0)]));
    assert!(!view.upstream("a").expect("known").is_in_use(at(260), key));
    view.apply_heartbeat(at(400), &sample_heartbeat(3, vec![usage(1)]));
    view.apply_heartbeat(at(550), &sample_heartbeat(4, Vec::new()));
    assert!(!view.upstream("a").expect("known").is_in_use(at(560), key));
}

#[test]
fn engine_states_live_longer_in_a_fleet_with_slow_heartbeats() {
    let mut view = fleet(&[("a", "z")]);
    let number = view.upstream("a").expect("known").number;
    for (sequence, interval_ms, age, expected) in [(1, 150, 1600, 1), (2, 1000, 9000, 0)] {
        let mut heartbeat = sample_heartbeat(sequence, Vec::new());
        heartbeat.interval_ms = interval_ms;
        heartbeat.engines = Some(vec![fleet::OwnedEngine { fence: 2, ..owned_engine(number) }]);
        view.apply_heartbeat(at(1000), &heartbeat);
        let stale = view.stale_engines(at(1000 + age), time::Duration::from_millis(1500));
        assert_eq!(stale.len(), expected, "{interval_ms} ms between heartbeats");
    }
}

/// Failure: an unreachable instance owns engines, so load requests to it would be lost.
#[test]
fn an_owner_without_heartbeats_gets_no_load_requests() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    let demand = prompt("x", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    let other = if &*home == "a" { "b" } else { "a" };
    let number = view.upstream(&home).expect("known").number;
    let mut heartbeat = sample_heartbeat(1, Vec::new());
    heartbeat.engines = Some(vec![fleet::OwnedEngine { fence: 2, ..owned_engine(number) }]);
    view.apply_heartbeat(at(1000), &heartbeat);
    assert_eq!(choose(&view, 1100, &demand).expect("an upstream").id, home);
    assert_eq!(&*choose(&view, 1700, &demand).expect("an upstream").id, other);
    view.apply_heartbeat(at(1800), &sample_heartbeat(2, Vec::new()));
    assert_eq!(choose(&view, 1900, &demand).expect("an upstream").id, home);
}

/// Load pattern: a rare adapter in a large fleet. A few instances with one request each say nothing about
/// the demand at the others.
#[test]
fn a_rare_adapter_is_not_replicated_because_the_fleet_is_large() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &["a1"], 7);
    for sender in 100..178 {
        view.apply_heartbeat(
            at(1),
            &fleet::FleetHeartbeat { sender, ..sample_heartbeat(1, Vec::new()) },
        );
    }
    for number in 0..2 {
        view.request_sent(at(1), &home, Some(&prompt("a1", 10 + number)));
    }
    assert_eq!(choose(&view, 2, &demand).expect("an upstream").id, home);
}

/// Load pattern: the home of an adapter was full once. The engine that loaded it then need not fetch it
/// again.
#[test]
fn an_adapter_that_no_engine_holds_goes_where_it_is_warm() {
    let mut view = fleet(&SIX_ENGINES);
    let demand = prompt("a1", 1);
    let home = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &home, &[], 0);
    let second = choose(&view, 0, &demand).expect("an upstream").id;
    report_adapters(&mut view, &second, &["a1"], 7);
    report_adapters(&mut view, &second, &[], 8);
    report_adapters(&mut view, &home, &[], 8);
    assert_eq!(choose(&view, 0, &demand).expect("an upstream").id, second);
}

/// Load pattern: a stream broke off at a busy engine, while engines of another version are idle and hold
/// its adapter.
#[test]
fn stream_waits_for_its_version_rather_than_going_on_at_an_idle_engine_of_another() {
    let mut view = fleet_view::FleetView::default();
    for (id, version) in [("1", "v1"), ("2", "v1"), ("3", "v2")] {
        let entry = upstream::UpstreamEntry {
            version: Some(version.into()),
            ..fleet_fixture::entry(id, "a")
        };
        view.put_upstream(entry);
    }
    report_adapters(&mut view, "1", &["a1"], 0);
    report_adapters(&mut view, "3", &["a1"], 0);
    let demand = prompt("a1", 1);
    for number in 0..20 {
        view.request_sent(at(1), "1", Some(&prompt("a1", 10 + number)));
    }
    let build = upstream::BuildKey::new("llm", Some("v1"));
    let service = service();
    let place = |tried: &[sync::Arc<str>], build| {
        let request = engine_choice::PlacedRequest {
            service: &service,
            demand: Some(&demand),
            zone: "a",
            tried,
            build,
        };
        engine_choice::choose(at(2), &view, &request).map(|chosen| (chosen.id, chosen.build))
    };
    assert_eq!(place(&[], None).expect("an upstream").0, "3".into());
    assert_eq!(place(&[], Some(build)), Some(("1".into(), build)));
    assert_eq!(place(&["1".into(), "2".into()], Some(build)), None);
    assert!(view.is_build_ready("llm", build));
    for id in ["1", "2"] {
        view.remove_upstream(id);
    }
    assert!(!view.is_build_ready("llm", build), "its version has left");
}

//! Names whose short hashes are the same stand for different things.

mod fleet_fixture;

use std::sync;
use std::time;

use coltsfoot_gateway::engine_controller::EngineController;
use coltsfoot_gateway::engine_order::{ControllerStep, EngineOrder, OrderConstraints};
use coltsfoot_gateway::{demand, fleet_view, rendezvous, upstream};
use coltsfoot_wire::fleet;
use fleet_fixture::at;

const MODEL: &str = "daka510491";
/// Adapters of the model whose names have the same short hash.
const SAME_HASH: [&str; 2] = ["a213", "a263"];

fn adapter(name: &str) -> demand::AdapterName {
    demand::AdapterName { model: MODEL.into(), adapter: name.into() }
}

fn short_hash(name: &str) -> u32 {
    rendezvous::hash_of(&(MODEL, name)) as u32
}

fn resident(name: &str) -> upstream::ResidentAdapter {
    upstream::ResidentAdapter { name: adapter(name), version: 1 }
}

/// Returns the controller of a full engine with two slots.
fn full_controller() -> EngineController<u32> {
    let mut controller = EngineController::new(MODEL.into(), 2);
    let report = upstream::EngineReport {
        models: vec![MODEL.into()],
        adapters: vec![resident(SAME_HASH[0]), resident("a1")],
        ..upstream::EngineReport::default()
    };
    controller.report_ended(at(0), Some(&report));
    controller
}

fn next(
    controller: &mut EngineController<u32>,
    newest: impl Fn(demand::AdapterKey) -> Option<u64>,
) -> ControllerStep {
    let constraints = OrderConstraints {
        may_order: true,
        may_fetch: true,
        min_report_interval: time::Duration::ZERO,
    };
    controller.next_step(at(20), constraints, |_| false, newest)
}

/// Guards against an engine that is ordered to load more adapters than it has slots, as it holds one whose name
/// has the same short hash.
#[test]
fn an_adapter_does_not_take_the_slot_of_one_with_the_same_short_hash() {
    assert_eq!(short_hash(SAME_HASH[0]), short_hash(SAME_HASH[1]));
    let mut controller = full_controller();
    controller.request_load(at(10), &adapter(SAME_HASH[1]), None, 1, |_| false);
    let step = next(&mut controller, |_| None);
    assert!(
        matches!(&step, ControllerStep::Order { order: EngineOrder::UnloadAdapter(_), .. }),
        "a slot is freed first, not {step:?}"
    );
}

/// Guards against orders to load a version that nobody has declared.
#[test]
fn a_version_belongs_to_the_adapter_that_it_was_declared_for() {
    let mut view = fleet_view::FleetView::default();
    view.record_version(at(0), &adapter(SAME_HASH[1]), 2, Some(at(0)));
    assert_eq!(view.newest_version(adapter(SAME_HASH[0]).key()), None);
    let step = next(&mut full_controller(), |key| view.newest_version(key));
    assert!(matches!(step, ControllerStep::Wait(_)), "{step:?}");
}

/// Guards against requests that are sent to an engine which holds an adapter with the same short hash.
#[test]
fn an_engine_that_holds_one_adapter_is_not_taken_to_hold_the_other() {
    let (held, other) = (adapter(SAME_HASH[0]).key(), adapter(SAME_HASH[1]).key());
    let view = |told: fleet::AdapterId| {
        let mut view = fleet_fixture::fleet(&[("1", "a")]);
        let number = view.upstream("1").expect("known").number;
        let adapters = vec![fleet::ResidentAdapter { adapter: told, version: 1 }];
        let engine = fleet::OwnedEngine { adapters, ..fleet_fixture::owned_engine(number) };
        view.apply_own_engine(at(1), &engine);
        view
    };
    let is_usable = |view: &fleet_view::FleetView, key| {
        view.has_usable_adapter(at(2), view.upstream("1").expect("known"), key)
    };
    let told = view(held.0);
    assert!(is_usable(&told, held));
    assert!(!is_usable(&told, other));
    // An owner of an earlier build does not tell which of both it is.
    let unclear = view(held.0.without_digest());
    assert!(is_usable(&unclear, held));
    assert!(is_usable(&unclear, other));
    let mut missing = unclear;
    missing.adapter_missing("1", other);
    assert!(!is_usable(&missing, other));
}

/// Guards against the eviction of an adapter on which an instance of an earlier build runs requests.
#[test]
fn usage_that_an_earlier_build_reports_protects_the_adapter() {
    let key = adapter(SAME_HASH[0]).key();
    let mut view = fleet_fixture::fleet(&[("1", "a")]);
    let upstream = view.upstream("1").expect("known").number;
    let used = fleet::AdapterUsage { upstream, adapter: key.0.without_digest(), running: 2 };
    view.apply_heartbeat(at(1), &fleet_fixture::sample_heartbeat(1, vec![used]));
    assert_eq!(view.upstream("1").expect("known").running_on(at(2), key), 2);
    let mut controller = full_controller();
    controller.touch(at(15), demand::AdapterKey(key.0.without_digest()));
    controller.request_load(at(18), &adapter("a7"), None, 1, |_| false);
    let ControllerStep::Order { order, .. } = next(&mut controller, |_| None) else {
        panic!("an order is due")
    };
    assert_eq!(order, EngineOrder::UnloadAdapter(adapter("a1")), "the other one was used last");
}

#[test]
fn names_that_read_the_same_in_sequence_have_different_keys() {
    let name = |model: &str, adapter: &str| demand::AdapterName {
        model: sync::Arc::from(model),
        adapter: adapter.into(),
    };
    assert_ne!(name("ab", "c").key().0.digest, name("a", "bc").key().0.digest);
    assert_eq!(name("ab", "c").key(), name("ab", "c").key());
}

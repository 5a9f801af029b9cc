//! Engine controller: loads, evictions, lost answers and slow loads.

use std::sync;
use std::time;

use coltsfoot_gateway::engine_controller::EngineController;
use coltsfoot_gateway::engine_order::{ControllerStep, EngineOrder, OrderAnswer, OrderConstraints};
use coltsfoot_gateway::{demand, engine_order, fetch_limiter, upstream};
use coltsfoot_types::time as clock;

const IDLE_STORE: engine_order::FetchLoad = engine_order::FetchLoad {
    in_flight: 0,
    concurrency_limit: 8,
    fetch_time: time::Duration::from_millis(250),
};
const NO_CONSTRAINTS: OrderConstraints = OrderConstraints {
    may_order: true,
    may_fetch: true,
    min_report_interval: time::Duration::ZERO,
};

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn model() -> sync::Arc<str> {
    "drafting".into()
}

fn adapter(number: usize) -> demand::AdapterName {
    demand::AdapterName { model: model(), adapter: format!("a{number}").into() }
}

fn report(order_count: u64, adapters: &[usize]) -> upstream::EngineReport {
    let held = |number: &usize| upstream::ResidentAdapter { name: adapter(*number), version: 1 };
    upstream::EngineReport {
        order_count,
        models: vec![model()],
        adapters: adapters.iter().map(held).collect(),
        ..upstream::EngineReport::default()
    }
}

/// Returns a controller of an engine with two adapter slots that holds the given adapters.
fn controller(adapters: &[usize]) -> EngineController<u32> {
    let mut controller = EngineController::new(model(), 2);
    assert_eq!(
        controller.next_step(at(0), NO_CONSTRAINTS, |_| false, |_| None),
        ControllerStep::Report
    );
    controller.report_ended(at(0), Some(&report(0, adapters)));
    controller
}

fn next(controller: &mut EngineController<u32>, now: u64) -> ControllerStep {
    controller.next_step(at(now), NO_CONSTRAINTS, |_| false, |_| None)
}

fn load(number: usize) -> EngineOrder {
    EngineOrder::LoadAdapter { name: adapter(number), version: None }
}

fn end(controller: &mut EngineController<u32>, now: u64, order: &EngineOrder, answer: OrderAnswer) {
    controller.order_ended(at(now), order, answer, IDLE_STORE, |_| None);
}

#[test]
fn all_waiters_share_one_load_and_are_told_one_after_another_when_it_is_ready() {
    let mut controller = controller(&[]);
    controller.request_load(at(0), &adapter(1), None, 10, |_| false);
    controller.request_load(at(1), &adapter(1), None, 11, |_| false);
    controller.request_load(at(2), &adapter(1), None, 11, |_| false);
    assert_eq!(
        next(&mut controller, 2),
        ControllerStep::Order { order: load(1), expected_count: 0 }
    );
    end(&mut controller, 5, &load(1), OrderAnswer::Accepted);
    assert!(
        matches!(next(&mut controller, 5), ControllerStep::Wait(_)),
        "the load is not ordered twice"
    );
    assert!(controller.take_replies(at(200)).is_empty());
    let mut take = |now| {
        let replies = controller.take_replies(at(now));
        replies.iter().map(|reply| (reply.waiter, reply.is_ready)).collect::<Vec<_>>()
    };
    assert_eq!(take(300), [(10, true)], "the first shows whether the adapter is loaded");
    assert_eq!(take(329), []);
    assert_eq!(take(330), [(11, true)]);
}

#[test]
fn the_least_recently_used_adapter_is_evicted() {
    let mut controller = controller(&[1, 2]);
    controller.touch(at(10), adapter(1).key());
    controller.request_load(at(20), &adapter(3), None, 1, |_| false);
    let order = EngineOrder::UnloadAdapter(adapter(2));
    assert_eq!(
        next(&mut controller, 20),
        ControllerStep::Order { order: order.clone(), expected_count: 0 }
    );
    end(&mut controller, 21, &order, OrderAnswer::Holds);
    assert_eq!(
        next(&mut controller, 22),
        ControllerStep::Order { order: load(3), expected_count: 1 }
    );
}

#[test]
fn an_adapter_with_requests_is_not_evicted_and_the_waiter_is_refused() {
    let mut controller = controller(&[1, 2]);
    controller.request_load(at(20), &adapter(3), None, 1, |_| true);
    let replies = controller.take_replies(at(20));
    assert_eq!(replies.len(), 1, "the refusal is immediate");
    assert!(!replies[0].is_ready);
    let step = controller.next_step(at(20), NO_CONSTRAINTS, |_| true, |_| None);
    assert!(matches!(step, ControllerStep::Wait(_)));
    assert_eq!(controller.available_slots(at(20), |_| true), 0);
}

#[test]
fn an_unanswered_order_is_repeated_with_the_same_count_before_any_other() {
    let mut controller = controller(&[1, 2]);
    controller.request_load(at(20), &adapter(3), None, 1, |_| false);
    let order = EngineOrder::UnloadAdapter(adapter(1));
    let step =
        controller.next_step(at(20), NO_CONSTRAINTS, |key| key == adapter(2).key(), |_| None);
    assert_eq!(step, ControllerStep::Order { order: order.clone(), expected_count: 0 });
    end(&mut controller, 320, &order, OrderAnswer::Unknown);
    controller.touch(at(330), adapter(1).key());
    assert_eq!(
        next(&mut controller, 340),
        ControllerStep::Order { order: order.clone(), expected_count: 0 }
    );
    // The first order was carried out meanwhile, so a report is queried.
    end(&mut controller, 350, &order, OrderAnswer::Conflict);
    assert!(
        matches!(next(&mut controller, 360), ControllerStep::Wait(_)),
        "a report may predate the order"
    );
    assert_eq!(next(&mut controller, 760), ControllerStep::Report);
    controller.report_ended(at(760), Some(&report(1, &[2])));
    assert!(controller.ready(at(760)).all(|(key, _)| key == adapter(2).key()));
}

#[test]
fn an_old_report_changes_nothing() {
    let mut controller = controller(&[]);
    controller.request_load(at(0), &adapter(1), None, 1, |_| false);
    next(&mut controller, 0);
    end(&mut controller, 5, &load(1), OrderAnswer::Accepted);
    controller.report_ended(at(300), Some(&report(0, &[])));
    assert_eq!(controller.ready(at(300)).count(), 1);
}

#[test]
fn a_slow_load_is_extended_and_a_lost_adapter_triggers_a_report() {
    let mut controller = controller(&[]);
    controller.request_load(at(0), &adapter(1), None, 1, |_| false);
    next(&mut controller, 0);
    end(&mut controller, 5, &load(1), OrderAnswer::Accepted);
    assert_eq!(controller.take_replies(at(270)).len(), 1);
    controller.found_missing(at(280), adapter(1).key());
    controller.request_load(at(280), &adapter(1), None, 2, |_| false);
    assert!(controller.take_replies(at(300)).is_empty(), "the expected load time is extended");
    assert_eq!(controller.take_replies(at(345)).len(), 1);
    controller.found_missing(at(1_800), adapter(1).key());
    assert_eq!(next(&mut controller, 2_300), ControllerStep::Report);
}

#[test]
fn a_busy_weight_store_delays_fetches_but_not_warm_loads() {
    let mut controller = controller(&[1]);
    controller.report_ended(at(1), Some(&report(0, &[1])));
    let busy = OrderConstraints { may_fetch: false, ..NO_CONSTRAINTS };
    controller.request_load(at(10), &adapter(7), None, 1, |_| false);
    let step = controller.next_step(at(10), busy, |_| false, |_| None);
    assert!(matches!(step, ControllerStep::Wait(until) if until <= at(40)), "it checks again soon");
    let unload = EngineOrder::UnloadAdapter(adapter(1));
    end(&mut controller, 11, &unload, OrderAnswer::Holds);
    controller.request_load(at(12), &adapter(1), None, 2, |_| false);
    let step = controller.next_step(at(12), busy, |_| false, |_| None);
    assert_eq!(step, ControllerStep::Order { order: load(1), expected_count: 1 });
    assert_eq!(controller.queued_fetches(), 1);
}

#[test]
fn the_fetch_limit_is_shared_by_all_instances() {
    let may_fetch = |own, others| {
        engine_order::FetchLoad { in_flight: own + others, ..IDLE_STORE }.may_fetch(own)
    };
    assert!(may_fetch(7, 0));
    assert!(!may_fetch(8, 0));
    assert!(!may_fetch(1, 7));
    assert!(may_fetch(0, 8), "each instance may start one fetch");
    assert!(!may_fetch(0, 16));
}

#[test]
fn a_newer_version_replaces_an_older_one() {
    let mut controller = controller(&[1]);
    let step = controller.next_step(at(10), NO_CONSTRAINTS, |_| true, |_| Some(4));
    let order = EngineOrder::LoadAdapter { name: adapter(1), version: Some(4) };
    assert_eq!(step, ControllerStep::Order { order: order.clone(), expected_count: 0 });
    controller.order_ended(at(12), &order, OrderAnswer::Accepted, IDLE_STORE, |_| Some(4));
    assert_eq!(controller.ready(at(400)).collect::<Vec<_>>(), [(adapter(1).key(), 4)]);
}

#[test]
fn the_base_model_is_ordered_first_and_once() {
    let mut controller: EngineController<u32> = EngineController::new(model(), 2);
    controller.report_ended(at(0), Some(&upstream::EngineReport::default()));
    controller.request_load(at(1), &adapter(1), None, 1, |_| false);
    let order = EngineOrder::LoadModel(model());
    assert_eq!(
        next(&mut controller, 1),
        ControllerStep::Order { order: order.clone(), expected_count: 0 }
    );
    end(&mut controller, 5, &order, OrderAnswer::Accepted);
    assert!(matches!(next(&mut controller, 6), ControllerStep::Wait(_)));
    assert!(!controller.has_model(at(6)));
}

#[test]
fn nothing_is_ordered_without_permission() {
    let mut controller = controller(&[]);
    controller.request_load(at(0), &adapter(1), None, 1, |_| false);
    let constraints = OrderConstraints { may_order: false, ..NO_CONSTRAINTS };
    let step = controller.next_step(at(0), constraints, |_| false, |_| Some(9));
    assert!(matches!(step, ControllerStep::Wait(_)));
}

/// Load pattern: rare adapters in quick succession at an engine without free slots.
#[test]
fn an_adapter_is_not_evicted_before_the_request_that_needs_it_arrives() {
    let mut controller = controller(&[1, 2]);
    controller.touch(at(10), adapter(1).key());
    controller.touch(at(10), adapter(2).key());
    let in_use = |key| key == adapter(1).key();
    controller.request_load(at(20), &adapter(3), None, 1, |_| false);
    for _ in 0..2 {
        if let ControllerStep::Order { order, .. } =
            controller.next_step(at(20), NO_CONSTRAINTS, in_use, |_| None)
        {
            controller.order_ended(at(20), &order, OrderAnswer::Accepted, IDLE_STORE, |_| None);
        }
    }
    let mut controller = self::controller(&[1]);
    controller.request_load(at(20), &adapter(3), None, 1, |_| false);
    let ControllerStep::Order { order, .. } = next(&mut controller, 20) else { panic!("no load") };
    end(&mut controller, 21, &order, OrderAnswer::Accepted);
    assert_eq!(
        controller.take_replies(at(300)).len(),
        1,
        "the adapter is ready, its request is in transit"
    );
    controller.request_load(at(310), &adapter(4), None, 2, |_| false);
    let step = controller.next_step(at(310), NO_CONSTRAINTS, in_use, |_| None);
    assert!(matches!(step, ControllerStep::Wait(_)), "{step:?}");
    assert_eq!(controller.available_slots(at(310), in_use), 0);
    let step = controller.next_step(at(800), NO_CONSTRAINTS, in_use, |_| None);
    let order = EngineOrder::UnloadAdapter(adapter(3));
    assert!(matches!(step, ControllerStep::Order { order: given, .. } if given == order));
}

/// The evicted adapter turns out to be in use, so the engine refuses orders until its requests end.
#[test]
fn an_unload_that_waits_for_requests_is_not_an_error() {
    let mut controller = controller(&[1, 2]);
    controller.request_load(at(20), &adapter(3), None, 1, |_| false);
    let ControllerStep::Order { order, .. } = next(&mut controller, 20) else {
        panic!("no unload")
    };
    end(&mut controller, 21, &order, OrderAnswer::Accepted);
    assert_eq!(
        controller.ready(at(22)).count(),
        1,
        "no further request uses the unloading adapter"
    );
    let load = load(3);
    assert_eq!(
        next(&mut controller, 22),
        ControllerStep::Order { order: load.clone(), expected_count: 1 }
    );
    end(&mut controller, 23, &load, OrderAnswer::Conflict);
    let ControllerStep::Wait(until) = next(&mut controller, 24) else { panic!("no wait") };
    assert!(until <= at(150), "the order is retried soon");
    assert_eq!(
        next(&mut controller, 150),
        ControllerStep::Order { order: load.clone(), expected_count: 1 }
    );
    end(&mut controller, 151, &load, OrderAnswer::Accepted);
    assert_eq!(controller.ready(at(500)).count(), 2);
}

#[test]
fn a_fetch_is_late_if_a_request_found_the_adapter_missing() {
    let mut controller = controller(&[]);
    let busy = engine_order::FetchLoad { in_flight: 5, ..IDLE_STORE };
    for number in [1, 2] {
        controller.request_load(at(0), &adapter(number), None, 1, |_| false);
        let ControllerStep::Order { order, .. } = next(&mut controller, 0) else {
            panic!("no load")
        };
        controller.order_ended(at(0), &order, OrderAnswer::Accepted, busy, |_| None);
    }
    controller.found_missing(at(260), adapter(2).key());
    assert!(controller.take_samples(at(400)).is_empty(), "a request may still find it missing");
    let expected = time::Duration::from_millis(250);
    let timely =
        fetch_limiter::FetchSample { started: at(0), concurrency: 6, expected, actual: expected };
    assert_eq!(controller.take_samples(at(410)), [timely]);
    let late = fetch_limiter::FetchSample { actual: time::Duration::from_millis(320), ..timely };
    assert_eq!(controller.take_samples(at(480)), [late]);
    assert!(controller.take_samples(at(2_000)).is_empty(), "each sample is returned once");
}

#[test]
fn report_queries_of_an_engine_with_a_request_limit_keep_the_minimum_interval() {
    let mut controller = controller(&[1]);
    let constraints =
        OrderConstraints { min_report_interval: time::Duration::from_secs(10), ..NO_CONSTRAINTS };
    let mut now = 0;
    let mut reports = Vec::new();
    while now < 25_000 {
        match controller.next_step(at(now), constraints, |_| false, |_| None) {
            ControllerStep::Report => {
                reports.push(now);
                controller.report_ended(at(now), Some(&report(0, &[1])));
            }
            ControllerStep::Wait(due) => {
                assert!(due > at(now), "the wait must end in the future");
                now = due.0 / 1000;
            }
            ControllerStep::Order { order, .. } => panic!("{order:?}"),
        }
    }
    assert_eq!(reports, [10_000, 20_000]);
    let after_reports = at(25_000);
    controller.request_load(after_reports, &adapter(2), None, 1, |_| false);
    let step = controller.next_step(after_reports, constraints, |_| false, |_| None);
    assert!(
        matches!(step, ControllerStep::Order { .. }),
        "orders do not wait for a report: {step:?}"
    );
}

/// Load pattern: rare adapters at an engine whose request limit is used up.
#[test]
fn a_load_request_is_refused_at_once_while_orders_are_paused() {
    let mut controller = controller(&[1]);
    controller.pause(at(3_000));
    controller.request_load(at(10), &adapter(2), None, 1, |_| false);
    controller.request_load(at(10), &adapter(1), None, 2, |_| false);
    let replies = controller.take_replies(at(10));
    assert_eq!(replies.iter().map(|reply| reply.is_ready).collect::<Vec<_>>(), [false, true]);
    assert!(matches!(next(&mut controller, 20), ControllerStep::Wait(due) if due > at(20)));
    assert!(matches!(next(&mut controller, 2_500), ControllerStep::Wait(due) if due <= at(3_000)));
    let engine = controller.describe(at(20), 1, 1, true, IDLE_STORE, |_| false);
    assert!(!engine.takes_orders);
    assert_eq!(next(&mut controller, 3_000), ControllerStep::Report);
}

/// Guards against a gateway that answered nobody while a rate-limited engine's report was due: the step
/// named a time in the past, so that its task went round without waiting.
#[rstest::rstest]
#[case::report_is_due(2_000)]
#[case::report_falls_due_in_the_pause(1_900)]
#[case::nothing_else_is_due(100)]
fn a_paused_controller_waits_for_a_time_in_the_future(#[case] paused: u64) {
    let mut controller = controller(&[1]);
    controller.pause(at(paused + 300));
    for now in (paused..paused + 300).step_by(50) {
        match next(&mut controller, now) {
            ControllerStep::Wait(due) => assert!(due > at(now), "{due:?} at {now} ms"),
            step => panic!("a paused controller decides on {step:?}"),
        }
    }
    assert!(controller.take_replies(at(paused)).is_empty());
    if paused + 300 >= 2_000 {
        assert_eq!(next(&mut controller, paused + 300), ControllerStep::Report);
    }
}

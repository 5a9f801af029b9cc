//! Orders to one engine: loads, evictions, lost answers, loads that take longer.

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

/// A desk for an engine with two places that holds the given adapters.
fn desk(adapters: &[usize]) -> EngineController<u32> {
    let mut desk = EngineController::new(model(), 2);
    assert_eq!(desk.next_step(at(0), NO_CONSTRAINTS, |_| false, |_| None), ControllerStep::Report);
    desk.report_ended(at(0), Some(&report(0, adapters)));
    desk
}

fn next(desk: &mut EngineController<u32>, now: u64) -> ControllerStep {
    desk.next_step(at(now), NO_CONSTRAINTS, |_| false, |_| None)
}

fn load(number: usize) -> EngineOrder {
    EngineOrder::LoadAdapter { name: adapter(number), version: None }
}

fn end(desk: &mut EngineController<u32>, now: u64, order: &EngineOrder, answer: OrderAnswer) {
    desk.order_ended(at(now), order, answer, IDLE_STORE, |_| None);
}

#[test]
fn all_askers_share_one_load_and_hear_when_it_is_ready() {
    let mut desk = desk(&[]);
    desk.request_load(at(0), &adapter(1), None, 10, |_| false);
    desk.request_load(at(1), &adapter(1), None, 11, |_| false);
    desk.request_load(at(2), &adapter(1), None, 11, |_| false);
    assert_eq!(next(&mut desk, 2), ControllerStep::Order { order: load(1), expected_count: 0 });
    end(&mut desk, 5, &load(1), OrderAnswer::Accepted);
    assert!(matches!(next(&mut desk, 5), ControllerStep::Wait(_)), "it is not ordered again");
    assert!(desk.take_replies(at(200)).is_empty());
    let replies = desk.take_replies(at(300));
    assert_eq!(
        replies.iter().map(|reply| (reply.waiter, reply.is_ready)).collect::<Vec<_>>(),
        [(10, true), (11, true)]
    );
}

#[test]
fn the_adapter_that_was_not_used_for_longest_makes_way() {
    let mut desk = desk(&[1, 2]);
    desk.touch(at(10), adapter(1).key());
    desk.request_load(at(20), &adapter(3), None, 1, |_| false);
    let order = EngineOrder::UnloadAdapter(adapter(2));
    assert_eq!(
        next(&mut desk, 20),
        ControllerStep::Order { order: order.clone(), expected_count: 0 }
    );
    end(&mut desk, 21, &order, OrderAnswer::Holds);
    assert_eq!(next(&mut desk, 22), ControllerStep::Order { order: load(3), expected_count: 1 });
}

#[test]
fn an_adapter_with_requests_stays_and_its_asker_is_sent_elsewhere() {
    let mut desk = desk(&[1, 2]);
    desk.request_load(at(20), &adapter(3), None, 1, |_| true);
    let replies = desk.take_replies(at(20));
    assert_eq!(replies.len(), 1, "at once");
    assert!(!replies[0].is_ready);
    let step = desk.next_step(at(20), NO_CONSTRAINTS, |_| true, |_| None);
    assert!(matches!(step, ControllerStep::Wait(_)));
    assert_eq!(desk.available_slots(at(20), |_| true), 0);
}

#[test]
fn an_order_without_answer_is_repeated_under_the_same_count_before_any_other() {
    let mut desk = desk(&[1, 2]);
    desk.request_load(at(20), &adapter(3), None, 1, |_| false);
    let order = EngineOrder::UnloadAdapter(adapter(1));
    let step = desk.next_step(at(20), NO_CONSTRAINTS, |key| key == adapter(2).key(), |_| None);
    assert_eq!(step, ControllerStep::Order { order: order.clone(), expected_count: 0 });
    end(&mut desk, 320, &order, OrderAnswer::Unknown);
    desk.touch(at(330), adapter(1).key());
    assert_eq!(
        next(&mut desk, 340),
        ControllerStep::Order { order: order.clone(), expected_count: 0 }
    );
    // The first one was carried out meanwhile: what the engine holds is asked.
    end(&mut desk, 350, &order, OrderAnswer::Conflict);
    assert!(
        matches!(next(&mut desk, 360), ControllerStep::Wait(_)),
        "a report may be older than that"
    );
    assert_eq!(next(&mut desk, 760), ControllerStep::Report);
    desk.report_ended(at(760), Some(&report(1, &[2])));
    assert!(desk.ready(at(760)).all(|(key, _)| key == adapter(2).key()));
}

#[test]
fn an_old_report_changes_nothing() {
    let mut desk = desk(&[]);
    desk.request_load(at(0), &adapter(1), None, 1, |_| false);
    next(&mut desk, 0);
    end(&mut desk, 5, &load(1), OrderAnswer::Accepted);
    desk.report_ended(at(300), Some(&report(0, &[])));
    assert_eq!(desk.ready(at(300)).count(), 1);
}

#[test]
fn a_load_that_takes_longer_is_waited_for_and_a_lost_adapter_is_looked_up() {
    let mut desk = desk(&[]);
    desk.request_load(at(0), &adapter(1), None, 1, |_| false);
    next(&mut desk, 0);
    end(&mut desk, 5, &load(1), OrderAnswer::Accepted);
    assert_eq!(desk.take_replies(at(270)).len(), 1);
    desk.found_missing(at(280), adapter(1).key());
    desk.request_load(at(280), &adapter(1), None, 2, |_| false);
    assert!(desk.take_replies(at(300)).is_empty(), "its time is extended");
    assert_eq!(desk.take_replies(at(345)).len(), 1);
    desk.found_missing(at(1_800), adapter(1).key());
    assert_eq!(next(&mut desk, 2_300), ControllerStep::Report);
}

#[test]
fn fetches_are_held_back_while_the_weight_store_is_busy_but_warm_loads_are_not() {
    let mut desk = desk(&[1]);
    desk.report_ended(at(1), Some(&report(0, &[1])));
    let busy = OrderConstraints { may_fetch: false, ..NO_CONSTRAINTS };
    desk.request_load(at(10), &adapter(7), None, 1, |_| false);
    let step = desk.next_step(at(10), busy, |_| false, |_| None);
    assert!(matches!(step, ControllerStep::Wait(until) if until <= at(40)), "it looks again soon");
    let unload = EngineOrder::UnloadAdapter(adapter(1));
    end(&mut desk, 11, &unload, OrderAnswer::Holds);
    desk.request_load(at(12), &adapter(1), None, 2, |_| false);
    let step = desk.next_step(at(12), busy, |_| false, |_| None);
    assert_eq!(step, ControllerStep::Order { order: load(1), expected_count: 1 });
    assert_eq!(desk.queued_fetches(), 1);
}

#[test]
fn the_weight_store_is_shared_by_all_instances() {
    let may_fetch = |own, in_flight| {
        engine_order::FetchLoad { in_flight: own + in_flight, ..IDLE_STORE }.may_fetch(own)
    };
    assert!(may_fetch(7, 0));
    assert!(!may_fetch(8, 0));
    assert!(!may_fetch(1, 7));
    assert!(may_fetch(0, 8), "one fetch is left to each");
    assert!(!may_fetch(0, 16));
}

#[test]
fn a_named_version_replaces_an_older_one() {
    let mut desk = desk(&[1]);
    let step = desk.next_step(at(10), NO_CONSTRAINTS, |_| true, |_| Some(4));
    let order = EngineOrder::LoadAdapter { name: adapter(1), version: Some(4) };
    assert_eq!(step, ControllerStep::Order { order: order.clone(), expected_count: 0 });
    desk.order_ended(at(12), &order, OrderAnswer::Accepted, IDLE_STORE, |_| Some(4));
    assert_eq!(desk.ready(at(400)).collect::<Vec<_>>(), [(adapter(1).key(), 4)]);
}

#[test]
fn an_engine_without_its_model_gets_that_first_and_once() {
    let mut desk: EngineController<u32> = EngineController::new(model(), 2);
    desk.report_ended(at(0), Some(&upstream::EngineReport::default()));
    desk.request_load(at(1), &adapter(1), None, 1, |_| false);
    let order = EngineOrder::LoadModel(model());
    assert_eq!(
        next(&mut desk, 1),
        ControllerStep::Order { order: order.clone(), expected_count: 0 }
    );
    end(&mut desk, 5, &order, OrderAnswer::Accepted);
    assert!(matches!(next(&mut desk, 6), ControllerStep::Wait(_)));
    assert!(!desk.has_model(at(6)));
}

#[test]
fn nothing_is_ordered_without_leave() {
    let mut desk = desk(&[]);
    desk.request_load(at(0), &adapter(1), None, 1, |_| false);
    let constraints = OrderConstraints { may_order: false, ..NO_CONSTRAINTS };
    let step = desk.next_step(at(0), constraints, |_| false, |_| Some(9));
    assert!(matches!(step, ControllerStep::Wait(_)));
}

/// Load pattern: rare adapters in quick succession at an engine whose places are all taken.
#[test]
fn an_adapter_does_not_make_way_before_the_request_that_asked_for_it_has_come() {
    let mut desk = desk(&[1, 2]);
    desk.touch(at(10), adapter(1).key());
    desk.touch(at(10), adapter(2).key());
    let in_use = |key| key == adapter(1).key();
    desk.request_load(at(20), &adapter(3), None, 1, |_| false);
    for _ in 0..2 {
        if let ControllerStep::Order { order, .. } =
            desk.next_step(at(20), NO_CONSTRAINTS, in_use, |_| None)
        {
            desk.order_ended(at(20), &order, OrderAnswer::Accepted, IDLE_STORE, |_| None);
        }
    }
    let mut desk = self::desk(&[1]);
    desk.request_load(at(20), &adapter(3), None, 1, |_| false);
    let ControllerStep::Order { order, .. } = next(&mut desk, 20) else { panic!("a load") };
    end(&mut desk, 21, &order, OrderAnswer::Accepted);
    assert_eq!(desk.take_replies(at(300)).len(), 1, "it is ready, its request is on the way");
    desk.request_load(at(310), &adapter(4), None, 2, |_| false);
    let step = desk.next_step(at(310), NO_CONSTRAINTS, in_use, |_| None);
    assert!(matches!(step, ControllerStep::Wait(_)), "{step:?}");
    assert_eq!(desk.available_slots(at(310), in_use), 0);
    let step = desk.next_step(at(800), NO_CONSTRAINTS, in_use, |_| None);
    let order = EngineOrder::UnloadAdapter(adapter(3));
    assert!(matches!(step, ControllerStep::Order { order: given, .. } if given == order));
}

/// An adapter turns out to be in use when it is to make way: the engine waits for its requests.
#[test]
fn an_unload_that_waits_for_requests_is_not_taken_for_a_fault() {
    let mut desk = desk(&[1, 2]);
    desk.request_load(at(20), &adapter(3), None, 1, |_| false);
    let ControllerStep::Order { order, .. } = next(&mut desk, 20) else { panic!("an unload") };
    end(&mut desk, 21, &order, OrderAnswer::Accepted);
    assert_eq!(desk.ready(at(22)).count(), 1, "no further request goes to it");
    let load = load(3);
    assert_eq!(
        next(&mut desk, 22),
        ControllerStep::Order { order: load.clone(), expected_count: 1 }
    );
    end(&mut desk, 23, &load, OrderAnswer::Conflict);
    let ControllerStep::Wait(until) = next(&mut desk, 24) else { panic!("a pause") };
    assert!(until <= at(150), "it tries again soon");
    assert_eq!(
        next(&mut desk, 150),
        ControllerStep::Order { order: load.clone(), expected_count: 1 }
    );
    end(&mut desk, 151, &load, OrderAnswer::Accepted);
    assert_eq!(desk.ready(at(500)).count(), 2);
}

#[test]
fn a_fetch_is_judged_by_whether_a_request_found_it_late() {
    let mut desk = desk(&[]);
    let busy = engine_order::FetchLoad { in_flight: 5, ..IDLE_STORE };
    for number in [1, 2] {
        desk.request_load(at(0), &adapter(number), None, 1, |_| false);
        let ControllerStep::Order { order, .. } = next(&mut desk, 0) else { panic!("a load") };
        desk.order_ended(at(0), &order, OrderAnswer::Accepted, busy, |_| None);
    }
    desk.found_missing(at(260), adapter(2).key());
    assert!(desk.take_samples(at(400)).is_empty(), "a request may still find it missing");
    let expected = time::Duration::from_millis(250);
    let timely =
        fetch_limiter::FetchSample { started: at(0), concurrency: 6, expected, actual: expected };
    assert_eq!(desk.take_samples(at(410)), [timely]);
    let late = fetch_limiter::FetchSample { actual: time::Duration::from_millis(320), ..timely };
    assert_eq!(desk.take_samples(at(480)), [late]);
    assert!(desk.take_samples(at(2_000)).is_empty(), "each is told once");
}

#[test]
fn reports_of_an_engine_that_named_a_limit_leave_it_time_for_requests() {
    let mut desk = desk(&[1]);
    let constraints =
        OrderConstraints { min_report_interval: time::Duration::from_secs(10), ..NO_CONSTRAINTS };
    let mut now = 0;
    let mut reports = Vec::new();
    while now < 25_000 {
        match desk.next_step(at(now), constraints, |_| false, |_| None) {
            ControllerStep::Report => {
                reports.push(now);
                desk.report_ended(at(now), Some(&report(0, &[1])));
            }
            ControllerStep::Wait(due) => {
                assert!(due > at(now), "no waiting without end");
                now = due.0 / 1000;
            }
            ControllerStep::Order { order, .. } => panic!("{order:?}"),
        }
    }
    assert_eq!(reports, [10_000, 20_000]);
    let later = at(25_000);
    desk.request_load(later, &adapter(2), None, 1, |_| false);
    let step = desk.next_step(later, constraints, |_| false, |_| None);
    assert!(matches!(step, ControllerStep::Order { .. }), "orders need no report: {step:?}");
}

/// Load pattern: rare adapters at an engine that named a limit, whose orders are used up.
#[test]
fn an_adapter_for_which_no_order_can_be_given_is_refused_at_once() {
    let mut desk = desk(&[1]);
    desk.pause(at(3_000));
    desk.request_load(at(10), &adapter(2), None, 1, |_| false);
    desk.request_load(at(10), &adapter(1), None, 2, |_| false);
    let replies = desk.take_replies(at(10));
    assert_eq!(replies.iter().map(|reply| reply.is_ready).collect::<Vec<_>>(), [false, true]);
    assert!(matches!(next(&mut desk, 20), ControllerStep::Wait(due) if due > at(20)));
    assert!(matches!(next(&mut desk, 2_500), ControllerStep::Wait(due) if due <= at(3_000)));
    let told = desk.describe(at(20), 1, 1, true, IDLE_STORE, |_| false);
    assert!(!told.takes_orders);
    assert_eq!(next(&mut desk, 3_000), ControllerStep::Report);
}

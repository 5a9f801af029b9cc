//! Orders to one engine: loads, evictions, lost answers, loads that take longer.

use std::sync;
use std::time;

use coltsfoot_gateway::engine_desk::EngineDesk;
use coltsfoot_gateway::engine_order::{DeskStep, EngineOrder, OrderAnswer, OrderLeave};
use coltsfoot_gateway::{demand, engine_order, fetch_pace, upstream};
use coltsfoot_types::time as clock;

const IDLE_STORE: engine_order::FetchLoad = engine_order::FetchLoad {
    others: 0,
    full_speed: 8,
    fetch_time: time::Duration::from_millis(250),
};
const FULL_LEAVE: OrderLeave =
    OrderLeave { may_order: true, may_fetch: true, report_interval: time::Duration::ZERO };

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
fn desk(adapters: &[usize]) -> EngineDesk<u32> {
    let mut desk = EngineDesk::new(model(), 2);
    assert_eq!(desk.next_step(at(0), FULL_LEAVE, |_| false, |_| None), DeskStep::Report);
    desk.report_ended(at(0), Some(&report(0, adapters)));
    desk
}

fn next(desk: &mut EngineDesk<u32>, now: u64) -> DeskStep {
    desk.next_step(at(now), FULL_LEAVE, |_| false, |_| None)
}

fn load(number: usize) -> EngineOrder {
    EngineOrder::LoadAdapter { name: adapter(number), version: None }
}

fn end(desk: &mut EngineDesk<u32>, now: u64, order: &EngineOrder, answer: OrderAnswer) {
    desk.order_ended(at(now), order, answer, IDLE_STORE, |_| None);
}

#[test]
fn all_askers_share_one_load_and_hear_when_it_is_ready() {
    let mut desk = desk(&[]);
    desk.ask(at(0), &adapter(1), None, 10, |_| false);
    desk.ask(at(1), &adapter(1), None, 11, |_| false);
    desk.ask(at(2), &adapter(1), None, 11, |_| false);
    assert_eq!(next(&mut desk, 2), DeskStep::Order { order: load(1), expected_count: 0 });
    end(&mut desk, 5, &load(1), OrderAnswer::Accepted);
    assert!(matches!(next(&mut desk, 5), DeskStep::Wait(_)), "it is not ordered again");
    assert!(desk.take_replies(at(200)).is_empty());
    let replies = desk.take_replies(at(300));
    assert_eq!(
        replies.iter().map(|reply| (reply.asker, reply.is_ready)).collect::<Vec<_>>(),
        [(10, true), (11, true)]
    );
}

#[test]
fn the_adapter_that_was_not_used_for_longest_makes_way() {
    let mut desk = desk(&[1, 2]);
    desk.touch(at(10), adapter(1).key());
    desk.ask(at(20), &adapter(3), None, 1, |_| false);
    let order = EngineOrder::UnloadAdapter(adapter(2));
    assert_eq!(next(&mut desk, 20), DeskStep::Order { order: order.clone(), expected_count: 0 });
    end(&mut desk, 21, &order, OrderAnswer::Holds);
    assert_eq!(next(&mut desk, 22), DeskStep::Order { order: load(3), expected_count: 1 });
}

#[test]
fn an_adapter_with_requests_stays_and_its_asker_is_sent_elsewhere() {
    let mut desk = desk(&[1, 2]);
    desk.ask(at(20), &adapter(3), None, 1, |_| true);
    let replies = desk.take_replies(at(20));
    assert_eq!(replies.len(), 1, "at once");
    assert!(!replies[0].is_ready);
    let step = desk.next_step(at(20), FULL_LEAVE, |_| true, |_| None);
    assert!(matches!(step, DeskStep::Wait(_)));
    assert_eq!(desk.available_slots(at(20), |_| true), 0);
}

#[test]
fn an_order_without_answer_is_repeated_under_the_same_count_before_any_other() {
    let mut desk = desk(&[1, 2]);
    desk.ask(at(20), &adapter(3), None, 1, |_| false);
    let order = EngineOrder::UnloadAdapter(adapter(1));
    let step = desk.next_step(at(20), FULL_LEAVE, |key| key == adapter(2).key(), |_| None);
    assert_eq!(step, DeskStep::Order { order: order.clone(), expected_count: 0 });
    end(&mut desk, 320, &order, OrderAnswer::Unknown);
    desk.touch(at(330), adapter(1).key());
    assert_eq!(next(&mut desk, 340), DeskStep::Order { order: order.clone(), expected_count: 0 });
    // The first one was carried out meanwhile: what the engine holds is asked.
    end(&mut desk, 350, &order, OrderAnswer::Conflict);
    assert!(matches!(next(&mut desk, 360), DeskStep::Wait(_)), "a report may be older than that");
    assert_eq!(next(&mut desk, 760), DeskStep::Report);
    desk.report_ended(at(760), Some(&report(1, &[2])));
    assert!(desk.ready(at(760)).all(|(key, _)| key == adapter(2).key()));
}

#[test]
fn an_old_report_changes_nothing() {
    let mut desk = desk(&[]);
    desk.ask(at(0), &adapter(1), None, 1, |_| false);
    next(&mut desk, 0);
    end(&mut desk, 5, &load(1), OrderAnswer::Accepted);
    desk.report_ended(at(300), Some(&report(0, &[])));
    assert_eq!(desk.ready(at(300)).count(), 1);
}

#[test]
fn a_load_that_takes_longer_is_waited_for_and_a_lost_adapter_is_looked_up() {
    let mut desk = desk(&[]);
    desk.ask(at(0), &adapter(1), None, 1, |_| false);
    next(&mut desk, 0);
    end(&mut desk, 5, &load(1), OrderAnswer::Accepted);
    assert_eq!(desk.take_replies(at(270)).len(), 1);
    desk.found_missing(at(280), adapter(1).key());
    desk.ask(at(280), &adapter(1), None, 2, |_| false);
    assert!(desk.take_replies(at(300)).is_empty(), "its time is extended");
    assert_eq!(desk.take_replies(at(345)).len(), 1);
    desk.found_missing(at(1_800), adapter(1).key());
    assert_eq!(next(&mut desk, 2_300), DeskStep::Report);
}

#[test]
fn fetches_are_held_back_while_the_weight_store_is_busy_but_warm_loads_are_not() {
    let mut desk = desk(&[1]);
    desk.report_ended(at(1), Some(&report(0, &[1])));
    let busy = OrderLeave { may_fetch: false, ..FULL_LEAVE };
    desk.ask(at(10), &adapter(7), None, 1, |_| false);
    let step = desk.next_step(at(10), busy, |_| false, |_| None);
    assert!(matches!(step, DeskStep::Wait(until) if until <= at(40)), "it looks again soon");
    let unload = EngineOrder::UnloadAdapter(adapter(1));
    end(&mut desk, 11, &unload, OrderAnswer::Holds);
    desk.ask(at(12), &adapter(1), None, 2, |_| false);
    let step = desk.next_step(at(12), busy, |_| false, |_| None);
    assert_eq!(step, DeskStep::Order { order: load(1), expected_count: 1 });
    assert_eq!(desk.waiting_fetches(), 1);
}

#[test]
fn the_weight_store_is_shared_by_all_instances() {
    let may_fetch =
        |own, others| engine_order::FetchLoad { others: own + others, ..IDLE_STORE }.may_fetch(own);
    assert!(may_fetch(7, 0));
    assert!(!may_fetch(8, 0));
    assert!(!may_fetch(1, 7));
    assert!(may_fetch(0, 8), "one fetch is left to each");
    assert!(!may_fetch(0, 16));
}

#[test]
fn a_named_version_replaces_an_older_one() {
    let mut desk = desk(&[1]);
    let step = desk.next_step(at(10), FULL_LEAVE, |_| true, |_| Some(4));
    let order = EngineOrder::LoadAdapter { name: adapter(1), version: Some(4) };
    assert_eq!(step, DeskStep::Order { order: order.clone(), expected_count: 0 });
    desk.order_ended(at(12), &order, OrderAnswer::Accepted, IDLE_STORE, |_| Some(4));
    assert_eq!(desk.ready(at(400)).collect::<Vec<_>>(), [(adapter(1).key(), 4)]);
}

#[test]
fn an_engine_without_its_model_gets_that_first_and_once() {
    let mut desk: EngineDesk<u32> = EngineDesk::new(model(), 2);
    desk.report_ended(at(0), Some(&upstream::EngineReport::default()));
    desk.ask(at(1), &adapter(1), None, 1, |_| false);
    let order = EngineOrder::LoadModel(model());
    assert_eq!(next(&mut desk, 1), DeskStep::Order { order: order.clone(), expected_count: 0 });
    end(&mut desk, 5, &order, OrderAnswer::Accepted);
    assert!(matches!(next(&mut desk, 6), DeskStep::Wait(_)));
    assert!(!desk.has_model(at(6)));
}

#[test]
fn nothing_is_ordered_without_leave() {
    let mut desk = desk(&[]);
    desk.ask(at(0), &adapter(1), None, 1, |_| false);
    let leave = OrderLeave { may_order: false, ..FULL_LEAVE };
    let step = desk.next_step(at(0), leave, |_| false, |_| Some(9));
    assert!(matches!(step, DeskStep::Wait(_)));
}

/// Load pattern: rare adapters in quick succession at an engine whose places are all taken.
#[test]
fn an_adapter_does_not_make_way_before_the_request_that_asked_for_it_has_come() {
    let mut desk = desk(&[1, 2]);
    desk.touch(at(10), adapter(1).key());
    desk.touch(at(10), adapter(2).key());
    let in_use = |key| key == adapter(1).key();
    desk.ask(at(20), &adapter(3), None, 1, |_| false);
    for _ in 0..2 {
        if let DeskStep::Order { order, .. } = desk.next_step(at(20), FULL_LEAVE, in_use, |_| None)
        {
            desk.order_ended(at(20), &order, OrderAnswer::Accepted, IDLE_STORE, |_| None);
        }
    }
    let mut desk = self::desk(&[1]);
    desk.ask(at(20), &adapter(3), None, 1, |_| false);
    let DeskStep::Order { order, .. } = next(&mut desk, 20) else { panic!("a load") };
    end(&mut desk, 21, &order, OrderAnswer::Accepted);
    assert_eq!(desk.take_replies(at(300)).len(), 1, "it is ready, its request is on the way");
    desk.ask(at(310), &adapter(4), None, 2, |_| false);
    let step = desk.next_step(at(310), FULL_LEAVE, in_use, |_| None);
    assert!(matches!(step, DeskStep::Wait(_)), "{step:?}");
    assert_eq!(desk.available_slots(at(310), in_use), 0);
    let step = desk.next_step(at(800), FULL_LEAVE, in_use, |_| None);
    let order = EngineOrder::UnloadAdapter(adapter(3));
    assert!(matches!(step, DeskStep::Order { order: given, .. } if given == order));
}

/// An adapter turns out to be in use when it is to make way: the engine waits for its requests.
#[test]
fn an_unload_that_waits_for_requests_is_not_taken_for_a_fault() {
    let mut desk = desk(&[1, 2]);
    desk.ask(at(20), &adapter(3), None, 1, |_| false);
    let DeskStep::Order { order, .. } = next(&mut desk, 20) else { panic!("an unload") };
    end(&mut desk, 21, &order, OrderAnswer::Accepted);
    assert_eq!(desk.ready(at(22)).count(), 1, "no further request goes to it");
    let load = load(3);
    assert_eq!(next(&mut desk, 22), DeskStep::Order { order: load.clone(), expected_count: 1 });
    end(&mut desk, 23, &load, OrderAnswer::Conflict);
    let DeskStep::Wait(until) = next(&mut desk, 24) else { panic!("a pause") };
    assert!(until <= at(150), "it tries again soon");
    assert_eq!(next(&mut desk, 150), DeskStep::Order { order: load.clone(), expected_count: 1 });
    end(&mut desk, 151, &load, OrderAnswer::Accepted);
    assert_eq!(desk.ready(at(500)).count(), 2);
}

#[test]
fn a_fetch_is_judged_by_whether_a_request_found_it_late() {
    let mut desk = desk(&[]);
    let busy = engine_order::FetchLoad { others: 5, ..IDLE_STORE };
    for number in [1, 2] {
        desk.ask(at(0), &adapter(number), None, 1, |_| false);
        let DeskStep::Order { order, .. } = next(&mut desk, 0) else { panic!("a load") };
        desk.order_ended(at(0), &order, OrderAnswer::Accepted, busy, |_| None);
    }
    desk.found_missing(at(260), adapter(2).key());
    assert!(desk.take_samples(at(400)).is_empty(), "a request may still find it missing");
    let expected = time::Duration::from_millis(250);
    let timely = fetch_pace::FetchSample { began: at(0), under_way: 6, expected, taken: expected };
    assert_eq!(desk.take_samples(at(410)), [timely]);
    let late = fetch_pace::FetchSample { taken: time::Duration::from_millis(320), ..timely };
    assert_eq!(desk.take_samples(at(480)), [late]);
    assert!(desk.take_samples(at(2_000)).is_empty(), "each is told once");
}

#[test]
fn reports_of_an_engine_that_named_a_limit_leave_it_time_for_requests() {
    let mut desk = desk(&[1]);
    let leave = OrderLeave { report_interval: time::Duration::from_secs(10), ..FULL_LEAVE };
    let mut now = 0;
    let mut reports = Vec::new();
    while now < 25_000 {
        match desk.next_step(at(now), leave, |_| false, |_| None) {
            DeskStep::Report => {
                reports.push(now);
                desk.report_ended(at(now), Some(&report(0, &[1])));
            }
            DeskStep::Wait(due) => {
                assert!(due > at(now), "no waiting without end");
                now = due.0 / 1000;
            }
            DeskStep::Order { order, .. } => panic!("{order:?}"),
        }
    }
    assert_eq!(reports, [10_000, 20_000]);
    let later = at(25_000);
    desk.ask(later, &adapter(2), None, 1, |_| false);
    let step = desk.next_step(later, leave, |_| false, |_| None);
    assert!(matches!(step, DeskStep::Order { .. }), "orders need no report: {step:?}");
}

/// Load pattern: rare adapters at an engine that named a limit, whose orders are used up.
#[test]
fn an_adapter_for_which_no_order_can_be_given_is_refused_at_once() {
    let mut desk = desk(&[1]);
    desk.pause(at(3_000));
    desk.ask(at(10), &adapter(2), None, 1, |_| false);
    desk.ask(at(10), &adapter(1), None, 2, |_| false);
    let replies = desk.take_replies(at(10));
    assert_eq!(replies.iter().map(|reply| reply.is_ready).collect::<Vec<_>>(), [false, true]);
    assert!(matches!(next(&mut desk, 20), DeskStep::Wait(due) if due > at(20)));
    assert!(matches!(next(&mut desk, 2_500), DeskStep::Wait(due) if due <= at(3_000)));
    let told = desk.describe(at(20), 1, 1, true, IDLE_STORE, |_| false);
    assert!(!told.takes_orders);
    assert_eq!(next(&mut desk, 3_000), DeskStep::Report);
}

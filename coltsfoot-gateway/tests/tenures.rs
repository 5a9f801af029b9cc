//! Engines whose partition is lost and regained: no order that was decided on before may be sent after.

use std::collections::HashSet;
use std::sync;
use std::time;

use coltsfoot_gateway::engine_controller::EngineController;
use coltsfoot_gateway::engine_order::{ControllerStep, EngineOrder, OrderAnswer, OrderConstraints};
use coltsfoot_gateway::{demand, engine_order, order_lease, rendezvous, upstream};
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet::TopicPosition;
use rstest::rstest;

const PARTITION: u32 = 3;
const SLOTS: usize = 8;
const NO_CONSTRAINTS: OrderConstraints = OrderConstraints {
    may_order: true,
    may_fetch: true,
    min_report_interval: time::Duration::ZERO,
};
const IDLE_STORE: engine_order::FetchLoad = engine_order::FetchLoad {
    in_flight: 0,
    concurrency_limit: 8,
    fetch_time: time::Duration::from_millis(250),
};

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn adapter(number: u64) -> demand::AdapterName {
    demand::AdapterName { model: "drafting".into(), adapter: format!("a{number}").into() }
}

/// An engine that crashes if it has to hold more adapters than it has slots for.
#[derive(Default)]
struct ModelEngine {
    order_count: u64,
    adapters: HashSet<demand::AdapterName>,
    has_crashed: bool,
}

impl ModelEngine {
    /// Carries an order out if the count matches.
    fn apply(&mut self, order: &EngineOrder, expected_count: u64) -> OrderAnswer {
        if expected_count != self.order_count {
            return OrderAnswer::Conflict;
        }
        match order {
            EngineOrder::LoadAdapter { name, .. } => self.adapters.insert(name.clone()),
            EngineOrder::UnloadAdapter(name) => self.adapters.remove(name),
            EngineOrder::LoadModel(_) => false,
        };
        self.order_count += 1;
        self.has_crashed |= self.adapters.len() > SLOTS;
        OrderAnswer::Accepted
    }

    fn report(&self) -> upstream::EngineReport {
        let held = |name: &demand::AdapterName| upstream::ResidentAdapter {
            name: name.clone(),
            version: 1,
        };
        upstream::EngineReport {
            order_count: self.order_count,
            models: vec![sync::Arc::from("drafting")],
            adapters: self.adapters.iter().map(held).collect(),
            ..upstream::EngineReport::default()
        }
    }
}

/// Takes the next step of a controller; `is_answered` tells whether the answer to an order arrives.
fn step(
    controller: &mut EngineController<u32>,
    engine: &mut ModelEngine,
    now: u64,
    is_answered: bool,
) {
    match controller.next_step(at(now), NO_CONSTRAINTS, |_| false, |_| None) {
        ControllerStep::Report => controller.report_ended(at(now), Some(&engine.report())),
        ControllerStep::Order { order, expected_count } => {
            let answer = match is_answered {
                true => engine.apply(&order, expected_count),
                false => OrderAnswer::Unknown,
            };
            controller.order_ended(at(now), &order, answer, IDLE_STORE, |_| None);
        }
        ControllerStep::Wait(_) => {}
    }
}

fn controller() -> EngineController<u32> {
    EngineController::new("drafting".into(), SLOTS)
}

/// A load order gets no answer, another owner fills the engine, and the first one sees its report: the old
/// order, renewed with the present count, would overfill the engine.
#[test]
fn an_unanswered_order_is_void_once_the_engine_has_accepted_others() {
    let mut engine = ModelEngine::default();
    let mut controller = controller();
    step(&mut controller, &mut engine, 0, true);
    controller.request_load(at(10), &adapter(1), None, 1, |_| false);
    step(&mut controller, &mut engine, 10, false);
    for number in 2..2 + SLOTS as u64 {
        let order = EngineOrder::LoadAdapter { name: adapter(number), version: None };
        assert_eq!(engine.apply(&order, engine.order_count), OrderAnswer::Accepted);
    }
    for now in (9_000..12_000).step_by(50) {
        step(&mut controller, &mut engine, now, true);
        assert!(!engine.has_crashed, "an order overfilled the engine at {now} ms");
    }
}

/// A newer version is published after an order for the adapter was sent without an answer, or while its load
/// request waits: the older one is not ordered any more.
#[rstest]
#[case::unanswered(true)]
#[case::waiting(false)]
fn an_adapter_is_ordered_in_the_newest_version(#[case] is_sent: bool) {
    let mut engine = ModelEngine::default();
    let mut controller = controller();
    step(&mut controller, &mut engine, 0, true);
    controller.request_load(at(10), &adapter(1), Some(3), 1, |_| false);
    if is_sent {
        step(&mut controller, &mut engine, 10, false);
    }
    let next = controller.next_step(at(400), NO_CONSTRAINTS, |_| false, |_| Some(4));
    let order = EngineOrder::LoadAdapter { name: adapter(1), version: Some(4) };
    assert_eq!(next, ControllerStep::Order { order, expected_count: 0 });
}

#[test]
fn load_requests_are_refused_at_the_end_of_a_tenure() {
    let mut controller = controller();
    controller.request_load(at(10), &adapter(1), None, 7, |_| false);
    let replies = controller.refuse_requests();
    assert_eq!(
        replies.iter().map(|reply| (reply.waiter, reply.is_ready)).collect::<Vec<_>>(),
        [(7, false)]
    );
    assert!(controller.take_replies(at(5_000)).is_empty(), "each waiter gets one reply");
}

fn lease() -> order_lease::OrderLease {
    order_lease::OrderLease::new(order_lease::LeaseSettings {
        validity: time::Duration::from_millis(1300),
        separation: time::Duration::from_millis(3000),
        thaw_pause: time::Duration::from_millis(300),
    })
}

fn renew(lease: &mut order_lease::OrderLease, now: u64, generation: u64, partitions: &[u32]) {
    let generation = order_lease::GroupGeneration { era: 0, number: generation };
    lease.renew(at(now), at(now), generation, partitions);
}

/// Renews the lease until orders are allowed, and returns when they are.
fn settle(lease: &mut order_lease::OrderLease, start: u64, generation: u64) -> u64 {
    let list_end = TopicPosition { era: 0, offset: 5 };
    let after = TopicPosition { era: 0, offset: 6 };
    for now in (start..start + 20_000).step_by(400) {
        renew(lease, now, generation, &[PARTITION]);
        for partition in lease.unknown_holders() {
            let holder = order_lease::LastHolder { is_this_machine: false, offset: Some(4) };
            lease.set_last_holder(partition, holder, list_end);
        }
        for (partition, list_end) in lease.pending_records(at(now)) {
            lease.holder_recorded(at(now), partition, list_end, after);
        }
        let tenure = lease.tenure(PARTITION).expect("the partition is held");
        if lease.order_fence(at(now), PARTITION, tenure).is_some() {
            return now;
        }
    }
    panic!("orders are never allowed");
}

#[derive(Clone, Copy, Debug)]
enum TenureEnd {
    /// The partition is missing in one renewal.
    Reassigned,
    /// No renewal arrives within the validity; the next one, of the same generation, lists it again.
    Lapsed,
    /// All partitions are released.
    Released,
}

/// The partition is held again when the engine's task looks next, so that only the tenure tells that it was
/// lost in between.
#[test]
fn a_decision_of_an_ended_tenure_gives_no_right_to_order() {
    for end in [TenureEnd::Reassigned, TenureEnd::Lapsed, TenureEnd::Released] {
        let mut lease = lease();
        let settled = settle(&mut lease, 0, 1);
        let before = lease.tenure(PARTITION).expect("the partition is held");
        let regained = match end {
            TenureEnd::Reassigned => {
                renew(&mut lease, settled + 400, 2, &[]);
                settled + 800
            }
            TenureEnd::Lapsed => settled + 1_400,
            TenureEnd::Released => {
                lease.release();
                settled + 400
            }
        };
        let settled = settle(&mut lease, regained, 3);
        let after = lease.tenure(PARTITION).expect("the partition is held");
        assert_ne!(before, after, "{end:?}");
        assert_eq!(lease.order_fence(at(settled), PARTITION, before), None, "{end:?}");
        assert!(lease.order_fence(at(settled), PARTITION, after).is_some(), "{end:?}");
    }
}

/// Seeded runs of two owners that lose and regain an engine between two steps of their controllers, with
/// orders whose answers are lost and that are carried out late.
#[test]
fn no_seed_overfills_an_engine() {
    for seed in 0..2_000_u64 {
        let mut draws = 0;
        let mut below = |bound: u64| {
            draws += 1;
            rendezvous::weight(seed, draws) % bound
        };
        let mut engine = ModelEngine::default();
        let mut controllers = [controller(), controller()];
        let mut owner = 0;
        let mut late: Vec<(u64, EngineOrder, u64)> = Vec::new();
        for now in (0..30_000).step_by(50) {
            if below(60) == 0 {
                owner = 1 - owner;
                if below(2) == 0 {
                    controllers[owner] = controller();
                }
            }
            let due: Vec<_> = late.extract_if(.., |(due, ..)| *due <= now).collect();
            for (_, order, expected_count) in due {
                engine.apply(&order, expected_count);
            }
            let controller = &mut controllers[owner];
            if below(3) == 0 {
                controller.request_load(at(now), &adapter(below(30)), None, 1, |_| false);
            }
            controller.take_replies(at(now));
            match controller.next_step(at(now), NO_CONSTRAINTS, |_| false, |_| None) {
                ControllerStep::Report => controller.report_ended(at(now), Some(&engine.report())),
                ControllerStep::Order { order, expected_count } => {
                    let answer = match below(4) {
                        0 => {
                            late.push((now + below(12_000), order.clone(), expected_count));
                            OrderAnswer::Unknown
                        }
                        _ => engine.apply(&order, expected_count),
                    };
                    controller.order_ended(at(now), &order, answer, IDLE_STORE, |_| None);
                }
                ControllerStep::Wait(_) => {}
            }
            assert!(!engine.has_crashed, "seed {seed}: overfilled at {now} ms");
        }
        assert!(engine.order_count > 0, "seed {seed}: no order was carried out");
    }
}

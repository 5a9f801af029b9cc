//! Carries out the desk's steps for the engines that this instance owns.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::availability_table::UpstreamAvailability;
use coltsfoot_gateway::{
    demand, engine_controller, engine_order, fetch_limiter, fleet_view, limit_table, order_lease,
    send_permits, upstream,
};
use coltsfoot_http::client;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use rustc_hash::FxHashMap;
use site_platform::{engine, fields};

use crate::event;
use crate::gateway::{beats, fleet, intake, permits, state};

/// Time for the answer to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time for a report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Pause after an order that failed.
const ORDER_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time between looks for engines of which no owner tells.
const UNTOLD_CHECK: time::Duration = time::Duration::from_millis(500);
/// Time without word of an owner after which an instance looks itself.
const UNTOLD_AGE: time::Duration = time::Duration::from_millis(1500);
/// Time between looks at the questions for an engine that wants no orders for a while.
const QUIET_CHECK: time::Duration = time::Duration::from_millis(100);
/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Who asked for an adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadAsker {
    /// A request of this instance.
    Local(u64),
    /// Another instance.
    Peer(net::SocketAddr, u64),
}

/// A desk and the event that wakes its task.
struct DeskSlot {
    id: sync::Arc<str>,
    number: u32,
    partition: u32,
    desk: engine_controller::EngineController<LoadAsker>,
    wake: sync::Arc<event_listener::Event>,
}

/// The desks of the engines that this instance owns, by engine id.
#[derive(Default)]
pub(crate) struct DeskTable {
    slots: sync::Mutex<FxHashMap<sync::Arc<str>, DeskSlot>>,
}

impl DeskTable {
    /// Wakes all tasks.
    pub fn wake_all(&self) {
        for slot in state::lock(&self.slots).values() {
            slot.wake.notify(usize::MAX);
        }
    }

    /// Takes a question for an adapter; returns false if this instance does not own the engine.
    pub fn ask(
        &self,
        state: &state::GatewayState,
        number: u32,
        name: &demand::AdapterName,
        version: Option<u64>,
        was_missing: bool,
        asker: LoadAsker,
    ) -> bool {
        let now = state.now();
        let view = state.view();
        let mut slots = state::lock(&self.slots);
        let Some(slot) = slots.values_mut().find(|slot| slot.number == number) else {
            return false;
        };
        if was_missing {
            slot.desk.found_missing(now, name.key());
        }
        let upstream = view.upstream(&slot.id);
        let in_use = |key| upstream.is_some_and(|upstream| upstream.is_in_use(now, key));
        slot.desk.request_load(now, name, version, asker, in_use);
        slot.wake.notify(usize::MAX);
        true
    }

    /// Notes uses of adapters.
    pub fn touch(&self, now: instant::MonotonicTime, uses: &[wire::AdapterUsage]) {
        let mut slots = state::lock(&self.slots);
        for used in uses {
            if let Some(slot) = slots.values_mut().find(|slot| slot.number == used.upstream) {
                slot.desk.touch(now, demand::AdapterKey(used.adapter));
            }
        }
    }

    /// Notes that an engine takes neither orders nor reports until then.
    fn pause(&self, id: &str, until: instant::MonotonicTime) {
        if let Some(slot) = state::lock(&self.slots).get_mut(id) {
            slot.desk.pause(until);
        }
    }

    /// Returns the adapters on their way from the weight store to the engines owned.
    pub fn fetching(&self, now: instant::MonotonicTime) -> u32 {
        state::lock(&self.slots).values().map(|slot| slot.desk.fetching(now)).sum()
    }

    /// Returns the adapters that are to be fetched once the weight store has room.
    pub fn queued_fetches(&self) -> u32 {
        state::lock(&self.slots).values().map(|slot| slot.desk.queued_fetches()).sum()
    }

    /// Returns what the other instances should know of the engines owned.
    pub fn owned(&self, state: &state::GatewayState) -> Vec<wire::OwnedEngine> {
        let view = state.view();
        let lease = state.lease();
        let slots = state::lock(&self.slots);
        slots.values().filter_map(|slot| slot.describe(state.now(), &view, &lease)).collect()
    }

    /// Returns what they should know of one engine.
    pub fn owned_engine(&self, state: &state::GatewayState, id: &str) -> Option<wire::OwnedEngine> {
        let view = state.view();
        let lease = state.lease();
        state::lock(&self.slots).get(id)?.describe(state.now(), &view, &lease)
    }
}

impl DeskSlot {
    fn describe(
        &self,
        now: instant::MonotonicTime,
        view: &fleet_view::FleetView,
        lease: &order_lease::OrderLease,
    ) -> Option<wire::OwnedEngine> {
        let fence = lease.fence(self.partition)?;
        let upstream = view.upstream(&self.id);
        let in_use = |key| upstream.is_some_and(|upstream| upstream.is_in_use(now, key));
        let is_open =
            view.availability().status(now, self.number) == UpstreamAvailability::Available;
        let takes_orders = is_open && lease.order_fence(now, self.partition).is_some();
        let fetches = view.fetch_load(view.fetch_backlog());
        Some(self.desk.describe(now, self.number, fence, takes_orders, fetches, in_use))
    }
}

/// Starts a task for each engine that came to this instance.
pub(crate) fn start_owned(state: &sync::Arc<state::GatewayState>) {
    let Some(routes) = state.routes.load_full() else { return };
    let held: Vec<u32> = state.lease().partitions().collect();
    let view = state.view();
    let mut slots = state::lock(&state.desks.slots);
    for upstream in view.upstreams() {
        let id = &upstream.entry.id;
        let partition = state.partition_of(id);
        let is_near = upstream.entry.zone == state.settings.zone;
        if !is_near || !held.contains(&partition) || slots.contains_key(id) {
            continue;
        }
        let Some(service) = routes.service(&upstream.entry.service) else { continue };
        let Some(rule) = &service.engine else { continue };
        let Some(model) = rule.models.first() else { continue };
        let model = sync::Arc::clone(&model.name);
        let desk = engine_controller::EngineController::new(model, rule.adapter_capacity());
        let wake = sync::Arc::new(event_listener::Event::new());
        let number = upstream.number;
        let slot = DeskSlot {
            id: sync::Arc::clone(id),
            number,
            partition,
            desk,
            wake: sync::Arc::clone(&wake),
        };
        slots.insert(sync::Arc::clone(id), slot);
        let task = tend(sync::Arc::clone(state), sync::Arc::clone(id), number, partition, wake);
        state.executor.spawn(task).detach();
    }
}

/// Tends one engine until it is gone or belongs to another instance.
async fn tend(
    state: sync::Arc<state::GatewayState>,
    id: sync::Arc<str>,
    number: u32,
    partition: u32,
    wake: sync::Arc<event_listener::Event>,
) {
    loop {
        let listener = wake.listen();
        let Some(address) = owned_address(&state, &id, number, partition) else {
            state::lock(&state.desks.slots).remove(&id);
            return;
        };
        if let Some(until) = intake::quiet_until(&state, number) {
            settle(&state, &id);
            let wait = until.since(state.now()).min(QUIET_CHECK);
            async_io::Timer::after(wait).await;
            continue;
        }
        let step = next_step(&state, &id, partition);
        settle(&state, &id);
        match step {
            None => return,
            Some(engine_order::ControllerStep::Order { order, expected_count }) => {
                let plan = send_plan(&id, number, limit_table::SendPurpose::Order);
                if has_leave(&state, plan).await {
                    give_order(&state, plan, address, partition, order, expected_count).await;
                }
            }
            Some(engine_order::ControllerStep::Report) => {
                let plan = send_plan(&id, number, limit_table::SendPurpose::Report);
                if has_leave(&state, plan).await {
                    fetch_report(&state, plan, address).await;
                }
            }
            Some(engine_order::ControllerStep::Wait(due)) => {
                let wait = due.since(state.now());
                let sleep = async {
                    async_io::Timer::after(wait).await;
                };
                futures_lite::future::or(sleep, listener).await;
            }
        }
        settle(&state, &id);
    }
}

fn owned_address(
    state: &state::GatewayState,
    id: &str,
    number: u32,
    partition: u32,
) -> Option<net::SocketAddr> {
    state.lease().fence(partition)?;
    let view = state.view();
    let slot = view.upstream(id).filter(|slot| slot.number == number)?;
    Some(slot.entry.address)
}

fn next_step(
    state: &state::GatewayState,
    id: &str,
    partition: u32,
) -> Option<engine_order::ControllerStep> {
    let now = state.now();
    let fence = state.order_fence(partition);
    let own = state.desks.fetching(now);
    let view = state.view();
    let may_fetch = view.fetch_load(own + view.fetching()).may_fetch(own);
    let upstream = view.upstream(id)?;
    let is_open =
        view.availability().status(now, upstream.number) == UpstreamAvailability::Available;
    let limit = view.limits().limit(now, upstream.number);
    let leave = engine_order::OrderConstraints {
        may_order: is_open && fence.is_some(),
        may_fetch,
        min_report_interval: limit.map_or(time::Duration::ZERO, send_permits::report_interval),
    };
    let mut slots = state::lock(&state.desks.slots);
    let desk = &mut slots.get_mut(id)?.desk;
    let in_use = |key| upstream.is_in_use(now, key);
    Some(desk.next_step(now, leave, in_use, |key| view.newest_version(key)))
}

/// Answers the questions that are settled and tells the others what changed.
fn settle(state: &sync::Arc<state::GatewayState>, id: &str) {
    let now = state.now();
    let (replies, samples, has_changed) = {
        let mut slots = state::lock(&state.desks.slots);
        let Some(slot) = slots.get_mut(id) else { return };
        let desk = &mut slot.desk;
        (desk.take_replies(now), desk.take_samples(now), desk.take_changed())
    };
    if !samples.is_empty() {
        take_samples(state, now, &samples);
    }
    if has_changed {
        beats::publish_engine(state, id);
    }
    for reply in replies {
        let verdict =
            if reply.is_ready { wire::LoadDecision::Ready } else { wire::LoadDecision::Full };
        match reply.waiter {
            LoadAsker::Local(ask) => state.loads.settle(ask, verdict),
            LoadAsker::Peer(address, ask) => fleet::reply(state, address, ask, verdict),
        }
    }
}

/// Learns from fetches how many the weight store delivers at once; logs changes.
fn take_samples(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    samples: &[fetch_limiter::FetchSample],
) {
    let mut view = state.view();
    let before = view.fetch_limiter().limit();
    view.add_fetch_samples(now, samples);
    let pace = view.fetch_limiter();
    if pace.limit() != before {
        log::info!(
            event = event::FETCH_PACE_LEARNED.number, limit = pace.limit(),
            fetch_ms = pace.fetch_time().as_millis() as u64,
            late = samples.iter().filter(|sample| sample.is_late()).count() as u64;
            "fetch_pace_learned"
        );
    }
}

fn send_plan(
    upstream: &str,
    number: u32,
    purpose: limit_table::SendPurpose,
) -> permits::SendPlan<'_> {
    permits::SendPlan { upstream, number, purpose, request: "" }
}

/// Returns whether an engine takes an order or a question for a report now, within the limit that it named.
async fn has_leave(state: &state::GatewayState, plan: permits::SendPlan<'_>) -> bool {
    match permits::obtain(state, plan).await {
        Ok(()) => true,
        Err(pause) => {
            state.desks.pause(plan.upstream, state.now() + pause);
            false
        }
    }
}

async fn give_order(
    state: &sync::Arc<state::GatewayState>,
    plan: permits::SendPlan<'_>,
    address: net::SocketAddr,
    partition: u32,
    order: engine_order::EngineOrder,
    expected_count: u64,
) {
    let Some(fence) = state.order_fence(partition) else { return };
    let id = plan.upstream;
    let holder = &state.settings.instance;
    let authority = engine::OrderAuthority { holder, fence, engine: id };
    let encoded = engine::encode_order(&order, expected_count, authority);
    let Ok((head, body)) = encoded else { return };
    let sent = state.now();
    let called = client::call(&state.pool, address, &head, &body, MAX_REPORT_BYTES, ORDER_TIMEOUT);
    let answer = match called.await {
        Ok(answer) => {
            intake::note_answer(state, &plan, sent, &fields::decode_upstream(&answer.head));
            engine::decode_order_answer(&answer.head)
        }
        Err(client::CallError::Connect { .. }) => engine_order::OrderAnswer::Refused,
        Err(_) => engine_order::OrderAnswer::Unknown,
    };
    state.metrics.count_order(answer.code());
    log::info!(
        event = event::ORDER_GIVEN.number, upstream = id.to_string(), fence = fence,
        expected = expected_count; "order_given: {order:?} {answer:?}"
    );
    let now = state.now();
    {
        let own = state.desks.fetching(now);
        let view = state.view();
        let mut slots = state::lock(&state.desks.slots);
        if let Some(slot) = slots.get_mut(id) {
            let newest = |key| view.newest_version(key);
            let fetches = view.fetch_load(own + view.fetching());
            slot.desk.order_ended(now, &order, answer, fetches, newest);
        }
    }
    if !matches!(answer, engine_order::OrderAnswer::Accepted | engine_order::OrderAnswer::Holds) {
        async_io::Timer::after(ORDER_PAUSE).await;
    }
}

async fn fetch_report(
    state: &sync::Arc<state::GatewayState>,
    plan: permits::SendPlan<'_>,
    address: net::SocketAddr,
) {
    let report = call_report(state, plan, address).await;
    state.metrics.count_report(report.is_some());
    let now = state.now();
    let mut slots = state::lock(&state.desks.slots);
    if let Some(slot) = slots.get_mut(plan.upstream) {
        slot.desk.report_ended(now, report.as_ref());
    }
}

/// Fetches a report; logs why if there is none.
async fn call_report(
    state: &state::GatewayState,
    plan: permits::SendPlan<'_>,
    address: net::SocketAddr,
) -> Option<upstream::EngineReport> {
    let id = plan.upstream;
    let head = engine::report_call(id);
    let sent = state.now();
    let called = client::call(&state.pool, address, &head, &[], MAX_REPORT_BYTES, REPORT_TIMEOUT);
    let called = called.await;
    if let Ok(answer) = &called {
        intake::note_answer(state, &plan, sent, &fields::decode_upstream(&answer.head));
    }
    match called {
        Ok(answer) if answer.head.status == 200 => match engine::decode_report(&answer.body) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(
                    event = event::REPORT_FAILED.number, upstream = id;
                    "report_failed: {error}"
                );
                None
            }
        },
        Ok(answer) => {
            log::warn!(
                event = event::REPORT_FAILED.number, upstream = id,
                status = answer.head.status; "report_failed"
            );
            None
        }
        Err(error) => {
            log::warn!(
                event = event::REPORT_FAILED.number, upstream = id;
                "report_failed: {error}"
            );
            None
        }
    }
}

/// Looks at engines of which no owner tells, so that requests find what they hold.
pub(crate) async fn watch_untold(state: sync::Arc<state::GatewayState>) {
    loop {
        async_io::Timer::after(UNTOLD_CHECK).await;
        let Some(routes) = state.routes.load_full() else { continue };
        let untold = state.view().stale_engines(state.now(), UNTOLD_AGE);
        for id in untold {
            let known = {
                let view = state.view();
                let slot = view.upstream(&id).filter(|slot| {
                    let service = routes.service(&slot.entry.service);
                    let is_open = view.availability().status(state.now(), slot.number);
                    // What an engine takes that named a limit is left to requests.
                    let is_limited = view.limits().limit(state.now(), slot.number).is_some();
                    is_open == UpstreamAvailability::Available
                        && !is_limited
                        && service.is_some_and(|service| service.engine.is_some())
                });
                slot.map(|slot| (slot.entry.address, slot.number))
            };
            let Some((address, number)) = known else { continue };
            let plan = send_plan(&id, number, limit_table::SendPurpose::Report);
            if let Some(report) = call_report(&state, plan, address).await {
                state.view().apply_report(state.now(), &id, &report);
            }
        }
    }
}

//! Runs one task per engine that this instance owns: sends the orders and report requests that the
//! engine's controller decides on.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::availability_table::UpstreamAvailability;
use coltsfoot_gateway::path_table::UpstreamPath;
use coltsfoot_gateway::{
    demand, engine_controller, engine_order, fetch_limiter, fleet_view, lease_table, limit_table,
    order_lease, send_permits, upstream,
};
use coltsfoot_http::client;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use rustc_hash::FxHashMap;
use site_platform::{engine, fields};

use crate::gateway::{fleet, heartbeats, intake, permits, state};
use crate::{event, task};

/// Timeout for the response to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Timeout for a report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Delay after an order that was not accepted.
const ORDER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Interval between checks for engines that no owner reports.
const STALE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time without an owner's report after which an instance fetches the engine's state itself.
const STALE_ENGINE_AGE: time::Duration = time::Duration::from_millis(1500);
/// Interval between checks for expired load requests while an engine has asked for backoff.
const BACKOFF_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Maximum body size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Who waits for an adapter to be loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadWaiter {
    /// A request of this instance: id of its pending call.
    Local(u64),
    /// Another instance: its address and its id of the call.
    Peer(net::SocketAddr, u64),
}

/// An engine as it is owned in one tenure of its partition.
#[derive(Clone)]
struct EngineTenure {
    id: sync::Arc<str>,
    number: u32,
    zone: sync::Arc<str>,
    partition: u32,
    tenure: order_lease::LeaseTenure,
}

impl EngineTenure {
    /// Returns whether the partition is still held in this tenure.
    fn is_current(&self, lease: &lease_table::LeaseTable) -> bool {
        lease.tenure(&self.zone, self.partition) == Some(self.tenure)
    }

    fn send_context(&self, purpose: limit_table::SendPurpose) -> permits::SendContext<'_> {
        send_context(&self.id, self.number, purpose)
    }
}

/// An engine's controller and the event that wakes its task.
struct ControllerSlot {
    owned: EngineTenure,
    controller: engine_controller::EngineController<LoadWaiter>,
    wake: sync::Arc<event_listener::Event>,
}

/// Controllers of the engines that this instance owns, by engine id.
#[derive(Default)]
pub(crate) struct ControllerTable {
    slots: sync::Mutex<FxHashMap<sync::Arc<str>, ControllerSlot>>,
}

impl ControllerTable {
    /// Wakes all tasks.
    pub fn wake_all(&self) {
        for slot in state::lock(&self.slots).values() {
            slot.wake.notify(usize::MAX);
        }
    }

    /// Requests that an adapter be loaded; returns false if this instance does not own the engine.
    pub fn request_load(
        &self,
        state: &state::GatewayState,
        number: u32,
        name: &demand::AdapterName,
        version: Option<u64>,
        was_missing: bool,
        waiter: LoadWaiter,
    ) -> bool {
        let now = state.now();
        let view = state.view();
        let lease = state.lease();
        let mut slots = state::lock(&self.slots);
        let mut current = slots.values_mut().filter(|slot| slot.owned.is_current(&lease));
        let Some(slot) = current.find(|slot| slot.owned.number == number) else {
            return false;
        };
        if was_missing {
            slot.found_missing(state, now, name);
        }
        let upstream = view.upstream(&slot.owned.id);
        let in_use = |key| upstream.is_some_and(|upstream| upstream.is_in_use(now, key));
        slot.controller.request_load(now, name, version, waiter, in_use);
        slot.wake.notify(usize::MAX);
        true
    }

    /// Records that a request found an adapter missing at an owned engine; returns false if this instance
    /// does not own the engine.
    pub fn found_missing(
        &self,
        state: &state::GatewayState,
        number: u32,
        name: &demand::AdapterName,
    ) -> bool {
        let lease = state.lease();
        let mut slots = state::lock(&self.slots);
        let mut current = slots.values_mut().filter(|slot| slot.owned.is_current(&lease));
        let Some(slot) = current.find(|slot| slot.owned.number == number) else {
            return false;
        };
        slot.found_missing(state, state.now(), name);
        slot.wake.notify(usize::MAX);
        true
    }

    /// Records usage of adapters, which protects them from eviction for a while.
    pub fn touch(&self, now: instant::MonotonicTime, usage: &[wire::AdapterUsage]) {
        let mut slots = state::lock(&self.slots);
        for used in usage {
            let slot = slots.values_mut().find(|slot| slot.owned.number == used.upstream);
            if let Some(slot) = slot {
                slot.controller.touch(now, demand::AdapterKey(used.adapter));
            }
        }
    }

    /// Calls a function with the controller of an engine; `None` if its tenure has been retired.
    fn with_controller<T>(
        &self,
        owned: &EngineTenure,
        call: impl FnOnce(&mut engine_controller::EngineController<LoadWaiter>) -> T,
    ) -> Option<T> {
        let mut slots = state::lock(&self.slots);
        let slot = slots.get_mut(&owned.id)?;
        let is_same = slot.owned.tenure == owned.tenure && slot.owned.number == owned.number;
        is_same.then(|| call(&mut slot.controller))
    }

    /// Removes the controllers of ended tenures and of engines that are gone, wakes their tasks, which end
    /// then, and refuses the load requests that still wait for them.
    fn retire_ended(&self, state: &state::GatewayState) {
        let retired: Vec<ControllerSlot> = {
            let view = state.view();
            let lease = state.lease();
            let mut slots = state::lock(&self.slots);
            let ended = slots.extract_if(|id, slot| {
                let upstream = view.upstream(id);
                let is_present = upstream.is_some_and(|known| known.number == slot.owned.number);
                !is_present || !slot.owned.is_current(&lease)
            });
            ended.map(|(_, slot)| slot).collect()
        };
        for mut slot in retired {
            log::info!(
                event = event::CONTROLLER_RETIRED.number, upstream = slot.owned.id.to_string(),
                partition = slot.owned.partition; "controller_retired"
            );
            slot.wake.notify(usize::MAX);
            send_replies(state, slot.controller.refuse_requests());
        }
    }

    /// Returns the number of adapters that the owned engines are fetching from the weight store.
    pub fn fetching(&self, now: instant::MonotonicTime) -> u32 {
        state::lock(&self.slots).values().map(|slot| slot.controller.fetching(now)).sum()
    }

    /// Returns the number of fetches that wait for capacity of the weight store.
    pub fn queued_fetches(&self) -> u32 {
        state::lock(&self.slots).values().map(|slot| slot.controller.queued_fetches()).sum()
    }

    /// Returns the state of the owned engines as heartbeats report it.
    pub fn owned(&self, state: &state::GatewayState) -> Vec<wire::OwnedEngine> {
        let view = state.view();
        let lease = state.lease();
        let slots = state::lock(&self.slots);
        slots.values().filter_map(|slot| slot.describe(state.now(), &view, &lease)).collect()
    }

    /// Returns the same of one engine; `None` if this instance does not own it or has no report of it.
    pub fn owned_engine(&self, state: &state::GatewayState, id: &str) -> Option<wire::OwnedEngine> {
        let view = state.view();
        let lease = state.lease();
        state::lock(&self.slots).get(id)?.describe(state.now(), &view, &lease)
    }
}

impl ControllerSlot {
    /// Records that a request found an adapter missing; logs if its load is extended.
    fn found_missing(
        &mut self,
        state: &state::GatewayState,
        now: instant::MonotonicTime,
        name: &demand::AdapterName,
    ) {
        if let Some(extension) = self.controller.found_missing(now, name.key()) {
            state.metrics.count_late_load();
            log::info!(
                event = event::LOAD_LATE.number, upstream = self.owned.id.to_string(),
                adapter = name.adapter.to_string(), extension_ms = extension.as_millis() as u64;
                "load_late"
            );
        }
    }

    fn describe(
        &self,
        now: instant::MonotonicTime,
        view: &fleet_view::FleetView,
        lease: &lease_table::LeaseTable,
    ) -> Option<wire::OwnedEngine> {
        if !self.controller.has_report() {
            return None;
        }
        let EngineTenure { id, number, zone, partition, tenure } = &self.owned;
        let lease = lease.zone(zone).filter(|_| self.owned.is_current(lease))?;
        let fence = lease.fence(*partition)?;
        let upstream = view.upstream(id);
        let in_use = |key| upstream.is_some_and(|upstream| upstream.is_in_use(now, key));
        let is_available =
            view.availability().status(now, *number) == UpstreamAvailability::Available;
        // Orders are not sent through other instances: they would count as orders of another holder.
        let is_reached = upstream.is_some_and(|slot| view.path_to(slot) == UpstreamPath::Direct);
        let may_order = lease.order_fence(now, *partition, *tenure).is_some();
        let is_evacuated =
            upstream.is_some_and(|slot| view.evacuations().is_evacuated(&slot.entry.zone));
        let takes_orders = is_available && is_reached && may_order && !is_evacuated;
        let fetches = view.fetch_load(view.fetch_backlog());
        Some(self.controller.describe(now, *number, fence, takes_orders, fetches, in_use))
    }
}

/// Ends what was begun in ended tenures, and starts a task for each engine in a partition of its zone that
/// this instance newly holds.
pub(crate) fn start_owned_engines(state: &sync::Arc<state::GatewayState>) {
    state.controllers.retire_ended(state);
    let Some(routes) = state.routes.load_full() else { return };
    let view = state.view();
    let lease = state.lease();
    let mut slots = state::lock(&state.controllers.slots);
    for upstream in view.upstreams() {
        let id = &upstream.entry.id;
        let partition = state.partition_of(id);
        let zone = &upstream.entry.zone;
        let Some(tenure) = lease.tenure(zone, partition) else { continue };
        if slots.contains_key(id) {
            continue;
        }
        let Some(service) = routes.service(&upstream.entry.service) else { continue };
        let Some(rule) = &service.engine else { continue };
        let Some(model) = rule.models.first() else { continue };
        let model = sync::Arc::clone(&model.name);
        let controller = engine_controller::EngineController::new(model, rule.adapter_capacity());
        let wake = sync::Arc::new(event_listener::Event::new());
        let number = upstream.number;
        let (id, zone) = (sync::Arc::clone(id), sync::Arc::clone(zone));
        let owned = EngineTenure { id: sync::Arc::clone(&id), number, zone, partition, tenure };
        let slot =
            ControllerSlot { owned: owned.clone(), controller, wake: sync::Arc::clone(&wake) };
        slots.insert(id, slot);
        state.spawn("engine", run_engine(sync::Arc::clone(state), owned, wake));
    }
}

/// Runs one engine's controller until the engine is removed or the tenure ends.
async fn run_engine(
    state: sync::Arc<state::GatewayState>,
    owned: EngineTenure,
    wake: sync::Arc<event_listener::Event>,
) {
    let mut pacer = task::StepPacer::default();
    loop {
        pacer.step().await;
        let listener = wake.listen();
        let Some(address) = owned_address(&state, &owned) else {
            state.controllers.retire_ended(&state);
            return;
        };
        if let Some(until) = intake::unavailable_until(&state, owned.number) {
            flush_results(&state, &owned);
            let now = state.now();
            task::wait_until(now, until.min(now + BACKOFF_CHECK_INTERVAL)).await;
            continue;
        }
        let step = next_step(&state, &owned);
        flush_results(&state, &owned);
        match step {
            None => return,
            Some(engine_order::ControllerStep::Order { order, expected_count }) => {
                if acquire_permit(&state, &owned, limit_table::SendPurpose::Order).await {
                    send_order(&state, &owned, address, order, expected_count).await;
                }
            }
            Some(engine_order::ControllerStep::Report) => {
                if acquire_permit(&state, &owned, limit_table::SendPurpose::Report).await {
                    fetch_report(&state, &owned, address).await;
                }
            }
            Some(engine_order::ControllerStep::Wait(due)) => {
                futures_lite::future::or(task::wait_until(state.now(), due), listener).await;
            }
        }
        flush_results(&state, &owned);
    }
}

/// Returns the address of an engine; `None` once it is gone or the tenure has ended.
fn owned_address(state: &state::GatewayState, owned: &EngineTenure) -> Option<net::SocketAddr> {
    let view = state.view();
    let slot = view.upstream(&owned.id).filter(|slot| slot.number == owned.number)?;
    owned.is_current(&state.lease()).then_some(slot.entry.address)
}

fn next_step(
    state: &state::GatewayState,
    owned: &EngineTenure,
) -> Option<engine_order::ControllerStep> {
    let now = state.now();
    let fence = state.order_fence(&owned.zone, owned.partition, owned.tenure);
    let own_fetches = state.controllers.fetching(now);
    let view = state.view();
    let may_fetch = view.fetch_load(own_fetches + view.fetching()).may_fetch(own_fetches);
    let upstream = view.upstream(&owned.id)?;
    let is_available =
        view.availability().status(now, upstream.number) == UpstreamAvailability::Available;
    let limit = view.limits().limit(now, upstream.number);
    let constraints = engine_order::OrderConstraints {
        may_order: is_available && fence.is_some(),
        may_fetch,
        min_report_interval: limit.map_or(time::Duration::ZERO, send_permits::report_interval),
    };
    let in_use = |key| upstream.is_in_use(now, key);
    state.controllers.with_controller(owned, |controller| {
        controller.next_step(now, constraints, in_use, |key| view.newest_version(key))
    })
}

/// Replies to completed load requests, records fetch times and publishes the engine if it changed.
fn flush_results(state: &sync::Arc<state::GatewayState>, owned: &EngineTenure) {
    let now = state.now();
    let results = state.controllers.with_controller(owned, |controller| {
        (controller.take_replies(now), controller.take_samples(now), controller.take_changed())
    });
    let Some((replies, samples, has_changed)) = results else { return };
    if !samples.is_empty() {
        record_fetch_samples(state, now, &samples);
    }
    if has_changed {
        heartbeats::publish_engine(state, &owned.id);
    }
    send_replies(state, replies);
}

/// Tells those who wait for a load whether the adapter is ready.
fn send_replies(
    state: &state::GatewayState,
    replies: Vec<engine_controller::LoadReply<LoadWaiter>>,
) {
    for reply in replies {
        let decision =
            if reply.is_ready { wire::LoadDecision::Ready } else { wire::LoadDecision::Full };
        match reply.waiter {
            LoadWaiter::Local(call) => state.loads.complete(call, decision),
            LoadWaiter::Peer(address, call) => fleet::respond(state, address, call, decision),
        }
    }
}

/// Updates the limit on concurrent fetches from their measured times; logs when it changes.
fn record_fetch_samples(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    samples: &[fetch_limiter::FetchSample],
) {
    let mut view = state.view();
    let before = view.fetch_limiter().limit();
    view.add_fetch_samples(now, samples);
    let limiter = view.fetch_limiter();
    if limiter.limit() != before {
        log::info!(
            event = event::FETCH_PACE_LEARNED.number, limit = limiter.limit(),
            fetch_ms = limiter.fetch_time().as_millis() as u64,
            late = samples.iter().filter(|sample| sample.is_late()).count() as u64;
            "fetch_pace_learned"
        );
    }
}

fn send_context(
    upstream: &str,
    number: u32,
    purpose: limit_table::SendPurpose,
) -> permits::SendContext<'_> {
    permits::SendContext { upstream, number, purpose, request: "" }
}

/// Acquires a permit for an order or a report request; pauses the engine's controller if it is
/// denied.
async fn acquire_permit(
    state: &state::GatewayState,
    owned: &EngineTenure,
    purpose: limit_table::SendPurpose,
) -> bool {
    match permits::acquire(state, owned.send_context(purpose)).await {
        Ok(()) => true,
        Err(pause) => {
            let until = state.now() + pause;
            state.controllers.with_controller(owned, |controller| controller.pause(until));
            false
        }
    }
}

async fn send_order(
    state: &sync::Arc<state::GatewayState>,
    owned: &EngineTenure,
    address: net::SocketAddr,
    order: engine_order::EngineOrder,
    expected_count: u64,
) {
    // The tenure may have ended since the order was decided on, even if the partition is held again.
    let Some(fence) = state.order_fence(&owned.zone, owned.partition, owned.tenure) else { return };
    let context = owned.send_context(limit_table::SendPurpose::Order);
    let id = context.upstream;
    let holder = &state.settings.instance;
    let authority = engine::OrderAuthority { holder, fence, engine: id };
    let encoded = engine::encode_order(&order, expected_count, authority);
    let (head, body) = match encoded {
        Ok(encoded) => encoded,
        Err(error) => {
            log::warn!(event = event::LOAD_FAILED.number, upstream = id; "load_failed: {error}");
            async_io::Timer::after(ORDER_RETRY_PAUSE).await;
            return;
        }
    };
    let sent = state.now();
    let called = client::call(&state.pool, address, &head, &body, MAX_REPORT_BYTES, ORDER_TIMEOUT);
    let answer = match called.await {
        Ok(response) => {
            intake::record_response(
                state,
                &context,
                sent,
                &fields::decode_upstream(&response.head),
            );
            engine::decode_order_answer(&response.head)
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
        let own_fetches = state.controllers.fetching(now);
        let view = state.view();
        let newest = |key| view.newest_version(key);
        let fetches = view.fetch_load(own_fetches + view.fetching());
        state.controllers.with_controller(owned, |controller| {
            controller.order_ended(now, &order, answer, fetches, newest);
        });
    }
    if !matches!(answer, engine_order::OrderAnswer::Accepted | engine_order::OrderAnswer::Holds) {
        async_io::Timer::after(ORDER_RETRY_PAUSE).await;
    }
}

async fn fetch_report(
    state: &sync::Arc<state::GatewayState>,
    owned: &EngineTenure,
    address: net::SocketAddr,
) {
    let context = owned.send_context(limit_table::SendPurpose::Report);
    let report = call_report(state, context, address).await;
    state.metrics.count_report(report.is_some());
    let now = state.now();
    state.controllers.with_controller(owned, |controller| {
        controller.report_ended(now, report.as_ref());
    });
}

/// Fetches a report; logs the reason if that fails.
async fn call_report(
    state: &state::GatewayState,
    context: permits::SendContext<'_>,
    address: net::SocketAddr,
) -> Option<upstream::EngineReport> {
    let id = context.upstream;
    let head = engine::report_request(id);
    let sent = state.now();
    let called = client::call(&state.pool, address, &head, &[], MAX_REPORT_BYTES, REPORT_TIMEOUT);
    let called = called.await;
    if let Ok(response) = &called {
        intake::record_response(state, &context, sent, &fields::decode_upstream(&response.head));
    }
    match called {
        Ok(response) if response.head.status == 200 => {
            match engine::decode_report(&response.body) {
                Ok(report) => Some(report),
                Err(error) => {
                    log::warn!(
                        event = event::REPORT_FAILED.number, upstream = id;
                        "report_failed: {error}"
                    );
                    None
                }
            }
        }
        Ok(response) => {
            log::warn!(
                event = event::REPORT_FAILED.number, upstream = id,
                status = response.head.status; "report_failed"
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

/// Fetches reports of engines that no owner reports, so that requests can still be placed there.
pub(crate) async fn poll_stale_engines(state: sync::Arc<state::GatewayState>) {
    loop {
        async_io::Timer::after(STALE_CHECK_INTERVAL).await;
        let Some(routes) = state.routes.load_full() else { continue };
        let stale = state.view().stale_engines(state.now(), STALE_ENGINE_AGE);
        for id in stale {
            let endpoint = {
                let view = state.view();
                let slot = view.upstream(&id).filter(|slot| {
                    let service = routes.service(&slot.entry.service);
                    let status = view.availability().status(state.now(), slot.number);
                    // The permits of a rate-limited engine are reserved for requests.
                    let is_limited = view.limits().limit(state.now(), slot.number).is_some();
                    status == UpstreamAvailability::Available
                        && !is_limited
                        && service.is_some_and(|service| service.engine.is_some())
                });
                slot.map(|slot| (slot.entry.address, slot.number))
            };
            let Some((address, number)) = endpoint else { continue };
            let context = send_context(&id, number, limit_table::SendPurpose::Report);
            if let Some(report) = call_report(&state, context, address).await {
                state.view().apply_report(state.now(), &id, &report);
            }
        }
    }
}

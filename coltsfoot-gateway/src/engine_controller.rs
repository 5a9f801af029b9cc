//! Controller of one engine, run by its owner: tracks which adapters the engine holds and decides which
//! to load and which to evict.

mod orders;
mod reports;

use std::collections;
use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::{demand, engine_order, fetch_limiter};

/// Longest load time of a base model while few loads run.
const MODEL_LOAD_TIME: time::Duration = time::Duration::from_millis(1000);
/// Assumed remaining load time of an adapter that a report lists as pending.
const PENDING_LOAD_TIME: time::Duration = time::Duration::from_millis(250);
/// Load time of an adapter that the engine held recently.
pub const WARM_LOAD: time::Duration = time::Duration::from_millis(25);
/// Number of most recently held adapters that an engine can load within [`WARM_LOAD`].
pub const WARM_ADAPTERS: usize = 48;
/// Time after an order during which a missing adapter is assumed to be still loading.
const MAX_LOAD_TIME: time::Duration = time::Duration::from_millis(1500);
/// First extension of the expected load time of an adapter that is late. A further one is
/// half of the time by which it is late, if that is longer.
const LATE_LOAD_EXTENSION: time::Duration = time::Duration::from_millis(60);
/// Time after the first request to a loaded adapter within which a rejection of it arrives: a message to
/// the requesting instance, its send, the rejection and a message back.
const PROBE_TIME: time::Duration = time::Duration::from_millis(30);
/// Adapters that an engine may load concurrently.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Longest age of a report on arrival.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(400);
/// Time between two reports of an engine.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(2000);
/// Time that a load request waits for an adapter slot before its waiters are told to look elsewhere.
const MAX_SLOT_WAIT: time::Duration = time::Duration::from_millis(600);
/// Time for which an adapter is not evicted after a waiter was told that it is ready: until the waiter's
/// request has arrived and a heartbeat reports it.
const READY_RESERVATION: time::Duration = time::Duration::from_millis(400);
/// Time between attempts while an engine waits for requests on an adapter that it unloads.
const UNLOAD_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(80);
/// Time after which the controller checks again whether an adapter may be fetched.
const FETCH_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Time after the expected end of a fetch within which some request notices that the fetch is late.
const FETCH_SAMPLE_DELAY: time::Duration = time::Duration::from_millis(150);
/// Margin between the expected end of a load and the first request.
const LOAD_MARGIN: time::Duration = time::Duration::from_millis(8);

/// An adapter that the engine holds or loads.
#[derive(Clone, Debug)]
struct PlacedAdapter {
    name: demand::AdapterName,
    version: u64,
    ordered: clock::MonotonicTime,
    ready_at: clock::MonotonicTime,
    readiness: AdapterReadiness,
    /// The fetch from the weight store, until its duration has been sampled.
    fetch: Option<PendingFetch>,
    /// Not evicted before: a request whose sender was told that the adapter is ready may be in transit.
    reserved_until: clock::MonotonicTime,
    last_used: clock::MonotonicTime,
}

/// What is known of an adapter whose load is expected to have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdapterReadiness {
    /// Nothing, as no request was sent to it yet.
    Expected,
    /// The first request was sent to it then; the others wait for a rejection of that one.
    Probed(clock::MonotonicTime),
    /// A report lists it as loaded.
    Reported,
}

impl PlacedAdapter {
    /// Returns when all requests may be sent to the adapter, if nothing is heard until then.
    fn usable_at(&self) -> clock::MonotonicTime {
        match self.readiness {
            AdapterReadiness::Expected => self.ready_at + PROBE_TIME,
            AdapterReadiness::Probed(probed_at) => probed_at + PROBE_TIME,
            AdapterReadiness::Reported => self.ready_at,
        }
    }

    /// Returns whether all requests may be sent to the adapter.
    fn is_usable(&self, now: clock::MonotonicTime) -> bool {
        now >= self.usable_at()
    }

    /// Returns how many of the requests that wait for the adapter may be sent now.
    fn release_count(&self, now: clock::MonotonicTime) -> usize {
        match self.readiness {
            AdapterReadiness::Expected if now >= self.ready_at => 1,
            AdapterReadiness::Expected => 0,
            _ if self.is_usable(now) => usize::MAX,
            _ => 0,
        }
    }

    /// Records that a request was told to use the adapter.
    fn reserve(&mut self, now: clock::MonotonicTime) {
        self.reserved_until = now + READY_RESERVATION;
        if self.readiness == AdapterReadiness::Expected {
            self.readiness = AdapterReadiness::Probed(now);
        }
    }
}

/// A fetch from the weight store whose duration is not sampled yet.
#[derive(Clone, Copy, Debug)]
struct PendingFetch {
    /// Concurrent fetches of all engines when it started, including this one.
    concurrency: u32,
    expected: time::Duration,
    /// Duration after which the adapter is assumed to be loaded.
    actual: time::Duration,
}

/// A request to load an adapter, shared by all who wait for it.
#[derive(Clone, Debug)]
struct LoadRequest<A> {
    name: demand::AdapterName,
    key: demand::AdapterKey,
    version: Option<u64>,
    requested_at: clock::MonotonicTime,
    waiters: SmallVec<[A; 2]>,
}

/// Answer to a load request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReply<A> {
    /// Who requested the load.
    pub waiter: A,
    /// Whether the adapter is ready; if not, the engine has no free slot or accepts no orders now.
    pub is_ready: bool,
}

/// Controller of one engine; `A` identifies who waits for a load.
#[derive(Clone, Debug)]
pub struct EngineController<A> {
    capacity: usize,
    model: sync::Arc<str>,
    has_model: bool,
    model_ready_at: Option<clock::MonotonicTime>,
    order_count: Option<u64>,
    placed: FxHashMap<demand::AdapterKey, PlacedAdapter>,
    warm: collections::VecDeque<demand::AdapterKey>,
    load_requests: collections::VecDeque<LoadRequest<A>>,
    /// An order whose outcome is unknown. A report with a newer order count settles it.
    unanswered: Option<engine_order::EngineOrder>,
    /// An adapter that the engine unloads as soon as its requests have ended.
    unloading: Option<demand::AdapterName>,
    /// No order is sent before, since the engine waits for requests to end.
    blocked_until: clock::MonotonicTime,
    /// The request limit that the engine announced allows neither orders nor report queries before.
    paused_until: clock::MonotonicTime,
    next_report: clock::MonotonicTime,
    /// Arrival of the last report.
    reported: Option<clock::MonotonicTime>,
    replies: Vec<LoadReply<A>>,
    has_changed: bool,
}

impl<A: Clone + PartialEq> EngineController<A> {
    /// Creates a controller that has no report of its engine yet. `capacity` is the number of adapter slots.
    pub fn new(model: sync::Arc<str>, capacity: usize) -> Self {
        Self {
            capacity,
            model,
            has_model: false,
            model_ready_at: None,
            order_count: None,
            placed: FxHashMap::default(),
            warm: collections::VecDeque::new(),
            load_requests: collections::VecDeque::new(),
            unanswered: None,
            unloading: None,
            blocked_until: clock::MonotonicTime::default(),
            paused_until: clock::MonotonicTime::default(),
            next_report: clock::MonotonicTime::default(),
            reported: None,
            replies: Vec::new(),
            has_changed: true,
        }
    }

    /// Returns whether the engine holds its base model.
    pub fn has_model(&self, now: clock::MonotonicTime) -> bool {
        self.has_model || self.model_ready_at.is_some_and(|ready| now >= ready)
    }

    /// Returns whether a report of the engine has arrived; nothing is known of it before.
    pub fn has_report(&self) -> bool {
        self.reported.is_some()
    }

    /// Returns the adapters that all requests may use, with their versions.
    pub fn ready(
        &self,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = (demand::AdapterKey, u64)> {
        let ready = self.placed.iter().filter(move |(_, placed)| placed.is_usable(now));
        ready.map(|(key, placed)| (*key, placed.version))
    }

    /// Returns the adapters that are loading or requested, with the expected time at which they are
    /// ready. `fetches` is the load of the weight store, for those that are not ordered yet.
    pub fn pending_adapters(
        &self,
        now: clock::MonotonicTime,
        fetches: engine_order::FetchLoad,
    ) -> impl Iterator<Item = (demand::AdapterKey, clock::MonotonicTime)> {
        let ordered = self.placed.iter().filter(move |(_, placed)| !placed.is_usable(now));
        let ordered = ordered.map(|(key, placed)| (*key, placed.ready_at));
        let requested = self.load_requests.iter().map(|request| request.key);
        let requested = requested.filter(|key| !self.placed.contains_key(key));
        ordered.chain(requested.map(move |key| {
            let is_warm = self.warm.contains(&key);
            (key, now + if is_warm { WARM_LOAD } else { fetches.expected_time() })
        }))
    }

    /// Returns the state of the engine as sent to other instances. `upstream` is its number, `fence` the
    /// fencing number under which it is owned.
    pub fn describe(
        &self,
        now: clock::MonotonicTime,
        upstream: u32,
        fence: u64,
        takes_orders: bool,
        fetches: engine_order::FetchLoad,
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) -> fleet::OwnedEngine {
        let held = self.ready(now);
        let pending = self.pending_adapters(now, fetches).map(|(key, ready)| {
            let ready_in_ms = u16::try_from(ready.since(now).as_millis()).unwrap_or(u16::MAX);
            fleet::PendingAdapter { adapter: key.0, ready_in_ms }
        });
        fleet::OwnedEngine {
            upstream,
            fence,
            has_model: self.has_model(now),
            takes_orders: takes_orders && !self.is_paused(now),
            available_slots: u8::try_from(self.available_slots(now, in_use)).unwrap_or(u8::MAX),
            adapters: held
                .map(|(key, version)| fleet::ResidentAdapter { adapter: key.0, version })
                .collect(),
            pending: pending.collect(),
        }
    }

    /// Returns whether the state has changed since it was last sent to other instances, and resets that.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Sends neither orders nor report queries before `until`.
    pub fn pause(&mut self, until: clock::MonotonicTime) {
        self.paused_until = until;
        self.has_changed = true;
    }

    fn is_paused(&self, now: clock::MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Requests an adapter. The reply is immediate if the adapter is ready, if no slot is free for it, or
    /// if the controller is paused.
    pub fn request_load(
        &mut self,
        now: clock::MonotonicTime,
        name: &demand::AdapterName,
        version: Option<u64>,
        waiter: A,
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) {
        let key = name.key();
        if let Some(placed) = self.placed.get_mut(&key)
            && placed.version >= version.unwrap_or(0)
            && placed.release_count(now) > 0
        {
            placed.last_used = now;
            placed.reserve(now);
            self.replies.push(LoadReply { waiter, is_ready: true });
            return;
        }
        let is_requested = self.load_requests.iter().any(|request| request.name == *name);
        let has_room = is_requested || self.placed.contains_key(&key);
        if !has_room && (self.is_paused(now) || self.available_slots(now, in_use) == 0) {
            self.replies.push(LoadReply { waiter, is_ready: false });
            return;
        }
        let known = self.load_requests.iter_mut().find(|request| request.name == *name);
        match known {
            Some(request) => {
                request.version = request.version.max(version);
                if !request.waiters.contains(&waiter) {
                    request.waiters.push(waiter);
                }
            }
            None => self.load_requests.push_back(LoadRequest {
                name: name.clone(),
                key,
                version,
                requested_at: now,
                waiters: SmallVec::from_iter([waiter]),
            }),
        }
    }

    /// Marks an adapter as used now, for LRU eviction.
    pub fn touch(&mut self, now: clock::MonotonicTime, key: demand::AdapterKey) {
        if key.0.has_digest() {
            if let Some(placed) = self.placed.get_mut(&key) {
                placed.last_used = now;
            }
            return;
        }
        let named = self.placed.iter_mut().filter(|(held, _)| held.0.may_be(key.0));
        named.for_each(|(_, placed)| placed.last_used = now);
    }

    /// Removes and returns the replies that are due. When a load is expected to have ended, one of its
    /// waiters is told first, and the others once no rejection of that one has arrived.
    pub fn take_replies(&mut self, now: clock::MonotonicTime) -> Vec<LoadReply<A>> {
        let placed = &mut self.placed;
        let replies = &mut self.replies;
        let mut any_ready = false;
        self.load_requests.retain_mut(|request| {
            let adapter = placed.get_mut(&request.key);
            let matching =
                adapter.filter(|adapter| adapter.version >= request.version.unwrap_or(0));
            let is_ready = matching.is_some();
            let released = match matching {
                Some(adapter) => {
                    let released = adapter.release_count(now).min(request.waiters.len());
                    if released > 0 {
                        adapter.reserve(now);
                        any_ready = true;
                    }
                    released
                }
                None if now.since(request.requested_at) >= MAX_SLOT_WAIT => request.waiters.len(),
                None => 0,
            };
            let waiters = request.waiters.drain(..released);
            replies.extend(waiters.map(|waiter| LoadReply { waiter, is_ready }));
            !request.waiters.is_empty()
        });
        self.has_changed |= any_ready;
        std::mem::take(&mut self.replies)
    }

    /// Removes all load requests and returns negative replies to them, for a controller whose lease has ended.
    pub fn refuse_requests(&mut self) -> Vec<LoadReply<A>> {
        let requests = std::mem::take(&mut self.load_requests);
        let waiters = requests.into_iter().flat_map(|request| request.waiters);
        self.replies.extend(waiters.map(|waiter| LoadReply { waiter, is_ready: false }));
        std::mem::take(&mut self.replies)
    }

    /// Returns what to do next. `in_use` returns whether requests run on an adapter at the engine,
    /// `newest` the version that an adapter should have.
    pub fn next_step(
        &mut self,
        now: clock::MonotonicTime,
        constraints: engine_order::OrderConstraints,
        in_use: impl Fn(demand::AdapterKey) -> bool,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> engine_order::ControllerStep {
        let earliest_report =
            self.reported.map(|reported| reported + constraints.min_report_interval);
        let report_due = self.next_report.max(earliest_report.unwrap_or_default());
        if self.is_paused(now) {
            let due = self.next_due(now, report_due);
            return engine_order::ControllerStep::Wait(
                due.map_or(self.paused_until, |due| due.min(self.paused_until)),
            );
        }
        if now >= report_due {
            return engine_order::ControllerStep::Report;
        }
        let Some(expected_count) = self.order_count else {
            return engine_order::ControllerStep::Wait(report_due);
        };
        if constraints.may_order
            && let Some(order) = self.next_order(now, constraints, in_use, newest)
        {
            return engine_order::ControllerStep::Order { order, expected_count };
        }
        let due = self.next_due(now, report_due).unwrap_or(report_due);
        let waits_for_fetch =
            constraints.may_order && !constraints.may_fetch && !self.load_requests.is_empty();
        engine_order::ControllerStep::Wait(if waits_for_fetch {
            due.min(now + FETCH_RETRY_INTERVAL)
        } else {
            due
        })
    }

    /// Returns the first time after now at which something is due.
    fn next_due(
        &self,
        now: clock::MonotonicTime,
        report_due: clock::MonotonicTime,
    ) -> Option<clock::MonotonicTime> {
        let usable = self.placed.values().map(PlacedAdapter::usable_at);
        let pending = self.placed.values().map(|placed| placed.ready_at).chain(usable);
        let expiring =
            self.load_requests.front().map(|request| request.requested_at + MAX_SLOT_WAIT);
        let reservations = self.placed.values().map(|placed| placed.reserved_until);
        let due = pending
            .chain(expiring)
            .chain(reservations)
            .chain([report_due, self.blocked_until])
            .chain(self.model_ready_at);
        due.filter(|due| *due > now).min()
    }

    /// Returns the number of load requests that wait for a fetch from the weight store.
    pub fn queued_fetches(&self) -> u32 {
        let waiting = self.load_requests.iter().filter(|request| {
            let key = request.key;
            !self.placed.contains_key(&key) && !self.warm.contains(&key)
        });
        waiting.count() as u32
    }

    /// Returns the number of adapter slots that are free or whose adapters can be evicted.
    pub fn available_slots(
        &self,
        now: clock::MonotonicTime,
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) -> usize {
        let used = self
            .placed
            .iter()
            .filter(|(key, placed)| in_use(**key) || !self.is_evictable(now, placed));
        let new =
            self.load_requests.iter().filter(|request| !self.placed.contains_key(&request.key));
        self.capacity.saturating_sub(used.count() + new.count())
    }

    /// Returns the number of fetches from the weight store in flight.
    pub fn fetching(&self, now: clock::MonotonicTime) -> u32 {
        let in_flight =
            self.placed.values().filter(|placed| placed.fetch.is_some() && placed.ready_at > now);
        in_flight.count() as u32
    }

    /// Removes and returns the samples of ended fetches that are due.
    pub fn take_samples(&mut self, now: clock::MonotonicTime) -> Vec<fetch_limiter::FetchSample> {
        let due = self.placed.values_mut().filter(|placed| is_sample_due(now, placed));
        let samples = due.filter_map(|placed| {
            let PendingFetch { concurrency, expected, actual } = placed.fetch.take()?;
            let started = placed.ordered;
            Some(fetch_limiter::FetchSample { started, concurrency, expected, actual })
        });
        samples.collect()
    }
}

/// Returns whether a late fetch of the adapter would have been noticed by a request by now.
fn is_sample_due(now: clock::MonotonicTime, placed: &PlacedAdapter) -> bool {
    now >= placed.ready_at + FETCH_SAMPLE_DELAY
}

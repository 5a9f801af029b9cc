//! Orders to one engine by its owner: which adapters it holds, which are asked for, which make way.

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

/// Longest time that a base model takes to load while few loads run.
const MODEL_LOAD: time::Duration = time::Duration::from_millis(1000);
/// Time after which an adapter is expected that a report lists as on its way.
const PENDING_LOAD: time::Duration = time::Duration::from_millis(250);
/// Time that an adapter takes that the engine held recently.
pub const WARM_LOAD: time::Duration = time::Duration::from_millis(25);
/// Adapters that an engine can load as fast as [`WARM_LOAD`], held most recently.
pub const WARM_ADAPTERS: usize = 48;
/// Time after an order in which a missing adapter is taken to be still on its way.
const LONGEST_LOAD: time::Duration = time::Duration::from_millis(1500);
/// Further time for an adapter that is late.
const LATE_LOAD_STEP: time::Duration = time::Duration::from_millis(60);
/// Adapters that may be on their way to an engine at once.
const MAX_LOADING: usize = 4;
/// Age that a report may have when it arrives.
const REPORT_LAG: time::Duration = time::Duration::from_millis(400);
/// Time between reports of an engine.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(2000);
/// Time that a question waits for a place before its waiter is sent elsewhere.
const MAX_QUESTION_WAIT: time::Duration = time::Duration::from_millis(600);
/// Time for which an adapter stays after an waiter was told that it is ready: until the waiter's
/// request has come and its beat tells so.
const PROMISE: time::Duration = time::Duration::from_millis(400);
/// Time between tries while an engine waits for requests on an adapter that makes way.
const LEAVING_CHECK: time::Duration = time::Duration::from_millis(80);
/// Time after which a desk looks again whether an adapter may be fetched.
const FETCH_CHECK: time::Duration = time::Duration::from_millis(25);
/// Time after its expected end in which a fetch that is late is found out by a request.
const FETCH_JUDGED_AFTER: time::Duration = time::Duration::from_millis(150);
/// Allowance between the expected end of a load and the first request.
const LOAD_MARGIN: time::Duration = time::Duration::from_millis(8);

/// An adapter at the engine.
#[derive(Clone, Debug)]
struct PlacedAdapter {
    name: demand::AdapterName,
    version: u64,
    ordered: clock::MonotonicTime,
    ready_at: clock::MonotonicTime,
    /// The fetch from the weight store, until its time is known.
    fetch: Option<PendingFetch>,
    /// Until when a request may be on its way that was told that the adapter is ready.
    promised_until: clock::MonotonicTime,
    last_used: clock::MonotonicTime,
}

/// A fetch from the weight store whose outcome is still to be judged.
#[derive(Clone, Copy, Debug)]
struct PendingFetch {
    /// Fetches of all engines that were under way, with this one.
    concurrency: u32,
    expected: time::Duration,
    /// Time after which the adapter is taken to be there.
    actual: time::Duration,
}

/// A question for an adapter, by one or more waiters.
#[derive(Clone, Debug)]
struct LoadRequest<A> {
    name: demand::AdapterName,
    version: Option<u64>,
    asked: clock::MonotonicTime,
    waiters: SmallVec<[A; 2]>,
}

/// An answered question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReply<A> {
    /// Who asked.
    pub waiter: A,
    /// Whether the adapter is ready; the engine has no place for it otherwise.
    pub is_ready: bool,
}

/// The owner's desk for one engine.
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
    unanswered: Option<engine_order::EngineOrder>,
    /// An adapter that makes way as soon as its requests have ended.
    leaving: Option<demand::AdapterName>,
    /// Until when no order is tried, since the engine waits for requests to end.
    held_up_until: clock::MonotonicTime,
    /// Until when the engine takes neither orders nor reports, within the limit that it named.
    paused_until: clock::MonotonicTime,
    next_report: clock::MonotonicTime,
    /// When the last report came.
    reported: Option<clock::MonotonicTime>,
    replies: Vec<LoadReply<A>>,
    has_changed: bool,
}

impl<A: Clone + PartialEq> EngineController<A> {
    /// Creates a desk that knows nothing of its engine yet.
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
            leaving: None,
            held_up_until: clock::MonotonicTime::default(),
            paused_until: clock::MonotonicTime::default(),
            next_report: clock::MonotonicTime::default(),
            reported: None,
            replies: Vec::new(),
            has_changed: true,
        }
    }

    /// Returns whether the engine holds its model.
    pub fn has_model(&self, now: clock::MonotonicTime) -> bool {
        self.has_model || self.model_ready_at.is_some_and(|ready| now >= ready)
    }

    /// Returns the adapters that are ready, with their versions.
    pub fn ready(
        &self,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = (demand::AdapterKey, u64)> {
        let ready = self.placed.iter().filter(move |(_, placed)| now >= placed.ready_at);
        ready.map(|(key, placed)| (*key, placed.version))
    }

    /// Returns the adapters that are on their way or asked for, with the expected time: those asked
    /// for wait for the weight store as told by `fetches`.
    pub fn pending_adapters(
        &self,
        now: clock::MonotonicTime,
        fetches: engine_order::FetchLoad,
    ) -> impl Iterator<Item = (demand::AdapterKey, clock::MonotonicTime)> {
        let ordered = self.placed.iter().filter(move |(_, placed)| now < placed.ready_at);
        let ordered = ordered.map(|(key, placed)| (*key, placed.ready_at));
        let asked = self.load_requests.iter().map(|request| request.name.key());
        let asked = asked.filter(|key| !self.placed.contains_key(key));
        ordered.chain(asked.map(move |key| {
            let is_warm = self.warm.contains(&key);
            (key, now + if is_warm { WARM_LOAD } else { fetches.expected_time() })
        }))
    }

    /// Returns what other instances should know of the engine, which has a number and is held under a
    /// fencing number.
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
        let coming = self.pending_adapters(now, fetches).map(|(key, ready)| {
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
            pending: coming.collect(),
        }
    }

    /// Returns whether what others know of the engine is outdated, and resets the mark.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Notes that the engine takes neither orders nor reports until then.
    pub fn pause(&mut self, until: clock::MonotonicTime) {
        self.paused_until = until;
        self.has_changed = true;
    }

    fn is_paused(&self, now: clock::MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Takes a question for an adapter. It is answered at once if the adapter is there, or if there is
    /// no place for it or no order can be given for a while.
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
            && now >= placed.ready_at
        {
            placed.last_used = now;
            placed.promised_until = now + PROMISE;
            self.replies.push(LoadReply { waiter, is_ready: true });
            return;
        }
        let is_asked = self.load_requests.iter().any(|request| request.name == *name);
        let has_room = is_asked || self.placed.contains_key(&key);
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
                version,
                asked: now,
                waiters: SmallVec::from_iter([waiter]),
            }),
        }
    }

    /// Notes that a request used an adapter.
    pub fn touch(&mut self, now: clock::MonotonicTime, key: demand::AdapterKey) {
        if let Some(placed) = self.placed.get_mut(&key) {
            placed.last_used = now;
        }
    }

    /// Returns the replies that are due.
    pub fn take_replies(&mut self, now: clock::MonotonicTime) -> Vec<LoadReply<A>> {
        let placed = &mut self.placed;
        let replies = &mut self.replies;
        let mut came_ready = false;
        self.load_requests.retain(|request| {
            let at = placed.get_mut(&request.name.key());
            let mut fitting = at.filter(|at| at.version >= request.version.unwrap_or(0));
            let is_ready = fitting.as_ref().is_some_and(|at| now >= at.ready_at);
            if let Some(at) = fitting.as_mut().filter(|_| is_ready) {
                at.promised_until = now + PROMISE;
            }
            let is_late = fitting.is_none() && now.since(request.asked) >= MAX_QUESTION_WAIT;
            if is_ready || is_late {
                let waiters = request.waiters.iter().cloned();
                replies.extend(waiters.map(|waiter| LoadReply { waiter, is_ready }));
            }
            came_ready |= is_ready;
            !is_ready && !is_late
        });
        self.has_changed |= came_ready;
        std::mem::take(&mut self.replies)
    }

    /// Returns what to do next. `in_use` tells whether requests run on an adapter at the engine;
    /// `newest` the version that an adapter should have.
    pub fn next_step(
        &mut self,
        now: clock::MonotonicTime,
        constraints: engine_order::OrderConstraints,
        in_use: impl Fn(demand::AdapterKey) -> bool,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> engine_order::ControllerStep {
        let spared_until = self.reported.map(|reported| reported + constraints.min_report_interval);
        let report_due = self.next_report.max(spared_until.unwrap_or_default());
        if self.is_paused(now) {
            return engine_order::ControllerStep::Wait(
                self.next_due(now, report_due).min(self.paused_until),
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
        let due = self.next_due(now, report_due);
        let is_held_up =
            constraints.may_order && !constraints.may_fetch && !self.load_requests.is_empty();
        engine_order::ControllerStep::Wait(if is_held_up {
            due.min(now + FETCH_CHECK)
        } else {
            due
        })
    }

    fn next_due(
        &self,
        now: clock::MonotonicTime,
        report_due: clock::MonotonicTime,
    ) -> clock::MonotonicTime {
        let coming =
            self.placed.values().map(|placed| placed.ready_at).filter(|ready| *ready > now);
        let late = self.load_requests.front().map(|request| request.asked + MAX_QUESTION_WAIT);
        let promises = self.placed.values().map(|placed| placed.promised_until);
        let due = coming
            .chain(late)
            .chain(promises)
            .chain([report_due, self.held_up_until])
            .chain(self.model_ready_at);
        due.filter(|due| *due > now).min().unwrap_or(report_due)
    }

    /// Returns the questions for adapters that are to be fetched from the weight store.
    pub fn queued_fetches(&self) -> u32 {
        let waiting = self.load_requests.iter().filter(|request| {
            let key = request.name.key();
            !self.placed.contains_key(&key) && !self.warm.contains(&key)
        });
        waiting.count() as u32
    }

    /// Returns the places that are free or whose adapters could make way.
    pub fn available_slots(
        &self,
        now: clock::MonotonicTime,
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) -> usize {
        let used = self
            .placed
            .iter()
            .filter(|(key, placed)| in_use(**key) || !self.is_evictable(now, placed));
        let new = self
            .load_requests
            .iter()
            .filter(|request| !self.placed.contains_key(&request.name.key()));
        self.capacity.saturating_sub(used.count() + new.count())
    }

    /// Returns the adapters on their way from the weight store.
    pub fn fetching(&self, now: clock::MonotonicTime) -> u32 {
        let coming =
            self.placed.values().filter(|placed| placed.fetch.is_some() && placed.ready_at > now);
        coming.count() as u32
    }

    /// Returns how fetches ended that were not told yet.
    pub fn take_samples(&mut self, now: clock::MonotonicTime) -> Vec<fetch_limiter::FetchSample> {
        let judged = self.placed.values_mut().filter(|placed| is_judged(now, placed));
        let samples = judged.filter_map(|placed| {
            let PendingFetch { concurrency, expected, actual } = placed.fetch.take()?;
            let started = placed.ordered;
            Some(fetch_limiter::FetchSample { started, concurrency, expected, actual })
        });
        samples.collect()
    }
}

/// Returns whether a request would have found out by now that the fetch of an adapter is late.
fn is_judged(now: clock::MonotonicTime, placed: &PlacedAdapter) -> bool {
    now >= placed.ready_at + FETCH_JUDGED_AFTER
}

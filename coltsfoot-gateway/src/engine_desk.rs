//! Orders to one engine by its owner: which adapters it holds, which are asked for, which make way.

use std::collections;
use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::{demand, engine_order, upstream};

/// Longest time that a base model takes to load while few loads run.
const MODEL_LOAD: time::Duration = time::Duration::from_millis(1000);
/// Time that an adapter takes from the weight store while few are on their way.
pub const COLD_LOAD: time::Duration = time::Duration::from_millis(250);
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
/// Time that a question waits for a place before its asker is sent elsewhere.
const MAX_QUESTION_WAIT: time::Duration = time::Duration::from_millis(600);
/// Time for which an adapter stays after an asker was told that it is ready: until the asker's
/// request has come and its beat tells so.
const PROMISE: time::Duration = time::Duration::from_millis(400);
/// Time between tries while an engine waits for requests on an adapter that makes way.
const LEAVING_CHECK: time::Duration = time::Duration::from_millis(80);
/// Time after which a desk looks again whether an adapter may be fetched.
const FETCH_CHECK: time::Duration = time::Duration::from_millis(25);
/// Allowance between the expected end of a load and the first request.
const LOAD_MARGIN: time::Duration = time::Duration::from_millis(8);

/// An adapter at the engine.
#[derive(Clone, Debug)]
struct PlacedAdapter {
    name: demand::AdapterName,
    version: u64,
    ordered: clock::MonotonicTime,
    ready_at: clock::MonotonicTime,
    is_fetched: bool,
    /// Until when a request may be on its way that was told that the adapter is ready.
    promised_until: clock::MonotonicTime,
    last_used: clock::MonotonicTime,
}

/// A question for an adapter, by one or more askers.
#[derive(Clone, Debug)]
struct OpenQuestion<A> {
    name: demand::AdapterName,
    version: Option<u64>,
    asked: clock::MonotonicTime,
    askers: SmallVec<[A; 2]>,
}

/// An answered question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeskReply<A> {
    /// Who asked.
    pub asker: A,
    /// Whether the adapter is ready; the engine has no place for it otherwise.
    pub is_ready: bool,
}

/// The owner's desk for one engine.
#[derive(Clone, Debug)]
pub struct EngineDesk<A> {
    capacity: usize,
    model: sync::Arc<str>,
    has_model: bool,
    model_ready_at: Option<clock::MonotonicTime>,
    order_count: Option<u64>,
    placed: FxHashMap<demand::AdapterKey, PlacedAdapter>,
    warm: collections::VecDeque<demand::AdapterKey>,
    questions: collections::VecDeque<OpenQuestion<A>>,
    unanswered: Option<engine_order::EngineOrder>,
    /// An adapter that makes way as soon as its requests have ended.
    leaving: Option<demand::AdapterName>,
    /// Until when no order is tried, since the engine waits for requests to end.
    held_up_until: clock::MonotonicTime,
    next_report: clock::MonotonicTime,
    replies: Vec<DeskReply<A>>,
    has_changed: bool,
}

impl<A: Clone + PartialEq> EngineDesk<A> {
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
            questions: collections::VecDeque::new(),
            unanswered: None,
            leaving: None,
            held_up_until: clock::MonotonicTime::default(),
            next_report: clock::MonotonicTime::default(),
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

    /// Returns the adapters that are on their way or asked for, with the expected time.
    pub fn coming(
        &self,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = (demand::AdapterKey, clock::MonotonicTime)> {
        let ordered = self.placed.iter().filter(move |(_, placed)| now < placed.ready_at);
        let ordered = ordered.map(|(key, placed)| (*key, placed.ready_at));
        let asked = self.questions.iter().map(|question| question.name.key());
        let asked = asked.filter(|key| !self.placed.contains_key(key));
        ordered.chain(asked.map(move |key| {
            let is_warm = self.warm.contains(&key);
            (key, now + if is_warm { WARM_LOAD } else { COLD_LOAD })
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
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) -> fleet::OwnedEngine {
        let held = self.ready(now);
        let coming = self.coming(now).map(|(key, ready)| {
            let ready_in_ms = u16::try_from(ready.since(now).as_millis()).unwrap_or(u16::MAX);
            fleet::ComingAdapter { adapter: key.0, ready_in_ms }
        });
        fleet::OwnedEngine {
            upstream,
            fence,
            has_model: self.has_model(now),
            takes_orders,
            idle_places: u8::try_from(self.idle_places(now, in_use)).unwrap_or(u8::MAX),
            adapters: held
                .map(|(key, version)| fleet::HeldAdapter { adapter: key.0, version })
                .collect(),
            coming: coming.collect(),
        }
    }

    /// Returns whether what others know of the engine is outdated, and resets the mark.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Takes a question for an adapter. It is answered at once if the adapter is there, or if there is
    /// no place for it.
    pub fn ask(
        &mut self,
        now: clock::MonotonicTime,
        name: &demand::AdapterName,
        version: Option<u64>,
        asker: A,
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) {
        let key = name.key();
        if let Some(placed) = self.placed.get_mut(&key)
            && placed.version >= version.unwrap_or(0)
            && now >= placed.ready_at
        {
            placed.last_used = now;
            placed.promised_until = now + PROMISE;
            self.replies.push(DeskReply { asker, is_ready: true });
            return;
        }
        let is_asked = self.questions.iter().any(|question| question.name == *name);
        let has_room = is_asked || self.placed.contains_key(&key);
        if !has_room && self.idle_places(now, in_use) == 0 {
            self.replies.push(DeskReply { asker, is_ready: false });
            return;
        }
        let known = self.questions.iter_mut().find(|question| question.name == *name);
        match known {
            Some(question) => {
                question.version = question.version.max(version);
                if !question.askers.contains(&asker) {
                    question.askers.push(asker);
                }
            }
            None => self.questions.push_back(OpenQuestion {
                name: name.clone(),
                version,
                asked: now,
                askers: SmallVec::from_iter([asker]),
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
    pub fn take_replies(&mut self, now: clock::MonotonicTime) -> Vec<DeskReply<A>> {
        let placed = &mut self.placed;
        let replies = &mut self.replies;
        let mut came_ready = false;
        self.questions.retain(|question| {
            let at = placed.get_mut(&question.name.key());
            let mut fitting = at.filter(|at| at.version >= question.version.unwrap_or(0));
            let is_ready = fitting.as_ref().is_some_and(|at| now >= at.ready_at);
            if let Some(at) = fitting.as_mut().filter(|_| is_ready) {
                at.promised_until = now + PROMISE;
            }
            let is_late = fitting.is_none() && now.since(question.asked) >= MAX_QUESTION_WAIT;
            if is_ready || is_late {
                let askers = question.askers.iter().cloned();
                replies.extend(askers.map(|asker| DeskReply { asker, is_ready }));
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
        leave: engine_order::OrderLeave,
        in_use: impl Fn(demand::AdapterKey) -> bool,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> engine_order::DeskStep {
        let Some(expected_count) = self.order_count.filter(|_| now < self.next_report) else {
            return match now >= self.next_report {
                true => engine_order::DeskStep::Report,
                false => engine_order::DeskStep::Wait(self.next_report),
            };
        };
        if leave.may_order
            && let Some(order) = self.next_order(now, leave, in_use, newest)
        {
            return engine_order::DeskStep::Order { order, expected_count };
        }
        let due = self.next_due(now);
        let is_held_up = leave.may_order && !leave.may_fetch && !self.questions.is_empty();
        engine_order::DeskStep::Wait(if is_held_up { due.min(now + FETCH_CHECK) } else { due })
    }

    fn next_due(&self, now: clock::MonotonicTime) -> clock::MonotonicTime {
        let coming =
            self.placed.values().map(|placed| placed.ready_at).filter(|ready| *ready > now);
        let late = self.questions.front().map(|question| question.asked + MAX_QUESTION_WAIT);
        let promises = self.placed.values().map(|placed| placed.promised_until);
        let due = coming
            .chain(late)
            .chain(promises)
            .chain([self.next_report, self.held_up_until])
            .chain(self.model_ready_at);
        due.filter(|due| *due > now).min().unwrap_or(self.next_report)
    }

    fn next_order(
        &self,
        now: clock::MonotonicTime,
        leave: engine_order::OrderLeave,
        in_use: impl Fn(demand::AdapterKey) -> bool,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> Option<engine_order::EngineOrder> {
        if let Some(order) = &self.unanswered {
            return Some(order.clone());
        }
        if now < self.held_up_until {
            return None;
        }
        if !self.has_model(now) {
            let is_coming = self.model_ready_at.is_some();
            return (!is_coming)
                .then(|| engine_order::EngineOrder::LoadModel(sync::Arc::clone(&self.model)));
        }
        let loading = self.placed.values().filter(|placed| placed.ready_at > now).count();
        if loading >= MAX_LOADING {
            return None;
        }
        self.order_for_question(now, leave, &in_use)
            .or_else(|| self.order_for_version(now, &newest))
    }

    fn order_for_question(
        &self,
        now: clock::MonotonicTime,
        leave: engine_order::OrderLeave,
        in_use: &impl Fn(demand::AdapterKey) -> bool,
    ) -> Option<engine_order::EngineOrder> {
        for question in &self.questions {
            let held = self.placed.get(&question.name.key());
            if held.is_some_and(|held| held.version >= question.version.unwrap_or(0)) {
                continue;
            }
            if !leave.may_fetch && !self.warm.contains(&question.name.key()) {
                continue;
            }
            if held.is_some() || self.placed.len() < self.capacity {
                let (name, version) = (question.name.clone(), question.version);
                return Some(engine_order::EngineOrder::LoadAdapter { name, version });
            }
            if let Some(victim) = self.victim(now, in_use) {
                return Some(engine_order::EngineOrder::UnloadAdapter(victim));
            }
        }
        None
    }

    /// Returns the adapter that was not used for the longest time, of those without requests.
    fn victim(
        &self,
        now: clock::MonotonicTime,
        in_use: &impl Fn(demand::AdapterKey) -> bool,
    ) -> Option<demand::AdapterName> {
        let idle = self
            .placed
            .iter()
            .filter(|(key, placed)| !in_use(**key) && self.may_make_way(now, placed));
        idle.min_by_key(|(_, placed)| placed.last_used).map(|(_, placed)| placed.name.clone())
    }

    /// Returns whether nobody asks for an adapter and no request for it is on its way.
    fn may_make_way(&self, now: clock::MonotonicTime, placed: &PlacedAdapter) -> bool {
        let is_asked = self.questions.iter().any(|question| question.name == placed.name);
        !is_asked && now >= placed.promised_until
    }

    fn order_for_version(
        &self,
        now: clock::MonotonicTime,
        newest: &impl Fn(demand::AdapterKey) -> Option<u64>,
    ) -> Option<engine_order::EngineOrder> {
        self.placed.iter().find_map(|(key, placed)| {
            let version = newest(*key).filter(|newest| *newest > placed.version)?;
            (now >= placed.ready_at).then(|| {
                let name = placed.name.clone();
                engine_order::EngineOrder::LoadAdapter { name, version: Some(version) }
            })
        })
    }

    /// Takes the answer to an order.
    pub fn order_ended(
        &mut self,
        now: clock::MonotonicTime,
        order: &engine_order::EngineOrder,
        answer: engine_order::OrderAnswer,
        fetches: engine_order::FetchLoad,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) {
        self.has_changed = true;
        match answer {
            engine_order::OrderAnswer::Accepted | engine_order::OrderAnswer::Holds => {
                self.unanswered = None;
                self.order_count = self.order_count.map(|count| count + 1);
                if answer == engine_order::OrderAnswer::Holds
                    && !matches!(order, engine_order::EngineOrder::UnloadAdapter(_))
                {
                    self.resync(now);
                }
                // The engine takes orders again, so that what was leaving is gone.
                self.leaving = None;
                self.apply(now, order, fetches, newest);
                if answer == engine_order::OrderAnswer::Accepted
                    && let engine_order::EngineOrder::UnloadAdapter(name) = order
                {
                    self.leaving = Some(name.clone());
                }
            }
            engine_order::OrderAnswer::Conflict if self.leaving.is_some() => {
                self.unanswered = None;
                self.held_up_until = now + LEAVING_CHECK;
            }
            engine_order::OrderAnswer::Unknown => self.unanswered = Some(order.clone()),
            engine_order::OrderAnswer::Conflict | engine_order::OrderAnswer::Refused => {
                self.unanswered = None;
                self.resync(now);
            }
        }
    }

    /// Forgets the number of orders until a report that can't be older than now has come.
    fn resync(&mut self, now: clock::MonotonicTime) {
        self.order_count = None;
        self.next_report = now + REPORT_LAG;
    }

    fn apply(
        &mut self,
        now: clock::MonotonicTime,
        order: &engine_order::EngineOrder,
        fetches: engine_order::FetchLoad,
        newest: impl Fn(demand::AdapterKey) -> Option<u64>,
    ) {
        match order {
            engine_order::EngineOrder::LoadModel(_) => {
                self.model_ready_at = Some(now + MODEL_LOAD);
                self.next_report = self.next_report.min(now + MODEL_LOAD);
            }
            engine_order::EngineOrder::LoadAdapter { name, version } => {
                let key = name.key();
                let is_warm = self.warm.contains(&key);
                let slowdown = fetches.slowdown(self.fetching(now) + 1);
                let duration = if is_warm { WARM_LOAD } else { COLD_LOAD.mul_f64(slowdown) };
                let version = version.or_else(|| newest(key)).unwrap_or(1);
                let ready_at = now + duration + LOAD_MARGIN;
                let placed = PlacedAdapter {
                    name: name.clone(),
                    version,
                    ordered: now,
                    ready_at,
                    is_fetched: !is_warm,
                    promised_until: ready_at,
                    last_used: now,
                };
                self.placed.insert(key, placed);
                self.remember_warm(key);
            }
            engine_order::EngineOrder::UnloadAdapter(name) => {
                self.placed.remove(&name.key());
            }
        }
    }

    fn remember_warm(&mut self, key: demand::AdapterKey) {
        self.warm.retain(|warm| *warm != key);
        self.warm.push_back(key);
        if self.warm.len() > WARM_ADAPTERS {
            self.warm.pop_front();
        }
    }

    /// Takes a report; `None` if none came.
    pub fn report_ended(
        &mut self,
        now: clock::MonotonicTime,
        report: Option<&upstream::EngineReport>,
    ) {
        let Some(report) = report else {
            self.next_report = now + REPORT_LAG;
            return;
        };
        self.next_report = now + REPORT_INTERVAL;
        if self.order_count.is_some_and(|count| report.order_count < count) {
            // The report is older than the last orders.
            return;
        }
        let is_same = self.order_count == Some(report.order_count);
        self.order_count = Some(report.order_count);
        self.has_model = report.models.contains(&self.model);
        if self.has_model || !report.is_busy {
            self.model_ready_at = None;
        }
        if is_same {
            self.take_versions(now, report);
        } else {
            self.take_residents(now, report);
        }
    }

    /// Takes the versions of adapters that were ordered without naming one.
    fn take_versions(&mut self, now: clock::MonotonicTime, report: &upstream::EngineReport) {
        for held in &report.adapters {
            if let Some(placed) = self.placed.get_mut(&held.name.key())
                && now >= placed.ready_at
            {
                placed.version = held.version.max(placed.version);
            }
        }
    }

    fn take_residents(&mut self, now: clock::MonotonicTime, report: &upstream::EngineReport) {
        self.has_changed = true;
        let before = std::mem::take(&mut self.placed);
        self.leaving = None;
        let ready = report.adapters.iter().map(|held| (held, now));
        let pending = report.pending.iter().map(|held| (held, now + COLD_LOAD));
        for (held, ready_at) in pending.chain(ready) {
            let key = held.name.key();
            let last_used = before.get(&key).map_or(now, |placed| placed.last_used);
            let name = held.name.clone();
            let version = held.version;
            let (ordered, is_fetched) = (now, false);
            let placed = PlacedAdapter {
                name,
                version,
                ordered,
                ready_at,
                is_fetched,
                promised_until: ready_at,
                last_used,
            };
            self.placed.insert(key, placed);
            self.remember_warm(key);
        }
    }

    /// Notes that a request found an adapter missing that should have been ready: its load takes
    /// longer, or the engine holds something else than is known.
    pub fn found_missing(&mut self, now: clock::MonotonicTime, key: demand::AdapterKey) {
        let Some(placed) = self.placed.get_mut(&key) else { return };
        if now < placed.ready_at {
            return;
        }
        if now.since(placed.ordered) < LONGEST_LOAD {
            placed.ready_at = now + LATE_LOAD_STEP;
        } else if self.order_count.is_some() {
            self.resync(now);
        }
        self.has_changed = true;
    }

    /// Returns the questions for adapters that are to be fetched from the weight store.
    pub fn waiting_fetches(&self) -> u32 {
        let waiting = self.questions.iter().filter(|question| {
            let key = question.name.key();
            !self.placed.contains_key(&key) && !self.warm.contains(&key)
        });
        waiting.count() as u32
    }

    /// Returns the places that are free or whose adapters could make way.
    pub fn idle_places(
        &self,
        now: clock::MonotonicTime,
        in_use: impl Fn(demand::AdapterKey) -> bool,
    ) -> usize {
        let used = self
            .placed
            .iter()
            .filter(|(key, placed)| in_use(**key) || !self.may_make_way(now, placed));
        let new = self
            .questions
            .iter()
            .filter(|question| !self.placed.contains_key(&question.name.key()));
        self.capacity.saturating_sub(used.count() + new.count())
    }

    /// Returns the adapters on their way from the weight store.
    pub fn fetching(&self, now: clock::MonotonicTime) -> u32 {
        let coming =
            self.placed.values().filter(|placed| placed.is_fetched && placed.ready_at > now);
        coming.count() as u32
    }
}

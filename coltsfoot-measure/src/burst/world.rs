//! The run of the model, in steps of a millisecond.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use coltsfoot_gateway::{
    demand, engine_choice, engine_order, fleet_view, limit_table, rules, send_permits,
    upstream_search,
};
use coltsfoot_wire::fleet;

use crate::burst::{arrivals, engine, instance};
use crate::fleet_model::{self, at};

const ZONES: usize = 3;
/// Time of a message between instances, in milliseconds.
const DELAY_MS: u64 = 2;
/// Time between beats and between looks at the desks, in milliseconds.
const BEAT_MS: u64 = 150;
const DESK_MS: u64 = 5;
/// Time in which a first event earns all of its worth, and any of it, in milliseconds.
const TARGET_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 5_000;
/// Share of its worth that a late first event earns.
const LATE_WORTH: f64 = 0.3;
/// Further tries of a caller.
const CALLER_RETRIES: u32 = 1;
/// Time for a load before it counts as failed, in milliseconds.
const LOAD_LIMIT_MS: u64 = 900;

/// Time of a question for leave to send and its answer, in milliseconds.
const PERMIT_MS: u64 = 2 * DELAY_MS;
/// When limits are named, in milliseconds: once the engines hold what is asked for.
const LIMITED_FROM_MS: u64 = 5_000;

/// Engines that name a limit.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimits {
    /// How many engines name one.
    pub engines: usize,
    /// Requests a second that each of them takes.
    pub per_s: f64,
}

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// As the gateway does.
    Gateway,
    /// As the gateway, but nobody knows of adapters on their way.
    ComingUnknown,
    /// The engine with the fewest requests, whatever it holds.
    LeastLoaded,
    /// Requests need no adapter: what the engines could serve at best.
    NoAdapters,
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct BurstResult {
    pub requests: usize,
    pub in_target: usize,
    pub late: usize,
    pub refusals: usize,
    pub lost: usize,
    pub fetches: usize,
    pub misdirected: usize,
    /// Requests and orders that each limited engine got, by time in milliseconds.
    pub limited_sends: BTreeMap<usize, Vec<u64>>,
}

impl BurstResult {
    /// Returns the largest number of requests and orders that a limited engine got in 4 s.
    pub fn busiest_span(&self) -> usize {
        let spans = self.limited_sends.values().map(|sends| fleet_model::busiest_span(sends));
        spans.max().unwrap_or(0)
    }

    /// Returns the worth earned, as a share of all.
    pub fn worth(&self) -> f64 {
        (self.in_target as f64 + LATE_WORTH * self.late as f64) / self.requests as f64
    }
}

enum Phase {
    Search { next_ms: u64 },
    Load { place: usize, until_ms: u64 },
    Sent,
    Over,
}

struct RequestState {
    request: arrivals::CallerRequest,
    search: upstream_search::UpstreamSearch,
    phase: Phase,
    tries: u32,
    unread: u64,
    first: Option<(u64, usize)>,
}

enum Message {
    Beat(usize, sync::Arc<fleet::FleetHeartbeat>),
    Ask { place: usize, asker: instance::ModelAsker },
    Answer { request: usize, is_ready: bool },
}

/// The model of one run.
pub struct BurstWorld {
    policy: ChoicePolicy,
    service: rules::ServiceRule,
    ids: Vec<sync::Arc<str>>,
    engines: Vec<engine::ModelEngine>,
    instances: Vec<instance::ModelInstance>,
    owners: Vec<usize>,
    requests: Vec<RequestState>,
    mail: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Leave as the giver of all limited engines gives it.
    permits: send_permits::PermitLedger,
    limits: NamedLimits,
    result: BurstResult,
}

impl BurstWorld {
    /// Creates a fleet and draws the requests.
    pub fn new(
        seed: u64,
        instances: usize,
        engines: usize,
        policy: ChoicePolicy,
        limits: NamedLimits,
    ) -> Self {
        let ids: Vec<sync::Arc<str>> =
            (0..engines).map(|place| format!("e{place}").into()).collect();
        let zone = |number: usize| format!("z{}", number % ZONES);
        let mut view = fleet_view::FleetView::default();
        for (place, id) in ids.iter().enumerate() {
            view.put_upstream(fleet_model::engine_entry(id, &zone(place)));
        }
        // Owners are of the engine's zone.
        let owner = |place: usize| {
            let near: Vec<usize> =
                (0..instances).filter(|number| zone(*number) == zone(place)).collect();
            near[(place / ZONES) % near.len()]
        };
        let owners: Vec<usize> = (0..engines).map(owner).collect();
        let instances: Vec<_> = (0..instances)
            .map(|number| {
                let owned: Vec<usize> =
                    (0..engines).filter(|place| owners[*place] == number).collect();
                instance::ModelInstance::new(number, zone(number), view.clone(), &owned)
            })
            .collect();
        let has_adapters = policy != ChoicePolicy::NoAdapters;
        let has_burst = limits.engines == 0;
        let drawn = arrivals::draw(seed, instances.len(), has_adapters, has_burst);
        let requests = drawn.into_iter().map(|request| RequestState {
            search: search(request.arrival_ms),
            phase: Phase::Search { next_ms: request.arrival_ms },
            tries: 0,
            unread: 0,
            first: None,
            request,
        });
        Self {
            policy,
            service: service(),
            ids,
            engines: (0..engines).map(|_| engine::ModelEngine::default()).collect(),
            instances,
            owners,
            requests: requests.collect(),
            mail: BTreeMap::new(),
            sent: 0,
            permits: send_permits::PermitLedger::default(),
            limits,
            result: BurstResult::default(),
        }
    }

    /// Runs the model until all requests are over.
    pub fn run(mut self) -> BurstResult {
        self.result.requests = self.requests.len();
        for now in 0..arrivals::END_MS + 3 * DEADLINE_MS {
            if now == LIMITED_FROM_MS {
                self.name_limits();
            }
            self.deliver(now);
            self.end_runs(now);
            if now.is_multiple_of(DESK_MS) {
                self.tend_desks(now);
            }
            for number in 0..self.instances.len() {
                if (now + 37 * number as u64).is_multiple_of(BEAT_MS) {
                    self.send_beat(now, number);
                }
            }
            for number in 0..self.requests.len() {
                self.step_request(now, number);
            }
        }
        self.result
    }

    fn name_limits(&mut self) {
        let (sent, received) = (at(LIMITED_FROM_MS - 1), at(LIMITED_FROM_MS));
        let word = limit_table::LimitObservation { per_s: Some(self.limits.per_s), sent, received };
        for instance in &mut self.instances {
            for id in &self.ids[..self.limits.engines] {
                let number = instance.view.upstream(id).expect("known").number;
                instance.view.limits_mut().record(received, number, word);
            }
        }
    }

    fn post(&mut self, due: u64, message: Message) {
        self.sent += 1;
        self.mail.insert((due, self.sent), message);
    }

    fn send_beat(&mut self, now: u64, number: usize) {
        let mut beat = self.instances[number].beat(now, &self.ids);
        if self.policy == ChoicePolicy::ComingUnknown {
            beat.engines.iter_mut().flatten().for_each(|engine| engine.pending.clear());
        }
        let beat = sync::Arc::new(beat);
        for to in (0..self.instances.len()).filter(|to| *to != number) {
            self.post(now + DELAY_MS, Message::Beat(to, sync::Arc::clone(&beat)));
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(message) = self.mail.first_entry().filter(|first| first.key().0 <= now) {
            match message.remove() {
                Message::Beat(to, beat) => {
                    self.instances[to].view.apply_heartbeat(at(now), &beat);
                    for used in &beat.adapter_usage {
                        let touched = self.ids.iter().position(|id| {
                            let slot = self.instances[to].view.upstream(id);
                            slot.is_some_and(|slot| slot.number == used.upstream)
                        });
                        let desks = &mut self.instances[to].desks;
                        if let Some(desk) = touched.and_then(|place| desks.get_mut(&place)) {
                            desk.touch(at(now), demand::AdapterKey(used.adapter));
                        }
                    }
                }
                Message::Ask { place, asker } => self.ask(now, place, asker),
                Message::Answer { request, is_ready } => self.load_ended(now, request, is_ready),
            }
        }
    }

    fn ask(&mut self, now: u64, place: usize, asker: instance::ModelAsker) {
        let adapter = self.requests[asker.1].request.demand.adapter.clone().expect("named");
        let owner = &mut self.instances[self.owners[place]];
        let slot = owner.view.upstream(&self.ids[place]).expect("known");
        let in_use = |key| slot.is_in_use(at(now), key);
        let desk = owner.desks.get_mut(&place).expect("owned");
        desk.request_load(at(now), &adapter, None, asker, in_use);
    }

    fn load_ended(&mut self, now: u64, request: usize, is_ready: bool) {
        let state = &mut self.requests[request];
        let Phase::Load { place, .. } = state.phase else { return };
        let view = &mut self.instances[state.request.instance].view;
        let key = state.request.demand.adapter.as_ref().expect("named").key();
        view.load_ended(&self.ids[place], key);
        state.phase = Phase::Search { next_ms: now };
        if is_ready {
            self.send(now, request, place);
        } else {
            state.search.load_ended(&self.ids[place], upstream_search::LoadEnd::NoSlot);
        }
    }

    fn end_runs(&mut self, now: u64) {
        for place in 0..self.engines.len() {
            for run in self.engines[place].end_runs(now) {
                let state = &mut self.requests[run.request];
                let view = &mut self.instances[state.request.instance].view;
                view.request_ended(&self.ids[place], run.adapter);
            }
        }
        for state in &mut self.requests {
            if let Some((_, place)) = state.first.take_if(|(first_ms, _)| now >= *first_ms) {
                let view = &mut self.instances[state.request.instance].view;
                view.prefill_finished(&self.ids[place], state.unread);
            }
        }
    }

    /// Returns the next order for an engine, or takes a report if one is due, as far as there is leave.
    fn next_order(&mut self, now: u64, place: usize) -> Option<engine_order::EngineOrder> {
        let owner = self.owners[place];
        let step = self.instances[owner].next_step(now, place, &self.ids[place]);
        if matches!(step, engine_order::ControllerStep::Wait(_)) {
            return None;
        }
        let leave = self.ask_leave(now, place, send_permits::PermitClass::Control);
        let owner = &mut self.instances[owner];
        match leave {
            Ok(()) => owner.carry_out(now, place, step, &self.engines[place]),
            Err(wait) => {
                owner.pause(now, place, wait);
                None
            }
        }
    }

    fn tend_desks(&mut self, now: u64) {
        for place in 0..self.engines.len() {
            let order = self.next_order(now, place);
            if let Some(order) = order {
                let owner = &mut self.instances[self.owners[place]];
                let fetching: usize = self.engines.iter().map(|engine| engine.fetching(now)).sum();
                let (answer, is_fetch) = self.engines[place].order(now, &order, fetching);
                self.result.fetches += usize::from(is_fetch);
                let under_way = owner.fetching(now) + owner.view.fetching();
                let fetches = owner.view.fetch_load(under_way);
                let desk = owner.desks.get_mut(&place).expect("owned");
                desk.order_ended(at(now), &order, answer, fetches, |_| None);
            }
            let owner = &mut self.instances[self.owners[place]];
            let desk = owner.desks.get_mut(&place).expect("owned");
            let replies = desk.take_replies(at(now));
            let samples = desk.take_samples(at(now));
            owner.view.add_fetch_samples(at(now), &samples);
            if desk.take_changed() {
                self.send_beat(now, self.owners[place]);
            }
            for reply in replies {
                let (to, request) = reply.waiter;
                let delay = if to == self.owners[place] { 0 } else { DELAY_MS };
                let answer = Message::Answer { request, is_ready: reply.is_ready };
                self.post(now + delay, answer);
            }
        }
    }

    fn step_request(&mut self, now: u64, number: usize) {
        match self.requests[number].phase {
            Phase::Search { next_ms } if now >= next_ms => self.search(now, number),
            Phase::Load { place, until_ms } if now >= until_ms => {
                let state = &mut self.requests[number];
                state.search.load_ended(&self.ids[place], upstream_search::LoadEnd::Failed);
                state.phase = Phase::Search { next_ms: now };
            }
            _ => {}
        }
    }

    fn search(&mut self, now: u64, number: usize) {
        let step = match self.policy {
            ChoicePolicy::LeastLoaded => self.least_loaded(now, number),
            _ => self.gateway_step(now, number),
        };
        let state = &mut self.requests[number];
        match step {
            upstream_search::SearchStep::Send(chosen) => {
                let place = self.place_of(&chosen.id);
                self.send(now, number, place);
            }
            upstream_search::SearchStep::Load(chosen) => {
                let from = state.request.instance;
                let key = state.request.demand.adapter.as_ref().expect("named").key();
                if self.policy == ChoicePolicy::Gateway {
                    self.instances[from].view.load_requested(at(now), &chosen.id, key);
                }
                let place = self.place_of(&chosen.id);
                let until_ms = now + LOAD_LIMIT_MS;
                self.requests[number].phase = Phase::Load { place, until_ms };
                let delay = if from == self.owners[place] { 0 } else { DELAY_MS };
                self.post(now + delay, Message::Ask { place, asker: (from, number) });
            }
            upstream_search::SearchStep::Wait(pause) => {
                state.phase = Phase::Search { next_ms: now + pause.as_millis() as u64 };
            }
            upstream_search::SearchStep::Refuse(_) => {
                self.result.refusals += 1;
                if state.tries < CALLER_RETRIES {
                    state.tries += 1;
                    let next_ms = now + upstream_search::RETRY_PAUSE.as_millis() as u64;
                    state.search = search(next_ms);
                    state.phase = Phase::Search { next_ms };
                } else {
                    self.result.lost += 1;
                    state.phase = Phase::Over;
                }
            }
        }
    }

    fn gateway_step(&mut self, now: u64, number: usize) -> upstream_search::SearchStep {
        let state = &mut self.requests[number];
        let instance = &self.instances[state.request.instance];
        let request = engine_choice::PlacedRequest {
            service: &self.service,
            demand: Some(&state.request.demand),
            zone: &instance.zone,
            tried: &[],
            build: None,
        };
        state.search.next_step(at(now), &instance.view, &request)
    }

    fn least_loaded(&self, now: u64, number: usize) -> upstream_search::SearchStep {
        let state = &self.requests[number];
        let view = &self.instances[state.request.instance].view;
        let key = state.request.demand.adapter.as_ref().expect("named").key();
        let running = |id: &sync::Arc<str>| view.upstream(id).expect("known").work(at(now)).running;
        let id = self.ids.iter().min_by_key(|id| running(id)).expect("engines");
        let slot = view.upstream(id).expect("known");
        let needs_load = !view.has_usable_adapter(at(now), slot, key);
        let id = sync::Arc::clone(id);
        let chosen = engine_choice::ChosenUpstream {
            id,
            expected_ms: 0.0,
            prior_ms: 0.0,
            needs_load,
            build: slot.build,
        };
        if now >= state.request.arrival_ms + TARGET_MS {
            return upstream_search::SearchStep::Refuse("late");
        }
        match needs_load {
            true => upstream_search::SearchStep::Load(chosen),
            false => upstream_search::SearchStep::Send(chosen),
        }
    }

    fn place_of(&self, id: &str) -> usize {
        self.ids.iter().position(|known| **known == *id).expect("known")
    }

    /// Asks for leave to send something to an engine; returns the time until there may be some.
    fn ask_leave(
        &mut self,
        now: u64,
        place: usize,
        class: send_permits::PermitClass,
    ) -> Result<(), time::Duration> {
        let view = &self.instances[0].view;
        let engine = view.upstream(&self.ids[place]).expect("known").number;
        let Some(per_s) = view.limits().limit(at(now), engine) else { return Ok(()) };
        self.permits.acquire(at(now), engine, per_s, class)?;
        self.result.limited_sends.entry(place).or_default().push(now);
        Ok(())
    }

    fn send(&mut self, now: u64, number: usize, place: usize) {
        if let Err(wait) = self.ask_leave(now, place, send_permits::PermitClass::Request) {
            let state = &mut self.requests[number];
            let view = &mut self.instances[state.request.instance].view;
            let engine = view.upstream(&self.ids[place]).expect("known").number;
            view.availability_mut().hold(at(now), engine, wait);
            state.phase = Phase::Search { next_ms: now + PERMIT_MS };
            return;
        }
        let state = &mut self.requests[number];
        let request = &state.request;
        let view = &mut self.instances[request.instance].view;
        let run = self.engines[place].send(now, number, &request.demand, request.events);
        let Some(run) = run else {
            self.result.misdirected += 1;
            let key = request.demand.adapter.as_ref().expect("named").key();
            view.adapter_missing(&self.ids[place], key);
            let desks = &mut self.instances[self.owners[place]].desks;
            desks.get_mut(&place).expect("owned").found_missing(at(now), key);
            state.phase = Phase::Search { next_ms: now + 1 };
            return;
        };
        let first_ms = run.first_ms;
        state.unread = view.request_sent(at(now), &self.ids[place], Some(&request.demand));
        state.first = Some((first_ms, place));
        state.phase = Phase::Sent;
        let wait = first_ms - request.arrival_ms;
        match wait {
            _ if wait <= TARGET_MS => self.result.in_target += 1,
            _ if wait <= DEADLINE_MS => self.result.late += 1,
            _ => self.result.lost += 1,
        }
    }
}

fn search(received_ms: u64) -> upstream_search::UpstreamSearch {
    let target = time::Duration::from_millis(TARGET_MS);
    upstream_search::UpstreamSearch::new(at(received_ms), target)
}

fn service() -> rules::ServiceRule {
    let model = rules::ModelRule { name: "m".into(), weights_mb: 34_300.0, adapter_mb: 40.0 };
    let engine = rules::EngineRule {
        slots: 64,
        memory_tokens: 232_000,
        weights_mb: 35_300.0,
        adapter_slots: engine::PLACES,
        models: vec![model],
    };
    rules::ServiceRule::builder().name("llm".into()).max_connections(360).engine(engine).build()
}

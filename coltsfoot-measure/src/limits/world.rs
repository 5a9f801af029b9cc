//! The run of the model, in steps of a millisecond.

use std::collections::BTreeMap;
use std::time;

use coltsfoot_gateway::fleet_view::permit_issuers::PermitIssuer;
use coltsfoot_gateway::fleet_view::zones::OwnMember;
use coltsfoot_gateway::send_permits::{PermitClass, PermitLedger};
use coltsfoot_gateway::{fleet_view, heartbeat_plan, limit_table};
use coltsfoot_wire::fleet;
use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

use crate::fleet_model::{self, address, at};
use crate::limits::division::{LimitDivision, PartBucket};

const ZONES: usize = 3;
const UPSTREAM: &str = "limited";
/// Time of a message, in milliseconds: slow instances take up to the longest.
const DELAY_MS: std::ops::Range<u64> = 1..25;
/// One in so many messages is lost.
const LOSS: u64 = 50;
/// Time for an answer before the next instance is asked, in milliseconds, as in the gateway.
const ANSWER_LIMIT_MS: u64 = 60;
/// Requests that callers ask for, as a multiple of the limit, and a second at least.
const DEMAND: f64 = 6.0;
const MIN_DEMAND_PER_S: f64 = 8.0;
/// Length of a run, and time from which sends count: the users' contact time, in milliseconds.
const RUN_MS: u64 = 30_000;
const COUNTED_FROM_MS: u64 = 3_000;
/// Times of the faults: a kill of the giver, its return, a new instance, a cut of a zone and its end.
const KILL_MS: u64 = 8_000;
const RETURN_MS: u64 = 13_000;
const JOIN_MS: u64 = 16_000;
const CUT_MS: u64 = 20_000;
const HEAL_MS: u64 = 25_000;

/// What the upstream got.
#[derive(Debug, Default)]
pub struct LimitResult {
    /// Requests that callers asked for, in the time that counts.
    pub asked: usize,
    /// When requests were sent to the upstream, in milliseconds.
    pub sent_ms: Vec<u64>,
    /// Messages between instances for leave to send.
    pub messages: usize,
}

impl LimitResult {
    /// Returns the largest number of requests in a span, of those that count.
    pub fn busiest_span(&self) -> usize {
        let counted = self.sent_ms.iter().copied().filter(|ms| *ms >= COUNTED_FROM_MS);
        fleet_model::busiest_span(&counted.collect::<Vec<_>>())
    }

    /// Returns what was sent as a share of the limit.
    pub fn used_share(&self, per_s: f64) -> f64 {
        let counted = self.sent_ms.iter().filter(|ms| **ms >= COUNTED_FROM_MS).count();
        counted as f64 * 1000.0 / (per_s * (RUN_MS - COUNTED_FROM_MS) as f64)
    }
}

struct ModelInstance {
    id: u64,
    zone: usize,
    is_alive: bool,
    view: fleet_view::FleetView,
    ledger: PermitLedger,
    part: PartBucket,
    /// Demand that others told.
    told: BTreeMap<u64, f64>,
    sequence: u64,
    held_until: u64,
}

enum Message {
    Beat {
        from: usize,
        beat: Box<fleet::FleetHeartbeat>,
        demand: f64,
    },
    Ask {
        from: usize,
        rank: usize,
    },
    Answer {
        rank: usize,
        is_granted: Option<bool>,
    },
    /// No answer came.
    Lapse {
        rank: usize,
        asked: u64,
    },
}

/// The model of one run.
pub struct LimitWorld {
    division: LimitDivision,
    per_s: f64,
    number: u32,
    has_faults: bool,
    plan: heartbeat_plan::HeartbeatPlan,
    rng: rngs::StdRng,
    instances: Vec<ModelInstance>,
    mail: BTreeMap<(u64, u64), (usize, Message)>,
    posted: u64,
    /// Questions that wait at each instance: number and rank of the giver that is asked.
    waiting: BTreeMap<(usize, u64), usize>,
    result: LimitResult,
}

impl LimitWorld {
    /// Creates a fleet whose instances all know the limit.
    pub fn new(
        seed: u64,
        instances: usize,
        per_s: f64,
        division: LimitDivision,
        has_faults: bool,
    ) -> Self {
        let near = instances / ZONES;
        let plan = heartbeat_plan::HeartbeatPlan::new(near, instances - near);
        let mut world = Self {
            division,
            per_s,
            number: 0,
            has_faults,
            plan,
            rng: rngs::StdRng::seed_from_u64(seed),
            instances: Vec::new(),
            mail: BTreeMap::new(),
            posted: 0,
            waiting: BTreeMap::new(),
            result: LimitResult::default(),
        };
        for place in 0..instances {
            world.start(place);
        }
        world.number = world.instances[0].view.upstream(UPSTREAM).expect("known").number;
        for place in 0..instances {
            for other in 0..instances {
                let beat = world.beat(0, other);
                if place != other {
                    world.instances[place].view.apply_heartbeat(at(0), &beat);
                }
            }
        }
        world
    }

    /// Starts an instance at a place, in the place of one that ended there.
    fn start(&mut self, place: usize) {
        let mut view = fleet_view::FleetView::default();
        view.put_upstream(fleet_model::engine_entry(&UPSTREAM.into(), "z0"));
        let instance = ModelInstance {
            id: self.rng.random(),
            zone: place % ZONES,
            is_alive: true,
            view,
            ledger: PermitLedger::default(),
            part: PartBucket::default(),
            told: BTreeMap::new(),
            sequence: 0,
            held_until: 0,
        };
        match self.instances.get_mut(place) {
            Some(known) => *known = instance,
            None => self.instances.push(instance),
        }
        let number = self.instances[place].view.upstream(UPSTREAM).expect("known").number;
        let word =
            limit_table::LimitObservation { per_s: Some(self.per_s), sent: at(0), received: at(1) };
        self.instances[place].view.limits_mut().record(at(1), number, word);
    }

    /// Runs the model.
    pub fn run(mut self) -> LimitResult {
        let demand = (self.per_s * DEMAND).max(MIN_DEMAND_PER_S);
        for now in 0..RUN_MS {
            if self.has_faults {
                self.fail(now);
            }
            self.deliver(now);
            for place in 0..self.instances.len() {
                self.tell(now, place);
            }
            if self.rng.random_bool(demand / 1000.0) {
                let place = self.rng.random_range(0..self.instances.len());
                if self.instances[place].is_alive {
                    self.ask(now, place);
                }
            }
        }
        self.result
    }

    fn fail(&mut self, now: u64) {
        match now {
            KILL_MS => {
                let giver = self.first_giver(now);
                self.instances[giver].is_alive = false;
            }
            RETURN_MS => {
                if let Some(place) = self.instances.iter().position(|known| !known.is_alive) {
                    self.start(place);
                }
            }
            JOIN_MS => {
                let place = self.instances.len();
                self.start(place);
            }
            _ => {}
        }
    }

    /// Returns the place of the instance that gives leave, as an instance of its zone sees it.
    fn first_giver(&self, now: u64) -> usize {
        let asker = self.instances.iter().position(|known| known.zone == 0).expect("a zone");
        match self.givers(now, asker).first() {
            Some(PermitIssuer::Peer(address)) => usize::from(address.port()),
            _ => asker,
        }
    }

    fn is_cut(&self, now: u64, one: usize, other: usize) -> bool {
        let is_out = |place: usize| self.instances[place].zone == ZONES - 1;
        self.has_faults && (CUT_MS..HEAL_MS).contains(&now) && is_out(one) != is_out(other)
    }

    fn post(&mut self, now: u64, from: usize, to: usize, message: Message) {
        if self.rng.random_range(0..LOSS) == 0 || self.is_cut(now, from, to) {
            return;
        }
        let due = now + self.rng.random_range(DELAY_MS);
        self.posted += 1;
        self.mail.insert((due, self.posted), (to, message));
    }

    fn beat(&mut self, now: u64, place: usize) -> fleet::FleetHeartbeat {
        let interval = self.plan.same_zone.max(self.plan.cross_zone);
        let instance = &mut self.instances[place];
        instance.sequence += 1;
        let (zone, sequence) = (format!("z{}", instance.zone), now * 1000 + instance.sequence);
        fleet::FleetHeartbeat {
            interval_ms: interval.as_millis() as u32,
            ..fleet_model::idle_beat(instance.id, place, &zone, sequence)
        }
    }

    /// Sends the beats that are due.
    fn tell(&mut self, now: u64, place: usize) {
        if !self.instances[place].is_alive {
            return;
        }
        let zone = self.instances[place].zone;
        let is_due = |interval: time::Duration| {
            (now + 37 * place as u64).is_multiple_of(interval.as_millis() as u64)
        };
        let (is_near, is_far) = (is_due(self.plan.same_zone), is_due(self.plan.cross_zone));
        if !is_near && !is_far {
            return;
        }
        let beat = self.beat(now, place);
        let demand = self.instances[place].part.demand(now);
        for to in 0..self.instances.len() {
            let is_sent = if self.instances[to].zone == zone { is_near } else { is_far };
            if to != place && is_sent {
                let beat = Box::new(beat.clone());
                self.post(now, place, to, Message::Beat { from: place, beat, demand });
            }
        }
    }

    fn givers(&self, now: u64, place: usize) -> fleet_view::permit_issuers::PermitIssuers {
        let instance = &self.instances[place];
        let own = OwnMember { id: instance.id, capacity: 250, address: address(place) };
        let zone = format!("z{}", instance.zone);
        instance.view.permit_issuers(at(now), self.number, own, &zone, false)
    }

    fn ask(&mut self, now: u64, place: usize) {
        self.result.asked += usize::from(now >= COUNTED_FROM_MS);
        self.instances[place].part.asked(now);
        let known = self.instances.len() as f64;
        let instance = &mut self.instances[place];
        let own = instance.part.demand(now);
        let part = match self.division {
            LimitDivision::Giver => {
                if now >= instance.held_until {
                    self.ask_giver(now, place, 0);
                }
                return;
            }
            LimitDivision::EqualParts => self.per_s / known,
            LimitDivision::DemandParts => {
                self.per_s * own / (own + instance.told.values().sum::<f64>())
            }
        };
        if instance.part.take(now, part) {
            self.result.sent_ms.push(now);
        }
    }

    fn ask_giver(&mut self, now: u64, place: usize, rank: usize) {
        match self.givers(now, place).get(rank) {
            Some(PermitIssuer::Own) if rank == 0 => {
                let is_granted = self.give(now, place);
                self.answered(now, place, is_granted);
            }
            Some(PermitIssuer::Peer(address)) => {
                let giver = usize::from(address.port());
                self.result.messages += 1;
                self.waiting.insert((place, now), rank);
                self.post(now, place, giver, Message::Ask { from: place, rank });
                self.posted += 1;
                let lapse = Message::Lapse { rank, asked: now };
                self.mail.insert((now + ANSWER_LIMIT_MS, self.posted), (place, lapse));
            }
            _ => self.instances[place].held_until = now + 150,
        }
    }

    fn give(&mut self, now: u64, place: usize) -> bool {
        let instance = &mut self.instances[place];
        let per_s = instance.view.permit_rate(at(now), self.number).expect("limited");
        instance.ledger.acquire(at(now), self.number, per_s, PermitClass::Request).is_ok()
    }

    fn answered(&mut self, now: u64, place: usize, is_granted: bool) {
        if is_granted {
            self.result.sent_ms.push(now);
        } else {
            self.instances[place].held_until = now + 50;
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(first) = self.mail.first_entry().filter(|first| first.key().0 <= now) {
            let (to, message) = first.remove();
            if !self.instances[to].is_alive {
                continue;
            }
            match message {
                Message::Beat { from, beat, demand } => {
                    let instance = &mut self.instances[to];
                    instance.view.apply_heartbeat(at(now), &beat);
                    instance.told.insert(from as u64, demand);
                }
                Message::Ask { from, rank } => {
                    let is_giver = self.givers(now, to).first() == Some(&PermitIssuer::Own);
                    let is_granted = is_giver.then(|| self.give(now, to));
                    self.result.messages += 1;
                    self.post(now, to, from, Message::Answer { rank, is_granted });
                }
                Message::Answer { rank, is_granted } => {
                    let waiting = self
                        .waiting
                        .iter()
                        .find(|((place, _), asked)| *place == to && **asked == rank);
                    let Some(key) = waiting.map(|(key, _)| *key) else { continue };
                    self.waiting.remove(&key);
                    match is_granted {
                        Some(is_granted) => self.answered(now, to, is_granted),
                        None => self.ask_giver(now, to, rank + 1),
                    }
                }
                Message::Lapse { rank, asked } => {
                    if self.waiting.remove(&(to, asked)).is_some() {
                        self.ask_giver(now, to, rank + 1);
                    }
                }
            }
        }
    }
}

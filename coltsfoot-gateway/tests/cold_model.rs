//! A fleet of instances with requests for an upstream that is cold, under failures: arrivals in every second against
//! the bound. An argument clock and fixed seeds; messages take 1 to 60 ms.

mod fleet_fixture;

use std::collections;
use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::cold_table::ColdBounds;
use coltsfoot_gateway::fleet_view::permit_issuers::PermitIssuer;
use coltsfoot_gateway::fleet_view::zones::OwnMember;
use coltsfoot_gateway::send_permits::{PermitClass, PermitLedger};
use coltsfoot_gateway::{fleet_view, rules, upstream};
use coltsfoot_wire::fleet;
use fleet_fixture::{at, entry, sample_heartbeat, service};
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const PER_S: f64 = 6.5;
const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Most requests in one second: `PER_S` times 1.5 plus five.
const ALLOWED: usize = 14;
/// Time that the clock advances at once, in milliseconds.
const TICK: u64 = 5;
/// The upstream starts at this time and stays cold.
const START: u64 = 5_000;
const END: u64 = 45_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    None,
    /// Some instances learn of the upstream up to 2 s later.
    LateLearners,
    /// The instances of one zone and the others do not reach each other from 10 to 35 s.
    Cut,
    /// No zone reaches another one in that time.
    ThreeParts,
    /// A fifth of the instances starts again every 3 s, the first issuer included.
    Restarts,
    /// A cut, and restarts in it.
    CutAndRestarts,
    /// One instance reaches no other.
    Alone,
}

impl Failure {
    fn is_connected(self, now: u64, one: usize, other: usize) -> bool {
        let (one_zone, other_zone) = (one % 3, other % 3);
        if !(10_000..35_000).contains(&now) {
            return true;
        }
        match self {
            Self::Cut | Self::CutAndRestarts => (one_zone == 0) == (other_zone == 0),
            Self::ThreeParts => one_zone == other_zone,
            Self::Alone => (one == 1) == (other == 1),
            _ => true,
        }
    }

    fn has_restarts(self) -> bool {
        matches!(self, Self::Restarts | Self::CutAndRestarts)
    }
}

struct ModelInstance {
    id: u64,
    view: fleet_view::FleetView,
    ledger: PermitLedger,
    sequence: u64,
    /// When it reads the upstream's entry.
    learns_at: u64,
    /// When it is up again after a restart.
    up_at: u64,
}

struct ColdModel {
    instances: Vec<ModelInstance>,
    failure: Failure,
    rng: rand::rngs::StdRng,
    heartbeat_ms: u64,
    arrivals: Vec<u64>,
    next_id: u64,
}

fn address(place: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 1))
}

fn cold_entry() -> upstream::UpstreamEntry {
    upstream::UpstreamEntry {
        cold_remaining: time::Duration::from_secs(3),
        ..entry("engine", ZONES[0])
    }
}

impl ColdModel {
    fn new(size: usize, failure: Failure, seed: u64) -> Self {
        let mut model = Self {
            instances: Vec::new(),
            failure,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            heartbeat_ms: if size > 100 { 1_000 } else { 10 * size as u64 },
            arrivals: Vec::new(),
            next_id: 1,
        };
        for _ in 0..size {
            let instance = model.start_instance(0, size);
            model.instances.push(instance);
        }
        model
    }

    fn start_instance(&mut self, now: u64, size: usize) -> ModelInstance {
        let rule = rules::ColdRule { duration: time::Duration::from_secs(3), per_s: PER_S };
        let mut view = fleet_view::FleetView::default();
        let limited = rules::ServiceRule { cold: Some(rule), ..service() };
        view.cold_mut().set_services(&[sync::Arc::new(limited)]);
        view.cold_mut().set_bounds(BOUNDS);
        view.record_registered(at(now), size - 1);
        let latest = if self.failure == Failure::LateLearners { 2_000 } else { 200 };
        let learns_at = now.max(START) + self.rng.random_range(0..latest);
        self.next_id += 1;
        ModelInstance {
            id: self.next_id,
            view,
            ledger: PermitLedger::default(),
            sequence: 0,
            learns_at,
            up_at: now,
        }
    }

    fn is_up(&self, now: u64, place: usize) -> bool {
        now >= self.instances[place].up_at
    }

    fn send_heartbeats(&mut self, now: u64, from: usize) {
        let sender = &mut self.instances[from];
        sender.sequence += 1;
        let message = fleet::FleetHeartbeat {
            sender: sender.id,
            address: address(from),
            zone: ZONES[from % 3].to_owned(),
            interval_ms: self.heartbeat_ms as u32,
            ..sample_heartbeat(sender.sequence, Vec::new())
        };
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            if self.failure.is_connected(now, from, to) && self.is_up(now, to) {
                self.instances[to].view.apply_heartbeat(at(now), &message);
            }
        }
    }

    fn issuers(&self, now: u64, place: usize, number: u32) -> Vec<PermitIssuer> {
        let instance = &self.instances[place];
        let own = OwnMember { id: instance.id, capacity: 250, address: address(place) };
        instance.view.permit_issuers(at(now), number, own, ZONES[place % 3], false).into_vec()
    }

    fn grant(&mut self, now: u64, place: usize, number: u32) -> Result<(), u64> {
        let ModelInstance { view, ledger, .. } = &mut self.instances[place];
        let Some(limit) = view.permit_limit(at(now), number) else { return Ok(()) };
        let taken = ledger.acquire(at(now), number, limit, PermitClass::Request);
        taken.map_err(|wait| wait.as_millis() as u64)
    }

    /// Asks the issuers in turn like an instance does; the error is the time to wait.
    fn acquire(&mut self, now: u64, place: usize, number: u32) -> Result<(), u64> {
        let mut wait = 150;
        for (rank, issuer) in self.issuers(now, place, number).into_iter().enumerate() {
            let asked = match issuer {
                PermitIssuer::Own if rank == 0 => return self.grant(now, place, number),
                PermitIssuer::Own => continue,
                PermitIssuer::Peer(peer) => {
                    (0..self.instances.len()).find(|other| address(*other) == peer)
                }
            };
            let asked = asked.expect("an instance");
            if !self.failure.is_connected(now, place, asked) || !self.is_up(now, asked) {
                continue;
            }
            if let Some(cold) = self.instances[place].view.cold().message(at(now), number) {
                self.instances[asked].view.cold_mut().record_told(at(now), &cold);
            }
            if self.issuers(now, asked, number).first() == Some(&PermitIssuer::Own) {
                match self.grant(now, asked, number) {
                    Ok(()) => return Ok(()),
                    Err(left) => wait = left,
                }
                break;
            }
        }
        Err(wait.max(10))
    }

    /// A request for the upstream at an instance.
    fn request(&mut self, now: u64, place: usize) {
        let view = &self.instances[place].view;
        let ready: Option<u32> =
            view.ready_upstreams(at(now), "llm").map(|slot| slot.number).next();
        let Some(number) = ready.filter(|_| self.is_up(now, place)) else { return };
        if self.instances[place].view.send_limit(at(now), number).is_some()
            && let Err(wait) = self.acquire(now, place, number)
        {
            let pause = time::Duration::from_millis(wait);
            self.instances[place].view.availability_mut().hold(at(now), number, pause);
            return;
        }
        // The permit takes up to 60 ms, and up to 150 ms later the request is sent.
        self.arrivals.push(now + self.rng.random_range(1..=210));
    }

    fn advance(&mut self, now: u64, requests_per_s: f64) {
        let size = self.instances.len();
        if self.failure.has_restarts() && now >= START && now.is_multiple_of(3_000) {
            let first = self.rng.random_range(0..5);
            for place in (first..size).step_by(5) {
                let up_at = now + self.rng.random_range(200..1_500);
                self.instances[place] = self.start_instance(up_at, size);
            }
        }
        for place in 0..size {
            if (now + place as u64 * TICK).is_multiple_of(self.heartbeat_ms / TICK * TICK)
                && self.is_up(now, place)
            {
                self.send_heartbeats(now, place);
            }
            let instance = &mut self.instances[place];
            if now >= instance.learns_at && now >= instance.up_at {
                let entry = cold_entry();
                instance.view.put_upstream(entry.clone());
                let number = instance.view.upstream("engine").expect("known").number;
                let cold = instance.view.cold_mut();
                cold.record_entry(at(now), "llm", number, entry.cold_remaining);
                instance.learns_at = now + 1_200;
            }
            if now.is_multiple_of(200) {
                instance.view.expire(at(now));
            }
        }
        let expected = requests_per_s * TICK as f64 / 1_000.0;
        let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let place = self.rng.random_range(0..size);
            self.request(now, place);
        }
    }
}

fn most_within(mut arrivals: Vec<u64>, length: u64) -> usize {
    arrivals.sort_unstable();
    let mut recent = collections::VecDeque::new();
    let mut most = 0;
    for arrival in arrivals {
        while recent.front().is_some_and(|first| first + length <= arrival) {
            recent.pop_front();
        }
        recent.push_back(arrival);
        most = most.max(recent.len());
    }
    most
}

#[rstest]
fn a_cold_upstream_gets_no_more_than_the_bound(
    #[values(6, 61, 195)] size: usize,
    #[values(
        Failure::None,
        Failure::LateLearners,
        Failure::Cut,
        Failure::ThreeParts,
        Failure::Restarts,
        Failure::CutAndRestarts,
        Failure::Alone
    )]
    failure: Failure,
) {
    let seeds = if size > 100 { 0..2 } else { 0..6 };
    for seed in seeds {
        let mut model = ColdModel::new(size, failure, seed);
        for now in (0..END).step_by(TICK as usize) {
            model.advance(now, 200.0);
        }
        let arrivals = model.arrivals;
        let most = most_within(arrivals.clone(), 1_000);
        assert!(most <= ALLOWED, "seed {seed}: {most} arrivals in a second");
        let mean = arrivals.len() as f64 / ((END - START) / 1_000) as f64;
        assert!(mean >= 1.0, "seed {seed}: {mean} arrivals a second");
    }
}

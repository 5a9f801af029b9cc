//! The fleet under load: requests by the real dispatch, failures at the upstreams.

use std::collections;
use std::time;

use coltsfoot_once::circuit_breaker::UpstreamOutcome;
use coltsfoot_once::crash_suspects::RunEnd;
use coltsfoot_once::dispatch_event::{AttemptEnd, AttemptEvent, DispatchAction, DispatchEvent};
use coltsfoot_once::quarantine::QuarantineStatus;
use coltsfoot_once::{dispatch, retry_budget, run_state};
use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::once;
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::once::queue::EventQueue;
use crate::retries::answer::answer_events;
use crate::retries::fleet::{
    FAILING_MODES, OmittedMechanism, UPSTREAMS_PER_ZONE, UpstreamMode, ZONES, ZoneOwner,
};
use crate::retries::result::RetriesResult;

/// Entry instances, the same number in each zone.
const INSTANCES: usize = 9;
/// Requests per second, about a fifth of what the healthy upstreams can run.
const REQUESTS_PER_SECOND: f64 = 600.0;
const DURATION_US: u64 = 60_000_000;
const FAILURE_FROM_US: u64 = 10_000_000;
const FAILURE_UNTIL_US: u64 = 40_000_000;
const DEADLINE_US: u64 = 5_000_000;
/// Mean time of a request at a healthy upstream.
const SERVICE_US: f64 = 100_000.0;
const PERMIT_US: u64 = 300;
const PERMIT_RETRY_US: u64 = 10_000;
const RESTART_US: u64 = 2_000_000;
/// Time until a crash is confirmed by a refused connection.
const CONFIRMATION_US: u64 = 5_000;
const POISONS: u64 = 20;
const POISON_SENDS: u32 = 6;
/// Requests without a permit after this many tries are refused.
const MAX_PERMIT_TRIES: u32 = 600;

#[derive(Clone, Debug)]
struct PermitWish {
    attempt: id::AttemptId,
    avoid: Vec<name::UpstreamName>,
    is_isolated: bool,
    tries: u32,
}

#[derive(Clone, Debug)]
enum FleetEvent {
    Arrive,
    ArrivePoison { digest: once::RequestDigest, sends: u32 },
    Permit(u64, PermitWish),
    Dispatch(u64, DispatchEvent),
    Crash { zone: usize, index: usize, generation: u64 },
    Confirm { zone: usize, crash: once::CrashId },
    Notice { zone: usize, notice: once::CrashNotice },
    Fail,
    Recover,
}

struct FleetRequest {
    home: usize,
    instance: usize,
    digest: once::RequestDigest,
    poison_sends: Option<u32>,
    machine: dispatch::DispatchMachine,
    place: Option<UpstreamPlace>,
    sent_us: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct UpstreamPlace {
    zone: usize,
    index: usize,
}

/// State of a run.
pub struct FleetWorld {
    omitted: OmittedMechanism,
    rng: rngs::SmallRng,
    now_us: u64,
    queue: EventQueue<FleetEvent>,
    zones: Vec<ZoneOwner>,
    budgets: Vec<retry_budget::RetryBudget>,
    requests: collections::BTreeMap<u64, FleetRequest>,
    next_request: u64,
    crashes_by_poison: collections::BTreeMap<once::RequestDigest, u64>,
    sends_by_second: collections::BTreeMap<u64, u64>,
    result: RetriesResult,
}

impl FleetWorld {
    pub fn new(seed: u64, omitted: OmittedMechanism) -> Self {
        let settings = retry_budget::RetrySettings::default();
        let mut world = Self {
            omitted,
            rng: rngs::SmallRng::seed_from_u64(seed),
            now_us: 0,
            queue: EventQueue::default(),
            zones: (0..ZONES).map(ZoneOwner::new).collect(),
            budgets: (0..INSTANCES).map(|_| retry_budget::RetryBudget::new(settings)).collect(),
            requests: collections::BTreeMap::new(),
            next_request: 0,
            crashes_by_poison: collections::BTreeMap::new(),
            sends_by_second: collections::BTreeMap::new(),
            result: RetriesResult::default(),
        };
        world.queue.push(0, FleetEvent::Arrive);
        world.queue.push(FAILURE_FROM_US, FleetEvent::Fail);
        world.queue.push(FAILURE_UNTIL_US, FleetEvent::Recover);
        for number in 0..POISONS {
            let mut bytes = [0xff; 32];
            bytes[..8].copy_from_slice(&number.to_le_bytes());
            let digest = once::RequestDigest(bytes);
            let at_us = world.rng.random_range(0..DURATION_US);
            world.queue.push(at_us, FleetEvent::ArrivePoison { digest, sends: 1 });
        }
        world
    }

    pub fn run(mut self) -> RetriesResult {
        while let Some((at_us, event)) = self.queue.pop() {
            self.now_us = at_us;
            self.take(event);
        }
        let peak = self.sends_by_second.values().max().copied().unwrap_or_default();
        self.result.peak_amplification = peak as f64 / REQUESTS_PER_SECOND;
        let most = self.crashes_by_poison.values().max();
        self.result.max_crashes_per_poison = most.copied().unwrap_or_default();
        self.result
    }

    fn now(&self) -> clock::MonotonicTime {
        clock::MonotonicTime(self.now_us)
    }

    fn take(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrive => self.arrive(),
            FleetEvent::ArrivePoison { digest, sends } => self.begin(digest, Some(sends)),
            FleetEvent::Permit(request, wish) => self.permit(request, wish),
            FleetEvent::Dispatch(request, event) => self.drive(request, event),
            FleetEvent::Crash { zone, index, generation } => self.crash(zone, index, generation),
            FleetEvent::Confirm { zone, crash } => self.confirm(zone, &crash),
            FleetEvent::Notice { zone, notice } => {
                let now = self.now();
                self.zones[zone].table.merge(now, &notice);
            }
            FleetEvent::Fail => self.fail_a_third(),
            FleetEvent::Recover => self.recover(),
        }
    }

    fn arrive(&mut self) {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&self.next_request.to_le_bytes());
        self.result.innocent += 1;
        self.begin(once::RequestDigest(bytes), None);
        let gap_s = -self.rng.random::<f64>().max(1e-12).ln() / REQUESTS_PER_SECOND;
        let next_us = self.now_us + (gap_s * 1e6) as u64;
        if next_us < DURATION_US {
            self.queue.push(next_us, FleetEvent::Arrive);
        }
    }

    fn begin(&mut self, digest: once::RequestDigest, poison_sends: Option<u32>) {
        self.next_request += 1;
        self.result.requests += 1;
        let number = self.next_request;
        let instance = self.rng.random_range(0..INSTANCES);
        let settings = dispatch::DispatchSettings::builder()
            .request(id::RequestId(u128::from(number)))
            .deadline(clock::MonotonicTime(self.now_us + DEADLINE_US))
            .build();
        let kind = dispatch::CallKind::Idempotent(run_state::PendingRequest::new());
        let request = FleetRequest {
            home: instance % ZONES,
            instance,
            digest,
            poison_sends,
            machine: dispatch::DispatchMachine::new(kind, settings),
            place: None,
            sent_us: 0,
        };
        self.requests.insert(number, request);
        self.budgets[instance].deposit();
        self.note_suspicion(number);
        self.drive(number, DispatchEvent::Tick);
    }

    /// Tells a request what the zone knows against it.
    fn note_suspicion(&mut self, number: u64) {
        let now = self.now();
        let Some(request) = self.requests.get(&number) else { return };
        let crashes = self.zones[request.home].table.crashes(now, &request.digest);
        if crashes > 0 && !self.omitted.quarantine {
            self.drive(number, DispatchEvent::Suspected { crashes });
        }
    }

    fn drive(&mut self, number: u64, event: DispatchEvent) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let mut unlimited = retry_budget::RetryBudget::new(retry_budget::RetrySettings::default());
        let budget = match self.omitted.budget {
            true => &mut unlimited,
            false => &mut self.budgets[request.instance],
        };
        let actions = request.machine.handle(now, event, budget, &mut self.rng);
        for action in actions {
            self.take_action(number, action);
        }
        let is_ended = self.requests.get(&number).is_some_and(|request| request.machine.is_ended());
        if is_ended && let Some(request) = self.requests.remove(&number) {
            self.resend_poison(&request);
        }
    }

    fn take_action(&mut self, number: u64, action: DispatchAction) {
        match action {
            DispatchAction::RequestPermit { attempt, avoid, is_isolated } => {
                let avoid = avoid.into_iter().collect();
                let wish = PermitWish { attempt, avoid, is_isolated, tries: 0 };
                self.queue.push(self.now_us + PERMIT_US, FleetEvent::Permit(number, wish));
            }
            DispatchAction::Send { attempt, .. } => self.send(number, attempt),
            DispatchAction::ReleasePermit(attempt, _, end) => self.release(number, attempt, end),
            DispatchAction::ForwardResponse => {
                let is_poison = self.requests[&number].poison_sends.is_some();
                self.result.answered += u64::from(!is_poison);
            }
            DispatchAction::Refuse { reason, .. } => self.count_refusal(number, reason),
            DispatchAction::CountRetry(reason) => {
                *self.result.retries.entry(reason.code()).or_default() += 1;
            }
            DispatchAction::WakeAt(at) => {
                self.queue.push(at.0, FleetEvent::Dispatch(number, DispatchEvent::Tick));
            }
            _ => {}
        }
    }

    fn count_refusal(&mut self, number: u64, reason: refusal::RefusalReason) {
        let is_innocent = self.requests[&number].poison_sends.is_none();
        if !is_innocent {
            return;
        }
        *self.result.refusals.entry(reason.code()).or_default() += 1;
        let is_quarantined = reason == refusal::RefusalReason::Quarantined;
        self.result.innocents_quarantined += u64::from(is_quarantined);
    }

    fn resend_poison(&mut self, request: &FleetRequest) {
        let Some(sends) = request.poison_sends.filter(|sends| *sends < POISON_SENDS) else {
            return;
        };
        let pause_us = self.rng.random_range(100_000..5_000_000);
        let event = FleetEvent::ArrivePoison { digest: request.digest, sends: sends + 1 };
        self.queue.push(self.now_us + pause_us, event);
    }

    fn permit(&mut self, number: u64, mut wish: PermitWish) {
        self.note_suspicion(number);
        let now = self.now();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let digest = request.digest;
        let places = (0..ZONES).map(|step| (request.home + step) % ZONES);
        let places: Vec<_> = places.collect();
        let omitted = self.omitted;
        let found = places.into_iter().find_map(|zone| {
            let owner = &mut self.zones[zone];
            let is_suspected = owner.table.status(now, &digest) != QuarantineStatus::Clear;
            let is_isolated = wish.is_isolated || is_suspected;
            let index = owner.pick(now, &wish.avoid, is_isolated, omitted)?;
            let upstream = &mut owner.upstreams[index];
            upstream.in_flight += 1;
            owner.suspects.begin(&upstream.name, wish.attempt, digest, is_isolated);
            Some((UpstreamPlace { zone, index }, upstream.name.clone()))
        });
        let Some((place, upstream)) = found else {
            wish.tries += 1;
            let event = match wish.tries < MAX_PERMIT_TRIES {
                true => FleetEvent::Permit(number, wish),
                false => FleetEvent::Dispatch(number, no_upstream(wish.attempt)),
            };
            return self.queue.push(self.now_us + PERMIT_RETRY_US, event);
        };
        request.place = Some(place);
        let attempt = wish.attempt;
        self.drive(number, DispatchEvent::Permitted { attempt, upstream, is_draining: false });
    }

    fn send(&mut self, number: u64, attempt: id::AttemptId) {
        self.result.sends += 1;
        *self.sends_by_second.entry(self.now_us / 1_000_000).or_default() += 1;
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.sent_us = self.now_us;
        let is_poison = request.poison_sends.is_some();
        let Some(place) = request.place else { return };
        let upstream = &self.zones[place.zone].upstreams[place.index];
        let generation = upstream.generation;
        let mode = match upstream.down_until_us > self.now_us {
            true => UpstreamMode::RefusesConnections,
            false => upstream.mode,
        };
        if is_poison && mode == UpstreamMode::Healthy {
            *self.crashes_by_poison.entry(request.digest).or_default() += 1;
            let event = FleetEvent::Crash { zone: place.zone, index: place.index, generation };
            return self.queue.push(self.now_us + 20_000, event);
        }
        let service_us = (-self.rng.random::<f64>().max(1e-12).ln() * SERVICE_US) as u64;
        for (after_us, event) in answer_events(mode, service_us.min(800_000)) {
            let event = DispatchEvent::Attempt(attempt, event);
            self.queue.push(self.now_us + after_us, FleetEvent::Dispatch(number, event));
        }
    }

    fn release(&mut self, number: u64, attempt: id::AttemptId, end: AttemptEnd) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(place) = request.place.take() else { return };
        let latency = time::Duration::from_micros(self.now_us - request.sent_us);
        let owner = &mut self.zones[place.zone];
        let upstream = &mut owner.upstreams[place.index];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        let (outcome, run_end) = match end {
            AttemptEnd::Answered => (UpstreamOutcome::Answered(latency), RunEnd::Completed),
            AttemptEnd::Failed => (UpstreamOutcome::Failed, RunEnd::ConnectionLost),
            AttemptEnd::Refused | AttemptEnd::Abandoned => {
                (UpstreamOutcome::Neutral, RunEnd::Abandoned)
            }
        };
        upstream.breaker.record(now, outcome);
        owner.suspects.end(now, &upstream.name, attempt, run_end, &mut owner.table);
    }

    fn crash(&mut self, zone: usize, index: usize, generation: u64) {
        let upstream = &mut self.zones[zone].upstreams[index];
        if upstream.generation != generation {
            return;
        }
        self.result.crashes += 1;
        upstream.generation += 1;
        upstream.down_until_us = self.now_us + RESTART_US;
        let restarted = clock::MonotonicTime(self.now_us + RESTART_US);
        upstream.breaker.restart(restarted);
        let crash = once::CrashId { upstream: upstream.name.clone(), generation };
        self.queue.push(self.now_us + CONFIRMATION_US, FleetEvent::Confirm { zone, crash });
        let place = UpstreamPlace { zone, index };
        let cut = self.requests.iter().filter(|(_, request)| request.place == Some(place));
        let cut: Vec<_> =
            cut.map(|(number, request)| (*number, request.machine.current())).collect();
        for (number, attempt) in cut {
            let Some(attempt) = attempt else { continue };
            self.drive(number, DispatchEvent::Attempt(attempt, AttemptEvent::NoResponse));
        }
    }

    fn confirm(&mut self, zone: usize, crash: &once::CrashId) {
        let now = self.now();
        let owner = &mut self.zones[zone];
        let notices = owner.suspects.record_crash(now, crash, &mut owner.table);
        for notice in notices {
            for zone in 0..ZONES {
                let delay_us = self.rng.random_range(1_000..20_000);
                let event = FleetEvent::Notice { zone, notice: notice.clone() };
                self.queue.push(self.now_us + delay_us, event);
            }
        }
    }

    fn fail_a_third(&mut self) {
        let failing = ZONES * UPSTREAMS_PER_ZONE / 3;
        for number in 0..failing {
            let (zone, index) = (number % ZONES, number / ZONES);
            let mode = FAILING_MODES[number % FAILING_MODES.len()];
            self.zones[zone].upstreams[index].mode = mode;
        }
    }

    fn recover(&mut self) {
        for upstream in self.zones.iter_mut().flat_map(|owner| &mut owner.upstreams) {
            upstream.mode = UpstreamMode::Healthy;
        }
    }
}

fn no_upstream(attempt: id::AttemptId) -> DispatchEvent {
    let reason = refusal::RefusalReason::NoUpstream;
    DispatchEvent::PermitRefused { attempt, reason, retry_after: None }
}

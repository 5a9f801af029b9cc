//! One run of a workload through a fleet of agents and owners, and through the references.

use std::collections;
use std::time;

use coltsfoot_quota::{event, excess_meter, quota_agent, token_bucket};
use coltsfoot_types::{id, refusal, time as clock};
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::quota_reference;
use crate::quota_workload;
use crate::virtual_fleet;

/// Time that a caller waits for admission at most.
const PATIENCE: time::Duration = time::Duration::from_secs(5);
/// Interval of the gossip that the quota is compared with.
const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Step in which requests are fed in.
const STEP: time::Duration = time::Duration::from_millis(5);

/// A change of the fleet at an instant.
#[derive(Clone, Copy, Debug)]
pub enum FleetFault {
    /// The owner of the largest customer's bucket in the first zone stops.
    CrashOwner,
    /// The zones form new views.
    ChangeViews,
    /// A new instance replaces the stopped one.
    Replace,
    /// The first zone is cut off.
    Cut,
    /// The instances of all zones notice the cut.
    NoticeCut,
    /// The first zone is back.
    Heal,
}

/// A fault with its instant.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    /// When.
    pub at: time::Duration,
    /// What.
    pub fault: FleetFault,
}

/// What a run counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunResult {
    /// Requests of the workload.
    pub requests: u64,
    /// Requests that the ideal bucket admits.
    pub inside_rate: u64,
    /// Of these, refused by the fleet.
    pub wrongful: u64,
    /// Of these, refused by the static split.
    pub baseline_wrongful: u64,
    /// Of these, refused by ideal buckets of the two sides of a cut.
    pub limit_wrongful: u64,
    /// Largest excess of instances that count each other's admissions by gossip, every half second.
    pub gossip_overshoot_tokens: u64,
    /// Requests whose instance stopped before it decided.
    pub lost: u64,
    /// Largest excess over burst + rate × time, of any customer.
    pub overshoot_tokens: u64,
    /// Bytes per second and instance.
    pub bytes_per_second: f64,
    /// Refused callers that came back when told.
    pub returned: u64,
    /// Of these, refused again.
    pub returned_in_vain: u64,
    /// 99th percentile of the time to an admission.
    pub wait_p99: time::Duration,
}

impl RunResult {
    /// Returns a count as a share of the requests inside the rate.
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.inside_rate.max(1) as f64
    }
}

/// A request handed to the fleet.
#[derive(Clone, Copy, Debug)]
struct AskedRequest {
    index: usize,
    node: usize,
    at: clock::MonotonicTime,
    is_return: bool,
    is_decided: bool,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    node: usize,
    request: id::RequestId,
    ends: clock::MonotonicTime,
    unused: u64,
}

#[derive(Clone, Copy, Debug)]
struct ReturningCaller {
    at: clock::MonotonicTime,
    index: usize,
}

/// Runs a workload.
pub struct QuotaRun<'a> {
    requests: &'a [quota_workload::WorkloadRequest],
    inside: Vec<bool>,
    asked: collections::BTreeMap<id::RequestId, AskedRequest>,
    running: Vec<RunningRequest>,
    returning: Vec<ReturningCaller>,
    meters: Vec<excess_meter::ExcessMeter>,
    waits: Vec<time::Duration>,
    result: RunResult,
    next_request: u128,
    crashed: Option<usize>,
    rng: rngs::StdRng,
}

impl<'a> QuotaRun<'a> {
    /// Prepares a run; the references are computed at once.
    pub fn new(
        seed: u64,
        requests: &'a [quota_workload::WorkloadRequest],
        faults: &[TimedFault],
    ) -> Self {
        let customers = 0..quota_workload::customer_count();
        let meter =
            |customer| excess_meter::ExcessMeter::new(quota_workload::customer_total(customer));
        let mut run = Self {
            requests,
            inside: Vec::new(),
            asked: collections::BTreeMap::new(),
            running: Vec::new(),
            returning: Vec::new(),
            meters: customers.map(meter).collect(),
            waits: Vec::new(),
            result: RunResult { requests: requests.len() as u64, ..RunResult::default() },
            next_request: 0,
            crashed: None,
            rng: rngs::StdRng::seed_from_u64(seed ^ 0x5eed),
        };
        run.compute_inside();
        run.compute_baseline();
        run.compute_gossip();
        run.compute_limit(faults);
        run
    }

    /// Runs the fleet until the instant, with messages delayed as between zones.
    pub fn execute(mut self, until: time::Duration, faults: &[TimedFault]) -> RunResult {
        let is_cut = std::rc::Rc::new(std::cell::Cell::new(false));
        let link_cut = std::rc::Rc::clone(&is_cut);
        let mut link_rng = rngs::StdRng::seed_from_u64(self.rng.random_range(0..u64::MAX));
        let link = move |passage: virtual_fleet::LinkPassage| {
            let crosses = passage.from_zone != passage.to_zone;
            if crosses && link_cut.get() && (passage.from_zone == 0 || passage.to_zone == 0) {
                return virtual_fleet::LinkDelays::new();
            }
            let micros = if crosses { 1_500 } else { 200 };
            let delay = time::Duration::from_micros(micros + link_rng.random_range(0..200));
            virtual_fleet::LinkDelays::from_elem(delay, 1)
        };
        let mut fleet = virtual_fleet::VirtualFleet::new(
            &quota_workload::ZONES,
            quota_workload::INSTANCES_PER_ZONE,
            quota_workload::customer_limits(),
            link,
        );
        let mut faults = faults.iter().peekable();
        let mut next = 0;
        while fleet.now() < clock::MonotonicTime(0) + until {
            let now = fleet.now();
            while let Some(timed) =
                faults.next_if(|timed| clock::MonotonicTime(0) + timed.at <= now)
            {
                self.inject(&mut fleet, timed.fault, &is_cut);
            }
            while next < self.requests.len() && self.requests[next].at <= now {
                self.ask(&mut fleet, next, false);
                next += 1;
            }
            for caller in
                self.returning.extract_if(.., |caller| caller.at <= now).collect::<Vec<_>>()
            {
                self.ask(&mut fleet, caller.index, true);
            }
            fleet.run_until(now + STEP);
            self.collect(&mut fleet);
        }
        self.finish(until, fleet.bytes)
    }

    fn inject<L: FnMut(virtual_fleet::LinkPassage) -> virtual_fleet::LinkDelays>(
        &mut self,
        fleet: &mut virtual_fleet::VirtualFleet<L>,
        fault: FleetFault,
        is_cut: &std::cell::Cell<bool>,
    ) {
        match fault {
            FleetFault::CrashOwner => {
                let owner = fleet.owner_of(&quota_workload::customer_name(0), 0);
                self.crashed = owner;
                owner.into_iter().for_each(|owner| fleet.crash(owner));
            }
            FleetFault::ChangeViews => fleet.change_views(),
            FleetFault::Replace => {
                fleet.replace(0);
            }
            FleetFault::Cut => is_cut.set(true),
            FleetFault::NoticeCut | FleetFault::Heal => {
                let reachable = matches!(fault, FleetFault::Heal);
                if reachable {
                    is_cut.set(false);
                }
                for zone in 1..quota_workload::ZONES.len() {
                    fleet.set_reachable(0, zone, reachable);
                    fleet.set_reachable(zone, 0, reachable);
                }
            }
        }
    }

    fn ask<L: FnMut(virtual_fleet::LinkPassage) -> virtual_fleet::LinkDelays>(
        &mut self,
        fleet: &mut virtual_fleet::VirtualFleet<L>,
        index: usize,
        is_return: bool,
    ) {
        let wanted = &self.requests[index];
        let live = fleet.live_nodes();
        let zone = live.into_iter().filter(|node| fleet.zone_of(*node) == wanted.zone);
        let zone = zone.collect::<Vec<_>>();
        let node = zone[wanted.instance % zone.len()];
        self.next_request += 1;
        let request = id::RequestId(self.next_request);
        let admission = event::AdmissionRequest {
            request,
            customer: quota_workload::customer_name(wanted.customer),
            tokens: wanted.tokens,
            deadline: fleet.now(),
            fingerprint: index as u64,
        };
        let at = fleet.now();
        let asked = AskedRequest { index, node, at, is_return, is_decided: false };
        self.asked.insert(request, asked);
        fleet.admit(node, admission, PATIENCE);
    }

    fn collect<L: FnMut(virtual_fleet::LinkPassage) -> virtual_fleet::LinkDelays>(
        &mut self,
        fleet: &mut virtual_fleet::VirtualFleet<L>,
    ) {
        for outcome in std::mem::take(&mut fleet.outcomes) {
            let Some(asked) = self.asked.get_mut(&outcome.request) else {
                continue;
            };
            asked.is_decided = true;
            let asked = *asked;
            self.result.returned += u64::from(asked.is_return);
            match outcome.refused {
                None => self.admitted(&asked, &outcome),
                Some(refused) => self.refused(&asked, &outcome, refused),
            }
        }
        let now = fleet.now();
        for ended in self.running.extract_if(.., |running| running.ends <= now) {
            fleet.finish(ended.node, ended.request, ended.unused);
        }
    }

    fn admitted(&mut self, asked: &AskedRequest, outcome: &virtual_fleet::FleetOutcome) {
        let wanted = &self.requests[asked.index];
        self.waits.push(outcome.at.since(asked.at));
        let used = wanted.tokens - wanted.unused;
        self.meters[wanted.customer].admit(outcome.at, outcome.request, used);
        let ends = outcome.at + wanted.duration;
        let (node, request, unused) = (asked.node, outcome.request, wanted.unused);
        self.running.push(RunningRequest { node, request, ends, unused });
    }

    fn refused(
        &mut self,
        asked: &AskedRequest,
        outcome: &virtual_fleet::FleetOutcome,
        refused: virtual_fleet::FleetRefusal,
    ) {
        if asked.is_return {
            self.result.returned_in_vain += 1;
            return;
        }
        self.result.wrongful += u64::from(self.inside[asked.index]);
        if refused.reason != refusal::RefusalReason::RateLimited {
            return;
        }
        let seconds = refused.retry_after.as_secs_f64().ceil().max(1.0);
        let at = outcome.at + time::Duration::from_secs_f64(seconds);
        self.returning.push(ReturningCaller { at, index: asked.index });
    }

    fn finish(mut self, until: time::Duration, bytes: u64) -> RunResult {
        let crashed = self.crashed;
        let undecided =
            self.asked.values().filter(|asked| !asked.is_decided && Some(asked.node) == crashed);
        self.result.lost = undecided.count() as u64;
        let instances = quota_workload::ZONES.len() * quota_workload::INSTANCES_PER_ZONE;
        self.result.bytes_per_second = bytes as f64 / until.as_secs_f64() / instances as f64;
        let excesses = self.meters.iter().map(excess_meter::ExcessMeter::max_excess);
        self.result.overshoot_tokens = excesses.max().unwrap_or(0);
        self.waits.sort();
        let p99 = self.waits.len() * 99 / 100;
        self.result.wait_p99 = self.waits.get(p99).copied().unwrap_or_default();
        self.result
    }

    fn compute_inside(&mut self) {
        let totals = (0..quota_workload::customer_count()).map(quota_workload::customer_total);
        let mut buckets = totals.map(quota_reference::IdealBucket::new).collect::<Vec<_>>();
        for wanted in self.requests {
            let ends = wanted.at + wanted.duration;
            let bucket = &mut buckets[wanted.customer];
            let inside = bucket.admit(wanted.at, wanted.tokens, wanted.unused, ends);
            self.inside.push(inside);
        }
        self.result.inside_rate = self.inside.iter().filter(|inside| **inside).count() as u64;
    }

    fn compute_baseline(&mut self) {
        let instances = quota_workload::ZONES.len() * quota_workload::INSTANCES_PER_ZONE;
        let split = |total: token_bucket::BucketLimits| token_bucket::BucketLimits {
            rate: total.rate / instances as u64,
            burst: total.burst / instances as u64,
        };
        let mut buckets = Vec::new();
        for _ in 0..instances {
            buckets.push(Self::buckets(split, quota_agent::DEFAULT_MAX_WAIT));
        }
        for (wanted, inside) in self.requests.iter().zip(&self.inside) {
            let instance = wanted.zone * quota_workload::INSTANCES_PER_ZONE + wanted.instance;
            let admitted = admit(&mut buckets[instance][wanted.customer], wanted);
            self.result.baseline_wrongful += u64::from(*inside && !admitted);
        }
    }

    /// Lets every instance admit on its own copy of the whole bucket, and tells the other copies
    /// of its admissions at each round of gossip.
    fn compute_gossip(&mut self) {
        let instances = quota_workload::ZONES.len() * quota_workload::INSTANCES_PER_ZONE;
        for customer in 0..quota_workload::customer_count() {
            let total = quota_workload::customer_total(customer);
            let start = clock::MonotonicTime(0);
            let copy = quota_reference::ReferenceBucket::new(total, time::Duration::ZERO);
            let mut copies = vec![copy; instances];
            let mut meter = excess_meter::ExcessMeter::new(total);
            let mut untold = Vec::<(usize, u64)>::new();
            let mut round = start;
            for (index, wanted) in self.requests.iter().enumerate() {
                if wanted.customer != customer {
                    continue;
                }
                if wanted.at >= round {
                    round = wanted.at + GOSSIP_INTERVAL;
                    tell(wanted.at, &mut copies, &mut untold);
                }
                let used = wanted.tokens - wanted.unused;
                let instance = wanted.zone * quota_workload::INSTANCES_PER_ZONE + wanted.instance;
                if copies[instance].admit(wanted.at, used, 0, wanted.at) {
                    meter.admit(wanted.at, id::RequestId(index as u128), used);
                    untold.push((instance, used));
                }
            }
            let excess = self.result.gossip_overshoot_tokens.max(meter.max_excess());
            self.result.gossip_overshoot_tokens = excess;
        }
    }

    /// Refusals that no system could avoid while the first zone is cut off: each side has an
    /// ideal bucket of its floors, and its requests may wait.
    fn compute_limit(&mut self, faults: &[TimedFault]) {
        let at = |wanted: fn(&FleetFault) -> bool| {
            let found = faults.iter().find(|timed| wanted(&timed.fault));
            found.map(|timed| clock::MonotonicTime(0) + timed.at)
        };
        let Some(cut) = at(|fault| matches!(fault, FleetFault::Cut)) else {
            return;
        };
        let Some(heal) = at(|fault| matches!(fault, FleetFault::Heal)) else {
            return;
        };
        let max_wait = quota_agent::DEFAULT_MAX_WAIT;
        let mut joint = Self::buckets(|total| total, max_wait);
        let mut sides = [
            Self::buckets(|total| total.part(334), max_wait),
            Self::buckets(|total| total.part(666), max_wait),
        ];
        let mut is_divided = false;
        for (wanted, inside) in self.requests.iter().zip(&self.inside) {
            let during = wanted.at >= cut && wanted.at < heal;
            if during && !is_divided {
                divide(cut, &mut joint, &mut sides);
            }
            is_divided |= during;
            if is_divided && wanted.at >= heal {
                rejoin(heal, &mut joint, &mut sides);
                is_divided = false;
            }
            let side = usize::from(wanted.zone != 0);
            let buckets = if during { &mut sides[side] } else { &mut joint };
            let admitted = admit(&mut buckets[wanted.customer], wanted);
            self.result.limit_wrongful += u64::from(*inside && !admitted);
        }
    }

    fn buckets(
        part: impl Fn(token_bucket::BucketLimits) -> token_bucket::BucketLimits,
        max_wait: time::Duration,
    ) -> Vec<quota_reference::ReferenceBucket> {
        let totals = (0..quota_workload::customer_count()).map(quota_workload::customer_total);
        totals.map(|total| quota_reference::ReferenceBucket::new(part(total), max_wait)).collect()
    }
}

fn admit(
    bucket: &mut quota_reference::ReferenceBucket,
    wanted: &quota_workload::WorkloadRequest,
) -> bool {
    bucket.admit(wanted.at, wanted.tokens, wanted.unused, wanted.at + wanted.duration)
}

/// Charges all other copies with the admissions that they have not heard of.
fn tell(
    now: clock::MonotonicTime,
    copies: &mut [quota_reference::ReferenceBucket],
    untold: &mut Vec<(usize, u64)>,
) {
    for (instance, tokens) in untold.drain(..) {
        for (other, copy) in copies.iter_mut().enumerate() {
            if other != instance {
                copy.charge(now, tokens);
            }
        }
    }
}

/// Divides the joint level as well as could be: the smaller side gets its whole burst first.
fn divide(
    at: clock::MonotonicTime,
    joint: &mut [quota_reference::ReferenceBucket],
    sides: &mut [Vec<quota_reference::ReferenceBucket>; 2],
) {
    for (customer, bucket) in joint.iter_mut().enumerate() {
        let total = quota_workload::customer_total(customer);
        let (cut, rest) = (total.part(334), total.part(666));
        let level = bucket.level(at);
        let first = level.min(cut.burst as f64);
        sides[0][customer].reset(at, cut, first);
        sides[1][customer].reset(at, rest, level - first);
    }
}

fn rejoin(
    at: clock::MonotonicTime,
    joint: &mut [quota_reference::ReferenceBucket],
    sides: &mut [Vec<quota_reference::ReferenceBucket>; 2],
) {
    for (customer, bucket) in joint.iter_mut().enumerate() {
        let level = sides[0][customer].level(at) + sides[1][customer].level(at);
        bucket.reset(at, quota_workload::customer_total(customer), level);
    }
}

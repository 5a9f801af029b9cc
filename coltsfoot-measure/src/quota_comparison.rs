//! What other ways do with the workload of a run: one exact bucket, a static split, gossip, and
//! ideal buckets of both sides of a cut.

use std::time;

use coltsfoot_quota::{excess_meter, quota_agent, token_bucket};
use coltsfoot_types::{id, time as clock};

use crate::quota_reference;
use crate::quota_run;
use crate::quota_workload;

/// Interval of the gossip that the quota is compared with.
const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Returns for each request whether one exact bucket for the fleet admits it.
pub fn ideal(requests: &[quota_workload::WorkloadRequest]) -> Vec<bool> {
    let totals = (0..quota_workload::customer_count()).map(quota_workload::customer_total);
    let mut buckets = totals.map(quota_reference::IdealBucket::new).collect::<Vec<_>>();
    let admitted = requests.iter().map(|wanted| {
        let ends = wanted.at + wanted.duration;
        buckets[wanted.customer].admit(wanted.at, wanted.tokens, wanted.unused, ends)
    });
    admitted.collect()
}

/// Returns the requests inside the rate that a static split per instance refuses.
pub fn static_split(requests: &[quota_workload::WorkloadRequest], inside: &[bool]) -> u64 {
    let instances = quota_workload::ZONES.len() * quota_workload::INSTANCES_PER_ZONE;
    let split = |total: token_bucket::BucketLimits| token_bucket::BucketLimits {
        rate: total.rate / instances as u64,
        burst: total.burst / instances as u64,
    };
    let mut buckets = Vec::new();
    for _ in 0..instances {
        buckets.push(buckets_of(split, quota_agent::DEFAULT_MAX_WAIT));
    }
    let mut refused = 0;
    for (wanted, inside) in requests.iter().zip(inside) {
        let instance = wanted.zone * quota_workload::INSTANCES_PER_ZONE + wanted.instance;
        let admitted = admit(&mut buckets[instance][wanted.customer], wanted);
        refused += u64::from(*inside && !admitted);
    }
    refused
}

/// Returns the largest excess of instances that admit each on its own copy of the whole bucket and
/// tell each other of their admissions at each round of gossip.
pub fn gossip(requests: &[quota_workload::WorkloadRequest]) -> u64 {
    let instances = quota_workload::ZONES.len() * quota_workload::INSTANCES_PER_ZONE;
    let mut excess = 0;
    for customer in 0..quota_workload::customer_count() {
        let total = quota_workload::customer_total(customer);
        let start = clock::MonotonicTime(0);
        let copy = quota_reference::ReferenceBucket::new(total, time::Duration::ZERO);
        let mut copies = vec![copy; instances];
        let mut meter = excess_meter::ExcessMeter::new(total);
        let mut untold = Vec::<(usize, u64)>::new();
        let mut round = start;
        for (index, wanted) in requests.iter().enumerate() {
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
        excess = meter.max_excess().max(excess);
    }
    excess
}

/// Returns the refusals that no system could avoid while the first zone is cut off: each side has an
/// ideal bucket of its floors, and its requests may wait.
pub fn cut_limit(
    requests: &[quota_workload::WorkloadRequest],
    inside: &[bool],
    faults: &[quota_run::TimedFault],
) -> u64 {
    let at = |wanted: fn(&quota_run::FleetFault) -> bool| {
        let found = faults.iter().find(|timed| wanted(&timed.fault));
        found.map(|timed| clock::MonotonicTime(0) + timed.at)
    };
    let Some(cut) = at(|fault| matches!(fault, quota_run::FleetFault::Cut)) else {
        return 0;
    };
    let Some(heal) = at(|fault| matches!(fault, quota_run::FleetFault::Heal)) else {
        return 0;
    };
    let max_wait = quota_agent::DEFAULT_MAX_WAIT;
    let mut joint = buckets_of(|total| total, max_wait);
    let mut sides = [
        buckets_of(|total| total.scaled(334), max_wait),
        buckets_of(|total| total.scaled(666), max_wait),
    ];
    let mut is_divided = false;
    let mut refused = 0;
    for (wanted, inside) in requests.iter().zip(inside) {
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
        refused += u64::from(*inside && !admitted);
    }
    refused
}

fn buckets_of(
    part: impl Fn(token_bucket::BucketLimits) -> token_bucket::BucketLimits,
    max_wait: time::Duration,
) -> Vec<quota_reference::ReferenceBucket> {
    let totals = (0..quota_workload::customer_count()).map(quota_workload::customer_total);
    totals.map(|total| quota_reference::ReferenceBucket::new(part(total), max_wait)).collect()
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
        let (cut, rest) = (total.scaled(334), total.scaled(666));
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

//! Followers on virtual time: when changes are in force, and the traffic of idle instances.

use std::time;

use coltsfoot_catalog::digest;
use coltsfoot_fakes::fleet;
use coltsfoot_types::{id, time::MonotonicTime};
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _, rngs};
use smallvec::{SmallVec, smallvec};

use crate::cmd::MeasureError;
use crate::config::change_text;

/// Zones of the fleets.
const ZONES: [&str; 7] = ["z1", "z2", "z3", "z4", "z5", "z6", "z7"];
/// Adapters of the small configuration.
const ADAPTERS: u32 = 200;
/// Longest wait between two changes, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;
/// Time within which a change must be in force.
const GIVE_UP_AFTER: time::Duration = time::Duration::from_secs(30);
/// Time over which the traffic of an idle fleet is measured.
const IDLE_DURATION: time::Duration = time::Duration::from_secs(120);
/// Messages lost between instances, in thousandths.
const LOST_PERMILLE: u32 = 10;
/// Time between two checks of an open stream's key in the daemon.
const STREAM_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Share of changes that withdraw a key: one in this many.
const WITHDRAWAL_EVERY: u32 = 5;

/// A fleet that publishes changes.
pub struct FleetShape {
    /// Instances.
    pub members: usize,
    /// Zones, over which the instances are spread evenly.
    pub zones: usize,
    /// Whether an instance does not reach the log.
    pub is_cut_off: fn(usize) -> bool,
    /// Changes that the fleet publishes.
    pub changes: u32,
}

/// When changes were in force.
pub struct ChangeTrial {
    /// Microseconds from the append to the instance's new view, one value for each instance.
    latencies: Histogram<u64>,
    /// Changes published.
    pub changes: u64,
    /// Longest time from the append of a withdrawal until the last instance has ended the streams:
    /// until its view changed, and the interval of the streams' checks.
    pub withdrawn_stream_end_s: f64,
}

impl ChangeTrial {
    /// Returns a quantile of the latencies, in seconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e6
    }
}

/// Traffic of an idle instance.
pub struct IdleTrial {
    /// Bytes sent to peers.
    pub peer_bytes_per_second: f64,
    /// Calls to the log.
    pub log_calls_per_second: f64,
}

/// Publishes changes on fleets of a certain shape.
pub fn run_changes(
    seed: u64,
    fleets: u64,
    shape: &FleetShape,
) -> Result<ChangeTrial, MeasureError> {
    let latencies = Histogram::new(3).map_err(|error| MeasureError::Violated(error.to_string()))?;
    let mut trial = ChangeTrial { latencies, changes: 0, withdrawn_stream_end_s: 0.0 };
    for number in 0..fleets {
        run_fleet(seed.wrapping_mul(1_000).wrapping_add(number), shape, &mut trial)?;
    }
    Ok(trial)
}

/// Lets a fleet run without changes.
pub fn run_idle(seed: u64, members: usize) -> IdleTrial {
    let mut fleet = start_fleet(seed, members, 7);
    fleet.run_for(time::Duration::from_secs(10));
    let total = |fleet: &fleet::FollowerFleet| {
        let sum = |bytes: fn(&fleet::FleetMember) -> u64| fleet.members.iter().map(bytes).sum();
        let sums: [u64; 2] = [sum(|member| member.sent_bytes), sum(|member| member.log_calls)];
        sums
    };
    let before = total(&fleet);
    fleet.run_for(IDLE_DURATION);
    let after = total(&fleet);
    let rate = |index: usize| {
        let bytes = (after[index] - before[index]) as f64;
        bytes / members as f64 / IDLE_DURATION.as_secs_f64()
    };
    IdleTrial { peer_bytes_per_second: rate(0), log_calls_per_second: rate(1) }
}

fn run_fleet(seed: u64, shape: &FleetShape, trial: &mut ChangeTrial) -> Result<(), MeasureError> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut fleet = start_fleet(seed, shape.members, shape.zones);
    for (index, member) in fleet.members.iter_mut().enumerate() {
        member.reaches_log = !(shape.is_cut_off)(index);
    }
    change_text::for_each_setup_record(ADAPTERS, shape.changes, ADAPTERS, |record| {
        fleet.publish(record);
    })?;
    fleet.run_for(time::Duration::from_secs(5));
    for number in 0..shape.changes {
        fleet.run_for(time::Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
        let withdraws = number % WITHDRAWAL_EVERY == 0;
        let latencies = publish_one(seed, &mut fleet, number, withdraws)?;
        trial.changes += 1;
        for latency in &latencies {
            let recorded = trial.latencies.record(latency.as_micros() as u64);
            recorded.map_err(|error| MeasureError::Violated(error.to_string()))?;
        }
        let last = latencies.into_iter().max().unwrap_or_default() + STREAM_CHECK_INTERVAL;
        if withdraws {
            trial.withdrawn_stream_end_s = trial.withdrawn_stream_end_s.max(last.as_secs_f64());
        }
    }
    Ok(())
}

/// Publishes a change and waits until it is in force everywhere.
fn publish_one(
    seed: u64,
    fleet: &mut fleet::FollowerFleet,
    number: u32,
    withdraws: bool,
) -> Result<Vec<time::Duration>, MeasureError> {
    let object = match withdraws {
        true => change_text::key(number, true),
        false => change_text::route(number, 2),
    };
    let revision = id::LogOffset(2);
    let text = change_text::set(
        1_000_000 + u64::from(number),
        vec![change_text::put(Some(revision), object)],
    )?;
    let published_at = fleet.now();
    let known = fleet.publications.len();
    let offset = fleet.publish(text);
    let everywhere = |fleet: &fleet::FollowerFleet| {
        fleet.members.iter().all(|member| member.follower.replica().next_offset() > offset)
    };
    if !fleet.run_until(published_at + GIVE_UP_AFTER, everywhere) {
        return Err(MeasureError::Violated(format!("seed {seed}: change {number} not in force")));
    }
    if withdraws && !is_withdrawn_everywhere(fleet, number) {
        return Err(MeasureError::Violated(format!("seed {seed}: key {number} still valid")));
    }
    Ok(latencies(fleet, known, offset, published_at))
}

fn is_withdrawn_everywhere(fleet: &fleet::FollowerFleet, number: u32) -> bool {
    let digest = digest::KeyDigest::of(&change_text::key_name(number));
    fleet.members.iter().all(|member| member.follower.view().is_withdrawn(&digest))
}

fn latencies(
    fleet: &fleet::FollowerFleet,
    known: usize,
    offset: id::LogOffset,
    published_at: MonotonicTime,
) -> Vec<time::Duration> {
    let publications = &fleet.publications[known..];
    let first = |instance: usize| {
        let mut own = publications.iter().filter(|publication| publication.instance == instance);
        own.find(|publication| publication.offset > offset)
    };
    let firsts = (0..fleet.members.len()).filter_map(first);
    firsts.map(|publication| publication.at.since(published_at)).collect()
}

fn start_fleet(seed: u64, members: usize, zones: usize) -> fleet::FollowerFleet {
    let switches = fleet::FleetLogSwitches {
        latency: time::Duration::from_millis(10),
        retention: time::Duration::from_secs(24 * 3_600),
        outage: false,
        lost_answers: false,
    };
    let mut fleet = fleet::FollowerFleet::new(seed, switches, lossy_link(seed));
    for index in 0..members {
        fleet.start(&format!("entry-{index:03}"), ZONES[index % zones]);
    }
    fleet
}

/// Delays of Korrigan's zones, with some messages lost.
fn lossy_link(seed: u64) -> fleet::LinkModel {
    let mut rng = rngs::SmallRng::seed_from_u64(seed ^ 0x5eed);
    Box::new(move |transfer| {
        if rng.random_range(0..1_000) < LOST_PERMILLE {
            return SmallVec::new();
        }
        let is_near = transfer.from.zone == transfer.to.zone;
        let base_us = if is_near { 200 } else { 1_500 };
        smallvec![time::Duration::from_micros(base_us + rng.random_range(0..500))]
    })
}

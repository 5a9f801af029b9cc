//! What the relay of an availability zone tells the other zones.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::fleet_view;
use crate::fleet_view::zones;

/// Beats of a relay after which it names all instances of its zone again.
const MEMBERS_EVERY: u64 = 4;
/// Beats of a relay after which it tells of all engines of its zone again.
const ENGINES_EVERY: u64 = 8;
/// Age up to which a reading is told: older ones are of instances that do not read.
const MAX_READING_AGE_MS: u32 = 3_000;

/// An instance as the relay of its zone.
#[derive(Clone, Debug)]
pub struct RelayState<'a> {
    /// Its place among the instances of the zone.
    pub member: zones::OwnMember,
    /// Its availability zone.
    pub zone: &'a str,
    /// Number of the beat.
    pub sequence: u64,
    /// Time to the next one.
    pub interval: time::Duration,
    /// What it knows of the store's topics.
    pub digests: fleet::MemberDigests,
    /// Fetches under way and to come at the engines that it owns.
    pub fetching: u32,
    /// Fetches to come.
    pub queued_fetches: u32,
}

/// What an instance has gathered of its zone. Every instance gathers, so that each can become the
/// relay at once.
#[derive(Clone, Debug, Default)]
pub struct ZoneAggregator {
    /// Use of the customers' quotas by the zone since this instance's start.
    totals: FxHashMap<u32, u64>,
    /// What each instance told last.
    told_totals: FxHashMap<(u64, u32), u64>,
    /// Adapters that were used since the last beat, by engine.
    touched: FxHashSet<(u32, u32)>,
    /// Revisions of the engines that were told.
    told_engines: FxHashMap<u32, u64>,
    beats: u64,
}

impl ZoneAggregator {
    /// Takes the use of quotas and adapters by an instance of the zone.
    pub fn record_usage(
        &mut self,
        instance: u64,
        quotas: &[fleet::CustomerUsage],
        uses: &[fleet::AdapterUsage],
    ) {
        for used in quotas {
            let told = self.told_totals.insert((instance, used.customer), used.total);
            // A total may fall when a request did not run.
            let delta = used.total.wrapping_sub(told.unwrap_or(used.total));
            let total = self.totals.entry(used.customer).or_default();
            *total = total.wrapping_add(delta);
        }
        let ended = uses.iter().filter(|used| used.running == 0);
        self.touched.extend(ended.map(|used| (used.upstream, used.adapter)));
    }

    /// Forgets what is only told once by the zone's relay, while another instance is the relay.
    pub fn reset(&mut self) {
        self.touched.clear();
        self.told_engines.clear();
        self.beats = 0;
    }

    /// Builds the next beat of the relay.
    pub fn build(
        &mut self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        own: RelayState<'_>,
    ) -> fleet::ZoneHeartbeat {
        let sums = view.zone_sums(now, own.zone);
        let has_members = self.beats.is_multiple_of(MEMBERS_EVERY);
        let has_all_engines = self.beats.is_multiple_of(ENGINES_EVERY);
        self.beats += 1;
        let members = has_members.then(|| self.members(now, view, &own));
        let engines = self.engines(now, view, &own, has_all_engines);
        let adapter_usage = self.adapter_usage(sums.adapter_usage);
        let digests = sums.digests.into_iter().chain([own.digests]).filter(is_recent).collect();
        let pace = view.fetch_limiter();
        fleet::ZoneHeartbeat {
            sender: own.member.id,
            zone: own.zone.to_owned(),
            sequence: own.sequence,
            interval_ms: u32::try_from(own.interval.as_millis()).unwrap_or(u32::MAX),
            is_forwarded: false,
            members,
            digests,
            fetching: u16::try_from(sums.fetching + own.fetching).unwrap_or(u16::MAX),
            queued_fetches: u16::try_from(sums.queued_fetches + own.queued_fetches)
                .unwrap_or(u16::MAX),
            fetch_limit_tenths: pace.limit_tenths(),
            fetch_ms: u16::try_from(pace.fetch_time().as_millis()).unwrap_or(u16::MAX),
            work: sums.work,
            adapter_usage,
            engines,
            quota_usage: self
                .totals
                .iter()
                .map(|(customer, total)| fleet::CustomerUsage {
                    customer: *customer,
                    total: *total,
                })
                .collect(),
        }
    }

    fn members(
        &mut self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        own: &RelayState<'_>,
    ) -> Vec<fleet::ZoneMember> {
        let mut members = view.zone_members(now, own.zone);
        let zones::OwnMember { id, capacity, address } = own.member;
        members.push(fleet::ZoneMember { id, address, capacity });
        let known: FxHashSet<u64> = members.iter().map(|member| member.id).collect();
        self.told_totals.retain(|(instance, _), _| known.contains(instance));
        members
    }

    fn engines(
        &mut self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        own: &RelayState<'_>,
        has_all: bool,
    ) -> Vec<fleet::ZoneEngine> {
        if has_all {
            self.told_engines.clear();
        }
        let engines = view.zone_engines(now, own.zone, own.member.id).into_iter();
        let told = &mut self.told_engines;
        let changed = engines.filter(|(revision, engine)| {
            told.insert(engine.engine.upstream, *revision) != Some(*revision)
        });
        changed.map(|(_, engine)| engine).collect()
    }

    /// Adds the adapters whose requests have ended to those in use.
    fn adapter_usage(&mut self, in_use: Vec<fleet::AdapterUsage>) -> Vec<fleet::AdapterUsage> {
        for used in &in_use {
            self.touched.remove(&(used.upstream, used.adapter));
        }
        let ended = self.touched.drain();
        let ended =
            ended.map(|(upstream, adapter)| fleet::AdapterUsage { upstream, adapter, running: 0 });
        in_use.into_iter().chain(ended).collect()
    }
}

fn is_recent(reading: &fleet::MemberDigests) -> bool {
    reading.operator.age_ms.min(reading.upstreams.age_ms) <= MAX_READING_AGE_MS
}

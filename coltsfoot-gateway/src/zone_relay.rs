//! Builds the heartbeats that the relay of an availability zone sends to the other zones.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::fleet_view;
use crate::fleet_view::zones;

/// Number of heartbeats of a relay between two lists of all instances of its zone.
const HEARTBEATS_PER_MEMBER_LIST: u64 = 4;
/// Number of heartbeats of a relay between two reports of all engines of its zone.
const HEARTBEATS_PER_FULL_REPORT: u64 = 8;
/// Age up to which a topic digest is sent: older ones belong to instances that do not poll the
/// store.
const MAX_DIGEST_AGE_MS: u32 = 3_000;

/// State of an instance that it sends as the relay of its zone.
#[derive(Clone, Debug)]
pub struct RelayState<'a> {
    /// The instance.
    pub member: zones::OwnMember,
    /// Its availability zone.
    pub zone: &'a str,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Time until the next heartbeat.
    pub interval: time::Duration,
    /// Its topic digests.
    pub digests: fleet::MemberDigests,
    /// Fetches in progress at the engines that it owns.
    pub fetching: u32,
    /// Queued fetches at the engines that it owns.
    pub queued_fetches: u32,
}

/// Aggregates the usage reported by the instances of a zone. Every instance does so, so that each
/// can become the relay at once.
#[derive(Clone, Debug, Default)]
pub struct ZoneAggregator {
    /// Quota usage of the zone since this instance started, by customer number.
    totals: FxHashMap<u32, u64>,
    /// Last total that each instance reported, by incarnation and customer number.
    reported_totals: FxHashMap<(u64, u32), u64>,
    /// Adapters whose requests ended since the last heartbeat, by engine.
    ended_adapters: FxHashSet<(u32, fleet::AdapterId)>,
    /// Revision of each engine that was sent last.
    sent_revisions: FxHashMap<u32, u64>,
    heartbeats_sent: u64,
}

impl ZoneAggregator {
    /// Records the quota and adapter usage that an instance of the zone reported.
    pub fn record_usage(
        &mut self,
        instance: u64,
        quota_usage: &[fleet::CustomerUsage],
        adapter_usage: &[fleet::AdapterUsage],
    ) {
        for used in quota_usage {
            let previous = self.reported_totals.insert((instance, used.customer), used.total);
            // A total may decrease when a request turns out not to have run.
            let delta = used.total.wrapping_sub(previous.unwrap_or(used.total));
            let total = self.totals.entry(used.customer).or_default();
            *total = total.wrapping_add(delta);
        }
        let ended = adapter_usage.iter().filter(|used| used.running == 0);
        self.ended_adapters.extend(ended.map(|used| (used.upstream, used.adapter)));
    }

    /// Drops what the relay sends only once; called while another instance is the relay.
    pub fn reset(&mut self) {
        self.ended_adapters.clear();
        self.sent_revisions.clear();
        self.heartbeats_sent = 0;
    }

    /// Builds the next heartbeat of the relay.
    pub fn build(
        &mut self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        own: RelayState<'_>,
    ) -> fleet::ZoneHeartbeat {
        let totals = view.zone_totals(now, own.zone);
        let has_members = self.heartbeats_sent.is_multiple_of(HEARTBEATS_PER_MEMBER_LIST);
        let has_all_engines = self.heartbeats_sent.is_multiple_of(HEARTBEATS_PER_FULL_REPORT);
        self.heartbeats_sent += 1;
        let members = has_members.then(|| self.members(now, view, &own));
        let engines = self.engines(now, view, &own, has_all_engines);
        let adapter_usage = self.adapter_usage(totals.adapter_usage);
        let digests = totals.digests.into_iter().chain([own.digests]).filter(is_recent).collect();
        let limiter = view.fetch_limiter();
        fleet::ZoneHeartbeat {
            sender: own.member.id,
            zone: own.zone.to_owned(),
            sequence: own.sequence,
            interval_ms: u32::try_from(own.interval.as_millis()).unwrap_or(u32::MAX),
            is_forwarded: false,
            members,
            digests,
            fetching: u16::try_from(totals.fetching + own.fetching).unwrap_or(u16::MAX),
            queued_fetches: u16::try_from(totals.queued_fetches + own.queued_fetches)
                .unwrap_or(u16::MAX),
            fetch_limit_tenths: limiter.limit_tenths(),
            fetch_ms: limiter.message_fetch_ms(),
            work: totals.work,
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
        self.reported_totals.retain(|(instance, _), _| known.contains(instance));
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
            self.sent_revisions.clear();
        }
        let engines = view.zone_engines(now, own.zone, own.member.id).into_iter();
        let sent = &mut self.sent_revisions;
        let changed = engines.filter(|(revision, engine)| {
            sent.insert(engine.engine.upstream, *revision) != Some(*revision)
        });
        changed.map(|(_, engine)| engine).collect()
    }

    /// Appends the adapters whose requests have ended to those in use.
    fn adapter_usage(&mut self, in_use: Vec<fleet::AdapterUsage>) -> Vec<fleet::AdapterUsage> {
        for used in &in_use {
            self.ended_adapters.remove(&(used.upstream, used.adapter));
        }
        let ended = self.ended_adapters.drain();
        let ended =
            ended.map(|(upstream, adapter)| fleet::AdapterUsage { upstream, adapter, running: 0 });
        in_use.into_iter().chain(ended).collect()
    }
}

fn is_recent(digests: &fleet::MemberDigests) -> bool {
    digests.operator.age_ms.min(digests.upstreams.age_ms) <= MAX_DIGEST_AGE_MS
}

//! Cold upstreams, and how often something may be sent to an upstream.

use std::net;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashSet;

use crate::{cold_table, send_permits, upstream_slot};

use super::FleetView;

impl FleetView {
    /// Returns which upstreams are cold.
    pub fn cold(&self) -> &cold_table::ColdTable {
        &self.cold
    }

    /// Returns which upstreams are cold, to record changes.
    pub fn cold_mut(&mut self) -> &mut cold_table::ColdTable {
        &mut self.cold
    }

    /// Records the number of other instances that are registered in the store.
    pub fn record_registered(&mut self, now: clock::MonotonicTime, others: usize) {
        self.members.record_registered(now, others);
    }

    /// Returns whether an upstream is cold, or may be.
    pub fn is_cold(&self, now: clock::MonotonicTime, slot: &upstream_slot::UpstreamSlot) -> bool {
        self.cold.is_cold(now, slot.number)
    }

    /// Treats the upstreams of an availability zone as cold until their entries or responses say otherwise: nothing
    /// was sent to them for a while.
    pub fn suspect_zone(&mut self, now: clock::MonotonicTime, zone: &str) {
        for slot in self.upstreams.values().filter(|slot| &*slot.entry.zone == zone) {
            if let Some(rule) = self.cold.rule(&slot.entry.service) {
                self.cold.suspect(now, slot.number, rule.duration);
            }
        }
    }

    /// Returns how often all instances together may send to an upstream: the strictest of the limit that it named
    /// and the one that holds while it is cold.
    pub fn send_limit(
        &self,
        now: clock::MonotonicTime,
        number: u32,
    ) -> Option<send_permits::SendLimit> {
        let named = self.limits.limit(now, number).map(send_permits::SendLimit::from);
        strictest(named, self.cold_limit(now, number))
    }

    /// Returns the limit within which this instance issues permits for an upstream. While the upstream is cold, this
    /// instance issues the share that equals the share of reachable instances among all that may run, so that parts
    /// of a partitioned fleet do not exceed the limit together.
    pub fn permit_limit(
        &self,
        now: clock::MonotonicTime,
        number: u32,
    ) -> Option<send_permits::SendLimit> {
        let named = self.permit_rate(now, number).map(send_permits::SendLimit::from);
        let cold = self.cold_limit(now, number).map(|limit| limit.share(self.live_share(now)));
        strictest(named, cold)
    }

    /// Returns the mean time between permits for an upstream that is cold; zero for others.
    pub fn permit_interval(
        &self,
        now: clock::MonotonicTime,
        slot: &upstream_slot::UpstreamSlot,
    ) -> time::Duration {
        let limit = self.cold.limit(now, Some(&slot.entry.service), slot.number);
        let interval = limit.map_or(0.0, |limit| 1.0 / limit.per_s);
        time::Duration::try_from_secs_f64(interval).unwrap_or(time::Duration::MAX)
    }

    fn cold_limit(
        &self,
        now: clock::MonotonicTime,
        number: u32,
    ) -> Option<send_permits::SendLimit> {
        let id = self.numbers.get(&number);
        let slot = id.and_then(|id| self.upstreams.get(id));
        self.cold.limit(now, slot.map(|slot| &*slot.entry.service), number)
    }

    fn live_share(&self, now: clock::MonotonicTime) -> f64 {
        // An instance that has started again is known by its former incarnation as well.
        let known: FxHashSet<net::SocketAddr> =
            self.peers.values().map(|peer| peer.address).collect();
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        let live: FxHashSet<net::SocketAddr> = live.map(|peer| peer.address).collect();
        (live.len() + 1) as f64 / (self.members.count(now, &known) + 1) as f64
    }
}

fn strictest(
    one: Option<send_permits::SendLimit>,
    other: Option<send_permits::SendLimit>,
) -> Option<send_permits::SendLimit> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.strictest(other)),
        (one, other) => one.or(other),
    }
}

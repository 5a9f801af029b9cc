//! The other instances: addresses, liveness and reported state.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::{fleet, once};
use smallvec::SmallVec;

use crate::{heartbeat_plan, order_lease, peer_slot, reader_selection, rendezvous, upstream_slot};

use super::{FleetView, MAX_LOST_HEARTBEATS};

/// Number of upstreams of a zone with failed connections at which the zone is suspected to be
/// unreachable.
const SUSPECT_FAILURES: usize = 2;
/// Time without heartbeats from any instance of a zone after which it is suspected to be
/// unreachable.
const ZONE_SILENCE: time::Duration = time::Duration::from_millis(600);

/// Instances that collect the crash notices of a request; more than one, since messages get lost
/// and instances stop.
const COLLECTORS: usize = 3;

/// Zones that are probably unreachable.
pub type SuspectZones<'a> = SmallVec<[&'a str; 4]>;

impl FleetView {
    /// Returns whether the owner of an engine is this instance or one that sent a heartbeat
    /// recently.
    pub fn is_owner_live(
        &self,
        now: clock::MonotonicTime,
        slot: &upstream_slot::UpstreamSlot,
    ) -> bool {
        let Some(owner) = slot.residency.owner else { return true };
        self.peers.get(&owner).is_some_and(|peer| peer.is_live(now))
    }

    /// Plans the heartbeats to the instances that are known, listed in the store, or known to
    /// others of the zone, since all must agree on whether a relay is needed.
    pub fn heartbeat_plan(&self, zone: &str) -> heartbeat_plan::HeartbeatPlan {
        let same_zone: SmallVec<[_; 32]> =
            self.peers.values().filter(|peer| &*peer.zone == zone).collect();
        let reported = same_zone.iter().map(|peer| peer.cross_zone_peers).max().unwrap_or(0);
        let cross_zone = self.cross_zone_peers(zone).max(reported);
        heartbeat_plan::HeartbeatPlan::new(same_zone.len().max(self.same_zone_listed), cross_zone)
    }

    /// Returns how many instances of zones other than `zone` are known from messages or from the
    /// store.
    pub fn cross_zone_peers(&self, zone: &str) -> usize {
        let cross_zone = self.peers.values().filter(|peer| &*peer.zone != zone).count();
        cross_zone.max(self.cross_zone_listed)
    }

    /// Sets how many other instances the store lists, in the instance's own zone and in other
    /// zones.
    pub fn set_listed_peers(&mut self, same_zone: usize, cross_zone: usize) {
        (self.same_zone_listed, self.cross_zone_listed) = (same_zone, cross_zone);
    }

    /// Returns the other instances by incarnation, in no particular order.
    pub fn peers(&self) -> impl Iterator<Item = (u64, &peer_slot::PeerSlot)> {
        self.peers.iter().map(|(id, peer)| (*id, peer))
    }

    /// Returns the earlier incarnations of an instance, by its address.
    pub fn former_incarnations(&self, present: u64, address: std::net::SocketAddr) -> Vec<u64> {
        let same =
            self.peers.iter().filter(|(id, peer)| **id != present && peer.address == address);
        same.map(|(id, _)| *id).collect()
    }

    /// Returns the addresses at which the other instances receive messages.
    pub fn peer_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns the addresses of the instances that collect a request's crash notices, without
    /// `own`.
    pub fn crash_collectors(
        &self,
        own: u64,
        digest: &once::RequestDigest,
    ) -> SmallVec<[std::net::SocketAddr; COLLECTORS]> {
        let own = (own, None);
        let others = self.peers.iter().map(|(id, peer)| (*id, Some(peer.address)));
        let mut all: Vec<_> = others.chain([own]).collect();
        all.sort_by_key(|(id, _)| std::cmp::Reverse(rendezvous::weight(digest.number(), *id)));
        all.into_iter().take(COLLECTORS).filter_map(|(_, address)| address).collect()
    }

    /// Returns whether the instance `own` is among those that collect what is told of a number's subject.
    pub fn is_collector(&self, own: u64, number: u64) -> bool {
        let own_weight = rendezvous::weight(number, own);
        let before = self.peers.keys().filter(|id| rendezvous::weight(number, **id) > own_weight);
        before.count() < COLLECTORS
    }

    /// Returns the addresses at which the other instances of a zone receive messages.
    pub fn zone_addresses(&self, zone: &str) -> Vec<std::net::SocketAddr> {
        let same_zone = self.peers.values().filter(|peer| &*peer.zone == zone);
        same_zone.map(|peer| peer.address).collect()
    }

    /// Returns what the other instances reported of a topic.
    pub fn topic_digests(
        &self,
        topic: impl Fn(&peer_slot::PeerSlot) -> fleet::TopicDigest,
    ) -> Vec<reader_selection::PeerDigest> {
        let peers = self.peers.iter().filter(|(_, peer)| !peer.is_draining);
        peers
            .map(|(id, peer)| {
                let reading = topic(peer);
                let read_age = time::Duration::from_millis(u64::from(reading.age_ms));
                let digest = reading.digest;
                let (received, interval) = (peer.last_seen, peer.interval);
                reader_selection::PeerDigest { id: *id, received, interval, read_age, digest }
            })
            .collect()
    }

    /// Returns the lease status of the other instances of a zone.
    pub fn peer_leases(&self, zone: &str) -> Vec<order_lease::PeerLease> {
        let same_zone = self.peers.values().filter(|peer| &*peer.zone == zone);
        same_zone.map(|peer| peer.lease.clone()).collect()
    }

    /// Returns the zones that are probably unreachable: their known instances are all silent, or
    /// connections to several of their upstreams failed.
    pub fn suspect_zones(&self, now: clock::MonotonicTime) -> SuspectZones<'_> {
        let mut zones: SmallVec<[(&str, bool, usize); 8]> = SmallVec::new();
        let mut note = |zone, is_live, failures| match zones.iter_mut().find(|z| z.0 == zone) {
            Some(known) => {
                known.1 |= is_live;
                known.2 += failures;
            }
            None => zones.push((zone, is_live, failures)),
        };
        for peer in self.peers.values() {
            let longest = match self.zones.get(&peer.zone) {
                Some(relayed) => ZONE_SILENCE.max(relayed.interval * MAX_LOST_HEARTBEATS),
                None => ZONE_SILENCE,
            };
            note(&*peer.zone, now.since(peer.last_seen) <= longest, 0);
        }
        let is_known = |zone: &str| self.peers.values().any(|peer| &*peer.zone == zone);
        for slot in self.upstreams.values().filter(|slot| slot.is_avoided(now)) {
            note(&*slot.entry.zone, !is_known(&slot.entry.zone), 1);
        }
        let suspects = zones
            .into_iter()
            .filter(|(_, is_live, failures)| !is_live || *failures >= SUSPECT_FAILURES);
        suspects.map(|(zone, ..)| zone).collect()
    }

    /// Returns another instance by its incarnation.
    pub fn peer(&self, id: u64) -> Option<&peer_slot::PeerSlot> {
        self.peers.get(&id)
    }
}

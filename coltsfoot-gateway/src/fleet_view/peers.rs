//! The other instances: where they are, when they were heard, what they told.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::{fleet, once};
use smallvec::SmallVec;

use crate::{heartbeat_plan, order_lease, peer_slot, reader_selection, rendezvous, upstream_slot};

use super::{BEATS_TO_LOSE, FleetView};

/// Upstreams of a zone to which connections failed, from which on the zone is suspected.
const SUSPECT_FAILURES: usize = 2;
/// Time without beats from a whole zone after which it is suspected to be cut off.
const ZONE_SILENCE: time::Duration = time::Duration::from_millis(600);

/// Instances that gather what is known of a request's crashes, so that one of them hears of each
/// although messages are lost and instances end.
const COLLECTORS: usize = 3;

/// Zones that are probably cut off.
pub type SuspectZones<'a> = SmallVec<[&'a str; 4]>;

impl FleetView {
    /// Returns whether the owner of an engine is this instance or was heard from lately.
    pub fn is_owner_heard(
        &self,
        now: clock::MonotonicTime,
        slot: &upstream_slot::UpstreamSlot,
    ) -> bool {
        let Some(owner) = slot.residency.owner else { return true };
        self.peers.get(&owner).is_some_and(|peer| peer.is_heard(now))
    }

    /// Plans the beats to the instances that are known, found in the store, or known to others of the
    /// zone: all must agree on whether a relay is needed.
    pub fn heartbeat_plan(&self, zone: &str) -> heartbeat_plan::HeartbeatPlan {
        let near: SmallVec<[_; 32]> =
            self.peers.values().filter(|peer| &*peer.zone == zone).collect();
        let told = near.iter().map(|peer| peer.cross_zone_peers).max().unwrap_or(0);
        let far = self.cross_zone_peers(zone).max(told);
        heartbeat_plan::HeartbeatPlan::new(near.len().max(self.found_near), far)
    }

    /// Returns how many instances of other zones than its own an instance has heard or found in the store.
    pub fn cross_zone_peers(&self, zone: &str) -> usize {
        let far = self.peers.values().filter(|peer| &*peer.zone != zone).count();
        far.max(self.found_far)
    }

    /// Notes how many other instances of its own zone and of others an instance found in the store.
    pub fn set_listed_peers(&mut self, near: usize, far: usize) {
        (self.found_near, self.found_far) = (near, far);
    }

    /// Returns the other instances.
    pub fn peers(&self) -> impl Iterator<Item = (u64, &peer_slot::PeerSlot)> {
        self.peers.iter().map(|(id, peer)| (*id, peer))
    }

    /// Returns where the other instances receive messages.
    pub fn peer_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns the instances that gather what is known of a request's crashes, but for the asking one.
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

    /// Returns where the other instances of a zone receive messages.
    pub fn zone_addresses(&self, zone: &str) -> Vec<std::net::SocketAddr> {
        let near = self.peers.values().filter(|peer| &*peer.zone == zone);
        near.map(|peer| peer.address).collect()
    }

    /// Returns what the other instances told of a topic.
    pub fn topic_digests(
        &self,
        topic: impl Fn(&peer_slot::PeerSlot) -> fleet::TopicDigest,
    ) -> Vec<reader_selection::PeerDigest> {
        let peers = self.peers.iter().filter(|(_, peer)| !peer.is_leaving);
        peers
            .map(|(id, peer)| {
                let reading = topic(peer);
                let read_age = time::Duration::from_millis(u64::from(reading.age_ms));
                let digest = reading.digest;
                let (heard, interval) = (peer.heard, peer.interval);
                reader_selection::PeerDigest { id: *id, heard, interval, read_age, digest }
            })
            .collect()
    }

    /// Returns what the other instances of a zone told of their leases.
    pub fn witnesses(&self, zone: &str) -> Vec<order_lease::PeerLease> {
        let near = self.peers.values().filter(|peer| &*peer.zone == zone);
        near.map(|peer| peer.witness.clone()).collect()
    }

    /// Returns the zones that are probably cut off: none of their instances was heard from lately
    /// although some are known, or connections to several of their upstreams failed.
    pub fn suspect_zones(&self, now: clock::MonotonicTime) -> SuspectZones<'_> {
        let mut zones: SmallVec<[(&str, bool, usize); 8]> = SmallVec::new();
        let mut note = |zone, is_heard, failures| match zones.iter_mut().find(|z| z.0 == zone) {
            Some(known) => {
                known.1 |= is_heard;
                known.2 += failures;
            }
            None => zones.push((zone, is_heard, failures)),
        };
        for peer in self.peers.values() {
            let longest = match self.zones.get(&peer.zone) {
                Some(relayed) => ZONE_SILENCE.max(relayed.interval * BEATS_TO_LOSE),
                None => ZONE_SILENCE,
            };
            note(&*peer.zone, now.since(peer.heard) <= longest, 0);
        }
        let is_known = |zone: &str| self.peers.values().any(|peer| &*peer.zone == zone);
        for slot in self.upstreams.values().filter(|slot| slot.is_avoided(now)) {
            note(&*slot.entry.zone, !is_known(&slot.entry.zone), 1);
        }
        let suspects = zones
            .into_iter()
            .filter(|(_, is_heard, failures)| !is_heard || *failures >= SUSPECT_FAILURES);
        suspects.map(|(zone, ..)| zone).collect()
    }

    /// Returns another instance.
    pub fn peer(&self, id: u64) -> Option<&peer_slot::PeerSlot> {
        self.peers.get(&id)
    }
}

//! Paths to the upstreams: which this instance has lost, and which other instances reach them.

use std::net;
use std::sync;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use smallvec::SmallVec;

use crate::path_table::{PathFailure, ProbeCandidate, UpstreamPath};
use crate::{peer_slot, upstream_slot};

use super::FleetView;

/// Instances that reach an upstream, by their addresses.
pub type CarrierList = SmallVec<[net::SocketAddr; 8]>;

impl FleetView {
    /// Returns how this instance reaches an upstream.
    pub fn path_to(&self, slot: &upstream_slot::UpstreamSlot) -> UpstreamPath {
        self.paths.path(&slot.entry.service, slot.number)
    }

    /// Records that an upstream accepted a connection of this instance or sent something on one. Returns
    /// whether it was lost.
    pub fn record_contact(&mut self, now: clock::MonotonicTime, id: &str) -> bool {
        if self.paths.is_whole() {
            return false;
        }
        let Some(slot) = self.upstreams.get(id) else { return false };
        if let Some(since) = self.paths.lost_since(&slot.entry.service, slot.number) {
            // It may have become cold meanwhile.
            self.cold.regained(now, &slot.entry.service, slot.number, since);
        }
        self.paths.record_contact(now, &slot.entry.service, slot.number)
    }

    /// Records that an upstream accepted no connection. Returns whether it was reached before.
    pub fn record_path_failure(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        failure: PathFailure,
    ) -> bool {
        let Some(slot) = self.upstreams.get(id) else { return false };
        self.paths.record_failure(now, &slot.entry.service, slot.number, failure)
    }

    /// Returns the ids and addresses of the upstreams to probe now, and notes that they are. To be called several
    /// times a second.
    pub fn start_probes(
        &mut self,
        now: clock::MonotonicTime,
    ) -> Vec<(sync::Arc<str>, net::SocketAddr)> {
        let is_calm =
            self.paths.is_whole() && !self.upstreams.values().any(|slot| slot.is_silent(now));
        if is_calm {
            return Vec::new();
        }
        let candidates: Vec<_> = self
            .upstreams
            .values()
            .map(|slot| ProbeCandidate {
                service: sync::Arc::clone(&slot.entry.service),
                number: slot.number,
                is_silent: slot.is_silent(now),
            })
            .collect();
        let probes = self.paths.start_probes(now, &candidates);
        let unreached = self.unreached();
        let carried = unreached.into_iter();
        self.carried =
            carried.filter(|number| self.able_peers(now, *number).next().is_some()).collect();
        let ids = probes.iter().filter_map(|number| self.numbers.get(number));
        let slots = ids.filter_map(|id| self.upstreams.get(id));
        slots.map(|slot| (sync::Arc::clone(&slot.entry.id), slot.entry.address)).collect()
    }

    /// Returns the numbers of the upstreams that this instance does not reach itself.
    pub fn unreached(&self) -> Vec<u32> {
        if self.paths.is_whole() {
            return Vec::new();
        }
        let slots = self.upstreams.values();
        let lost = slots.filter(|slot| self.path_to(slot) != UpstreamPath::Direct);
        lost.map(|slot| slot.number).collect()
    }

    /// Applies what another instance does not reach.
    pub fn apply_unreached(
        &mut self,
        now: clock::MonotonicTime,
        unreached: &fleet::UnreachedUpstreams,
    ) {
        if let Some(peer) = self.peers.get_mut(&unreached.sender) {
            peer.unreached = unreached.upstreams.iter().copied().collect();
            peer.unreached_at = now;
        }
    }

    /// Returns the instances that probably reach an upstream: of this instance's zone, and of other zones.
    pub fn carriers(
        &self,
        now: clock::MonotonicTime,
        number: u32,
        zone: &str,
    ) -> (CarrierList, CarrierList) {
        let able = self.able_peers(now, number);
        let (same_zone, cross_zone): (Vec<_>, Vec<_>) = able.partition(|peer| &*peer.zone == zone);
        let addresses =
            |peers: Vec<&peer_slot::PeerSlot>| peers.into_iter().map(|peer| peer.address).collect();
        (addresses(same_zone), addresses(cross_zone))
    }

    /// Returns whether another instance probably reaches an upstream that this one does not, as of the last call
    /// of [`Self::start_probes`].
    pub fn has_carrier(&self, number: u32) -> bool {
        self.carried.contains(&number)
    }

    fn able_peers(
        &self,
        now: clock::MonotonicTime,
        number: u32,
    ) -> impl Iterator<Item = &peer_slot::PeerSlot> {
        let peers = self.peers.values();
        peers
            .filter(move |peer| !peer.is_draining && peer.is_live(now) && peer.reaches(now, number))
    }
}

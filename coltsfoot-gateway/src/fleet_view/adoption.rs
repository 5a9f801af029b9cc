//! Zones with engines and without an instance, whose engines instances of other zones own meanwhile.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use smallvec::SmallVec;

use crate::{rendezvous, upstream_slot};

use super::{FleetView, MAX_LOST_HEARTBEATS, zones};

/// Time without heartbeats from any instance of a zone after which others own its engines. Longer than a
/// restart of an instance, which keeps its engines.
const ABSENCE_TIME: time::Duration = time::Duration::from_secs(3);
/// Engines of a zone without an instance for each instance that shares them.
const ENGINES_PER_ADOPTER: usize = 8;
/// Fewest instances that share the engines of a zone without one, as one of them may fail.
const MIN_ADOPTERS: usize = 2;

impl FleetView {
    /// Sets the zones without instances whose engines this instance seeks to own.
    pub fn set_adopted(&mut self, zones: impl IntoIterator<Item = sync::Arc<str>>) {
        self.adopted = zones.into_iter().collect();
    }

    /// Returns whether the owner of an engine is an instance of a zone, which need not be the engine's own one.
    pub(super) fn is_owned_from(&self, zone: &str, slot: &upstream_slot::UpstreamSlot) -> bool {
        let is_same_zone = *slot.entry.zone == *zone;
        match slot.residency.owner.map(|owner| self.peers.get(&owner)) {
            Some(Some(owner)) => &*owner.zone == zone,
            Some(None) => is_same_zone,
            None => is_same_zone || self.adopted.contains(&slot.entry.zone),
        }
    }

    /// Returns the zones that have engines of `is_engine` services and no instance, and whose engines are to be
    /// owned by `own`, an instance of another zone, among others.
    pub fn zones_to_adopt(
        &self,
        now: clock::MonotonicTime,
        own: zones::OwnMember,
        own_zone: &str,
        is_engine: impl Fn(&str) -> bool,
    ) -> SmallVec<[sync::Arc<str>; 2]> {
        let mut engines: SmallVec<[(&sync::Arc<str>, usize); 8]> = SmallVec::new();
        for slot in self.upstreams.values().filter(|slot| is_engine(&slot.entry.service)) {
            match engines.iter_mut().find(|(zone, _)| **zone == slot.entry.zone) {
                Some((_, count)) => *count += 1,
                None => engines.push((&slot.entry.zone, 1)),
            }
        }
        let absent = engines.into_iter().filter(|(zone, _)| {
            ***zone != *own_zone
                && !self.has_instance(now, zone)
                && !self.evacuations.is_evacuated(zone)
        });
        let adopted = absent.filter(|(zone, engines)| {
            let adopters = engines.div_ceil(ENGINES_PER_ADOPTER).max(MIN_ADOPTERS);
            self.is_adopter(now, own, zone, adopters)
        });
        adopted.map(|(zone, _)| sync::Arc::clone(zone)).collect()
    }

    /// Returns whether an instance of a zone was heard recently.
    fn has_instance(&self, now: clock::MonotonicTime, zone: &str) -> bool {
        let mut same_zone = self.peers.values().filter(|peer| &*peer.zone == zone);
        same_zone.any(|peer| {
            now.since(peer.last_seen) < ABSENCE_TIME.max(peer.interval * MAX_LOST_HEARTBEATS)
        })
    }

    /// Returns whether `own` is among the first `count` live instances in the zone's rendezvous order.
    fn is_adopter(
        &self,
        now: clock::MonotonicTime,
        own: zones::OwnMember,
        zone: &str,
        count: usize,
    ) -> bool {
        let key = rendezvous::hash_of(&("adopted", zone));
        let own_weight = rendezvous::weight(key, own.id);
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now) && !peer.is_draining);
        live.filter(|(id, _)| rendezvous::weight(key, **id) > own_weight).count() < count
    }
}

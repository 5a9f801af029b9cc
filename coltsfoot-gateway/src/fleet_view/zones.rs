//! Availability zones whose state comes from one of their instances, the relay: the zone's
//! instances and the totals of their requests in flight.

use std::net;
use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{peer_slot, rendezvous, upstream_slot};

use super::{FleetView, MAX_LOST_HEARTBEATS};

/// Time without heartbeats from a relay after which another instance of its zone takes over.
const RELAY_SILENCE: time::Duration = time::Duration::from_millis(600);
/// Time without heartbeats of a relay after which its zone counts as not relayed.
const RELAYED_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// Heartbeats that a relay may miss before another instance is accepted as relay of its zone.
const MAX_LOST_RELAY_HEARTBEATS: u32 = 2;
/// Time for which one of a zone's listed instances is tried before the next one.
const CONTACT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// An instance as listed in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Address at which it receives messages.
    pub address: net::SocketAddr,
    /// Its availability zone; empty if not listed.
    pub zone: sync::Arc<str>,
}

/// State of another zone's relay.
#[derive(Clone, Debug)]
pub(super) struct RelayedZone {
    relay: u64,
    sequence: u64,
    last_seen: clock::MonotonicTime,
    pub(super) interval: time::Duration,
    pub(super) fetching: u32,
    pub(super) queued_fetches: u32,
}

/// Result of applying a zone heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneUpdate {
    /// Whether the heartbeat was accepted: not stale and not from a second relay.
    pub is_applied: bool,
    /// Incarnations of instances and relays whose quota usage the relay's totals replace.
    pub replaced: Vec<u64>,
}

/// What ranks an instance among those of its zone.
#[derive(Clone, Copy, Debug)]
pub struct OwnMember {
    /// Incarnation.
    pub id: u64,
    /// CPU share, in thousandths of a core.
    pub capacity: u16,
    /// Address at which it receives messages.
    pub address: net::SocketAddr,
}

/// Totals over the instances of a zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTotals {
    /// Requests in flight at each upstream.
    pub work: Vec<fleet::UpstreamWork>,
    /// Requests in flight on each adapter.
    pub adapter_usage: Vec<fleet::AdapterUsage>,
    /// Topic digests of the other instances.
    pub digests: Vec<fleet::MemberDigests>,
    /// Fetches in progress at the engines of the other instances.
    pub fetching: u32,
    /// Queued fetches at the engines of the other instances.
    pub queued_fetches: u32,
}

/// Returns the key that stands for a zone where incarnations of instances are the keys.
fn zone_key(zone: &str) -> u64 {
    rendezvous::hash_of(&("zone", zone))
}

impl FleetView {
    /// Returns whether the state of another zone comes from a relay now.
    pub fn is_zone_relayed(&self, now: clock::MonotonicTime, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|known| now.since(known.last_seen) < RELAYED_LIFETIME)
    }

    /// Returns whether `own` is the relay of its zone: the live instance with the largest CPU
    /// share, ties broken by rendezvous hashing.
    pub fn is_relay(&self, now: clock::MonotonicTime, zone: &str, own: OwnMember) -> bool {
        let rank = |capacity: u16, id: u64| (capacity, rendezvous::weight(zone_key(zone), id));
        let own_rank = rank(own.capacity, own.id);
        let mut same_zone = self.peers.iter().filter(|(_, peer)| &*peer.zone == zone);
        !same_zone.any(|(id, peer)| {
            let is_live = now.since(peer.last_seen) < RELAY_SILENCE.max(peer.interval * 2);
            is_live && !peer.is_draining && rank(peer.capacity, *id) > own_rank
        })
    }

    /// Returns the address of one instance of each other zone, for a relay's heartbeats: the likely
    /// relay there, or, if the zone is silent as after a partition, the instances listed in the
    /// store in turn.
    pub fn zone_contacts(
        &self,
        now: clock::MonotonicTime,
        zone: &str,
        listed: &[ListedInstance],
    ) -> Vec<net::SocketAddr> {
        let mut best: FxHashMap<&str, ((u16, u64), net::SocketAddr)> = FxHashMap::default();
        for (id, peer) in &self.peers {
            if &*peer.zone == zone || !peer.is_live(now) {
                continue;
            }
            let weight = rendezvous::weight(zone_key(&peer.zone), *id);
            let candidate = ((peer.capacity, weight), peer.address);
            let known = best.entry(&peer.zone).or_insert(candidate);
            if candidate.0 > known.0 {
                *known = candidate;
            }
        }
        let mut silent_zones: FxHashMap<&str, Vec<net::SocketAddr>> = FxHashMap::default();
        for other in listed {
            let is_other_zone = !other.zone.is_empty() && &*other.zone != zone;
            if is_other_zone && !best.contains_key(&*other.zone) {
                silent_zones.entry(&other.zone).or_default().push(other.address);
            }
        }
        let turn = (now.0 / CONTACT_INTERVAL.as_micros() as u64) as usize;
        let tried = silent_zones.into_values().map(|addresses| addresses[turn % addresses.len()]);
        best.into_values().map(|(_, address)| address).chain(tried).collect()
    }

    /// Returns the live instances of a zone without this one.
    pub fn zone_members(&self, now: clock::MonotonicTime, zone: &str) -> Vec<fleet::ZoneMember> {
        let same_zone = self.peers.iter().filter(|(_, peer)| {
            &*peer.zone == zone && now.since(peer.last_seen) < super::PEER_LIFETIME / 4
        });
        same_zone
            .map(|(id, peer)| fleet::ZoneMember {
                id: *id,
                address: peer.address,
                capacity: peer.capacity,
            })
            .collect()
    }

    /// Returns the totals over a zone's instances, including this one.
    pub fn zone_totals(&self, now: clock::MonotonicTime, zone: &str) -> ZoneTotals {
        let same_zone: FxHashMap<u64, &peer_slot::PeerSlot> = self
            .peers
            .iter()
            .filter(|(_, peer)| &*peer.zone == zone)
            .map(|(id, peer)| (*id, peer))
            .collect();
        let mut totals = ZoneTotals::default();
        for slot in self.upstreams.values() {
            slot.sum_work(now, |id| same_zone.contains_key(&id), &mut totals);
        }
        for (id, peer) in same_zone {
            totals.fetching += peer.fetching;
            totals.queued_fetches += peer.queued_fetches;
            let age = u32::try_from(now.since(peer.last_seen).as_millis()).unwrap_or(u32::MAX);
            let aged = |digest: fleet::TopicDigest| fleet::TopicDigest {
                age_ms: digest.age_ms.saturating_add(age),
                ..digest
            };
            let (operator, upstreams) = (aged(peer.operator), aged(peer.upstreams));
            totals.digests.push(fleet::MemberDigests { instance: id, operator, upstreams });
        }
        totals
    }

    /// Returns the reported engines that instances of a zone own, each with its revision; `own` is this
    /// instance's incarnation.
    pub fn zone_engines(
        &self,
        now: clock::MonotonicTime,
        zone: &str,
        own: u64,
    ) -> Vec<(u64, fleet::ZoneEngine)> {
        let slots = self.upstreams.values().filter(|slot| {
            let residency = &slot.residency;
            let is_reported = residency.reported_at.is_some() && residency.fence > 0;
            is_reported && self.is_owned_from(zone, slot)
        });
        slots
            .map(|slot| {
                let owner = slot.residency.owner.unwrap_or(own);
                (slot.revision, fleet::ZoneEngine { owner, engine: slot.reported_engine(now) })
            })
            .collect()
    }

    /// Applies the heartbeat of another zone's relay.
    pub fn apply_zone_heartbeat(
        &mut self,
        now: clock::MonotonicTime,
        heartbeat: &fleet::ZoneHeartbeat,
    ) -> ZoneUpdate {
        let interval = time::Duration::from_millis(u64::from(heartbeat.interval_ms));
        let known = self.zones.get(heartbeat.zone.as_str());
        let is_rejected = known.is_some_and(|known| match known.relay == heartbeat.sender {
            true => heartbeat.sequence <= known.sequence,
            // Accept one relay at a time: the first totals of each relay are only a starting point,
            // so alternating between two would lose quota usage.
            false => now.since(known.last_seen) < known.interval * MAX_LOST_RELAY_HEARTBEATS,
        });
        if is_rejected {
            return ZoneUpdate::default();
        }
        let mut replaced = Vec::new();
        match known {
            Some(known) if known.relay == heartbeat.sender => {}
            Some(known) => replaced.push(known.relay),
            None => replaced.extend(self.drop_direct(&heartbeat.zone)),
        }
        let zone = RelayedZone {
            relay: heartbeat.sender,
            sequence: heartbeat.sequence,
            last_seen: now,
            interval,
            fetching: u32::from(heartbeat.fetching),
            queued_fetches: u32::from(heartbeat.queued_fetches),
        };
        self.zones.insert(heartbeat.zone.as_str().into(), zone);
        let fetch_time = time::Duration::from_millis(u64::from(heartbeat.fetch_ms));
        self.fetch_limiter.merge_peer(heartbeat.fetch_limit_tenths, fetch_time);
        self.apply_members(now, heartbeat);
        let expiry = now + upstream_slot::HEARTBEAT_LIFETIME.max(interval * MAX_LOST_HEARTBEATS);
        self.put_work(zone_key(&heartbeat.zone), expiry, &heartbeat.work, &heartbeat.adapter_usage);
        for reported in &heartbeat.engines {
            if let Some(slot) = self.slot_mut(reported.engine.upstream) {
                slot.apply_residency(now, Some(reported.owner), &reported.engine);
            }
        }
        ZoneUpdate { is_applied: true, replaced }
    }

    /// Drops the state that instances of a zone sent themselves; returns their incarnations.
    fn drop_direct(&mut self, zone: &str) -> Vec<u64> {
        let direct = self.peers.iter_mut().filter(|(_, peer)| &*peer.zone == zone);
        let ids: FxHashSet<u64> = direct
            .map(|(id, peer)| {
                (peer.fetching, peer.queued_fetches) = (0, 0);
                *id
            })
            .collect();
        for slot in self.upstreams.values_mut() {
            slot.remote.retain(|id, _| !ids.contains(id));
            slot.remote_uses.retain(|id, _| !ids.contains(id));
        }
        ids.into_iter().collect()
    }

    fn apply_members(&mut self, now: clock::MonotonicTime, heartbeat: &fleet::ZoneHeartbeat) {
        let zone: sync::Arc<str> = heartbeat.zone.as_str().into();
        // A heartbeat takes two hops: the relay and the forwarding instance.
        let interval = time::Duration::from_millis(u64::from(heartbeat.interval_ms)) * 2;
        if let Some(members) = &heartbeat.members {
            for peer in self.peers.values_mut().filter(|peer| peer.zone == zone) {
                peer.is_listed = false;
            }
            for member in members {
                let peer = self.peers.entry(member.id);
                let peer = peer.or_insert_with(|| peer_slot::PeerSlot::listed(now, member, &zone));
                peer.is_listed = true;
                peer.capacity = member.capacity;
            }
        }
        for (id, peer) in &mut self.peers {
            if peer.zone != zone || !peer.is_listed {
                continue;
            }
            (peer.last_seen, peer.interval) = (now, interval);
            let digests = heartbeat.digests.iter().find(|digests| digests.instance == *id);
            (peer.operator, peer.upstreams) = match digests {
                Some(digests) => (digests.operator, digests.upstreams),
                None => (peer_slot::NO_DIGEST, peer_slot::NO_DIGEST),
            };
        }
    }
}

impl upstream_slot::UpstreamSlot {
    /// Adds the requests of this instance and of those selected by `is_same_zone` to the totals.
    fn sum_work(
        &self,
        now: clock::MonotonicTime,
        is_same_zone: impl Fn(u64) -> bool,
        totals: &mut ZoneTotals,
    ) {
        let same_zone =
            self.remote.iter().filter(|(id, (_, expiry))| now < *expiry && is_same_zone(**id));
        let work = same_zone.fold(self.local, |sum, (_, (work, _))| sum.plus(*work));
        if work.running > 0 {
            totals.work.push(fleet::UpstreamWork {
                upstream: self.number,
                running: u16::try_from(work.running).unwrap_or(u16::MAX),
                prefill_tokens: u32::try_from(work.prefill_tokens).unwrap_or(u32::MAX),
            });
        }
        let mut uses: FxHashMap<fleet::AdapterId, u32> = FxHashMap::default();
        for (key, running) in &self.adapters_in_use {
            *uses.entry(self.usage_id(*key)).or_default() += *running;
        }
        let remote_uses = self.remote_uses.iter();
        for (_, (counts, _)) in
            remote_uses.filter(|(id, (_, expiry))| now < *expiry && is_same_zone(**id))
        {
            for (key, running) in counts {
                *uses.entry(self.usage_id(*key)).or_default() += u32::from(*running);
            }
        }
        totals.adapter_usage.extend(uses.into_iter().map(|(adapter, running)| {
            fleet::AdapterUsage {
                upstream: self.number,
                adapter,
                running: u16::try_from(running).unwrap_or(u16::MAX),
            }
        }));
    }

    /// Returns the engine as its owner reported it.
    fn reported_engine(&self, now: clock::MonotonicTime) -> fleet::OwnedEngine {
        let residency = &self.residency;
        let held = residency.adapters.iter();
        let pending = residency.pending.iter();
        fleet::OwnedEngine {
            upstream: self.number,
            fence: residency.fence,
            has_model: residency.has_model,
            takes_orders: residency.takes_orders,
            available_slots: residency.available_slots,
            adapters: held
                .map(|(key, version)| fleet::ResidentAdapter { adapter: key.0, version: *version })
                .collect(),
            pending: pending
                .map(|(key, ready)| {
                    let wait = ready.since(now).as_millis();
                    let ready_in_ms = u16::try_from(wait).unwrap_or(u16::MAX);
                    fleet::PendingAdapter { adapter: key.0, ready_in_ms }
                })
                .collect(),
        }
    }
}

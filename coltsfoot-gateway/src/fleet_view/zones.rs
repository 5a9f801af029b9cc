//! Availability zones that one of their instances, the relay, tells the others of: who their instances
//! are, and sums of what these have under way.

use std::net;
use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{demand, peer_slot, rendezvous, upstream_slot};

use super::{BEATS_TO_LOSE, FleetView};

/// Time without beats from an instance after which another one becomes the relay of its zone.
const RELAY_SILENCE: time::Duration = time::Duration::from_millis(600);
/// Time without beats of a relay after which its zone counts as not relayed.
const RELAYED_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// Beats that a relay may miss before another instance's word is taken for that of its zone.
const RELAY_BEATS: u32 = 2;
/// Time after which the next one of a zone's listed instances is tried.
const CONTACT_TURN: time::Duration = time::Duration::from_millis(500);

/// An instance as the store lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Where it receives messages.
    pub address: net::SocketAddr,
    /// Its availability zone; empty if the list does not tell.
    pub zone: sync::Arc<str>,
}

/// What is known of the relay of another zone.
#[derive(Clone, Debug)]
pub(super) struct RelayedZone {
    relay: u64,
    sequence: u64,
    heard: clock::MonotonicTime,
    pub(super) interval: time::Duration,
    pub(super) fetching: u32,
    pub(super) queued_fetches: u32,
}

/// What a beat of a relay changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneUpdate {
    /// Whether it was news at all.
    pub is_applied: bool,
    /// Instances and relays whose own word of quotas is replaced by the relay's.
    pub replaced: Vec<u64>,
}

/// An instance's own place among those of its zone.
#[derive(Clone, Copy, Debug)]
pub struct OwnMember {
    /// Incarnation.
    pub id: u64,
    /// Share of a processor, in thousandths.
    pub capacity: u16,
    /// Where it receives messages.
    pub address: net::SocketAddr,
}

/// Sums over the instances of a zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTotals {
    /// Work under way.
    pub work: Vec<fleet::UpstreamWork>,
    /// Adapters in use.
    pub adapter_usage: Vec<fleet::AdapterUsage>,
    /// What the other instances know of the store that read it.
    pub digests: Vec<fleet::MemberDigests>,
    /// Fetches under way and to come at the engines of the other instances.
    pub fetching: u32,
    /// Fetches to come.
    pub queued_fetches: u32,
}

/// Returns the key under which the sums of a zone are kept among those of instances.
fn zone_key(zone: &str) -> u64 {
    rendezvous::hash_of(&("zone", zone))
}

impl FleetView {
    /// Returns whether a relay tells of another zone.
    pub fn is_zone_relayed(&self, now: clock::MonotonicTime, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|known| now.since(known.heard) < RELAYED_LIFETIME)
    }

    /// Returns whether `own` is the relay of its zone: the largest of the instances heard lately.
    pub fn is_relay(&self, now: clock::MonotonicTime, zone: &str, own: OwnMember) -> bool {
        let rank = |capacity: u16, id: u64| (capacity, rendezvous::weight(zone_key(zone), id));
        let own_rank = rank(own.capacity, own.id);
        let mut near = self.peers.iter().filter(|(_, peer)| &*peer.zone == zone);
        !near.any(|(id, peer)| {
            let is_heard = now.since(peer.heard) < RELAY_SILENCE.max(peer.interval * 2);
            is_heard && !peer.is_leaving && rank(peer.capacity, *id) > own_rank
        })
    }

    /// Returns whom a relay tells in each other zone: the one that would be its relay there, or where
    /// nobody was heard lately, as after a partition, any of those that the store lists.
    pub fn zone_contacts(
        &self,
        now: clock::MonotonicTime,
        zone: &str,
        listed: &[ListedInstance],
    ) -> Vec<net::SocketAddr> {
        let mut best: FxHashMap<&str, ((u16, u64), net::SocketAddr)> = FxHashMap::default();
        for (id, peer) in &self.peers {
            if &*peer.zone == zone || !peer.is_heard(now) {
                continue;
            }
            let weight = rendezvous::weight(zone_key(&peer.zone), *id);
            let candidate = ((peer.capacity, weight), peer.address);
            let known = best.entry(&peer.zone).or_insert(candidate);
            if candidate.0 > known.0 {
                *known = candidate;
            }
        }
        let mut unheard: FxHashMap<&str, Vec<net::SocketAddr>> = FxHashMap::default();
        for other in listed {
            let is_far = !other.zone.is_empty() && &*other.zone != zone;
            if is_far && !best.contains_key(&*other.zone) {
                unheard.entry(&other.zone).or_default().push(other.address);
            }
        }
        let turn = (now.0 / CONTACT_TURN.as_micros() as u64) as usize;
        let tried = unheard.into_values().map(|addresses| addresses[turn % addresses.len()]);
        best.into_values().map(|(_, address)| address).chain(tried).collect()
    }

    /// Returns the instances of a zone, without this one.
    pub fn zone_members(&self, now: clock::MonotonicTime, zone: &str) -> Vec<fleet::ZoneMember> {
        let near = self.peers.iter().filter(|(_, peer)| {
            &*peer.zone == zone && now.since(peer.heard) < super::PEER_LIFETIME / 4
        });
        near.map(|(id, peer)| fleet::ZoneMember {
            id: *id,
            address: peer.address,
            capacity: peer.capacity,
        })
        .collect()
    }

    /// Returns the sums over a zone's instances, with this one.
    pub fn zone_sums(&self, now: clock::MonotonicTime, zone: &str) -> ZoneTotals {
        let near: FxHashMap<u64, &peer_slot::PeerSlot> = self
            .peers
            .iter()
            .filter(|(_, peer)| &*peer.zone == zone)
            .map(|(id, peer)| (*id, peer))
            .collect();
        let mut sums = ZoneTotals::default();
        for slot in self.upstreams.values() {
            slot.sum_work(now, |id| near.contains_key(&id), &mut sums);
        }
        for (id, peer) in near {
            sums.fetching += peer.fetching;
            sums.queued_fetches += peer.queued_fetches;
            let age = u32::try_from(now.since(peer.heard).as_millis()).unwrap_or(u32::MAX);
            let aged = |reading: fleet::TopicDigest| fleet::TopicDigest {
                age_ms: reading.age_ms.saturating_add(age),
                ..reading
            };
            let (operator, upstreams) = (aged(peer.operator), aged(peer.upstreams));
            sums.digests.push(fleet::MemberDigests { instance: id, operator, upstreams });
        }
        sums
    }

    /// Returns what owners told of the engines of a zone, with the revision of each.
    pub fn zone_engines(
        &self,
        now: clock::MonotonicTime,
        zone: &str,
        own: u64,
    ) -> Vec<(u64, fleet::ZoneEngine)> {
        let slots = self.upstreams.values().filter(|slot| {
            let residency = &slot.residency;
            let is_told = residency.heard.is_some() && residency.fence > 0;
            &*slot.entry.zone == zone && is_told
        });
        slots
            .map(|slot| {
                let owner = slot.residency.owner.unwrap_or(own);
                (slot.revision, fleet::ZoneEngine { owner, engine: slot.told_engine(now) })
            })
            .collect()
    }

    /// Takes the sums of another zone.
    pub fn apply_zone_heartbeat(
        &mut self,
        now: clock::MonotonicTime,
        beat: &fleet::ZoneHeartbeat,
    ) -> ZoneUpdate {
        let interval = time::Duration::from_millis(u64::from(beat.interval_ms));
        let known = self.zones.get(beat.zone.as_str());
        let is_refused = known.is_some_and(|known| match known.relay == beat.sender {
            true => beat.sequence <= known.sequence,
            // One relay at a time, so that quotas are not counted from two first words by turns.
            false => now.since(known.heard) < known.interval * RELAY_BEATS,
        });
        if is_refused {
            return ZoneUpdate::default();
        }
        let mut replaced = Vec::new();
        match known {
            Some(known) if known.relay == beat.sender => {}
            Some(known) => replaced.push(known.relay),
            None => replaced.extend(self.forget_direct(&beat.zone)),
        }
        let zone = RelayedZone {
            relay: beat.sender,
            sequence: beat.sequence,
            heard: now,
            interval,
            fetching: u32::from(beat.fetching),
            queued_fetches: u32::from(beat.queued_fetches),
        };
        self.zones.insert(beat.zone.as_str().into(), zone);
        let fetch_time = time::Duration::from_millis(u64::from(beat.fetch_ms));
        self.fetch_limiter.merge_peer(beat.fetch_limit_tenths, fetch_time);
        self.take_members(now, beat);
        let expiry = now + upstream_slot::HEARTBEAT_LIFETIME.max(interval * BEATS_TO_LOSE);
        self.put_work(zone_key(&beat.zone), expiry, &beat.work, &beat.adapter_usage);
        for told in &beat.engines {
            if let Some(slot) = self.slot_mut(told.engine.upstream) {
                slot.take_residency(now, Some(told.owner), &told.engine);
            }
        }
        ZoneUpdate { is_applied: true, replaced }
    }

    /// Forgets what instances of a zone told themselves; returns their incarnations.
    fn forget_direct(&mut self, zone: &str) -> Vec<u64> {
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

    fn take_members(&mut self, now: clock::MonotonicTime, beat: &fleet::ZoneHeartbeat) {
        let zone: sync::Arc<str> = beat.zone.as_str().into();
        // Beats come over two hops.
        let interval = time::Duration::from_millis(u64::from(beat.interval_ms)) * 2;
        if let Some(members) = &beat.members {
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
            (peer.heard, peer.interval) = (now, interval);
            let reading = beat.digests.iter().find(|reading| reading.instance == *id);
            (peer.operator, peer.upstreams) = match reading {
                Some(reading) => (reading.operator, reading.upstreams),
                None => (peer_slot::UNREAD, peer_slot::UNREAD),
            };
        }
    }
}

impl upstream_slot::UpstreamSlot {
    /// Adds the work of this instance and of those that `is_near` names to the sums.
    fn sum_work(
        &self,
        now: clock::MonotonicTime,
        is_near: impl Fn(u64) -> bool,
        sums: &mut ZoneTotals,
    ) {
        let near = self.remote.iter().filter(|(id, (_, expiry))| now < *expiry && is_near(**id));
        let work = near.fold(self.local, |sum, (_, (work, _))| sum.plus(*work));
        if work.running > 0 {
            sums.work.push(fleet::UpstreamWork {
                upstream: self.number,
                running: u16::try_from(work.running).unwrap_or(u16::MAX),
                prefill_tokens: u32::try_from(work.prefill_tokens).unwrap_or(u32::MAX),
            });
        }
        let mut uses: FxHashMap<demand::AdapterKey, u32> = self.adapters_in_use.clone();
        let near = self.remote_uses.iter();
        for (_, (counts, _)) in near.filter(|(id, (_, expiry))| now < *expiry && is_near(**id)) {
            for (key, running) in counts {
                *uses.entry(*key).or_default() += u32::from(*running);
            }
        }
        sums.adapter_usage.extend(uses.into_iter().map(|(key, running)| fleet::AdapterUsage {
            upstream: self.number,
            adapter: key.0,
            running: u16::try_from(running).unwrap_or(u16::MAX),
        }));
    }

    /// Returns what its owner told of the engine.
    fn told_engine(&self, now: clock::MonotonicTime) -> fleet::OwnedEngine {
        let residency = &self.residency;
        let held = residency.adapters.iter();
        let coming = residency.pending.iter();
        fleet::OwnedEngine {
            upstream: self.number,
            fence: residency.fence,
            has_model: residency.has_model,
            takes_orders: residency.takes_orders,
            available_slots: residency.available_slots,
            adapters: held
                .map(|(key, version)| fleet::ResidentAdapter { adapter: key.0, version: *version })
                .collect(),
            pending: coming
                .map(|(key, ready)| {
                    let wait = ready.since(now).as_millis();
                    let ready_in_ms = u16::try_from(wait).unwrap_or(u16::MAX);
                    fleet::PendingAdapter { adapter: key.0, ready_in_ms }
                })
                .collect(),
        }
    }
}

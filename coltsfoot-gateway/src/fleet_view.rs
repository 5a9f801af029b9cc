//! An instance's view of the fleet: upstreams, other instances, and the requests of all instances
//! in flight at each upstream.

pub mod adoption;
pub mod brittle;
pub mod cold;
pub mod estimates;
pub mod evacuations;
pub mod paths;
pub mod peers;
pub mod permit_issuers;
pub mod zones;

use std::collections::hash_map;
use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

use crate::{
    availability_table, brittle_table, cold_table, demand, engine_controller, engine_estimate,
    engine_order, evacuation_table, fetch_limiter, limit_table, member_memory, path_table,
    peer_slot, rendezvous, upstream, upstream_slot, version_history,
};

/// Heartbeats of an instance that may be lost before its state counts as stale.
pub(crate) const MAX_LOST_HEARTBEATS: u32 = 3;
/// Heartbeats within which an owner must have reported its engines, even if some were lost.
const MAX_HEARTBEATS_WITHOUT_ENGINES: u32 = 10;
/// Time without heartbeats after which no requests are sent to an instance: four heartbeats.
pub(crate) const PEER_SILENCE: time::Duration = time::Duration::from_millis(600);
/// Time without heartbeats after which an instance is removed.
pub const PEER_LIFETIME: time::Duration = time::Duration::from_secs(12);
/// Time for which an upstream is avoided after a failed connection.
const CONNECT_PENALTY: time::Duration = time::Duration::from_millis(1500);
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Upstreams, other instances, and adapter versions, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    upstreams: FxHashMap<sync::Arc<str>, upstream_slot::UpstreamSlot>,
    peers: FxHashMap<u64, peer_slot::PeerSlot>,
    versions: FxHashMap<demand::AdapterKey, version_history::VersionHistory>,
    /// Ids of upstreams by the number that messages use.
    numbers: FxHashMap<u32, sync::Arc<str>>,
    /// Other zones whose state comes from a relay.
    zones: FxHashMap<sync::Arc<str>, zones::RelayedZone>,
    availability: availability_table::AvailabilityTable,
    limits: limit_table::LimitTable,
    paths: path_table::PathTable,
    /// Upstreams that this instance does not reach and another one probably does, by number.
    carried: FxHashSet<u32>,
    brittle: brittle_table::BrittleTable,
    evacuations: evacuation_table::EvacuationTable,
    cold: cold_table::ColdTable,
    /// Zones without instances whose engines this instance seeks to own.
    adopted: SmallVec<[sync::Arc<str>; 2]>,
    /// Instances that are not heard any more and may run behind a partition.
    members: member_memory::MemberMemory,
    /// Services whose responses state the pace of their upstreams.
    service_estimates: FxHashMap<sync::Arc<str>, engine_estimate::ServiceEstimate>,
    fetch_limiter: fetch_limiter::FetchLimiter,
    /// Adapter fetches queued or in progress at the engines of this instance.
    own_backlog: u32,
    /// Other instances listed in the store, of the same zone and of other zones.
    same_zone_listed: usize,
    cross_zone_listed: usize,
}

/// Returns the number that stands for a customer in messages.
pub fn customer_number(name: &str) -> u32 {
    rendezvous::hash_of(&name) as u32
}

impl FleetView {
    /// Adds or updates an upstream. Returns whether it is a new incarnation.
    pub fn put_upstream(&mut self, entry: upstream::UpstreamEntry) -> bool {
        match self.upstreams.get_mut(&entry.id) {
            Some(slot) if slot.entry.is_same_incarnation(&entry) => {
                slot.entry = entry;
                false
            }
            _ => {
                let id = sync::Arc::clone(&entry.id);
                self.remove_upstream(&id);
                let slot = upstream_slot::UpstreamSlot::new(entry);
                self.numbers.insert(slot.number, sync::Arc::clone(&id));
                self.upstreams.insert(id, slot);
                true
            }
        }
    }

    /// Removes an upstream and returns its entry.
    pub fn remove_upstream(&mut self, id: &str) -> Option<upstream::UpstreamEntry> {
        let slot = self.upstreams.remove(id)?;
        self.numbers.remove(&slot.number);
        Some(slot.entry)
    }

    /// Returns the upstream with this number.
    fn slot_mut(&mut self, number: u32) -> Option<&mut upstream_slot::UpstreamSlot> {
        let id = self.numbers.get(&number)?;
        self.upstreams.get_mut(id)
    }

    /// Returns the state of an upstream by its id.
    pub fn upstream(&self, id: &str) -> Option<&upstream_slot::UpstreamSlot> {
        self.upstreams.get(id)
    }

    /// Returns the id of the upstream whose incarnation has this number.
    pub fn upstream_id(&self, number: u32) -> Option<&sync::Arc<str>> {
        self.numbers.get(&number)
    }

    /// Returns the mutable state of an upstream by its id.
    pub fn upstream_mut(&mut self, id: &str) -> Option<&mut upstream_slot::UpstreamSlot> {
        self.upstreams.get_mut(id)
    }

    /// Returns the ids of the engines whose owner has reported nothing for `longest`, or for more
    /// if the owner's heartbeats are infrequent.
    pub fn stale_engines(
        &self,
        now: clock::MonotonicTime,
        longest: time::Duration,
    ) -> Vec<sync::Arc<str>> {
        let stale = self.upstreams.values().filter(|slot| {
            let owner = slot.residency.owner.and_then(|owner| self.peers.get(&owner));
            let interval = owner.map_or(time::Duration::ZERO, |owner| owner.interval);
            let longest = longest.max(interval * MAX_HEARTBEATS_WITHOUT_ENGINES);
            let reported_at = slot.residency.reported_at;
            reported_at.is_none_or(|reported_at| now.since(reported_at) >= longest)
        });
        stale.map(|slot| sync::Arc::clone(&slot.entry.id)).collect()
    }

    /// Returns all upstreams, in no particular order.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream_slot::UpstreamSlot> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that accept requests now.
    pub fn ready_upstreams<'a>(
        &'a self,
        now: clock::MonotonicTime,
        service: &'a str,
    ) -> impl Iterator<Item = &'a upstream_slot::UpstreamSlot> {
        let listed = self.listed_upstreams(service);
        listed.filter(move |slot| {
            self.availability.status(now, slot.number)
                == availability_table::UpstreamAvailability::Available
        })
    }

    /// Returns an upstream to which a request may be sent now, or the reason code why none may. What
    /// was chosen may have left while an adapter was loaded or a permit awaited.
    pub fn sendable_upstream(
        &self,
        now: clock::MonotonicTime,
        id: &str,
    ) -> Result<&upstream_slot::UpstreamSlot, &'static str> {
        let slot = self.upstream(id).ok_or("upstream_gone")?;
        if slot.entry.state == upstream::UpstreamState::Draining {
            return Err("upstream_draining");
        }
        if self.is_zone_closed(now, slot) {
            return Err("zone_evacuated");
        }
        match self.availability.status(now, slot.number) {
            availability_table::UpstreamAvailability::Available => Ok(slot),
            _ => Err("upstream_closed"),
        }
    }

    /// Returns the upstreams of a service whose entries say that they are ready.
    fn listed_upstreams<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a upstream_slot::UpstreamSlot> {
        self.upstreams.values().filter(move |slot| {
            &*slot.entry.service == service && slot.entry.state == upstream::UpstreamState::Ready
        })
    }

    /// Returns the versions of software of all listed upstreams.
    pub fn builds(&self) -> impl Iterator<Item = upstream::BuildKey> {
        self.upstreams.values().map(|slot| slot.build)
    }

    /// Returns whether an upstream of a service has this version and accepts requests, now or later.
    pub fn is_build_ready(&self, service: &str, build: upstream::BuildKey) -> bool {
        self.listed_upstreams(service).any(|slot| slot.build == build)
    }

    /// Returns when the first upstream of a service becomes available; `None` if one is available
    /// now or all are draining or in zones to which nothing may be sent.
    pub fn next_available(
        &self,
        now: clock::MonotonicTime,
        service: &str,
    ) -> Option<clock::MonotonicTime> {
        let mut first: Option<clock::MonotonicTime> = None;
        let listed = self.listed_upstreams(service);
        for slot in listed.filter(|slot| !self.is_zone_closed(now, slot)) {
            match self.availability.status(now, slot.number) {
                availability_table::UpstreamAvailability::Available => return None,
                availability_table::UpstreamAvailability::Draining => {}
                availability_table::UpstreamAvailability::UnavailableUntil(until) => {
                    first = Some(first.map_or(until, |first| first.min(until)));
                }
            }
        }
        first
    }

    /// Returns which upstreams are draining or backing off.
    pub fn availability(&self) -> &availability_table::AvailabilityTable {
        &self.availability
    }

    /// Returns the availability of upstreams, to record changes.
    pub fn availability_mut(&mut self) -> &mut availability_table::AvailabilityTable {
        &mut self.availability
    }

    /// Returns the rate limits that upstreams announced.
    pub fn limits(&self) -> &limit_table::LimitTable {
        &self.limits
    }

    /// Returns the rate limits of upstreams, to record changes.
    pub fn limits_mut(&mut self) -> &mut limit_table::LimitTable {
        &mut self.limits
    }

    /// Records a configured adapter version. `learned` is when this instance learned of it; `None` if it was in
    /// force before the instance started. Returns whether it is newer than the known one.
    pub fn record_version(
        &mut self,
        now: clock::MonotonicTime,
        name: &demand::AdapterName,
        version: u64,
        learned: Option<clock::MonotonicTime>,
    ) -> bool {
        match self.versions.entry(name.key()) {
            hash_map::Entry::Occupied(mut known) => known.get_mut().record(now, version, learned),
            hash_map::Entry::Vacant(unknown) => {
                unknown.insert(version_history::VersionHistory::new(version, learned));
                true
            }
        }
    }

    /// Returns the newest configured version of an adapter.
    pub fn newest_version(&self, key: demand::AdapterKey) -> Option<u64> {
        self.versions.get(&key).map(version_history::VersionHistory::newest)
    }

    /// Returns whether an engine has an adapter in a version that requests may run on.
    pub fn has_usable_adapter(
        &self,
        now: clock::MonotonicTime,
        slot: &upstream_slot::UpstreamSlot,
        key: demand::AdapterKey,
    ) -> bool {
        let Some(held) = key.find(&slot.residency.adapters) else { return false };
        self.versions.get(&key).is_none_or(|versions| versions.is_usable(now, *held))
    }

    /// Records a request that is sent to an upstream; returns the prompt tokens to prefill there.
    pub fn request_sent(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        demand: Option<&demand::PromptDemand>,
    ) -> u64 {
        let Some(slot) = self.upstreams.get_mut(id) else { return 0 };
        self.availability.sent(now, slot.number);
        if slot.local.running == 0 {
            slot.last_seen = now;
        }
        slot.local.running += 1;
        let Some(demand) = demand else { return 0 };
        let prefill_tokens = demand.prompt_tokens.saturating_sub(slot.cached_tokens(demand));
        slot.local.prefill_tokens += u64::from(prefill_tokens);
        slot.record_cached_parts(now, demand);
        if let Some(adapter) = &demand.adapter {
            let key = adapter.key();
            *slot.adapters_in_use.entry(key).or_default() += 1;
            slot.adapters_touched.insert(key);
        }
        u64::from(prefill_tokens)
    }

    /// Records that this instance requests an adapter at an engine.
    pub fn load_requested(&mut self, now: clock::MonotonicTime, id: &str, key: demand::AdapterKey) {
        let fetch_time = self.fetch_load(self.fetch_backlog()).expected_time();
        if let Some(slot) = self.upstreams.get_mut(id) {
            let is_warm = slot.is_warm(key);
            let wait = if is_warm { engine_controller::WARM_LOAD } else { fetch_time };
            slot.requested.entry(key).or_insert(now + wait);
        }
    }

    /// Records the end of a load request.
    pub fn load_ended(&mut self, id: &str, key: demand::AdapterKey) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.requested.remove(&key);
        }
    }

    /// Returns how many requests run on an adapter at all engines that hold it.
    pub fn adapter_running(&self, now: clock::MonotonicTime, key: demand::AdapterKey) -> u32 {
        let slots = self.upstreams.values();
        let holders = slots.filter(|slot| key.find(&slot.residency.adapters).is_some());
        holders.map(|slot| slot.running_on(now, key)).sum()
    }

    /// Records that `prefill_tokens` of a prompt were prefilled, or that its request ended before.
    pub fn prefill_finished(&mut self, id: &str, prefill_tokens: u64) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.local.prefill_tokens = slot.local.prefill_tokens.saturating_sub(prefill_tokens);
        }
    }

    /// Records the end of a request.
    pub fn request_ended(&mut self, id: &str, adapter: Option<demand::AdapterKey>) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        slot.local.running = slot.local.running.saturating_sub(1);
        let Some(key) = adapter else { return };
        if let Some(count) = slot.adapters_in_use.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                slot.adapters_in_use.remove(&key);
            }
        }
    }

    /// Records that an upstream sent something.
    pub fn record_activity(&mut self, now: clock::MonotonicTime, id: &str) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.last_seen = now;
        }
    }

    /// Records whether a request failed at an upstream, for its failure rate at this and other instances.
    pub fn record_outcome(&mut self, now: clock::MonotonicTime, id: &str, has_failed: bool) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        slot.estimate.record_outcome(now, has_failed);
        self.record_own_outcome(now, id, has_failed);
    }

    /// Records whether a request failed at an upstream, for its failure rate at this instance.
    fn record_own_outcome(&mut self, now: clock::MonotonicTime, id: &str, has_failed: bool) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        let newest = if has_failed { 1.0 } else { 0.0 };
        let rate = slot.own_failure_rate(now);
        slot.failure_rate = rate + (newest - rate) * FAILURE_WEIGHT;
        slot.failure_updated = now;
    }

    /// Records that no connection to an upstream could be made, which may be this instance's path alone.
    pub fn connect_failed(&mut self, now: clock::MonotonicTime, id: &str) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.avoid_until = now + CONNECT_PENALTY;
        }
        self.record_own_outcome(now, id, true);
    }

    /// Records that a request found an adapter missing on an engine.
    pub fn adapter_missing(&mut self, id: &str, key: demand::AdapterKey) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.residency.adapters.remove(&key);
            slot.residency.adapters.remove(&demand::AdapterKey(key.0.without_digest()));
        }
    }

    /// Applies the heartbeat of another instance. Returns whether the instance is new.
    pub fn apply_heartbeat(
        &mut self,
        now: clock::MonotonicTime,
        heartbeat: &fleet::FleetHeartbeat,
    ) -> bool {
        let is_new = !self.peers.contains_key(&heartbeat.sender);
        let peer = self.peers.entry(heartbeat.sender);
        if !peer
            .or_insert_with(|| peer_slot::PeerSlot::new(now, heartbeat))
            .apply_heartbeat(now, heartbeat)
        {
            return false;
        }
        let fetch_time = time::Duration::from_millis(u64::from(heartbeat.fetch_ms));
        self.fetch_limiter.merge_peer(heartbeat.fetch_limit_tenths, fetch_time);
        if self.is_zone_relayed(now, &heartbeat.zone) {
            // The totals of its zone include its fetches and requests.
            if let Some(peer) = self.peers.get_mut(&heartbeat.sender) {
                (peer.fetching, peer.queued_fetches) = (0, 0);
            }
        } else {
            let interval = time::Duration::from_millis(u64::from(heartbeat.interval_ms));
            let expiry =
                now + upstream_slot::HEARTBEAT_LIFETIME.max(interval * MAX_LOST_HEARTBEATS);
            self.put_work(heartbeat.sender, expiry, &heartbeat.work, &heartbeat.adapter_usage);
        }
        for engine in heartbeat.engines.iter().flatten() {
            if let Some(slot) = self.slot_mut(engine.upstream) {
                slot.apply_residency(now, Some(heartbeat.sender), engine);
            }
        }
        is_new
    }

    /// Replaces the requests in flight of an instance or a zone.
    fn put_work(
        &mut self,
        source: u64,
        expiry: clock::MonotonicTime,
        work: &[fleet::UpstreamWork],
        adapter_usage: &[fleet::AdapterUsage],
    ) {
        for slot in self.upstreams.values_mut() {
            slot.remote.remove(&source);
            slot.remote_uses.remove(&source);
        }
        for work in work {
            if let Some(slot) = self.slot_mut(work.upstream) {
                let running = u32::from(work.running);
                let prefill_tokens = u64::from(work.prefill_tokens);
                let load = upstream_slot::WorkLoad { running, prefill_tokens };
                slot.remote.insert(source, (load, expiry));
            }
        }
        for used in adapter_usage.iter().filter(|used| used.running > 0) {
            if let Some(slot) = self.slot_mut(used.upstream) {
                let entry = slot.remote_uses.entry(source);
                let (counts, _) = entry.or_insert_with(|| (Vec::new(), expiry));
                counts.push((demand::AdapterKey(used.adapter), used.running));
            }
        }
    }

    /// Applies an owner's report of one engine, unless the owner is unknown or has sent newer
    /// state.
    pub fn apply_engine_change(&mut self, now: clock::MonotonicTime, change: &fleet::EngineChange) {
        let Some(peer) = self.peers.get_mut(&change.sender) else { return };
        if !peer.record_sequence(change.sequence) {
            return;
        }
        if let Some(slot) = self.slot_mut(change.engine.upstream) {
            slot.apply_residency(now, Some(change.sender), &change.engine);
        }
    }

    /// Applies the state of an engine that this instance owns.
    pub fn apply_own_engine(&mut self, now: clock::MonotonicTime, engine: &fleet::OwnedEngine) {
        if let Some(slot) = self.slot_mut(engine.upstream) {
            slot.apply_residency(now, None, engine);
        }
    }

    /// Removes silent instances and zones, and expired requests in flight.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        for (_, peer) in self.peers.extract_if(|_, peer| now.since(peer.last_seen) >= PEER_LIFETIME)
        {
            if !peer.is_draining {
                self.members.record_lost(now, peer.address);
            }
        }
        let is_relayed = |zone: &str| self.is_zone_relayed(now, zone);
        let silent: Vec<_> = self.zones.keys().filter(|zone| !is_relayed(zone)).cloned().collect();
        for zone in silent {
            self.zones.remove(&zone);
        }
        for slot in self.upstreams.values_mut() {
            slot.remote.retain(|_, (_, expiry)| now < *expiry);
            slot.remote_uses.retain(|_, (_, expiry)| now < *expiry);
            slot.requested.retain(|_, ready| now < *ready + upstream_slot::HEARTBEAT_LIFETIME);
        }
    }

    /// Returns a digest of the known upstreams, the same at all instances that know the same ones.
    pub fn upstream_digest(&self) -> u64 {
        let digests = self.upstreams.values().map(|slot| slot.entry.digest());
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns a digest of the configured adapter versions.
    pub fn version_digest(&self) -> u64 {
        let versions = self.versions.iter();
        let digests =
            versions.map(|(key, named)| rendezvous::hash_of(&(key.0.number, named.newest())));
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns how many adapters the engines of the other instances are fetching from the weight
    /// store.
    pub fn fetching(&self) -> u32 {
        let zones: u32 = self.zones.values().map(|zone| zone.fetching).sum();
        zones + self.peers.values().map(|peer| peer.fetching).sum::<u32>()
    }

    /// Returns the load of the weight store at this number of fetches.
    pub fn fetch_load(&self, fetches: u32) -> engine_order::FetchLoad {
        self.fetch_limiter.load(fetches)
    }

    /// Returns the limiter of fetches from the weight store.
    pub fn fetch_limiter(&self) -> &fetch_limiter::FetchLimiter {
        &self.fetch_limiter
    }

    /// Records completed fetches of this instance's engines.
    pub fn add_fetch_samples(
        &mut self,
        now: clock::MonotonicTime,
        samples: &[fetch_limiter::FetchSample],
    ) {
        for sample in samples {
            self.fetch_limiter.record_sample(now, *sample);
        }
    }

    /// Sets how many fetches are queued or in progress at the engines of this instance.
    pub fn set_own_backlog(&mut self, fetches: u32) {
        self.own_backlog = fetches;
    }

    /// Returns how many fetches are queued or in progress at all instances.
    pub fn fetch_backlog(&self) -> u32 {
        let (peers, zones) = (self.peers.values(), self.zones.values());
        let relayed: u32 = zones.map(|zone| zone.fetching + zone.queued_fetches).sum();
        self.own_backlog
            + relayed
            + peers.map(|peer| peer.fetching + peer.queued_fetches).sum::<u32>()
    }

    /// Applies a report that this instance queried itself because no owner reports the engine.
    pub fn apply_report(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        report: &upstream::EngineReport,
    ) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        let residency = &mut slot.residency;
        residency.reported_at = Some(now);
        residency.takes_orders = false;
        residency.has_model = !report.models.is_empty();
        let adapters = report.adapters.iter();
        residency.adapters = adapters.map(|held| (held.name.key(), held.version)).collect();
    }

    /// Returns this instance's requests in flight, for a heartbeat.
    pub fn local_work(&self) -> Vec<fleet::UpstreamWork> {
        let busy = self.upstreams.values().filter(|slot| slot.local.running > 0);
        busy.map(|slot| fleet::UpstreamWork {
            upstream: slot.number,
            running: u16::try_from(slot.local.running).unwrap_or(u16::MAX),
            prefill_tokens: u32::try_from(slot.local.prefill_tokens).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Returns the adapters that this instance uses, or has used since the last call with `forget`.
    pub fn adapter_usage(&mut self, forget: bool) -> Vec<fleet::AdapterUsage> {
        let mut uses = Vec::new();
        for slot in self.upstreams.values_mut() {
            let keys = slot.adapters_in_use.keys().chain(&slot.adapters_touched);
            let mut keys: Vec<demand::AdapterKey> = keys.copied().collect();
            keys.sort_unstable();
            keys.dedup();
            uses.extend(keys.into_iter().map(|key| fleet::AdapterUsage {
                upstream: slot.number,
                adapter: slot.usage_id(key),
                running: slot.adapters_in_use.get(&key).map_or(0, |count| *count as u16),
            }));
            if forget {
                slot.adapters_touched.clear();
            }
        }
        uses
    }
}

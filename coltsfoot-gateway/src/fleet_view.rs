//! What an instance knows of the upstreams and of the work of all instances there.

pub mod peers;
pub mod permit_issuers;
pub mod zones;

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;

use crate::{
    availability_table, demand, engine_controller, engine_order, fetch_limiter, limit_table,
    peer_slot, rendezvous, upstream, upstream_slot,
};

/// Beats of an instance that may be lost before what it told is no longer believed.
pub(crate) const BEATS_TO_LOSE: u32 = 3;
/// Beats after which an owner must have told of its engines, even if some were lost.
const BEATS_TO_MISS_ENGINES: u32 = 10;
/// Time without beats after which an instance is not asked for anything: four beats.
pub(crate) const PEER_SILENCE: time::Duration = time::Duration::from_millis(600);
/// Time without beats after which an instance is forgotten.
pub const PEER_LIFETIME: time::Duration = time::Duration::from_secs(12);
/// Time for which a failed connection keeps work away.
const CONNECT_PENALTY: time::Duration = time::Duration::from_millis(1500);
/// Weight of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Weight of the newest sample in the slowness of an engine.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Time for which an engine with an older adapter version still gets requests, while its owner
/// replaces it.
const VERSION_GRACE: time::Duration = time::Duration::from_millis(2500);

/// The newest version that was named for an adapter.
#[derive(Clone, Debug)]
pub struct NamedVersion {
    /// The adapter.
    pub name: demand::AdapterName,
    /// The version.
    pub version: u64,
    /// When this instance learned of it.
    pub learned: clock::MonotonicTime,
}

/// Upstreams, instances and adapter versions.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    upstreams: FxHashMap<sync::Arc<str>, upstream_slot::UpstreamSlot>,
    peers: FxHashMap<u64, peer_slot::PeerSlot>,
    versions: FxHashMap<demand::AdapterKey, NamedVersion>,
    /// Upstreams by their number in messages.
    numbers: FxHashMap<u32, sync::Arc<str>>,
    /// Other zones of which a relay tells.
    zones: FxHashMap<sync::Arc<str>, zones::RelayedZone>,
    availability: availability_table::AvailabilityTable,
    limits: limit_table::LimitTable,
    fetch_limiter: fetch_limiter::FetchLimiter,
    /// Fetches that wait or are under way at the engines of this instance.
    own_backlog: u32,
    /// Other instances found in the store.
    found_near: usize,
    found_far: usize,
}

/// Returns the number of a customer in messages.
pub fn customer_number(name: &str) -> u32 {
    rendezvous::hash_of(&name) as u32
}

impl FleetView {
    /// Takes an entry. Returns whether it is of an incarnation that was not known.
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

    /// Forgets an upstream.
    pub fn remove_upstream(&mut self, id: &str) -> Option<upstream::UpstreamEntry> {
        let slot = self.upstreams.remove(id)?;
        self.numbers.remove(&slot.number);
        Some(slot.entry)
    }

    /// Returns the upstream with a number.
    fn slot_mut(&mut self, number: u32) -> Option<&mut upstream_slot::UpstreamSlot> {
        let id = self.numbers.get(&number)?;
        self.upstreams.get_mut(id)
    }

    /// Returns an upstream.
    pub fn upstream(&self, id: &str) -> Option<&upstream_slot::UpstreamSlot> {
        self.upstreams.get(id)
    }

    /// Returns the id of the upstream whose incarnation has a number, if it is known.
    pub fn upstream_id(&self, number: u32) -> Option<&sync::Arc<str>> {
        self.numbers.get(&number)
    }

    /// Returns an upstream for changes.
    pub fn upstream_mut(&mut self, id: &str) -> Option<&mut upstream_slot::UpstreamSlot> {
        self.upstreams.get_mut(id)
    }

    /// Returns the engines of which no owner told for so long.
    pub fn stale_engines(
        &self,
        now: clock::MonotonicTime,
        longest: time::Duration,
    ) -> Vec<sync::Arc<str>> {
        let untold = self.upstreams.values().filter(|slot| {
            let owner = slot.residency.owner.and_then(|owner| self.peers.get(&owner));
            let interval = owner.map_or(time::Duration::ZERO, |owner| owner.interval);
            let longest = longest.max(interval * BEATS_TO_MISS_ENGINES);
            let heard = slot.residency.heard;
            heard.is_none_or(|heard| now.since(heard) >= longest)
        });
        untold.map(|slot| sync::Arc::clone(&slot.entry.id)).collect()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream_slot::UpstreamSlot> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that take work.
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

    /// Returns the upstreams of a service that are ready by their entries.
    fn listed_upstreams<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a upstream_slot::UpstreamSlot> {
        self.upstreams.values().filter(move |slot| {
            &*slot.entry.service == service && slot.entry.state == upstream::UpstreamState::Ready
        })
    }

    /// Returns when the first upstream of a service takes work again, if all that stay want nothing for
    /// now.
    pub fn next_available(
        &self,
        now: clock::MonotonicTime,
        service: &str,
    ) -> Option<clock::MonotonicTime> {
        let mut first: Option<clock::MonotonicTime> = None;
        for slot in self.listed_upstreams(service) {
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

    /// Returns what upstreams said of taking work.
    pub fn availability(&self) -> &availability_table::AvailabilityTable {
        &self.availability
    }

    /// Returns what upstreams said of taking work, to note what they say.
    pub fn availability_mut(&mut self) -> &mut availability_table::AvailabilityTable {
        &mut self.availability
    }

    /// Returns the limits that upstreams named.
    pub fn limits(&self) -> &limit_table::LimitTable {
        &self.limits
    }

    /// Returns the limits that upstreams named, to note what they say.
    pub fn limits_mut(&mut self) -> &mut limit_table::LimitTable {
        &mut self.limits
    }

    /// Notes a named version. Returns whether it is news.
    pub fn record_version(
        &mut self,
        now: clock::MonotonicTime,
        name: demand::AdapterName,
        version: u64,
    ) -> bool {
        let key = name.key();
        if self.versions.get(&key).is_some_and(|known| known.version >= version) {
            return false;
        }
        self.versions.insert(key, NamedVersion { name, version, learned: now });
        true
    }

    /// Returns the newest named version of an adapter.
    pub fn newest_version(&self, key: demand::AdapterKey) -> Option<u64> {
        self.versions.get(&key).map(|named| named.version)
    }

    /// Returns whether an engine holds an adapter in a version that requests may run on.
    pub fn has_usable_adapter(
        &self,
        now: clock::MonotonicTime,
        slot: &upstream_slot::UpstreamSlot,
        key: demand::AdapterKey,
    ) -> bool {
        let Some(held) = slot.residency.adapters.get(&key) else { return false };
        let Some(named) = self.versions.get(&key) else { return true };
        *held >= named.version || now.since(named.learned) < VERSION_GRACE
    }

    /// Notes a request that is sent to an upstream; returns the tokens that it has to read.
    pub fn request_sent(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        demand: Option<&demand::PromptDemand>,
    ) -> u64 {
        let Some(slot) = self.upstreams.get_mut(id) else { return 0 };
        self.availability.sent(now, slot.number);
        if slot.local.running == 0 {
            slot.heard = now;
        }
        slot.local.running += 1;
        let Some(demand) = demand else { return 0 };
        let unread = demand.prompt_tokens.saturating_sub(slot.cached_tokens(demand));
        slot.local.prefill_tokens += u64::from(unread);
        slot.keep_parts(now, demand);
        if let Some(adapter) = &demand.adapter {
            let key = adapter.key();
            *slot.adapters_in_use.entry(key).or_default() += 1;
            slot.adapters_touched.insert(key);
        }
        u64::from(unread)
    }

    /// Notes that this instance asks for an adapter at an engine.
    pub fn load_requested(&mut self, now: clock::MonotonicTime, id: &str, key: demand::AdapterKey) {
        let fetch_time = self.fetch_load(self.fetch_backlog()).expected_time();
        if let Some(slot) = self.upstreams.get_mut(id) {
            let is_warm = slot.is_warm(key);
            let wait = if is_warm { engine_controller::WARM_LOAD } else { fetch_time };
            slot.requested.entry(key).or_insert(now + wait);
        }
    }

    /// Notes the end of such a question.
    pub fn load_ended(&mut self, id: &str, key: demand::AdapterKey) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.requested.remove(&key);
        }
    }

    /// Returns how many requests run on an adapter at all engines.
    pub fn adapter_running(&self, now: clock::MonotonicTime, key: demand::AdapterKey) -> u32 {
        let slots = self.upstreams.values();
        let holders = slots.filter(|slot| slot.residency.adapters.contains_key(&key));
        holders.map(|slot| slot.running_on(now, key)).sum()
    }

    /// Notes that a request's prompt was read, or that the request ended before.
    pub fn prefill_finished(&mut self, id: &str, unread: u64) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.local.prefill_tokens = slot.local.prefill_tokens.saturating_sub(unread);
        }
    }

    /// Notes the end of a request.
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

    /// Notes that something came from an upstream.
    pub fn upstream_heard(&mut self, now: clock::MonotonicTime, id: &str) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.heard = now;
        }
    }

    /// Notes whether an upstream served a request.
    pub fn record_outcome(&mut self, now: clock::MonotonicTime, id: &str, has_failed: bool) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        let newest = if has_failed { 1.0 } else { 0.0 };
        let rate = slot.failure_rate(now);
        slot.failure_rate = rate + (newest - rate) * FAILURE_WEIGHT;
        slot.failure_updated = now;
    }

    /// Notes that no connection to an upstream could be made.
    pub fn connect_failed(&mut self, now: clock::MonotonicTime, id: &str) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.avoid_until = now + CONNECT_PENALTY;
        }
        self.record_outcome(now, id, true);
    }

    /// Notes how long a first event took, as a multiple of what was expected.
    pub fn first_event_timed(&mut self, id: &str, ratio: f64) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            let ratio = ratio.clamp(0.5, 10.0);
            slot.slowness += (ratio - slot.slowness) * SLOWNESS_WEIGHT;
        }
    }

    /// Notes that a request did not find an adapter at an engine.
    pub fn adapter_missing(&mut self, id: &str, key: demand::AdapterKey) {
        if let Some(slot) = self.upstreams.get_mut(id) {
            slot.residency.adapters.remove(&key);
        }
    }

    /// Takes the beat of another instance. Returns whether the instance was not known.
    pub fn apply_heartbeat(
        &mut self,
        now: clock::MonotonicTime,
        beat: &fleet::FleetHeartbeat,
    ) -> bool {
        let is_new = !self.peers.contains_key(&beat.sender);
        let peer = self.peers.entry(beat.sender);
        if !peer.or_insert_with(|| peer_slot::PeerSlot::new(now, beat)).apply_heartbeat(now, beat) {
            return false;
        }
        let fetch_time = time::Duration::from_millis(u64::from(beat.fetch_ms));
        self.fetch_limiter.merge_peer(beat.fetch_limit_tenths, fetch_time);
        if self.is_zone_relayed(now, &beat.zone) {
            // Its work is among the sums of its zone.
            if let Some(peer) = self.peers.get_mut(&beat.sender) {
                (peer.fetching, peer.queued_fetches) = (0, 0);
            }
        } else {
            let interval = time::Duration::from_millis(u64::from(beat.interval_ms));
            let expiry = now + upstream_slot::HEARTBEAT_LIFETIME.max(interval * BEATS_TO_LOSE);
            self.put_work(beat.sender, expiry, &beat.work, &beat.adapter_usage);
        }
        for engine in beat.engines.iter().flatten() {
            if let Some(slot) = self.slot_mut(engine.upstream) {
                slot.take_residency(now, Some(beat.sender), engine);
            }
        }
        is_new
    }

    /// Replaces the work that an instance, or a zone, was known to have.
    fn put_work(
        &mut self,
        teller: u64,
        expiry: clock::MonotonicTime,
        work: &[fleet::UpstreamWork],
        uses: &[fleet::AdapterUsage],
    ) {
        for slot in self.upstreams.values_mut() {
            slot.remote.remove(&teller);
            slot.remote_uses.remove(&teller);
        }
        for work in work {
            if let Some(slot) = self.slot_mut(work.upstream) {
                let running = u32::from(work.running);
                let prefill_tokens = u64::from(work.prefill_tokens);
                let load = upstream_slot::WorkLoad { running, prefill_tokens };
                slot.remote.insert(teller, (load, expiry));
            }
        }
        for used in uses.iter().filter(|used| used.running > 0) {
            if let Some(slot) = self.slot_mut(used.upstream) {
                let entry = slot.remote_uses.entry(teller);
                let (counts, _) = entry.or_insert_with(|| (Vec::new(), expiry));
                counts.push((demand::AdapterKey(used.adapter), used.running));
            }
        }
    }

    /// Takes what an owner tells of one engine, unless it is unknown or told something later before.
    pub fn apply_engine_change(&mut self, now: clock::MonotonicTime, change: &fleet::EngineChange) {
        let Some(peer) = self.peers.get_mut(&change.sender) else { return };
        if !peer.take_sequence(change.sequence) {
            return;
        }
        if let Some(slot) = self.slot_mut(change.engine.upstream) {
            slot.take_residency(now, Some(change.sender), &change.engine);
        }
    }

    /// Takes what this instance knows of an engine as its owner.
    pub fn apply_own_engine(&mut self, now: clock::MonotonicTime, engine: &fleet::OwnedEngine) {
        if let Some(slot) = self.slot_mut(engine.upstream) {
            slot.take_residency(now, None, engine);
        }
    }

    /// Forgets instances that were not heard from for long, and old uses.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        self.peers.retain(|_, peer| now.since(peer.heard) < PEER_LIFETIME);
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

    /// Returns a digest of the upstreams that are known, the same wherever the same is known.
    pub fn upstream_digest(&self) -> u64 {
        let digests = self.upstreams.values().map(|slot| {
            let is_ready = slot.entry.state == upstream::UpstreamState::Ready;
            let entry = &slot.entry;
            rendezvous::hash_of(&(&*entry.id, entry.born_ms, entry.address, is_ready))
        });
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns a digest of the adapter versions that were named.
    pub fn version_digest(&self) -> u64 {
        let versions = self.versions.iter();
        let digests = versions.map(|(key, named)| rendezvous::hash_of(&(key, named.version)));
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns the adapters that the engines of the other instances fetch from the weight store.
    pub fn fetching(&self) -> u32 {
        let zones: u32 = self.zones.values().map(|zone| zone.fetching).sum();
        zones + self.peers.values().map(|peer| peer.fetching).sum::<u32>()
    }

    /// Returns the load of the weight store by so many fetches.
    pub fn fetch_load(&self, under_way: u32) -> engine_order::FetchLoad {
        self.fetch_limiter.load(under_way)
    }

    /// Returns what was learned of the weight store.
    pub fn fetch_limiter(&self) -> &fetch_limiter::FetchLimiter {
        &self.fetch_limiter
    }

    /// Takes how fetches of this instance's engines ended.
    pub fn add_fetch_samples(
        &mut self,
        now: clock::MonotonicTime,
        samples: &[fetch_limiter::FetchSample],
    ) {
        for sample in samples {
            self.fetch_limiter.record_sample(now, *sample);
        }
    }

    /// Notes how many fetches wait or are under way at the engines of this instance.
    pub fn set_own_backlog(&mut self, fetches: u32) {
        self.own_backlog = fetches;
    }

    /// Returns the adapters that wait for the weight store or are on their way from it.
    pub fn fetch_backlog(&self) -> u32 {
        let (peers, zones) = (self.peers.values(), self.zones.values());
        let relayed: u32 = zones.map(|zone| zone.fetching + zone.queued_fetches).sum();
        self.own_backlog
            + relayed
            + peers.map(|peer| peer.fetching + peer.queued_fetches).sum::<u32>()
    }

    /// Takes a report that this instance fetched itself, since no owner tells of the engine.
    pub fn apply_report(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        report: &upstream::EngineReport,
    ) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        let residency = &mut slot.residency;
        residency.heard = Some(now);
        residency.takes_orders = false;
        residency.has_model = !report.models.is_empty();
        let adapters = report.adapters.iter();
        residency.adapters = adapters.map(|held| (held.name.key(), held.version)).collect();
    }

    /// Returns the work of this instance, for a beat.
    pub fn local_work(&self) -> Vec<fleet::UpstreamWork> {
        let busy = self.upstreams.values().filter(|slot| slot.local.running > 0);
        busy.map(|slot| fleet::UpstreamWork {
            upstream: slot.number,
            running: u16::try_from(slot.local.running).unwrap_or(u16::MAX),
            prefill_tokens: u32::try_from(slot.local.prefill_tokens).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// Returns the adapters that this instance uses or used since they were forgotten.
    pub fn adapter_usage(&mut self, forget: bool) -> Vec<fleet::AdapterUsage> {
        let mut uses = Vec::new();
        for slot in self.upstreams.values_mut() {
            let keys = slot.adapters_in_use.keys().chain(&slot.adapters_touched);
            let mut keys: Vec<demand::AdapterKey> = keys.copied().collect();
            keys.sort_unstable();
            keys.dedup();
            uses.extend(keys.into_iter().map(|key| fleet::AdapterUsage {
                upstream: slot.number,
                adapter: key.0,
                running: slot.adapters_in_use.get(&key).map_or(0, |count| *count as u16),
            }));
            if forget {
                slot.adapters_touched.clear();
            }
        }
        uses
    }
}

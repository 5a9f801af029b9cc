//! State of one upstream, as an instance knows it.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{demand, engine_controller, engine_estimate, rendezvous, upstream};

/// Age above which the requests in flight that an instance reported no longer count.
pub(crate) const HEARTBEAT_LIFETIME: time::Duration = time::Duration::from_millis(1500);
/// Time without data from an upstream with running requests after which it counts as silent.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(700);
/// Weight of the newest sample in the slowness of an engine.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(3);
/// Time past an adapter's expected arrival for which a pending load request still counts.
const LOAD_REQUEST_GRACE: time::Duration = time::Duration::from_millis(300);
/// Most prompt parts tracked as cached by one engine.
const MAX_CACHED_PARTS: usize = 512;

/// Requests in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkLoad {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens not prefilled yet.
    pub prefill_tokens: u64,
}

impl WorkLoad {
    /// Returns the sum of two loads.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
        }
    }
}

/// Requests in flight on each adapter.
type AdapterCounts = Vec<(demand::AdapterKey, u16)>;

/// Model and adapters of an engine, as far as known.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    /// Fencing number of the owner that reported.
    pub fence: u64,
    /// The owner's incarnation; `None` for this instance, or before the first report.
    pub owner: Option<u64>,
    /// Whether the owner may send orders.
    pub takes_orders: bool,
    /// Whether the base model is loaded.
    pub has_model: bool,
    /// Adapter slots that are free or hold an evictable adapter.
    pub available_slots: u8,
    /// When the owner last reported.
    pub reported_at: Option<clock::MonotonicTime>,
    /// Versions of the adapters that are ready.
    pub adapters: FxHashMap<demand::AdapterKey, u64>,
    /// Expected arrival of the adapters that are being loaded or have been requested.
    pub pending: FxHashMap<demand::AdapterKey, clock::MonotonicTime>,
}

impl Residency {
    /// Returns whether a report of the owner changes nothing.
    fn is_unchanged(&self, engine: &fleet::OwnedEngine) -> bool {
        let is_resident = |held: &fleet::ResidentAdapter| {
            self.adapters.get(&demand::AdapterKey(held.adapter)) == Some(&held.version)
        };
        let is_pending = |pending: &fleet::PendingAdapter| {
            self.pending.contains_key(&demand::AdapterKey(pending.adapter))
        };
        self.fence == engine.fence
            && self.takes_orders == engine.takes_orders
            && self.has_model == engine.has_model
            && self.available_slots == engine.available_slots
            && self.adapters.len() == engine.adapters.len()
            && self.pending.len() == engine.pending.len()
            && engine.adapters.iter().all(is_resident)
            && engine.pending.iter().all(is_pending)
    }
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSlot {
    /// Its entry in the store.
    pub entry: upstream::UpstreamEntry,
    /// Number that stands for its incarnation in messages.
    pub number: u32,
    /// Version of its software.
    pub build: upstream::BuildKey,
    /// Its model and adapters.
    pub residency: Residency,
    /// Increases whenever a report changes the residency.
    pub(crate) revision: u64,
    /// Requests of this instance in flight.
    pub local: WorkLoad,
    /// Moving average of its time to the first event, as a multiple of the expected time.
    pub slowness: f64,
    /// What is known of it beside the requests in flight.
    pub estimate: engine_estimate::EngineEstimate,
    /// Requests of other instances and zones in flight, and when each report expires.
    pub(crate) remote: FxHashMap<u64, (WorkLoad, clock::MonotonicTime)>,
    pub(crate) last_seen: clock::MonotonicTime,
    pub(crate) avoid_until: clock::MonotonicTime,
    pub(crate) failure_rate: f64,
    pub(crate) failure_updated: clock::MonotonicTime,
    pub(crate) adapters_in_use: FxHashMap<demand::AdapterKey, u32>,
    pub(crate) adapters_touched: FxHashSet<demand::AdapterKey>,
    /// Requests of other instances and zones on each adapter, and when each report expires.
    pub(crate) remote_uses: FxHashMap<u64, (AdapterCounts, clock::MonotonicTime)>,
    /// Expected arrival of the adapters that this instance has requested; the owner reports them a
    /// little later.
    pub(crate) requested: FxHashMap<demand::AdapterKey, clock::MonotonicTime>,
    pub(crate) cached_parts: FxHashMap<(u64, u64), clock::MonotonicTime>,
    pub(crate) warm: FxHashMap<demand::AdapterKey, clock::MonotonicTime>,
}

impl UpstreamSlot {
    pub(crate) fn new(entry: upstream::UpstreamEntry) -> Self {
        let mut residency = Residency { has_model: !entry.models.is_empty(), ..Default::default() };
        residency.adapters =
            entry.adapters.iter().map(|held| (held.name.key(), held.version)).collect();
        Self {
            number: upstream_number(&entry),
            build: entry.build(),
            residency,
            revision: 0,
            local: WorkLoad::default(),
            slowness: 1.0,
            estimate: engine_estimate::EngineEstimate::default(),
            remote: FxHashMap::default(),
            last_seen: clock::MonotonicTime::default(),
            avoid_until: clock::MonotonicTime::default(),
            failure_rate: 0.0,
            failure_updated: clock::MonotonicTime::default(),
            adapters_in_use: FxHashMap::default(),
            adapters_touched: FxHashSet::default(),
            remote_uses: FxHashMap::default(),
            requested: FxHashMap::default(),
            cached_parts: FxHashMap::default(),
            warm: FxHashMap::default(),
            entry,
        }
    }

    /// Returns the requests of all instances in flight.
    pub fn work(&self, now: clock::MonotonicTime) -> WorkLoad {
        let recent = self.remote.values().filter(|(_, expiry)| now < *expiry);
        recent.fold(self.local, |sum, (work, _)| sum.plus(*work))
    }

    /// Records a time to the first event, as a multiple of the expected time.
    pub(crate) fn record_slowness(&mut self, ratio: f64) {
        self.slowness += (ratio.clamp(0.5, 10.0) - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Returns the share of recent requests that failed, of this instance or of all, whichever is higher.
    pub fn failure_rate(&self, now: clock::MonotonicTime) -> f64 {
        self.own_failure_rate(now).max(self.estimate.shared_failure_rate(now))
    }

    /// Returns the share of recent requests of this instance that failed.
    pub(crate) fn own_failure_rate(&self, now: clock::MonotonicTime) -> f64 {
        let age = now.since(self.failure_updated).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns whether a connection to it failed recently.
    pub fn is_avoided(&self, now: clock::MonotonicTime) -> bool {
        now < self.avoid_until
    }

    /// Returns whether it has sent nothing for `MAX_SILENCE` although requests run there.
    pub fn is_silent(&self, now: clock::MonotonicTime) -> bool {
        self.local.running > 0 && now.since(self.last_seen) > MAX_SILENCE
    }

    /// Returns whether requests of any instance run on an adapter.
    pub fn is_in_use(&self, now: clock::MonotonicTime, key: demand::AdapterKey) -> bool {
        self.running_on(now, key) > 0
    }

    /// Returns how many requests of all instances run on an adapter.
    pub fn running_on(&self, now: clock::MonotonicTime, key: demand::AdapterKey) -> u32 {
        let local = self.adapters_in_use.get(&key).copied().unwrap_or(0);
        let remote = self.remote_uses.values().filter(|(_, expiry)| now < *expiry);
        let counts = remote.flat_map(|(counts, _)| counts);
        let counts =
            counts.filter(|(used, _)| used.0.may_be(key.0)).map(|(_, running)| u32::from(*running));
        local + counts.sum::<u32>()
    }

    /// Returns the id under which usage of an adapter is reported: without its digest, unless the engine holds or
    /// loads another one with the same number. Without one, the owner takes all of them for used.
    pub(crate) fn usage_id(&self, key: demand::AdapterKey) -> fleet::AdapterId {
        let held = self.residency.adapters.keys().chain(self.residency.pending.keys());
        let same = held.filter(|held| held.0.number == key.0.number && held.0 != key.0);
        if same.count() == 0 { key.0.without_digest() } else { key.0 }
    }

    /// Returns when a pending adapter is expected to be ready.
    pub fn expected_ready(
        &self,
        now: clock::MonotonicTime,
        key: demand::AdapterKey,
    ) -> Option<clock::MonotonicTime> {
        let requested = self.requested.get(&key).filter(|ready| now < **ready + LOAD_REQUEST_GRACE);
        key.find(&self.residency.pending).or(requested).copied()
    }

    /// Returns the number of tokens at the start of a prompt that are probably in the prefix cache.
    pub fn cached_tokens(&self, demand: &demand::PromptDemand) -> u32 {
        let weights = demand.cache_key();
        let parts = demand.shared_parts().iter();
        let cached = parts.take_while(|part| self.cached_parts.contains_key(&(weights, part.id)));
        cached.map(|part| part.tokens).sum()
    }

    /// Returns whether the engine held an adapter recently, so that it need not be fetched again.
    pub fn is_warm(&self, key: demand::AdapterKey) -> bool {
        key.find(&self.warm).is_some()
    }

    fn trim_warm(&mut self) {
        while self.warm.len() > engine_controller::WARM_ADAPTERS {
            let oldest = self.warm.iter().min_by_key(|(_, held)| **held).map(|(key, _)| *key);
            oldest.map(|key| self.warm.remove(&key));
        }
    }

    /// Returns when the upstream last sent something.
    pub fn last_seen(&self) -> clock::MonotonicTime {
        self.last_seen
    }

    /// Applies an owner's report of the engine, unless its fencing number is stale.
    pub(crate) fn apply_residency(
        &mut self,
        now: clock::MonotonicTime,
        owner: Option<u64>,
        engine: &fleet::OwnedEngine,
    ) {
        let known = &self.residency;
        if known.reported_at.is_some() && engine.fence < known.fence {
            return;
        }
        let is_unchanged = known.is_unchanged(engine);
        let adapters = engine.adapters.iter();
        for held in &engine.adapters {
            self.warm.insert(demand::AdapterKey(held.adapter), now);
        }
        self.trim_warm();
        self.revision += u64::from(!is_unchanged);
        self.residency = Residency {
            fence: engine.fence,
            owner,
            takes_orders: engine.takes_orders,
            has_model: engine.has_model,
            available_slots: engine.available_slots,
            reported_at: Some(now),
            adapters: adapters
                .map(|held| (demand::AdapterKey(held.adapter), held.version))
                .collect(),
            pending: engine
                .pending
                .iter()
                .map(|pending| {
                    let wait = time::Duration::from_millis(u64::from(pending.ready_in_ms));
                    (demand::AdapterKey(pending.adapter), now + wait)
                })
                .collect(),
        };
    }

    pub(crate) fn record_cached_parts(
        &mut self,
        now: clock::MonotonicTime,
        demand: &demand::PromptDemand,
    ) {
        let weights = demand.cache_key();
        for part in &demand.parts {
            self.cached_parts.insert((weights, part.id), now);
        }
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            let mut times: Vec<_> = self.cached_parts.values().copied().collect();
            times.sort_unstable();
            let oldest = times[times.len() / 2];
            self.cached_parts.retain(|_, used| *used > oldest);
        }
    }
}

/// Returns the number that stands for an incarnation in messages.
fn upstream_number(entry: &upstream::UpstreamEntry) -> u32 {
    rendezvous::hash_of(&(&*entry.id, entry.born_ms)) as u32
}

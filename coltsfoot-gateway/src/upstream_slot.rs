//! What an instance knows of one upstream.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{demand, engine_controller, rendezvous, upstream};

/// Age above which the work told by an instance no longer counts.
pub(crate) const HEARTBEAT_LIFETIME: time::Duration = time::Duration::from_millis(1500);
/// Silence of an upstream with running requests after which it is suspected.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(700);
/// Time after which half of a failure rate is forgiven.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(3);
/// Time after an adapter's expected arrival for which an unanswered question counts.
const REQUEST_LIFETIME: time::Duration = time::Duration::from_millis(300);
/// Prompt parts remembered for an engine.
const MAX_KEPT_PARTS: usize = 512;

/// Work under way at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkLoad {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens still to be read.
    pub prefill_tokens: u64,
}

impl WorkLoad {
    /// Returns the sum.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
        }
    }
}

/// Requests that run on adapters.
type AdapterCounts = Vec<(demand::AdapterKey, u16)>;

/// What an engine is known to hold.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    /// Fencing number of the owner that told.
    pub fence: u64,
    /// The owner's incarnation; `None` if this instance, or if nobody told yet.
    pub owner: Option<u64>,
    /// Whether the owner gives orders.
    pub takes_orders: bool,
    /// Whether the base model is there.
    pub has_model: bool,
    /// Places that are free or whose adapters could make way.
    pub available_slots: u8,
    /// When the owner told last.
    pub heard: Option<clock::MonotonicTime>,
    /// Adapters that are ready, with versions.
    pub adapters: FxHashMap<demand::AdapterKey, u64>,
    /// Adapters that are on their way or asked for, with the expected time.
    pub pending: FxHashMap<demand::AdapterKey, clock::MonotonicTime>,
}

impl Residency {
    /// Returns whether an owner tells nothing new.
    fn is_told_as(&self, engine: &fleet::OwnedEngine) -> bool {
        let holds = |held: &fleet::ResidentAdapter| {
            self.adapters.get(&demand::AdapterKey(held.adapter)) == Some(&held.version)
        };
        let awaits = |coming: &fleet::PendingAdapter| {
            self.pending.contains_key(&demand::AdapterKey(coming.adapter))
        };
        self.fence == engine.fence
            && self.takes_orders == engine.takes_orders
            && self.has_model == engine.has_model
            && self.available_slots == engine.available_slots
            && self.adapters.len() == engine.adapters.len()
            && self.pending.len() == engine.pending.len()
            && engine.adapters.iter().all(holds)
            && engine.pending.iter().all(awaits)
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSlot {
    /// Its entry.
    pub entry: upstream::UpstreamEntry,
    /// Its number in messages.
    pub number: u32,
    /// What it holds.
    pub residency: Residency,
    /// Grows whenever what it holds is told anew.
    pub(crate) revision: u64,
    /// Work of this instance.
    pub local: WorkLoad,
    /// Time that it takes, as a multiple of what is expected.
    pub slowness: f64,
    /// Work of the other instances and until when it counts.
    pub(crate) remote: FxHashMap<u64, (WorkLoad, clock::MonotonicTime)>,
    pub(crate) heard: clock::MonotonicTime,
    pub(crate) avoid_until: clock::MonotonicTime,
    pub(crate) failure_rate: f64,
    pub(crate) failure_updated: clock::MonotonicTime,
    pub(crate) adapters_in_use: FxHashMap<demand::AdapterKey, u32>,
    pub(crate) adapters_touched: FxHashSet<demand::AdapterKey>,
    /// Adapters in use by the other instances and until when that counts.
    pub(crate) remote_uses: FxHashMap<u64, (AdapterCounts, clock::MonotonicTime)>,
    /// Adapters that this instance has asked for, with the expected time; the owner tells of them a
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
            residency,
            revision: 0,
            local: WorkLoad::default(),
            slowness: 1.0,
            remote: FxHashMap::default(),
            heard: clock::MonotonicTime::default(),
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

    /// Returns the work of all instances.
    pub fn work(&self, now: clock::MonotonicTime) -> WorkLoad {
        let recent = self.remote.values().filter(|(_, expiry)| now < *expiry);
        recent.fold(self.local, |sum, (work, _)| sum.plus(*work))
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_rate(&self, now: clock::MonotonicTime) -> f64 {
        let age = now.since(self.failure_updated).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns whether connections to it failed a moment ago.
    pub fn is_avoided(&self, now: clock::MonotonicTime) -> bool {
        now < self.avoid_until
    }

    /// Returns whether nothing came from it for long although requests run there.
    pub fn is_silent(&self, now: clock::MonotonicTime) -> bool {
        self.local.running > 0 && now.since(self.heard) > MAX_SILENCE
    }

    /// Returns whether requests of this or another instance run on an adapter.
    pub fn is_in_use(&self, now: clock::MonotonicTime, key: demand::AdapterKey) -> bool {
        self.running_on(now, key) > 0
    }

    /// Returns how many requests of all instances run on an adapter.
    pub fn running_on(&self, now: clock::MonotonicTime, key: demand::AdapterKey) -> u32 {
        let local = self.adapters_in_use.get(&key).copied().unwrap_or(0);
        let remote = self.remote_uses.values().filter(|(_, expiry)| now < *expiry);
        let counts = remote.flat_map(|(counts, _)| counts);
        let counts =
            counts.filter(|(used, _)| *used == key).map(|(_, running)| u32::from(*running));
        local + counts.sum::<u32>()
    }

    /// Returns when an adapter is expected that is on its way to the engine.
    pub fn expected_ready(
        &self,
        now: clock::MonotonicTime,
        key: demand::AdapterKey,
    ) -> Option<clock::MonotonicTime> {
        let asked = self.requested.get(&key).filter(|ready| now < **ready + REQUEST_LIFETIME);
        self.residency.pending.get(&key).or(asked).copied()
    }

    /// Returns the tokens at the beginning of a prompt that the engine has probably kept.
    pub fn cached_tokens(&self, demand: &demand::PromptDemand) -> u32 {
        let weights = demand.weights_key();
        let shared = demand.parts.len().saturating_sub(1);
        let parts = demand.parts[..shared].iter();
        let kept = parts.take_while(|part| self.cached_parts.contains_key(&(weights, part.id)));
        kept.map(|part| part.tokens).sum()
    }

    /// Returns whether the engine held an adapter recently, so that it need not be fetched.
    pub fn is_warm(&self, key: demand::AdapterKey) -> bool {
        self.warm.contains_key(&key)
    }

    fn trim_warm(&mut self) {
        while self.warm.len() > engine_controller::WARM_ADAPTERS {
            let oldest = self.warm.iter().min_by_key(|(_, held)| **held).map(|(key, _)| *key);
            oldest.map(|key| self.warm.remove(&key));
        }
    }

    /// Takes what an owner tells of the engine; an owner with a lower fencing number is not believed.
    pub(crate) fn take_residency(
        &mut self,
        now: clock::MonotonicTime,
        owner: Option<u64>,
        engine: &fleet::OwnedEngine,
    ) {
        let known = &self.residency;
        if known.heard.is_some() && engine.fence < known.fence {
            return;
        }
        let is_same = known.is_told_as(engine);
        let adapters = engine.adapters.iter();
        for held in &engine.adapters {
            self.warm.insert(demand::AdapterKey(held.adapter), now);
        }
        self.trim_warm();
        self.revision += u64::from(!is_same);
        self.residency = Residency {
            fence: engine.fence,
            owner,
            takes_orders: engine.takes_orders,
            has_model: engine.has_model,
            available_slots: engine.available_slots,
            heard: Some(now),
            adapters: adapters
                .map(|held| (demand::AdapterKey(held.adapter), held.version))
                .collect(),
            pending: engine
                .pending
                .iter()
                .map(|coming| {
                    let wait = time::Duration::from_millis(u64::from(coming.ready_in_ms));
                    (demand::AdapterKey(coming.adapter), now + wait)
                })
                .collect(),
        };
    }

    pub(crate) fn keep_parts(&mut self, now: clock::MonotonicTime, demand: &demand::PromptDemand) {
        let weights = demand.weights_key();
        for part in &demand.parts {
            self.cached_parts.insert((weights, part.id), now);
        }
        if self.cached_parts.len() > MAX_KEPT_PARTS {
            let mut times: Vec<_> = self.cached_parts.values().copied().collect();
            times.sort_unstable();
            let oldest = times[times.len() / 2];
            self.cached_parts.retain(|_, used| *used > oldest);
        }
    }
}

/// Returns the number of an incarnation in messages.
fn upstream_number(entry: &upstream::UpstreamEntry) -> u32 {
    rendezvous::hash_of(&(&*entry.id, entry.born_ms)) as u32
}

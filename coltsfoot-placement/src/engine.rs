//! State of one engine, as tracked by the cell's owner.

use std::collections;

use coltsfoot_quota::{fair_queue, queue_entry};
use coltsfoot_types::{adapter, id, name, time as clock};
use rustc_hash::FxHashMap;

use crate::event;
use crate::popularity;
use crate::service_time;

/// Residency of an adapter on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Residency {
    /// When the adapter was last loaded, adopted or used.
    pub(crate) used_at: clock::MonotonicTime,
    /// When the cell learned of the residency.
    pub(crate) since: clock::MonotonicTime,
    /// Copy of the adapter's popularity count, so that scoring victims needs no table lookup.
    pub(crate) count: popularity::DecayedCount,
}

/// State of one engine: its slots, batch, pins and queue.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) listing: event::EngineListing,
    pub(crate) leaving: bool,
    pub(crate) generation: Option<u64>,
    pub(crate) resident: FxHashMap<adapter::AdapterVersion, Residency>,
    /// Adapters being loaded; each occupies a slot.
    pub(crate) loading: collections::BTreeSet<adapter::AdapterVersion>,
    /// Adapters being unloaded; each occupies a slot until the order ends.
    pub(crate) unloading: collections::BTreeSet<adapter::AdapterVersion>,
    /// Adapters to be loaded into the slot of an adapter that is being unloaded.
    pub(crate) reserved: collections::BTreeSet<adapter::AdapterVersion>,
    /// Reported adapters beyond the known slots, which are being unloaded.
    pub(crate) excess: collections::BTreeSet<adapter::AdapterVersion>,
    /// Outstanding permits by adapter, whether or not it is resident.
    pub(crate) pins: FxHashMap<adapter::AdapterVersion, u32>,
    /// Number of outstanding permits.
    pub(crate) running: u32,
    /// Requests whose adapter is resident, waiting for room in the batch.
    pub(crate) ready: fair_queue::FairQueue<()>,
    /// Number of requests in `ready` by adapter.
    pub(crate) queued: FxHashMap<adapter::AdapterVersion, u32>,
    /// Time until which permits unknown to this owner may be outstanding.
    pub(crate) unknown_until: Option<clock::MonotonicTime>,
    /// Adapters that the unknown permits can be for; `None` (any adapter) until a report narrows
    /// them down.
    pub(crate) unknown_adapters: Option<collections::BTreeSet<adapter::AdapterVersion>>,
    /// Adapter without new permits, so that reports show whether unknown permits still run.
    pub(crate) quiesced: Option<adapter::AdapterVersion>,
    /// Time until which the engine is not used because of failures.
    pub(crate) suspended_until: clock::MonotonicTime,
    /// Failures since the last completed answer.
    pub(crate) failures: u32,
    /// When the last order for an adapter ended, while reports may not reflect it yet.
    pub(crate) recent_orders: FxHashMap<adapter::AdapterVersion, clock::MonotonicTime>,
    pub(crate) service: service_time::ServiceTime,
}

impl EngineState {
    pub(crate) fn new(listing: event::EngineListing, limits: queue_entry::QueueLimits) -> Self {
        Self {
            listing,
            leaving: false,
            generation: None,
            resident: FxHashMap::default(),
            loading: collections::BTreeSet::new(),
            unloading: collections::BTreeSet::new(),
            reserved: collections::BTreeSet::new(),
            excess: collections::BTreeSet::new(),
            pins: FxHashMap::default(),
            running: 0,
            ready: fair_queue::FairQueue::new(limits),
            queued: FxHashMap::default(),
            unknown_until: None,
            unknown_adapters: None,
            quiesced: None,
            suspended_until: clock::MonotonicTime::default(),
            failures: 0,
            recent_orders: FxHashMap::default(),
            service: service_time::ServiceTime::default(),
        }
    }

    pub(crate) fn name(&self) -> &name::UpstreamName {
        &self.listing.name
    }

    /// Returns whether the engine accepts new work.
    pub(crate) fn is_usable(&self, now: clock::MonotonicTime) -> bool {
        !self.leaving && now >= self.suspended_until
    }

    /// Returns whether the adapter is resident.
    pub(crate) fn holds(&self, adapter: &adapter::AdapterVersion) -> bool {
        self.resident.contains_key(adapter)
    }

    /// Returns whether the adapter is resident and not quiesced.
    pub(crate) fn serves(&self, adapter: &adapter::AdapterVersion) -> bool {
        self.holds(adapter) && self.quiesced.as_ref() != Some(adapter)
    }

    /// Returns how many requests can be added to the batch, which is smaller for a slow engine.
    pub(crate) fn room(&self) -> u32 {
        self.service.usable_batch(self.listing.batch_size).saturating_sub(self.running)
    }

    /// Returns whether the adapter is resident, being loaded or unloaded, or reserved.
    pub(crate) fn tracks(&self, adapter: &adapter::AdapterVersion) -> bool {
        self.holds(adapter)
            || self.loading.contains(adapter)
            || self.unloading.contains(adapter)
            || self.reserved.contains(adapter)
            || self.excess.contains(adapter)
    }

    /// Returns whether a slot is neither occupied nor in use by an unfinished order.
    pub(crate) fn has_free_slot(&self) -> bool {
        let taken = self.resident.len() + self.loading.len() + self.unloading.len();
        taken + self.excess.len() < self.listing.slots as usize
    }

    /// Returns whether the engine is much slower than the others in its cell.
    pub(crate) fn is_slow(&self) -> bool {
        self.service.is_slow()
    }

    /// Returns whether the adapter is neither pinned nor queued for, and no unknown permit may use
    /// it.
    pub(crate) fn is_evictable(
        &self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
    ) -> bool {
        let is_used = self.pins.contains_key(adapter) || self.queued.contains_key(adapter);
        !is_used && !self.may_run_unknown(now, adapter)
    }

    /// Returns whether permits unknown to this owner may be outstanding.
    pub(crate) fn has_unknown(&self, now: clock::MonotonicTime) -> bool {
        self.unknown_until.is_some_and(|until| now < until)
    }

    /// Returns whether a permit unknown to this owner may be outstanding for the adapter.
    pub(crate) fn may_run_unknown(
        &self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
    ) -> bool {
        self.has_unknown(now)
            && self.unknown_adapters.as_ref().is_none_or(|unknown| unknown.contains(adapter))
    }

    pub(crate) fn pin(&mut self, now: clock::MonotonicTime, adapter: &adapter::AdapterVersion) {
        self.running += 1;
        *self.pins.entry(adapter.clone()).or_default() += 1;
        if let Some(residency) = self.resident.get_mut(adapter) {
            residency.used_at = now;
        }
    }

    pub(crate) fn unpin(&mut self, adapter: &adapter::AdapterVersion) {
        self.running = self.running.saturating_sub(1);
        decrement(&mut self.pins, adapter);
    }

    pub(crate) fn enqueue(&mut self, adapter: &adapter::AdapterVersion) {
        *self.queued.entry(adapter.clone()).or_default() += 1;
    }

    pub(crate) fn dequeue(&mut self, adapter: &adapter::AdapterVersion) {
        decrement(&mut self.queued, adapter);
    }

    pub(crate) fn add_resident(
        &mut self,
        now: clock::MonotonicTime,
        adapter: adapter::AdapterVersion,
        count: popularity::DecayedCount,
    ) {
        self.resident.insert(adapter, Residency { used_at: now, since: now, count });
        let taken = self.resident.len() + self.loading.len() + self.unloading.len();
        assert!(taken <= self.listing.slots as usize, "more adapters than slots");
    }

    /// Clears the residency from before a restart. Pins stay until their permits end.
    pub(crate) fn forget_residency(&mut self) {
        self.resident.clear();
        self.recent_orders.clear();
    }
}

fn decrement(
    counts: &mut FxHashMap<adapter::AdapterVersion, u32>,
    adapter: &adapter::AdapterVersion,
) {
    let Some(count) = counts.get_mut(adapter) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(adapter);
    }
}

/// A permit granted to an instance and not yet released.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingPermit {
    pub(crate) engine: name::UpstreamName,
    pub(crate) adapter: adapter::AdapterVersion,
    pub(crate) instance: name::InstanceName,
    pub(crate) granted_at: clock::MonotonicTime,
    pub(crate) estimated_tokens: u32,
    /// When the pin expires if the permit is not released.
    pub(crate) ends_at: clock::MonotonicTime,
    /// Whether no release is expected any more.
    pub(crate) is_orphaned: bool,
}

/// A request waiting for a permit.
#[derive(Clone, Debug)]
pub(crate) struct WaitingPermit {
    pub(crate) attempt: id::AttemptId,
    pub(crate) instance: name::InstanceName,
    pub(crate) demand: coltsfoot_wire::placement::PermitDemand,
    pub(crate) arrived: clock::MonotonicTime,
    pub(crate) deadline: clock::MonotonicTime,
    pub(crate) cause: WaitCause,
}

/// Reason why a request waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WaitCause {
    /// Its adapter has to be loaded.
    Load,
    /// The batch of this engine is full.
    Batch(name::UpstreamName),
}

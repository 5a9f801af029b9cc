//! Resident adapters and cached prompt prefixes of an engine, and cache events.

use std::collections;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::{adapter, id};
use rand::RngExt as _;

/// State of an adapter that occupies a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotState {
    /// The weights are being fetched.
    Loading,
    /// The weights are loaded; requests can run.
    Resident,
}

/// Adapter slots of an engine and the newest fencing number of its orders.
#[derive(Debug, Default)]
pub(crate) struct AdapterSlots {
    pub(crate) slots: collections::BTreeMap<adapter::AdapterVersion, SlotState>,
    pub(crate) newest_fencing: id::FencingNumber,
}

impl AdapterSlots {
    pub(crate) fn is_resident(&self, adapter: &adapter::AdapterVersion) -> bool {
        self.slots.get(adapter) == Some(&SlotState::Resident)
    }

    pub(crate) fn resident(&self) -> Vec<adapter::AdapterVersion> {
        let resident = self.slots.iter().filter(|(_, state)| **state == SlotState::Resident);
        resident.map(|(adapter, _)| adapter.clone()).collect()
    }
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct PrefixKey {
    adapter: adapter::AdapterVersion,
    hash: u64,
}

/// LRU cache of prompt prefixes.
#[derive(Default)]
pub(crate) struct PrefixCache {
    prefixes: collections::VecDeque<PrefixKey>,
    events: collections::VecDeque<(time::Instant, protocol::CacheEvent)>,
    next_number: u64,
}

/// Cache events retained for `GET /cache_events`.
const MAX_CACHE_EVENTS: usize = 4096;

impl PrefixCache {
    /// Records a use and returns whether the prefix was cached.
    pub(crate) fn touch(
        &mut self,
        adapter: &adapter::AdapterVersion,
        hash: u64,
        capacity: usize,
        loss_permille: u32,
        rng: &mut impl rand::Rng,
    ) -> bool {
        let key = PrefixKey { adapter: adapter.clone(), hash };
        if let Some(index) = self.prefixes.iter().position(|cached| *cached == key) {
            self.prefixes.remove(index);
            self.prefixes.push_back(key);
            return true;
        }
        self.push_event(&key, true, loss_permille, rng);
        self.prefixes.push_back(key);
        while self.prefixes.len() > capacity {
            let Some(dropped) = self.prefixes.pop_front() else { break };
            self.push_event(&dropped, false, loss_permille, rng);
        }
        false
    }

    /// Returns the events numbered above `after` that are at least `lag` old.
    pub(crate) fn events_after(&self, after: u64, lag: time::Duration) -> protocol::CacheEvents {
        let seen =
            self.events.iter().filter(|(at, event)| event.number > after && at.elapsed() >= lag);
        protocol::CacheEvents { events: seen.map(|(_, event)| event.clone()).collect() }
    }

    fn push_event(
        &mut self,
        key: &PrefixKey,
        cached: bool,
        loss_permille: u32,
        rng: &mut impl rand::Rng,
    ) {
        self.next_number += 1;
        if rng.random_range(0..1000) < loss_permille {
            return;
        }
        let event = protocol::CacheEvent {
            number: self.next_number,
            adapter: key.adapter.clone(),
            prefix_hash: key.hash,
            cached,
        };
        self.events.push_back((time::Instant::now(), event));
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

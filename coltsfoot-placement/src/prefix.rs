//! Prompt prefixes that engines are believed to cache.

use std::collections;

use coltsfoot_types::{adapter, name};
use rustc_hash::FxHashMap;

/// Most prefixes that are kept.
const MAX_PREFIXES: usize = 8192;

/// A prefix on an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PrefixKey {
    engine: name::UpstreamName,
    adapter: adapter::AdapterVersion,
    prefix_hash: u64,
}

/// Prefixes by engine, built from late events with gaps: a wrong entry costs time only.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    cached: FxHashMap<PrefixKey, u64>,
    /// Keys in the order in which they were recorded; the oldest goes first.
    order: collections::VecDeque<(u64, PrefixKey)>,
    sequence: u64,
}

impl PrefixIndex {
    pub(crate) fn record(
        &mut self,
        engine: name::UpstreamName,
        adapter: adapter::AdapterVersion,
        prefix_hash: u64,
        cached: bool,
    ) {
        let key = PrefixKey { engine, adapter, prefix_hash };
        if !cached {
            self.cached.remove(&key);
            return;
        }
        self.sequence += 1;
        self.cached.insert(key.clone(), self.sequence);
        self.order.push_back((self.sequence, key));
        while self.order.len() > MAX_PREFIXES {
            self.drop_oldest();
        }
    }

    /// Returns whether the engine is believed to cache the prefix.
    pub(crate) fn contains(
        &self,
        engine: &name::UpstreamName,
        adapter: &adapter::AdapterVersion,
        prefix_hash: u64,
    ) -> bool {
        let key = PrefixKey { engine: engine.clone(), adapter: adapter.clone(), prefix_hash };
        self.cached.contains_key(&key)
    }

    /// Forgets all prefixes of an engine.
    pub(crate) fn forget_engine(&mut self, engine: &name::UpstreamName) {
        self.cached.retain(|key, _| key.engine != *engine);
        self.order.retain(|(_, key)| key.engine != *engine);
    }

    pub(crate) fn len(&self) -> usize {
        self.cached.len()
    }

    fn drop_oldest(&mut self) {
        let Some((sequence, key)) = self.order.pop_front() else {
            return;
        };
        if self.cached.get(&key) == Some(&sequence) {
            self.cached.remove(&key);
        }
    }
}

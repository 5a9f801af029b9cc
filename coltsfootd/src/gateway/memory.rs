//! Memory that the messages of callers and upstreams may hold in this process.

use std::sync;

use coltsfoot_http::memory::{MemoryBudget, MemoryLease};
use rustc_hash::FxHashMap;

use crate::gateway::state;

/// Memory of the machine if the settings do not name it, in bytes.
const DEFAULT_MEMORY: usize = 256 * 1024 * 1024;
/// Part of the machine's memory for responses that are read whole.
const RESPONSE_DIVISOR: usize = 10;
/// Part of the memory for responses that the responses of one upstream may hold.
const UPSTREAM_DIVISOR: usize = 2;
/// Part of the machine's memory for requests' bodies.
const REQUEST_DIVISOR: usize = 16;

/// Returns the memory of the machine, in bytes, or the default if it is unknown.
pub(crate) fn machine_bytes(known: usize) -> usize {
    if known == 0 { DEFAULT_MEMORY } else { known }
}

/// Budgets of the process.
#[derive(Debug)]
pub(crate) struct MessageMemory {
    requests: sync::Arc<MemoryBudget>,
    responses: sync::Arc<MemoryBudget>,
    upstream_capacity: usize,
    /// Budgets of the upstreams whose responses are being read or written.
    upstreams: sync::Mutex<FxHashMap<sync::Arc<str>, sync::Weak<MemoryBudget>>>,
}

impl MessageMemory {
    /// Divides the memory of the machine, in bytes; zero if it is unknown.
    pub fn new(machine: usize) -> Self {
        let machine = machine_bytes(machine);
        let responses = machine / RESPONSE_DIVISOR;
        Self {
            requests: sync::Arc::new(MemoryBudget::new(machine / REQUEST_DIVISOR)),
            responses: sync::Arc::new(MemoryBudget::new(responses)),
            upstream_capacity: responses / UPSTREAM_DIVISOR,
            upstreams: sync::Mutex::default(),
        }
    }

    /// Returns a lease for a caller's request.
    pub fn request_lease(&self) -> MemoryLease {
        MemoryLease::new(sync::Arc::clone(&self.requests))
    }

    /// Returns a lease for a response of an upstream.
    pub fn response_lease(&self, upstream: &sync::Arc<str>) -> MemoryLease {
        let mut upstreams = state::lock(&self.upstreams);
        let known = upstreams.get(upstream).and_then(sync::Weak::upgrade);
        let budget = known.unwrap_or_else(|| {
            upstreams.retain(|_, budget| budget.strong_count() > 0);
            let part = MemoryBudget::part_of(&self.responses, self.upstream_capacity);
            let budget = sync::Arc::new(part);
            upstreams.insert(sync::Arc::clone(upstream), sync::Arc::downgrade(&budget));
            budget
        });
        MemoryLease::new(budget)
    }
}

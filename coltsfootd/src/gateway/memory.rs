//! The account of the memory that callers and upstreams may make this process hold.

use std::sync;

use coltsfoot_http::memory::{MemoryBudget, MemoryLease};
use rustc_hash::FxHashMap;

use crate::gateway::{callers, operator_ports, serving_memory, state};
use crate::logs;

/// Memory of the machine if the settings do not name it, in bytes.
const DEFAULT_MEMORY: usize = 256 * 1024 * 1024;
/// Part of the machine's memory that callers and upstreams may make the process hold.
const ACCOUNT_DIVISOR: usize = 2;
/// Part of the machine's memory for responses.
const RESPONSE_DIVISOR: usize = 10;
/// Part of the memory for responses that the responses of one upstream may hold.
const UPSTREAM_DIVISOR: usize = 2;

/// Returns the memory of the machine, in bytes, or the default if it is unknown.
fn machine_bytes(known: usize) -> usize {
    if known == 0 { DEFAULT_MEMORY } else { known }
}

/// The account of the process, with its parts: requests that are read leave those that are served the memory for
/// their responses, and both leave the ports for operators theirs. The rest is for refusals and log lines.
#[derive(Debug)]
pub(crate) struct MessageMemory {
    requests: sync::Arc<MemoryBudget>,
    operators: sync::Arc<MemoryBudget>,
    responses: sync::Arc<MemoryBudget>,
    upstream_capacity: usize,
    /// Budgets of the upstreams whose responses are being read or written.
    upstreams: sync::Mutex<FxHashMap<sync::Arc<str>, sync::Weak<MemoryBudget>>>,
}

impl MessageMemory {
    /// Divides the memory of the machine, in bytes; zero if it is unknown.
    pub fn new(machine: usize) -> Self {
        let machine = machine_bytes(machine);
        let capacity = machine / ACCOUNT_DIVISOR;
        let responses = machine / RESPONSE_DIVISOR;
        let account = sync::Arc::new(MemoryBudget::new(capacity));
        let part = |bytes| sync::Arc::new(MemoryBudget::part_of(&account, bytes));
        let operators = operator_ports::MEMORY_BYTES;
        let refusals = callers::REFUSAL_BYTES;
        let fixed = responses + operators + refusals + logs::MAX_WAITING_BYTES;
        Self {
            requests: part(capacity.saturating_sub(fixed)),
            operators: part(operators),
            responses: part(responses),
            upstream_capacity: responses / UPSTREAM_DIVISOR,
            upstreams: sync::Mutex::default(),
        }
    }

    /// Returns the budget of callers' connections and requests.
    pub fn requests(&self) -> sync::Arc<MemoryBudget> {
        sync::Arc::clone(&self.requests)
    }

    /// Returns the budget of connections at the ports for operators.
    pub fn operators(&self) -> sync::Arc<MemoryBudget> {
        sync::Arc::clone(&self.operators)
    }

    /// Returns a lease for a caller's request.
    pub fn request_lease(&self) -> MemoryLease {
        MemoryLease::new(self.requests())
    }

    /// Returns a lease for a response of an upstream, beyond what is charged with its request.
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
        MemoryLease::with_allowance(budget, serving_memory::RESPONSE_BYTES)
    }
}

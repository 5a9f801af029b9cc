//! Entries of a fair queue and its bounds.

use std::time;

use bon::Builder;
use coltsfoot_types::{id, name, refusal, time as clock};

/// A waiting request with its scheduling parameters.
#[derive(Builder, Clone, Debug)]
pub struct QueueEntry<T> {
    /// The request; an id is in the queue at most once.
    pub request: id::RequestId,
    /// The customer whose share it uses.
    pub customer: name::CustomerName,
    /// Weight of the customer, at least 1.
    #[builder(default = 1)]
    pub weight: u32,
    /// Priority within the customer; higher goes first.
    #[builder(default)]
    pub priority: u8,
    /// Tokens charged to the customer.
    pub tokens: u64,
    /// Instant by which service must be complete.
    pub deadline: clock::MonotonicTime,
    /// Expected service time after it leaves the queue.
    #[builder(default)]
    pub service_time: time::Duration,
    /// Payload of the embedding program.
    pub item: T,
}

impl<T> QueueEntry<T> {
    /// Returns the last instant at which service can start and still meet the deadline.
    pub fn latest_start(&self) -> clock::MonotonicTime {
        self.deadline - self.service_time
    }
}

/// An entry that was rejected, displaced or expired without being served.
#[derive(Clone, Debug)]
pub struct RefusedEntry<T> {
    /// The entry.
    pub entry: QueueEntry<T>,
    /// Why it was refused.
    pub reason: refusal::RefusalReason,
    /// Time after which the queue is expected to have room for it.
    pub retry_after: time::Duration,
}

/// Bounds of a fair queue.
#[derive(Builder, Clone, Debug)]
pub struct QueueLimits {
    /// Maximum number of entries of all customers.
    #[builder(default = 4096)]
    pub max_entries: usize,
    /// Maximum number of entries per customer.
    #[builder(default = 1024)]
    pub max_customer_entries: usize,
    /// Waiting time equivalent to one priority level.
    #[builder(default = time::Duration::from_secs(2))]
    pub aging_step: time::Duration,
    /// Unused share, in tokens at weight 1, that a customer may catch up on after it was idle or
    /// its entries were not eligible. Bounds how long a customer's burst delays the others.
    #[builder(default = 2048)]
    pub max_lag_tokens: u64,
}

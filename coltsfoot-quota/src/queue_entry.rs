//! What waits in a fair queue, and what leaves it without being served.

use std::time;

use bon::Builder;
use coltsfoot_types::{id, name, refusal, time as clock};

/// A waiting request.
#[derive(Builder, Clone, Debug)]
pub struct QueueEntry<T> {
    /// The request; an id is in the queue at most once.
    pub request: id::RequestId,
    /// The customer that it counts for.
    pub customer: name::CustomerName,
    /// Weight of the customer among the others, from 1.
    #[builder(default = 1)]
    pub weight: u32,
    /// Priority inside the customer; a higher one goes first.
    #[builder(default)]
    pub priority: u8,
    /// Tokens that it is charged with.
    pub tokens: u64,
    /// Instant by which it must have been served.
    pub deadline: clock::MonotonicTime,
    /// Time that serving it takes once it has left the queue.
    #[builder(default)]
    pub service_time: time::Duration,
    /// What the embedding program keeps with it.
    pub item: T,
}

impl<T> QueueEntry<T> {
    /// Returns the last instant at which serving it would still meet the deadline.
    pub fn latest_start(&self) -> clock::MonotonicTime {
        self.deadline - self.service_time
    }
}

/// An entry that left the queue, or never entered it, and has not run.
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
    /// Entries of all customers together.
    #[builder(default = 4096)]
    pub max_entries: usize,
    /// Entries of one customer.
    #[builder(default = 1024)]
    pub max_customer_entries: usize,
    /// Waiting time that weighs as much as one step of priority.
    #[builder(default = time::Duration::from_secs(2))]
    pub aging_step: time::Duration,
    /// Unused share, in tokens at weight 1, that a customer may catch up on after it waited for
    /// nothing or its entries could not be served. It bounds how long a customer's burst delays
    /// the others.
    #[builder(default = 2048)]
    pub max_lag_tokens: u64,
}

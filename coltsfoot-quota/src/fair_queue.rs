//! A bounded queue with weighted fair sharing of tokens among customers.
//!
//! Among customers: start-time fair queueing (Goyal, Vin, Cheng 1996) over tokens. Within a
//! customer: by priority with linear aging, which prevents starvation.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, refusal, time as clock};
use smallvec::SmallVec;

use crate::fair_order;
use crate::queue_entry;

/// Virtual time of one token at weight 1; divided by the weight.
const VIRTUAL_TOKEN: u128 = 1 << 32;

/// Sort key of an entry within its customer: the smallest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EntryRank {
    /// Arrival in microseconds, minus one aging step per priority level.
    aged_arrival: i64,
    /// Arrival number, which breaks ties.
    sequence: u64,
}

/// Customer and rank under which an entry is stored.
#[derive(Debug)]
struct EntryLocation {
    customer: name::CustomerName,
    rank: EntryRank,
}

/// The waiting entries of a customer and its virtual start time.
#[derive(Debug)]
pub(crate) struct CustomerBacklog<T> {
    pub(crate) entries: collections::BTreeMap<EntryRank, queue_entry::QueueEntry<T>>,
    pub(crate) tokens: u64,
    pub(crate) weight: u32,
    /// Virtual start time of the next entry.
    pub(crate) start: u128,
}

/// A bounded queue that shares tokens fairly among customers.
///
/// Entries leave it through [`Self::pop_where`], [`Self::cancel`] or [`Self::expire`]. Entries
/// expire only when the caller polls [`Self::expire`].
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: queue_entry::QueueLimits,
    backlogs: collections::BTreeMap<name::CustomerName, CustomerBacklog<T>>,
    locations: collections::BTreeMap<id::RequestId, EntryLocation>,
    latest_starts: collections::BTreeSet<(clock::MonotonicTime, id::RequestId)>,
    virtual_time: u128,
    sequence: u64,
    service_rate: Option<u64>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue bounded by `limits`.
    pub fn new(limits: queue_entry::QueueLimits) -> Self {
        Self {
            limits,
            backlogs: collections::BTreeMap::new(),
            locations: collections::BTreeMap::new(),
            latest_starts: collections::BTreeSet::new(),
            virtual_time: 0,
            sequence: 0,
            service_rate: None,
        }
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the waiting tokens of a customer.
    pub fn waiting_tokens(&self, customer: &name::CustomerName) -> u64 {
        self.backlogs.get(customer).map_or(0, |backlog| backlog.tokens)
    }

    /// Returns the waiting entry of a request.
    pub fn get(&self, request: id::RequestId) -> Option<&queue_entry::QueueEntry<T>> {
        let location = self.locations.get(&request)?;
        self.backlogs.get(&location.customer)?.entries.get(&location.rank)
    }

    /// Sets the recently observed service rate in tokens per second. Waits are predicted only
    /// while it is known; zero clears it.
    pub fn set_service_rate(&mut self, tokens_per_second: u64) {
        self.service_rate = Some(tokens_per_second).filter(|rate| *rate > 0);
    }

    /// Adds an entry and returns the one that it displaced, if any.
    ///
    /// Refuses the entry if its predicted wait exceeds its deadline, or if the queue is full and
    /// no other entry can be displaced. A full queue displaces the last entry of the customer with
    /// the largest backlog relative to its weight.
    pub fn push(
        &mut self,
        now: clock::MonotonicTime,
        entry: queue_entry::QueueEntry<T>,
    ) -> Result<Option<queue_entry::RefusedEntry<T>>, Box<queue_entry::RefusedEntry<T>>> {
        if self.locations.contains_key(&entry.request) {
            return Err(self.refuse(entry, refusal::RefusalReason::QueueFull));
        }
        let rank = self.rank(now, entry.priority);
        let start = now + self.predicted_wait_at(&entry.customer, entry.weight, rank);
        if start > entry.latest_start() {
            let reason = deadline_reason(now, entry.deadline);
            return Err(self.refuse(entry, reason));
        }
        let victim = match self.find_victim(&entry, rank) {
            Ok(victim) => victim,
            Err(reason) => return Err(self.refuse(entry, reason)),
        };
        let displaced = victim.and_then(|request| self.remove(request));
        self.insert(entry, rank);
        Ok(displaced.map(|entry| *self.refuse(entry, refusal::RefusalReason::QueueFull)))
    }

    /// Removes the first entry in service order that satisfies `eligible` and charges its customer.
    pub fn pop_where(
        &mut self,
        now: clock::MonotonicTime,
        mut eligible: impl FnMut(&queue_entry::QueueEntry<T>) -> bool,
    ) -> Option<queue_entry::QueueEntry<T>> {
        let request = self.find_first(now, &mut eligible)?;
        let entry = self.get(request)?;
        let customer = entry.customer.clone();
        let cost = virtual_cost(entry.tokens, entry.weight);
        let backlog = self.backlogs.get_mut(&customer)?;
        let floor = lag_floor(&self.limits, self.virtual_time, backlog.weight);
        let start = backlog.start.max(floor);
        backlog.start = start + cost;
        self.virtual_time = self.virtual_time.max(start);
        self.remove(request)
    }

    /// Removes the first entry in service order and charges its customer.
    pub fn pop(&mut self, now: clock::MonotonicTime) -> Option<queue_entry::QueueEntry<T>> {
        self.pop_where(now, |_| true)
    }

    /// Refunds a customer the tokens that a served entry was charged for but did not use.
    pub fn refund(&mut self, customer: &name::CustomerName, tokens: u64) {
        let Some(backlog) = self.backlogs.get_mut(customer) else {
            return;
        };
        let refund = virtual_cost(tokens, backlog.weight);
        backlog.start = backlog.start.saturating_sub(refund);
        self.remove_idle(customer.clone());
    }

    /// Iterates over the entries in service order, as if all were eligible.
    pub fn iter(&self) -> fair_order::FairOrder<'_, T> {
        fair_order::FairOrder::new(self.backlogs.values().map(|backlog| {
            let floor = lag_floor(&self.limits, self.virtual_time, backlog.weight);
            fair_order::OrderCursor::new(backlog, backlog.start.max(floor))
        }))
    }

    /// Removes an entry without charging its customer.
    pub fn cancel(&mut self, request: id::RequestId) -> Option<queue_entry::QueueEntry<T>> {
        self.remove(request)
    }

    /// Removes and returns the entries that can no longer meet their deadline.
    pub fn expire(
        &mut self,
        now: clock::MonotonicTime,
    ) -> SmallVec<[queue_entry::RefusedEntry<T>; 4]> {
        let mut expired = SmallVec::new();
        while let Some(&(latest_start, request)) = self.latest_starts.first() {
            if latest_start >= now {
                break;
            }
            let Some(entry) = self.remove(request) else {
                break;
            };
            let reason = deadline_reason(now, entry.deadline);
            expired.push(*self.refuse(entry, reason));
        }
        expired
    }

    /// Returns the latest start of the next entry to expire.
    pub fn next_expiry(&self) -> Option<clock::MonotonicTime> {
        self.latest_starts.first().map(|(latest_start, _)| *latest_start)
    }

    /// Returns the predicted wait of a new entry; zero while the service rate is unknown.
    pub fn predicted_wait(
        &self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        weight: u32,
        priority: u8,
    ) -> time::Duration {
        self.predicted_wait_at(customer, weight, self.rank(now, priority))
    }

    fn rank(&self, now: clock::MonotonicTime, priority: u8) -> EntryRank {
        let lead = i64::from(priority) * self.limits.aging_step.as_micros() as i64;
        EntryRank { aged_arrival: now.0 as i64 - lead, sequence: self.sequence }
    }

    /// Predicts the time until the customer's entries ahead of `rank` are served, with every other
    /// customer taking at most its weighted share.
    fn predicted_wait_at(
        &self,
        customer: &name::CustomerName,
        weight: u32,
        rank: EntryRank,
    ) -> time::Duration {
        let Some(rate) = self.service_rate else {
            return time::Duration::ZERO;
        };
        let ahead = self.backlogs.get(customer).map_or(0, |backlog| {
            backlog.entries.range(..rank).map(|(_, entry)| entry.tokens).sum::<u64>()
        });
        let others = self.backlogs.iter().filter(|(name, _)| *name != customer);
        let others = others.map(|(_, backlog)| {
            let share = ahead.saturating_mul(backlog.weight.into()) / u64::from(weight.max(1));
            backlog.tokens.min(share)
        });
        let tokens = ahead.saturating_add(others.sum());
        time::Duration::from_secs_f64(tokens as f64 / rate as f64)
    }

    /// Returns the entry to displace so that the new one fits, or `None` if there is room.
    fn find_victim(
        &self,
        entry: &queue_entry::QueueEntry<T>,
        rank: EntryRank,
    ) -> Result<Option<id::RequestId>, refusal::RefusalReason> {
        let own = self.backlogs.get(&entry.customer);
        if own.is_some_and(|own| own.entries.len() >= self.limits.max_customer_entries) {
            return self.last_behind(&entry.customer, rank).map(Some);
        }
        if self.locations.len() < self.limits.max_entries {
            return Ok(None);
        }
        let largest = self
            .backlogs
            .iter()
            .max_by_key(|(_, backlog)| virtual_cost(backlog.tokens, backlog.weight));
        let Some((largest, backlog)) = largest else {
            return Err(refusal::RefusalReason::QueueFull);
        };
        if *largest == entry.customer {
            return self.last_behind(largest, rank).map(Some);
        }
        let tokens = own.map_or(0, |own| own.tokens) + entry.tokens;
        if virtual_cost(tokens, entry.weight) > virtual_cost(backlog.tokens, backlog.weight) {
            return Err(refusal::RefusalReason::QueueFull);
        }
        Ok(backlog.entries.last_key_value().map(|(_, last)| last.request))
    }

    fn last_behind(
        &self,
        customer: &name::CustomerName,
        rank: EntryRank,
    ) -> Result<id::RequestId, refusal::RefusalReason> {
        let last = self.backlogs.get(customer).and_then(|own| own.entries.last_key_value());
        last.filter(|(last_rank, _)| **last_rank > rank)
            .map(|(_, last)| last.request)
            .ok_or(refusal::RefusalReason::QueueFull)
    }

    fn insert(&mut self, entry: queue_entry::QueueEntry<T>, rank: EntryRank) {
        let customer = entry.customer.clone();
        let floor = lag_floor(&self.limits, self.virtual_time, entry.weight);
        let backlog = self.backlogs.entry(customer.clone()).or_insert_with(|| CustomerBacklog {
            entries: collections::BTreeMap::new(),
            tokens: 0,
            weight: entry.weight.max(1),
            start: floor,
        });
        if backlog.entries.is_empty() {
            backlog.start = backlog.start.max(floor);
        }
        backlog.weight = entry.weight.max(1);
        backlog.tokens += entry.tokens;
        self.sequence += 1;
        self.latest_starts.insert((entry.latest_start(), entry.request));
        self.locations.insert(entry.request, EntryLocation { customer, rank });
        backlog.entries.insert(rank, entry);
    }

    fn remove(&mut self, request: id::RequestId) -> Option<queue_entry::QueueEntry<T>> {
        let location = self.locations.remove(&request)?;
        let backlog = self.backlogs.get_mut(&location.customer)?;
        let entry = backlog.entries.remove(&location.rank)?;
        backlog.tokens -= entry.tokens;
        self.latest_starts.remove(&(entry.latest_start(), request));
        self.remove_idle(location.customer);
        Some(entry)
    }

    /// Drops a customer that has no entries and no virtual time ahead of the lag floor.
    fn remove_idle(&mut self, customer: name::CustomerName) {
        let collections::btree_map::Entry::Occupied(occupied) = self.backlogs.entry(customer)
        else {
            return;
        };
        let floor = lag_floor(&self.limits, self.virtual_time, occupied.get().weight);
        if occupied.get().entries.is_empty() && occupied.get().start <= floor {
            occupied.remove();
        }
    }

    /// Finds the first eligible entry, trying customers in order of virtual start time.
    fn find_first(
        &mut self,
        now: clock::MonotonicTime,
        eligible: &mut impl FnMut(&queue_entry::QueueEntry<T>) -> bool,
    ) -> Option<id::RequestId> {
        let virtual_time = self.virtual_time;
        let limits = &self.limits;
        let floor = |weight| lag_floor(limits, virtual_time, weight);
        self.backlogs.retain(|_, backlog| {
            !backlog.entries.is_empty() || backlog.start > floor(backlog.weight)
        });
        let mut order = self.backlogs.values().collect::<SmallVec<[_; 16]>>();
        order.sort_by_key(|backlog| backlog.start.max(floor(backlog.weight)));
        let entries = order.into_iter().flat_map(|backlog| backlog.entries.values());
        let mut startable = entries.filter(|entry| entry.latest_start() >= now);
        startable.find(|entry| eligible(entry)).map(|entry| entry.request)
    }

    fn refuse(
        &self,
        entry: queue_entry::QueueEntry<T>,
        reason: refusal::RefusalReason,
    ) -> Box<queue_entry::RefusedEntry<T>> {
        let last = EntryRank { aged_arrival: i64::MAX, sequence: u64::MAX };
        let retry_after = self.predicted_wait_at(&entry.customer, entry.weight, last);
        Box::new(queue_entry::RefusedEntry { entry, reason, retry_after })
    }
}

/// Returns the virtual time that `tokens` take at `weight`.
pub(crate) fn virtual_cost(tokens: u64, weight: u32) -> u128 {
    u128::from(tokens) * VIRTUAL_TOKEN / u128::from(weight.max(1))
}

/// Returns the earliest virtual start time of a customer that used less than its share.
fn lag_floor(limits: &queue_entry::QueueLimits, virtual_time: u128, weight: u32) -> u128 {
    virtual_time.saturating_sub(virtual_cost(limits.max_lag_tokens, weight))
}

fn deadline_reason(
    now: clock::MonotonicTime,
    deadline: clock::MonotonicTime,
) -> refusal::RefusalReason {
    if now > deadline {
        return refusal::RefusalReason::DeadlineExceeded;
    }
    refusal::RefusalReason::DeadlineUnreachable
}

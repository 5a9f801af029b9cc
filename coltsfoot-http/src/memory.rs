//! An account of the memory that peers make a process hold. What is held is charged before, so that all peers
//! together never hold more than the account has, whatever each of them may hold.

use std::mem;
use std::sync;
use std::sync::atomic;

use crate::header;

/// Memory of a field of a decoded head beyond its bytes: the entry of the list and two allocations.
const FIELD_BYTES: usize = mem::size_of::<header::HeaderField>() + 2 * 16;

/// Number of bytes that messages and connections may hold together.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    used: atomic::AtomicUsize,
    /// The budget that this one is a part of.
    parent: Option<sync::Arc<Self>>,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used: atomic::AtomicUsize::new(0), parent: None }
    }

    /// Creates a budget that takes at most `capacity` bytes of another one.
    pub fn part_of(parent: &sync::Arc<Self>, capacity: usize) -> Self {
        Self { parent: Some(sync::Arc::clone(parent)), ..Self::new(capacity) }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(atomic::Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let within = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.capacity);
        let (set, fetch) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        if self.used.fetch_update(set, fetch, within).is_err() {
            return false;
        }
        let is_taken = self.parent.as_ref().is_none_or(|parent| parent.take(bytes));
        if !is_taken {
            self.used.fetch_sub(bytes, atomic::Ordering::Relaxed);
        }
        is_taken
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, atomic::Ordering::Relaxed);
        if let Some(parent) = &self.parent {
            parent.give_back(bytes);
        }
    }
}

/// Bytes that one message or connection holds of a budget, given back on drop.
#[derive(Debug, Default)]
pub struct MemoryLease {
    budget: Option<sync::Arc<MemoryBudget>>,
    counted: usize,
    /// Bytes that are charged to another lease.
    allowance: usize,
}

impl MemoryLease {
    /// Creates a lease of a budget, without bytes.
    pub fn new(budget: sync::Arc<MemoryBudget>) -> Self {
        Self::with_allowance(budget, 0)
    }

    /// Creates a lease whose first bytes, the allowance, are charged to another lease.
    pub fn with_allowance(budget: sync::Arc<MemoryBudget>, allowance: usize) -> Self {
        Self { budget: Some(budget), counted: 0, allowance }
    }

    /// Creates a lease that counts nothing, for peers that are trusted.
    pub fn unlimited() -> Self {
        Self::default()
    }

    /// Returns the number of bytes that are counted.
    pub fn counted(&self) -> usize {
        self.counted
    }

    /// Returns the number of bytes that may be held.
    pub fn held(&self) -> usize {
        match self.budget {
            Some(_) => self.allowance + self.counted,
            None => usize::MAX,
        }
    }

    /// Extends the lease to `bytes`; returns false if the budget has not enough left.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.allowance).saturating_sub(self.counted);
        let is_taken = self.budget.as_ref().is_none_or(|budget| budget.take(missing));
        if is_taken && self.budget.is_some() {
            self.counted += missing;
        }
        is_taken
    }

    /// Gives back what the lease has beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.counted.saturating_sub(bytes.saturating_sub(self.allowance));
        if let Some(budget) = self.budget.as_ref().filter(|_| excess > 0) {
            budget.give_back(excess);
            self.counted -= excess;
        }
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Returns the memory of a head once it is decoded, from its length in bytes and its number of fields.
pub fn decoded_head_bytes(length: usize, fields: usize) -> usize {
    length + fields * FIELD_BYTES
}

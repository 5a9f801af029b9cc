//! Memory for buffered messages, shared by all connections of a process: each message is bounded by itself, but
//! a faulty peer may send many at once.

use std::sync;
use std::sync::atomic;

/// Bytes of each message that are not counted, so that small messages are read whatever others hold.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Number of bytes that messages may hold together.
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

/// Bytes that one message holds of a budget, given back on drop.
#[derive(Debug, Default)]
pub struct MemoryLease {
    budget: Option<sync::Arc<MemoryBudget>>,
    counted: usize,
}

impl MemoryLease {
    /// Creates a lease of a budget, without bytes.
    pub fn new(budget: sync::Arc<MemoryBudget>) -> Self {
        Self { budget: Some(budget), counted: 0 }
    }

    /// Creates a lease that counts nothing, for peers that are trusted.
    pub fn unlimited() -> Self {
        Self::default()
    }

    /// Returns the number of bytes that are counted.
    pub fn counted(&self) -> usize {
        self.counted
    }

    /// Extends the lease to a message of `bytes`; returns false if the budget has not enough left.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(UNCOUNTED_BYTES).saturating_sub(self.counted);
        let is_taken = self.budget.as_ref().is_none_or(|budget| budget.take(missing));
        if is_taken {
            self.counted += missing;
        }
        is_taken
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget {
            budget.give_back(self.counted);
        }
    }
}

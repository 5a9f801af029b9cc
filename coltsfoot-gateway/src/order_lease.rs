//! Which engines this instance may give orders to.
//!
//! Engines are spread over the partitions of a group in the platform's store. An instance that a
//! partition is dealt to may give orders to its engines while its own renewals are recent, and only
//! after any earlier holder must have stopped.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Settings of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Time for which a renewal allows orders, from its sending. Not above the group's time limit.
    pub validity: time::Duration,
    /// Time that orders of two holders must lie apart.
    pub separation: time::Duration,
    /// Time without orders after the instance noticed that it stood still.
    pub thaw_pause: time::Duration,
}

/// Allowance for the time between the check and the order's arrival at an engine.
const ORDER_DELAY: time::Duration = time::Duration::from_millis(300);

#[derive(Clone, Copy, Debug)]
struct HeldPartition {
    fence: u64,
    orders_from: clock::MonotonicTime,
    valid_until: clock::MonotonicTime,
}

/// The partitions held. Times are of a clock that goes on while the machine is suspended.
#[derive(Clone, Debug)]
pub struct OrderLease {
    settings: LeaseSettings,
    held: FxHashMap<u32, HeldPartition>,
    generation: u64,
    paused_until: clock::MonotonicTime,
}

impl OrderLease {
    /// Creates a lease that holds nothing.
    pub fn new(settings: LeaseSettings) -> Self {
        let paused_until = clock::MonotonicTime::default();
        Self { settings, held: FxHashMap::default(), generation: 0, paused_until }
    }

    /// Returns the generation of the group that was received last.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes the answer to a renewal that was sent at `sent`. Returns whether anything changed.
    pub fn renew(
        &mut self,
        sent: clock::MonotonicTime,
        now: clock::MonotonicTime,
        generation: u64,
        partitions: &[u32],
    ) -> bool {
        if generation < self.generation {
            return false;
        }
        self.generation = generation;
        let count_before = self.held.len();
        self.held.retain(|partition, _| partitions.contains(partition));
        let mut has_changed = self.held.len() != count_before;
        let valid_until = sent + self.settings.validity;
        let wait = self.settings.validity + self.settings.separation + ORDER_DELAY;
        for partition in partitions {
            match self.held.get_mut(partition) {
                Some(held) if now < held.valid_until => held.valid_until = valid_until,
                _ => {
                    let orders_from = now + wait;
                    let held = HeldPartition { fence: generation, orders_from, valid_until };
                    self.held.insert(*partition, held);
                    has_changed = true;
                }
            }
        }
        has_changed
    }

    /// Notes that the instance stood still until `now`.
    pub fn pause(&mut self, now: clock::MonotonicTime) {
        self.paused_until = now + self.settings.thaw_pause;
    }

    /// Gives up all partitions.
    pub fn release(&mut self) {
        self.held.clear();
    }

    /// Returns the partitions held, also those without leave for orders yet.
    pub fn partitions(&self) -> impl Iterator<Item = u32> {
        self.held.keys().copied()
    }

    /// Returns the fencing number under which a partition is held.
    pub fn fence(&self, partition: u32) -> Option<u64> {
        self.held.get(&partition).map(|held| held.fence)
    }

    /// Returns the fencing number for an order now, if one may be given.
    pub fn order_fence(&self, now: clock::MonotonicTime, partition: u32) -> Option<u64> {
        let held = self.held.get(&partition)?;
        let may_order =
            now >= held.orders_from && now < held.valid_until && now >= self.paused_until;
        may_order.then_some(held.fence)
    }
}

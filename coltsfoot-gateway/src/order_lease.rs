//! Which engines this instance may give orders to.
//!
//! Engines are spread over the partitions of a group in the platform's store. An instance that a
//! partition is dealt to may give orders to its engines while its own renewals are recent, and only
//! after any earlier holder must have stopped. The store also keeps the last holder of each
//! partition: a machine that finds itself there, after a restart, has nobody to wait for.
//!
//! While the store is out, a holder goes on as long as every other instance keeps telling that it
//! can't reach the store either and does not hold the partition.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Settings of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Time for which a renewal allows orders, from its sending.
    pub validity: time::Duration,
    /// Time that orders of two holders must lie apart.
    pub separation: time::Duration,
    /// Time without orders after the instance noticed that it stood still.
    pub thaw_pause: time::Duration,
}

impl LeaseSettings {
    /// Returns how long a new holder waits for the orders of an earlier one to be over: it may have
    /// been passed over without a request, right after a renewal.
    fn takeover_wait(&self) -> time::Duration {
        self.validity + self.separation + ORDER_DELAY
    }
}

/// Allowance for the time between the check and the order's arrival at an engine.
const ORDER_DELAY: time::Duration = time::Duration::from_millis(300);
/// Longest time for which other instances can stand in for renewals.
const MAX_OUTAGE: time::Duration = time::Duration::from_secs(8);
/// Age up to which the word of another instance stands in for a renewal. With the order delay it
/// stays below the validity, for which a new holder waits.
const MAX_WITNESS_AGE: time::Duration = time::Duration::from_millis(600);
/// Time since another instance reached the store from which on the store counts as out for it.
const OUTAGE_AGE: time::Duration = time::Duration::from_millis(1000);

/// What another instance told of its own lease.
#[derive(Clone, Debug)]
pub struct PeerLease {
    /// When it told.
    pub heard: clock::MonotonicTime,
    /// How long before it had reached the store last.
    pub store_age: time::Duration,
    /// Partitions that it holds.
    pub partitions: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
struct HeldPartition {
    fence: u64,
    acquired: clock::MonotonicTime,
    valid_until: clock::MonotonicTime,
    right: OrderRight,
    /// The record of the last holder when it was looked up first; `None` before.
    first_seen: Option<LastHolder>,
}

/// The last holder of a partition, as the store keeps it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastHolder {
    /// Whether it is this machine.
    pub is_this_machine: bool,
    /// Offset of the record; `None` if there is none.
    pub offset: Option<u64>,
}

/// How far a holder is on the way to its first order. `list_end` is the end of the list of holders
/// when it was read: a record counts only if nothing was added since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderRight {
    /// The last holder isn't known.
    Unknown,
    /// This machine is the last holder, and is to be written down again.
    Own { list_end: u64 },
    /// Another machine may have held the partition.
    Foreign { list_end: u64 },
    /// This machine was written down as the holder; the next renewal must still show that.
    Recorded { by: clock::MonotonicTime },
    /// Orders may be given from then on.
    From(clock::MonotonicTime),
}

/// The partitions held. Times are of a clock that goes on while the machine is suspended.
#[derive(Clone, Debug)]
pub struct OrderLease {
    settings: LeaseSettings,
    held: FxHashMap<u32, HeldPartition>,
    generation: u64,
    renewed: clock::MonotonicTime,
    paused_until: clock::MonotonicTime,
}

impl OrderLease {
    /// Creates a lease that holds nothing.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            held: FxHashMap::default(),
            generation: 0,
            renewed: clock::MonotonicTime::default(),
            paused_until: clock::MonotonicTime::default(),
        }
    }

    /// Returns the generation of the group that was received last.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns when the renewal was sent that was answered last.
    pub fn renewed(&self) -> clock::MonotonicTime {
        self.renewed
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
        self.renewed = sent;
        let count_before = self.held.len();
        self.held.retain(|partition, _| partitions.contains(partition));
        let mut has_changed = self.held.len() != count_before;
        let valid_until = sent + self.settings.validity;
        // Another machine may have held a partition whose lease had lapsed, unnoticed here.
        self.held.retain(|_, held| now < held.valid_until);
        for partition in partitions {
            let held = self.held.entry(*partition).or_insert_with(|| {
                has_changed = true;
                HeldPartition {
                    fence: generation,
                    acquired: now,
                    valid_until,
                    right: OrderRight::Unknown,
                    first_seen: None,
                }
            });
            held.valid_until = valid_until;
            if let OrderRight::Recorded { by } = held.right
                && sent >= by
            {
                held.right = OrderRight::From(now);
            }
        }
        has_changed
    }

    /// Returns whether a last holder is to be looked up or written down now.
    pub fn needs_holder_update(&self, now: clock::MonotonicTime) -> bool {
        !self.unknown_holders().is_empty() || !self.pending_records(now).is_empty()
    }

    /// Returns the partitions whose last holder must be looked up.
    pub fn unknown_holders(&self) -> Vec<u32> {
        let unknown = self.held.iter().filter(|(_, held)| held.right == OrderRight::Unknown);
        unknown.map(|(partition, _)| *partition).collect()
    }

    /// Takes the last holder of a partition and the end of the list of holders, both read after the
    /// partition was dealt to this instance. If the record has changed since it was looked up
    /// first, the partition was somebody else's in between, and starts over with the next renewal.
    pub fn set_last_holder(&mut self, partition: u32, holder: LastHolder, list_end: u64) {
        let Some(held) = self.held.get_mut(&partition) else { return };
        if held.right != OrderRight::Unknown {
            return;
        }
        if *held.first_seen.get_or_insert(holder) != holder {
            self.held.remove(&partition);
            return;
        }
        held.right = match holder.is_this_machine {
            true => OrderRight::Own { list_end },
            false => OrderRight::Foreign { list_end },
        };
    }

    /// Returns the partitions for which this machine is to be written down as the holder now, with
    /// the end that the list of holders must still have.
    pub fn pending_records(&self, now: clock::MonotonicTime) -> Vec<(u32, u64)> {
        let due = self.held.iter().filter_map(|(partition, held)| match held.right {
            OrderRight::Own { list_end } => Some((*partition, list_end)),
            OrderRight::Foreign { list_end } => {
                // Only a machine that need not wait any more may find itself as the last holder.
                let free = held.acquired + self.settings.takeover_wait();
                (now >= free).then_some((*partition, list_end))
            }
            _ => None,
        });
        due.collect()
    }

    /// Notes that this machine was written down as the holder of a partition, and the end of the
    /// list before and after.
    pub fn holder_recorded(
        &mut self,
        now: clock::MonotonicTime,
        partition: u32,
        before: u64,
        after: u64,
    ) {
        for (other, held) in &mut self.held {
            match &mut held.right {
                OrderRight::Own { .. } if *other == partition => held.right = OrderRight::From(now),
                OrderRight::Foreign { .. } if *other == partition => {
                    held.right = OrderRight::Recorded { by: now };
                }
                // Nobody else has added to the list in between.
                OrderRight::Own { list_end } | OrderRight::Foreign { list_end }
                    if *list_end == before =>
                {
                    *list_end = after;
                }
                _ => {}
            }
        }
    }

    /// Returns whether the next renewal gives leave for orders.
    pub fn awaits_renewal(&self) -> bool {
        self.held.values().any(|held| matches!(held.right, OrderRight::Recorded { .. }))
    }

    /// Notes that a record failed, or that it isn't known whether it did: the last holder must be
    /// looked up again.
    pub fn holder_record_failed(&mut self, partition: u32) {
        if let Some(held) = self.held.get_mut(&partition)
            && matches!(held.right, OrderRight::Own { .. } | OrderRight::Foreign { .. })
        {
            held.right = OrderRight::Unknown;
        }
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

    /// Lets the word of all other known instances stand in for renewals. A lease that has lapsed
    /// stays lapsed: somebody may have held the partition since.
    pub fn extend(&mut self, now: clock::MonotonicTime, witnesses: &[PeerLease]) {
        let Some(oldest) = witnesses.iter().map(|witness| witness.heard).min() else { return };
        let is_out = witnesses.iter().all(|witness| witness.store_age >= OUTAGE_AGE);
        let limit = self.renewed + self.settings.validity + MAX_OUTAGE;
        let until = (oldest + MAX_WITNESS_AGE).min(limit);
        if !is_out {
            return;
        }
        for (partition, held) in &mut self.held {
            let is_taken = witnesses.iter().any(|witness| witness.partitions.contains(partition));
            if now < held.valid_until && !is_taken {
                held.valid_until = held.valid_until.max(until);
            }
        }
    }

    /// Returns the fencing number for an order now, if one may be given.
    pub fn order_fence(&self, now: clock::MonotonicTime, partition: u32) -> Option<u64> {
        let held = self.held.get(&partition)?;
        let OrderRight::From(from) = held.right else { return None };
        let is_valid = now < held.valid_until;
        (now >= from && now >= self.paused_until && is_valid).then_some(held.fence)
    }
}

//! Lease that allows this instance to send orders to engines.
//!
//! Engines are assigned to the partitions of a group in the platform's store. An instance that holds a
//! partition may send orders to its engines while its last renewal is recent, and only after the lease
//! of any earlier holder must have expired. The store also records the last holder of
//! each partition: a machine that finds itself there after a restart need not wait for anybody.
//!
//! During an outage of the store, a holder continues as long as every other instance keeps reporting
//! that it can't reach the store either and does not hold the partition.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet::TopicPosition;
use rustc_hash::FxHashMap;

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Time for which a renewal allows orders, counted from when it was sent.
    pub validity: time::Duration,
    /// Minimum time between orders of two holders.
    pub separation: time::Duration,
    /// Time without orders after the instance was stalled or suspended.
    pub thaw_pause: time::Duration,
}

impl LeaseSettings {
    /// Returns how long a new holder waits until the orders of an earlier one have ended: the partition
    /// may have been reassigned without its knowledge, right after it renewed.
    fn takeover_wait(&self) -> time::Duration {
        self.validity + self.separation + ORDER_DELAY
    }
}

/// Allowance for the time between the check of the lease and the arrival of the order at the engine.
const ORDER_DELAY: time::Duration = time::Duration::from_millis(300);
/// Longest time for which reports of other instances replace renewals.
const MAX_STORE_OUTAGE: time::Duration = time::Duration::from_secs(8);
/// Age up to which the report of another instance replaces a renewal. Together with the order delay it
/// is shorter than the validity, for which a new holder waits.
const MAX_PEER_AGE: time::Duration = time::Duration::from_millis(600);
/// Time since an instance last reached the store after which the store counts as unreachable for it.
const STORE_OUTAGE_AGE: time::Duration = time::Duration::from_millis(1000);

/// State of the lease of another instance, from its heartbeat.
#[derive(Clone, Debug)]
pub struct PeerLease {
    /// Arrival of the heartbeat.
    pub heard: clock::MonotonicTime,
    /// Time since it had last reached the store.
    pub store_age: time::Duration,
    /// Partitions that it holds.
    pub partitions: Vec<u32>,
}

/// Number of low bits of a fencing number that hold the generation; the era is above.
const GENERATION_BITS: u32 = 32;

/// Generation of a group. Numbers only increase within an era of the store: one that is restored from an older
/// copy assigns some of them again.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupGeneration {
    /// How often the store was restored.
    pub era: u64,
    /// Increases with each change of the group's membership.
    pub number: u64,
}

impl GroupGeneration {
    /// Returns the fencing number of a holder since this generation, which rises from era to era as well.
    fn fence(self) -> u64 {
        (self.era << GENERATION_BITS) | self.number
    }
}

/// One uninterrupted holding of a partition. What was learned or decided in it is void once it has ended,
/// since another machine may have acted in between, even if the partition is assigned to this one again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTenure(u64);

#[derive(Clone, Copy, Debug)]
struct HeldPartition {
    tenure: LeaseTenure,
    fence: u64,
    acquired: clock::MonotonicTime,
    valid_until: clock::MonotonicTime,
    permission: OrderPermission,
    /// Result of the first lookup of the last holder; `None` before.
    first_looked_up: Option<LastHolder>,
}

impl HeldPartition {
    /// Returns whether orders may be sent, now or after a pause.
    fn is_settled(&self) -> bool {
        matches!(self.permission, OrderPermission::AllowedFrom(_))
    }
}

/// The last holder of a partition, as recorded in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastHolder {
    /// Whether the last holder is this machine, recorded in the store's present era: a restored store may
    /// have lost the record of a later holder.
    pub is_this_machine: bool,
    /// Offset of the record; `None` if there is none.
    pub offset: Option<u64>,
}

/// Progress of a holder towards its first order. `list_end` is the end of the list of holders at the
/// time of the lookup: a record is accepted only if nothing was appended since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderPermission {
    /// The last holder has not been looked up.
    Unknown,
    /// This machine is the last holder and must be recorded again.
    Own { list_end: TopicPosition },
    /// Another machine may have held the partition.
    Foreign { list_end: TopicPosition },
    /// This machine is recorded as the holder; a renewal sent at `by` or later must confirm it.
    Recorded { by: clock::MonotonicTime },
    /// Orders may be sent from this time on.
    AllowedFrom(clock::MonotonicTime),
}

/// Lease on the partitions held. Requires a clock that advances while the machine is suspended.
#[derive(Clone, Debug)]
pub struct OrderLease {
    settings: LeaseSettings,
    /// Time until the orders of an earlier holder have ended.
    takeover_wait: time::Duration,
    held: FxHashMap<u32, HeldPartition>,
    /// Tenures begun so far.
    tenure_count: u64,
    generation: GroupGeneration,
    renewed: clock::MonotonicTime,
    paused_until: clock::MonotonicTime,
}

impl OrderLease {
    /// Creates a lease without partitions.
    pub fn new(settings: LeaseSettings) -> Self {
        Self::with_wait(settings, settings.takeover_wait())
    }

    /// Creates a lease on partitions of a zone that this instance is not in. The instances of that zone may have
    /// been cut off together with the store, in which they extend their leases without hearing of this one.
    /// `ended_tenures` is the number of tenures of leases on the zone before.
    pub fn adopting(settings: LeaseSettings, ended_tenures: u64) -> Self {
        let wait = settings.takeover_wait() + MAX_STORE_OUTAGE;
        Self { tenure_count: ended_tenures, ..Self::with_wait(settings, wait) }
    }

    /// Returns the number of tenures begun so far.
    pub fn tenure_count(&self) -> u64 {
        self.tenure_count
    }

    fn with_wait(settings: LeaseSettings, takeover_wait: time::Duration) -> Self {
        Self {
            settings,
            takeover_wait,
            held: FxHashMap::default(),
            tenure_count: 0,
            generation: GroupGeneration::default(),
            renewed: clock::MonotonicTime::default(),
            paused_until: clock::MonotonicTime::default(),
        }
    }

    /// Returns the latest known generation of the group.
    pub fn generation(&self) -> GroupGeneration {
        self.generation
    }

    /// Returns when the last answered renewal was sent.
    pub fn renewed(&self) -> clock::MonotonicTime {
        self.renewed
    }

    /// Applies the answer to a renewal that was sent at `sent`. Returns whether the partitions changed.
    pub fn renew(
        &mut self,
        sent: clock::MonotonicTime,
        now: clock::MonotonicTime,
        generation: GroupGeneration,
        partitions: &[u32],
    ) -> bool {
        if generation < self.generation {
            return false;
        }
        let is_restored = generation.era != self.generation.era;
        self.generation = generation;
        self.renewed = sent;
        let count_before = self.held.len();
        self.held.retain(|partition, held| {
            // What was looked up or recorded before the restore may be lost.
            let is_current = !is_restored || held.is_settled();
            is_current && partitions.contains(partition)
        });
        let mut has_changed = self.held.len() != count_before;
        let valid_until = sent + self.settings.validity;
        // Another machine may have held a partition since its lease expired here.
        self.held.retain(|_, held| now < held.valid_until);
        for partition in partitions {
            let held = self.held.entry(*partition).or_insert_with(|| {
                has_changed = true;
                self.tenure_count += 1;
                HeldPartition {
                    tenure: LeaseTenure(self.tenure_count),
                    fence: generation.fence(),
                    acquired: now,
                    valid_until,
                    permission: OrderPermission::Unknown,
                    first_looked_up: None,
                }
            });
            held.valid_until = valid_until;
            if let OrderPermission::Recorded { by } = held.permission
                && sent >= by
            {
                held.permission = OrderPermission::AllowedFrom(now);
            }
        }
        has_changed
    }

    /// Returns whether a last holder must be looked up or recorded now.
    pub fn needs_holder_update(&self, now: clock::MonotonicTime) -> bool {
        !self.unknown_holders().is_empty() || !self.pending_records(now).is_empty()
    }

    /// Returns the partitions whose last holder must be looked up.
    pub fn unknown_holders(&self) -> Vec<u32> {
        let unknown =
            self.held.iter().filter(|(_, held)| held.permission == OrderPermission::Unknown);
        unknown.map(|(partition, _)| *partition).collect()
    }

    /// Sets the last holder of a partition and the end of the list of holders, both read after the
    /// partition was assigned to this instance. If the record has changed since the first lookup, another
    /// machine held the partition in between; the partition is acquired anew at the next renewal.
    pub fn set_last_holder(&mut self, partition: u32, holder: LastHolder, list_end: TopicPosition) {
        let Some(held) = self.held.get_mut(&partition) else { return };
        let is_current = list_end.era == self.generation.era;
        if held.permission != OrderPermission::Unknown || !is_current {
            return;
        }
        if *held.first_looked_up.get_or_insert(holder) != holder {
            self.held.remove(&partition);
            return;
        }
        held.permission = match holder.is_this_machine {
            true => OrderPermission::Own { list_end },
            false => OrderPermission::Foreign { list_end },
        };
    }

    /// Returns the partitions for which this machine must be recorded as the holder now, with the end
    /// that the list of holders must still have.
    pub fn pending_records(&self, now: clock::MonotonicTime) -> Vec<(u32, TopicPosition)> {
        let due = self.held.iter().filter_map(|(partition, held)| match held.permission {
            OrderPermission::Own { list_end } => Some((*partition, list_end)),
            OrderPermission::Foreign { list_end } => {
                // Recorded only after the wait: a machine recorded as the last holder does not wait again.
                let wait_end = held.acquired + self.takeover_wait;
                (now >= wait_end).then_some((*partition, list_end))
            }
            _ => None,
        });
        due.collect()
    }

    /// Handles the success of recording this machine as the holder of a partition. `before` and `after`
    /// are the ends of the list around the record.
    pub fn holder_recorded(
        &mut self,
        now: clock::MonotonicTime,
        partition: u32,
        before: TopicPosition,
        after: TopicPosition,
    ) {
        if before.era != after.era {
            self.holder_record_failed(partition);
            return;
        }
        for (other, held) in &mut self.held {
            match &mut held.permission {
                OrderPermission::Own { .. } if *other == partition => {
                    held.permission = OrderPermission::AllowedFrom(now);
                }
                OrderPermission::Foreign { .. } if *other == partition => {
                    held.permission = OrderPermission::Recorded { by: now };
                }
                // No other machine has appended to the list in between.
                OrderPermission::Own { list_end } | OrderPermission::Foreign { list_end }
                    if *list_end == before =>
                {
                    *list_end = after;
                }
                _ => {}
            }
        }
    }

    /// Returns whether the next renewal allows orders for some partition.
    pub fn awaits_renewal(&self) -> bool {
        self.held.values().any(|held| matches!(held.permission, OrderPermission::Recorded { .. }))
    }

    /// Handles a record that failed or whose outcome is unknown: the last holder must be looked up again.
    pub fn holder_record_failed(&mut self, partition: u32) {
        if let Some(held) = self.held.get_mut(&partition)
            && matches!(
                held.permission,
                OrderPermission::Own { .. } | OrderPermission::Foreign { .. }
            )
        {
            held.permission = OrderPermission::Unknown;
        }
    }

    /// Blocks orders for a while after the instance was stalled or suspended until `now`.
    pub fn pause(&mut self, now: clock::MonotonicTime) {
        self.paused_until = now + self.settings.thaw_pause;
    }

    /// Releases all partitions.
    pub fn release(&mut self) {
        self.held.clear();
    }

    /// Returns the partitions held, including those for which orders are not allowed yet.
    pub fn partitions(&self) -> impl Iterator<Item = u32> {
        self.held.keys().copied()
    }

    /// Returns the fencing number under which a partition is held.
    pub fn fence(&self, partition: u32) -> Option<u64> {
        self.held.get(&partition).map(|held| held.fence)
    }

    /// Returns the tenure in which a partition is held.
    pub fn tenure(&self, partition: u32) -> Option<LeaseTenure> {
        self.held.get(&partition).map(|held| held.tenure)
    }

    /// Extends the lease during an outage of the store, if the reports of all other known instances allow
    /// it. An expired lease is not extended: another machine may have held the partition since.
    pub fn extend(&mut self, now: clock::MonotonicTime, peers: &[PeerLease]) {
        let Some(oldest) = peers.iter().map(|peer| peer.heard).min() else { return };
        let is_store_down = peers.iter().all(|peer| peer.store_age >= STORE_OUTAGE_AGE);
        let limit = self.renewed + self.settings.validity + MAX_STORE_OUTAGE;
        let until = (oldest + MAX_PEER_AGE).min(limit);
        if !is_store_down {
            return;
        }
        for (partition, held) in &mut self.held {
            let is_held_elsewhere = peers.iter().any(|peer| peer.partitions.contains(partition));
            if now < held.valid_until && !is_held_elsewhere {
                held.valid_until = held.valid_until.max(until);
            }
        }
    }

    /// Returns the fencing number for an order that was decided on in a tenure, if one may be sent now.
    pub fn order_fence(
        &self,
        now: clock::MonotonicTime,
        partition: u32,
        tenure: LeaseTenure,
    ) -> Option<u64> {
        let held = self.held.get(&partition).filter(|held| held.tenure == tenure)?;
        let OrderPermission::AllowedFrom(from) = held.permission else { return None };
        let is_valid = now < held.valid_until;
        (now >= from && now >= self.paused_until && is_valid).then_some(held.fence)
    }
}

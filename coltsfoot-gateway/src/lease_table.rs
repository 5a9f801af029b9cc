//! Leases on the engines of several zones: the own one, and those that have no instance.

use std::sync;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

use crate::order_lease;

/// The leases that an instance holds or seeks, one for each zone.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    settings: order_lease::LeaseSettings,
    own: order_lease::OrderLease,
    own_zone: sync::Arc<str>,
    adopted: FxHashMap<sync::Arc<str>, order_lease::OrderLease>,
    /// Most tenures of a lease that was given back, after which those of the next one are numbered.
    ended_tenures: u64,
}

impl LeaseTable {
    /// Creates a table with the lease of the own zone, without partitions.
    pub fn new(own_zone: sync::Arc<str>, settings: order_lease::LeaseSettings) -> Self {
        let own = order_lease::OrderLease::new(settings);
        Self { settings, own, own_zone, adopted: FxHashMap::default(), ended_tenures: 0 }
    }

    /// Returns the lease of the own zone.
    pub fn own(&self) -> &order_lease::OrderLease {
        &self.own
    }

    /// Returns the lease of the own zone, to change it.
    pub fn own_mut(&mut self) -> &mut order_lease::OrderLease {
        &mut self.own
    }

    /// Returns the lease of a zone; `None` if the zone is not adopted.
    pub fn zone(&self, zone: &str) -> Option<&order_lease::OrderLease> {
        if *zone == *self.own_zone { Some(&self.own) } else { self.adopted.get(zone) }
    }

    /// Returns the lease of a zone, to change it; `None` if the zone is not adopted.
    pub fn zone_mut(&mut self, zone: &str) -> Option<&mut order_lease::OrderLease> {
        if *zone == *self.own_zone { Some(&mut self.own) } else { self.adopted.get_mut(zone) }
    }

    /// Adds a zone without instances, whose partitions this instance seeks to hold.
    pub fn adopt(&mut self, zone: &sync::Arc<str>) {
        if *zone != self.own_zone && !self.adopted.contains_key(zone) {
            let lease = order_lease::OrderLease::adopting(self.settings, self.ended_tenures);
            self.adopted.insert(sync::Arc::clone(zone), lease);
        }
    }

    /// Gives the partitions of a zone back. Returns whether it was adopted.
    pub fn give_back(&mut self, zone: &str) -> bool {
        let Some(lease) = self.adopted.remove(zone) else { return false };
        self.ended_tenures = self.ended_tenures.max(lease.tenure_count());
        true
    }

    /// Returns the adopted zones.
    pub fn adopted(&self) -> impl Iterator<Item = &sync::Arc<str>> {
        self.adopted.keys()
    }

    /// Blocks orders for a while after the instance was stalled or suspended until `now`.
    pub fn pause(&mut self, now: clock::MonotonicTime) {
        self.own.pause(now);
        for lease in self.adopted.values_mut() {
            lease.pause(now);
        }
    }

    /// Returns the tenure in which a partition of a zone is held.
    pub fn tenure(&self, zone: &str, partition: u32) -> Option<order_lease::LeaseTenure> {
        self.zone(zone)?.tenure(partition)
    }
}

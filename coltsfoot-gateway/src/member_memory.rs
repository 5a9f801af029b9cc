//! How many other instances may run, also those that are not heard: limits that hold whether or not instances
//! reach each other are divided among them.

use std::net;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::{FxHashMap, FxHashSet};

/// Time for which an instance that is not heard any more counts as running behind a partition.
const MEMORY: time::Duration = time::Duration::from_secs(600);

/// Instances that were heard before, and the number that is registered in the store.
#[derive(Clone, Debug, Default)]
pub struct MemberMemory {
    lost: FxHashMap<net::SocketAddr, clock::MonotonicTime>,
    /// Other instances registered in the store, and when this instance learned so first.
    registered: Option<(clock::MonotonicTime, usize)>,
}

impl MemberMemory {
    /// Records that an instance which did not announce its stop is not heard any more.
    pub fn record_lost(&mut self, now: clock::MonotonicTime, address: net::SocketAddr) {
        self.lost.retain(|_, since| now.since(*since) < MEMORY);
        self.lost.insert(address, now);
    }

    /// Records the number of other instances registered in the store.
    pub fn record_registered(&mut self, now: clock::MonotonicTime, others: usize) {
        let first = self.registered.map_or(now, |(first, _)| first);
        self.registered = Some((first, others));
    }

    /// Returns how many other instances may run, given the addresses of those that are known. Registrations of
    /// instances that ended long ago stay in the store, so they count only while this instance has not run long
    /// enough to know itself who may be lost.
    pub fn count(&self, now: clock::MonotonicTime, known: &FxHashSet<net::SocketAddr>) -> usize {
        let lost = self
            .lost
            .iter()
            .filter(|(address, since)| now.since(**since) < MEMORY && !known.contains(*address));
        let registered = self.registered.filter(|(first, _)| now.since(*first) < MEMORY);
        (known.len() + lost.count()).max(registered.map_or(0, |(_, others)| others))
    }
}

//! Last contact with each instance, and the platform's list of instances.

use std::{collections, time as std_time};

use coltsfoot_types::{name, time};

use crate::event;

/// Maximum age at which a read of the platform's list counts as current.
const MAX_READ_AGE: std_time::Duration = std_time::Duration::from_secs(5);

/// Last contact with other instances, and their announced joins and departures.
#[derive(Clone, Debug, Default, Hash)]
pub struct ContactTable {
    last_heard: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
    leaving: collections::BTreeSet<name::InstanceName>,
    joining: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
}

impl ContactTable {
    /// Records contact at a time that may lie in the past.
    pub fn record_contact(&mut self, peer: &name::InstanceName, at: time::MonotonicTime) {
        let heard = self.last_heard.entry(peer.clone()).or_insert(at);
        *heard = (*heard).max(at);
    }

    /// Starts tracking an instance as heard from now, unless it is tracked already.
    pub fn ensure_tracked(&mut self, peer: &name::InstanceName, now: time::MonotonicTime) {
        self.last_heard.entry(peer.clone()).or_insert(now);
    }

    /// Returns the time since the last contact, `Duration::MAX` without any.
    pub fn silence(
        &self,
        peer: &name::InstanceName,
        now: time::MonotonicTime,
    ) -> std_time::Duration {
        self.last_heard.get(peer).map_or(std_time::Duration::MAX, |heard| now.since(*heard))
    }

    /// Records that an instance announced its drain, which is never revoked.
    pub fn mark_leaving(&mut self, peer: &name::InstanceName, leaving: bool) {
        if leaving {
            self.leaving.insert(peer.clone());
        }
    }

    /// Returns whether an instance announced that it is draining.
    pub fn is_leaving(&self, peer: &name::InstanceName) -> bool {
        self.leaving.contains(peer)
    }

    /// Records that an instance requested to join.
    pub fn record_join(&mut self, peer: &name::InstanceName, now: time::MonotonicTime) {
        self.joining.insert(peer.clone(), now);
    }

    /// Returns the instances that requested to join within the given time.
    pub fn joining(
        &self,
        now: time::MonotonicTime,
        within: std_time::Duration,
    ) -> impl Iterator<Item = &name::InstanceName> {
        let recent = move |asked_at: &time::MonotonicTime| now.since(*asked_at) <= within;
        self.joining.iter().filter(move |(_, asked_at)| recent(asked_at)).map(|(peer, _)| peer)
    }

    /// Removes instances that have been silent for longer than `horizon`.
    pub fn prune(&mut self, now: time::MonotonicTime, horizon: std_time::Duration) {
        self.last_heard.retain(|_, heard| now.since(*heard) <= horizon);
        self.joining.retain(|_, asked_at| now.since(*asked_at) <= horizon);
        let heard = &self.last_heard;
        self.leaving.retain(|peer| heard.contains_key(peer));
    }
}

/// The platform's list of the zone's entry instances, as of the last read.
#[derive(Clone, Debug, Default, Hash)]
pub struct InstanceListing {
    listed: collections::BTreeMap<name::InstanceName, bool>,
    absent_since: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
    read_at: Option<time::MonotonicTime>,
}

impl InstanceListing {
    /// Stores a read of the list. Absence is tracked for the instances in `known`.
    pub fn read<'names>(
        &mut self,
        now: time::MonotonicTime,
        listed: &[event::ListedInstance],
        known: impl Iterator<Item = &'names name::InstanceName>,
    ) {
        self.listed = listed.iter().map(|entry| (entry.name.clone(), entry.leaving)).collect();
        let absent = known.filter(|peer| !self.listed.contains_key(*peer));
        let since = absent.map(|peer| {
            let since = self.absent_since.get(peer).copied().unwrap_or(now);
            (peer.clone(), since)
        });
        self.absent_since = since.collect();
        self.read_at = Some(now);
    }

    /// Returns whether the last read is recent enough to rely on.
    pub fn is_current(&self, now: time::MonotonicTime) -> bool {
        self.read_at.is_some_and(|read_at| now.since(read_at) <= MAX_READ_AGE)
    }

    /// Returns whether an instance is listed and not leaving.
    pub fn lists_active(&self, peer: &name::InstanceName) -> bool {
        self.listed.get(peer) == Some(&false)
    }

    /// Returns all listed instances, leaving ones included.
    pub fn names(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.listed.keys()
    }

    /// Returns whether an instance has been missing from the list for at least `removal_time`.
    pub fn is_removed(
        &self,
        peer: &name::InstanceName,
        now: time::MonotonicTime,
        removal_time: std_time::Duration,
    ) -> bool {
        let absent = self.absent_since.get(peer);
        self.is_current(now) && absent.is_some_and(|since| now.since(*since) >= removal_time)
    }
}

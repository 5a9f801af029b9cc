//! When each instance was last heard from, and what the platform's list says of it.

use std::{collections, time as std_time};

use coltsfoot_types::{name, time};

use crate::event;

/// Age from which on a reading of list or log says nothing about the present.
const MAX_READ_AGE: std_time::Duration = std_time::Duration::from_secs(5);

/// Signs of life of other instances.
#[derive(Clone, Debug, Default, Hash)]
pub struct ContactTable {
    last_heard: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
    leaving: collections::BTreeSet<name::InstanceName>,
    joining: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
}

impl ContactTable {
    /// Notes a sign of life at an instant, which may lie in the past.
    pub fn record_contact(&mut self, peer: &name::InstanceName, at: time::MonotonicTime) {
        let heard = self.last_heard.entry(peer.clone()).or_insert(at);
        *heard = (*heard).max(at);
    }

    /// Counts an instance that was never heard as heard now.
    pub fn ensure_tracked(&mut self, peer: &name::InstanceName, now: time::MonotonicTime) {
        self.last_heard.entry(peer.clone()).or_insert(now);
    }

    /// Returns the time since an instance was heard.
    pub fn silence(
        &self,
        peer: &name::InstanceName,
        now: time::MonotonicTime,
    ) -> std_time::Duration {
        self.last_heard.get(peer).map_or(std_time::Duration::MAX, |heard| now.since(*heard))
    }

    /// Notes whether an instance says that it is draining. It never takes that back.
    pub fn mark_leaving(&mut self, peer: &name::InstanceName, leaving: bool) {
        if leaving {
            self.leaving.insert(peer.clone());
        }
    }

    /// Returns whether an instance is draining.
    pub fn is_leaving(&self, peer: &name::InstanceName) -> bool {
        self.leaving.contains(peer)
    }

    /// Notes that an instance asked to be taken in.
    pub fn record_join(&mut self, peer: &name::InstanceName, now: time::MonotonicTime) {
        self.joining.insert(peer.clone(), now);
    }

    /// Returns the instances that asked to be taken in within the given time.
    pub fn joining(
        &self,
        now: time::MonotonicTime,
        within: std_time::Duration,
    ) -> impl Iterator<Item = &name::InstanceName> {
        let recent = move |asked_at: &time::MonotonicTime| now.since(*asked_at) <= within;
        self.joining.iter().filter(move |(_, asked_at)| recent(asked_at)).map(|(peer, _)| peer)
    }

    /// Forgets instances that have been silent for longer than `horizon`.
    pub fn prune(&mut self, now: time::MonotonicTime, horizon: std_time::Duration) {
        self.last_heard.retain(|_, heard| now.since(*heard) <= horizon);
        self.joining.retain(|_, asked_at| now.since(*asked_at) <= horizon);
        let heard = &self.last_heard;
        self.leaving.retain(|peer| heard.contains_key(peer));
    }
}

/// The platform's list of the zone's entry instances, as last read.
#[derive(Clone, Debug, Default, Hash)]
pub struct InstanceListing {
    listed: collections::BTreeMap<name::InstanceName, bool>,
    absent_since: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
    read_at: Option<time::MonotonicTime>,
}

impl InstanceListing {
    /// Takes a reading of the list. `known` names the instances whose absence matters.
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

    /// Returns whether the list was read a short time ago.
    pub fn is_current(&self, now: time::MonotonicTime) -> bool {
        self.read_at.is_some_and(|read_at| now.since(read_at) <= MAX_READ_AGE)
    }

    /// Returns whether the list shows an instance as not leaving.
    pub fn lists_active(&self, peer: &name::InstanceName) -> bool {
        self.listed.get(peer) == Some(&false)
    }

    /// Returns all listed instances.
    pub fn names(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.listed.keys()
    }

    /// Returns whether the list has left an instance out for at least `removal_time`.
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

//! Which other instances can be reached.
//!
//! Only instances that this one has lately sent something to are probed, so that the cost does not
//! grow with the fleet.

use std::time;

use coltsfoot_types::{name, time as instant};
use rustc_hash::FxHashMap;

/// Silence after which an instance that is in use is probed.
const PROBE_AFTER: time::Duration = time::Duration::from_millis(800);
/// Silence after which an instance that is in use counts as unreachable.
const UNREACHABLE_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// Time after its last use for which an instance is probed.
const PROBE_WINDOW: time::Duration = time::Duration::from_secs(30);

/// What is known of an instance.
struct InstanceContact {
    /// When it was first used after a time without use; silence counts from then on.
    in_use_since: instant::MonotonicTime,
    last_use: instant::MonotonicTime,
    last_contact: Option<instant::MonotonicTime>,
}

impl InstanceContact {
    fn silence(&self, now: instant::MonotonicTime) -> time::Duration {
        let since = self
            .last_contact
            .map_or(self.in_use_since, |last_contact| last_contact.max(self.in_use_since));
        now.since(since)
    }
}

/// When other instances were used and last_contact.
#[derive(Default)]
pub struct ContactTable {
    contacts: FxHashMap<name::InstanceName, InstanceContact>,
}

impl ContactTable {
    /// Notes a message of an instance.
    pub fn record_contact(&mut self, now: instant::MonotonicTime, instance: &name::InstanceName) {
        if let Some(contact) = self.contacts.get_mut(instance) {
            contact.last_contact = Some(now);
        }
    }

    /// Notes that something was sent to an instance.
    pub fn record_use(&mut self, now: instant::MonotonicTime, instance: &name::InstanceName) {
        match self.contacts.get_mut(instance) {
            Some(contact) => contact.last_use = now,
            None => {
                let contact =
                    InstanceContact { in_use_since: now, last_use: now, last_contact: None };
                self.contacts.insert(instance.clone(), contact);
            }
        }
    }

    /// Returns whether an instance can be reached, as far as is known. One that was not used lately
    /// counts as reachable until it is used and stays silent.
    pub fn is_reachable(&self, now: instant::MonotonicTime, instance: &name::InstanceName) -> bool {
        self.contacts.get(instance).is_none_or(|contact| contact.silence(now) < UNREACHABLE_AFTER)
    }

    /// Returns the instances to probe now, and forgets those that are no longer in use.
    pub fn due_probes(&mut self, now: instant::MonotonicTime) -> Vec<name::InstanceName> {
        self.contacts.retain(|_, contact| now.since(contact.last_use) < PROBE_WINDOW);
        let due = self.contacts.iter().filter(|(_, contact)| contact.silence(now) >= PROBE_AFTER);
        due.map(|(instance, _)| instance.clone()).collect()
    }
}

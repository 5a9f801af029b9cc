//! Failure detection of other instances.
//!
//! Only instances that this one has recently sent messages to are probed, so that the cost does not
//! grow with the fleet.

use std::time;

use coltsfoot_types::{name, time as instant};
use rustc_hash::FxHashMap;

/// Time without a message after which a recently used instance is probed.
const PROBE_AFTER: time::Duration = time::Duration::from_millis(800);
/// Time without a message after which a recently used instance counts as unreachable.
const UNREACHABLE_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// Time after the last message sent to an instance during which it is probed.
const PROBE_WINDOW: time::Duration = time::Duration::from_secs(30);

/// Contact state of one instance.
struct InstanceContact {
    /// First use after a period without use; earlier silence is not counted.
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

/// Times of the last messages sent to and received from other instances.
#[derive(Default)]
pub struct ContactTable {
    contacts: FxHashMap<name::InstanceName, InstanceContact>,
}

impl ContactTable {
    /// Records a message received from an instance.
    pub fn record_contact(&mut self, now: instant::MonotonicTime, instance: &name::InstanceName) {
        if let Some(contact) = self.contacts.get_mut(instance) {
            contact.last_contact = Some(now);
        }
    }

    /// Records a message sent to an instance.
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

    /// Returns whether an instance is presumed reachable. One that was not used recently counts as
    /// reachable until it is used and does not respond.
    pub fn is_reachable(&self, now: instant::MonotonicTime, instance: &name::InstanceName) -> bool {
        self.contacts.get(instance).is_none_or(|contact| contact.silence(now) < UNREACHABLE_AFTER)
    }

    /// Returns the instances to probe now and removes those that were not used recently.
    pub fn due_probes(&mut self, now: instant::MonotonicTime) -> Vec<name::InstanceName> {
        self.contacts.retain(|_, contact| now.since(contact.last_use) < PROBE_WINDOW);
        let due = self.contacts.iter().filter(|(_, contact)| contact.silence(now) >= PROBE_AFTER);
        due.map(|(instance, _)| instance.clone()).collect()
    }
}

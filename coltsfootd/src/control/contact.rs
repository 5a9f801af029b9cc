//! Which other instances can be reached, judged by the messages that came from them.

use std::time;

use coltsfoot_types::{name, time as instant};
use rustc_hash::FxHashMap;

/// Silence after which an instance counts as unreachable. Every instance announces itself each
/// second.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// When each other instance was last heard.
#[derive(Default)]
pub struct ContactTable {
    heard: FxHashMap<name::InstanceName, instant::MonotonicTime>,
}

impl ContactTable {
    /// Notes a message of an instance.
    pub fn note(&mut self, now: instant::MonotonicTime, instance: &name::InstanceName) {
        match self.heard.get_mut(instance) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(instance.clone(), now);
            }
        }
    }

    /// Returns whether an instance was heard a short time ago.
    pub fn is_reachable(&self, now: instant::MonotonicTime, instance: &name::InstanceName) -> bool {
        self.heard.get(instance).is_some_and(|heard| now.since(*heard) < SILENCE_LIMIT)
    }

    /// Forgets instances that have been silent for long.
    pub fn expire(&mut self, now: instant::MonotonicTime) {
        self.heard.retain(|_, heard| now.since(*heard) < SILENCE_LIMIT * 10);
    }
}

//! The configured versions of an adapter, and which of them requests may still run on.

use std::time;

use coltsfoot_types::time as clock;
use smallvec::SmallVec;

/// Time for which an engine with a replaced version still gets requests, while its owner loads the new one.
const REPLACEMENT_GRACE: time::Duration = time::Duration::from_millis(2500);

/// A version, and when this instance learned of it; `None` if it was in force before the instance started.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    number: u64,
    learned: Option<clock::MonotonicTime>,
}

impl KnownVersion {
    /// Returns whether older versions may be used no more.
    fn is_enforced(&self, now: clock::MonotonicTime) -> bool {
        self.learned.is_none_or(|learned| now.since(learned) >= REPLACEMENT_GRACE)
    }
}

/// The versions of an adapter that were configured one after the other.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    newest: KnownVersion,
    /// Those before, oldest first, as far as one of them still tells which versions may be used.
    earlier: SmallVec<[KnownVersion; 1]>,
}

impl VersionHistory {
    /// Creates the history of an adapter of which one version is known. `learned` is `None` if that was in force
    /// before this instance started.
    pub fn new(number: u64, learned: Option<clock::MonotonicTime>) -> Self {
        Self { newest: KnownVersion { number, learned }, earlier: SmallVec::new() }
    }

    /// Records a version. Returns whether it is newer than the known ones.
    pub fn record(
        &mut self,
        now: clock::MonotonicTime,
        number: u64,
        learned: Option<clock::MonotonicTime>,
    ) -> bool {
        if number <= self.newest.number {
            return false;
        }
        self.earlier.push(std::mem::replace(&mut self.newest, KnownVersion { number, learned }));
        // The newest enforced version excludes all that the ones before it do.
        if let Some(enforced) = self.earlier.iter().rposition(|known| known.is_enforced(now)) {
            self.earlier.drain(..enforced);
        }
        true
    }

    /// Returns the newest version.
    pub fn newest(&self) -> u64 {
        self.newest.number
    }

    /// Returns whether requests may run on a version: the newest one, or one that was replaced recently. The
    /// time counts from its own replacement, however many versions follow.
    pub fn is_usable(&self, now: clock::MonotonicTime, number: u64) -> bool {
        let mut known = self.earlier.iter().chain([&self.newest]);
        !known.any(|known| number < known.number && known.is_enforced(now))
    }
}

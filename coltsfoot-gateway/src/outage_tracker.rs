//! Tells an outage of the store, in which entries expire that come back, from the trouble of one instance
//! while others read the store all along.

use std::time;

use coltsfoot_types::time as clock;

/// Time after the store's return in which entries that expired during the outage may come back.
const RECOVERY_GRACE: time::Duration = time::Duration::from_millis(2200);
/// Renewals that an upstream must miss before its entry can have expired for the outage alone.
const MISSED_RENEWALS: u32 = 2;

/// Reads of the upstreams' entries by any instance.
#[derive(Clone, Copy, Debug)]
pub struct OutageTracker {
    max_gap: time::Duration,
    last_check: Option<clock::MonotonicTime>,
    last_read: Option<clock::MonotonicTime>,
    grace_end: Option<clock::MonotonicTime>,
}

impl OutageTracker {
    /// Creates a tracker for upstreams that renew their entries at this interval.
    pub fn new(renewal_interval: time::Duration) -> Self {
        Self {
            max_gap: renewal_interval * MISSED_RENEWALS,
            last_check: None,
            last_read: None,
            grace_end: None,
        }
    }

    /// Records the most recent read that is known, of any instance. To be called several times between
    /// two renewals: what happened while this process did not run is unknown and counts as no outage.
    pub fn check(&mut self, now: clock::MonotonicTime, newest: Option<clock::MonotonicTime>) {
        let was_suspended = self.last_check.is_some_and(|last| now.since(last) > self.max_gap / 2);
        self.last_check = Some(now);
        if was_suspended {
            self.last_read = None;
        }
        if let Some(read_at) = newest {
            self.record_read(read_at);
        }
    }

    /// Records that an instance read the store at this time.
    pub fn record_read(&mut self, read_at: clock::MonotonicTime) {
        let Some(last) = self.last_read else {
            self.last_read = Some(read_at);
            return;
        };
        if read_at <= last {
            return;
        }
        if read_at.since(last) > self.max_gap {
            self.grace_end = Some(read_at + RECOVERY_GRACE);
        }
        self.last_read = Some(read_at);
    }

    /// Records that a read at this time found the store restored from an older copy, which lacks entries
    /// that upstreams write again.
    pub fn record_restore(&mut self, read_at: clock::MonotonicTime) {
        self.grace_end = Some(read_at + RECOVERY_GRACE);
    }

    /// Returns when entries that are missing since an outage or a restore count as gone; `now` if there was
    /// none.
    pub fn remove_at(&self, now: clock::MonotonicTime) -> clock::MonotonicTime {
        self.grace_end.map_or(now, |end| end.max(now))
    }
}

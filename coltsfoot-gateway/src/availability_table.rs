//! Availability of upstreams according to their responses: draining, or asking for a backoff. Their
//! entries in the store may say so later, or never.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Longest backoff that an upstream can ask for, so that one garbled number does not disable it for
/// good.
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(24 * 3600);
/// Time that the one probe request after a backoff has for its response before another one is sent.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time for which an incarnation counts as draining. Engines keep running for many seconds, and
/// their entries may expire and come back meanwhile.
const DRAINING_TTL: time::Duration = time::Duration::from_secs(3600);
/// Time for which the draining of an incarnation is resent to other instances.
const DRAINING_RESEND_TIME: time::Duration = time::Duration::from_secs(30);

/// Whether an incarnation of an upstream accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamAvailability {
    /// It accepts requests.
    Available,
    /// It backs off, or no permits are available for it, until this time.
    UnavailableUntil(clock::MonotonicTime),
    /// It is shutting down.
    Draining,
}

/// A backoff that an upstream asked for.
#[derive(Clone, Copy, Debug)]
struct BackoffPeriod {
    until: clock::MonotonicTime,
    /// When the probe request after it was sent.
    probed: Option<clock::MonotonicTime>,
}

/// Availability of the incarnations of upstreams, by upstream number.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityTable {
    draining: FxHashMap<u32, clock::MonotonicTime>,
    backoff: FxHashMap<u32, BackoffPeriod>,
    /// Times until which no permits are available for rate-limited upstreams.
    held_until: FxHashMap<u32, clock::MonotonicTime>,
}

impl AvailabilityTable {
    /// Returns whether an incarnation accepts requests now.
    pub fn status(&self, now: clock::MonotonicTime, number: u32) -> UpstreamAvailability {
        if self.draining.contains_key(&number) {
            return UpstreamAvailability::Draining;
        }
        let backoff = self.backoff.get(&number);
        let backoff = backoff
            .map(|backoff| backoff.probed.map_or(backoff.until, |probed| probed + PROBE_TIMEOUT));
        let until = backoff.max(self.held_until.get(&number).copied());
        match until {
            Some(until) if now < until => UpstreamAvailability::UnavailableUntil(until),
            _ => UpstreamAvailability::Available,
        }
    }

    /// Records that no permits are available for an incarnation for `pause`.
    pub fn hold(&mut self, now: clock::MonotonicTime, number: u32, pause: time::Duration) {
        self.held_until.retain(|_, until| now < *until);
        self.held_until.insert(number, now + pause);
    }

    /// Records that an incarnation is draining. Returns whether this is new.
    pub fn mark_draining(&mut self, now: clock::MonotonicTime, number: u32) -> bool {
        self.draining.retain(|_, since| now.since(*since) < DRAINING_TTL);
        if self.draining.contains_key(&number) {
            return false;
        }
        self.draining.insert(number, now);
        true
    }

    /// Records that an incarnation asked for a backoff. A shorter one does not end a longer one.
    pub fn back_off(&mut self, now: clock::MonotonicTime, number: u32, time_left: time::Duration) {
        let until = now + time_left.min(MAX_BACKOFF);
        let backoff = self.backoff.entry(number).or_insert(BackoffPeriod { until, probed: None });
        *backoff = BackoffPeriod { until: backoff.until.max(until), probed: None };
    }

    /// Records a request to an incarnation; the first one after a backoff is the probe.
    pub fn sent(&mut self, now: clock::MonotonicTime, number: u32) {
        if let Some(backoff) = self.backoff.get_mut(&number)
            && now >= backoff.until
        {
            backoff.probed = Some(now);
        }
    }

    /// Records a response without a backoff. While the backoff lasts, it answers an earlier request
    /// and is ignored.
    pub fn end_backoff(&mut self, now: clock::MonotonicTime, number: u32) {
        if self.backoff.get(&number).is_some_and(|backoff| now >= backoff.until) {
            self.backoff.remove(&number);
        }
    }

    /// Returns the incarnations that began draining recently, for instances that missed the
    /// message.
    pub fn draining_to_resend(&self, now: clock::MonotonicTime) -> Vec<u32> {
        let recent =
            self.draining.iter().filter(|(_, since)| now.since(**since) < DRAINING_RESEND_TIME);
        recent.map(|(number, _)| *number).collect()
    }
}

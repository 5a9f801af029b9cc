//! What upstreams said in their answers of taking further work: that they leave, or that they want
//! nothing for a while. Their entries in the store may tell so later, or never.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Longest time for which an upstream is left alone at its word, so that one garbled number does not
/// take it out of use for good.
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(24 * 3600);
/// Time for the answer to the one request that is tried after a quiet time, before another is tried.
const TRIAL_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Time for which it is remembered that an incarnation leaves. Engines go on for many seconds; their
/// entries may lapse and return meanwhile.
const LEAVING_MEMORY: time::Duration = time::Duration::from_secs(3600);
/// Time for which other instances are told again that an incarnation leaves.
const TOLD_AGAIN: time::Duration = time::Duration::from_secs(30);

/// Whether an incarnation of an upstream takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamAvailability {
    /// It takes work.
    Available,
    /// It wants nothing until then.
    UnavailableUntil(clock::MonotonicTime),
    /// It leaves.
    Draining,
}

/// A time for which an upstream wants nothing.
#[derive(Clone, Copy, Debug)]
struct QuietTime {
    until: clock::MonotonicTime,
    /// When a request was sent after it, to see whether the upstream takes work again.
    tried: Option<clock::MonotonicTime>,
}

/// What incarnations of upstreams said, by their number in messages.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityTable {
    leaving: FxHashMap<u32, clock::MonotonicTime>,
    quiet: FxHashMap<u32, QuietTime>,
    /// Until when there is no leave to send, within the limits that upstreams named.
    held: FxHashMap<u32, clock::MonotonicTime>,
}

impl AvailabilityTable {
    /// Returns whether an incarnation takes work.
    pub fn status(&self, now: clock::MonotonicTime, number: u32) -> UpstreamAvailability {
        if self.leaving.contains_key(&number) {
            return UpstreamAvailability::Draining;
        }
        let quiet = self.quiet.get(&number);
        let quiet = quiet.map(|quiet| quiet.tried.map_or(quiet.until, |tried| tried + TRIAL_LIMIT));
        let until = quiet.max(self.held.get(&number).copied());
        match until {
            Some(until) if now < until => UpstreamAvailability::UnavailableUntil(until),
            _ => UpstreamAvailability::Available,
        }
    }

    /// Notes that there is no leave to send to an incarnation for a while.
    pub fn hold(&mut self, now: clock::MonotonicTime, number: u32, pause: time::Duration) {
        self.held.retain(|_, until| now < *until);
        self.held.insert(number, now + pause);
    }

    /// Notes that an incarnation leaves. Returns whether it was not known.
    pub fn mark_draining(&mut self, now: clock::MonotonicTime, number: u32) -> bool {
        self.leaving.retain(|_, learned| now.since(*learned) < LEAVING_MEMORY);
        if self.leaving.contains_key(&number) {
            return false;
        }
        self.leaving.insert(number, now);
        true
    }

    /// Notes that an incarnation wants nothing for a while. A shorter wish does not end a longer one.
    pub fn back_off(&mut self, now: clock::MonotonicTime, number: u32, time_left: time::Duration) {
        let until = now + time_left.min(MAX_BACKOFF);
        let quiet = self.quiet.entry(number).or_insert(QuietTime { until, tried: None });
        *quiet = QuietTime { until: quiet.until.max(until), tried: None };
    }

    /// Notes that a request is sent to an incarnation.
    pub fn sent(&mut self, now: clock::MonotonicTime, number: u32) {
        if let Some(quiet) = self.quiet.get_mut(&number)
            && now >= quiet.until
        {
            quiet.tried = Some(now);
        }
    }

    /// Notes an answer that asks for no quiet. One to a request from before the quiet time ends nothing.
    pub fn end_backoff(&mut self, now: clock::MonotonicTime, number: u32) {
        if self.quiet.get(&number).is_some_and(|quiet| now >= quiet.until) {
            self.quiet.remove(&number);
        }
    }

    /// Returns the incarnations of which other instances are told again that they leave.
    pub fn draining_to_resend(&self, now: clock::MonotonicTime) -> Vec<u32> {
        let recent = self.leaving.iter().filter(|(_, learned)| now.since(**learned) < TOLD_AGAIN);
        recent.map(|(number, _)| *number).collect()
    }
}

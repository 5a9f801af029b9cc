//! Decides when another upstream is sought for a request whose upstream is silent.
//!
//! A silent upstream may be sound and go on, so its attempt is kept until another upstream has taken the
//! request.

use std::time;

use coltsfoot_types::time as clock;

use crate::{rules, upstream_search};

/// Timeout for the head of a stream that can be retried, in multiples of the route's target latency.
const STREAM_HEAD_TARGETS: u32 = 2;
/// Time without a complete event after which another upstream is sought. Callers give up after two
/// seconds.
const MAX_STREAM_SILENCE: time::Duration = time::Duration::from_millis(1500);
/// Number of times that the pause between searches is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Time since the last progress of an attempt, and when to seek another upstream.
#[derive(Clone, Copy, Debug)]
pub struct FailoverTimer {
    progress_at: clock::MonotonicTime,
    /// Silence after which another upstream is sought.
    max_silence: time::Duration,
    /// Silence after which another upstream is sought if the upstream is silent for all requests.
    min_silence: time::Duration,
    /// No search before this time.
    postponed_until: clock::MonotonicTime,
    /// Searches without success since the last progress.
    failed_searches: u32,
}

impl FailoverTimer {
    /// Creates the timer of a request that was sent at `sent` and has no response yet.
    pub fn for_head(sent: clock::MonotonicTime, route: &rules::RouteRule) -> Self {
        let max_silence = match route.kind {
            rules::RouteKind::Streaming => route.target_latency * STREAM_HEAD_TARGETS,
            _ => route.target_latency,
        };
        Self {
            progress_at: sent,
            max_silence,
            min_silence: route.target_latency.min(max_silence),
            postponed_until: sent,
            failed_searches: 0,
        }
    }

    /// Creates the timer of a stream whose head was received at `received`, before its first event.
    pub fn for_first_event(received: clock::MonotonicTime, route: &rules::RouteRule) -> Self {
        let head = Self::for_head(received, route);
        let max_silence = head.max_silence.max(MAX_STREAM_SILENCE);
        Self { max_silence, min_silence: max_silence, ..head }
    }

    /// Restarts the timer at a complete event; partial events are no progress.
    pub fn event_received(&mut self, now: clock::MonotonicTime) {
        *self = Self {
            progress_at: now,
            max_silence: MAX_STREAM_SILENCE,
            min_silence: MAX_STREAM_SILENCE,
            postponed_until: now,
            failed_searches: 0,
        };
    }

    /// Postpones the next search after one that found no upstream to take the request, each time for twice
    /// as long.
    pub fn search_failed(&mut self, now: clock::MonotonicTime) {
        let factor = 1 << self.failed_searches.min(MAX_DOUBLINGS);
        self.postponed_until = now + upstream_search::RETRY_PAUSE * factor;
        self.failed_searches += 1;
    }

    /// Returns the time until [`Self::is_due`] may become true.
    pub fn time_until_due(&self, now: clock::MonotonicTime) -> time::Duration {
        self.postponed_until.max(self.progress_at + self.min_silence).since(now)
    }

    /// Returns the time since the last progress.
    pub fn silence(&self, now: clock::MonotonicTime) -> time::Duration {
        now.since(self.progress_at)
    }

    /// Returns whether another upstream should be sought; `is_upstream_silent` tells whether the upstream
    /// is silent for all its requests.
    pub fn is_due(&self, now: clock::MonotonicTime, is_upstream_silent: bool) -> bool {
        let limit = if is_upstream_silent { self.min_silence } else { self.max_silence };
        now >= self.postponed_until && self.silence(now) >= limit
    }
}

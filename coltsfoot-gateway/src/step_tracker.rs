//! Whether an instance is in step with the others: whether its copy of the upstreams' entries can lack what
//! another instance has acted on.

use std::time;

use coltsfoot_types::time as clock;

use crate::reader_selection;

/// Time between two looks at the clock beyond which the process counts as having been suspended.
const MAX_TICK_GAP: time::Duration = time::Duration::from_millis(600);
/// Time after a suspension within which heartbeats may be read that arrived during it.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Age up to which a heartbeat shows that its sender is heard, and the same in its intervals.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(600);
const MAX_LOST_HEARTBEATS: u32 = 3;

/// Longest time that news of the entries takes to reach an instance that is in step.
const MAX_NEWS_DELAY: time::Duration = time::Duration::from_millis(1000);

/// A copy of the entries that is older than another instance's.
#[derive(Clone, Copy, Debug)]
struct OldCopy {
    digest: u64,
    since: clock::MonotonicTime,
}

/// Tracks suspensions of the process, and how long its copy of the entries has been old.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTracker {
    last_tick: Option<clock::MonotonicTime>,
    /// End of the last suspension.
    resumed: Option<clock::MonotonicTime>,
    old_copy: Option<OldCopy>,
}

impl StepTracker {
    /// Notes that the process runs; called several times within [`MAX_TICK_GAP`].
    pub fn tick(&mut self, now: clock::MonotonicTime) {
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last| now.since(last) >= MAX_TICK_GAP) {
            self.resumed = Some(now);
        }
    }

    /// Returns whether the instance is in step, given its own copy of the entries and those that others report.
    ///
    /// It is if the copy is confirmed by a recent read, its own or one that another reports, or has been old for
    /// a moment only, as after each change of an entry. While the store is out for all, it is as long as all
    /// others are heard and none has a newer copy.
    pub fn is_in_step(
        &mut self,
        now: clock::MonotonicTime,
        own: reader_selection::OwnDigest,
        peers: &[reader_selection::PeerDigest],
    ) -> bool {
        self.tick(now);
        let has_read_since = |resumed| own.read_at.is_some_and(|read_at| read_at >= resumed);
        let has_caught_up = |resumed| now.since(resumed) >= RESUME_PAUSE || has_read_since(resumed);
        if !self.resumed.is_none_or(has_caught_up) {
            return false;
        }
        let is_heard = |peer: &reader_selection::PeerDigest| {
            now.since(peer.received) < MAX_SILENCE.max(peer.interval * MAX_LOST_HEARTBEATS)
        };
        let heard = peers.iter().filter(|peer| is_heard(peer)).count();
        if heard == 0 && !peers.is_empty() {
            return false;
        }
        let status = reader_selection::digest_status(now, own, peers);
        if status != reader_selection::DigestStatus::Differs {
            self.old_copy = None;
        }
        match status {
            reader_selection::DigestStatus::Differs => self.is_news_on_its_way(now, own.digest),
            reader_selection::DigestStatus::Confirmed => true,
            reader_selection::DigestStatus::Unknown => {
                let is_newer = |peer| reader_selection::is_newer(own, peer);
                heard == peers.len() && !peers.iter().any(is_newer)
            }
        }
    }

    /// Returns whether a copy that is old has changed just before: in a large fleet there is always some news.
    fn is_news_on_its_way(&mut self, now: clock::MonotonicTime, digest: u64) -> bool {
        let known = self.old_copy.filter(|copy| copy.digest == digest);
        let old_copy = *self.old_copy.insert(known.unwrap_or(OldCopy { digest, since: now }));
        now.since(old_copy.since) < MAX_NEWS_DELAY
    }
}

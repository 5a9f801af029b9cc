//! Which instances read the store, so that the number of calls does not grow with the number of
//! instances. Two of them read; the others compare a digest of what they know with the readers' and
//! read only when it differs, or when no reader is heard.

use std::time;

use coltsfoot_types::time as clock;

use crate::rendezvous;

/// Instances that read.
const READERS: usize = 2;
/// Age of a beat up to which an instance counts as alive.
const MAX_BEAT_AGE: time::Duration = time::Duration::from_millis(600);
/// Age of a reader's last read up to which its digest counts.
const MAX_READ_AGE: time::Duration = time::Duration::from_millis(1300);

/// What another instance told of its reading.
#[derive(Clone, Copy, Debug)]
pub struct PeerDigest {
    /// Incarnation of the instance.
    pub id: u64,
    /// When it told.
    pub heard: clock::MonotonicTime,
    /// Time between its beats.
    pub interval: time::Duration,
    /// How long before it had read last.
    pub read_age: time::Duration,
    /// Digest of what it knows.
    pub digest: u64,
}

impl PeerDigest {
    fn is_alive(&self, now: clock::MonotonicTime) -> bool {
        let is_heard = now.since(self.heard) < MAX_BEAT_AGE.max(self.interval * 2);
        is_heard && self.read_age < MAX_READ_AGE + self.interval
    }

    fn is_fresh(&self, now: clock::MonotonicTime) -> bool {
        let longest = MAX_READ_AGE + self.interval;
        self.is_alive(now) && now.since(self.heard) + self.read_age < longest
    }
}

/// What an instance that does not read knows of its own state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestStatus {
    /// Another instance has read something else since: read now.
    Differs,
    /// Nobody is known to have read anything else since.
    Confirmed,
    /// No reader was heard.
    Unknown,
}

/// Returns whether an instance is among the readers, by rendezvous hashing over those that are
/// alive and reach the store.
pub fn is_reader(now: clock::MonotonicTime, own: u64, peers: &[PeerDigest]) -> bool {
    let weight = |id| rendezvous::weight(0, id);
    let better = peers.iter().filter(|peer| peer.is_alive(now) && weight(peer.id) > weight(own));
    better.count() < READERS
}

/// Returns the reading that was made last.
pub fn newest_digest(now: clock::MonotonicTime, peers: &[PeerDigest]) -> Option<&PeerDigest> {
    let fresh = peers.iter().filter(|peer| peer.is_fresh(now));
    fresh.max_by_key(|peer| peer.heard - peer.read_age)
}

/// What an instance knows of a topic itself.
#[derive(Clone, Copy, Debug)]
pub struct OwnDigest {
    /// Digest of what it knows.
    pub digest: u64,
    /// When it read last.
    pub read_at: Option<clock::MonotonicTime>,
}

/// Compares an instance's reading with those of others that were heard. One that is older than its
/// own tells it nothing: after a change, others catch up at different times.
pub fn digest_status(
    now: clock::MonotonicTime,
    own: OwnDigest,
    peers: &[PeerDigest],
) -> DigestStatus {
    let is_recent = own.read_at.is_some_and(|read| now.since(read) < MAX_READ_AGE);
    let mut fresh = peers.iter().filter(|peer| peer.is_fresh(now)).peekable();
    if fresh.peek().is_none() && !is_recent {
        return DigestStatus::Unknown;
    }
    let is_news = |peer: &PeerDigest| {
        let read_at = peer.heard - peer.read_age;
        peer.digest != own.digest && own.read_at.is_none_or(|own| read_at > own)
    };
    if fresh.any(is_news) { DigestStatus::Differs } else { DigestStatus::Confirmed }
}

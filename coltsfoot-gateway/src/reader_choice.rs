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
pub struct PeerReading {
    /// Incarnation of the instance.
    pub id: u64,
    /// When it told.
    pub heard: clock::MonotonicTime,
    /// How long before it had read last.
    pub read_age: time::Duration,
    /// Digest of what it knows.
    pub digest: u64,
}

impl PeerReading {
    fn is_alive(&self, now: clock::MonotonicTime) -> bool {
        now.since(self.heard) < MAX_BEAT_AGE && self.read_age < MAX_READ_AGE
    }

    fn is_fresh(&self, now: clock::MonotonicTime) -> bool {
        self.is_alive(now) && now.since(self.heard) + self.read_age < MAX_READ_AGE
    }
}

/// What an instance that does not read knows of its own state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadNeed {
    /// Some reader knows something else: read now.
    Differs,
    /// All readers that were heard know the same.
    Confirmed,
    /// No reader was heard.
    Unknown,
}

/// Returns whether an instance is among the readers, by rendezvous hashing over those that are
/// alive and reach the store.
pub fn is_reader(now: clock::MonotonicTime, own: u64, peers: &[PeerReading]) -> bool {
    let weight = |id| rendezvous::weight(0, id);
    let better = peers.iter().filter(|peer| peer.is_alive(now) && weight(peer.id) > weight(own));
    better.count() < READERS
}

/// Compares an instance's digest with those of the readers that were heard.
pub fn read_need(now: clock::MonotonicTime, digest: u64, peers: &[PeerReading]) -> ReadNeed {
    let mut fresh = peers.iter().filter(|peer| peer.is_fresh(now)).peekable();
    if fresh.peek().is_none() {
        return ReadNeed::Unknown;
    }
    if fresh.all(|peer| peer.digest == digest) { ReadNeed::Confirmed } else { ReadNeed::Differs }
}

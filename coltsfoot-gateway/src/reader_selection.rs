//! Selects the instances that poll the store, so that the number of calls does not grow with the
//! number of instances. Two of them, the readers, poll; the others compare the digest of their copy
//! with the readers' and read only when it differs, or when no reader is live.

use std::time;

use coltsfoot_types::time as clock;

use crate::rendezvous;

/// Number of readers.
const READERS: usize = 2;
/// Age of a heartbeat up to which an instance counts as live.
const MAX_HEARTBEAT_AGE: time::Duration = time::Duration::from_millis(600);
/// Age of a reader's last read up to which its digest counts.
const MAX_READ_AGE: time::Duration = time::Duration::from_millis(1300);

/// A topic digest that another instance reported.
#[derive(Clone, Copy, Debug)]
pub struct PeerDigest {
    /// Incarnation of the instance.
    pub id: u64,
    /// When the report arrived.
    pub received: clock::MonotonicTime,
    /// Time between its heartbeats.
    pub interval: time::Duration,
    /// Time between its last read and the report.
    pub read_age: time::Duration,
    /// Digest of its copy.
    pub digest: u64,
}

impl PeerDigest {
    /// Returns when the instance last read the topic.
    fn read_at(&self) -> clock::MonotonicTime {
        self.received - self.read_age
    }

    fn is_live(&self, now: clock::MonotonicTime) -> bool {
        let is_recent = now.since(self.received) < MAX_HEARTBEAT_AGE.max(self.interval * 2);
        is_recent && self.read_age < MAX_READ_AGE + self.interval
    }

    fn is_fresh(&self, now: clock::MonotonicTime) -> bool {
        let longest = MAX_READ_AGE + self.interval;
        self.is_live(now) && now.since(self.received) + self.read_age < longest
    }
}

/// Result of comparing an instance's digest with those of others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DigestStatus {
    /// Another instance has read something different since; read now.
    Differs,
    /// No instance is known to have read anything different since.
    Confirmed,
    /// No recent digest is known.
    Unknown,
}

/// Returns whether an instance is a reader, by rendezvous hashing over those that are live and
/// reach the store.
pub fn is_reader(now: clock::MonotonicTime, own: u64, peers: &[PeerDigest]) -> bool {
    let weight = |id| rendezvous::weight(0, id);
    let better = peers.iter().filter(|peer| peer.is_live(now) && weight(peer.id) > weight(own));
    better.count() < READERS
}

/// Returns when the topic was last read by one of the instances.
pub fn newest_read(peers: &[PeerDigest]) -> Option<clock::MonotonicTime> {
    peers.iter().map(PeerDigest::read_at).max()
}

/// Returns when an instance last read exactly what the copy with this digest holds; `None` if none has.
pub fn confirmed_at(digest: u64, peers: &[PeerDigest]) -> Option<clock::MonotonicTime> {
    let same = peers.iter().filter(|peer| peer.digest == digest);
    same.map(PeerDigest::read_at).max()
}

/// Returns the instances that have the copy of the most recent read.
pub fn current_peers(now: clock::MonotonicTime, peers: &[PeerDigest]) -> Vec<u64> {
    let fresh = || peers.iter().filter(|peer| peer.is_fresh(now));
    let Some(newest) = fresh().max_by_key(|peer| peer.read_at()) else { return Vec::new() };
    fresh().filter(|peer| peer.digest == newest.digest).map(|peer| peer.id).collect()
}

/// The instance's own copy of a topic.
#[derive(Clone, Copy, Debug)]
pub struct OwnDigest {
    /// Digest of its copy.
    pub digest: u64,
    /// When it last read the topic.
    pub read_at: Option<clock::MonotonicTime>,
}

/// Compares an instance's digest with recent ones of others. Those older than its own are ignored,
/// since after a change instances catch up at different times.
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
    let differs = fresh.any(|peer| is_newer(own, peer));
    if differs { DigestStatus::Differs } else { DigestStatus::Confirmed }
}

/// Returns whether another instance has read something different since.
pub fn is_newer(own: OwnDigest, peer: &PeerDigest) -> bool {
    peer.digest != own.digest && own.read_at.is_none_or(|own| peer.read_at() > own)
}

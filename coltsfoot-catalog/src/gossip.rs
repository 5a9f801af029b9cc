//! Gossip of records and states with peers.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, time::MonotonicTime};
use coltsfoot_wire::config;
use rand::{RngExt as _, rngs};
use smallvec::SmallVec;

use crate::{feed, replica, snapshot};

/// Number of peers that a new record is forwarded to.
pub(crate) const PUSH_FANOUT: usize = 3;
/// Largest number of records cached for peers.
const MAX_CACHED_RECORDS: usize = 1_024;
/// Largest size of the records cached for peers.
const MAX_CACHED_BYTES: usize = 1024 * 1024;
/// Largest size of the records in one message; a single larger record is sent alone.
const MAX_MESSAGE_BYTES: usize = 48 * 1024;
/// Largest number of probes that wait for a response.
const MAX_OPEN_PROBES: usize = 16;
/// Time for which an encoded state is kept after its last use by a peer.
const STATE_CACHE_TIME: time::Duration = time::Duration::from_secs(10);
/// Time without a chunk after which a state is fetched from another peer.
const CHUNK_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The other instances and the probes sent to them.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: Vec<feed::ConfigPeer>,
    sequence: u64,
    probes: collections::VecDeque<OpenProbe>,
}

#[derive(Debug)]
struct OpenProbe {
    sequence: u64,
    sent_at: MonotonicTime,
}

impl PeerTable {
    pub(crate) fn replace(&mut self, mut peers: Vec<feed::ConfigPeer>, own: &name::InstanceName) {
        peers.retain(|peer| peer.instance != *own);
        peers.sort_by(|left, right| left.instance.cmp(&right.instance));
        self.peers = peers;
    }

    pub(crate) fn peers(&self) -> &[feed::ConfigPeer] {
        &self.peers
    }

    /// Records a new probe and returns its sequence number.
    pub(crate) fn open_probe(&mut self, now: MonotonicTime) -> u64 {
        self.sequence += 1;
        self.probes.push_back(OpenProbe { sequence: self.sequence, sent_at: now });
        if self.probes.len() > MAX_OPEN_PROBES {
            self.probes.pop_front();
        }
        self.sequence
    }

    /// Returns when a probe that waits for a response was sent.
    pub(crate) fn probe_sent_at(&self, sequence: u64) -> Option<MonotonicTime> {
        let probe = self.probes.iter().find(|probe| probe.sequence == sequence);
        probe.map(|probe| probe.sent_at)
    }

    /// Chooses a random peer of the own zone and one of any zone.
    pub(crate) fn probe_targets(
        &self,
        zone: &name::ZoneName,
        rng: &mut rngs::SmallRng,
    ) -> SmallVec<[name::InstanceName; 2]> {
        let same_zone: Vec<_> = self.peers.iter().filter(|peer| peer.zone == *zone).collect();
        let mut targets = SmallVec::new();
        if !same_zone.is_empty() {
            targets.push(same_zone[rng.random_range(0..same_zone.len())].instance.clone());
        }
        if !self.peers.is_empty() {
            let any = &self.peers[rng.random_range(0..self.peers.len())].instance;
            if !targets.contains(any) {
                targets.push(any.clone());
            }
        }
        targets
    }

    /// Chooses the random peers that a new record is forwarded to.
    pub(crate) fn push_targets(
        &self,
        except: Option<&name::InstanceName>,
        rng: &mut rngs::SmallRng,
    ) -> SmallVec<[name::InstanceName; PUSH_FANOUT]> {
        let others = self.peers.iter().map(|peer| &peer.instance);
        let mut others: Vec<_> = others.filter(|peer| Some(*peer) != except).collect();
        let mut targets = SmallVec::new();
        while targets.len() < PUSH_FANOUT && !others.is_empty() {
            targets.push(others.swap_remove(rng.random_range(0..others.len())).clone());
        }
        targets
    }
}

/// Cache of recent records for peers that lack them.
#[derive(Debug, Default)]
pub(crate) struct RecordCache {
    records: collections::VecDeque<config::ConfigRecord>,
    bytes: usize,
}

impl RecordCache {
    /// Adds the record that follows the last one and evicts the oldest ones over the limits.
    pub(crate) fn push(&mut self, record: config::ConfigRecord) {
        self.bytes += record.value.len();
        self.records.push_back(record);
        while self.records.len() > MAX_CACHED_RECORDS || self.bytes > MAX_CACHED_BYTES {
            let Some(oldest) = self.records.pop_front() else { return };
            self.bytes -= oldest.value.len();
        }
    }

    /// Drops all records, because the replica has skipped offsets by restoring a state.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the records from an offset on, as many as fit into a message, `None` if that offset
    /// is not cached.
    pub(crate) fn from(&self, offset: id::LogOffset) -> Option<Vec<config::ConfigRecord>> {
        let first = self.records.front()?.offset;
        let skipped = offset.0.checked_sub(first.0)? as usize;
        if skipped >= self.records.len() {
            return None;
        }
        let mut bytes = 0;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skipped) {
            bytes += record.value.len();
            if bytes > MAX_MESSAGE_BYTES && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        Some(records)
    }
}

/// An encoded state that peers are fetching in chunks.
#[derive(Debug, Default)]
pub(crate) struct StateOffer {
    encoded: Option<snapshot::EncodedSnapshot>,
    used_at: MonotonicTime,
}

impl StateOffer {
    /// Returns the first chunk of a state newer than `above`, encoding it unless one is cached.
    pub(crate) fn first_chunk(
        &mut self,
        now: MonotonicTime,
        replica: &replica::CatalogReplica,
        above: id::LogOffset,
    ) -> Option<Vec<u8>> {
        let is_cached = self.encoded.as_ref().is_some_and(|encoded| encoded.offset > above);
        if !is_cached {
            self.encoded = snapshot::encode(replica).ok();
        }
        let offset = self.encoded.as_ref()?.offset;
        self.chunk(now, offset, 0)
    }

    /// Returns a chunk of the cached state at `offset`.
    pub(crate) fn chunk(
        &mut self,
        now: MonotonicTime,
        offset: id::LogOffset,
        number: u32,
    ) -> Option<Vec<u8>> {
        self.used_at = now;
        let encoded = self.encoded.as_ref().filter(|encoded| encoded.offset == offset)?;
        encoded.chunks.get(number as usize).cloned()
    }

    /// Drops the state if no peer has fetched a chunk within [`STATE_CACHE_TIME`].
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        if now.since(self.used_at) > STATE_CACHE_TIME {
            self.encoded = None;
        }
    }
}

/// A state that is being fetched from a peer.
#[derive(Debug)]
pub(crate) struct StateFetch {
    sender: name::InstanceName,
    restorer: snapshot::SnapshotRestorer,
    last_chunk_at: MonotonicTime,
}

/// Result of adding a chunk.
pub(crate) enum FetchStep {
    /// Fetch this chunk next.
    Fetch(config::ConfigMessage),
    /// The state is complete.
    Restored(Box<replica::CatalogReplica>),
    /// The chunk is invalid or of no use; the fetch ends.
    Dropped,
}

impl StateFetch {
    pub(crate) fn new(sender: name::InstanceName, now: MonotonicTime) -> Self {
        Self { sender, restorer: snapshot::SnapshotRestorer::new(), last_chunk_at: now }
    }

    pub(crate) fn is_from(&self, sender: &name::InstanceName) -> bool {
        self.sender == *sender
    }

    pub(crate) fn has_stalled(&self, now: MonotonicTime) -> bool {
        now.since(self.last_chunk_at) > CHUNK_TIMEOUT
    }

    /// Adds a chunk of a state. States not newer than `above` are dropped.
    pub(crate) fn add(
        &mut self,
        now: MonotonicTime,
        chunk: &[u8],
        above: id::LogOffset,
    ) -> FetchStep {
        self.last_chunk_at = now;
        let Ok(is_complete) = self.restorer.add(chunk) else { return FetchStep::Dropped };
        let Some(offset) = self.restorer.offset().filter(|offset| *offset > above) else {
            return FetchStep::Dropped;
        };
        if !is_complete {
            let number = self.restorer.first_missing();
            return FetchStep::Fetch(config::ConfigMessage::FetchChunk { offset, number });
        }
        let restorer = std::mem::take(&mut self.restorer);
        let replica = restorer.restore();
        replica.map_or(FetchStep::Dropped, |replica| FetchStep::Restored(Box::new(replica)))
    }
}

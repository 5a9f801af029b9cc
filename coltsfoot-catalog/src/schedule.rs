//! Decides when which instance writes a snapshot, and writes it.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, time::MonotonicTime};

use crate::{feed, snapshot};

/// Divisor of the log's retention: age of the last snapshot at which the first instance writes one.
const DUE_DIVISOR: u32 = 8;
/// Divisor of the log's retention: additional wait of each further instance.
const RANK_DIVISOR: u32 = 64;
/// Highest rank that adds to the wait.
const MAX_RANK: u32 = 7;
/// Divisor of the log's retention: time between two reads of the snapshot index.
const INDEX_READ_DIVISOR: u32 = 64;
/// Longest time between two reads of the snapshot index.
const MAX_INDEX_READ_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Number of chunks appended by one call.
const CHUNKS_PER_APPEND: usize = 4;
/// Attempts to append the same values.
const MAX_APPEND_ATTEMPTS: u32 = 5;

/// Decides when this instance writes a snapshot.
///
/// Rendezvous hashing ranks the instances anew for each snapshot. The first one writes when 1/8 of
/// the retention has passed since the last snapshot, each further one 1/64 later, all before 1/4
/// has passed.
#[derive(Debug)]
pub(crate) struct SnapshotSchedule {
    retention: time::Duration,
    /// Offset of the next index record to read.
    next_index_offset: id::LogOffset,
    /// When the first-ranked instance writes, `None` before the index has been read.
    due_at: Option<MonotonicTime>,
    next_index_read_at: MonotonicTime,
}

impl SnapshotSchedule {
    pub(crate) fn new(retention: time::Duration) -> Self {
        Self {
            retention,
            next_index_offset: id::LogOffset(0),
            due_at: None,
            next_index_read_at: MonotonicTime::default(),
        }
    }

    pub(crate) fn next_index_offset(&self) -> id::LogOffset {
        self.next_index_offset
    }

    /// Returns whether the snapshot index is to be read again.
    pub(crate) fn is_index_read_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_index_read_at
    }

    /// Records that a snapshot of this age exists.
    pub(crate) fn record_snapshot(&mut self, now: MonotonicTime, age: time::Duration) {
        let wait = (self.retention / DUE_DIVISOR).saturating_sub(age);
        self.due_at = Some(self.due_at.map_or(now + wait, |due_at| due_at.max(now + wait)));
    }

    /// Records that the index has been read up to an offset.
    pub(crate) fn record_index_read(
        &mut self,
        now: MonotonicTime,
        next_index_offset: id::LogOffset,
    ) {
        self.next_index_offset = self.next_index_offset.max(next_index_offset);
        self.due_at = self.due_at.or(Some(now));
        self.next_index_read_at = now + self.index_read_interval();
    }

    /// Delays the next snapshot after a failure.
    pub(crate) fn postpone(&mut self, now: MonotonicTime) {
        self.due_at = Some(now + self.retention / RANK_DIVISOR);
    }

    /// Returns whether this instance writes a snapshot now.
    pub(crate) fn is_due(
        &self,
        now: MonotonicTime,
        own: &name::InstanceName,
        peers: &[feed::ConfigPeer],
    ) -> bool {
        let Some(due_at) = self.due_at.filter(|due_at| now >= *due_at) else { return false };
        let rank = rank(self.next_index_offset, own, peers).min(MAX_RANK);
        now >= due_at + self.retention / RANK_DIVISOR * rank
    }

    fn index_read_interval(&self) -> time::Duration {
        (self.retention / INDEX_READ_DIVISOR).min(MAX_INDEX_READ_INTERVAL)
    }
}

/// Returns the number of peers that rank before this instance for a snapshot round.
fn rank(round: id::LogOffset, own: &name::InstanceName, peers: &[feed::ConfigPeer]) -> u32 {
    let weight = |instance: &name::InstanceName| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&round.0.to_le_bytes());
        hasher.update(instance.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    };
    let own = weight(own);
    peers.iter().filter(|peer| weight(&peer.instance) > own).count() as u32
}

/// Next step of a snapshot writer.
#[derive(Debug, PartialEq)]
pub(crate) enum WriterStep {
    /// Append these values.
    Append(feed::LogStream, Vec<String>),
    /// The snapshot and its index are in the log.
    Finished,
    /// Appending has failed [`MAX_APPEND_ATTEMPTS`] times, or the index can't be encoded.
    Failed,
}

/// Appends the chunks of a snapshot, then its index.
#[derive(Debug)]
pub(crate) struct SnapshotWriter {
    offset: id::LogOffset,
    unwritten: collections::VecDeque<String>,
    chunk_offsets: Vec<id::LogOffset>,
    attempts: u32,
    writes_index: bool,
}

impl SnapshotWriter {
    pub(crate) fn new(encoded: &snapshot::EncodedSnapshot) -> Self {
        Self {
            offset: encoded.offset,
            unwritten: encoded.chunks.iter().map(|chunk| snapshot::chunk_text(chunk)).collect(),
            chunk_offsets: Vec::new(),
            attempts: 0,
            writes_index: false,
        }
    }

    /// Returns the next values to append, the same ones again if the last append was not
    /// confirmed.
    pub(crate) fn next(&mut self) -> WriterStep {
        if self.attempts == MAX_APPEND_ATTEMPTS {
            return WriterStep::Failed;
        }
        self.attempts += 1;
        if !self.unwritten.is_empty() {
            let values = self.unwritten.iter().take(CHUNKS_PER_APPEND).cloned().collect();
            return WriterStep::Append(feed::LogStream::SnapshotChunks, values);
        }
        let chunk_offsets = self.chunk_offsets.clone();
        let index = snapshot::SnapshotIndex { offset: self.offset, chunk_offsets };
        self.writes_index = true;
        match serde_json::to_string(&index) {
            Ok(text) => WriterStep::Append(feed::LogStream::SnapshotIndex, vec![text]),
            Err(_) => WriterStep::Failed,
        }
    }

    /// Handles the confirmation of the last append.
    pub(crate) fn on_appended(&mut self, first_offset: id::LogOffset) -> WriterStep {
        if self.writes_index {
            return WriterStep::Finished;
        }
        let count = self.unwritten.len().min(CHUNKS_PER_APPEND);
        self.unwritten.drain(..count);
        let offsets = (first_offset.0..).take(count).map(id::LogOffset);
        self.chunk_offsets.extend(offsets);
        self.attempts = 0;
        self.next()
    }
}

//! When and by whom a snapshot is written, and the writing of one.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, time::MonotonicTime};

use crate::{feed, snapshot};

/// Part of the log's retention after which the first instance writes a snapshot.
const DUE_DIVISOR: u32 = 8;
/// Part of the log's retention by which each further instance waits longer.
const RANK_DIVISOR: u32 = 64;
/// Rank above which instances wait no longer.
const MAX_RANK: u32 = 7;
/// Part of the log's retention between two looks at the index of snapshots.
const LOOK_DIVISOR: u32 = 64;
/// Longest time between two looks at the index of snapshots.
const MAX_LOOK_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Chunks appended by one call.
const CHUNKS_PER_APPEND: usize = 4;
/// Attempts to append the same values.
const MAX_APPEND_ATTEMPTS: u32 = 5;

/// Decides when this instance writes a snapshot.
///
/// The instances are ranked by rendezvous hashing, anew for each snapshot. The first one writes
/// when an eighth of the retention has passed since the last snapshot, each further one a
/// sixty-fourth later, all before a quarter has passed.
#[derive(Debug)]
pub(crate) struct SnapshotSchedule {
    retention: time::Duration,
    /// Offset of the next index record to look for.
    next_index: id::LogOffset,
    /// When the first instance writes, once the index has been read.
    due_at: Option<MonotonicTime>,
    look_at: MonotonicTime,
}

impl SnapshotSchedule {
    pub(crate) fn new(retention: time::Duration) -> Self {
        Self {
            retention,
            next_index: id::LogOffset(0),
            due_at: None,
            look_at: MonotonicTime::default(),
        }
    }

    pub(crate) fn next_index(&self) -> id::LogOffset {
        self.next_index
    }

    /// Returns whether the index is to be read again.
    pub(crate) fn wants_look(&self, now: MonotonicTime) -> bool {
        now >= self.look_at
    }

    /// Notes a snapshot of a certain age.
    pub(crate) fn note_snapshot(&mut self, now: MonotonicTime, age: time::Duration) {
        let wait = (self.retention / DUE_DIVISOR).saturating_sub(age);
        self.due_at = Some(self.due_at.map_or(now + wait, |due_at| due_at.max(now + wait)));
    }

    /// Notes that the index has been read up to an offset.
    pub(crate) fn note_look(&mut self, now: MonotonicTime, next_index: id::LogOffset) {
        self.next_index = self.next_index.max(next_index);
        self.due_at = self.due_at.or(Some(now));
        self.look_at = now + self.look_interval();
    }

    /// Puts writing off after a failure.
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
        let rank = rank(self.next_index, own, peers).min(MAX_RANK);
        now >= due_at + self.retention / RANK_DIVISOR * rank
    }

    fn look_interval(&self) -> time::Duration {
        (self.retention / LOOK_DIVISOR).min(MAX_LOOK_INTERVAL)
    }
}

/// Returns the number of peers that rank before this instance.
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

/// What a writer does after an answer.
#[derive(Debug, PartialEq)]
pub(crate) enum WriterStep {
    /// Append these values.
    Append(feed::LogStream, Vec<String>),
    /// The snapshot is on the log.
    Finished,
    /// The log takes no values.
    Failed,
}

/// Appends the chunks of a snapshot, then its index.
#[derive(Debug)]
pub(crate) struct SnapshotWriter {
    offset: id::LogOffset,
    waiting: collections::VecDeque<String>,
    chunk_offsets: Vec<id::LogOffset>,
    attempts: u32,
    writes_index: bool,
}

impl SnapshotWriter {
    pub(crate) fn new(encoded: &snapshot::EncodedSnapshot) -> Self {
        Self {
            offset: encoded.offset,
            waiting: encoded.chunks.iter().map(|chunk| snapshot::chunk_text(chunk)).collect(),
            chunk_offsets: Vec::new(),
            attempts: 0,
            writes_index: false,
        }
    }

    /// Returns the next values to append, the same ones again where no answer came.
    pub(crate) fn next(&mut self) -> WriterStep {
        if self.attempts == MAX_APPEND_ATTEMPTS {
            return WriterStep::Failed;
        }
        self.attempts += 1;
        if !self.waiting.is_empty() {
            let values = self.waiting.iter().take(CHUNKS_PER_APPEND).cloned().collect();
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

    /// Handles the answer to the last append.
    pub(crate) fn on_appended(&mut self, first_offset: id::LogOffset) -> WriterStep {
        if self.writes_index {
            return WriterStep::Finished;
        }
        let count = self.waiting.len().min(CHUNKS_PER_APPEND);
        self.waiting.drain(..count);
        let offsets = (first_offset.0..).take(count).map(id::LogOffset);
        self.chunk_offsets.extend(offsets);
        self.attempts = 0;
        self.next()
    }
}

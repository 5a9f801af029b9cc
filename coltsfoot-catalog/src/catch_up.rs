//! Restores the newest usable snapshot from the log.

use coltsfoot_types::id;

use crate::{feed, replica, snapshot};

/// Largest number of snapshots to try, the newest first.
const MAX_CANDIDATES: usize = 4;
/// Chunks read by one call.
const CHUNKS_PER_READ: u32 = 8;

/// One read of the stream of chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ChunkRead {
    pub(crate) offset: id::LogOffset,
    pub(crate) limit: u32,
}

/// Reads the newest complete snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCatchUp {
    /// Snapshots not tried yet, the newest last.
    candidates: Vec<snapshot::SnapshotIndex>,
    restorer: snapshot::SnapshotRestorer,
    next_chunk: usize,
}

impl SnapshotCatchUp {
    /// Adds a snapshot from the index; only the newest [`MAX_CANDIDATES`] are kept.
    pub(crate) fn add_candidate(&mut self, index: snapshot::SnapshotIndex) {
        let position = self.candidates.partition_point(|other| other.offset <= index.offset);
        self.candidates.insert(position, index);
        if self.candidates.len() > MAX_CANDIDATES {
            self.candidates.remove(0);
        }
    }

    /// Returns the next read, `None` if no snapshot newer than `above` is left.
    pub(crate) fn next_read(&mut self, above: id::LogOffset) -> Option<ChunkRead> {
        loop {
            let candidate = self.candidates.last()?;
            let rest = candidate.chunk_offsets.get(self.next_chunk..).unwrap_or_default();
            match rest.first() {
                Some(first) if candidate.offset > above => {
                    let consecutive = rest.windows(2).take_while(|pair| pair[0].next() == pair[1]);
                    let limit = (consecutive.count() as u32 + 1).min(CHUNKS_PER_READ);
                    return Some(ChunkRead { offset: *first, limit });
                }
                _ => self.drop_candidate(),
            }
        }
    }

    /// Adds the page of the last read. Returns the replica once the snapshot is complete.
    pub(crate) fn add_page(&mut self, page: &feed::LogPage) -> Option<replica::CatalogReplica> {
        let expected = self.candidates.last()?.chunk_offsets.get(self.next_chunk).copied();
        if page.records.is_empty() || page.records.first().map(|first| first.offset) != expected {
            self.drop_candidate();
            return None;
        }
        for record in &page.records {
            let chunk = snapshot::chunk_from_text(&record.value);
            match chunk.and_then(|chunk| self.restorer.add(&chunk)) {
                Ok(true) => return self.finish(),
                Ok(false) => self.next_chunk += 1,
                Err(_) => {
                    self.drop_candidate();
                    return None;
                }
            }
        }
        None
    }

    fn finish(&mut self) -> Option<replica::CatalogReplica> {
        let restorer = std::mem::take(&mut self.restorer);
        self.drop_candidate();
        restorer.restore().ok()
    }

    fn drop_candidate(&mut self) {
        self.candidates.pop();
        self.restorer = snapshot::SnapshotRestorer::new();
        self.next_chunk = 0;
    }
}

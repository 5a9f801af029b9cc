//! Snapshots of the configuration state in compressed chunks, verified by a digest.
//!
//! A snapshot at offset N holds the effect of all records below N. Equal states encode to equal
//! bytes, so that chunks written by several instances are interchangeable.

use base64::Engine as _;
use coltsfoot_types::id;
use serde::{Deserialize, Serialize};

use crate::{object, replica, state};

/// Stream of the configuration log.
pub const CONFIG_STREAM: &str = "config";
/// Stream that holds the chunks of snapshots.
pub const SNAPSHOT_STREAM: &str = "config-snapshot";
/// Stream that holds one [`SnapshotIndex`] for each complete snapshot.
pub const INDEX_STREAM: &str = "config-snapshot-index";

/// Size before compression from which a chunk is closed.
const CHUNK_BYTES: usize = 256 * 1024;
/// Largest size of a chunk before compression.
const MAX_CHUNK_BYTES: usize = CHUNK_BYTES + replica::MAX_RECORD_BYTES;
/// Largest number of chunks of a snapshot.
const MAX_CHUNKS: u32 = 4_096;
/// Length of the uncompressed size that precedes the compressed bytes.
const SIZE_PREFIX_BYTES: usize = 4;

/// BLAKE3 digest of a snapshot's offset and chunk payloads.
pub type SnapshotDigest = [u8; 32];

/// Index record of a complete snapshot in the log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotIndex {
    /// All records below this offset are in the snapshot.
    pub offset: id::LogOffset,
    /// Offsets of its chunks in the stream of chunks.
    pub chunk_offsets: Vec<id::LogOffset>,
}

/// A snapshot that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A chunk can't be decoded.
    #[error("a snapshot chunk is malformed; run the same version on all instances")]
    Malformed,
    /// The chunks do not match the digest of the snapshot.
    #[error("a snapshot chunk does not match its digest; read another snapshot")]
    WrongDigest,
    /// A chunk belongs to a different snapshot from those before it.
    #[error("a snapshot chunk belongs to another snapshot; read the chunks of one snapshot")]
    OtherSnapshot,
    /// Chunks are missing.
    #[error("{missing} snapshot chunks are missing; read them as well")]
    Incomplete {
        /// Number of missing chunks.
        missing: u32,
    },
}

/// A snapshot in chunks, ready to be sent to a peer or appended to the log.
#[derive(Clone, Debug)]
pub struct EncodedSnapshot {
    /// All records below this offset are in the snapshot.
    pub offset: id::LogOffset,
    /// The chunks in their order.
    pub chunks: Vec<Vec<u8>>,
}

#[derive(Debug, Deserialize, Serialize)]
struct SnapshotChunk {
    offset: id::LogOffset,
    digest: SnapshotDigest,
    number: u32,
    count: u32,
    payload: Vec<u8>,
}

/// Entry of a snapshot. The order of variants and fields is the stored postcard format.
#[derive(Debug, Deserialize, Serialize)]
enum SnapshotEntry {
    Policy(id::LogOffset, object::FleetPolicy),
    Customer(id::LogOffset, object::CustomerObject),
    Key(id::LogOffset, object::KeyObject),
    Adapter(id::LogOffset, object::AdapterObject),
    Route(id::LogOffset, object::RouteObject),
    Exception(id::LogOffset, object::RouteException),
    Change(replica::RecentChange),
}

impl From<state::VersionedObject> for SnapshotEntry {
    fn from(versioned: state::VersionedObject) -> Self {
        let revision = versioned.revision;
        match versioned.object {
            object::CatalogObject::Policy(object) => Self::Policy(revision, object),
            object::CatalogObject::Customer(object) => Self::Customer(revision, object),
            object::CatalogObject::Key(object) => Self::Key(revision, object),
            object::CatalogObject::Adapter(object) => Self::Adapter(revision, object),
            object::CatalogObject::Route(object) => Self::Route(revision, object),
            object::CatalogObject::Exception(object) => Self::Exception(revision, object),
        }
    }
}

/// Encodes the state of a replica.
pub fn encode(replica: &replica::CatalogReplica) -> Result<EncodedSnapshot, SnapshotError> {
    let payloads = payloads(replica)?;
    let offset = replica.next_offset();
    let digest = snapshot_digest(offset, &payloads);
    let count = payloads.len() as u32;
    let chunk = |(number, payload)| {
        let chunk = SnapshotChunk { offset, digest, number: number as u32, count, payload };
        postcard::to_stdvec(&chunk).map_err(|_| SnapshotError::Malformed)
    };
    let chunks = payloads.into_iter().enumerate().map(chunk).collect::<Result<_, _>>()?;
    Ok(EncodedSnapshot { offset, chunks })
}

/// Encodes a chunk as base64 text for the log.
pub fn chunk_text(chunk: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(chunk)
}

/// Decodes a chunk from the base64 text in the log.
pub fn chunk_from_text(text: &str) -> Result<Vec<u8>, SnapshotError> {
    base64::engine::general_purpose::STANDARD.decode(text).map_err(|_| SnapshotError::Malformed)
}

/// Collects the chunks of one snapshot, in any order.
#[derive(Debug, Default)]
pub struct SnapshotRestorer {
    offset: id::LogOffset,
    digest: SnapshotDigest,
    payloads: Vec<Option<Vec<u8>>>,
    missing: u32,
}

impl SnapshotRestorer {
    /// Creates a restorer without chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk; a duplicate changes nothing. Returns whether the snapshot is complete.
    pub fn add(&mut self, bytes: &[u8]) -> Result<bool, SnapshotError> {
        let chunk: SnapshotChunk =
            postcard::from_bytes(bytes).map_err(|_| SnapshotError::Malformed)?;
        if chunk.number >= chunk.count || chunk.count > MAX_CHUNKS {
            return Err(SnapshotError::Malformed);
        }
        if self.payloads.is_empty() {
            self.offset = chunk.offset;
            self.digest = chunk.digest;
            self.payloads.resize(chunk.count as usize, None);
            self.missing = chunk.count;
        }
        let count = self.payloads.len() as u32;
        if (chunk.offset, chunk.digest, chunk.count) != (self.offset, self.digest, count) {
            return Err(SnapshotError::OtherSnapshot);
        }
        if self.payloads[chunk.number as usize].replace(chunk.payload).is_none() {
            self.missing -= 1;
        }
        Ok(self.missing == 0)
    }

    /// Returns the number of the first missing chunk.
    pub fn first_missing(&self) -> u32 {
        let missing = self.payloads.iter().position(Option::is_none);
        missing.unwrap_or(self.payloads.len()) as u32
    }

    /// Returns the offset of the snapshot, `None` before the first chunk.
    pub fn offset(&self) -> Option<id::LogOffset> {
        (!self.payloads.is_empty()).then_some(self.offset)
    }

    /// Restores the replica from the complete snapshot.
    pub fn restore(self) -> Result<replica::CatalogReplica, SnapshotError> {
        if self.missing > 0 || self.payloads.is_empty() {
            return Err(SnapshotError::Incomplete { missing: self.missing.max(1) });
        }
        let payloads: Vec<Vec<u8>> = self.payloads.into_iter().flatten().collect();
        if snapshot_digest(self.offset, &payloads) != self.digest {
            return Err(SnapshotError::WrongDigest);
        }
        let mut state = state::CatalogState::default();
        let mut changes = Vec::new();
        for payload in payloads {
            restore_entries(&payload, &mut state, &mut changes)?;
        }
        Ok(replica::CatalogReplica::restore(self.offset, state, changes))
    }
}

fn payloads(replica: &replica::CatalogReplica) -> Result<Vec<Vec<u8>>, SnapshotError> {
    let changes = replica.recent_changes().copied().map(SnapshotEntry::Change);
    let mut payloads = Vec::new();
    let mut raw = Vec::with_capacity(CHUNK_BYTES);
    for entry in replica.state().objects().map(SnapshotEntry::from).chain(changes) {
        raw = postcard::to_extend(&entry, raw).map_err(|_| SnapshotError::Malformed)?;
        if raw.len() >= CHUNK_BYTES {
            payloads.push(lz4_flex::compress_prepend_size(&raw));
            raw.clear();
        }
    }
    if !raw.is_empty() || payloads.is_empty() {
        payloads.push(lz4_flex::compress_prepend_size(&raw));
    }
    Ok(payloads)
}

fn restore_entries(
    payload: &[u8],
    state: &mut state::CatalogState,
    changes: &mut Vec<replica::RecentChange>,
) -> Result<(), SnapshotError> {
    let raw = decompress(payload)?;
    let mut rest = raw.as_slice();
    while !rest.is_empty() {
        let (entry, tail) =
            postcard::take_from_bytes(rest).map_err(|_| SnapshotError::Malformed)?;
        rest = tail;
        match entry {
            SnapshotEntry::Policy(revision, object) => {
                state.insert(revision, object::CatalogObject::Policy(object));
            }
            SnapshotEntry::Customer(revision, object) => {
                state.insert(revision, object::CatalogObject::Customer(object));
            }
            SnapshotEntry::Key(revision, object) => {
                state.insert(revision, object::CatalogObject::Key(object));
            }
            SnapshotEntry::Adapter(revision, object) => {
                state.insert(revision, object::CatalogObject::Adapter(object));
            }
            SnapshotEntry::Route(revision, object) => {
                state.insert(revision, object::CatalogObject::Route(object));
            }
            SnapshotEntry::Exception(revision, object) => {
                state.insert(revision, object::CatalogObject::Exception(object));
            }
            SnapshotEntry::Change(change) => changes.push(change),
        }
    }
    Ok(())
}

fn decompress(payload: &[u8]) -> Result<Vec<u8>, SnapshotError> {
    let prefix = payload.get(..SIZE_PREFIX_BYTES).ok_or(SnapshotError::Malformed)?;
    let prefix = <[u8; SIZE_PREFIX_BYTES]>::try_from(prefix);
    let size = u32::from_le_bytes(prefix.map_err(|_| SnapshotError::Malformed)?);
    if size as usize > MAX_CHUNK_BYTES {
        return Err(SnapshotError::Malformed);
    }
    lz4_flex::decompress_size_prepended(payload).map_err(|_| SnapshotError::Malformed)
}

fn snapshot_digest(offset: id::LogOffset, payloads: &[Vec<u8>]) -> SnapshotDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&offset.0.to_le_bytes());
    for payload in payloads {
        hasher.update(blake3::hash(payload).as_bytes());
    }
    *hasher.finalize().as_bytes()
}

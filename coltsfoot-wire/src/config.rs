//! Forwarding of configuration records and snapshots between instances.

use std::time;

use coltsfoot_types::id;
use serde::{Deserialize, Serialize};

/// A message about the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ConfigMessage {
    /// Asks how current the receiver's configuration is.
    Probe {
        /// Number that the response repeats.
        sequence: u64,
        /// Offset of the next record that the sender will apply.
        next_offset: id::LogOffset,
    },
    /// Response to a probe.
    ProbeAnswer {
        /// Number of the probe.
        sequence: u64,
        /// Offset of the next record that the sender will apply.
        next_offset: id::LogOffset,
        /// Time since the sender's configuration was last known to be current; `None` if it never
        /// was.
        age: Option<time::Duration>,
    },
    /// Asks for records, or for a snapshot if the receiver no longer keeps them.
    FetchRecords {
        /// First offset requested.
        from: id::LogOffset,
    },
    /// Records in response to `FetchRecords`.
    Records {
        /// Consecutive records.
        records: Vec<ConfigRecord>,
        /// Offset of the next record that the sender will apply.
        next_offset: id::LogOffset,
    },
    /// Asks for a chunk of a snapshot that the receiver has offered.
    FetchChunk {
        /// Offset of the snapshot.
        offset: id::LogOffset,
        /// Number of the chunk within the snapshot.
        number: u32,
    },
    /// Chunk of a snapshot.
    StateChunk {
        /// The chunk, encoded as in the snapshots of the log.
        chunk: Vec<u8>,
    },
}

/// A record of the configuration log.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ConfigRecord {
    /// Offset in the log.
    pub offset: id::LogOffset,
    /// Text of the record.
    pub value: String,
}

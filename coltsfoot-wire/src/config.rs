//! Records and states of the configuration, passed on between instances.

use std::time;

use coltsfoot_types::id;
use serde::{Deserialize, Serialize};

/// A message about the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ConfigMessage {
    /// Asks what the receiver knows.
    Probe {
        /// Number that the answer repeats.
        sequence: u64,
        /// Offset of the next record that the sender will fold.
        next_offset: id::LogOffset,
    },
    /// Answers a probe.
    ProbeAnswer {
        /// Number of the probe.
        sequence: u64,
        /// Offset of the next record that the sender will fold.
        next_offset: id::LogOffset,
        /// Time since the sender's configuration was known to be current, absent before that.
        age: Option<time::Duration>,
    },
    /// Asks for records, or for the state where the receiver does not keep them any more.
    FetchRecords {
        /// First offset wanted.
        from: id::LogOffset,
    },
    /// Passes records on.
    Records {
        /// Consecutive records.
        records: Vec<ConfigRecord>,
        /// Offset of the next record that the sender will fold.
        next_offset: id::LogOffset,
    },
    /// Asks for a chunk of a state that the receiver has offered.
    FetchChunk {
        /// Offset of the state.
        offset: id::LogOffset,
        /// Number of the chunk.
        number: u32,
    },
    /// Passes a chunk of a state on.
    StateChunk {
        /// The chunk, as the snapshots of the log have it.
        chunk: Vec<u8>,
    },
}

/// A record of the configuration log.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ConfigRecord {
    /// Its offset.
    pub offset: id::LogOffset,
    /// Its text.
    pub value: String,
}

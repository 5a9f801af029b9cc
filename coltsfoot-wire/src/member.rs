//! Heartbeats and views of a zone, sent by UDP.

use serde::{Deserialize, Serialize};

/// A message between members of a zone.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum MemberMessage {
    /// Asks the receiver for a sign of life.
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Answers a ping.
    Pong {
        /// Number of the ping.
        sequence: u64,
    },
}

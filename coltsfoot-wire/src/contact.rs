//! Probes between instances that have to do with each other, sent by UDP.

use serde::{Deserialize, Serialize};

/// A message that shows whether an instance can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum ContactMessage {
    /// Asks for a sign of life.
    Probe,
    /// Answers a probe.
    Answer,
}

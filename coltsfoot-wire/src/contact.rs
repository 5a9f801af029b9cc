//! Liveness probes between instances that depend on each other, sent over UDP.

use serde::{Deserialize, Serialize};

/// A message that shows whether an instance is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub enum ContactMessage {
    /// Asks for a response.
    Probe,
    /// Response to a probe.
    Answer,
}

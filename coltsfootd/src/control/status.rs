//! Status report of an instance for operators.

use coltsfoot_types::{id, name};
use serde::Serialize;

/// Response body of `GET /status`.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceReport {
    /// Name of the instance.
    pub instance: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// Offset of the next configuration record to apply.
    pub offset: id::LogOffset,
    /// Whether the configuration was restored since the start.
    pub ready: bool,
    /// Whether it is draining for a graceful shutdown.
    pub draining: bool,
    /// Number of requests in progress.
    pub running: usize,
    /// Members of the zone's current view; empty if there is none.
    pub view: Vec<name::InstanceName>,
    /// Ownership mode: `inactive`, `full`, or `restricted K/N`.
    pub ownership: String,
    /// Engine cells that it owns.
    pub cells: Vec<String>,
}

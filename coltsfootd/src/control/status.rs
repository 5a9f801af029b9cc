//! What an instance tells operators of itself.

use coltsfoot_types::{id, name};
use serde::Serialize;

/// Answer of `GET /status`.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceReport {
    /// The instance.
    pub instance: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// Offset of the next configuration record.
    pub offset: id::LogOffset,
    /// Whether the configuration was restored.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Requests that run.
    pub running: usize,
    /// Instances of the zone that it counts on.
    pub view: Vec<name::InstanceName>,
    /// How far it may act as owner: `inactive`, `full`, or `restricted K/N`.
    pub ownership: String,
    /// Engine cells that it owns.
    pub cells: Vec<String>,
}

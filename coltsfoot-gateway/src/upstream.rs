//! What an upstream says of itself.

use std::net;
use std::sync;
use std::time;

use crate::demand;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It leaves and takes no new work.
    Draining,
}

/// An adapter that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResidentAdapter {
    /// The adapter.
    pub name: demand::AdapterName,
    /// Its version.
    pub version: u64,
}

/// An upstream's entry in the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of this incarnation, or of its machine where it starts again under the same id.
    pub id: sync::Arc<str>,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// The service.
    pub service: sync::Arc<str>,
    /// Address.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: sync::Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Time that it stays slow after its start.
    pub cold_remaining: time::Duration,
    /// Models that it held when the entry was written.
    pub models: Vec<sync::Arc<str>>,
    /// Adapters that it held when the entry was written.
    pub adapters: Vec<ResidentAdapter>,
}

impl UpstreamEntry {
    /// Returns whether two entries are of the same start of an upstream.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms && self.address == other.address
    }
}

/// A report of an engine, some hundred milliseconds old when it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Orders accepted since the engine's start.
    pub order_count: u64,
    /// Whether an order for a model is under way.
    pub is_busy: bool,
    /// Models held.
    pub models: Vec<sync::Arc<str>>,
    /// Adapters held.
    pub adapters: Vec<ResidentAdapter>,
    /// Adapters on their way to the engine.
    pub pending: Vec<ResidentAdapter>,
    /// Requests waiting.
    pub queued: u32,
    /// Requests running.
    pub running: u32,
    /// Memory that can't yield, in tokens.
    pub memory_used: u64,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
}

//! What upstreams publish about themselves: entries in the store and reports of engines.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use crate::{demand, rendezvous};

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// An adapter that is loaded on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResidentAdapter {
    /// The adapter.
    pub name: demand::AdapterName,
    /// Its version.
    pub version: u64,
}

/// Number that stands for a version of a service's software.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BuildKey(pub u64);

impl BuildKey {
    /// Returns the key of a version of a service; upstreams that state no version count as one.
    pub fn new(service: &str, version: Option<&str>) -> Self {
        let version = rendezvous::hash_of(&version) as u32;
        Self(u64::from(Self::service_number(service)) << u32::BITS | u64::from(version))
    }

    /// Returns the number of a service.
    pub fn service_number(service: &str) -> u32 {
        rendezvous::hash_of(&service) as u32
    }

    /// Returns the number of the version's service.
    pub fn service(self) -> u32 {
        (self.0 >> u32::BITS) as u32
    }
}

impl fmt::Display for BuildKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// An upstream's entry in the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of this incarnation, or of its machine if the id is kept across restarts.
    pub id: sync::Arc<str>,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// Name of its service.
    pub service: sync::Arc<str>,
    /// Version of its software; `None` if it states none.
    pub version: Option<sync::Arc<str>>,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: sync::Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Remaining time for which it is slow after its start.
    pub cold_remaining: time::Duration,
    /// Base models loaded when the entry was written.
    pub models: Vec<sync::Arc<str>>,
    /// Adapters loaded when the entry was written.
    pub adapters: Vec<ResidentAdapter>,
}

impl UpstreamEntry {
    /// Returns a digest that renewals leave as it is, the same at all instances.
    pub fn digest(&self) -> u64 {
        let is_ready = self.state == UpstreamState::Ready;
        rendezvous::hash_of(&(&*self.id, self.born_ms, self.address, is_ready, &self.version))
    }

    /// Returns the version of its software.
    pub fn build(&self) -> BuildKey {
        BuildKey::new(&self.service, self.version.as_deref())
    }

    /// Returns whether two entries belong to the same incarnation of an upstream.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.born_ms == other.born_ms
            && self.address == other.address
            && self.version == other.version
    }
}

/// Status report of an engine, a few hundred milliseconds old when it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Orders accepted since the engine started.
    pub order_count: u64,
    /// Whether it is executing an order for a model.
    pub is_busy: bool,
    /// Base models loaded.
    pub models: Vec<sync::Arc<str>>,
    /// Adapters loaded.
    pub adapters: Vec<ResidentAdapter>,
    /// Adapters being loaded.
    pub pending: Vec<ResidentAdapter>,
    /// Waiting requests.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
    /// Memory that can't be evicted, in tokens.
    pub memory_used: u64,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
}

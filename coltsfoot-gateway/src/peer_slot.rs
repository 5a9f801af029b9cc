//! State of another instance, as its heartbeats or its zone's relay report it.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashSet;

use crate::{fleet_view, order_lease};

/// Topic digest of an instance that does not poll the store.
pub(crate) const NO_DIGEST: fleet::TopicDigest = fleet::TopicDigest { age_ms: u32::MAX, digest: 0 };

/// Time for which the upstreams that an instance does not reach are remembered.
const UNREACHED_LIFETIME: time::Duration = time::Duration::from_millis(800);

/// State of another instance.
#[derive(Clone, Debug)]
pub struct PeerSlot {
    /// Address at which it receives messages.
    pub address: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: sync::Arc<str>,
    /// Its CPU share, in thousandths of a core.
    pub capacity: u16,
    /// Whether the relay of its zone lists it.
    pub(crate) is_listed: bool,
    /// When its last heartbeat arrived, from itself or through its zone's relay.
    pub last_seen: clock::MonotonicTime,
    /// Highest sequence number of its messages.
    pub sequence: u64,
    /// Time between its heartbeats.
    pub interval: time::Duration,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// Instances in zones other than its own that it knows from messages or from the store.
    pub(crate) cross_zone_peers: usize,
    /// Digest of its copy of the topic with the configuration and the adapter versions.
    pub operator: fleet::TopicDigest,
    /// Digest of its copy of the topic with the entries of upstreams.
    pub upstreams: fleet::TopicDigest,
    /// Status of its lease.
    pub lease: order_lease::PeerLease,
    /// Adapters that its engines are fetching from the weight store.
    pub fetching: u32,
    /// Adapter fetches that wait for capacity of the weight store.
    pub queued_fetches: u32,
    /// Upstreams that it does not reach, by number, and when it said so.
    pub(crate) unreached: FxHashSet<u32>,
    pub(crate) unreached_at: clock::MonotonicTime,
}

impl PeerSlot {
    /// Creates a slot for a new instance; `apply_heartbeat` fills in the rest.
    pub(crate) fn new(now: clock::MonotonicTime, heartbeat: &fleet::FleetHeartbeat) -> Self {
        let (operator, upstreams) = (heartbeat.operator, heartbeat.upstreams);
        let zone = heartbeat.zone.as_str().into();
        Self {
            operator,
            upstreams,
            ..Self::without_state(now, heartbeat.address, zone, heartbeat.capacity)
        }
    }

    /// Creates a slot for an instance that its zone's relay listed.
    pub(crate) fn listed(
        now: clock::MonotonicTime,
        member: &fleet::ZoneMember,
        zone: &sync::Arc<str>,
    ) -> Self {
        let slot =
            Self::without_state(now, member.address, sync::Arc::clone(zone), member.capacity);
        Self { is_listed: true, ..slot }
    }

    /// Creates a slot without topic digests or lease status.
    fn without_state(
        now: clock::MonotonicTime,
        address: std::net::SocketAddr,
        zone: sync::Arc<str>,
        capacity: u16,
    ) -> Self {
        Self {
            address,
            zone,
            capacity,
            is_listed: false,
            last_seen: now,
            sequence: 0,
            interval: time::Duration::ZERO,
            is_draining: false,
            cross_zone_peers: 0,
            operator: NO_DIGEST,
            upstreams: NO_DIGEST,
            lease: order_lease::PeerLease {
                heard: now,
                store_age: time::Duration::ZERO,
                partitions: Vec::new(),
            },
            fetching: 0,
            queued_fetches: 0,
            unreached: FxHashSet::default(),
            unreached_at: now,
        }
    }

    /// Returns whether it probably reaches an upstream: it repeats what it does not reach.
    pub(crate) fn reaches(&self, now: clock::MonotonicTime, number: u32) -> bool {
        let lifetime = UNREACHED_LIFETIME.max(self.interval * fleet_view::MAX_LOST_HEARTBEATS);
        now.since(self.unreached_at) >= lifetime || !self.unreached.contains(&number)
    }

    /// Returns whether its last heartbeat is recent, given the interval between them.
    pub(crate) fn is_live(&self, now: clock::MonotonicTime) -> bool {
        let longest = fleet_view::PEER_SILENCE.max(self.interval * fleet_view::MAX_LOST_HEARTBEATS);
        now.since(self.last_seen) < longest
    }

    /// Records the sequence number of a message; returns false if it is stale.
    pub(crate) fn record_sequence(&mut self, sequence: u64) -> bool {
        let is_later = sequence > self.sequence;
        self.sequence = self.sequence.max(sequence);
        is_later
    }

    /// Applies a heartbeat; returns false if it is stale.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now: clock::MonotonicTime,
        heartbeat: &fleet::FleetHeartbeat,
    ) -> bool {
        if !self.record_sequence(heartbeat.sequence) {
            return false;
        }
        self.last_seen = now;
        self.interval = time::Duration::from_millis(u64::from(heartbeat.interval_ms));
        self.is_draining = heartbeat.is_draining;
        self.cross_zone_peers = usize::from(heartbeat.cross_zone_peers);
        self.capacity = heartbeat.capacity;
        (self.operator, self.upstreams) = (heartbeat.operator, heartbeat.upstreams);
        self.fetching = u32::from(heartbeat.fetching);
        self.queued_fetches = u32::from(heartbeat.queued_fetches);
        self.lease = order_lease::PeerLease {
            heard: now,
            store_age: time::Duration::from_millis(u64::from(heartbeat.store_age_ms)),
            partitions: heartbeat.partitions.clone(),
        };
        true
    }
}

//! What an instance knows of another one.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;

use crate::{fleet_view, order_lease};

/// The reading of an instance that does not read.
pub(crate) const UNREAD: fleet::TopicDigest = fleet::TopicDigest { age_ms: u32::MAX, digest: 0 };

/// Another instance.
#[derive(Clone, Debug)]
pub struct PeerSlot {
    /// Where it receives messages.
    pub address: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: sync::Arc<str>,
    /// Its share of a processor, in thousandths.
    pub capacity: u16,
    /// Whether the relay of its zone names it.
    pub(crate) is_listed: bool,
    /// When it was heard last, itself or through its zone's relay.
    pub heard: clock::MonotonicTime,
    /// Sequence number of its last beat.
    pub sequence: u64,
    /// Time between its beats.
    pub interval: time::Duration,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Instances of other zones than its own that it has heard or found in the store.
    pub(crate) cross_zone_peers: usize,
    /// What it knows of the operator's records.
    pub operator: fleet::TopicDigest,
    /// What it knows of the upstreams' entries.
    pub upstreams: fleet::TopicDigest,
    /// What it told of its lease.
    pub witness: order_lease::PeerLease,
    /// Adapters that its engines fetch from the weight store.
    pub fetching: u32,
    /// Adapters that they are to fetch once the weight store has room.
    pub queued_fetches: u32,
}

impl PeerSlot {
    /// Creates a slot for an instance that was not known; nothing of its beat is taken yet.
    pub(crate) fn new(now: clock::MonotonicTime, beat: &fleet::FleetHeartbeat) -> Self {
        let (operator, upstreams) = (beat.operator, beat.upstreams);
        let zone = beat.zone.as_str().into();
        Self { operator, upstreams, ..Self::unread(now, beat.address, zone, beat.capacity) }
    }

    /// Creates a slot for an instance that its zone's relay named.
    pub(crate) fn listed(
        now: clock::MonotonicTime,
        member: &fleet::ZoneMember,
        zone: &sync::Arc<str>,
    ) -> Self {
        let slot = Self::unread(now, member.address, sync::Arc::clone(zone), member.capacity);
        Self { is_listed: true, ..slot }
    }

    /// Creates a slot for an instance of which nothing else is known.
    fn unread(
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
            heard: now,
            sequence: 0,
            interval: time::Duration::ZERO,
            is_leaving: false,
            cross_zone_peers: 0,
            operator: UNREAD,
            upstreams: UNREAD,
            witness: order_lease::PeerLease {
                heard: now,
                store_age: time::Duration::ZERO,
                partitions: Vec::new(),
            },
            fetching: 0,
            queued_fetches: 0,
        }
    }

    /// Returns whether it was heard lately, as far as its beats tell.
    pub(crate) fn is_heard(&self, now: clock::MonotonicTime) -> bool {
        let longest = fleet_view::PEER_SILENCE.max(self.interval * fleet_view::BEATS_TO_LOSE);
        now.since(self.heard) < longest
    }

    /// Notes the number of a message; returns false if a later one came before.
    pub(crate) fn take_sequence(&mut self, sequence: u64) -> bool {
        let is_later = sequence > self.sequence;
        self.sequence = self.sequence.max(sequence);
        is_later
    }

    /// Takes a beat; returns false if it is older than what is known.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now: clock::MonotonicTime,
        beat: &fleet::FleetHeartbeat,
    ) -> bool {
        if !self.take_sequence(beat.sequence) {
            return false;
        }
        self.heard = now;
        self.interval = time::Duration::from_millis(u64::from(beat.interval_ms));
        self.is_leaving = beat.is_draining;
        self.cross_zone_peers = usize::from(beat.cross_zone_peers);
        self.capacity = beat.capacity;
        (self.operator, self.upstreams) = (beat.operator, beat.upstreams);
        self.fetching = u32::from(beat.fetching);
        self.queued_fetches = u32::from(beat.queued_fetches);
        self.witness = order_lease::PeerLease {
            heard: now,
            store_age: time::Duration::from_millis(u64::from(beat.store_age_ms)),
            partitions: beat.partitions.clone(),
        };
        true
    }
}

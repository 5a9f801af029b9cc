//! Which instance issues the permits to send to a rate-limited upstream.

use std::net;

use coltsfoot_types::time as clock;
use smallvec::SmallVec;

use crate::rendezvous;

use super::{FleetView, zones};

/// Instances that are asked for a permit in turn: the second is the first one's successor and
/// notices its failure sooner than others.
const MAX_ISSUERS: usize = 2;

/// An instance that is asked for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitIssuer {
    /// This instance.
    Own,
    /// Another instance, by the address at which it receives messages.
    Peer(net::SocketAddr),
}

/// Instances to ask for a permit, in order.
pub type PermitIssuers = SmallVec<[PermitIssuer; MAX_ISSUERS]>;

impl FleetView {
    /// Returns the rate in requests per second at which this instance issues permits for an
    /// upstream, if that announced a limit: the share of the limit that equals the share of known
    /// instances that are reachable. The others, across a partition, have an issuer of their own.
    pub fn permit_rate(&self, now: clock::MonotonicTime, number: u32) -> Option<f64> {
        let limit = self.limits.limit(now, number)?;
        let live = self.peers.values().filter(|peer| peer.is_live(now)).count() + 1;
        Some(limit * live as f64 / (self.peers.len() + 1) as f64)
    }

    /// Returns the instances to ask for a permit for an upstream, the issuer first. They are in the
    /// upstream's zone if an instance there is reachable, so that whoever reaches the upstream
    /// across a partition also reaches the issuer. `own` is this instance, in `zone`; it issues
    /// none while it shuts down.
    pub fn permit_issuers(
        &self,
        now: clock::MonotonicTime,
        number: u32,
        own: zones::OwnMember,
        zone: &str,
        is_stopping: bool,
    ) -> PermitIssuers {
        let upstream = self.upstream_id(number).and_then(|id| self.upstream(id));
        let upstream_zone = upstream.map(|slot| &*slot.entry.zone);
        let mut issuers: SmallVec<[(bool, u64, PermitIssuer); 8]> = SmallVec::new();
        let mut add = |id: u64, zone: &str, issuer: PermitIssuer| {
            let weight = rendezvous::weight(u64::from(number), id);
            issuers.push((Some(zone) == upstream_zone, weight, issuer));
        };
        for (id, peer) in
            self.peers.iter().filter(|(_, peer)| !peer.is_draining && peer.is_live(now))
        {
            add(*id, &peer.zone, PermitIssuer::Peer(peer.address));
        }
        if !is_stopping {
            add(own.id, zone, PermitIssuer::Own);
        }
        let is_same_zone = issuers.iter().any(|(is_same_zone, ..)| *is_same_zone);
        issuers.retain(|(same_zone, ..)| *same_zone == is_same_zone);
        issuers.sort_unstable_by_key(|(_, weight, _)| std::cmp::Reverse(*weight));
        let first = issuers.iter().map(|(.., issuer)| *issuer).take(MAX_ISSUERS);
        let first: PermitIssuers = first.collect();
        // Without other instances, an instance that shuts down still serves its requests in flight.
        if first.is_empty() { PermitIssuers::from_iter([PermitIssuer::Own]) } else { first }
    }
}

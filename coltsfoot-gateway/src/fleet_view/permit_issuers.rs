//! Which instance gives leave to send something to an upstream that named a limit.

use std::net;

use coltsfoot_types::time as clock;
use smallvec::SmallVec;

use crate::rendezvous;

use super::{FleetView, zones};

/// Instances that are asked for leave in turn: the second one knows sooner than others if the first is
/// gone.
const GIVERS: usize = 2;

/// An instance that is asked for leave to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitIssuer {
    /// This instance.
    Own,
    /// Another one, by where it receives messages.
    Peer(net::SocketAddr),
}

/// Instances to ask in turn.
pub type PermitIssuers = SmallVec<[PermitIssuer; GIVERS]>;

impl FleetView {
    /// Returns the sends a second for which this instance gives leave, if it does and the upstream named
    /// a limit: as large a part of the limit as the part of the known instances that are heard. Those
    /// across a partition have a giver of their own.
    pub fn permit_rate(&self, now: clock::MonotonicTime, number: u32) -> Option<f64> {
        let limit = self.limits.limit(now, number)?;
        let heard = self.peers.values().filter(|peer| peer.is_heard(now)).count() + 1;
        Some(limit * heard as f64 / (self.peers.len() + 1) as f64)
    }

    /// Returns the instances to ask for leave to send to an upstream, the one that gives it first. They
    /// are of the upstream's zone if some of its instances are heard, so that whoever reaches the
    /// upstream across a partition reaches the giver. `own` is this instance, in `zone`; it gives no
    /// leave once it is about to stop.
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
        let mut givers: SmallVec<[(bool, u64, PermitIssuer); 8]> = SmallVec::new();
        let mut add = |id: u64, zone: &str, giver: PermitIssuer| {
            let weight = rendezvous::weight(u64::from(number), id);
            givers.push((Some(zone) == upstream_zone, weight, giver));
        };
        for (id, peer) in
            self.peers.iter().filter(|(_, peer)| !peer.is_leaving && peer.is_heard(now))
        {
            add(*id, &peer.zone, PermitIssuer::Peer(peer.address));
        }
        if !is_stopping {
            add(own.id, zone, PermitIssuer::Own);
        }
        let is_near = givers.iter().any(|(is_near, ..)| *is_near);
        givers.retain(|(near, ..)| *near == is_near);
        givers.sort_unstable_by_key(|(_, weight, _)| std::cmp::Reverse(*weight));
        let first = givers.iter().map(|(.., giver)| *giver).take(GIVERS);
        let first: PermitIssuers = first.collect();
        // Without any other instance an instance that stops still sends what is under way.
        if first.is_empty() { PermitIssuers::from_iter([PermitIssuer::Own]) } else { first }
    }
}

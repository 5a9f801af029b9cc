//! Selects the upstream of a plain service by this instance's circuit breakers.

use std::collections;
use std::sync;

use coltsfoot_once::circuit_breaker::{self, BreakerPermit};
use coltsfoot_platform::protocol;
use coltsfoot_types::{name, time as instant};

/// Circuit breakers of the upstreams of all plain services.
#[derive(Default)]
pub struct ServiceBreakers {
    inner: sync::Mutex<BreakerState>,
}

#[derive(Default)]
struct BreakerState {
    breakers: collections::BTreeMap<name::UpstreamName, circuit_breaker::CircuitBreaker>,
    rotation: usize,
}

/// Constraints for the choice of a call's upstream.
pub struct UpstreamDemand<'a> {
    /// The service.
    pub service: &'a name::ServiceName,
    /// Preferred zone.
    pub zone: &'a name::ZoneName,
    /// Upstreams to exclude, since they have already failed the call.
    pub avoid: &'a [name::UpstreamName],
    /// Whether the call may be the probe of an upstream that failed.
    pub may_probe: bool,
}

impl ServiceBreakers {
    /// Chooses among the upstreams that aren't draining by breaker state, zone and round robin.
    /// If all breakers are open one of these upstreams is chosen all the same.
    pub fn choose(
        &self,
        now: instant::MonotonicTime,
        listings: &[protocol::UpstreamListing],
        demand: &UpstreamDemand<'_>,
    ) -> Option<protocol::UpstreamListing> {
        let mut state = self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let role = protocol::UpstreamRole::Service { service: demand.service.clone() };
        let usable = |listing: &&protocol::UpstreamListing| {
            listing.role == role && !listing.leaving && !demand.avoid.contains(&listing.name)
        };
        let ranked = listings.iter().filter(usable).map(|listing| {
            let permit = state.permit(now, &listing.name);
            (rank(permit, demand.may_probe, listing.zone == *demand.zone), listing)
        });
        let ranked: Vec<_> = ranked.collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let best: Vec<_> = ranked.into_iter().filter(|(rank, _)| *rank == best).collect();
        state.rotation = state.rotation.wrapping_add(1);
        let (_, chosen) = best[state.rotation % best.len()];
        if let Some(breaker) = state.breakers.get_mut(&chosen.name) {
            breaker.begin_probe(now);
        }
        Some(chosen.clone())
    }

    /// Records the outcome of a call at an upstream.
    pub fn record(
        &self,
        now: instant::MonotonicTime,
        upstream: &name::UpstreamName,
        outcome: circuit_breaker::UpstreamOutcome,
    ) {
        let mut state = self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let breaker = state.breakers.entry(upstream.clone()).or_insert_with(|| {
            let settings = circuit_breaker::BreakerSettings::builder().build();
            circuit_breaker::CircuitBreaker::new(settings)
        });
        breaker.record(now, outcome);
    }
}

impl BreakerState {
    fn permit(&self, now: instant::MonotonicTime, upstream: &name::UpstreamName) -> BreakerPermit {
        let breaker = self.breakers.get(upstream);
        breaker.map_or(BreakerPermit::Closed, |breaker| breaker.permit(now))
    }
}

/// Ranks an upstream by breaker state and zone; the lowest rank is preferred.
fn rank(permit: BreakerPermit, may_probe: bool, is_same_zone: bool) -> u8 {
    let by_permit = match permit {
        BreakerPermit::Probe if may_probe && is_same_zone => 0,
        BreakerPermit::Closed => 1,
        BreakerPermit::Probe => 2,
        BreakerPermit::Open => 3,
    };
    2 * by_permit + u8::from(!is_same_zone)
}

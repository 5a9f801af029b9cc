//! Upstreams and the zone owners that give permits for them.

use std::time;

use coltsfoot_once::circuit_breaker::{self, BreakerPermit};
use coltsfoot_once::{crash_suspects, quarantine};
use coltsfoot_types::{name, time as clock};

/// Zones of the fleet.
pub const ZONES: usize = 3;
/// Upstreams of a zone.
pub const UPSTREAMS_PER_ZONE: usize = 8;
/// Requests that an upstream runs at a time.
pub const BATCH_SIZE: u32 = 16;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamMode {
    Healthy,
    RefusesConnections,
    ClosesConnections,
    AnswersErrors,
    BreaksAnswers,
    Silent,
    Crawls,
}

/// Modes that the failing upstreams take in turn.
pub const FAILING_MODES: [UpstreamMode; 6] = [
    UpstreamMode::RefusesConnections,
    UpstreamMode::ClosesConnections,
    UpstreamMode::AnswersErrors,
    UpstreamMode::BreaksAnswers,
    UpstreamMode::Silent,
    UpstreamMode::Crawls,
];

/// An upstream with what its zone's owner knows of it.
pub struct FleetUpstream {
    pub name: name::UpstreamName,
    pub mode: UpstreamMode,
    pub generation: u64,
    pub down_until_us: u64,
    pub in_flight: u32,
    pub breaker: circuit_breaker::CircuitBreaker,
}

/// What is taken out, to see what it is for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OmittedMechanism {
    pub breaker: bool,
    pub budget: bool,
    pub quarantine: bool,
}

/// The owner of a zone's upstreams.
pub struct ZoneOwner {
    pub upstreams: Vec<FleetUpstream>,
    pub suspects: crash_suspects::CrashSuspects,
    pub table: quarantine::QuarantineTable,
}

impl ZoneOwner {
    pub fn new(zone: usize) -> Self {
        let upstreams = (0..UPSTREAMS_PER_ZONE).map(|index| {
            let settings = circuit_breaker::BreakerSettings::builder().build();
            FleetUpstream {
                name: format!("{zone}-{index}").into(),
                mode: UpstreamMode::Healthy,
                generation: 0,
                down_until_us: 0,
                in_flight: 0,
                breaker: circuit_breaker::CircuitBreaker::new(settings),
            }
        });
        let settings = quarantine::QuarantineSettings {
            lifetime: time::Duration::from_secs(600),
            ..Default::default()
        };
        Self {
            upstreams: upstreams.collect(),
            suspects: crash_suspects::CrashSuspects::default(),
            table: quarantine::QuarantineTable::new(settings),
        }
    }

    /// Picks an upstream: one that is due for a trial, else the one with the fewest requests.
    pub fn pick(
        &mut self,
        now: clock::MonotonicTime,
        avoid: &[name::UpstreamName],
        is_isolated: bool,
        omitted: OmittedMechanism,
    ) -> Option<usize> {
        let permits = self.upstreams.iter().map(|upstream| match omitted.breaker {
            true => BreakerPermit::Closed,
            false => upstream.breaker.permit(now),
        });
        let permits: Vec<_> = permits.collect();
        let has_room = |upstream: &FleetUpstream| {
            upstream.in_flight < upstream.breaker.concurrency(now, BATCH_SIZE)
                && !avoid.contains(&upstream.name)
                && (omitted.quarantine || self.suspects.may_join(&upstream.name, is_isolated))
        };
        let usable = self.upstreams.iter().enumerate().filter(|(_, upstream)| has_room(upstream));
        let usable = usable.filter(|(index, _)| permits[*index] != BreakerPermit::Open);
        let rank = |index: usize, upstream: &FleetUpstream| {
            let is_trial = permits[index] == BreakerPermit::Probe && avoid.is_empty();
            (!is_trial, permits[index] == BreakerPermit::Probe, upstream.in_flight)
        };
        let (index, _) = usable.min_by_key(|(index, upstream)| rank(*index, upstream))?;
        if permits[index] == BreakerPermit::Probe {
            self.upstreams[index].breaker.begin_probe(now);
        }
        Some(index)
    }
}

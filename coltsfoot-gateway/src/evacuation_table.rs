//! Availability zones to whose upstreams the operator wants nothing sent. Requests move to other zones while
//! the cost of an evacuated one rises, until it is closed; once it is taken back, they return as the cost falls.
//!
//! The bound until a zone must be closed runs from the operator's write, of which an instance knows only that
//! its copy of the operator's records did not have it yet when that was last current.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

use crate::rendezvous;

/// Bound where none is configured.
pub const DEFAULT_BOUND: time::Duration = time::Duration::from_secs(5);
/// Part of the bound for which requests move to other zones before an evacuated one is closed.
const MOVE_SHARE: f64 = 0.4;
/// Part of the bound after which a zone is closed, from the earliest time of the operator's write. The rest is for
/// what was sent before and is still on its way.
const CLOSE_SHARE: f64 = 0.6;
/// Cost of a zone just before it is closed, in milliseconds: more than loading an adapter elsewhere.
const CLOSING_COST_MS: f64 = 1_500.0;
/// Cost of a zone that has just been taken back, in milliseconds.
const RETURN_COST_MS: f64 = 400.0;
/// Time for which a zone that was taken back costs more than others.
const RETURN_TIME: time::Duration = time::Duration::from_secs(3);

/// A zone that the operator has evacuated.
#[derive(Clone, Copy, Debug)]
struct EvacuatedZone {
    learned: clock::MonotonicTime,
    /// When nothing more is sent there; at once if it isn't after `learned`.
    closes: clock::MonotonicTime,
}

impl EvacuatedZone {
    fn cost(self, now: clock::MonotonicTime) -> f64 {
        let length = self.closes.since(self.learned).as_secs_f64();
        let elapsed = now.since(self.learned).as_secs_f64();
        // Quadratic, so that what has no adapter to load moves first.
        let part = if elapsed < length { elapsed / length } else { 1.0 };
        part * part * CLOSING_COST_MS
    }
}

/// A zone that was taken back.
#[derive(Clone, Copy, Debug)]
struct ReturnedZone {
    at: clock::MonotonicTime,
    /// Cost at that time, in milliseconds.
    cost: f64,
}

/// Evacuated zones, as an instance knows them.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    evacuated: FxHashMap<sync::Arc<str>, EvacuatedZone>,
    returned: FxHashMap<sync::Arc<str>, ReturnedZone>,
    /// When this instance's copy of the operator's records was last known to be current.
    current_at: Option<clock::MonotonicTime>,
}

impl EvacuationTable {
    /// Records that this instance's copy of the operator's records had all of them at `time`.
    pub fn confirm(&mut self, time: clock::MonotonicTime) {
        self.current_at = self.current_at.max(Some(time));
    }

    /// Records that a zone is evacuated. Returns when it is closed: at once if the operator's write may be so old
    /// that `bound`, zero for the default, has nearly passed; `None` if it was evacuated before.
    pub fn evacuate(
        &mut self,
        now: clock::MonotonicTime,
        zone: &str,
        bound: time::Duration,
    ) -> Option<clock::MonotonicTime> {
        if self.evacuated.contains_key(zone) {
            return None;
        }
        let bound = if bound.is_zero() { DEFAULT_BOUND } else { bound };
        let latest = self.current_at.map_or(now, |current| current + bound.mul_f64(CLOSE_SHARE));
        let closes = latest.min(now + bound.mul_f64(MOVE_SHARE)).max(now);
        self.evacuated.insert(zone.into(), EvacuatedZone { learned: now, closes });
        Some(closes)
    }

    /// Records that a zone was taken back. Returns false if it was not evacuated.
    pub fn take_back(&mut self, now: clock::MonotonicTime, zone: &str) -> bool {
        let Some((zone, evacuated)) = self.evacuated.remove_entry(zone) else { return false };
        let cost = evacuated.cost(now).min(RETURN_COST_MS);
        self.returned.insert(zone, ReturnedZone { at: now, cost });
        true
    }

    /// Returns whether the operator wants nothing sent to a zone, closed or not yet.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Returns whether nothing may be sent to a zone.
    pub fn is_closed(&self, now: clock::MonotonicTime, zone: &str) -> bool {
        self.evacuated.get(zone).is_some_and(|evacuated| now >= evacuated.closes)
    }

    /// Returns when a zone was last taken back; `None` if it is evacuated or never was.
    pub fn returned_at(&self, zone: &str) -> Option<clock::MonotonicTime> {
        if self.is_evacuated(zone) {
            return None;
        }
        self.returned.get(zone).map(|returned| returned.at)
    }

    /// Returns the cost of an upstream in a zone, in milliseconds.
    pub fn cost(&self, now: clock::MonotonicTime, zone: &str) -> f64 {
        let closing = self.evacuated.get(zone).map_or(0.0, |evacuated| evacuated.cost(now));
        let returning = self.returned.get(zone).map_or(0.0, |returned| {
            let left = RETURN_TIME.saturating_sub(now.since(returned.at));
            left.as_secs_f64() / RETURN_TIME.as_secs_f64() * returned.cost
        });
        closing.max(returning)
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns a digest of the evacuated zones; zero if there are none.
    pub fn digest(&self) -> u64 {
        let digests =
            self.evacuated.keys().map(|zone| rendezvous::hash_of(&("evacuated", &**zone)));
        digests.fold(0, u64::wrapping_add)
    }
}

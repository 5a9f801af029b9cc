//! Upstreams that are cold: for some seconds after a start they tolerate few requests, and crash if they get many
//! more. They may become cold again at any moment, and say so in their entries and responses.
//!
//! Load: engines that crashed, were replaced or stood behind a cut come back together, empty and fast to look at,
//! while all instances have requests for them.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;

use crate::{rules, send_permits};

/// Parts of the requests allowed in one second that are issued as a steady rate and as a burst. What is left covers
/// two issuers at the same time, and requests that arrive later than they were sent.
const RATE_PART: f64 = 0.45;
const BURST_PART: f64 = 0.2;
/// Time in which the rate doubles once an upstream has warmed.
const DOUBLING_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest time for which a statement counts, so that one garbled number does not limit an upstream for good.
const MAX_COLD_TIME: time::Duration = time::Duration::from_secs(60);
/// Age up to which an entry may arrive: upstreams renew theirs about every 1.2 s, and it is read every 0.85 s.
const ENTRY_AGE: time::Duration = time::Duration::from_millis(2_050);
/// Hops of a statement that is not passed on any more. With each, it ends later by the time that messages take.
const LAST_HOP: u8 = 2;

/// Requests that a cold upstream may get in one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate that its service tolerates.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

impl ColdBounds {
    /// Returns the limit for all instances together that keeps a cold upstream within the bounds.
    fn limit(self, rule: rules::ColdRule) -> send_permits::SendLimit {
        let allowed = (rule.per_s * self.overage + self.slack).max(0.0);
        // A burst of one permit exceeds no bound of one request or more, as the rate is lower then.
        let burst = if allowed >= 1.0 { (allowed * BURST_PART).max(1.0) } else { 0.0 };
        send_permits::SendLimit { per_s: rule.per_s.min(allowed * RATE_PART), burst: Some(burst) }
    }
}

/// Until when an upstream is cold.
#[derive(Clone, Copy, Debug)]
struct ColdSpell {
    until: clock::MonotonicTime,
    /// How many instances have passed the statement on.
    hops: u8,
}

/// A time in which an upstream may have become cold unseen.
#[derive(Clone, Copy, Debug)]
struct ColdSuspicion {
    since: clock::MonotonicTime,
    until: clock::MonotonicTime,
}

/// Which upstreams are cold, by upstream number. Without a service that limits them, it holds nothing.
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    rules: FxHashMap<sync::Arc<str>, rules::ColdRule>,
    bounds: ColdBounds,
    spells: FxHashMap<u32, ColdSpell>,
    suspicions: FxHashMap<u32, ColdSuspicion>,
}

impl ColdTable {
    /// Sets the services of a new configuration.
    pub fn set_services(&mut self, services: &[sync::Arc<rules::ServiceRule>]) {
        let limited = services.iter();
        let limited = limited.filter_map(|service| Some((service.name.clone(), service.cold?)));
        self.rules = limited.collect();
        if self.rules.is_empty() {
            self.spells.clear();
            self.suspicions.clear();
        }
    }

    /// Sets the bounds of new settings.
    pub fn set_bounds(&mut self, bounds: ColdBounds) {
        self.bounds = bounds;
    }

    /// Records what the entry of an upstream says: the time for which it stays cold, zero if it is not. Returns
    /// whether the upstream was not known to be cold.
    pub fn record_entry(
        &mut self,
        now: clock::MonotonicTime,
        service: &str,
        number: u32,
        remaining: time::Duration,
    ) -> bool {
        // An entry that was written before the suspicion tells nothing about the time since.
        self.end_suspicion(number, |suspicion| now >= suspicion.since + ENTRY_AGE);
        self.rules.contains_key(service) && self.extend(now, number, remaining, 0)
    }

    /// Records what a response of an upstream to a request sent at `sent` says, like [`Self::record_entry`].
    pub fn record_response(
        &mut self,
        now: clock::MonotonicTime,
        service: &str,
        number: u32,
        sent: clock::MonotonicTime,
        remaining: time::Duration,
    ) -> bool {
        self.end_suspicion(number, |suspicion| sent >= suspicion.since);
        self.rules.contains_key(service) && self.extend(now, number, remaining, 0)
    }

    /// Records what another instance says. Returns whether the upstream was not known to be cold.
    pub fn record_told(&mut self, now: clock::MonotonicTime, told: &fleet::ColdUpstream) -> bool {
        let remaining = time::Duration::from_millis(u64::from(told.remaining_ms));
        let hops = told.hops.saturating_add(1);
        !self.rules.is_empty() && self.extend(now, told.upstream, remaining, hops)
    }

    /// Treats an upstream as cold for `duration`, or until an entry or a response says otherwise.
    pub fn suspect(&mut self, now: clock::MonotonicTime, number: u32, duration: time::Duration) {
        self.suspicions.retain(|_, suspicion| now < suspicion.until + MAX_COLD_TIME);
        let until = now + duration.min(MAX_COLD_TIME);
        self.suspicions.insert(number, ColdSuspicion { since: now, until });
    }

    /// Suspects an upstream that this instance reaches again, if it has not reached it since `lost` for so long that
    /// the upstream may have started meanwhile.
    pub fn regained(
        &mut self,
        now: clock::MonotonicTime,
        service: &str,
        number: u32,
        lost: clock::MonotonicTime,
    ) {
        let Some(rule) = self.rules.get(service).copied() else { return };
        if now.since(lost) > rule.duration {
            self.suspect(now, number, rule.duration);
        }
    }

    /// Returns the time for which an upstream of a service is cold after its start, if the service limits them.
    pub fn rule(&self, service: &str) -> Option<rules::ColdRule> {
        self.rules.get(service).copied()
    }

    /// Returns whether an upstream is cold, or may be.
    pub fn is_cold(&self, now: clock::MonotonicTime, number: u32) -> bool {
        self.until(number).is_some_and(|until| now < until)
    }

    /// Returns how often all instances together may send to an upstream that is cold or has just warmed. Once it has
    /// warmed, the rate rises for as long as it is cold after a start, and the limit ends. Without `service`, the
    /// upstream's entry is not known here yet, and the strictest limit of all services applies.
    pub fn limit(
        &self,
        now: clock::MonotonicTime,
        service: Option<&str>,
        number: u32,
    ) -> Option<send_permits::SendLimit> {
        let until = self.until(number)?;
        let rule = match service {
            Some(service) => self.rules.get(service),
            None => self.rules.values().min_by(|one, other| one.per_s.total_cmp(&other.per_s)),
        };
        let rule = rule.copied()?;
        if now >= until + rule.duration {
            return None;
        }
        let doublings = now.since(until).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        let limit = self.bounds.limit(rule);
        let growth = doublings.exp2();
        Some(send_permits::SendLimit {
            per_s: limit.per_s * growth,
            burst: limit.burst.map(|burst| burst * growth),
        })
    }

    /// Returns the message about an upstream for the instance that issues its permits.
    pub fn message(&self, now: clock::MonotonicTime, number: u32) -> Option<fleet::ColdUpstream> {
        let until = self.until(number).filter(|until| now < *until)?;
        // What is only suspected is not passed on by the receiver.
        let spell = self.spells.get(&number).filter(|spell| spell.until == until);
        let hops = spell.map_or(LAST_HOP - 1, |spell| spell.hops);
        Some(to_message(now, number, until, hops))
    }

    /// Returns the upstreams that are cold as they or their entries said to this instance, for those that missed it.
    pub fn to_resend(&self, now: clock::MonotonicTime) -> Vec<fleet::ColdUpstream> {
        let cold = self.spells.iter().filter(|(_, spell)| spell.hops == 0 && now < spell.until);
        cold.map(|(number, spell)| to_message(now, *number, spell.until, 0)).collect()
    }

    /// Forgets upstreams whose limit has ended, and returns their numbers. `duration` is the longest time for which
    /// the limit rises once they have warmed.
    pub fn take_warm(&mut self, now: clock::MonotonicTime) -> Vec<u32> {
        let rise = self.rules.values().map(|rule| rule.duration).max().unwrap_or_default();
        let numbers = self.spells.keys().chain(self.suspicions.keys()).copied();
        let mut warm: Vec<u32> = numbers
            .filter(|number| self.until(*number).is_none_or(|until| now >= until + rise))
            .collect();
        warm.sort_unstable();
        warm.dedup();
        for number in &warm {
            self.spells.remove(number);
            self.suspicions.remove(number);
        }
        warm
    }

    fn until(&self, number: u32) -> Option<clock::MonotonicTime> {
        let spell = self.spells.get(&number).map(|spell| spell.until);
        spell.max(self.suspicions.get(&number).map(|suspicion| suspicion.until))
    }

    fn end_suspicion(&mut self, number: u32, is_over: impl Fn(&ColdSuspicion) -> bool) {
        if self.suspicions.get(&number).is_some_and(is_over) {
            self.suspicions.remove(&number);
        }
    }

    /// Extends the time for which an upstream is cold. No statement shortens it: one that says less may be older.
    fn extend(
        &mut self,
        now: clock::MonotonicTime,
        number: u32,
        remaining: time::Duration,
        hops: u8,
    ) -> bool {
        let until = now + remaining.min(MAX_COLD_TIME);
        if hops > LAST_HOP || until <= now {
            return false;
        }
        let is_new = !self.is_cold(now, number);
        let spell = self.spells.entry(number).or_insert(ColdSpell { until, hops });
        if until >= spell.until {
            *spell = ColdSpell { until, hops };
        }
        is_new
    }
}

fn to_message(
    now: clock::MonotonicTime,
    upstream: u32,
    until: clock::MonotonicTime,
    hops: u8,
) -> fleet::ColdUpstream {
    let remaining_ms = u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
    fleet::ColdUpstream { upstream, remaining_ms, hops }
}

//! Rate limits for all instances together that upstreams announce in their responses.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;

use crate::send_permits;

/// Time for which a limit, or its end, is kept if no further response confirms it.
const LIMIT_TTL: time::Duration = time::Duration::from_secs(3600);

/// Time for which the end of a limit is resent to other instances.
const END_RESEND_TIME: time::Duration = time::Duration::from_secs(30);
/// Factor up to which a change of a limit is not sent to all instances, since an engine may
/// announce a different limit in every response.
const MINOR_CHANGE: f64 = 1.25;
/// Unit of limits in messages: thousandths of a request per second.
const THOUSANDTHS: f64 = 1000.0;

/// Rate limit in the headers of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitHeader {
    /// No header.
    Absent,
    /// Requests per second from all instances together; never negative, infinite if the number
    /// overflows.
    Named(f64),
    /// The header is not such a number.
    Unreadable,
}

/// Why a request is sent to an upstream. The upstream counts all kinds against its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPurpose {
    /// A customer's request.
    Request,
    /// An order to load or unload an adapter.
    Order,
    /// A report query.
    Report,
}

impl SendPurpose {
    /// Returns the class of the permit that it needs.
    pub fn class(self) -> send_permits::PermitClass {
        match self {
            Self::Request => send_permits::PermitClass::Request,
            Self::Order | Self::Report => send_permits::PermitClass::Control,
        }
    }

    /// Returns the label for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Order => "order",
            Self::Report => "report",
        }
    }
}

/// Rate limit that one response announced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests per second; `None` if the response announced no limit.
    pub per_s: Option<f64>,
    /// When the request was sent.
    pub sent: clock::MonotonicTime,
    /// When the response arrived.
    pub received: clock::MonotonicTime,
}

impl LimitObservation {
    /// Converts a message of another instance; `now` is the time at which it arrived.
    pub fn from_message(now: clock::MonotonicTime, message: &fleet::UpstreamLimit) -> Self {
        let ago = |ms: u32| now - time::Duration::from_millis(u64::from(ms));
        let per_s = message.limit_thousandths.map(|thousandths| match thousandths {
            u64::MAX => f64::INFINITY,
            _ => thousandths as f64 / THOUSANDTHS,
        });
        Self { per_s, sent: ago(message.request_age_ms), received: ago(message.response_age_ms) }
    }

    /// Converts to a message for other instances.
    pub fn to_message(self, now: clock::MonotonicTime, upstream: u32) -> fleet::UpstreamLimit {
        let age = |then| u32::try_from(now.since(then).as_millis()).unwrap_or(u32::MAX);
        fleet::UpstreamLimit {
            upstream,
            // The cast saturates.
            limit_thousandths: self.per_s.map(|per_s| (per_s * THOUSANDTHS) as u64),
            request_age_ms: age(self.sent),
            response_age_ms: age(self.received),
        }
    }

    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// The limit, by so little that only the permit issuer needs to know.
    Minor,
    /// The limit, by so much that all instances need to know.
    Significant,
}

/// Limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    observation: LimitObservation,
    /// Rate at the last significant change, in requests per second.
    last_significant: f64,
}

/// Latest observation of each incarnation of an upstream, by upstream number.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: FxHashMap<u32, KnownLimit>,
}

impl LimitTable {
    /// Returns the limit of an incarnation for all instances together, in requests per second, if
    /// it announced one.
    pub fn limit(&self, now: clock::MonotonicTime, number: u32) -> Option<f64> {
        let observation = self.limits.get(&number)?.observation;
        observation.per_s.filter(|_| now.since(observation.received) < LIMIT_TTL)
    }

    /// Returns the message for other instances about an incarnation that announced a limit.
    pub fn limit_message(
        &self,
        now: clock::MonotonicTime,
        number: u32,
    ) -> Option<fleet::UpstreamLimit> {
        self.limit(now, number)?;
        Some(self.limits.get(&number)?.observation.to_message(now, number))
    }

    /// Returns limits and recent ends of limits, for instances that missed them or started later.
    pub fn limits_to_resend(&self, now: clock::MonotonicTime) -> Vec<fleet::UpstreamLimit> {
        let entries = self.limits.iter().filter(|(_, entry)| {
            let longest =
                if entry.observation.per_s.is_some() { LIMIT_TTL } else { END_RESEND_TIME };
            now.since(entry.observation.received) < longest
        });
        entries.map(|(number, entry)| entry.observation.to_message(now, *number)).collect()
    }

    /// Records an observation of this or another instance. A lower limit applies at once. A higher
    /// one, or the end of a limit, applies only if its request was sent after the last response
    /// arrived, since responses may overtake each other.
    pub fn record(
        &mut self,
        now: clock::MonotonicTime,
        number: u32,
        observation: LimitObservation,
    ) -> LimitChange {
        self.limits.retain(|_, entry| now.since(entry.observation.received) < LIMIT_TTL);
        let Some(entry) = self.limits.get_mut(&number) else {
            if observation.per_s.is_none() {
                return LimitChange::None;
            }
            self.limits
                .insert(number, KnownLimit { observation, last_significant: observation.rate() });
            return LimitChange::Significant;
        };
        let (before, after) = (entry.observation.rate(), observation.rate());
        let is_later = observation.received > entry.observation.received;
        if !is_later || (after > before && observation.sent <= entry.observation.received) {
            return LimitChange::None;
        }
        entry.observation = observation;
        if after == before {
            return LimitChange::None;
        }
        let (low, high) = (after.min(entry.last_significant), after.max(entry.last_significant));
        if high <= low * MINOR_CHANGE {
            return LimitChange::Minor;
        }
        entry.last_significant = after;
        LimitChange::Significant
    }
}

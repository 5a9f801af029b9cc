//! What upstreams said in their answers of how many requests a second they take from all instances
//! together.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;

use crate::send_permits;

/// Time for which a limit is believed, or its end remembered, without a further word of the upstream.
const LIMIT_MEMORY: time::Duration = time::Duration::from_secs(3600);

/// Time for which other instances are told again that a limit has ended.
const END_TOLD: time::Duration = time::Duration::from_secs(30);
/// Factor up to which a change of a limit is not told to all: an engine may name another one in every
/// answer.
const SLIGHT_CHANGE: f64 = 1.25;
/// Parts of a request in which messages tell limits.
const THOUSANDTHS: f64 = 1000.0;

/// What the head of an answer says of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitHeader {
    /// Nothing.
    Absent,
    /// Requests a second, from all instances together; not negative, and infinite beyond what a number
    /// holds.
    Named(f64),
    /// Something that is no such number.
    Unreadable,
}

/// Why something is sent to an upstream. All of it counts as a request there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPurpose {
    /// A request of a caller.
    Request,
    /// An order to an engine.
    Order,
    /// A question for an engine's report.
    Report,
}

impl SendPurpose {
    /// Returns how it counts where leave is given.
    pub fn class(self) -> send_permits::PermitClass {
        match self {
            Self::Request => send_permits::PermitClass::Request,
            Self::Order | Self::Report => send_permits::PermitClass::Control,
        }
    }

    /// Returns a short name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Order => "order",
            Self::Report => "report",
        }
    }
}

/// What one answer told of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests a second; `None` if the answer named no limit.
    pub per_s: Option<f64>,
    /// When that which was answered had been sent.
    pub sent: clock::MonotonicTime,
    /// When the answer came.
    pub heard: clock::MonotonicTime,
}

impl LimitObservation {
    /// Returns a word that another instance told.
    pub fn from_message(now: clock::MonotonicTime, told: &fleet::UpstreamLimit) -> Self {
        let ago = |ms: u32| now - time::Duration::from_millis(u64::from(ms));
        let per_s = told.limit_thousandths.map(|thousandths| match thousandths {
            u64::MAX => f64::INFINITY,
            _ => thousandths as f64 / THOUSANDTHS,
        });
        Self { per_s, sent: ago(told.request_age_ms), heard: ago(told.response_age_ms) }
    }

    /// Returns what other instances are told.
    pub fn to_message(self, now: clock::MonotonicTime, upstream: u32) -> fleet::UpstreamLimit {
        let age = |then| u32::try_from(now.since(then).as_millis()).unwrap_or(u32::MAX);
        fleet::UpstreamLimit {
            upstream,
            // A cast of what is too large is the largest number.
            limit_thousandths: self.per_s.map(|per_s| (per_s * THOUSANDTHS) as u64),
            request_age_ms: age(self.sent),
            response_age_ms: age(self.heard),
        }
    }

    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }
}

/// What a word changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    None,
    /// The limit, by so little that only who gives leave to send needs to know.
    Slight,
    /// The limit, which others are to be told.
    Significant,
}

/// What is known of an incarnation.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    word: LimitObservation,
    /// The rate that was news last.
    notable: f64,
}

/// The newest word of each incarnation of an upstream, by its number in messages.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: FxHashMap<u32, KnownLimit>,
}

impl LimitTable {
    /// Returns the requests a second that an incarnation takes from all instances, if it named a limit.
    pub fn limit(&self, now: clock::MonotonicTime, number: u32) -> Option<f64> {
        let word = self.limits.get(&number)?.word;
        word.per_s.filter(|_| now.since(word.heard) < LIMIT_MEMORY)
    }

    /// Returns what other instances are told of an incarnation that named a limit.
    pub fn limit_message(
        &self,
        now: clock::MonotonicTime,
        number: u32,
    ) -> Option<fleet::UpstreamLimit> {
        self.limit(now, number)?;
        Some(self.limits.get(&number)?.word.to_message(now, number))
    }

    /// Returns what other instances are told again, which may have missed it or started since: limits
    /// and ends of limits.
    pub fn limits_to_resend(&self, now: clock::MonotonicTime) -> Vec<fleet::UpstreamLimit> {
        let known = self.limits.iter().filter(|(_, known)| {
            let longest = if known.word.per_s.is_some() { LIMIT_MEMORY } else { END_TOLD };
            now.since(known.word.heard) < longest
        });
        known.map(|(number, known)| known.word.to_message(now, *number)).collect()
    }

    /// Takes a word, of this instance's own or told by another one. A lower limit holds at once. A higher
    /// one, or its end, must be told in answer to something that was sent after the last word came:
    /// answers may overtake each other.
    pub fn record(
        &mut self,
        now: clock::MonotonicTime,
        number: u32,
        word: LimitObservation,
    ) -> LimitChange {
        self.limits.retain(|_, known| now.since(known.word.heard) < LIMIT_MEMORY);
        let Some(known) = self.limits.get_mut(&number) else {
            if word.per_s.is_none() {
                return LimitChange::None;
            }
            self.limits.insert(number, KnownLimit { word, notable: word.rate() });
            return LimitChange::Significant;
        };
        let (before, after) = (known.word.rate(), word.rate());
        let is_later = word.heard > known.word.heard;
        if !is_later || (after > before && word.sent <= known.word.heard) {
            return LimitChange::None;
        }
        known.word = word;
        if after == before {
            return LimitChange::None;
        }
        let (low, high) = (after.min(known.notable), after.max(known.notable));
        if high <= low * SLIGHT_CHANGE {
            return LimitChange::Slight;
        }
        known.notable = after;
        LimitChange::Significant
    }
}

//! Reasons for which a request is refused, with the code, the HTTP status and the remedy of each.

use serde::{Deserialize, Serialize};

/// Why a request was refused.
///
/// A refusal by itself says nothing about whether the request ran; the dispatch state machine
/// decides that.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum RefusalReason {
    /// The request is not valid HTTP or not valid JSON.
    BadRequest,
    /// Head or body exceed the limits of the settings.
    TooLarge,
    /// The sender did not complete head or body in time.
    SlowSender,
    /// The instance has as many connections as its settings allow.
    TooManyConnections,
    /// The request carries no key, on a route that requires one.
    MissingKey,
    /// The key is not configured or has been withdrawn.
    InvalidKey,
    /// The key's customer may not use the route or adapter.
    NotPermitted,
    /// No such route, adapter or version.
    UnknownRoute,
    /// The request could never be admitted: it exceeds the customer's burst.
    ExceedsBurst,
    /// The customer's rate limit is exhausted.
    RateLimited,
    /// The queue of the engines is full.
    QueueFull,
    /// The request can't be served before its deadline.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlineExceeded,
    /// No upstream that could serve the request is reachable.
    NoUpstream,
    /// The adapter could not be loaded.
    LoadFailed,
    /// All permitted attempts at upstreams failed.
    UpstreamFailed,
    /// The upstream answered for another adapter, version or request.
    WrongAnswer,
    /// The request crashed several upstreams and is quarantined.
    Quarantined,
    /// The call may not be repeated and carries no `Idempotency-Key`.
    MissingIdempotencyKey,
    /// The `Idempotency-Key` is malformed, too old or from the future.
    InvalidIdempotencyKey,
    /// The same `Idempotency-Key` was used with another body.
    IdempotencyKeyReused,
    /// The call with this `Idempotency-Key` has ended without having run.
    IdempotencyKeySpent,
    /// A call with this `Idempotency-Key` is running or has run without a recorded outcome.
    PossiblyRan,
    /// The platform's log can't be reached, and the call may not be repeated.
    LogUnavailable,
    /// The instance has not restored the configuration yet.
    NotReady,
    /// The configuration is too old for a route that demands a current one.
    StaleConfiguration,
    /// The instance is stopping.
    Draining,
    /// An internal error of the instance.
    Internal,
    /// The memory for requests is in use.
    NoMemory,
}

impl RefusalReason {
    /// All reasons, in the order of their codes' documentation.
    pub const ALL: [Self; 29] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::SlowSender,
        Self::TooManyConnections,
        Self::MissingKey,
        Self::InvalidKey,
        Self::NotPermitted,
        Self::UnknownRoute,
        Self::ExceedsBurst,
        Self::RateLimited,
        Self::QueueFull,
        Self::DeadlineUnreachable,
        Self::DeadlineExceeded,
        Self::NoUpstream,
        Self::LoadFailed,
        Self::UpstreamFailed,
        Self::WrongAnswer,
        Self::Quarantined,
        Self::MissingIdempotencyKey,
        Self::InvalidIdempotencyKey,
        Self::IdempotencyKeyReused,
        Self::IdempotencyKeySpent,
        Self::PossiblyRan,
        Self::LogUnavailable,
        Self::NotReady,
        Self::StaleConfiguration,
        Self::Draining,
        Self::Internal,
        Self::NoMemory,
    ];

    /// Returns the stable code used in answers and as the label of counters.
    pub fn code(self) -> &'static str {
        self.row().0
    }

    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        self.row().1
    }

    /// Returns the message of the answer, which names the remedy.
    pub fn message(self) -> &'static str {
        self.row().2
    }

    fn row(self) -> (&'static str, u16, &'static str) {
        match self {
            Self::BadRequest => ("bad_request", 400, "the request is malformed; correct it"),
            Self::TooLarge => ("too_large", 413, "the request is too large; shorten it"),
            Self::SlowSender => ("slow_sender", 408, "the request did not arrive in time; resend"),
            Self::TooManyConnections => {
                ("too_many_connections", 503, "the instance is full; come back later")
            }
            Self::MissingKey => ("missing_key", 401, "send `Authorization: Bearer KEY`"),
            Self::InvalidKey => ("invalid_key", 401, "the key is unknown or withdrawn; renew it"),
            Self::NotPermitted => {
                ("not_permitted", 403, "ask the operator to permit this route to the customer")
            }
            Self::UnknownRoute => ("unknown_route", 404, "name a configured route or adapter"),
            Self::ExceedsBurst => {
                ("exceeds_burst", 413, "lower max_tokens or shorten the prompt to fit the burst")
            }
            Self::RateLimited => ("rate_limited", 429, "the rate is used up; come back later"),
            Self::QueueFull => ("queue_full", 503, "all engines are busy; come back later"),
            Self::DeadlineUnreachable => {
                ("deadline_unreachable", 503, "the deadline can't be met; come back later")
            }
            Self::DeadlineExceeded => {
                ("deadline_exceeded", 504, "the deadline passed; raise it or come back later")
            }
            Self::NoUpstream => ("no_upstream", 503, "no upstream is reachable; come back later"),
            Self::LoadFailed => ("load_failed", 503, "the adapter did not load; come back later"),
            Self::UpstreamFailed => ("upstream_failed", 502, "the upstreams failed; resend"),
            Self::WrongAnswer => ("wrong_answer", 502, "the upstream answered wrongly; resend"),
            Self::Quarantined => {
                ("quarantined", 422, "this request crashed upstreams; change it before resending")
            }
            Self::MissingIdempotencyKey => {
                ("missing_idempotency_key", 400, "send `Idempotency-Key` with a new UUIDv7")
            }
            Self::InvalidIdempotencyKey => {
                ("invalid_idempotency_key", 400, "send `Idempotency-Key` with a recent UUIDv7")
            }
            Self::IdempotencyKeyReused => {
                ("idempotency_key_reused", 422, "use a new `Idempotency-Key` for another body")
            }
            Self::IdempotencyKeySpent => {
                ("idempotency_key_spent", 409, "the call ended unrun; use a new `Idempotency-Key`")
            }
            Self::PossiblyRan => {
                ("possibly_ran", 409, "the call may have run; look it up before sending a new one")
            }
            Self::LogUnavailable => {
                ("log_unavailable", 503, "once-only calls are paused; come back later")
            }
            Self::NotReady => ("not_ready", 503, "the instance is starting; come back later"),
            Self::StaleConfiguration => {
                ("stale_configuration", 503, "the instance is cut off; come back later")
            }
            Self::Draining => ("draining", 503, "the instance is stopping; send it again"),
            Self::Internal => ("internal", 500, "internal error; report it to the operator"),
            Self::NoMemory => ("no_memory", 503, "large requests fill the memory; come back later"),
        }
    }
}

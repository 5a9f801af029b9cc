//! Events and actions of the dispatch state machine.

use std::time;

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::retry_reason;
use crate::run_state;

/// Event of a request.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// An attempt may be sent to an upstream.
    Permitted {
        /// The attempt.
        attempt: id::AttemptId,
        /// The upstream.
        upstream: name::UpstreamName,
        /// Whether the upstream is draining; the permit is then released.
        is_draining: bool,
    },
    /// The permit was refused.
    PermitRefused {
        /// The attempt.
        attempt: id::AttemptId,
        /// Why.
        reason: refusal::RefusalReason,
        /// Delay after which a permit may be available.
        retry_after: Option<time::Duration>,
    },
    /// Event of an attempt that was sent.
    Attempt(id::AttemptId, AttemptEvent),
    /// The request is suspected of causing crashes.
    Suspected {
        /// Number of crashes.
        crashes: u32,
    },
    /// The caller disconnected.
    CallerDisconnected,
    /// Time passed.
    Tick,
}

/// Event of an attempt that was sent to an upstream.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The connection could not be opened, so no byte was sent.
    ConnectFailed,
    /// The connection broke while sending; some bytes may have been sent.
    SendFailed,
    /// No valid response head was received.
    NoResponse,
    /// The attempt timed out after the request was sent.
    TimedOut,
    /// The response head was received.
    Head(ResponseHead),
    /// A token of a streamed response was received.
    Token {
        /// Token number within the attempt, from 1.
        number: u32,
        /// Attempt and adapter that the response names.
        identity: ResponseIdentity,
    },
    /// The response body was truncated or malformed.
    BodyFailed,
    /// The response is complete; a streamed one ended with its end marker.
    Ended(ResponseIdentity),
    /// The upstream can't be reached or doesn't know the stream to resume.
    ResumeFailed,
}

/// Head of an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
}

impl ResponseHead {
    /// Returns whether another upstream may respond differently.
    pub fn is_upstream_specific(self) -> bool {
        matches!(self.status, 404 | 429 | 500..)
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Attempt and adapter that a response names; absent if it doesn't.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseIdentity {
    /// Attempt that it responds to, as text.
    pub attempt: Option<String>,
    /// Adapter version that ran, as text.
    pub adapter: Option<String>,
}

impl ResponseIdentity {
    /// Returns whether the response belongs to the attempt. It may omit the attempt, but must name
    /// the expected adapter, if any.
    pub fn matches(
        &self,
        attempt: id::AttemptId,
        adapter: Option<&adapter::AdapterVersion>,
    ) -> bool {
        let attempt = attempt.to_string();
        if self.attempt.as_ref().is_some_and(|named| *named != attempt) {
            return false;
        }
        let Some(adapter) = adapter else { return true };
        self.adapter.as_ref().is_some_and(|named| *named == adapter.to_string())
    }
}

/// How an attempt ended, as input to circuit breaker and crash detection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A complete response was received.
    Answered,
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream failed.
    Failed,
    /// The attempt was never sent, or was abandoned for a reason unrelated to the upstream.
    Abandoned,
}

/// An action that the embedding program carries out for a request.
#[derive(Debug, PartialEq)]
pub enum DispatchAction {
    /// Request a permit for an attempt.
    RequestPermit {
        /// The attempt.
        attempt: id::AttemptId,
        /// Upstreams that failed the request.
        avoid: SmallVec<[name::UpstreamName; 4]>,
        /// Whether no other crash suspect may run on the upstream.
        is_isolated: bool,
    },
    /// Withdraw the permit request.
    CancelPermit(id::AttemptId),
    /// Release a permit, with the end of its attempt.
    ReleasePermit(id::AttemptId, name::UpstreamName, AttemptEnd),
    /// Send the request.
    Send {
        /// The attempt.
        attempt: id::AttemptId,
        /// The upstream.
        upstream: name::UpstreamName,
        /// Whether to open a new connection, as for calls that may run only once.
        needs_fresh_connection: bool,
        /// Number of tokens already delivered to the caller, after which to continue.
        continue_after: u32,
    },
    /// Request the rest of a stream.
    Resume {
        /// The attempt.
        attempt: id::AttemptId,
        /// The upstream.
        upstream: name::UpstreamName,
        /// Number of the attempt's tokens already delivered to the caller.
        after: u32,
    },
    /// Cancel an attempt.
    Cancel(id::AttemptId, name::UpstreamName),
    /// Forward the token just received to the caller.
    ForwardToken,
    /// Forward the complete response just received to the caller.
    ForwardResponse,
    /// End the stream to the caller with its end marker.
    EndStream,
    /// End the stream to the caller with an error event.
    AbortStream(refusal::RefusalReason, run_state::RunState),
    /// Refuse the request.
    Refuse {
        /// Why.
        reason: refusal::RefusalReason,
        /// Whether it ran.
        run: run_state::RunState,
        /// Delay after which the caller may retry.
        retry_after: Option<time::Duration>,
    },
    /// Record the outcome of a once-only call.
    RecordOutcome(CallEnd),
    /// Count a retry in the metrics.
    CountRetry(retry_reason::RetryReason),
    /// Count an event of an attempt that is not the current one.
    CountStaleResponse,
    /// Send [`DispatchEvent::Tick`] no later than at this time.
    WakeAt(clock::MonotonicTime),
}

/// How a once-only call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// Record the response just received, with its body.
    Answered,
    /// Record this outcome.
    Unanswered(once::OutcomeEntry),
}

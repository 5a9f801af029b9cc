//! Events and actions of the dispatch of a request.

use std::time;

use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::retry_reason;
use crate::run_state;

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// An attempt may be sent to an upstream.
    Permitted {
        /// The attempt.
        attempt: id::AttemptId,
        /// The upstream.
        upstream: name::UpstreamName,
        /// Whether it is leaving; the permit is then given back.
        is_draining: bool,
    },
    /// No permit was given.
    PermitRefused {
        /// The attempt.
        attempt: id::AttemptId,
        /// Why.
        reason: refusal::RefusalReason,
        /// Wait after which there may be one.
        retry_after: Option<time::Duration>,
    },
    /// Something happened to an attempt that was sent.
    Attempt(id::AttemptId, AttemptEvent),
    /// The request is suspected of this many crashes.
    Suspected {
        /// The crashes.
        crashes: u32,
    },
    /// The caller has gone away.
    CallerDisconnected,
    /// Time has passed.
    Tick,
}

/// What happens to an attempt that was sent.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// The connection could not be opened: no byte was sent.
    ConnectFailed,
    /// The connection broke after some byte may have been sent.
    SendFailed,
    /// No valid head of an answer came.
    NoResponse,
    /// A time limit of the attempt passed after the request was sent.
    TimedOut,
    /// The head of the answer came.
    Head(ResponseHead),
    /// A token of a streamed answer came.
    Token {
        /// Its number within the attempt, from 1.
        number: u32,
        /// What the answer says of itself.
        identity: ResponseIdentity,
    },
    /// The body broke off or is malformed.
    BodyFailed,
    /// The body is whole; a streamed one ended with its end mark.
    Ended(ResponseIdentity),
    /// The upstream does not know the stream that was to be resumed, or can't be reached.
    ResumeFailed,
}

/// Head of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the upstream says that it did not run the request.
    pub is_not_run: bool,
}

impl ResponseHead {
    /// Returns whether another upstream may answer otherwise.
    pub fn is_upstream_specific(self) -> bool {
        matches!(self.status, 404 | 429 | 500..)
    }

    /// Returns whether the status is one of success.
    pub fn is_success(self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// What an answer says of itself; what it doesn't say is absent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseIdentity {
    /// Attempt that it answers, as text.
    pub attempt: Option<String>,
    /// Adapter version that ran, as text.
    pub adapter: Option<String>,
}

impl ResponseIdentity {
    /// Returns whether the answer belongs to the attempt.
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

/// How an attempt ended, for those who watch the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answered,
    /// The upstream refused without running it.
    Refused,
    /// The upstream failed.
    Failed,
    /// It was never sent, or was given up for a reason outside of the upstream.
    Abandoned,
}

/// What the dispatch of a request orders.
#[derive(Debug, PartialEq)]
pub enum DispatchAction {
    /// Ask for a permit.
    RequestPermit {
        /// The attempt.
        attempt: id::AttemptId,
        /// Upstreams that have failed the request.
        avoid: SmallVec<[name::UpstreamName; 4]>,
        /// Whether no other suspect of a crash may run on the upstream.
        is_isolated: bool,
    },
    /// Withdraw the wish for a permit.
    CancelPermit(id::AttemptId),
    /// Give a permit back.
    ReleasePermit(id::AttemptId, name::UpstreamName, AttemptEnd),
    /// Send the request.
    Send {
        /// The attempt.
        attempt: id::AttemptId,
        /// The upstream.
        upstream: name::UpstreamName,
        /// Whether a new connection is to be opened, as for calls that may run once only.
        needs_fresh_connection: bool,
        /// Tokens that the caller has already, to go on after.
        continue_after: u32,
    },
    /// Ask for the rest of a stream.
    Resume {
        /// The attempt.
        attempt: id::AttemptId,
        /// The upstream.
        upstream: name::UpstreamName,
        /// Tokens of the attempt that the caller has.
        after: u32,
    },
    /// Cancel an attempt.
    Cancel(id::AttemptId, name::UpstreamName),
    /// Pass the token that has just come on to the caller.
    ForwardToken,
    /// Pass the whole answer that has just come on to the caller.
    ForwardResponse,
    /// End the stream to the caller with its end mark.
    EndStream,
    /// End the stream to the caller with an error event.
    AbortStream(refusal::RefusalReason, run_state::RunState),
    /// Refuse the request.
    Refuse {
        /// Why.
        reason: refusal::RefusalReason,
        /// Whether it ran.
        run: run_state::RunState,
        /// Wait after which it may be sent again.
        retry_after: Option<time::Duration>,
    },
    /// Record how a once-only call ended.
    RecordOutcome(CallEnd),
    /// Count a retry.
    CountRetry(retry_reason::RetryReason),
    /// Count an answer that came too late or belongs elsewhere.
    CountStaleResponse,
    /// Send [`DispatchEvent::Tick`] no later than then.
    WakeAt(clock::MonotonicTime),
}

/// How a once-only call ended. An answer is recorded with the body that has just come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// Record the answer that has just come.
    Answered,
    /// Record this outcome.
    Unanswered(once::OutcomeEntry),
}

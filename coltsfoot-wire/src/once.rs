//! Claims of once-only calls and crash notices: messages between instances and the records of the
//! claims stream.

use std::fmt;
use std::time;

use coltsfoot_types::{id, name};
use serde::{Deserialize, Serialize};
use serde_with::{base64, hex, serde_as};
use smallvec::SmallVec;

/// Value of `Idempotency-Key`: a UUIDv7 chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct IdempotencyKey(pub uuid::Uuid);

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifier of one claim: one submission of a call at one instance.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct ClaimId(pub uuid::Uuid);

/// BLAKE3 digest of a request.
#[serde_as]
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestDigest(#[serde_as(as = "hex::Hex")] pub [u8; 32]);

impl RequestDigest {
    /// Returns a number for hashing among instances.
    pub fn number(&self) -> u64 {
        let first = self.0.first_chunk().copied().unwrap_or_default();
        u64::from_le_bytes(first)
    }

    /// Returns the first half as hexadecimal digits, for logs.
    pub fn short(&self) -> String {
        self.0[..8].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:02x}{:02x}..", self.0[0], self.0[1])
    }
}

/// A claim to run a call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimEntry {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of route and body.
    pub digest: RequestDigest,
    /// The claim.
    pub claim: ClaimId,
}

/// Answer of a call that ran, kept for its repeats.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The body.
    #[serde_as(as = "base64::Base64")]
    pub body: Vec<u8>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CallOutcome {
    /// It ran; this is its answer.
    Answered(RecordedAnswer),
    /// It ran, but its answer is lost or too large to be kept.
    RanWithoutAnswer,
    /// It may have run.
    MayHaveRun,
    /// It did not run and never will under this key.
    NotRun,
}

/// The end of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OutcomeEntry {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The claim that the call ran under.
    pub claim: ClaimId,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// An entry of the claims stream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum OnceEntry {
    /// A claim.
    Claim(ClaimEntry),
    /// An outcome.
    Outcome(OutcomeEntry),
}

/// A record of the claims stream: entries in order, appended together.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimBatch {
    /// The entries.
    pub entries: Vec<OnceEntry>,
}

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimVerdict {
    /// It was the first; its instance may run the call.
    Won,
    /// The key has run or has ended; this is how.
    Ended(CallOutcome),
    /// Another claim of the key runs, or its instance has died.
    Claimed,
    /// The key was used with another request.
    OtherRequest,
    /// The claim reached the log outside of the key's window.
    Expired,
    /// The log has forgotten records that may concern the key.
    Forgotten,
    /// The log could not be reached in time.
    Unavailable,
}

/// A message about claims.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimMessage {
    /// Instance to claim owner: append a claim and say what became of it. Sent again until a
    /// verdict comes.
    Submit {
        /// The claim.
        claim: ClaimEntry,
        /// Time that is left for it.
        time_left: time::Duration,
    },
    /// Claim owner to instance: what became of a claim.
    Verdict {
        /// The claim.
        claim: ClaimId,
        /// What became of it.
        verdict: ClaimVerdict,
    },
    /// Instance to claim owner: append an outcome. Sent again until it is settled.
    Settle {
        /// The outcome.
        outcome: OutcomeEntry,
    },
    /// Claim owner to instance: the outcome is on the log.
    Settled {
        /// The claim.
        claim: ClaimId,
    },
    /// To all instances that can be reached: a request that was running when an upstream crashed.
    Crash(CrashNotice),
}

/// A crash of an upstream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct CrashId {
    /// The upstream.
    pub upstream: name::UpstreamName,
    /// Number that tells the crashes of the upstream apart.
    pub generation: u64,
}

/// Crashes that one request is suspected of.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashNotice {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// The crashes.
    pub crashes: SmallVec<[CrashId; 2]>,
    /// Time until the suspicion ends.
    pub time_left: time::Duration,
}

/// A claim as read back from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRecord {
    /// Its offset.
    pub offset: id::LogOffset,
    /// When the log took it, in milliseconds since the Unix epoch by the log's clock.
    pub timestamp_ms: u64,
    /// The entries.
    pub batch: ClaimBatch,
}

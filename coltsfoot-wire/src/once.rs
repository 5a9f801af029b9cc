//! At-most-once calls and crash notices: messages between instances and records of the claims
//! stream.

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
    /// Returns the first eight bytes as a number, for rendezvous hashing.
    pub fn number(&self) -> u64 {
        let first = self.0.first_chunk().copied().unwrap_or_default();
        u64::from_le_bytes(first)
    }

    /// Returns the first eight bytes as hexadecimal digits, for logs.
    pub fn short(&self) -> String {
        self.0[..8].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:02x}{:02x}..", self.0[0], self.0[1])
    }
}

/// A claim to run a call at most once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimEntry {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of route and body.
    pub digest: RequestDigest,
    /// Identifier of the claim.
    pub claim: ClaimId,
}

/// Response of a call that ran, replayed when the call is repeated.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Response body.
    #[serde_as(as = "base64::Base64")]
    pub body: Vec<u8>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CallOutcome {
    /// It ran, with this response.
    Answered(RecordedAnswer),
    /// It ran, but its response is lost or too large to store.
    RanWithoutAnswer,
    /// It may have run.
    MayHaveRun,
    /// It did not run and never will under this key.
    NotRun,
}

/// Record of the store with what is known of a request or prompt part that crashes upstreams.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum QuarantineRecord {
    /// A request, suspected or under quarantine.
    Request {
        /// Digest of the request.
        digest: RequestDigest,
        /// Crashes that happened while it ran.
        crashes: Vec<CrashId>,
        /// End of the suspicion or quarantine, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
    /// A prompt part under quarantine.
    Part {
        /// Number of the part.
        part: u64,
        /// Its last crash, in milliseconds since the Unix epoch.
        last_crash_ms: u64,
        /// End of the quarantine, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
}

impl QuarantineRecord {
    /// Returns the end of the quarantine, in milliseconds since the Unix epoch.
    pub fn until_ms(&self) -> u64 {
        match self {
            Self::Request { until_ms, .. } | Self::Part { until_ms, .. } => *until_ms,
        }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Outcome of a claimed call.
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

/// A record of the claims stream: entries appended together, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimBatch {
    /// Entries in order.
    pub entries: Vec<OnceEntry>,
}

/// Result of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimVerdict {
    /// It was the first claim of the key; its instance may run the call.
    Won,
    /// The call of the key has already ended, with this outcome.
    Ended(CallOutcome),
    /// Another claim of the key is running, or its instance has crashed.
    Claimed,
    /// The key was used with a different request.
    OtherRequest,
    /// The claim reached the log outside the key's validity window.
    Expired,
    /// The log has trimmed records that may concern the key.
    Forgotten,
    /// The log could not be reached in time.
    Unavailable,
}

/// A message about claims.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimMessage {
    /// Instance to claim owner: append a claim and report its result. Resent until the verdict
    /// arrives.
    Submit {
        /// The claim.
        claim: ClaimEntry,
        /// Time left to decide it.
        time_left: time::Duration,
    },
    /// Claim owner to instance: result of a claim.
    Verdict {
        /// The claim.
        claim: ClaimId,
        /// Its result.
        verdict: ClaimVerdict,
    },
    /// Instance to claim owner: append an outcome. Resent until it is settled.
    Settle {
        /// The outcome.
        outcome: OutcomeEntry,
    },
    /// Claim owner to instance: the outcome has been appended to the log.
    Settled {
        /// The claim.
        claim: ClaimId,
    },
    /// To all reachable instances: a request that was running when an upstream crashed.
    Crash(CrashNotice),
}

/// Identifier of a crash of an upstream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct CrashId {
    /// The upstream.
    pub upstream: name::UpstreamName,
    /// Number that distinguishes the crashes of the upstream.
    pub generation: u64,
}

/// Crashes that one request is suspected of.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashNotice {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Crashes that happened while it ran.
    pub crashes: SmallVec<[CrashId; 2]>,
    /// Time until the suspicion expires.
    pub time_left: time::Duration,
}

/// A claim as read back from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRecord {
    /// Offset in the log.
    pub offset: id::LogOffset,
    /// When it was appended, by the log's clock, in milliseconds since the Unix epoch.
    pub timestamp_ms: u64,
    /// The entries.
    pub batch: ClaimBatch,
}

//! Numeric identifiers: log offsets, fencing numbers, request and attempt ids.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a record in the platform's log. Offsets start at 0 and increase monotonically.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct LogOffset(pub u64);

impl LogOffset {
    /// Returns the offset that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for LogOffset {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Monotonically increasing number that accompanies every order to an engine.
///
/// The upper 48 bits hold the log offset of the zone view, the lower 16 bits the provisional
/// counter of views formed while the log was unavailable.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// Combines the log offset and the provisional counter of a view.
    pub fn new(offset: LogOffset, provisional: u16) -> Self {
        Self((offset.0 << 16) | u64::from(provisional))
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifier of one request as admitted, unique over the fleet. Retries keep it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Identifier of one attempt of a request at one upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.number)
    }
}

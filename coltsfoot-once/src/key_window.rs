//! Validity window of idempotency keys, based on the timestamp in the key.

use std::time;

use coltsfoot_wire::once;

/// Why a key is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyError {
    /// It isn't a UUIDv7.
    #[error("the Idempotency-Key is not a UUIDv7; generate one by a library")]
    Malformed,
    /// It is older than the window.
    #[error("the Idempotency-Key is too old; look the call up, then use a new key")]
    TooOld,
    /// It lies in the future by more than the allowed clock skew.
    #[error("the Idempotency-Key is from the future; correct the caller's clock")]
    FromFuture,
}

/// Validity window of keys. It is shorter than half of the log's retention, so that a claim is
/// still in the log whenever its key can be used.
#[derive(Clone, Copy, Debug)]
pub struct KeyWindow {
    /// Maximum age of a key.
    pub max_age: time::Duration,
    /// Maximum time by which a key may be ahead of the log's clock; also bounds the skew between
    /// the clocks of instances and log.
    pub max_clock_skew: time::Duration,
    /// Minimum time for which the log retains records.
    pub retention: time::Duration,
}

impl Default for KeyWindow {
    fn default() -> Self {
        Self::for_retention(time::Duration::from_secs(30 * 60))
    }
}

/// Upper limit of the maximum age, independent of the retention; bounds the number of keys kept.
const MAX_AGE: time::Duration = time::Duration::from_secs(15 * 60);
/// Upper limit of the maximum clock skew, independent of the retention.
const MAX_AHEAD: time::Duration = time::Duration::from_secs(10);

impl KeyWindow {
    /// Derives the window from the log's retention.
    pub fn for_retention(retention: time::Duration) -> Self {
        let max_clock_skew = (retention / 20).min(MAX_AHEAD);
        let max_age = (retention / 2 - 2 * max_clock_skew).min(MAX_AGE);
        Self { max_age, max_clock_skew, retention }
    }

    /// Parses a key and checks it against the current time in milliseconds since the Unix epoch.
    pub fn parse(&self, text: &str, now_ms: u64) -> Result<once::IdempotencyKey, KeyError> {
        let parsed = uuid::Uuid::try_parse(text).map_err(|_| KeyError::Malformed)?;
        if parsed.get_version_num() != 7 {
            return Err(KeyError::Malformed);
        }
        let key = once::IdempotencyKey(parsed);
        self.check(key, now_ms)?;
        Ok(key)
    }

    /// Checks a key against the current time in milliseconds since the Unix epoch.
    pub fn check(&self, key: once::IdempotencyKey, now_ms: u64) -> Result<(), KeyError> {
        let created_ms = created_ms(key);
        if now_ms > created_ms + self.max_age.as_millis() as u64 {
            return Err(KeyError::TooOld);
        }
        if created_ms > now_ms + self.max_clock_skew.as_millis() as u64 {
            return Err(KeyError::FromFuture);
        }
        Ok(())
    }

    /// Returns the earliest timestamp, by the log's clock, of a valid claim of the key.
    pub fn earliest_ms(&self, key: once::IdempotencyKey) -> u64 {
        created_ms(key).saturating_sub(self.max_clock_skew.as_millis() as u64)
    }
}

/// Returns the timestamp of a key in milliseconds since the Unix epoch.
pub fn created_ms(key: once::IdempotencyKey) -> u64 {
    (key.0.as_u128() >> 80) as u64
}

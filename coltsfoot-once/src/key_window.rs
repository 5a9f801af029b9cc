//! Time during which an idempotency key may be used, by the time inside the key.

use std::time;

use coltsfoot_wire::once;

/// Why a key can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyError {
    /// It isn't a UUIDv7.
    #[error("the Idempotency-Key is not a UUIDv7; generate one by a library")]
    Malformed,
    /// It is older than the window.
    #[error("the Idempotency-Key is too old; look the call up, then use a new key")]
    TooOld,
    /// It lies ahead.
    #[error("the Idempotency-Key is from the future; correct the caller's clock")]
    FromFuture,
}

/// Window of keys. It is shorter than half of the log's retention, so that a claim is still on the
/// log whenever its key can be used.
#[derive(Clone, Copy, Debug)]
pub struct KeyWindow {
    /// Longest age of a key.
    pub max_age: time::Duration,
    /// Longest time that a key may lie ahead of the log's clock, and bound on the difference
    /// between the clocks of instances and log.
    pub max_clock_skew: time::Duration,
    /// Time for which the log keeps its records at least.
    pub retention: time::Duration,
}

impl Default for KeyWindow {
    fn default() -> Self {
        Self::for_retention(time::Duration::from_secs(30 * 60))
    }
}

/// Longest age of a key, whatever the retention; it bounds the keys that are remembered.
const MAX_AGE: time::Duration = time::Duration::from_secs(15 * 60);
/// Longest time that a key may lie ahead, whatever the retention.
const MAX_AHEAD: time::Duration = time::Duration::from_secs(10);

impl KeyWindow {
    /// Derives the window from the retention of the log.
    pub fn for_retention(retention: time::Duration) -> Self {
        let max_clock_skew = (retention / 20).min(MAX_AHEAD);
        let max_age = (retention / 2 - 2 * max_clock_skew).min(MAX_AGE);
        Self { max_age, max_clock_skew, retention }
    }

    /// Parses a key and checks it against the time, in milliseconds since the Unix epoch.
    pub fn parse(&self, text: &str, now_ms: u64) -> Result<once::IdempotencyKey, KeyError> {
        let parsed = uuid::Uuid::try_parse(text).map_err(|_| KeyError::Malformed)?;
        if parsed.get_version_num() != 7 {
            return Err(KeyError::Malformed);
        }
        let key = once::IdempotencyKey(parsed);
        self.check(key, now_ms)?;
        Ok(key)
    }

    /// Checks a key against the time, in milliseconds since the Unix epoch.
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

    /// Returns the earliest time by the log's clock at which a claim of the key can be valid.
    pub fn earliest_ms(&self, key: once::IdempotencyKey) -> u64 {
        created_ms(key).saturating_sub(self.max_clock_skew.as_millis() as u64)
    }
}

/// Returns the time inside a key, in milliseconds since the Unix epoch.
pub fn created_ms(key: once::IdempotencyKey) -> u64 {
    (key.0.as_u128() >> 80) as u64
}

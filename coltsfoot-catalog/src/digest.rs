//! Digests of callers' API keys. The keys themselves are never stored.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

/// Length of a key digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// BLAKE3 digest of a caller key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as a caller presents it.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

/// The text is not a hexadecimal digest.
#[derive(Debug, thiserror::Error)]
#[error("a key digest has 64 hexadecimal digits; compute it with BLAKE3")]
pub struct ParseDigestError(#[from] blake3::HexError);

impl str::FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(*blake3::Hash::from_hex(text)?.as_bytes()))
    }
}

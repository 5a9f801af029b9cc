//! Encoding of messages as `postcard` bytes followed by a keyed BLAKE3 tag.

use crate::peer;

/// Length of the authentication tag, in bytes.
const TAG_BYTES: usize = 32;
/// Context of the key derivation, unique to this use.
const KEY_CONTEXT: &str = "coltsfoot-wire 2026-12 peer messages";

/// A message that can't be encoded or trusted.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message is shorter than its tag.
    #[error("message of {0} bytes is too short; the sender does not speak this protocol")]
    TooShort(usize),
    /// The tag does not fit the content.
    #[error("message has a wrong tag; give all instances the same `peer_secret`")]
    WrongTag,
    /// The content isn't a known message.
    #[error("message can't be decoded; run the same version on all instances")]
    Malformed(#[from] postcard::Error),
}

/// Encodes and decodes messages with the secret that all instances share.
#[derive(Clone)]
pub struct MessageCodec {
    key: [u8; 32],
}

impl MessageCodec {
    /// Derives the codec's key from the shared secret of the settings.
    pub fn new(secret: &str) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()) }
    }

    /// Encodes a message.
    pub fn encode(&self, envelope: &peer::PeerEnvelope) -> Result<Vec<u8>, CodecError> {
        let mut bytes = postcard::to_stdvec(envelope)?;
        let tag = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(tag.as_bytes());
        Ok(bytes)
    }

    /// Decodes a message after checking its tag in constant time.
    pub fn decode(&self, bytes: &[u8]) -> Result<peer::PeerEnvelope, CodecError> {
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or(CodecError::TooShort(bytes.len()))?;
        let (content, tag) = bytes.split_at(split);
        let tag = <[u8; TAG_BYTES]>::try_from(tag).map_err(|_| CodecError::TooShort(split))?;
        if blake3::keyed_hash(&self.key, content) != blake3::Hash::from_bytes(tag) {
            return Err(CodecError::WrongTag);
        }
        Ok(postcard::from_bytes(content)?)
    }
}

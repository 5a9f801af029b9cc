//! Encoding of messages as `postcard` bytes followed by a keyed BLAKE3 tag.

use crate::peer;

/// Length of the authentication tag, in bytes: the first half of a keyed BLAKE3 hash.
const TAG_BYTES: usize = 16;
/// Context string of the BLAKE3 key derivation, unique to this use.
const KEY_CONTEXT: &str = "coltsfoot-wire 2026-12 peer messages";

/// Why a message can't be encoded, decoded or authenticated.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message is shorter than its tag.
    #[error("message of {0} bytes is too short; the sender does not speak this protocol")]
    TooShort(usize),
    /// The tag does not match the content.
    #[error("message has a wrong tag; give all instances the same `peer_secret`")]
    WrongTag,
    /// The content is not a known message.
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

    /// Encodes a message and appends its tag.
    pub fn encode(&self, envelope: &peer::PeerEnvelope) -> Result<Vec<u8>, CodecError> {
        let mut bytes = postcard::to_stdvec(envelope)?;
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        Ok(bytes)
    }

    /// Decodes a message after checking its tag in constant time.
    pub fn decode(&self, bytes: &[u8]) -> Result<peer::PeerEnvelope, CodecError> {
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or(CodecError::TooShort(bytes.len()))?;
        let (content, tag) = bytes.split_at(split);
        // `blake3::Hash` compares in constant time.
        let mut padded = [0; 32];
        padded[..TAG_BYTES].copy_from_slice(tag);
        let mut expected = [0; 32];
        expected[..TAG_BYTES].copy_from_slice(&self.tag(content));
        if blake3::Hash::from_bytes(padded) != blake3::Hash::from_bytes(expected) {
            return Err(CodecError::WrongTag);
        }
        Ok(postcard::from_bytes(content)?)
    }
    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, content);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

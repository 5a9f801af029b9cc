//! Opening of a tunnel: a TCP connection to an instance that passes all bytes on to an upstream and back.
//!
//! Each message is preceded by its length in two bytes, the higher one first. After
//! [`TunnelResponse::Connected`] the bytes of the upstream's connection follow.

use serde::{Deserialize, Serialize, de};

/// Largest length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 512;

/// Asks for a connection to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TunnelRequest {
    /// Number of the upstream's incarnation.
    pub upstream: u32,
    /// Id of the request that is to be sent, for logs.
    pub request: String,
}

/// Whether there is a connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TunnelResponse {
    /// The upstream is connected.
    Connected,
    /// The instance does not reach the upstream either.
    Unreached,
    /// The upstream is unknown, or nothing may be sent to it.
    Closed,
    /// The instance serves as many tunnels as it may, or is shutting down.
    Full,
}

impl TunnelResponse {
    /// Returns a short name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Unreached => "unreached",
            Self::Closed => "closed",
            Self::Full => "full",
        }
    }
}

/// Encodes a message with its length.
pub fn encode_message(message: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_stdvec(message)?;
    let length = u16::try_from(body.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    Ok([&length.to_be_bytes(), &*body].concat())
}

/// Returns the length of a message; `None` if it is too long.
pub fn message_length(prefix: [u8; 2]) -> Option<usize> {
    Some(usize::from(u16::from_be_bytes(prefix))).filter(|length| *length <= MAX_MESSAGE_BYTES)
}

/// Decodes a message without its length.
pub fn decode_message<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

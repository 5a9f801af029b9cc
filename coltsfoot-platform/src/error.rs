//! Errors of HTTP calls, by the phase in which the exchange failed.

use std::io;
use std::net;

/// Phase of an exchange, each with its own timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HttpPhase {
    /// Opening the connection.
    Connect,
    /// Sending the request.
    Send,
    /// Waiting for the response head.
    Head,
    /// Waiting for more of the response body.
    Body,
}

/// Failure to receive a complete response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request can't be encoded. Nothing was sent.
    #[error("the request to {address} can't be encoded: {detail}; correct its URL or headers")]
    Encode {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Encoder's message.
        detail: String,
    },
    /// The connection could not be opened. Nothing was sent.
    #[error("could not connect to {address}: {source}; check that the peer runs")]
    Connect {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection broke while the request was sent; the peer may have run it.
    #[error("sending to {address} failed: {source}; the request may have run")]
    Send {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// No valid response head arrived; the peer may have run the request.
    #[error("{address} did not answer: {detail}; the request may have run")]
    NoAnswer {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Decoder's message.
        detail: String,
    },
    /// The body ended early or is malformed.
    #[error("the answer of {address} broke off: {detail}; ask again if the call is idempotent")]
    BrokenBody {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Missing bytes or the decoder's message.
        detail: String,
    },
    /// The timeout of a phase passed.
    #[error("{address} exceeded the time limit of phase {phase:?}; check the load of the peer")]
    Timeout {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Phase whose timeout passed.
        phase: HttpPhase,
    },
    /// The body or an event exceeds its limit.
    #[error("the answer of {address} exceeds {limit_bytes} bytes; ask for less or raise the limit")]
    TooLarge {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Limit in bytes.
        limit_bytes: usize,
    },
}

impl HttpError {
    /// Returns whether no byte of the request can have reached the peer.
    pub fn nothing_sent(&self) -> bool {
        matches!(
            self,
            Self::Encode { .. }
                | Self::Connect { .. }
                | Self::Timeout { phase: HttpPhase::Connect, .. }
        )
    }
}

/// Failure of a call to the platform or to an engine's management interface.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The peer responded with an error status.
    #[error("{address} answered status {status}: {body}; see docs/PLATFORM.md for its meaning")]
    Status {
        /// Address of the peer.
        address: net::SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The body, as text.
        body: String,
    },
    /// The response is not the JSON that the call expects.
    #[error("the answer of {address} is malformed: {source}; check the version of the peer")]
    Malformed {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Underlying error.
        source: serde_json::Error,
    },
}

//! Short calls whose answer is read whole.

use std::net;
use std::time;

use crate::{body, header, message, pool};

/// Longest answer head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Time that a kept connection may stay unused. Below the idle limits of common servers.
const KEPT_LIFETIME: time::Duration = time::Duration::from_secs(4);

/// A call could not be completed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was made, so that the call was not carried out.
    #[error("could not connect to {address}: {source}; check the address and the network")]
    Connect {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection failed after the call had been sent, so that it may have been carried out.
    #[error("no answer from {address}: {source}; look at what the call was to do before a repeat")]
    NoResponse {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: message::ReadError,
    },
    /// The time ran out, so that the call may have been carried out.
    #[error("no answer from {address} in {limit:?}; look at what the call was to do")]
    TimedOut {
        /// The address.
        address: net::SocketAddr,
        /// The time allowed.
        limit: time::Duration,
    },
}

/// The answer to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// Head.
    pub head: header::ResponseHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Makes a call over a kept or new connection.
pub async fn call(
    pool: &pool::ConnectionPool,
    address: net::SocketAddr,
    head: &header::RequestHead,
    content: &[u8],
    max_body: usize,
    limit: time::Duration,
) -> Result<CallResponse, CallError> {
    let exchange = async {
        let connected = pool.take_or_connect(address, KEPT_LIFETIME, limit).await;
        let mut stream = connected.map_err(|source| CallError::Connect { address, source })?;
        let answer = send_and_read(&mut stream, head, content, max_body).await;
        let answer = answer.map_err(|source| CallError::NoResponse { address, source })?;
        if answer.head.keeps_connection() && !stream.has_buffered() {
            pool.put(address, stream, KEPT_LIFETIME);
        }
        Ok(answer)
    };
    let answer = message::with_timeout(limit, exchange).await;
    answer.unwrap_or(Err(CallError::TimedOut { address, limit }))
}

async fn send_and_read(
    stream: &mut message::MessageStream,
    head: &header::RequestHead,
    content: &[u8],
    max_body: usize,
) -> Result<CallResponse, message::ReadError> {
    let mut head = head.clone();
    if !content.is_empty() || head.method != "GET" {
        head.headers.push("Content-Length", content.len().to_string());
    }
    let mut bytes = head.encode();
    bytes.extend_from_slice(content);
    stream.write(&bytes).await?;
    let answer = stream.read_response(MAX_HEAD_BYTES).await?;
    let framing = body::BodyFraming::of_response(&answer, &head.method)?;
    let body = stream.read_body(framing, max_body).await?;
    Ok(CallResponse { head: answer, body })
}

//! Short calls whose response is buffered completely.

use std::net;
use std::time;

use crate::{body, header, message, pool};

/// Largest response head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Longest idle time of a pooled connection; below the idle timeouts of common servers.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Statuses that reject a call. A connection that carried one is not reused: a rejection that is sent again
/// would reject whatever follows.
const REJECTIONS: [u16; 3] = [421, 429, 503];

/// Failure of a call, by whether the server may have carried it out.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the call was not carried out.
    #[error("could not connect to {address}: {source}; check the address and the network")]
    Connect {
        /// Address of the server.
        address: net::SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The connection failed after the call was sent, so it may have been carried out.
    #[error("no response from {address}: {source}; check the effect of the call before a retry")]
    NoResponse {
        /// Address of the server.
        address: net::SocketAddr,
        /// Underlying error.
        source: message::ReadError,
    },
    /// The timeout passed, so the call may have been carried out.
    #[error(
        "no response from {address} within {limit:?}; check the effect of the call before a retry"
    )]
    TimedOut {
        /// Address of the server.
        address: net::SocketAddr,
        /// Timeout of the call.
        limit: time::Duration,
    },
}

/// Buffered response to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// Status and header fields.
    pub head: header::ResponseHead,
    /// Complete body, without framing.
    pub body: Vec<u8>,
}

/// Sends a request over a pooled or new connection and reads a response body of at most `max_body` bytes.
pub async fn call(
    pool: &pool::ConnectionPool,
    address: net::SocketAddr,
    head: &header::RequestHead,
    content: &[u8],
    max_body: usize,
    limit: time::Duration,
) -> Result<CallResponse, CallError> {
    let exchange = async {
        let connected = pool.take_or_connect(address, MAX_IDLE_TIME, limit).await;
        let mut stream = connected.map_err(|source| CallError::Connect { address, source })?;
        let response = send_and_read(&mut stream, head, content, max_body).await;
        let response = response.map_err(|source| CallError::NoResponse { address, source })?;
        stream.end_exchange();
        let is_reusable = !REJECTIONS.contains(&response.head.status);
        if is_reusable && response.head.keeps_connection() && !stream.has_buffered() {
            pool.put(address, stream, MAX_IDLE_TIME);
        }
        Ok(response)
    };
    let response = message::with_timeout(limit, exchange).await;
    response.unwrap_or(Err(CallError::TimedOut { address, limit }))
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
    let response = stream.read_response(MAX_HEAD_BYTES).await?;
    let framing = body::BodyFraming::of_response(&response, &head.method)?;
    let body = stream.read_body(framing, max_body).await?;
    Ok(CallResponse { head: response, body })
}

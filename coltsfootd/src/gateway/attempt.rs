//! Sends a request to an upstream once and reads the head of the response.

use std::net;
use std::sync::atomic;
use std::time;

use coltsfoot_http::{body, client, header, memory, message, pool};
use futures_lite::AsyncWriteExt as _;
use site_platform::fields;

use crate::gateway::paths;

/// Maximum idle time of a pooled connection that carries a request which must not be retried: if
/// the upstream closes the connection at the same moment, it is unknown whether the request ran.
pub(super) const MAX_IDLE_NON_IDEMPOTENT: time::Duration = time::Duration::from_millis(1500);
/// Maximum idle time of a pooled connection for other requests.
pub(super) const MAX_IDLE: time::Duration = time::Duration::from_millis(3500);
/// Time for which a connection stays in the pool if the upstream names no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_millis(3500);
/// How long before the upstream's keep-alive timeout a connection is dropped from the pool.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_millis(800);
/// Maximum number of a body's bytes that are written together with the head.
pub(super) const MAX_JOINED_BYTES: usize = 16 * 1024;
/// Maximum number of responses to earlier requests that are skipped on a connection.
const MAX_STALE_RESPONSES: usize = 3;
/// Maximum body size of a skipped response, in bytes.
const MAX_STALE_BYTES: usize = 1024 * 1024;

/// A response whose head was read; its body is still to be read from the stream.
pub(crate) struct OpenResponse {
    pub head: header::ResponseHead,
    pub fields: fields::UpstreamFields,
    pub framing: body::BodyFraming,
    pub stream: message::MessageStream,
    /// What it holds of the memory for responses.
    pub lease: memory::MemoryLease,
    /// Address in the pool; `None` for a tunnel.
    pool_address: Option<net::SocketAddr>,
    is_sent: bool,
    has_skipped_stale: bool,
}

impl OpenResponse {
    /// Returns whether the response comes on a connection of this instance.
    pub fn is_direct(&self) -> bool {
        self.pool_address.is_some()
    }

    /// Returns the connection to the pool if it can carry further requests, else closes it. One that carried a
    /// rejection is closed: a rejection need not name its request, so that a repeated one would reject the next
    /// request although that runs.
    pub fn release(mut self, pool: &pool::ConnectionPool) {
        let is_whole = self.framing == body::BodyFraming::Done && self.is_sent;
        if is_whole {
            self.stream.end_exchange();
        }
        let is_reusable = is_whole
            && !self.has_skipped_stale
            && !self.fields.is_not_run
            && self.head.keeps_connection()
            && !self.stream.has_buffered();
        if let Some(address) = self.pool_address.filter(|_| is_reusable) {
            let keep_alive =
                self.fields.keep_alive.map(|keep| keep.saturating_sub(KEEP_ALIVE_MARGIN));
            pool.put(address, self.stream, keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE));
        }
    }
}

/// Why an attempt got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// No byte was sent.
    #[error("no connection: {0}")]
    NotSent(std::io::Error),
    /// The request may have run.
    #[error("no response: {0}")]
    Broken(#[from] message::ReadError),
    /// Too many responses belonged to other requests.
    #[error("the response belongs to another request")]
    Mismatched,
}

/// A request to send, encoded for its upstream.
pub(crate) struct AttemptRequest<'a> {
    pub request_id: &'a str,
    pub method: &'a str,
    /// Encoded head.
    pub head: Vec<u8>,
    pub body: &'a [u8],
}

/// Sends a request on a connection and reads the head of the response, which the lease is extended to.
pub(crate) async fn send(
    connection: paths::UpstreamConnection,
    request: AttemptRequest<'_>,
    mut lease: memory::MemoryLease,
) -> Result<OpenResponse, AttemptError> {
    let paths::UpstreamConnection { mut stream, pool_address } = connection;
    let AttemptRequest { request_id, method, head: mut bytes, body } = request;
    // Small ones go out with the head; a large one is not copied.
    let (joined, rest) = body.split_at(body.len().min(MAX_JOINED_BYTES));
    bytes.reserve_exact(joined.len());
    bytes.extend_from_slice(joined);
    let is_sent = atomic::AtomicBool::new(false);
    let mut writer = stream.writer();
    let write = async {
        let mut written = writer.write_all(&bytes).await;
        // The response may be long in coming.
        drop(bytes);
        if written.is_ok() {
            written = writer.write_all(rest).await;
        }
        is_sent.store(written.is_ok(), atomic::Ordering::Relaxed);
        // Never completes: the response, or the end of the connection, decides the outcome.
        std::future::pending().await
    };
    let read = read_response_head(&mut stream, request_id, method, &mut lease);
    let (head, fields, framing, has_skipped_stale) = futures_lite::future::or(read, write).await?;
    let is_sent = is_sent.load(atomic::Ordering::Relaxed);
    if !is_sent {
        stream.record_cut_request();
    }
    Ok(OpenResponse {
        head,
        fields,
        framing,
        stream,
        lease,
        pool_address,
        is_sent,
        has_skipped_stale,
    })
}

type DecodedHead = (header::ResponseHead, fields::UpstreamFields, body::BodyFraming, bool);

/// Reads the head of the response to the request; skips responses to earlier ones.
async fn read_response_head(
    stream: &mut message::MessageStream,
    request_id: &str,
    method: &str,
    lease: &mut memory::MemoryLease,
) -> Result<DecodedHead, AttemptError> {
    for skipped in 0..=MAX_STALE_RESPONSES {
        let head = stream.read_response_within(client::MAX_HEAD_BYTES, lease).await?;
        let framing =
            body::BodyFraming::of_response(&head, method).map_err(message::ReadError::Framing)?;
        let fields = fields::decode_upstream(&head);
        if fields.request_id.as_deref().is_none_or(|id| id == request_id) {
            return Ok((head, fields, framing, skipped > 0));
        }
        stream.skip_body(framing, MAX_STALE_BYTES).await?;
    }
    Err(AttemptError::Mismatched)
}

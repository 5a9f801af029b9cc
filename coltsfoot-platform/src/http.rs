//! HTTP client with connection reuse and a timeout for each phase of an exchange.

use std::collections;
use std::future;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};

use crate::error::{self, HttpError, HttpPhase};

/// Bytes read from a body at a time.
const CHUNK_BYTES: usize = 8 * 1024;

/// Timeouts and size limits of a pool.
#[derive(Clone, Debug, bon::Builder)]
pub struct HttpLimits {
    /// Longest time to open a connection.
    #[builder(default = time::Duration::from_secs(1))]
    pub connect_timeout: time::Duration,
    /// Longest time to send a request.
    #[builder(default = time::Duration::from_secs(5))]
    pub send_timeout: time::Duration,
    /// Longest time from the end of the request to the response head.
    #[builder(default = time::Duration::from_secs(30))]
    pub head_timeout: time::Duration,
    /// Longest time between two parts of a response body.
    #[builder(default = time::Duration::from_secs(30))]
    pub body_idle_timeout: time::Duration,
    /// Idle connections kept per address.
    #[builder(default = 32)]
    pub max_idle_connections: usize,
    /// Longest time that an idle connection is kept.
    #[builder(default = time::Duration::from_secs(20))]
    pub max_idle_age: time::Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Whether an exchange may use a connection that has been used before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// An idle connection may be used.
    Allow,
    /// A new connection is opened, so that a failure to connect proves that nothing was sent.
    Fresh,
}

struct IdleConnection {
    stream: async_net::TcpStream,
    since: time::Instant,
}

type IdleConnections = collections::HashMap<net::SocketAddr, Vec<IdleConnection>>;

/// Sends requests and keeps idle connections per address. Clones share the connections.
#[derive(Clone)]
pub struct HttpPool {
    limits: HttpLimits,
    idle: sync::Arc<sync::Mutex<IdleConnections>>,
    carried_bytes: sync::Arc<atomic::AtomicU64>,
}

impl HttpPool {
    /// Creates a pool without connections.
    pub fn new(limits: HttpLimits) -> Self {
        Self { limits, idle: sync::Arc::default(), carried_bytes: sync::Arc::default() }
    }

    /// Returns the same pool with another timeout for the response head; connections are shared.
    pub fn with_head_timeout(&self, timeout: time::Duration) -> Self {
        let limits = HttpLimits { head_timeout: timeout, ..self.limits.clone() };
        let carried_bytes = sync::Arc::clone(&self.carried_bytes);
        Self { limits, idle: sync::Arc::clone(&self.idle), carried_bytes }
    }

    /// Returns the number of bytes of all requests and response bodies so far.
    pub fn carried_bytes(&self) -> u64 {
        self.carried_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Sends a request and waits for the response head.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: http_types::Request,
        reuse: ConnectionReuse,
    ) -> Result<HttpExchange, HttpError> {
        let bytes = encode(address, request).await?;
        let mut stream = match self.take_idle(address, reuse).await {
            Some(stream) => stream,
            None => self.connect(address).await?,
        };
        self.carried_bytes.fetch_add(bytes.len() as u64, atomic::Ordering::Relaxed);
        let send = stream.write_all(&bytes);
        let timeout = self.limits.send_timeout;
        let sent = with_timeout(timeout, send).await;
        sent.ok_or(HttpError::Timeout { address, phase: HttpPhase::Send })?
            .map_err(|source| HttpError::Send { address, source })?;
        let decode = async_h1::client::decode(stream.clone());
        let decoded = with_timeout(self.limits.head_timeout, decode).await;
        let response = decoded
            .ok_or(HttpError::Timeout { address, phase: HttpPhase::Head })?
            .map_err(|error| HttpError::NoAnswer { address, detail: error.to_string() })?;
        let lease =
            keeps_connection(&response).then(|| ConnectionLease { pool: self.clone(), stream });
        let carried_bytes = sync::Arc::clone(&self.carried_bytes);
        let limits = self.limits.clone();
        Ok(HttpExchange { response, address, limits, lease, carried_bytes })
    }

    async fn connect(&self, address: net::SocketAddr) -> Result<async_net::TcpStream, HttpError> {
        let connect = async_net::TcpStream::connect(address);
        let connected = with_timeout(self.limits.connect_timeout, connect).await;
        let stream = connected
            .ok_or(HttpError::Timeout { address, phase: HttpPhase::Connect })?
            .map_err(|source| HttpError::Connect { address, source })?;
        stream.set_nodelay(true).map_err(|source| HttpError::Connect { address, source })?;
        Ok(stream)
    }

    async fn take_idle(
        &self,
        address: net::SocketAddr,
        reuse: ConnectionReuse,
    ) -> Option<async_net::TcpStream> {
        if reuse == ConnectionReuse::Fresh {
            return None;
        }
        loop {
            let connection = self.lock_idle().get_mut(&address)?.pop()?;
            let is_fresh = connection.since.elapsed() < self.limits.max_idle_age;
            if is_fresh && is_reusable(&connection.stream).await {
                return Some(connection.stream);
            }
        }
    }

    fn put_idle(&self, address: net::SocketAddr, stream: async_net::TcpStream) {
        let max_idle_age = self.limits.max_idle_age;
        let mut idle = self.lock_idle();
        idle.retain(|_, connections| {
            connections.retain(|connection| connection.since.elapsed() < max_idle_age);
            !connections.is_empty()
        });
        let connections = idle.entry(address).or_default();
        if connections.len() < self.limits.max_idle_connections {
            connections.push(IdleConnection { stream, since: time::Instant::now() });
        }
    }

    fn lock_idle(&self) -> sync::MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

struct ConnectionLease {
    pool: HttpPool,
    stream: async_net::TcpStream,
}

/// Exchange whose response head has arrived. Dropping it closes the connection.
pub struct HttpExchange {
    /// The response; its body is read by [`Self::read_body`] or [`Self::into_reader`].
    pub response: http_types::Response,
    address: net::SocketAddr,
    limits: HttpLimits,
    lease: Option<ConnectionLease>,
    carried_bytes: sync::Arc<atomic::AtomicU64>,
}

impl HttpExchange {
    /// Returns the address of the peer.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Returns the value of a header, the last one if there are several.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.last().as_str())
    }

    /// Reads the whole body and returns the connection to the pool.
    pub async fn read_body(self, limit_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let address = self.address;
        let mut reader = self.into_reader();
        let mut bytes = Vec::new();
        while let Some(chunk) = reader.read_chunk().await? {
            if bytes.len() + chunk.len() > limit_bytes {
                return Err(HttpError::TooLarge { address, limit_bytes });
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes)
    }

    /// Returns a reader that yields the body incrementally.
    pub fn into_reader(mut self) -> BodyReader {
        let body = self.response.take_body();
        BodyReader {
            missing_bytes: body.len(),
            body,
            address: self.address,
            idle_timeout: self.limits.body_idle_timeout,
            lease: self.lease,
            carried_bytes: self.carried_bytes,
        }
    }
}

/// Reads a response body incrementally and detects truncation.
pub struct BodyReader {
    body: http_types::Body,
    missing_bytes: Option<usize>,
    address: net::SocketAddr,
    idle_timeout: time::Duration,
    lease: Option<ConnectionLease>,
    carried_bytes: sync::Arc<atomic::AtomicU64>,
}

impl BodyReader {
    /// Returns the address of the peer.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the next bytes, `None` at the end of a complete body.
    pub async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, HttpError> {
        let address = self.address;
        let mut chunk = vec![0; CHUNK_BYTES];
        let read = with_timeout(self.idle_timeout, self.body.read(&mut chunk)).await;
        let length = read
            .ok_or(HttpError::Timeout { address, phase: HttpPhase::Body })?
            .map_err(|error| HttpError::BrokenBody { address, detail: error.to_string() })?;
        if length == 0 {
            self.finish()?;
            return Ok(None);
        }
        self.carried_bytes.fetch_add(length as u64, atomic::Ordering::Relaxed);
        self.missing_bytes = self.missing_bytes.map(|missing| missing.saturating_sub(length));
        chunk.truncate(length);
        Ok(Some(chunk))
    }

    fn finish(&mut self) -> Result<(), HttpError> {
        let address = self.address;
        if let Some(missing) = self.missing_bytes.filter(|missing| *missing > 0) {
            let detail = format!("{missing} bytes are missing");
            return Err(HttpError::BrokenBody { address, detail });
        }
        if let Some(lease) = self.lease.take() {
            lease.pool.put_idle(address, lease.stream);
        }
        Ok(())
    }
}

async fn encode(
    address: net::SocketAddr,
    request: http_types::Request,
) -> Result<Vec<u8>, error::HttpError> {
    let mut bytes = Vec::new();
    let mut encoder = async_h1::client::Encoder::new(request);
    let encoded = encoder.read_to_end(&mut bytes).await;
    encoded.map_err(|error| HttpError::Encode { address, detail: error.to_string() })?;
    Ok(bytes)
}

/// Returns whether an idle connection is still open and has no unexpected bytes waiting.
async fn is_reusable(stream: &async_net::TcpStream) -> bool {
    let mut byte = [0];
    futures_lite::future::poll_once(stream.peek(&mut byte)).await.is_none()
}

/// Returns whether the connection can carry another request after this response.
fn keeps_connection(response: &http_types::Response) -> bool {
    let connection = response.header(http_types::headers::CONNECTION);
    !connection.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

/// Returns the output of the future, `None` if the timeout passes first.
async fn with_timeout<T>(
    timeout: time::Duration,
    future: impl future::Future<Output = T>,
) -> Option<T> {
    let output = async { Some(future.await) };
    let timer = async {
        async_io::Timer::after(timeout).await;
        None
    };
    output.or(timer).await
}

/// Builds the URL of a call by address and path.
pub fn url(address: net::SocketAddr, path: &str) -> Result<http_types::Url, HttpError> {
    let text = format!("http://{address}{path}");
    http_types::Url::parse(&text)
        .map_err(|error| HttpError::Encode { address, detail: error.to_string() })
}

impl From<HttpError> for io::Error {
    fn from(error: HttpError) -> Self {
        Self::other(error)
    }
}

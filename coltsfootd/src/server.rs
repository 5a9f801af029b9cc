//! HTTP listeners for callers and operators, with a limit on open connections.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_h1::server;
use async_net::{TcpListener, TcpStream};
use coltsfoot_http::{memory, socket};
use coltsfoot_types::refusal;
use futures_lite::{AsyncReadExt as _, FutureExt as _, StreamExt as _};

use crate::{answer, caller_stream, settings};

/// Time that a refused sender gets to read its response before the connection is closed.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Maximum number of bytes of a refused sender that are read and discarded so that it can read its
/// response.
const MAX_LINGER_BYTES: u64 = 1_024 * 1_024;
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Refused senders that get time to read their response at a time; further ones are closed at once.
const MAX_REFUSALS: usize = 64;
/// Memory of a connection: its receive buffer, the reader, the task, and a small request.
const CONNECTION_BYTES: usize =
    socket::UNREAD_BYTES + 16 * 1_024 + caller_stream::SMALL_REQUEST_BYTES;

/// Counts the open connections of a listener.
#[derive(Default)]
struct ConnectionCount(atomic::AtomicUsize);

/// An open connection; dropping it decrements the count.
struct CountedConnection(sync::Arc<ConnectionCount>);

impl ConnectionCount {
    fn try_increment(self: &sync::Arc<Self>, limit: usize) -> Option<CountedConnection> {
        let incremented =
            self.0.fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, |count| {
                (count < limit).then_some(count + 1)
            });
        incremented.is_ok().then(|| CountedConnection(sync::Arc::clone(self)))
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// Handlers and limits of a listener.
pub struct HttpService<R, C> {
    /// Responds to a request.
    pub respond: R,
    /// Counts a refusal that happens before a request reaches `respond`.
    pub count_refusal: C,
    /// Limits on connections and requests.
    pub limits: settings::CallerLimits,
}

/// The memory of a listener's limits, divided: connections have half of it at most, requests the rest.
struct MemoryPlan {
    max_connections: usize,
    /// Memory of requests beyond the small ones.
    requests: sync::Arc<memory::MemoryBudget>,
}

impl MemoryPlan {
    fn new(limits: &settings::CallerLimits) -> Self {
        let most = (limits.max_memory_bytes / 2 / CONNECTION_BYTES).max(1);
        let max_connections = limits.max_connections.min(most);
        let rest = limits.max_memory_bytes.saturating_sub(max_connections * CONNECTION_BYTES);
        Self { max_connections, requests: sync::Arc::new(memory::MemoryBudget::new(rest)) }
    }
}

/// Binds a TCP listener, with port 0 to a free port.
pub fn bind(address: net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::try_from(socket::listen(address)?)
}

/// Accepts connections and serves each on a task of `executor`; a failed `accept` is retried.
pub async fn serve<R, F, C>(
    listener: TcpListener,
    service: sync::Arc<HttpService<R, C>>,
    executor: sync::Arc<async_executor::Executor<'static>>,
) where
    R: Fn(http_types::Request) -> F + Send + Sync + 'static,
    F: Future<Output = http_types::Response> + Send + 'static,
    C: Fn(refusal::RefusalReason) + Send + Sync + 'static,
{
    let count = sync::Arc::new(ConnectionCount::default());
    let refusals = sync::Arc::new(ConnectionCount::default());
    let plan = MemoryPlan::new(&service.limits);
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let Ok(stream) = accepted else {
            async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let service = sync::Arc::clone(&service);
        let budget = sync::Arc::clone(&plan.requests);
        if let Some(connection) = count.try_increment(plan.max_connections) {
            let serving = async move {
                let _connection = connection;
                serve_connection(stream, &service, &budget).await;
            };
            executor.spawn(serving).detach();
            continue;
        }
        let reason = refusal::RefusalReason::TooManyConnections;
        (service.count_refusal)(reason);
        if let Some(refusal) = refusals.try_increment(MAX_REFUSALS) {
            let refusing = async move {
                let _refusal = refusal;
                refuse(stream, reason).await;
            };
            executor.spawn(refusing).detach();
        }
    }
}

async fn serve_connection<R, F, C>(
    stream: TcpStream,
    service: &HttpService<R, C>,
    budget: &sync::Arc<memory::MemoryBudget>,
) where
    R: Fn(http_types::Request) -> F,
    F: Future<Output = http_types::Response>,
    C: Fn(refusal::RefusalReason),
{
    let _ = stream.set_nodelay(true);
    let mut bounded = caller_stream::CallerStream::new(stream.clone(), &service.limits, budget);
    let has_reached_handler = sync::Arc::new(atomic::AtomicBool::new(false));
    let endpoint_reached = sync::Arc::clone(&has_reached_handler);
    let endpoint = |request| {
        endpoint_reached.store(true, atomic::Ordering::Relaxed);
        let responding = (service.respond)(request);
        async move { http_types::Result::Ok(responding.await) }
    };
    let mut server =
        server::Server::new(bounded.clone(), endpoint).with_opts(server::ServerOptions::default());
    loop {
        bounded.reset();
        has_reached_handler.store(false, atomic::Ordering::Relaxed);
        match server.accept_one().await {
            Ok(server::ConnectionStatus::KeepAlive) => {}
            Ok(server::ConnectionStatus::Close) => return,
            Err(_) if has_reached_handler.load(atomic::Ordering::Relaxed) => {
                return linger(stream).await;
            }
            Err(_) if !bounded.has_started() => return,
            Err(_) => {
                let reason = refusal_reason(&bounded);
                (service.count_refusal)(reason);
                return refuse(stream, reason).await;
            }
        }
    }
}

fn refusal_reason(bounded: &caller_stream::CallerStream) -> refusal::RefusalReason {
    match bounded.exceeded_limit() {
        Some(caller_stream::ExceededLimit::Size) => refusal::RefusalReason::TooLarge,
        Some(caller_stream::ExceededLimit::Time) => refusal::RefusalReason::SlowSender,
        Some(caller_stream::ExceededLimit::Memory) => refusal::RefusalReason::NoMemory,
        None if bounded.has_long_head() => refusal::RefusalReason::TooLarge,
        None => refusal::RefusalReason::BadRequest,
    }
}

async fn refuse(mut stream: TcpStream, reason: refusal::RefusalReason) {
    let mut response = answer::CallerRefusal::not_run(reason).to_response();
    response.insert_header(http_types::headers::CONNECTION, "close");
    let encoder = server::Encoder::new(response, http_types::Method::Post);
    if futures_lite::io::copy(encoder, &mut stream).await.is_ok() {
        linger(stream).await;
    }
}

/// Closes the connection once the sender has read the response: unread input would reset it.
async fn linger(stream: TcpStream) {
    if stream.shutdown(net::Shutdown::Write).is_err() {
        return;
    }
    let discard = async {
        let _ =
            futures_lite::io::copy(stream.take(MAX_LINGER_BYTES), futures_lite::io::sink()).await;
    };
    let timeout = async {
        async_io::Timer::after(LINGER_TIMEOUT).await;
    };
    discard.or(timeout).await;
}

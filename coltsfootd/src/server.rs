//! Listeners: connections of callers and operators, their number bounded.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_h1::server;
use async_net::{TcpListener, TcpStream};
use coltsfoot_types::refusal;
use futures_lite::{AsyncReadExt as _, FutureExt as _, StreamExt as _};

use crate::{answer, caller_stream, settings};

/// Time that a refused sender gets to read its answer before the connection is cut.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Bytes of a refused sender that are read and dropped, so that it can read its answer.
const LINGER_BYTES: u64 = 1_024 * 1_024;
/// Pause after the system refused to accept a connection.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Counts the open connections of a listener.
#[derive(Default)]
struct ConnectionCount(atomic::AtomicUsize);

/// One counted connection; it stops counting when dropped.
struct CountedConnection(sync::Arc<ConnectionCount>);

impl ConnectionCount {
    fn enter(self: &sync::Arc<Self>, limit: usize) -> Option<CountedConnection> {
        let entered =
            self.0.fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, |count| {
                (count < limit).then_some(count + 1)
            });
        entered.is_ok().then(|| CountedConnection(sync::Arc::clone(self)))
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// What a listener does with requests and refusals.
pub struct HttpService<R, C> {
    /// Answers a request.
    pub respond: R,
    /// Counts a refusal that no request handler saw.
    pub count_refusal: C,
    /// Bounds on what may be sent.
    pub limits: settings::CallerLimits,
}

/// Binds a listener.
pub async fn bind(address: net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves connections until the listener fails for good; each one on a task of `executor`.
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
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let Ok(stream) = accepted else {
            async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let service = sync::Arc::clone(&service);
        let connection = count.enter(service.limits.max_connections);
        let serving = async move {
            match connection {
                Some(_connection) => serve_connection(stream, &service).await,
                None => {
                    let reason = refusal::RefusalReason::TooManyConnections;
                    (service.count_refusal)(reason);
                    refuse(stream, reason).await;
                }
            }
        };
        executor.spawn(serving).detach();
    }
}

async fn serve_connection<R, F, C>(stream: TcpStream, service: &HttpService<R, C>)
where
    R: Fn(http_types::Request) -> F,
    F: Future<Output = http_types::Response>,
    C: Fn(refusal::RefusalReason),
{
    let _ = stream.set_nodelay(true);
    let mut bounded = caller_stream::CallerStream::new(stream.clone(), &service.limits);
    let entered = sync::Arc::new(atomic::AtomicBool::new(false));
    let endpoint_entered = sync::Arc::clone(&entered);
    let endpoint = |request| {
        endpoint_entered.store(true, atomic::Ordering::Relaxed);
        let responding = (service.respond)(request);
        async move { http_types::Result::Ok(responding.await) }
    };
    let mut server =
        server::Server::new(bounded.clone(), endpoint).with_opts(server::ServerOptions::default());
    loop {
        bounded.reset();
        entered.store(false, atomic::Ordering::Relaxed);
        match server.accept_one().await {
            Ok(server::ConnectionStatus::KeepAlive) => {}
            Ok(server::ConnectionStatus::Close) => return,
            Err(_) if entered.load(atomic::Ordering::Relaxed) => {
                return linger(stream).await;
            }
            Err(_) if !bounded.has_started() => return,
            Err(_) => {
                let reason = head_refusal(&bounded);
                (service.count_refusal)(reason);
                return refuse(stream, reason).await;
            }
        }
    }
}

fn head_refusal(bounded: &caller_stream::CallerStream) -> refusal::RefusalReason {
    match bounded.exceeded_limit() {
        Some(caller_stream::ExceededLimit::Size) => refusal::RefusalReason::TooLarge,
        Some(caller_stream::ExceededLimit::Time) => refusal::RefusalReason::SlowSender,
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

/// Closes without discarding the answer: unread input would reset the connection.
async fn linger(stream: TcpStream) {
    if stream.shutdown(net::Shutdown::Write).is_err() {
        return;
    }
    let discard = async {
        let _ = futures_lite::io::copy(stream.take(LINGER_BYTES), futures_lite::io::sink()).await;
    };
    let timeout = async {
        async_io::Timer::after(LINGER_TIMEOUT).await;
    };
    discard.or(timeout).await;
}

//! HTTP server whose connections can be aborted and whose port can be closed for a while.

use std::collections;
use std::future;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::time;

use futures_lite::FutureExt as _;

use crate::SharedExecutor;

/// Loopback address with a free port.
pub(crate) const ANY_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);
/// Wait before the next attempt to bind a port that is in use, or to accept after an error.
const REBIND_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Future of a response. An error closes the connection without a response.
pub(crate) type ResponseFuture =
    pin::Pin<Box<dyn future::Future<Output = http_types::Result<http_types::Response>> + Send>>;
/// Function that handles requests.
pub(crate) type RequestHandler =
    sync::Arc<dyn Fn(http_types::Request) -> ResponseFuture + Send + Sync>;

#[derive(Default)]
struct OpenConnections {
    next: u64,
    tasks: collections::BTreeMap<u64, async_executor::Task<()>>,
}

struct ServerShared {
    executor: SharedExecutor,
    address: net::SocketAddr,
    handler: RequestHandler,
    connections: sync::Mutex<OpenConnections>,
}

/// A running server. Dropping it aborts its connections and closes its port.
pub(crate) struct HttpServer {
    shared: sync::Arc<ServerShared>,
    pauses: async_channel::Sender<time::Duration>,
    accept_task: sync::Mutex<Option<async_executor::Task<()>>>,
}

impl HttpServer {
    pub(crate) fn start(
        executor: &SharedExecutor,
        listen: net::SocketAddr,
        handler: RequestHandler,
    ) -> io::Result<Self> {
        let listener = async_io::Async::<net::TcpListener>::bind(listen)?;
        let shared = sync::Arc::new(ServerShared {
            executor: sync::Arc::clone(executor),
            address: listener.get_ref().local_addr()?,
            handler,
            connections: sync::Mutex::default(),
        });
        let (pauses, receiver) = async_channel::unbounded();
        let task = executor.spawn(accept_all(sync::Arc::clone(&shared), listener, receiver));
        Ok(Self { shared, pauses, accept_task: sync::Mutex::new(Some(task)) })
    }

    /// Starts a server whose handler gets shared state.
    pub(crate) fn start_with<S, A, F>(
        executor: &SharedExecutor,
        listen: net::SocketAddr,
        state: &sync::Arc<S>,
        respond: A,
    ) -> io::Result<Self>
    where
        S: Send + Sync + 'static,
        A: Fn(sync::Arc<S>, http_types::Request) -> F + Send + Sync + 'static,
        F: future::Future<Output = http_types::Result<http_types::Response>> + Send + 'static,
    {
        let state = sync::Arc::clone(state);
        let handler: RequestHandler =
            sync::Arc::new(move |request| Box::pin(respond(sync::Arc::clone(&state), request)));
        Self::start(executor, listen, handler)
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// Aborts all connections and refuses new ones for a while.
    pub(crate) fn pause(&self, outage: time::Duration) {
        // Sending fails only after the accept task has been stopped.
        let _ = self.pauses.try_send(outage);
        self.shared.abort_connections();
    }

    /// Aborts all connections and closes the port permanently.
    pub(crate) fn stop(&self) {
        lock(&self.accept_task).take();
        self.shared.abort_connections();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl ServerShared {
    fn abort_connections(&self) {
        let tasks = std::mem::take(&mut lock(&self.connections).tasks);
        drop(tasks);
    }

    fn serve(self: &sync::Arc<Self>, stream: async_net::TcpStream) {
        let shared = sync::Arc::clone(self);
        let mut connections = lock(&self.connections);
        connections.next += 1;
        let number = connections.next;
        let task = self.executor.spawn(async move {
            let handler = &shared.handler;
            // An I/O error affects only this connection.
            let _ = async_h1::accept(stream, |request| handler(request)).await;
            lock(&shared.connections).tasks.remove(&number);
        });
        connections.tasks.insert(number, task);
    }
}

enum AcceptEvent {
    Connection(io::Result<(async_net::TcpStream, net::SocketAddr)>),
    Pause(time::Duration),
}

async fn accept_all(
    shared: sync::Arc<ServerShared>,
    listener: async_io::Async<net::TcpListener>,
    pauses: async_channel::Receiver<time::Duration>,
) {
    let mut listener = async_net::TcpListener::from(listener);
    loop {
        let pause = async {
            let outage = pauses.recv().await.unwrap_or_default();
            AcceptEvent::Pause(outage)
        };
        let connection = async { AcceptEvent::Connection(listener.accept().await) };
        match pause.or(connection).await {
            AcceptEvent::Connection(Ok((stream, _))) => {
                // Failure only increases latency.
                let _ = stream.set_nodelay(true);
                shared.serve(stream);
            }
            AcceptEvent::Connection(Err(_)) => {
                async_io::Timer::after(REBIND_INTERVAL).await;
            }
            AcceptEvent::Pause(outage) => {
                drop(listener);
                shared.abort_connections();
                async_io::Timer::after(outage).await;
                listener = rebind(shared.address).await;
            }
        }
    }
}

async fn rebind(address: net::SocketAddr) -> async_net::TcpListener {
    loop {
        match async_io::Async::<net::TcpListener>::bind(address) {
            Ok(listener) => return listener.into(),
            Err(_) => async_io::Timer::after(REBIND_INTERVAL).await,
        };
    }
}

/// Locks a mutex, ignoring poisoning by a panic in another thread.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

//! Connections to upstreams: direct ones, or tunnels through another instance where this one has lost its path.

use std::io;
use std::net;
use std::sync;
use std::time;

use async_net::TcpStream;
use coltsfoot_gateway::path_table::{PathFailure, UpstreamPath};
use coltsfoot_http::{message, socket};

use crate::event;
use crate::gateway::{state, tunnels};

/// Timeout for connecting.
pub(super) const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Interval between looks for upstreams to probe.
const PROBE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time for which the connection of a probe stays in the pool.
const PROBE_KEEP_ALIVE: time::Duration = time::Duration::from_millis(1500);

/// A connection to an upstream, on which an exchange has begun.
pub(super) struct UpstreamConnection {
    pub(super) stream: message::MessageStream,
    /// Address in the pool; `None` for a tunnel, which serves one exchange.
    pub(super) pool_address: Option<net::SocketAddr>,
}

/// Where a request is to be sent.
pub(super) struct PathTarget<'a> {
    pub(super) upstream: &'a str,
    pub(super) number: u32,
    pub(super) address: net::SocketAddr,
    /// Longest time for which the connection may have been idle.
    pub(super) max_idle: time::Duration,
    /// Id of the request, for logs.
    pub(super) request: &'a str,
}

/// Takes an idle connection to an upstream, or opens one: directly, then through another instance. If the path is
/// lost, another instance is asked first.
pub(super) async fn connect(
    state: &state::GatewayState,
    target: &PathTarget<'_>,
) -> io::Result<UpstreamConnection> {
    let path = current_path(state, target.upstream);
    let (mut stream, pool_address) = match take_idle(state, target, path).await {
        Some(idle) => (idle, Some(target.address)),
        None => open(state, target, path).await?,
    };
    stream.begin_exchange();
    Ok(UpstreamConnection { stream, pool_address })
}

async fn take_idle(
    state: &state::GatewayState,
    target: &PathTarget<'_>,
    path: UpstreamPath,
) -> Option<message::MessageStream> {
    if path == UpstreamPath::Lost(PathFailure::Silent) {
        return None;
    }
    state.pool.take(target.address, target.max_idle).await
}

/// Opens a connection; returns its address in the pool as well if it is direct.
async fn open(
    state: &state::GatewayState,
    target: &PathTarget<'_>,
    path: UpstreamPath,
) -> io::Result<(message::MessageStream, Option<net::SocketAddr>)> {
    let PathTarget { upstream, number, address, request, .. } = *target;
    let direct = async {
        let connected = connect_directly(state, upstream, address).await?;
        Ok((message::MessageStream::new(connected), Some(address)))
    };
    let tunnel = async {
        let stream = tunnels::open(state, upstream, number, request).await;
        stream.map(|stream| (stream, None))
    };
    match path {
        UpstreamPath::Direct => match direct.await {
            Ok(opened) => Ok(opened),
            Err(error) => tunnel.await.ok_or(error),
        },
        UpstreamPath::Lost(_) => match tunnel.await {
            Some(opened) => Ok(opened),
            None => direct.await,
        },
    }
}

/// Opens a connection of this instance to an upstream, and records whether its path is lost.
pub(super) async fn connect_directly(
    state: &state::GatewayState,
    upstream: &str,
    address: net::SocketAddr,
) -> io::Result<TcpStream> {
    let connected = socket::connect_bounded(address, CONNECT_TIMEOUT).await;
    match &connected {
        Ok(_) => {
            let was_lost = state.view().record_contact(state.now(), upstream);
            log_contact(upstream, was_lost);
        }
        Err(error) => record_failure(state, upstream, address, error),
    }
    connected
}

fn current_path(state: &state::GatewayState, upstream: &str) -> UpstreamPath {
    let view = state.view();
    view.upstream(upstream).map_or(UpstreamPath::Direct, |slot| view.path_to(slot))
}

/// Records that an upstream sent something, on a connection of this instance or through a tunnel.
pub(super) fn record_activity(state: &state::GatewayState, upstream: &str, is_direct: bool) {
    let was_lost = {
        let now = state.now();
        let mut view = state.view();
        view.record_activity(now, upstream);
        is_direct && view.record_contact(now, upstream)
    };
    log_contact(upstream, was_lost);
}

fn log_contact(upstream: &str, was_lost: bool) {
    if was_lost {
        log::info!(event = event::PATH_REGAINED.number, upstream = upstream; "path_regained");
    }
}

/// Records that an upstream accepted no direct connection.
pub(super) fn record_failure(
    state: &state::GatewayState,
    upstream: &str,
    address: net::SocketAddr,
    error: &io::Error,
) {
    let failure = match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => PathFailure::Refused,
        _ => PathFailure::Silent,
    };
    let is_new = state.view().record_path_failure(state.now(), upstream, failure);
    if failure == PathFailure::Silent {
        state.pool.close_idle(address);
    }
    if is_new {
        log::info!(event = event::PATH_LOST.number, upstream = upstream; "path_lost: {error}");
    }
}

/// Probes lost and silent upstreams; never returns.
pub(crate) async fn probe_lost(state: sync::Arc<state::GatewayState>) {
    loop {
        async_io::Timer::after(PROBE_CHECK_INTERVAL).await;
        let probes = state.view().start_probes(state.now());
        for (upstream, address) in probes {
            let own = sync::Arc::clone(&state);
            state.spawn("probe", async move { probe(&own, &upstream, address).await });
        }
    }
}

async fn probe(state: &state::GatewayState, upstream: &str, address: net::SocketAddr) {
    if let Ok(connected) = connect_directly(state, upstream, address).await {
        state.pool.put(address, message::MessageStream::new(connected), PROBE_KEEP_ALIVE);
    }
}

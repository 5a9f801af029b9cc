//! Listeners for the load balancer's readiness checks and for metrics.

use std::sync;

use async_net::{TcpListener, TcpStream};
use coltsfoot_gateway::caller_ledger::CallerPhase;
use coltsfoot_http::{header, memory, message};
use futures_lite::future;

use crate::gateway::{caller_table, callers, state};
use crate::task;

/// Connections of one port; further ones replace the slow and the idle ones.
const MAX_CONNECTIONS: usize = 8;
/// Number of ports.
const PORTS: usize = 2;
/// Memory of a request and its response, in bytes.
const EXCHANGE_BYTES: usize = 96 * 1024;
/// Memory of the connections of all ports, in bytes.
pub(super) const MEMORY_BYTES: usize =
    PORTS * MAX_CONNECTIONS * (caller_table::CONNECTION_BYTES + EXCHANGE_BYTES);

/// Responds to the load balancer's readiness checks; never returns.
pub(crate) async fn serve_readiness(state: sync::Arc<state::GatewayState>, listener: TcpListener) {
    let content = |state: &state::GatewayState| {
        let is_ready = !state.is_stopping() && state.routes.load().is_some();
        (if is_ready { 200 } else { 503 }, String::new())
    };
    serve_port(state, listener, content).await;
}

/// Serves metrics; never returns.
pub(crate) async fn serve_metrics(state: sync::Arc<state::GatewayState>, listener: TcpListener) {
    let content = |state: &state::GatewayState| (200, state.metrics.to_text());
    serve_port(state, listener, content).await;
}

/// Serves the same content for every method and path.
async fn serve_port(
    state: sync::Arc<state::GatewayState>,
    listener: TcpListener,
    content: impl Fn(&state::GatewayState) -> (u16, String) + Copy + Send + Sync + 'static,
) {
    let table = caller_table::CallerTable::new(MAX_CONNECTIONS, state.memory.operators());
    let table = sync::Arc::new(table);
    let mut pacer = task::StepPacer::default();
    loop {
        pacer.step().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                // None of them counts as being served.
                let Some(place) = table.open(|| state.now()).await else { continue };
                let own = sync::Arc::clone(&state);
                let serve = async move { serve_operator(&own, stream, &place, content).await };
                state.spawn("operator", serve);
            }
            Err(error) => {
                log::warn!("could not accept an operator: {error}");
                async_io::Timer::after(callers::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_operator(
    state: &state::GatewayState,
    stream: TcpStream,
    place: &caller_table::CallerPlace,
    content: impl Fn(&state::GatewayState) -> (u16, String),
) {
    let mut operator = place.wrap(stream);
    let give_way = async {
        place.wait_give_way().await;
        None
    };
    let serve = async {
        while serve_request(state, &mut operator, place, &content).await.is_some() {}
        None::<()>
    };
    future::or(give_way, serve).await;
}

/// Serves one request; returns `None` if the connection is to be closed. A response that is not taken gives way
/// to new connections as a slow request does.
async fn serve_request(
    state: &state::GatewayState,
    operator: &mut message::MessageStream,
    place: &caller_table::CallerPlace,
    content: impl Fn(&state::GatewayState) -> (u16, String),
) -> Option<()> {
    let limits = callers::limits(state);
    place.enter(state.now(), CallerPhase::Idle);
    let mut lease = memory::MemoryLease::new(state.memory.operators());
    let read = async {
        operator.wait_message().await.ok().filter(|has_begun| *has_begun)?;
        place.enter(state.now(), CallerPhase::Reading);
        operator.read_request_within(limits.max_head_bytes, &mut lease).await.ok()
    };
    let request = message::with_timeout(limits.idle_timeout, read).await??;
    let wants_close = request.wants_close();
    drop(request);
    let (status, body) = content(state);
    lease.grow_to(2 * body.len()).then_some(())?;
    let mut head = header::ResponseHead::new(status);
    if !body.is_empty() {
        head.headers.push("Content-Type", "text/plain; version=0.0.4");
    }
    head.headers.push("Content-Length", body.len().to_string());
    let mut bytes = head.encode();
    bytes.extend_from_slice(body.as_bytes());
    drop(body);
    operator.write(&bytes).await.ok()?;
    (!wants_close).then_some(())
}

//! Tunnels to upstreams: connections through another instance, which passes the bytes on.
//!
//! The instance that took the request decides everything about it, as on a connection of its own. The other one
//! reads nothing of what it passes on, and ends both connections as the first of them ends: in order or by a
//! reset.

use std::io;
use std::net;
use std::sync;
use std::time;

use async_net::{TcpListener, TcpStream};
use coltsfoot_gateway::path_table::UpstreamPath;
use coltsfoot_http::{memory, message, socket};
use coltsfoot_wire::tunnel::{self, TunnelRequest, TunnelResponse};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use rand::seq::SliceRandom as _;

use crate::gateway::{paths, state, stop};
use crate::{event, task};

/// Instances that are asked for a tunnel until one has opened it.
const MAX_CARRIERS: usize = 2;
/// Timeout for opening a tunnel: connecting to the other instance, and its connecting to the upstream.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Timeout for reading what an accepted tunnel leads to.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Memory of a tunnel: a buffer for each direction, the receive buffers of both connections, and its task.
const TUNNEL_BYTES: usize = 2 * (8 * 1024 + socket::UNREAD_BYTES) + 4 * 1024;
/// Longest part of a request's id that is sent along.
const MAX_ID_BYTES: usize = 64;
/// Delay after a failed `accept`, usually for lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Opens a tunnel to an upstream through one of the instances that probably reach it, of the own zone if there
/// is one.
pub(super) async fn open(
    state: &state::GatewayState,
    upstream: &str,
    number: u32,
    request_id: &str,
) -> Option<message::MessageStream> {
    for carrier in choose_carriers(state, number) {
        let begun = state.now();
        let asked = ask_carrier(carrier, number, request_id);
        let result = message::with_timeout(OPEN_TIMEOUT, asked).await;
        let (code, stream) = match result {
            Some(Ok((TunnelResponse::Connected, stream))) => ("connected", Some(stream)),
            Some(Ok((response, _))) => (response.code(), None),
            Some(Err(_)) | None => ("unanswered", None),
        };
        state.metrics.count_tunnel(code);
        log::info!(
            event = event::TUNNEL_ASKED.number, request = request_id,
            upstream = upstream, carrier = carrier.to_string(), verdict = code,
            ms = state.now().since(begun).as_millis() as u64; "tunnel_asked"
        );
        if stream.is_some() {
            return stream.map(message::MessageStream::new);
        }
    }
    None
}

/// Returns whether another instance connects to an upstream that refuses this one.
pub(super) async fn is_reached(state: &state::GatewayState, upstream: &str) -> bool {
    let number = state.view().upstream(upstream).map(|slot| slot.number);
    let Some(number) = number else { return false };
    open(state, upstream, number, "").await.is_some()
}

/// Returns instances to ask for a tunnel, in random order within a zone, so that they share the load.
fn choose_carriers(state: &state::GatewayState, number: u32) -> Vec<net::SocketAddr> {
    let carriers = state.view().carriers(state.now(), number, &state.settings.zone);
    let (mut same_zone, mut cross_zone) = carriers;
    same_zone.shuffle(&mut rand::rng());
    cross_zone.shuffle(&mut rand::rng());
    same_zone.into_iter().chain(cross_zone).take(MAX_CARRIERS).collect()
}

async fn ask_carrier(
    carrier: net::SocketAddr,
    number: u32,
    request_id: &str,
) -> io::Result<(TunnelResponse, TcpStream)> {
    let id = request_id.get(..request_id.len().min(MAX_ID_BYTES)).unwrap_or_default();
    let request = TunnelRequest { upstream: number, request: id.to_owned() };
    let mut stream = socket::connect(carrier, paths::CONNECT_TIMEOUT).await?;
    write_message(&mut stream, &request).await?;
    let response = read_message(&mut stream).await?;
    Ok((response, stream))
}

async fn write_message(stream: &mut TcpStream, message: &impl serde::Serialize) -> io::Result<()> {
    let bytes = tunnel::encode_message(message).map_err(io::Error::other)?;
    stream.write_all(&bytes).await
}

async fn read_message<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let mut prefix = [0; 2];
    stream.read_exact(&mut prefix).await?;
    let length = tunnel::message_length(prefix).ok_or(io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    tunnel::decode_message(&bytes).map_err(io::Error::other)
}

/// Accepts tunnels of other instances; never returns.
pub(crate) async fn accept(state: sync::Arc<state::GatewayState>, listener: TcpListener) {
    let mut pacer = task::StepPacer::default();
    loop {
        pacer.step().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                // Its own callers come first; the other instance asks a further one.
                let mut lease = state.memory.request_lease();
                let open = state.tunnels.count();
                if open >= state.max_tunnels || !lease.grow_to(TUNNEL_BYTES) {
                    let verdict = TunnelResponse::Full.code();
                    log::info!(
                        event = event::TUNNEL_SERVED.number, verdict = verdict, open = open;
                        "tunnel_served"
                    );
                    continue;
                }
                let open = (state.tunnels.enter(), state.stop.sockets.enter(), lease);
                let task = serve(sync::Arc::clone(&state), stream, open);
                state.spawn("tunnel", task);
            }
            Err(error) => {
                log::warn!("could not accept a tunnel: {error}");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(
    state: sync::Arc<state::GatewayState>,
    mut near: TcpStream,
    _open: (stop::OpenGuard, stop::OpenGuard, memory::MemoryLease),
) {
    if let Err(error) = socket::enable_keepalive(&near) {
        log::debug!("could not enable TCP keep-alive: {error}");
    }
    let read = message::with_timeout(REQUEST_TIMEOUT, read_message(&mut near)).await;
    let request: TunnelRequest = match read {
        Some(Ok(request)) => request,
        Some(Err(error)) => {
            log::warn!(event = event::PEER_MESSAGE_REFUSED.number; "peer_message_refused: {error}");
            return;
        }
        None => return,
    };
    let (response, far) = match connect_upstream(&state, &request).await {
        Ok(far) => (TunnelResponse::Connected, Some(far)),
        Err(refusal) => (refusal, None),
    };
    log::info!(
        event = event::TUNNEL_SERVED.number, request = request.request.as_str(),
        number = request.upstream, verdict = response.code(), open = state.tunnels.count();
        "tunnel_served"
    );
    if write_message(&mut near, &response).await.is_ok()
        && let Some(far) = far
    {
        pass_bytes(near, far).await;
    }
}

async fn connect_upstream(
    state: &state::GatewayState,
    request: &TunnelRequest,
) -> Result<TcpStream, TunnelResponse> {
    if state.is_stopping() {
        return Err(TunnelResponse::Full);
    }
    let (id, address) = {
        let view = state.view();
        let id = view.upstream_id(request.upstream).ok_or(TunnelResponse::Closed)?;
        let slot = view.sendable_upstream(state.now(), id).map_err(|_| TunnelResponse::Closed)?;
        if view.path_to(slot) != UpstreamPath::Direct {
            return Err(TunnelResponse::Unreached);
        }
        (sync::Arc::clone(id), slot.entry.address)
    };
    let connected = paths::connect_directly(state, &id, address).await;
    connected.map_err(|_| TunnelResponse::Unreached)
}

/// Passes bytes on in both directions until one connection ends. Unless it ends in order, both are reset, also
/// by the end of this process: a response that ends with its connection must not look complete.
async fn pass_bytes(near: TcpStream, far: TcpStream) {
    let set_reset_on_close = |resets| {
        [&near, &far].into_iter().try_for_each(|end| socket::set_reset_on_close(end, resets))
    };
    if let Err(error) = set_reset_on_close(true) {
        log::warn!("could not prepare a tunnel: {error}");
        return;
    }
    let down = futures_lite::io::copy(far.clone(), near.clone());
    let up = futures_lite::io::copy(near.clone(), far.clone());
    let ended = future::or(down, up).await;
    if ended.is_ok()
        && let Err(error) = set_reset_on_close(false)
    {
        log::debug!("could not close a tunnel in order: {error}");
    }
}

//! The listener for callers.

use std::sync;
use std::time;

use async_net::{TcpListener, TcpStream};
use coltsfoot_gateway::caller_ledger::CallerPhase;
use coltsfoot_gateway::{idle_connection, rules, stop_plan, upstream_search};
use coltsfoot_http::{body, header, memory, message, socket};
use futures_lite::{AsyncWriteExt as _, future};
use site_platform::fields;

use crate::gateway::{caller_table, exchange, request_log, serving_memory, state, stop};
use crate::{event, task};

/// Limits until a configuration is known.
const DEFAULT_LIMITS: rules::CallerLimits = rules::CallerLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    head_timeout: time::Duration::from_secs(3),
    idle_timeout: time::Duration::from_secs(15),
};
/// Timeout for reading a body, from the end of the head.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time that a caller gets to read the last response before its connection is closed.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Maximum number of bytes that are read and dropped meanwhile.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Connections that are being refused at a time for want of room.
const MAX_REFUSALS: usize = 32;
/// Memory of them, in bytes.
pub(super) const REFUSAL_BYTES: usize = MAX_REFUSALS * (socket::UNREAD_BYTES + 8 * 1024);
/// Delay after a failed `accept`, usually for lack of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts callers until a stop closes the listener. Those that wait in its queue by then are accepted
/// first, so that they are refused and not reset.
pub(crate) async fn accept(
    state: sync::Arc<state::GatewayState>,
    listener: TcpListener,
    _open: stop::OpenGuard,
) {
    let mut pacer = task::StepPacer::default();
    loop {
        pacer.step().await;
        let accept = async { Some(listener.accept().await) };
        let close = async {
            state.stop.wait_for(stop_plan::StopPhase::Closing).await;
            None
        };
        let Some(accepted) = future::or(accept, close).await else { return };
        match accepted {
            Ok((stream, _)) => {
                let open = state.stop.sockets.enter();
                admit_caller(&state, stream, open).await;
            }
            Err(error) => {
                log::warn!("could not accept a caller: {error}");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection on a task of its own, or refuses it there if there is no room for it.
async fn admit_caller(
    state: &sync::Arc<state::GatewayState>,
    stream: TcpStream,
    open: stop::OpenGuard,
) {
    loop {
        if let Some(place) = state.callers.open(|| state.now()).await {
            let serve = serve_caller(sync::Arc::clone(state), stream, place, open);
            return state.spawn("caller", serve);
        }
        if state.refusals.count() < MAX_REFUSALS {
            let open = (open, state.refusals.enter());
            let refuse = refuse_caller(sync::Arc::clone(state), stream, open);
            return state.spawn("refusal", refuse);
        }
        async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
    }
}

/// Refuses a connection for which there is no room, as all others are being served.
async fn refuse_caller(
    state: sync::Arc<state::GatewayState>,
    stream: TcpStream,
    _open: (stop::OpenGuard, stop::OpenGuard),
) {
    let mut caller = message::MessageStream::new(stream);
    let rejection = Rejection::unavailable("too_many_connections");
    if reject(&state, &mut caller, &rejection).await == exchange::ConnectionUse::Close {
        linger(&mut caller).await;
    }
}

pub(super) fn limits(state: &state::GatewayState) -> rules::CallerLimits {
    let routes = state.routes.load();
    routes.as_ref().map_or(DEFAULT_LIMITS, |routes| routes.rules().limits)
}

async fn serve_caller(
    state: sync::Arc<state::GatewayState>,
    stream: TcpStream,
    place: caller_table::CallerPlace,
    _open: stop::OpenGuard,
) {
    if let Err(error) = socket::enable_keepalive(&stream) {
        log::debug!("could not enable TCP keep-alive: {error}");
    }
    let mut caller = place.wrap(stream);
    loop {
        place.enter(state.now(), CallerPhase::Idle);
        let give_way = async { Err(place.wait_give_way().await) };
        if let Err(end) = future::or(give_way, wait_request(&state, &mut caller)).await {
            log_idle_end(&state, end);
            return;
        }
        let _active = state.stop.requests.enter();
        place.enter(state.now(), CallerPhase::Reading);
        let give_way = async { Err(Rejection::unavailable(place.wait_give_way().await)) };
        let limits = limits(&state);
        let take = take_request(&state, &mut caller, &limits, &place);
        let request = future::or(give_way, take).await;
        let is_kept = match request {
            // Boxed, as an idle connection would hold the space.
            Ok(request) => Box::pin(serve_request(&state, &mut caller, request)).await,
            Err(rejection) => {
                // Its memory was given back, which others may wait for.
                place.enter(state.now(), CallerPhase::Ending);
                reject(&state, &mut caller, &rejection).await
            }
        };
        match is_kept {
            exchange::ConnectionUse::Keep => {}
            exchange::ConnectionUse::Abort => return,
            exchange::ConnectionUse::Close => {
                place.enter(state.now(), CallerPhase::Ending);
                let give_way = async { _ = place.wait_give_way().await };
                return future::or(give_way, linger(&mut caller)).await;
            }
        }
    }
}

/// Logs the end of a connection without a request in progress; ends by the caller are only counted.
fn log_idle_end(state: &state::GatewayState, reason: &'static str) {
    state.metrics.count_connection(reason);
    if matches!(reason, "idle" | "stopping" | "too_many_connections" | "no_memory") {
        log::info!(event = event::CONNECTION_CLOSED.number, reason = reason; "connection_closed");
    }
}

/// Waits for the first byte of a request, or returns why the connection should be closed instead.
async fn wait_request(
    state: &state::GatewayState,
    caller: &mut message::MessageStream,
) -> Result<(), &'static str> {
    let idle = idle_connection::IdleConnection::begin(state.now(), limits(state).idle_timeout);
    loop {
        let is_closing = state.stop.is_closing();
        let left = match is_closing {
            true => idle.time_left_in_stop(state.now()),
            false => idle.time_left(state.now(), limits(state).idle_timeout),
        };
        let wait = async {
            Some(match caller.wait_message().await {
                Ok(true) => Ok(()),
                Ok(false) => Err(request_log::end_code(message::PeerEnd::Closed)),
                Err(_) => Err(request_log::end_code(message::PeerEnd::Failed)),
            })
        };
        let expire = async {
            async_io::Timer::after(left).await;
            None
        };
        let begin_closing = async {
            if is_closing {
                future::pending::<()>().await;
            }
            state.stop.wait_for(stop_plan::StopPhase::Closing).await;
            None
        };
        // The socket is looked at first: a request that waits there is read before any limit counts.
        if let Some(waited) = future::or(wait, future::or(expire, begin_closing)).await {
            return waited;
        }
        if left.is_zero() {
            return Err(if is_closing { "stopping" } else { "idle" });
        }
    }
}

/// A request that was read completely.
pub(crate) struct ReceivedRequest {
    pub head: header::RequestHead,
    pub body: Vec<u8>,
    /// The memory that it may need until it is served.
    _lease: memory::MemoryLease,
}

impl ReceivedRequest {
    /// Returns the memory of an attempt beside the one that is charged with the request.
    pub fn attempt_bytes(&self) -> usize {
        serving_memory::attempt_bytes(&self.head, self.body.len())
    }
}

/// Why a request is rejected before it was read completely.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    status: u16,
    /// Reason for the log.
    reason: &'static str,
}

impl Rejection {
    fn unavailable(reason: &'static str) -> Self {
        Self { status: 503, reason }
    }
}

/// Reads a request and takes what it needs to be served, or returns why it is rejected.
async fn take_request(
    state: &state::GatewayState,
    caller: &mut message::MessageStream,
    limits: &rules::CallerLimits,
    place: &caller_table::CallerPlace,
) -> Result<ReceivedRequest, Rejection> {
    let mut reader = RequestReader { state, place, lease: state.memory.request_lease() };
    let (head, body) = reader.read(caller, limits).await?;
    let held = memory::decoded_head_bytes(head.encoded_length(), head.headers.iter().count());
    let needed = held + body.capacity() + serving_memory::needed_bytes(&head, body.len());
    let mut lease = reader.lease;
    if !place.reserve(|| state.now(), &mut lease, needed).await {
        return Err(Rejection::unavailable("no_memory"));
    }
    if !place.begin_serving(|| state.now()).await {
        return Err(Rejection::unavailable("too_many_connections"));
    }
    Ok(ReceivedRequest { head, body, _lease: lease })
}

/// Reads a request into memory that is charged before. If there is none, other connections give way.
struct RequestReader<'a> {
    state: &'a state::GatewayState,
    place: &'a caller_table::CallerPlace,
    lease: memory::MemoryLease,
}

impl RequestReader<'_> {
    /// Reads a request, or returns why it is rejected.
    async fn read(
        &mut self,
        caller: &mut message::MessageStream,
        limits: &rules::CallerLimits,
    ) -> Result<(header::RequestHead, Vec<u8>), Rejection> {
        const HEAD_TIMEOUT: Rejection = Rejection { status: 408, reason: "head_timeout" };
        const BODY_TIMEOUT_PASSED: Rejection = Rejection { status: 408, reason: "body_timeout" };

        let read = self.read_head(caller, limits.max_head_bytes);
        let head = match message::with_timeout(limits.head_timeout, read).await {
            None => return Err(HEAD_TIMEOUT),
            Some(Err(error)) => return Err(rejection_of(&error)),
            Some(Ok(head)) => head,
        };
        if head.minor_version == 0 {
            return Err(Rejection { status: 505, reason: "http_version" });
        }
        let framing = body::BodyFraming::of_request(&head.headers)
            .map_err(|_| Rejection { status: 400, reason: "ambiguous_framing" })?;
        let reader = message::BodyReader::new(framing, limits.max_body_bytes);
        let reader = reader.map_err(|error| rejection_of(&error))?;
        let expects_continue = head.headers.contains_token("expect", "100-continue");
        if expects_continue && framing != body::BodyFraming::Done {
            let interim = header::ResponseHead::new(100).encode();
            let written = caller.write(&interim).await;
            written.map_err(|_| Rejection { status: 400, reason: "caller_reset" })?;
        }
        let read = self.read_body(caller, reader.behind(self.lease.counted()));
        match message::with_timeout(BODY_TIMEOUT, read).await {
            None => Err(BODY_TIMEOUT_PASSED),
            Some(Err(error)) => Err(rejection_of(&error)),
            Some(Ok(body)) => Ok((head, body)),
        }
    }

    async fn read_head(
        &mut self,
        caller: &mut message::MessageStream,
        max_bytes: usize,
    ) -> Result<header::RequestHead, message::ReadError> {
        loop {
            let read = caller.read_head_part(max_bytes, &mut self.lease).await;
            match read {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => self.record_held(caller),
                Err(error) => self.release_or(error).await?,
            }
        }
    }

    async fn read_body(
        &mut self,
        caller: &mut message::MessageStream,
        mut reader: message::BodyReader,
    ) -> Result<Vec<u8>, message::ReadError> {
        loop {
            match reader.read_some(caller, &mut self.lease).await {
                Ok(true) => return Ok(reader.into_body()),
                Ok(false) => self.record_held(caller),
                Err(error) => self.release_or(error).await?,
            }
        }
    }

    fn record_held(&self, caller: &message::MessageStream) {
        self.place.hold(caller.counted() + self.lease.counted());
    }

    /// Waits until another connection gave way if memory was short; returns the error if none does, or if it
    /// is another one.
    async fn release_or(&self, error: message::ReadError) -> Result<(), message::ReadError> {
        let is_short = matches!(error, message::ReadError::NoMemory);
        match is_short && self.place.wait_release(self.state.now()).await {
            true => Ok(()),
            false => Err(error),
        }
    }
}

fn rejection_of(error: &message::ReadError) -> Rejection {
    let (status, reason) = match error {
        message::ReadError::HeadTooLong(_) => (431, "head_too_long"),
        message::ReadError::BodyTooLong(_) => (413, "body_too_long"),
        message::ReadError::NoMemory => (503, "no_memory"),
        message::ReadError::Closed => (400, request_log::end_code(message::PeerEnd::Closed)),
        message::ReadError::Io(_) => (400, request_log::end_code(message::PeerEnd::Failed)),
        message::ReadError::Malformed(_) | message::ReadError::Framing(_) => (400, "malformed"),
    };
    Rejection { status, reason }
}

async fn reject(
    state: &state::GatewayState,
    caller: &mut message::MessageStream,
    rejection: &Rejection,
) -> exchange::ConnectionUse {
    let retry_after = (rejection.status == 503).then_some(upstream_search::RETRY_PAUSE);
    let mut head = fields::local_reply(rejection.status, None, retry_after);
    head.headers.push("Content-Length", "0");
    head.headers.push("Connection", "close");
    let is_written = caller.write(&head.encode()).await.is_ok();
    state.metrics.count_connection(rejection.reason);
    log::info!(
        event = event::REQUEST_REJECTED.number, status = rejection.status,
        reason = rejection.reason, delivered = is_written;
        "request_rejected"
    );
    if is_written { exchange::ConnectionUse::Close } else { exchange::ConnectionUse::Abort }
}

/// Waits for the caller to read the last response: closing with unread bytes would reset the
/// connection.
async fn linger(caller: &mut message::MessageStream) {
    let mut writer = caller.writer();
    if writer.close().await.is_ok() {
        message::with_timeout(LINGER_TIMEOUT, caller.discard_until_closed(MAX_LINGER_BYTES)).await;
    }
}

/// Serves one request; returns what happens to the connection.
async fn serve_request(
    state: &sync::Arc<state::GatewayState>,
    caller: &mut message::MessageStream,
    request: ReceivedRequest,
) -> exchange::ConnectionUse {
    let mut writer = caller.writer();
    let exchange = exchange::CallerExchange::new(state, request);
    let mut log = request_log::RequestLog::begin(&exchange);
    let serve = async { Ok(exchange.serve(&mut writer, &mut log).await) };
    let disconnect = async { Err(request_log::end_code(caller.wait_closed().await)) };
    let end_process = async {
        state.stop.wait_for(stop_plan::StopPhase::Ended).await;
        Err(request_log::DROPPED)
    };
    // The caller's end is looked at first: it may lie behind the request when that is read late.
    let served = future::or(disconnect, future::or(serve, end_process)).await;
    let end = match served {
        Ok(exchange::ConnectionUse::Keep) => "kept",
        Ok(exchange::ConnectionUse::Close) => "closed",
        Ok(exchange::ConnectionUse::Abort) => "aborted",
        Err(end) => end,
    };
    log.write(end);
    if end != "kept" {
        state.metrics.count_connection(end);
    }
    served.unwrap_or(exchange::ConnectionUse::Abort)
}

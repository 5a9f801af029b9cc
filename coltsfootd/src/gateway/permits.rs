//! Permits to send to an upstream that announced a rate limit or is cold. One instance issues them for the
//! whole fleet; this module requests and issues them.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::fleet_view::permit_issuers::{PermitIssuer, PermitIssuers};
use coltsfoot_gateway::limit_table::{self, LimitChange};
use coltsfoot_gateway::send_permits::{self, PermitClass};
use coltsfoot_http::message;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{fleet, pending_calls, state};

/// Timeout for a response, after which the next candidate issuer is asked.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(60);
/// Time for which an upstream is excluded if no issuer responds: one heartbeat interval, after
/// which this instance may know the current issuer.
const UNANSWERED_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Longest time from the preparation of a request to a cold upstream, at once after its permit, until it is sent.
const MAX_SEND_DELAY: time::Duration = time::Duration::from_millis(150);
/// Minimum time for which an upstream is excluded, so that a search does not retry at once.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Permits that this instance has issued, and its requests to other issuers.
#[derive(Default)]
pub(crate) struct PermitState {
    ledger: sync::Mutex<send_permits::PermitLedger>,
    /// Permit requests that wait for a response.
    pub calls: pending_calls::PendingCalls<wire::PermitDecision>,
}

/// Destination and purpose of a message to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendContext<'a> {
    pub(super) upstream: &'a str,
    /// Number of the upstream's incarnation.
    pub(super) number: u32,
    pub(super) purpose: limit_table::SendPurpose,
    /// Id of the caller's request; empty for orders and reports.
    pub(super) request: &'a str,
}

/// Acquires a permit to send to an upstream now; without a limit none is needed. If denied,
/// returns the time after which one may be available.
pub(super) async fn acquire(
    state: &state::GatewayState,
    context: SendContext<'_>,
) -> Result<(), time::Duration> {
    let Some(limit) = current_limit(state, context) else { return Ok(()) };
    let decision = request_permit(state, limit, context.purpose.class()).await;
    let code = match decision {
        Some(wire::PermitDecision::Granted) => "granted",
        Some(wire::PermitDecision::Denied(_)) => "denied",
        Some(wire::PermitDecision::NotIssuer) | None => "unanswered",
    };
    state.metrics.count_permit(code, context.purpose.code());
    log::info!(
        event = event::LIMITED_SEND.number, upstream = context.upstream, verdict = code,
        limit_thousandths = limit.named.limit_thousandths.unwrap_or_default(),
        limit_age_ms = limit.named.response_age_ms,
        cold_ms = limit.cold.map(|cold| cold.remaining_ms), purpose = context.purpose.code(),
        request = context.request; "limited_send"
    );
    match decision {
        Some(wire::PermitDecision::Granted) => Ok(()),
        Some(wire::PermitDecision::Denied(wait_ms)) => {
            Err(time::Duration::from_millis(u64::from(wait_ms)).max(MIN_PAUSE))
        }
        Some(wire::PermitDecision::NotIssuer) | None => Err(UNANSWERED_PAUSE),
    }
}

/// A limit, as messages carry it.
#[derive(Clone, Copy, Debug)]
struct LimitMessage {
    /// The limit that the upstream named, or its absence.
    named: wire::UpstreamLimit,
    /// The upstream, if it is cold.
    cold: Option<wire::ColdUpstream>,
}

/// Returns the limit that a send falls under. An upstream that is cold answers reports all the same.
fn current_limit(state: &state::GatewayState, context: SendContext<'_>) -> Option<LimitMessage> {
    let (now, number) = (state.now(), context.number);
    let view = state.view();
    let named = view.limits().limit_message(now, number);
    let is_limited = match context.purpose {
        limit_table::SendPurpose::Report => named.is_some(),
        _ => view.send_limit(now, number).is_some(),
    };
    let cold = view.cold().message(now, number);
    is_limited.then(|| LimitMessage { named: named.unwrap_or(unnamed_limit(number)), cold })
}

/// Returns the message about an upstream that named no limit, which is too old to end one that the receiver knows.
fn unnamed_limit(upstream: u32) -> wire::UpstreamLimit {
    wire::UpstreamLimit {
        upstream,
        limit_thousandths: None,
        request_age_ms: u32::MAX,
        response_age_ms: u32::MAX,
    }
}

/// Returns whether a request that was prepared at `prepared` may no longer be sent: requests to a cold upstream that
/// were held up would arrive together.
pub(super) fn is_overdue(
    state: &state::GatewayState,
    number: u32,
    prepared: instant::MonotonicTime,
) -> bool {
    let now = state.now();
    now.since(prepared) > MAX_SEND_DELAY && state.view().cold().is_cold(now, number)
}

/// Asks the candidate issuers in rank order until one grants or denies the permit.
async fn request_permit(
    state: &state::GatewayState,
    limit: LimitMessage,
    class: PermitClass,
) -> Option<wire::PermitDecision> {
    let mut last = None;
    let number = limit.named.upstream;
    for (rank, issuer) in candidate_issuers(state, number).into_iter().enumerate() {
        let decision = match issuer {
            PermitIssuer::Own if rank == 0 => Some(grant(state, number, class)),
            PermitIssuer::Own => Some(wire::PermitDecision::NotIssuer),
            PermitIssuer::Peer(address) => request_from_peer(state, address, limit, class).await,
        };
        last = decision;
        if !matches!(decision, None | Some(wire::PermitDecision::NotIssuer)) {
            break;
        }
    }
    last
}

fn candidate_issuers(state: &state::GatewayState, number: u32) -> PermitIssuers {
    let (own, zone) = (state.own_member(), &state.settings.zone);
    state.view().permit_issuers(state.now(), number, own, zone, state.is_stopping())
}

async fn request_from_peer(
    state: &state::GatewayState,
    issuer: net::SocketAddr,
    limit: LimitMessage,
    class: PermitClass,
) -> Option<wire::PermitDecision> {
    let call = state.permits.calls.register();
    let reply_to = state.settings.fleet_address();
    let request = wire::PermitRequest {
        correlation_id: call.id,
        reply_to,
        limit: limit.named,
        is_control: class == PermitClass::Control,
    };
    if let Some(cold) = limit.cold {
        // An issuer that does not know would not limit anything.
        fleet::send(state, [issuer], &wire::FleetMessage::ColdUpstreams(vec![cold]));
    }
    fleet::send(state, [issuer], &wire::FleetMessage::PermitRequest(request));
    message::with_timeout(RESPONSE_TIMEOUT, call.responses.recv()).await?.ok()
}

/// Issues a permit for one send, or returns the wait until one is available.
fn grant(state: &state::GatewayState, number: u32, class: PermitClass) -> wire::PermitDecision {
    let now = state.now();
    let Some(limit) = state.view().permit_limit(now, number) else {
        return wire::PermitDecision::Granted;
    };
    match state::lock(&state.permits.ledger).acquire(now, number, limit, class) {
        Ok(()) => wire::PermitDecision::Granted,
        Err(wait) => {
            wire::PermitDecision::Denied(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
        }
    }
}

/// Responds to another instance's permit request.
pub(super) fn respond(state: &state::GatewayState, request: &wire::PermitRequest) {
    handle_reported_limit(state, &request.limit);
    let number = request.limit.upstream;
    let is_issuer = candidate_issuers(state, number).first() == Some(&PermitIssuer::Own);
    let class = if request.is_control { PermitClass::Control } else { PermitClass::Request };
    let decision =
        if is_issuer { grant(state, number, class) } else { wire::PermitDecision::NotIssuer };
    let response = wire::PermitResponse { correlation_id: request.correlation_id, decision };
    fleet::send(state, [request.reply_to], &wire::FleetMessage::PermitResponse(response));
}

/// Records the limit stated in a response to this instance, and sends significant changes to the
/// peers.
pub(super) fn record_limit(
    state: &state::GatewayState,
    context: &SendContext<'_>,
    sent: instant::MonotonicTime,
    per_s: Option<f64>,
) {
    let now = state.now();
    let observation = limit_table::LimitObservation { per_s, sent, received: now };
    let change = state.view().limits_mut().record(now, context.number, observation);
    if change != LimitChange::Significant {
        return;
    }
    log_limit(context.upstream, per_s, context.purpose.code());
    let limit = observation.to_message(now, context.number);
    let addresses = state.view().peer_addresses();
    fleet::send(state, addresses, &wire::FleetMessage::Limits(vec![limit]));
}

/// Records a limit that another instance reports.
pub(super) fn handle_reported_limit(state: &state::GatewayState, limit: &wire::UpstreamLimit) {
    let now = state.now();
    let observation = limit_table::LimitObservation::from_message(now, limit);
    let mut view = state.view();
    if view.limits_mut().record(now, limit.upstream, observation) == LimitChange::Significant {
        // Unknown here if the other instance read the upstream's entry first.
        let upstream = view.upstream_id(limit.upstream).cloned().unwrap_or_default();
        log_limit(&upstream, observation.per_s, "told");
    }
}

fn log_limit(upstream: &str, per_s: Option<f64>, source: &str) {
    log::info!(
        event = event::UPSTREAM_LIMITED.number, upstream = upstream,
        per_s = per_s.unwrap_or(-1.0), source = source; "upstream_limited"
    );
}

/// Sends the known limits to an instance.
pub(super) fn send_known(state: &state::GatewayState, address: net::SocketAddr) {
    let limits = state.view().limits().limits_to_resend(state.now());
    if !limits.is_empty() {
        fleet::send(state, [address], &wire::FleetMessage::Limits(limits));
    }
}

//! Leave to send something to an upstream that named a limit: asked of the instance that gives it for
//! all, or given.

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
use crate::gateway::{asks, fleet, state};

/// Time for an answer, after which the next instance is asked.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(60);
/// Time for which an upstream is left out if no instance gives leave: one beat, after which this instance
/// may know who does.
const UNANSWERED_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Shortest time for which an upstream is left out, so that a search does not ask again at once.
const SHORTEST_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Leave that this instance gives, and questions for leave to others.
#[derive(Default)]
pub(crate) struct PermitState {
    ledger: sync::Mutex<send_permits::PermitLedger>,
    /// Questions that wait for an answer.
    pub asks: asks::OpenAsks<wire::PermitDecision>,
}

/// Something that is about to be sent, or was.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendPlan<'a> {
    pub(super) upstream: &'a str,
    /// Number of its incarnation.
    pub(super) number: u32,
    pub(super) purpose: limit_table::SendPurpose,
    /// Id of a caller's request.
    pub(super) request: &'a str,
}

/// Asks for leave to send something to an upstream now. Without leave, returns the time after which
/// there may be some.
pub(super) async fn obtain(
    state: &state::GatewayState,
    plan: SendPlan<'_>,
) -> Result<(), time::Duration> {
    let limit = state.view().limits().limit_message(state.now(), plan.number);
    let Some(limit) = limit else { return Ok(()) };
    let verdict = ask_givers(state, limit, plan.purpose.class()).await;
    let code = match verdict {
        Some(wire::PermitDecision::Granted) => "granted",
        Some(wire::PermitDecision::Denied(_)) => "denied",
        Some(wire::PermitDecision::NotIssuer) | None => "unanswered",
    };
    state.metrics.count_permit(code, plan.purpose.code());
    log::info!(
        event = event::LIMITED_SEND.number, upstream = plan.upstream, verdict = code,
        limit_thousandths = limit.limit_thousandths.unwrap_or_default(),
        limit_age_ms = limit.response_age_ms, purpose = plan.purpose.code(),
        request = plan.request; "limited_send"
    );
    match verdict {
        Some(wire::PermitDecision::Granted) => Ok(()),
        Some(wire::PermitDecision::Denied(wait_ms)) => {
            Err(time::Duration::from_millis(u64::from(wait_ms)).max(SHORTEST_PAUSE))
        }
        Some(wire::PermitDecision::NotIssuer) | None => Err(UNANSWERED_PAUSE),
    }
}

/// Asks those who may give leave, until one of them does or says when.
async fn ask_givers(
    state: &state::GatewayState,
    limit: wire::UpstreamLimit,
    class: PermitClass,
) -> Option<wire::PermitDecision> {
    let mut last = None;
    for (rank, giver) in givers(state, limit.upstream).into_iter().enumerate() {
        let verdict = match giver {
            PermitIssuer::Own if rank == 0 => Some(give(state, limit.upstream, class)),
            PermitIssuer::Own => Some(wire::PermitDecision::NotIssuer),
            PermitIssuer::Peer(address) => ask(state, address, limit, class).await,
        };
        last = verdict;
        if !matches!(verdict, None | Some(wire::PermitDecision::NotIssuer)) {
            break;
        }
    }
    last
}

fn givers(state: &state::GatewayState, number: u32) -> PermitIssuers {
    let (own, zone) = (state.own_member(), &state.settings.zone);
    state.view().permit_issuers(state.now(), number, own, zone, state.is_stopping())
}

async fn ask(
    state: &state::GatewayState,
    giver: net::SocketAddr,
    limit: wire::UpstreamLimit,
    class: PermitClass,
) -> Option<wire::PermitDecision> {
    let open = state.permits.asks.begin();
    let reply_to = state.settings.fleet_address();
    let question = wire::PermitRequest {
        correlation_id: open.number,
        reply_to,
        limit,
        is_control: class == PermitClass::Control,
    };
    fleet::send(state, [giver], &wire::FleetMessage::PermitRequest(question));
    message::within(ANSWER_LIMIT, open.answers.recv()).await?.ok()
}

/// Gives leave for one send, or tells when there may be some.
fn give(state: &state::GatewayState, number: u32, class: PermitClass) -> wire::PermitDecision {
    let now = state.now();
    let Some(per_s) = state.view().permit_rate(now, number) else {
        return wire::PermitDecision::Granted;
    };
    match state::lock(&state.permits.ledger).acquire(now, number, per_s, class) {
        Ok(()) => wire::PermitDecision::Granted,
        Err(wait) => {
            wire::PermitDecision::Denied(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
        }
    }
}

/// Answers another instance's question for leave.
pub(super) fn answer(state: &state::GatewayState, question: &wire::PermitRequest) {
    take_told(state, &question.limit);
    let number = question.limit.upstream;
    let is_giver = givers(state, number).first() == Some(&PermitIssuer::Own);
    let class = if question.is_control { PermitClass::Control } else { PermitClass::Request };
    let decision =
        if is_giver { give(state, number, class) } else { wire::PermitDecision::NotIssuer };
    let reply = wire::PermitResponse { correlation_id: question.correlation_id, decision };
    fleet::send(state, [question.reply_to], &wire::FleetMessage::PermitResponse(reply));
}

/// Notes what an answer to something that this instance sent says of a limit, and tells the others.
pub(super) fn note_word(
    state: &state::GatewayState,
    plan: &SendPlan<'_>,
    sent: instant::MonotonicTime,
    per_s: Option<f64>,
) {
    let now = state.now();
    let word = limit_table::LimitObservation { per_s, sent, heard: now };
    let news = state.view().limits_mut().record(now, plan.number, word);
    if news != LimitChange::Significant {
        return;
    }
    log_limit(plan.upstream, per_s, plan.purpose.code());
    let told = word.to_message(now, plan.number);
    let addresses = state.view().peer_addresses();
    fleet::send(state, addresses, &wire::FleetMessage::Limits(vec![told]));
}

/// Takes what another instance tells of a limit.
pub(super) fn take_told(state: &state::GatewayState, told: &wire::UpstreamLimit) {
    let now = state.now();
    let word = limit_table::LimitObservation::from_message(now, told);
    let mut view = state.view();
    if view.limits_mut().record(now, told.upstream, word) == LimitChange::Significant {
        // Another instance may have read its entry first.
        let upstream = view.upstream_id(told.upstream).cloned().unwrap_or_default();
        log_limit(&upstream, word.per_s, "told");
    }
}

fn log_limit(upstream: &str, per_s: Option<f64>, source: &str) {
    log::info!(
        event = event::UPSTREAM_LIMITED.number, upstream = upstream,
        per_s = per_s.unwrap_or(-1.0), source = source; "upstream_limited"
    );
}

/// Tells an instance of limits.
pub(super) fn tell_known(state: &state::GatewayState, address: net::SocketAddr) {
    let limits = state.view().limits().limits_to_resend(state.now());
    if !limits.is_empty() {
        fleet::send(state, [address], &wire::FleetMessage::Limits(limits));
    }
}

//! What upstreams say in their answers of taking further work.

use coltsfoot_gateway::intake_board::UpstreamIntake;
use coltsfoot_gateway::limit_board;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use site_platform::fields;

use crate::event;
use crate::gateway::{fleet, state};

/// Something that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentItem<'a> {
    pub(super) upstream: &'a str,
    /// Number of the incarnation that it was sent to, which may have been followed by another one under
    /// the same id.
    pub(super) number: u32,
    pub(super) purpose: limit_board::SendPurpose,
    pub(super) sent: instant::MonotonicTime,
}

impl<'a> SentItem<'a> {
    /// Notes that something is about to be sent; `request` is the id of a caller's request.
    pub(super) fn new(
        state: &state::GatewayState,
        upstream: &'a str,
        number: u32,
        purpose: limit_board::SendPurpose,
        request: &str,
    ) -> Self {
        let sent = state.now();
        if let Some(per_s) = state.view().limits().limit(sent, number) {
            log::info!(
                event = event::LIMITED_SEND.number, upstream = upstream, per_s = per_s,
                purpose = purpose.code(), request = request;
                "limited_send"
            );
        }
        Self { upstream, number, purpose, sent }
    }
}

/// Notes what an answer says of the upstream that gave it.
pub(super) fn note_answer(
    state: &state::GatewayState,
    item: &SentItem<'_>,
    said: &fields::UpstreamFields,
) {
    let SentItem { upstream, number, .. } = *item;
    if said.instance.as_deref().is_some_and(|id| id != upstream) {
        return;
    }
    let now = state.now();
    note_limit(state, item, said);
    match said.quiet {
        Some(quiet) => {
            state.view().intake_mut().wants_quiet(now, number, quiet);
            log::info!(
                event = event::UPSTREAM_QUIET.number, upstream = upstream,
                quiet_ms = u64::try_from(quiet.as_millis()).unwrap_or(u64::MAX);
                "upstream_quiet"
            );
        }
        None => state.view().intake_mut().takes_work(now, number),
    }
    if said.is_leaving && take_leaving(state, number) {
        let addresses = state.view().peer_addresses();
        fleet::send(state, addresses, &wire::FleetMessage::Leaving(vec![number]));
    }
}

/// Notes the limit that an answer names. Only an answer to a request that ran tells that there is none:
/// others may come from what stands before the upstream's work.
fn note_limit(state: &state::GatewayState, item: &SentItem<'_>, said: &fields::UpstreamFields) {
    let per_s = match said.limit {
        limit_board::LimitNotice::Named(per_s) => Some(per_s),
        limit_board::LimitNotice::Absent if said.is_signed => None,
        limit_board::LimitNotice::Absent => return,
        limit_board::LimitNotice::Unreadable => {
            log::warn!(
                event = event::LIMIT_UNREADABLE.number, upstream = item.upstream,
                purpose = item.purpose.code(); "limit_unreadable"
            );
            return;
        }
    };
    let now = state.now();
    let word = limit_board::LimitWord { per_s, sent: item.sent, heard: now };
    if state.view().limits_mut().take(now, item.number, word) {
        log::info!(
            event = event::UPSTREAM_LIMITED.number, upstream = item.upstream,
            per_s = per_s.unwrap_or(-1.0), purpose = item.purpose.code();
            "upstream_limited"
        );
    }
}

/// Takes that an upstream leaves; returns whether it is news.
pub(super) fn take_leaving(state: &state::GatewayState, number: u32) -> bool {
    let is_news = state.view().intake_mut().leaves(state.now(), number);
    if is_news {
        // Another instance may have read its entry first.
        let upstream = state.view().upstream_id(number).map(|id| id.to_string());
        log::info!(
            event = event::UPSTREAM_LEAVES.number, number = number,
            upstream = upstream.unwrap_or_default(); "upstream_leaves"
        );
        state.desks.wake_all();
    }
    is_news
}

/// Returns until when an upstream wants nothing at all, neither requests nor orders nor reports.
pub(super) fn quiet_until(
    state: &state::GatewayState,
    number: u32,
) -> Option<instant::MonotonicTime> {
    match state.view().intake().intake(state.now(), number) {
        UpstreamIntake::Closed(until) => Some(until),
        UpstreamIntake::Open | UpstreamIntake::Leaving => None,
    }
}

/// Returns whether an upstream takes requests.
pub(super) fn is_open(state: &state::GatewayState, number: u32) -> bool {
    state.view().intake().intake(state.now(), number) == UpstreamIntake::Open
}

/// Tells an instance of upstreams that leave.
pub(super) fn tell_known(state: &state::GatewayState, address: std::net::SocketAddr) {
    let leaving = state.view().intake().told_again(state.now());
    if !leaving.is_empty() {
        fleet::send(state, [address], &wire::FleetMessage::Leaving(leaving));
    }
}

//! What upstreams say in their answers of taking further work.

use coltsfoot_gateway::availability_table::UpstreamAvailability;
use coltsfoot_gateway::limit_table;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use site_platform::fields;

use crate::event;
use crate::gateway::{fleet, permits, state};

/// Notes what the answer to something that was sent at some time says of the upstream that gave it.
pub(super) fn note_answer(
    state: &state::GatewayState,
    plan: &permits::SendPlan<'_>,
    sent: instant::MonotonicTime,
    said: &fields::UpstreamFields,
) {
    let permits::SendPlan { upstream, number, .. } = *plan;
    if said.instance.as_deref().is_some_and(|id| id != upstream) {
        return;
    }
    let now = state.now();
    note_limit(state, plan, sent, said);
    match said.quiet {
        Some(quiet) => {
            state.view().availability_mut().back_off(now, number, quiet);
            log::info!(
                event = event::UPSTREAM_QUIET.number, upstream = upstream,
                quiet_ms = u64::try_from(quiet.as_millis()).unwrap_or(u64::MAX);
                "upstream_quiet"
            );
        }
        None => state.view().availability_mut().end_backoff(now, number),
    }
    if said.is_leaving && take_leaving(state, number) {
        let addresses = state.view().peer_addresses();
        fleet::send(state, addresses, &wire::FleetMessage::Draining(vec![number]));
    }
}

/// Notes the limit that an answer names. Only an answer to a request that ran tells that there is none:
/// others may come from what stands before the upstream's work.
fn note_limit(
    state: &state::GatewayState,
    plan: &permits::SendPlan<'_>,
    sent: instant::MonotonicTime,
    said: &fields::UpstreamFields,
) {
    let per_s = match said.limit {
        limit_table::LimitHeader::Named(per_s) => Some(per_s),
        limit_table::LimitHeader::Absent if said.is_signed => None,
        limit_table::LimitHeader::Absent => return,
        limit_table::LimitHeader::Unreadable => {
            log::warn!(
                event = event::LIMIT_UNREADABLE.number, upstream = plan.upstream,
                purpose = plan.purpose.code(); "limit_unreadable"
            );
            return;
        }
    };
    permits::note_word(state, plan, sent, per_s);
}

/// Takes that an upstream leaves; returns whether it is news.
pub(super) fn take_leaving(state: &state::GatewayState, number: u32) -> bool {
    let is_news = state.view().availability_mut().mark_draining(state.now(), number);
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
    match state.view().availability().status(state.now(), number) {
        UpstreamAvailability::UnavailableUntil(until) => Some(until),
        UpstreamAvailability::Available | UpstreamAvailability::Draining => None,
    }
}

/// Returns whether an upstream takes requests.
pub(super) fn is_open(state: &state::GatewayState, number: u32) -> bool {
    state.view().availability().status(state.now(), number) == UpstreamAvailability::Available
}

/// Tells an instance of upstreams that leave.
pub(super) fn tell_known(state: &state::GatewayState, address: std::net::SocketAddr) {
    let leaving = state.view().availability().draining_to_resend(state.now());
    if !leaving.is_empty() {
        fleet::send(state, [address], &wire::FleetMessage::Draining(leaving));
    }
}

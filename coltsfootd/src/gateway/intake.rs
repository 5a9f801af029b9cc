//! Availability of upstreams as their responses state it: backoff, draining and rate limits.

use coltsfoot_gateway::availability_table::UpstreamAvailability;
use coltsfoot_gateway::limit_table;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use site_platform::fields;

use crate::event;
use crate::gateway::{cold, estimates, fleet, permits, state};

/// Records the availability that a response states. Ignores a response that names another upstream.
pub(super) fn record_response(
    state: &state::GatewayState,
    context: &permits::SendContext<'_>,
    sent: instant::MonotonicTime,
    response: &fields::UpstreamFields,
) {
    let permits::SendContext { upstream, number, .. } = *context;
    if response.instance.as_deref().is_some_and(|id| id != upstream) {
        return;
    }
    let now = state.now();
    estimates::record_load(state, upstream, response.load);
    record_limit(state, context, sent, response);
    if response.is_signed || response.rejections_per_s.is_some() {
        record_brittleness(state, upstream, response.rejections_per_s);
    }
    if let Some(remaining) = response.cold {
        cold::record_response(state, context, sent, remaining);
    }
    match response.backoff {
        Some(backoff) => {
            state.view().availability_mut().back_off(now, number, backoff);
            log::info!(
                event = event::UPSTREAM_QUIET.number, upstream = upstream,
                quiet_ms = u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX);
                "upstream_quiet"
            );
        }
        None => state.view().availability_mut().end_backoff(now, number),
    }
    if response.is_draining && mark_draining(state, number) {
        let addresses = state.view().peer_addresses();
        fleet::send(state, addresses, &wire::FleetMessage::Draining(vec![number]));
    }
}

/// Records whether a response states that its upstream is brittle.
fn record_brittleness(state: &state::GatewayState, upstream: &str, rejections_per_s: Option<f64>) {
    let is_new = state.view().record_brittleness(state.now(), upstream, rejections_per_s);
    if is_new {
        log::info!(
            event = event::SERVICE_BRITTLE.number, upstream = upstream,
            rejections_per_s = rejections_per_s.unwrap_or_default(); "service_brittle"
        );
    }
}

/// Records the rate limit that a response states. Only a response to an executed request proves
/// that there is none; others may come from a proxy in front of the upstream.
fn record_limit(
    state: &state::GatewayState,
    context: &permits::SendContext<'_>,
    sent: instant::MonotonicTime,
    response: &fields::UpstreamFields,
) {
    let per_s = match response.limit {
        limit_table::LimitHeader::Named(per_s) => Some(per_s),
        limit_table::LimitHeader::Absent if response.is_signed => None,
        limit_table::LimitHeader::Absent => return,
        limit_table::LimitHeader::Unreadable => {
            log::warn!(
                event = event::LIMIT_UNREADABLE.number, upstream = context.upstream,
                purpose = context.purpose.code(); "limit_unreadable"
            );
            return;
        }
    };
    permits::record_limit(state, context, sent, per_s);
}

/// Marks an upstream as draining; returns whether that was unknown.
pub(super) fn mark_draining(state: &state::GatewayState, number: u32) -> bool {
    let is_new = state.view().availability_mut().mark_draining(state.now(), number);
    if is_new {
        // Unknown here if the reporting instance read the upstream's entry first.
        let upstream = state.view().upstream_id(number).map(|id| id.to_string());
        log::info!(
            event = event::UPSTREAM_LEAVES.number, number = number,
            upstream = upstream.unwrap_or_default(); "upstream_leaves"
        );
        state.controllers.wake_all();
    }
    is_new
}

/// Returns until when an upstream accepts nothing at all: no requests, orders or report requests.
pub(super) fn unavailable_until(
    state: &state::GatewayState,
    number: u32,
) -> Option<instant::MonotonicTime> {
    match state.view().availability().status(state.now(), number) {
        UpstreamAvailability::UnavailableUntil(until) => Some(until),
        UpstreamAvailability::Available | UpstreamAvailability::Draining => None,
    }
}

/// Sends an instance the upstreams that are draining.
pub(super) fn send_known(state: &state::GatewayState, address: std::net::SocketAddr) {
    let draining = state.view().availability().draining_to_resend(state.now());
    if !draining.is_empty() {
        fleet::send(state, [address], &wire::FleetMessage::Draining(draining));
    }
}

//! What upstreams and other instances say about upstreams that are cold.

use std::net;
use std::time;

use coltsfoot_gateway::cold_table;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use site_platform::settings;

use crate::event;
use crate::gateway::{fleet, permits, state};

/// Returns the bounds on requests to cold upstreams that the settings name.
pub(super) fn bounds(bounds: &settings::OperatingBounds) -> cold_table::ColdBounds {
    cold_table::ColdBounds { overage: bounds.cold_overage, slack: bounds.cold_slack }
}

/// Records what the entry of an upstream says; returns whether the upstream was not known to be cold.
pub(super) fn record_entry(
    state: &state::GatewayState,
    upstream: &str,
    remaining: time::Duration,
) -> bool {
    let is_new = {
        let now = state.now();
        let mut view = state.view();
        let Some(slot) = view.upstream(upstream) else { return false };
        let (service, number) = (slot.entry.service.clone(), slot.number);
        view.cold_mut().record_entry(now, &service, number, remaining)
    };
    if is_new {
        report(state, upstream, remaining, "entry");
    }
    is_new
}

/// Records what a response says; all instances learn of an upstream that was not known to be cold.
pub(super) fn record_response(
    state: &state::GatewayState,
    context: &permits::SendContext<'_>,
    sent: instant::MonotonicTime,
    remaining: time::Duration,
) {
    let permits::SendContext { upstream, number, .. } = *context;
    let message = {
        let now = state.now();
        let mut view = state.view();
        let Some(slot) = view.upstream(upstream) else { return };
        let service = slot.entry.service.clone();
        if !view.cold_mut().record_response(now, &service, number, sent, remaining) {
            return;
        }
        view.cold().message(now, number)
    };
    report(state, upstream, remaining, "response");
    if let Some(message) = message {
        let addresses = state.view().peer_addresses();
        fleet::send(state, addresses, &wire::FleetMessage::ColdUpstreams(vec![message]));
    }
}

/// Records an upstream that another instance knows to be cold.
pub(super) fn handle_told(state: &state::GatewayState, told: &wire::ColdUpstream) {
    let upstream = {
        let mut view = state.view();
        if !view.cold_mut().record_told(state.now(), told) {
            return;
        }
        // Unknown here if the other instance read the upstream's entry first.
        view.upstream_id(told.upstream).cloned().unwrap_or_default()
    };
    report(state, &upstream, time::Duration::from_millis(u64::from(told.remaining_ms)), "told");
}

/// Sends an instance the upstreams that are cold.
pub(super) fn send_known(state: &state::GatewayState, address: net::SocketAddr) {
    let cold = state.view().cold().to_resend(state.now());
    if !cold.is_empty() {
        fleet::send(state, [address], &wire::FleetMessage::ColdUpstreams(cold));
    }
}

/// Logs the upstreams whose limit has ended.
pub(super) fn log_warm(state: &state::GatewayState) {
    let warm = state.view().cold_mut().take_warm(state.now());
    for number in warm {
        let upstream = state.view().upstream_id(number).map(|id| id.to_string());
        log::info!(
            event = event::UPSTREAM_WARM.number, number = number,
            upstream = upstream.unwrap_or_default(); "upstream_warm"
        );
    }
}

fn report(
    state: &state::GatewayState,
    upstream: &str,
    remaining: time::Duration,
    source: &'static str,
) {
    state.metrics.count_cold(source);
    log::info!(
        event = event::UPSTREAM_COLD.number, upstream = upstream,
        cold_ms = remaining.as_millis() as u64, source = source; "upstream_cold"
    );
}

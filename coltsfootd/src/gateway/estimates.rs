//! Estimates of upstreams: what their responses state, and what instances tell each other of them.

use std::sync;
use std::time;

use coltsfoot_gateway::engine_estimate;
use coltsfoot_gateway::fleet_view::estimates::EstimateNews;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{fleet, state};

/// Interval between checks whether there are failures to tell.
const FAILURE_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Every how many checks measured times are told as well.
const CHECKS_PER_SPEED: u64 = 4;

/// Records the load that a response of an upstream states.
pub(super) fn record_load(
    state: &state::GatewayState,
    upstream: &str,
    load: engine_estimate::LoadHeader,
) {
    match load {
        engine_estimate::LoadHeader::Absent => {}
        engine_estimate::LoadHeader::Stated(load) => {
            state.metrics.count_estimate("stated");
            state.view().record_load(state.now(), upstream, load);
        }
        engine_estimate::LoadHeader::Unreadable => {
            state.metrics.count_estimate("unreadable");
            log::debug!(
                event = event::LOAD_UNREADABLE.number, upstream = upstream; "load_unreadable"
            );
        }
    }
}

/// Applies what another instance told, and forwards it within this zone if asked to.
pub(super) fn handle(state: &state::GatewayState, mut told: wire::UpstreamEstimates) {
    if told.sender == state.incarnation {
        return;
    }
    state.metrics.count_estimate("heard");
    let failing = state.view().apply_estimates(state.now(), &told);
    for upstream in failing {
        log::info!(
            event = event::UPSTREAM_FAILING.number, upstream = upstream.to_string();
            "upstream_failing"
        );
    }
    if std::mem::take(&mut told.must_forward) {
        let addresses = state.view().zone_addresses(&state.settings.zone);
        fleet::send(state, addresses, &wire::FleetMessage::UpstreamEstimates(told));
    }
}

/// Tells the other instances failures soon and measured times now and then; never returns. In a large fleet
/// measured times stay within the zone, as its instances have enough of them, and failures go to one instance
/// of each other zone.
pub(crate) async fn tell(state: sync::Arc<state::GatewayState>) {
    for check in 1_u64.. {
        async_io::Timer::after(FAILURE_INTERVAL).await;
        let now = state.now();
        let plan = state.view().heartbeat_plan(&state.settings.zone);
        let failures =
            state.view().estimates_to_tell(now, state.incarnation, EstimateNews::Failures);
        if plan.is_relayed
            && let Some(failures) = &failures
        {
            let contacts = {
                let view = state.view();
                view.zone_contacts(now, &state.settings.zone, &state::lock(&state.listed_peers))
            };
            let forwarded = wire::UpstreamEstimates { must_forward: true, ..failures.clone() };
            fleet::send(&state, contacts, &wire::FleetMessage::UpstreamEstimates(forwarded));
        }
        let told = match check.is_multiple_of(CHECKS_PER_SPEED) {
            true => state.view().estimates_to_tell(now, state.incarnation, EstimateNews::All),
            false => failures,
        };
        let Some(told) = told else { continue };
        state.metrics.count_estimate("told");
        let addresses = match plan.is_relayed {
            true => state.view().zone_addresses(&state.settings.zone),
            false => state.view().peer_addresses(),
        };
        fleet::send(&state, addresses, &wire::FleetMessage::UpstreamEstimates(told));
    }
}

//! Requests to load an adapter at an engine, made to the instance that owns the engine.

use std::sync;
use std::time;

use coltsfoot_gateway::demand;
use coltsfoot_http::message;
use coltsfoot_wire::fleet as wire;

use crate::gateway::{engines, fleet, state};

/// Interval at which a load request is resent until there is a response.
const RESEND_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Number of load requests without a response after which the owner counts as unreachable.
const MAX_SENDS: usize = 4;

/// Correlation id of a load request that nobody waits for: the owner only learns that the adapter was
/// missing. Instances of an older build answer it; the response is ignored.
pub(crate) const NO_CALL: u64 = 0;

/// Ends a load request in the fleet view on drop, also if the request's future is cancelled.
struct RequestedAdapter<'a> {
    state: &'a state::GatewayState,
    upstream: &'a str,
    key: demand::AdapterKey,
}

impl Drop for RequestedAdapter<'_> {
    fn drop(&mut self) {
        self.state.view().load_ended(self.upstream, self.key);
    }
}

/// Requests that an adapter be loaded at an engine and waits for the result, at most `limit` after
/// the owner has accepted.
pub(crate) async fn ensure_ready(
    state: &sync::Arc<state::GatewayState>,
    upstream: &str,
    name: &demand::AdapterName,
    was_missing: bool,
    limit: time::Duration,
) -> wire::LoadDecision {
    let key = name.key();
    let (number, owner, version) = {
        let mut view = state.view();
        view.load_requested(state.now(), upstream, key);
        let Some(slot) = view.upstream(upstream) else { return wire::LoadDecision::NotOwner };
        let owner = slot.residency.owner.and_then(|id| view.peer(id)).map(|peer| peer.address);
        (slot.number, owner, view.newest_version(key))
    };
    let _requested = RequestedAdapter { state, upstream, key };
    let call = state.loads.register();
    let (correlation_id, receiver) = (call.id, &call.responses);
    let waiter = engines::LoadWaiter::Local(correlation_id);
    if state.controllers.request_load(state, number, name, version, was_missing, waiter) {
        return final_decision(receiver, limit).await;
    }
    let Some(owner) = owner else { return wire::LoadDecision::NotOwner };
    let request = wire::LoadRequest {
        correlation_id,
        reply_to: state.settings.fleet_address(),
        upstream: number,
        model: name.model.to_string(),
        adapter: name.adapter.to_string(),
        version: version.unwrap_or(0),
        was_missing,
    };
    for _ in 0..MAX_SENDS {
        fleet::send(state, [owner], &wire::FleetMessage::LoadRequest(request.clone()));
        match message::with_timeout(RESEND_INTERVAL, receiver.recv()).await {
            Some(Ok(wire::LoadDecision::Accepted)) => return final_decision(receiver, limit).await,
            Some(Ok(decision)) => return decision,
            Some(Err(_)) => return wire::LoadDecision::Failed,
            None => {}
        }
    }
    wire::LoadDecision::NotOwner
}

/// Tells the owner of an engine that a request found an adapter missing, so that no further request is sent
/// there too early, also if this one is not retried.
pub(crate) fn report_missing(
    state: &state::GatewayState,
    upstream: &str,
    name: &demand::AdapterName,
) {
    let (number, owner) = {
        let view = state.view();
        let Some(slot) = view.upstream(upstream) else { return };
        let owner = slot.residency.owner.and_then(|id| view.peer(id)).map(|peer| peer.address);
        (slot.number, owner)
    };
    if state.controllers.found_missing(state, number, name) {
        return;
    }
    let Some(owner) = owner else { return };
    let request = wire::LoadRequest {
        correlation_id: NO_CALL,
        reply_to: state.settings.fleet_address(),
        upstream: number,
        model: name.model.to_string(),
        adapter: name.adapter.to_string(),
        version: 0,
        was_missing: true,
    };
    fleet::send(state, [owner], &wire::FleetMessage::LoadRequest(request));
}

async fn final_decision(
    receiver: &async_channel::Receiver<wire::LoadDecision>,
    limit: time::Duration,
) -> wire::LoadDecision {
    let wait = async {
        loop {
            match receiver.recv().await {
                Ok(wire::LoadDecision::Accepted) => {}
                Ok(decision) => return decision,
                Err(_) => return wire::LoadDecision::Failed,
            }
        }
    };
    message::with_timeout(limit, wait).await.unwrap_or(wire::LoadDecision::Failed)
}

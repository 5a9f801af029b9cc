//! Questions for adapters that wait for an answer.

use std::sync;
use std::time;

use coltsfoot_gateway::demand;
use coltsfoot_http::message;
use coltsfoot_wire::fleet as wire;

use crate::gateway::{engines, fleet, state};

/// Time after which a question is sent once more, as long as nothing came back.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Questions sent without any answer, after which the owner counts as lost.
const MAX_SENDS: usize = 4;

/// Notes that an adapter is no longer asked for when its asker has left.
struct AskedAdapter<'a> {
    state: &'a state::GatewayState,
    upstream: &'a str,
    key: demand::AdapterKey,
}

impl Drop for AskedAdapter<'_> {
    fn drop(&mut self) {
        self.state.view().load_ended(self.upstream, self.key);
    }
}

/// Has an adapter made ready at an engine; returns how it ended, within a time limit.
pub(crate) async fn ensure(
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
    let _asked = AskedAdapter { state, upstream, key };
    let open = state.loads.begin();
    let (correlation_id, receiver) = (open.number, &open.answers);
    let asker = engines::LoadAsker::Local(correlation_id);
    if state.desks.ask(state, number, name, version, was_missing, asker) {
        return final_verdict(receiver, limit).await;
    }
    let Some(owner) = owner else { return wire::LoadDecision::NotOwner };
    let question = wire::LoadRequest {
        correlation_id,
        reply_to: state.settings.fleet_address(),
        upstream: number,
        model: name.model.to_string(),
        adapter: name.adapter.to_string(),
        version: version.unwrap_or(0),
        was_missing,
    };
    for _ in 0..MAX_SENDS {
        fleet::send(state, [owner], &wire::FleetMessage::LoadRequest(question.clone()));
        match message::within(REPEAT_INTERVAL, receiver.recv()).await {
            Some(Ok(wire::LoadDecision::Accepted)) => return final_verdict(receiver, limit).await,
            Some(Ok(verdict)) => return verdict,
            Some(Err(_)) => return wire::LoadDecision::Failed,
            None => {}
        }
    }
    wire::LoadDecision::NotOwner
}

async fn final_verdict(
    receiver: &async_channel::Receiver<wire::LoadDecision>,
    limit: time::Duration,
) -> wire::LoadDecision {
    let wait = async {
        loop {
            match receiver.recv().await {
                Ok(wire::LoadDecision::Accepted) => {}
                Ok(verdict) => return verdict,
                Err(_) => return wire::LoadDecision::Failed,
            }
        }
    };
    message::within(limit, wait).await.unwrap_or(wire::LoadDecision::Failed)
}

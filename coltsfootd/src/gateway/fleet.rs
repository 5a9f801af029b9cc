//! Messages between instances: how they are sent, received and where the others are found.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::fleet_view::zones;
use coltsfoot_gateway::{demand, fleet_view};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{beats, crashes, engines, intake, news, permits, state};

/// Topic in which instances tell where they receive messages.
const INSTANCE_TOPIC: &str = "keyed.coltsfoot-instances";
/// Time between reads of that topic. An instance that starts reads it and tells the others of itself.
const FIND_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Time between tries while the store is unavailable.
const FIND_RETRY: time::Duration = time::Duration::from_millis(700);
/// Time between messages to an instance chosen at random. With n instances each one gets one an interval
/// on average.
const TELL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Longest datagram, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Encodes an instance as a record of the store: address and zone.
fn encode_instance(instance: &zones::ListedInstance) -> String {
    format!("{} {}", instance.address, instance.zone)
}

/// Decodes such a record; instances of earlier versions name no zone.
fn decode_instance(text: &str) -> Option<zones::ListedInstance> {
    let (address, zone) = text.split_once(' ').unwrap_or((text, ""));
    Some(zones::ListedInstance { address: address.parse().ok()?, zone: zone.into() })
}

/// Sends a message to instances; a full socket buffer loses it like the network would.
pub(crate) fn send(
    state: &state::GatewayState,
    addresses: impl IntoIterator<Item = net::SocketAddr>,
    message: &wire::FleetMessage,
) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = event::PEER_UNREACHABLE.number; "not encoded: {error}");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = state.fleet_socket.get_ref().send_to(&bytes, address) {
            log::debug!(event = event::PEER_UNREACHABLE.number; "{address}: {error}");
        }
    }
}

/// Answers another instance's question for an adapter.
pub(crate) fn reply(
    state: &state::GatewayState,
    address: net::SocketAddr,
    correlation_id: u64,
    decision: wire::LoadDecision,
) {
    send(
        state,
        [address],
        &wire::FleetMessage::LoadResponse(wire::LoadResponse { correlation_id, decision }),
    );
}

/// Receives messages for as long as the process runs.
pub(crate) async fn receive(state: sync::Arc<state::GatewayState>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let length = match state.fleet_socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(event = event::PEER_UNREACHABLE.number; "{error}");
                continue;
            }
        };
        match wire::FleetMessage::decode(&buffer[..length]) {
            Ok(wire::FleetMessage::Heartbeat(beat)) => take_beat(&state, &beat),
            Ok(wire::FleetMessage::EngineChange(change)) => {
                state.view().apply_engine_change(state.now(), &change);
            }
            Ok(wire::FleetMessage::LoadRequest(ask)) => take_ask(&state, &ask),
            Ok(wire::FleetMessage::LoadResponse(reply)) => {
                state.loads.settle(reply.correlation_id, reply.decision)
            }
            Ok(wire::FleetMessage::Records(records)) => news::take(&state, records),
            Ok(wire::FleetMessage::RecordsRequest(ask)) => news::answer(&state, &ask),
            Ok(wire::FleetMessage::ZoneHeartbeat(beat)) => take_zone(&state, beat),
            Ok(wire::FleetMessage::CrashNotice(notice)) => crashes::take_notice(&state, &notice),
            Ok(wire::FleetMessage::CrashCleared(digest)) => {
                crashes::take_clearance(&state, &digest);
            }
            Ok(wire::FleetMessage::Draining(numbers)) => {
                for number in numbers {
                    intake::take_leaving(&state, number);
                }
            }
            Ok(wire::FleetMessage::Limits(limits)) => {
                limits.iter().for_each(|told| permits::take_told(&state, told));
            }
            Ok(wire::FleetMessage::PermitRequest(ask)) => permits::answer(&state, &ask),
            Ok(wire::FleetMessage::PermitResponse(reply)) => {
                state.permits.asks.settle(reply.correlation_id, reply.decision);
            }
            Err(error) => log::warn!(
                event = event::PEER_MESSAGE_REFUSED.number; "peer_message_refused: {error}"
            ),
        }
    }
}

fn take_beat(state: &sync::Arc<state::GatewayState>, beat: &wire::FleetHeartbeat) {
    if beat.sender == state.incarnation {
        return;
    }
    let now = state.now();
    let is_new = state.view().apply_heartbeat(now, beat);
    state.desks.touch(now, &beat.adapter_usage);
    if *beat.zone == *state.settings.zone {
        state::lock(&state.digest).record_usage(
            beat.sender,
            &beat.quota_usage,
            &beat.adapter_usage,
        );
    }
    if !state.view().is_zone_relayed(now, &beat.zone) {
        take_quotas(state, now, beat.sender, &beat.quota_usage);
    }
    if is_new {
        log::info!(
            event = event::PEER_FOUND.number, address = beat.address.to_string(); "peer_found"
        );
        beats::answer_newcomer(state, beat);
        tell_known(state, beat.address);
    }
}

/// Tells an instance what all are to know of upstreams and requests.
fn tell_known(state: &state::GatewayState, address: net::SocketAddr) {
    crashes::tell_known(state, address);
    intake::tell_known(state, address);
    permits::tell_known(state, address);
}

/// Tells other instances in turn of what all are to know, for as long as the process runs: some may
/// have missed it, or started since.
pub(crate) async fn tell_again(state: sync::Arc<state::GatewayState>) {
    loop {
        async_io::Timer::after(TELL_INTERVAL).await;
        let addresses = state.view().peer_addresses();
        if let Some(address) = rand::seq::IndexedRandom::choose(&*addresses, &mut rand::rng()) {
            tell_known(&state, *address);
        }
    }
}

/// Takes the sums of another zone, and passes them on in this one if they came from there.
fn take_zone(state: &state::GatewayState, mut beat: wire::ZoneHeartbeat) {
    if *beat.zone == *state.settings.zone {
        return;
    }
    let now = state.now();
    let (is_known, news) = {
        let mut view = state.view();
        (view.is_zone_relayed(now, &beat.zone), view.apply_zone_heartbeat(now, &beat))
    };
    if !news.is_applied {
        return;
    }
    if !is_known || !news.replaced.is_empty() {
        log::info!(
            event = event::ZONE_RELAYED.number, zone = beat.zone.as_str(), relay = beat.sender,
            replaced = news.replaced.len(); "zone_relayed"
        );
    }
    for teller in news.replaced {
        state::lock(&state.quota).forget_peer(teller);
    }
    take_quotas(state, now, beat.sender, &beat.quota_usage);
    state.desks.touch(now, &beat.adapter_usage);
    if !beat.is_forwarded {
        beat.is_forwarded = true;
        let near = state.view().zone_addresses(&state.settings.zone);
        send(state, near, &wire::FleetMessage::ZoneHeartbeat(beat));
    }
}

fn take_quotas(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    teller: u64,
    quotas: &[wire::CustomerUsage],
) {
    let Some(routes) = state.routes.load_full() else { return };
    let mut quota = state::lock(&state.quota);
    for customer in &routes.rules().customers {
        let number = fleet_view::customer_number(&customer.name);
        if let Some(used) = quotas.iter().find(|used| used.customer == number) {
            quota.record_peer_total(now, teller, &customer.name, used.total);
        }
    }
}

fn take_ask(state: &sync::Arc<state::GatewayState>, ask: &wire::LoadRequest) {
    let name = demand::AdapterName {
        model: ask.model.as_str().into(),
        adapter: ask.adapter.as_str().into(),
    };
    let version = (ask.version > 0).then_some(ask.version);
    let asker = engines::LoadAsker::Peer(ask.reply_to, ask.correlation_id);
    let missing = ask.was_missing;
    let is_taken = state.desks.ask(state, ask.upstream, &name, version, missing, asker);
    let verdict =
        if is_taken { wire::LoadDecision::Accepted } else { wire::LoadDecision::NotOwner };
    reply(state, ask.reply_to, ask.correlation_id, verdict);
}

/// Tells in the store where this instance receives messages, and finds the others there.
pub(crate) async fn find_peers(state: sync::Arc<state::GatewayState>) {
    let own = zones::ListedInstance {
        address: state.settings.fleet_address(),
        zone: sync::Arc::clone(&state.settings.zone),
    };
    let mut is_told = false;
    loop {
        if !is_told {
            let key = state.settings.ip.to_string();
            is_told = state
                .store
                .put(INSTANCE_TOPIC, &key, encode_instance(&own).as_bytes())
                .await
                .is_ok();
        }
        let pause = match state.store.newest(INSTANCE_TOPIC).await {
            Ok(newest) => {
                let values = newest.records.iter().filter_map(|record| record.value.as_deref());
                let texts = values.filter_map(|value| str::from_utf8(value).ok());
                let others: Vec<_> = texts
                    .filter_map(decode_instance)
                    .filter(|peer| peer.address != own.address)
                    .collect();
                let near = others.iter().filter(|peer| peer.zone == own.zone).count();
                state.view().set_listed_peers(near, others.len() - near);
                *state::lock(&state.found_peers) = others;
                if is_told { FIND_INTERVAL } else { FIND_RETRY }
            }
            Err(error) => {
                log::warn!(event = event::LOG_UNREACHABLE.number; "instances not found: {error}");
                FIND_RETRY
            }
        };
        async_io::Timer::after(pause).await;
    }
}

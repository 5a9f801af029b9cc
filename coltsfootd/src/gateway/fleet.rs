//! Messages between instances over UDP, and discovery of the other instances through the store.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::fleet_view::zones;
use coltsfoot_gateway::{demand, fleet_view, quota_ledger};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;

use crate::gateway::{
    cold, crashes, engines, estimates, heartbeats, intake, loads, news, origins, parts, permits,
    state,
};
use crate::{event, task};

/// Keyed topic in which instances register the addresses at which they receive messages.
const INSTANCE_TOPIC: &str = "keyed.coltsfoot-instances";
/// Interval between reads of that topic. It can be long, as a starting instance reads the topic and
/// sends the others a heartbeat.
const DISCOVERY_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Retry interval while the store is unavailable.
const DISCOVERY_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Interval between resends to a random peer. As every instance does so, each receives one per
/// interval on average.
const RESEND_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Encodes an instance as the value of its record: address and zone, separated by a space.
fn encode_instance(instance: &zones::ListedInstance) -> String {
    format!("{} {}", instance.address, instance.zone)
}

/// Decodes such a value; instances of earlier versions wrote no zone.
fn decode_instance(text: &str) -> Option<zones::ListedInstance> {
    let (address, zone) = text.split_once(' ').unwrap_or((text, ""));
    Some(zones::ListedInstance { address: address.parse().ok()?, zone: zone.into() })
}

/// Sends a message to instances without waiting; it is lost if the socket's buffer is full.
pub(crate) fn send(
    state: &state::GatewayState,
    addresses: impl IntoIterator<Item = net::SocketAddr>,
    message: &wire::FleetMessage,
) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(event = event::PEER_UNREACHABLE.number; "could not encode: {error}");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = state.fleet_socket.get_ref().send_to(&bytes, address) {
            log::debug!(event = event::PEER_UNREACHABLE.number; "{address}: {error}");
        }
    }
}

/// Responds to another instance's load request.
pub(crate) fn respond(
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

/// Receives and dispatches messages; never returns.
pub(crate) async fn receive(state: sync::Arc<state::GatewayState>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut pacer = task::StepPacer::default();
    loop {
        pacer.step().await;
        let length = match state.fleet_socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(event = event::PEER_UNREACHABLE.number; "{error}");
                continue;
            }
        };
        match wire::FleetMessage::decode(&buffer[..length]) {
            Ok(wire::FleetMessage::Heartbeat(heartbeat)) => handle_heartbeat(&state, &heartbeat),
            Ok(wire::FleetMessage::EngineChange(change)) => {
                state.view().apply_engine_change(state.now(), &change);
            }
            Ok(wire::FleetMessage::LoadRequest(request)) => handle_load_request(&state, &request),
            Ok(wire::FleetMessage::LoadResponse(response)) => {
                state.loads.complete(response.correlation_id, response.decision);
            }
            Ok(wire::FleetMessage::Records(records)) => news::apply(&state, records),
            Ok(wire::FleetMessage::TopicPage(page)) => news::apply_page(&state, page),
            Ok(wire::FleetMessage::RecordsRequest(request)) => news::respond(&state, &request),
            Ok(wire::FleetMessage::ZoneHeartbeat(heartbeat)) => apply_zone(&state, heartbeat),
            Ok(wire::FleetMessage::CrashNotice(notice)) => crashes::handle_notice(&state, &notice),
            Ok(wire::FleetMessage::CrashCleared(digest)) => {
                crashes::handle_clearance(&state, &digest);
            }
            Ok(wire::FleetMessage::Draining(numbers)) => {
                for number in numbers {
                    intake::mark_draining(&state, number);
                }
            }
            Ok(wire::FleetMessage::Limits(limits)) => {
                limits.iter().for_each(|limit| permits::handle_reported_limit(&state, limit));
            }
            Ok(wire::FleetMessage::PermitRequest(request)) => permits::respond(&state, &request),
            Ok(wire::FleetMessage::PermitResponse(response)) => {
                state.permits.calls.complete(response.correlation_id, response.decision);
            }
            Ok(wire::FleetMessage::PartCrash(report)) => parts::handle_crash(&state, &report),
            Ok(wire::FleetMessage::PartsCleared(cleared)) => {
                parts::handle_cleared(&state, &cleared);
            }
            Ok(wire::FleetMessage::QuarantinedParts(listed)) => {
                parts::handle_quarantined(&state, &listed);
            }
            Ok(wire::FleetMessage::Unreached(unreached)) => {
                state.view().apply_unreached(state.now(), &unreached);
            }
            Ok(wire::FleetMessage::ColdUpstreams(told)) => {
                told.iter().for_each(|told| cold::handle_told(&state, told));
            }
            Ok(wire::FleetMessage::UpstreamEstimates(told)) => estimates::handle(&state, told),
            Err(error) => log::warn!(
                event = event::PEER_MESSAGE_REFUSED.number; "peer_message_refused: {error}"
            ),
        }
    }
}

fn handle_heartbeat(state: &sync::Arc<state::GatewayState>, heartbeat: &wire::FleetHeartbeat) {
    if heartbeat.sender == state.incarnation {
        return;
    }
    let now = state.now();
    let is_new = state.view().apply_heartbeat(now, heartbeat);
    state.controllers.touch(now, &heartbeat.adapter_usage);
    origins::handle_heartbeat(state, heartbeat);
    if *heartbeat.zone == *state.settings.zone {
        state::lock(&state.zone_aggregator).record_usage(
            heartbeat.sender,
            &heartbeat.quota_usage,
            &heartbeat.adapter_usage,
        );
    }
    if !state.view().is_zone_relayed(now, &heartbeat.zone) {
        let reporter = quota_ledger::UsageReport {
            total: 0,
            instances: u32::from(!heartbeat.is_draining),
            interval: time::Duration::from_millis(u64::from(heartbeat.interval_ms)),
            is_deaf: heartbeat.silent.contains(&state.incarnation),
        };
        apply_quotas(state, now, heartbeat.sender, reporter, &heartbeat.quota_usage);
    }
    if is_new {
        let former = state.view().former_incarnations(heartbeat.sender, heartbeat.address);
        for incarnation in former {
            state::lock(&state.quota).forget_peer(incarnation);
        }
        log::info!(
            event = event::PEER_FOUND.number, address = heartbeat.address.to_string(); "peer_found"
        );
        heartbeats::reply_to_new_peer(state, heartbeat);
        send_known(state, heartbeat.address);
    }
}

/// Sends an instance all crash notices, draining upstreams and rate limits that are in force.
fn send_known(state: &state::GatewayState, address: net::SocketAddr) {
    crashes::send_known(state, address);
    parts::send_known(state, address);
    intake::send_known(state, address);
    permits::send_known(state, address);
    cold::send_known(state, address);
}

/// Resends the same to random peers, as some may have missed it or started since; never returns.
pub(crate) async fn resend_known(state: sync::Arc<state::GatewayState>) {
    loop {
        async_io::Timer::after(RESEND_INTERVAL).await;
        cold::log_warm(&state);
        let addresses = state.view().peer_addresses();
        if let Some(address) = rand::seq::IndexedRandom::choose(&*addresses, &mut rand::rng()) {
            send_known(&state, *address);
        }
    }
}

/// Applies another zone's totals, and forwards them within this zone if they came directly from
/// there.
fn apply_zone(state: &state::GatewayState, mut heartbeat: wire::ZoneHeartbeat) {
    if *heartbeat.zone == *state.settings.zone {
        return;
    }
    let now = state.now();
    let (is_known, update) = {
        let mut view = state.view();
        (view.is_zone_relayed(now, &heartbeat.zone), view.apply_zone_heartbeat(now, &heartbeat))
    };
    if !update.is_applied {
        return;
    }
    if !is_known || !update.replaced.is_empty() {
        log::info!(
            event = event::ZONE_RELAYED.number, zone = heartbeat.zone.as_str(), relay = heartbeat.sender,
            replaced = update.replaced.len(); "zone_relayed"
        );
    }
    for reporter in update.replaced {
        state::lock(&state.quota).forget_peer(reporter);
    }
    let reporter = quota_ledger::UsageReport {
        total: 0,
        instances: u32::try_from(state.view().zone_members(now, &heartbeat.zone).len())
            .unwrap_or(u32::MAX),
        // A heartbeat takes two hops: the relay and the forwarding instance.
        interval: time::Duration::from_millis(u64::from(heartbeat.interval_ms)) * 2,
        is_deaf: false,
    };
    apply_quotas(state, now, heartbeat.sender, reporter, &heartbeat.quota_usage);
    state.controllers.touch(now, &heartbeat.adapter_usage);
    if !heartbeat.is_forwarded {
        heartbeat.is_forwarded = true;
        let peers = state.view().zone_addresses(&state.settings.zone);
        send(state, peers, &wire::FleetMessage::ZoneHeartbeat(heartbeat));
    }
}

/// Records the usage of all customers that an instance or a zone reports.
fn apply_quotas(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    sender: u64,
    reporter: quota_ledger::UsageReport,
    quotas: &[wire::CustomerUsage],
) {
    let Some(routes) = state.routes.load_full() else { return };
    let mut quota = state::lock(&state.quota);
    for customer in &routes.rules().customers {
        let number = fleet_view::customer_number(&customer.name);
        if let Some(used) = quotas.iter().find(|used| used.customer == number) {
            let report = quota_ledger::UsageReport { total: used.total, ..reporter };
            quota.record_peer_report(now, sender, &customer.name, report);
        }
    }
}

fn handle_load_request(state: &sync::Arc<state::GatewayState>, request: &wire::LoadRequest) {
    let name = demand::AdapterName {
        model: request.model.as_str().into(),
        adapter: request.adapter.as_str().into(),
    };
    if request.correlation_id == loads::NO_CALL {
        state.controllers.found_missing(state, request.upstream, &name);
        return;
    }
    let version = (request.version > 0).then_some(request.version);
    let waiter = engines::LoadWaiter::Peer(request.reply_to, request.correlation_id);
    let missing = request.was_missing;
    let is_accepted =
        state.controllers.request_load(state, request.upstream, &name, version, missing, waiter);
    let decision =
        if is_accepted { wire::LoadDecision::Accepted } else { wire::LoadDecision::NotOwner };
    respond(state, request.reply_to, request.correlation_id, decision);
}

/// Registers this instance in the store and reads the others' registrations from it; never returns.
pub(crate) async fn discover_peers(state: sync::Arc<state::GatewayState>) {
    let own = zones::ListedInstance {
        address: state.settings.fleet_address(),
        zone: sync::Arc::clone(&state.settings.zone),
    };
    let mut registered_era = None;
    loop {
        if registered_era.is_none() {
            let key = state.settings.ip.to_string();
            let registered =
                state.store.put(INSTANCE_TOPIC, &key, encode_instance(&own).as_bytes()).await;
            registered_era = registered.ok();
        }
        let pause = match state.store.read_latest(INSTANCE_TOPIC).await {
            Ok(newest) => {
                // A restored store may have lost the registration.
                registered_era = registered_era.filter(|era| *era == newest.next.era);
                let values = newest.records.iter().filter_map(|record| record.value.as_deref());
                let texts = values.filter_map(|value| str::from_utf8(value).ok());
                let others: Vec<_> = texts
                    .filter_map(decode_instance)
                    .filter(|peer| peer.address != own.address)
                    .collect();
                let same_zone = others.iter().filter(|peer| peer.zone == own.zone).count();
                {
                    let mut view = state.view();
                    view.set_listed_peers(same_zone, others.len() - same_zone);
                    view.record_registered(state.now(), others.len());
                }
                *state::lock(&state.listed_peers) = others;
                match registered_era {
                    Some(_) => DISCOVERY_INTERVAL,
                    None => DISCOVERY_RETRY_INTERVAL,
                }
            }
            Err(error) => {
                log::warn!(
                    event = event::LOG_UNREACHABLE.number;
                    "could not read the registered instances: {error}"
                );
                DISCOVERY_RETRY_INTERVAL
            }
        };
        wait_for_discovery(&state, pause, registered_era).await;
    }
}

/// Waits until the list of instances is read again: for a time, or until the store is restored.
async fn wait_for_discovery(
    state: &state::GatewayState,
    pause: time::Duration,
    registered_era: Option<u64>,
) {
    let end = state.now() + pause;
    while state.now() < end && registered_era.is_none_or(|era| era == state.store.era()) {
        async_io::Timer::after(end.since(state.now()).min(DISCOVERY_RETRY_INTERVAL)).await;
    }
}

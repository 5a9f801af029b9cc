//! Messages between instances.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_gateway::{demand, fleet_view};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use rustc_hash::FxHashMap;

use crate::event;
use crate::gateway::{engines, state};

/// Time between beats.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Beats after which the engines owned are told again.
const ENGINES_EVERY: u64 = 4;
/// Time between beats to an instance that was not heard from.
const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(1000);
/// Topic in which instances tell where they receive messages.
const INSTANCE_TOPIC: &str = "keyed.coltsfoot-instances";
/// Time between reads of that topic.
const FIND_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between tries while the store is unavailable.
const FIND_RETRY: time::Duration = time::Duration::from_millis(700);
/// Longest datagram, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Numbers the beats of this process.
static SEQUENCE: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// Sends a message; a full socket buffer loses it like the network would.
pub(crate) fn send(
    state: &state::GatewayState,
    address: net::SocketAddr,
    message: &wire::FleetMessage,
) {
    match message.encode() {
        Ok(bytes) => send_bytes(state, address, &bytes),
        Err(error) => log::error!(event = event::PEER_UNREACHABLE.number; "not encoded: {error}"),
    }
}

fn send_bytes(state: &state::GatewayState, address: net::SocketAddr, bytes: &[u8]) {
    if let Err(error) = state.fleet_socket.get_ref().send_to(bytes, address) {
        log::debug!(event = event::PEER_UNREACHABLE.number; "{address}: {error}");
    }
}

/// Answers another instance's question for an adapter.
pub(crate) fn reply(
    state: &state::GatewayState,
    address: net::SocketAddr,
    ask: u64,
    verdict: wire::LoadVerdict,
) {
    send(state, address, &wire::FleetMessage::Reply(wire::LoadReply { ask, verdict }));
}

/// Tells all instances at once what the owned engines hold.
pub(crate) fn publish_engines(state: &state::GatewayState) {
    let engines = state.desks.owned(state);
    let now = state.now();
    {
        let mut view = state.view();
        for engine in &engines {
            view.take_own_engine(now, engine);
        }
    }
    send_beat(state, Some(engines), None);
}

/// Tells all instances at once that this one has read something new.
pub(crate) fn publish_reading(state: &state::GatewayState) {
    send_beat(state, None, None);
}

fn send_beat(
    state: &state::GatewayState,
    engines: Option<Vec<wire::OwnedEngine>>,
    searched: Option<&mut FxHashMap<net::SocketAddr, instant::MonotonicTime>>,
) {
    let now = state.now();
    let own_address = state.settings.fleet_address();
    let quotas = state::lock(&state.quota)
        .totals()
        .map(|(customer, total)| wire::CustomerUse {
            customer: fleet_view::customer_number(customer),
            total,
        })
        .collect();
    let rules_version = state.routes.load().as_ref().map_or(0, |routes| routes.rules().version);
    let (renewed, partitions) = {
        let lease = state.lease();
        (lease.renewed(), lease.partitions().collect())
    };
    let (operator, upstreams) = (state.operator_reading(), state.upstream_reading());
    let fetching = state.desks.fetching(now);
    let to_fetch = state.desks.waiting_fetches();
    let mut view = state.view();
    let uses = view.take_uses();
    let beat = wire::FleetBeat {
        sender: state.incarnation,
        address: own_address,
        zone: state.settings.zone.to_string(),
        sequence: SEQUENCE.fetch_add(1, atomic::Ordering::Relaxed),
        is_leaving: state.is_stopping(),
        rules_version,
        operator,
        upstreams,
        store_age_ms: u32::try_from(now.since(renewed).as_millis()).unwrap_or(u32::MAX),
        partitions,
        fetching: u16::try_from(fetching).unwrap_or(u16::MAX),
        to_fetch: u16::try_from(to_fetch).unwrap_or(u16::MAX),
        work: view.local_work(),
        uses,
        engines,
        quotas,
    };
    let mut addresses: Vec<net::SocketAddr> = view.peers().map(|(_, peer)| peer.address).collect();
    drop(view);
    state.desks.touch(now, &beat.uses);
    if let Some(searched) = searched {
        for address in state::lock(&state.peer_addresses).iter() {
            let sent = searched.get(address);
            let is_due = sent.is_none_or(|sent| now.since(*sent) >= SEARCH_INTERVAL);
            if is_due && !addresses.contains(address) {
                searched.insert(*address, now);
                addresses.push(*address);
            }
        }
    }
    if let Ok(bytes) = wire::FleetMessage::Beat(beat).encode() {
        for address in addresses.into_iter().filter(|address| *address != own_address) {
            send_bytes(state, address, &bytes);
        }
    }
}

/// Sends beats for as long as the process runs.
pub(crate) async fn send_beats(state: sync::Arc<state::GatewayState>) {
    let mut searched = FxHashMap::default();
    for round in 0_u64.. {
        async_io::Timer::after(BEAT_INTERVAL).await;
        state.extend_lease();
        let engines = round.is_multiple_of(ENGINES_EVERY).then(|| state.desks.owned(&state));
        let now = state.now();
        if let Some(engines) = &engines {
            let mut view = state.view();
            for engine in engines {
                view.take_own_engine(now, engine);
            }
            view.expire(now);
        }
        send_beat(&state, engines, Some(&mut searched));
    }
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
            Ok(wire::FleetMessage::Beat(beat)) => take_beat(&state, &beat),
            Ok(wire::FleetMessage::Ask(ask)) => take_ask(&state, &ask),
            Ok(wire::FleetMessage::Reply(reply)) => state.loads.settle(reply.ask, reply.verdict),
            Err(error) => log::warn!(
                event = event::PEER_MESSAGE_REFUSED.number; "peer_message_refused: {error}"
            ),
        }
    }
}

fn take_beat(state: &sync::Arc<state::GatewayState>, beat: &wire::FleetBeat) {
    if beat.sender == state.incarnation {
        return;
    }
    let now = state.now();
    let is_new = state.view().take_beat(now, beat);
    state.desks.touch(now, &beat.uses);
    take_quotas(state, now, beat);
    if is_new {
        log::info!(
            event = event::PEER_FOUND.number, address = beat.address.to_string(); "peer_found"
        );
        publish_engines(state);
    }
}

fn take_quotas(state: &state::GatewayState, now: instant::MonotonicTime, beat: &wire::FleetBeat) {
    let Some(routes) = state.routes.load_full() else { return };
    let mut quota = state::lock(&state.quota);
    for customer in &routes.rules().customers {
        let number = fleet_view::customer_number(&customer.name);
        if let Some(used) = beat.quotas.iter().find(|used| used.customer == number) {
            quota.take_peer_total(now, beat.sender, &customer.name, used.total);
        }
    }
}

fn take_ask(state: &sync::Arc<state::GatewayState>, ask: &wire::LoadAsk) {
    let name = demand::AdapterName {
        model: ask.model.as_str().into(),
        adapter: ask.adapter.as_str().into(),
    };
    let version = (ask.version > 0).then_some(ask.version);
    let asker = engines::LoadAsker::Peer(ask.reply_to, ask.ask);
    let missing = ask.was_missing;
    let is_taken = state.desks.ask(state.now(), ask.upstream, &name, version, missing, asker);
    let verdict = if is_taken { wire::LoadVerdict::Accepted } else { wire::LoadVerdict::NotOwner };
    reply(state, ask.reply_to, ask.ask, verdict);
}

/// Tells in the store where this instance receives messages, and finds the others there.
pub(crate) async fn find_peers(state: sync::Arc<state::GatewayState>) {
    let own = state.settings.fleet_address().to_string();
    let mut is_told = false;
    loop {
        if !is_told {
            let key = state.settings.ip.to_string();
            is_told = state.store.put(INSTANCE_TOPIC, &key, own.as_bytes()).await.is_ok();
        }
        let pause = match state.store.newest(INSTANCE_TOPIC).await {
            Ok(newest) => {
                let values = newest.records.iter().filter_map(|record| record.value.as_deref());
                let texts = values.filter_map(|value| str::from_utf8(value).ok());
                let addresses = texts.filter_map(|text| text.parse().ok()).collect();
                *state::lock(&state.peer_addresses) = addresses;
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

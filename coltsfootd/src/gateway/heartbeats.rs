//! Heartbeats: the state that an instance sends its peers, and that of its zone while it is the
//! relay.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_gateway::{fleet_view, heartbeat_plan, zone_relay};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::event;
use crate::gateway::{fleet, origins, state};

/// Every how many heartbeats the full list of owned engines is included.
const HEARTBEATS_PER_ENGINE_LIST: u64 = 4;
/// Time after the start within which a registered instance that was not heard from may run behind a partition.
const MAX_UNHEARD_TIME: time::Duration = time::Duration::from_secs(12);
/// Interval of heartbeats to a registered instance that was not heard from.
const UNHEARD_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Sequence numbers of this process's heartbeats and engine changes.
static SEQUENCE: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// Sends a change of an owned engine at once: as a full heartbeat in a small fleet, else as a
/// change message.
pub(crate) fn publish_engine(state: &state::GatewayState, id: &str) {
    let Some(engine) = state.controllers.owned_engine(state, id) else { return };
    let plan = {
        let mut view = state.view();
        view.apply_own_engine(state.now(), &engine);
        view.heartbeat_plan(&state.settings.zone)
    };
    if plan.is_immediate() {
        HeartbeatRound::to_all(plan, Some(state.controllers.owned(state))).send(state);
        return;
    }
    let sequence = SEQUENCE.fetch_add(1, atomic::Ordering::Relaxed);
    let change = wire::EngineChange { sender: state.incarnation, sequence, engine };
    let addresses = match plan.is_relayed {
        true => state.view().zone_addresses(&state.settings.zone),
        false => state.view().peer_addresses(),
    };
    fleet::send(state, addresses, &wire::FleetMessage::EngineChange(change));
}

/// Sends a heartbeat to all instances at once after this one has read new records of the store.
pub(crate) fn publish_digests(state: &state::GatewayState) {
    let plan = state.view().heartbeat_plan(&state.settings.zone);
    HeartbeatRound::to_all(plan, None).send(state);
    if plan.is_relayed {
        relay_zone(state, plan.cross_zone);
    }
}

/// Heartbeats that are sent together, to peers of the own zone, of other zones or both.
struct HeartbeatRound {
    plan: heartbeat_plan::HeartbeatPlan,
    /// Whether to send to peers in the same zone.
    is_same_zone: bool,
    /// Whether to send to peers in other zones.
    is_cross_zone: bool,
    engines: Option<Vec<wire::OwnedEngine>>,
}

impl HeartbeatRound {
    fn to_all(
        plan: heartbeat_plan::HeartbeatPlan,
        engines: Option<Vec<wire::OwnedEngine>>,
    ) -> Self {
        Self { plan, is_same_zone: true, is_cross_zone: true, engines }
    }

    fn send(self, state: &state::GatewayState) {
        let forget_usage =
            if self.plan.is_relayed { self.is_same_zone } else { self.is_cross_zone };
        let mut heartbeat = build_heartbeat(state, self.engines, forget_usage);
        if self.plan.is_relayed {
            let mut aggregator = state::lock(&state.zone_aggregator);
            aggregator.record_usage(
                state.incarnation,
                &heartbeat.quota_usage,
                &heartbeat.adapter_usage,
            );
        }
        let own_zone = &state.settings.zone;
        let peers: Vec<(bool, net::SocketAddr)> = {
            let view = state.view();
            view.peers().map(|(_, peer)| (peer.zone == *own_zone, peer.address)).collect()
        };
        for (is_same_zone, interval) in [(true, self.plan.same_zone), (false, self.plan.cross_zone)]
        {
            let is_sent = if is_same_zone {
                self.is_same_zone
            } else {
                self.is_cross_zone && !self.plan.is_relayed
            };
            if is_sent {
                let addresses = peers.iter().filter(|(same_zone, _)| *same_zone == is_same_zone);
                let addresses: Vec<_> = addresses.map(|(_, address)| *address).collect();
                send_heartbeat(state, &mut heartbeat, interval, addresses.iter().copied());
                send_unreached(state, &addresses);
            }
        }
    }
}

fn send_heartbeat(
    state: &state::GatewayState,
    heartbeat: &mut wire::FleetHeartbeat,
    interval: time::Duration,
    addresses: impl IntoIterator<Item = net::SocketAddr>,
) {
    heartbeat.interval_ms = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX);
    heartbeat.origins = origins::to_share(state, interval);
    fleet::send(state, addresses, &wire::FleetMessage::Heartbeat(heartbeat.clone()));
}

/// Tells instances what this one does not reach, so that none asks it for a tunnel there.
fn send_unreached(state: &state::GatewayState, addresses: &[net::SocketAddr]) {
    let upstreams = state.view().unreached();
    if !upstreams.is_empty() {
        let unreached = wire::UnreachedUpstreams { sender: state.incarnation, upstreams };
        let message = wire::FleetMessage::Unreached(unreached);
        fleet::send(state, addresses.iter().copied(), &message);
    }
}

/// Builds a heartbeat. Ended uses of adapters are included in each one up to the first with
/// `forget_usage`.
fn build_heartbeat(
    state: &state::GatewayState,
    engines: Option<Vec<wire::OwnedEngine>>,
    forget_usage: bool,
) -> wire::FleetHeartbeat {
    let now = state.now();
    let (quota_usage, silent) = {
        let quota = state::lock(&state.quota);
        let usage = quota.totals().map(|(customer, total)| wire::CustomerUsage {
            customer: fleet_view::customer_number(customer),
            total,
        });
        (usage.collect(), quota.silent_peers(now))
    };
    let (renewed, partitions) = {
        let lease = state.lease();
        (lease.own().renewed(), lease.own().partitions().collect())
    };
    let operator = state.to_topic_digest(state.own_operator_digest());
    let upstreams = state.to_topic_digest(state.own_upstream_digest());
    let fetching = state.controllers.fetching(now);
    let queued_fetches = state.controllers.queued_fetches();
    let (adapter_usage, work, limiter, cross_zone_peers) = {
        let mut view = state.view();
        view.set_own_backlog(fetching + queued_fetches);
        let cross_zone =
            u16::try_from(view.cross_zone_peers(&state.settings.zone)).unwrap_or(u16::MAX);
        (
            view.adapter_usage(forget_usage),
            view.local_work(),
            view.fetch_limiter().clone(),
            cross_zone,
        )
    };
    state.controllers.touch(now, &adapter_usage);
    wire::FleetHeartbeat {
        sender: state.incarnation,
        address: state.settings.fleet_address(),
        zone: state.settings.zone.to_string(),
        capacity: state.settings.cpu_permille(),
        sequence: SEQUENCE.fetch_add(1, atomic::Ordering::Relaxed),
        interval_ms: 0,
        is_draining: state.is_stopping(),
        cross_zone_peers,
        operator,
        upstreams,
        store_age_ms: u32::try_from(now.since(renewed).as_millis()).unwrap_or(u32::MAX),
        partitions,
        fetching: u16::try_from(fetching).unwrap_or(u16::MAX),
        queued_fetches: u16::try_from(queued_fetches).unwrap_or(u16::MAX),
        fetch_limit_tenths: limiter.limit_tenths(),
        fetch_ms: limiter.message_fetch_ms(),
        work,
        adapter_usage,
        engines,
        quota_usage,
        origins: Vec::new(),
        silent,
    }
}

/// Sends this zone's totals to the other zones if this instance is the relay.
fn relay_zone(state: &state::GatewayState, interval: time::Duration) {
    let now = state.now();
    let zone = &*state.settings.zone;
    let fetching = state.controllers.fetching(now);
    let queued_fetches = state.controllers.queued_fetches();
    let digests = wire::MemberDigests {
        instance: state.incarnation,
        operator: state.to_topic_digest(state.own_operator_digest()),
        upstreams: state.to_topic_digest(state.own_upstream_digest()),
    };
    let view = state.view();
    let mut aggregator = state::lock(&state.zone_aggregator);
    let member = state.own_member();
    if !view.is_relay(now, zone, member) {
        aggregator.reset();
        return;
    }
    let sequence = SEQUENCE.fetch_add(1, atomic::Ordering::Relaxed);
    let relay = zone_relay::RelayState {
        member,
        zone,
        sequence,
        interval,
        digests,
        fetching,
        queued_fetches,
    };
    let heartbeat = aggregator.build(now, &view, relay);
    let contacts = view.zone_contacts(now, zone, &state::lock(&state.listed_peers));
    drop(view);
    drop(aggregator);
    fleet::send(state, contacts, &wire::FleetMessage::ZoneHeartbeat(heartbeat));
}

/// Sends a heartbeat with all owned engines to an instance that was just discovered. In a large
/// fleet the relay does that for instances of other zones.
pub(crate) fn reply_to_new_peer(state: &state::GatewayState, peer: &wire::FleetHeartbeat) {
    let plan = state.view().heartbeat_plan(&state.settings.zone);
    if plan.is_relayed && *peer.zone != *state.settings.zone {
        return;
    }
    let mut heartbeat = build_heartbeat(state, Some(state.controllers.owned(state)), false);
    send_heartbeat(state, &mut heartbeat, UNHEARD_INTERVAL, [peer.address]);
}

/// Sends heartbeats to instances that are registered in the store but were not heard from; in a
/// large fleet only to those of the own zone.
fn contact_unheard_peers(
    state: &state::GatewayState,
    is_relayed: bool,
    contacted: &mut FxHashMap<net::SocketAddr, instant::MonotonicTime>,
) {
    let now = state.now();
    let own_address = state.settings.fleet_address();
    let heard: FxHashSet<net::SocketAddr> =
        state.view().peers().map(|(_, peer)| peer.address).chain([own_address]).collect();
    let mut due = Vec::new();
    for peer in state::lock(&state.listed_peers).iter() {
        let may_be_same_zone = peer.zone.is_empty() || peer.zone == state.settings.zone;
        if is_relayed && !may_be_same_zone {
            continue;
        }
        let sent = contacted.get(&peer.address);
        let is_due = sent.is_none_or(|sent| now.since(*sent) >= UNHEARD_INTERVAL);
        if is_due && !heard.contains(&peer.address) {
            contacted.insert(peer.address, now);
            due.push(peer.address);
        }
    }
    if !due.is_empty() {
        let mut heartbeat = build_heartbeat(state, None, false);
        send_heartbeat(state, &mut heartbeat, UNHEARD_INTERVAL, due);
    }
}

/// Sends heartbeats at the planned intervals; never returns.
pub(crate) async fn send_heartbeats(state: sync::Arc<state::GatewayState>) {
    let mut contacted = FxHashMap::default();
    let mut same_zone = HeartbeatTimer::default();
    let mut cross_zone = HeartbeatTimer::default();
    let started = state.now();
    let mut held = HeldShares::default();
    loop {
        async_io::Timer::after(heartbeat_plan::SHORTEST_INTERVAL).await;
        state.extend_lease();
        let now = state.now();
        state::lock(&state.steps).tick(now);
        let present = hold_shares(&state, now, started);
        if held != present {
            log::info!(
                event = event::QUOTA_DIVIDED.number, silent = present.silent,
                unheard = present.unheard; "quota_divided"
            );
            held = present;
        }
        let plan = {
            let mut view = state.view();
            view.expire(now);
            view.heartbeat_plan(&state.settings.zone)
        };
        let (is_same_zone, same_zone_engines) = same_zone.take_due(now, plan.same_zone);
        let (is_cross_zone, cross_zone_engines) = cross_zone.take_due(now, plan.cross_zone);
        if is_same_zone || is_cross_zone {
            let engines =
                (same_zone_engines || cross_zone_engines).then(|| state.controllers.owned(&state));
            let mut view = state.view();
            for engine in engines.iter().flatten() {
                view.apply_own_engine(now, engine);
            }
            drop(view);
            HeartbeatRound { plan, is_same_zone, is_cross_zone, engines }.send(&state);
        }
        if is_cross_zone && plan.is_relayed {
            relay_zone(&state, plan.cross_zone);
        }
        contact_unheard_peers(&state, plan.is_relayed, &mut contacted);
    }
}

/// Numbers of instances whose shares of the quotas are held for them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct HeldShares {
    silent: usize,
    unheard: u32,
}

/// Holds the shares of instances that have not been heard since the start, beside those that have fallen silent.
/// Later on, instances that are registered and not heard are gone.
fn hold_shares(
    state: &state::GatewayState,
    now: instant::MonotonicTime,
    started: instant::MonotonicTime,
) -> HeldShares {
    let is_new = now.since(started) < MAX_UNHEARD_TIME;
    let listed = if is_new { state::lock(&state.listed_peers).len() } else { 0 };
    let heard = state.view().peers().count();
    let unheard = u32::try_from(listed.saturating_sub(heard)).unwrap_or(u32::MAX);
    let mut quota = state::lock(&state.quota);
    quota.set_unheard(now, unheard);
    HeldShares { silent: quota.silent_peers(now).len(), unheard }
}

/// Schedule of the heartbeats to one group of peers.
#[derive(Default)]
struct HeartbeatTimer {
    sent: Option<instant::MonotonicTime>,
    count: u64,
}

impl HeartbeatTimer {
    /// Returns whether a heartbeat is due and whether it includes the engines; marks it as sent.
    fn take_due(&mut self, now: instant::MonotonicTime, interval: time::Duration) -> (bool, bool) {
        // The timer ticks at the shortest interval, so a heartbeat is sent at the nearest tick.
        let is_early = |sent| now.since(sent) + heartbeat_plan::SHORTEST_INTERVAL / 2 < interval;
        if self.sent.is_some_and(is_early) {
            return (false, false);
        }
        self.sent = Some(now);
        let has_engines = self.count.is_multiple_of(HEARTBEATS_PER_ENGINE_LIST);
        self.count += 1;
        (true, has_engines)
    }
}

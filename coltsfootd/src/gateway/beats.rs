//! Beats: what an instance tells the others of itself, and of its zone while it is the zone's relay.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_gateway::{fleet_view, heartbeat_plan, zone_relay};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::gateway::{fleet, state};

/// Beats after which the engines owned are told again.
const ENGINES_EVERY: u64 = 4;
/// Time between beats to an instance that was not heard from.
const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Numbers the beats and changes of this process.
static SEQUENCE: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// Tells all others at once what changed at an owned engine: with a whole beat in a small fleet.
pub(crate) fn publish_engine(state: &state::GatewayState, id: &str) {
    let Some(engine) = state.desks.owned_engine(state, id) else { return };
    let plan = {
        let mut view = state.view();
        view.apply_own_engine(state.now(), &engine);
        view.heartbeat_plan(&state.settings.zone)
    };
    if plan.is_immediate() {
        BeatRound::whole(plan, Some(state.desks.owned(state))).send(state);
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

/// Tells all instances at once that this one has read something new.
pub(crate) fn publish_reading(state: &state::GatewayState) {
    let plan = state.view().heartbeat_plan(&state.settings.zone);
    BeatRound::whole(plan, None).send(state);
    if plan.is_relayed {
        relay_zone(state, plan.cross_zone);
    }
}

/// The beats that are sent at one time.
struct BeatRound {
    plan: heartbeat_plan::HeartbeatPlan,
    /// Whether the instances of the same zone get one.
    is_near: bool,
    /// Whether those of other zones get one.
    is_far: bool,
    engines: Option<Vec<wire::OwnedEngine>>,
}

impl BeatRound {
    fn whole(plan: heartbeat_plan::HeartbeatPlan, engines: Option<Vec<wire::OwnedEngine>>) -> Self {
        Self { plan, is_near: true, is_far: true, engines }
    }

    fn send(self, state: &state::GatewayState) {
        let forget_uses = if self.plan.is_relayed { self.is_near } else { self.is_far };
        let mut beat = build_beat(state, self.engines, forget_uses);
        if self.plan.is_relayed {
            let mut digest = state::lock(&state.digest);
            digest.record_usage(state.incarnation, &beat.quota_usage, &beat.adapter_usage);
        }
        let own_zone = &state.settings.zone;
        let peers: Vec<(bool, net::SocketAddr)> = {
            let view = state.view();
            view.peers().map(|(_, peer)| (peer.zone == *own_zone, peer.address)).collect()
        };
        for (is_near, interval) in [(true, self.plan.same_zone), (false, self.plan.cross_zone)] {
            let is_sent = if is_near { self.is_near } else { self.is_far && !self.plan.is_relayed };
            if is_sent {
                let addresses = peers.iter().filter(|(near, _)| *near == is_near);
                send_beat(state, &mut beat, interval, addresses.map(|(_, address)| *address));
            }
        }
    }
}

fn send_beat(
    state: &state::GatewayState,
    beat: &mut wire::FleetHeartbeat,
    interval: time::Duration,
    addresses: impl IntoIterator<Item = net::SocketAddr>,
) {
    beat.interval_ms = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX);
    fleet::send(state, addresses, &wire::FleetMessage::Heartbeat(beat.clone()));
}

/// Builds a beat. Uses of adapters that ended are told until `forget_uses`.
fn build_beat(
    state: &state::GatewayState,
    engines: Option<Vec<wire::OwnedEngine>>,
    forget_uses: bool,
) -> wire::FleetHeartbeat {
    let now = state.now();
    let quota_usage = state::lock(&state.quota)
        .totals()
        .map(|(customer, total)| wire::CustomerUsage {
            customer: fleet_view::customer_number(customer),
            total,
        })
        .collect();
    let (renewed, partitions) = {
        let lease = state.lease();
        (lease.renewed(), lease.partitions().collect())
    };
    let operator = state.told_reading(state.own_operator());
    let upstreams = state.told_reading(state.own_upstreams());
    let fetching = state.desks.fetching(now);
    let queued_fetches = state.desks.queued_fetches();
    let (adapter_usage, work, pace, cross_zone_peers) = {
        let mut view = state.view();
        view.set_own_backlog(fetching + queued_fetches);
        let far = u16::try_from(view.cross_zone_peers(&state.settings.zone)).unwrap_or(u16::MAX);
        (view.adapter_usage(forget_uses), view.local_work(), view.fetch_limiter().clone(), far)
    };
    state.desks.touch(now, &adapter_usage);
    wire::FleetHeartbeat {
        sender: state.incarnation,
        address: state.settings.fleet_address(),
        zone: state.settings.zone.to_string(),
        capacity: state.settings.capacity(),
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
        fetch_limit_tenths: pace.limit_tenths(),
        fetch_ms: u16::try_from(pace.fetch_time().as_millis()).unwrap_or(u16::MAX),
        work,
        adapter_usage,
        engines,
        quota_usage,
    }
}

/// Tells the other zones of this one if this instance is its relay.
fn relay_zone(state: &state::GatewayState, interval: time::Duration) {
    let now = state.now();
    let zone = &*state.settings.zone;
    let fetching = state.desks.fetching(now);
    let queued_fetches = state.desks.queued_fetches();
    let digests = wire::MemberDigests {
        instance: state.incarnation,
        operator: state.told_reading(state.own_operator()),
        upstreams: state.told_reading(state.own_upstreams()),
    };
    let view = state.view();
    let mut digest = state::lock(&state.digest);
    let member = state.own_member();
    if !view.is_relay(now, zone, member) {
        digest.reset();
        return;
    }
    let sequence = SEQUENCE.fetch_add(1, atomic::Ordering::Relaxed);
    let own = zone_relay::RelayState {
        member,
        zone,
        sequence,
        interval,
        digests,
        fetching,
        queued_fetches,
    };
    let beat = digest.build(now, &view, own);
    let contacts = view.zone_contacts(now, zone, &state::lock(&state.found_peers));
    drop(view);
    drop(digest);
    fleet::send(state, contacts, &wire::FleetMessage::ZoneHeartbeat(beat));
}

/// Tells an instance that was just found what this one knows. In a large fleet the relays tell those
/// of other zones.
pub(crate) fn answer_newcomer(state: &state::GatewayState, newcomer: &wire::FleetHeartbeat) {
    let plan = state.view().heartbeat_plan(&state.settings.zone);
    if plan.is_relayed && *newcomer.zone != *state.settings.zone {
        return;
    }
    let mut beat = build_beat(state, Some(state.desks.owned(state)), false);
    send_beat(state, &mut beat, SEARCH_INTERVAL, [newcomer.address]);
}

/// Sends beats to machines that are known from the store but not heard from; in a large fleet only to
/// those of the own zone.
fn search_peers(
    state: &state::GatewayState,
    is_relayed: bool,
    searched: &mut FxHashMap<net::SocketAddr, instant::MonotonicTime>,
) {
    let now = state.now();
    let own_address = state.settings.fleet_address();
    let heard: FxHashSet<net::SocketAddr> =
        state.view().peers().map(|(_, peer)| peer.address).chain([own_address]).collect();
    let mut due = Vec::new();
    for peer in state::lock(&state.found_peers).iter() {
        let may_be_near = peer.zone.is_empty() || peer.zone == state.settings.zone;
        if is_relayed && !may_be_near {
            continue;
        }
        let sent = searched.get(&peer.address);
        let is_due = sent.is_none_or(|sent| now.since(*sent) >= SEARCH_INTERVAL);
        if is_due && !heard.contains(&peer.address) {
            searched.insert(peer.address, now);
            due.push(peer.address);
        }
    }
    if !due.is_empty() {
        let mut beat = build_beat(state, None, false);
        send_beat(state, &mut beat, SEARCH_INTERVAL, due);
    }
}

/// Sends beats for as long as the process runs.
pub(crate) async fn send_beats(state: sync::Arc<state::GatewayState>) {
    let mut searched = FxHashMap::default();
    let mut near = BeatTimer::default();
    let mut far = BeatTimer::default();
    loop {
        async_io::Timer::after(heartbeat_plan::SHORTEST_INTERVAL).await;
        state.extend_lease();
        let now = state.now();
        let plan = {
            let mut view = state.view();
            view.expire(now);
            view.heartbeat_plan(&state.settings.zone)
        };
        let (is_near, near_engines) = near.take_due(now, plan.same_zone);
        let (is_far, far_engines) = far.take_due(now, plan.cross_zone);
        if is_near || is_far {
            let engines = (near_engines || far_engines).then(|| state.desks.owned(&state));
            let mut view = state.view();
            for engine in engines.iter().flatten() {
                view.apply_own_engine(now, engine);
            }
            drop(view);
            BeatRound { plan, is_near, is_far, engines }.send(&state);
        }
        if is_far && plan.is_relayed {
            relay_zone(&state, plan.cross_zone);
        }
        search_peers(&state, plan.is_relayed, &mut searched);
    }
}

/// When beats of one kind were sent.
#[derive(Default)]
struct BeatTimer {
    sent: Option<instant::MonotonicTime>,
    beats: u64,
}

impl BeatTimer {
    /// Returns whether a beat is due, and whether it tells of the engines; notes that it is sent.
    fn take_due(&mut self, now: instant::MonotonicTime, interval: time::Duration) -> (bool, bool) {
        // The timer's resolution is that of the shortest interval.
        let is_early = |sent| now.since(sent) + heartbeat_plan::SHORTEST_INTERVAL / 2 < interval;
        if self.sent.is_some_and(is_early) {
            return (false, false);
        }
        self.sent = Some(now);
        let has_engines = self.beats.is_multiple_of(ENGINES_EVERY);
        self.beats += 1;
        (true, has_engines)
    }
}

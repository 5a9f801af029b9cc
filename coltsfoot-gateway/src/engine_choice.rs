//! Chooses the upstream of a request by the expected time to its first event, plus costs in the same
//! unit.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;

use crate::{
    demand, fleet_view, path_table, rendezvous, rules, send_permits, upstream, upstream_slot,
};

/// Prompt tokens that an engine prefills per millisecond while it serves its running requests.
pub const PREFILL_TOKENS_PER_MS: f64 = 33.0;
/// Expected time from the end of the prompt to the first event, in milliseconds.
pub const FIRST_EVENT_MS: f64 = 40.0;
/// Expected time to load an adapter that the engine held recently, in milliseconds.
const WARM_LOAD_MS: f64 = 45.0;
/// Expected time from the end of a fetch until requests may use the adapter, in milliseconds.
const FETCH_MARGIN_MS: f64 = 20.0;
/// Cost of a fetch for the operators and for other fetches, in milliseconds.
const FETCH_COST_MS: f64 = 100.0;
/// Cost of fetching an adapter that no engine holds to an engine other than its home, the first by
/// rendezvous hashing, in milliseconds: later requests prefer the home.
const OFF_HOME_COST_MS: f64 = 100.0;
/// Cost of another replica of an adapter that no request uses, by the engine's rank for the adapter, in
/// milliseconds: the replica evicts an adapter that others may need.
const REPLICA_COST_MS: [f64; 4] = [0.0, 700.0, 800.0, 900.0];
/// Cost of a replica at an engine of a lower rank, in milliseconds.
const FAR_REPLICA_COST_MS: f64 = 1_000.0;
/// Cost of a request that fails and is retried, in milliseconds.
const FAILURE_COST_MS: f64 = 1500.0;
/// Cost of an upstream in another availability zone, in milliseconds.
const CROSS_ZONE_COST_MS: f64 = 4.0;
/// Cost of an upstream in an availability zone that is probably unreachable, in milliseconds.
const SUSPECT_ZONE_COST_MS: f64 = 2_000.0;
/// Cost of each running request above an upstream's slots, in milliseconds.
const QUEUED_REQUEST_COST_MS: f64 = 40.0;
/// Cost of an upstream to which connections failed recently, in milliseconds.
const AVOIDED_COST_MS: f64 = 5_000.0;
/// Cost of an upstream that is reached through another instance, in milliseconds.
const TUNNEL_COST_MS: f64 = 8.0;
/// Cost of an upstream that has running requests and sends nothing, in milliseconds.
const SILENT_COST_MS: f64 = 1500.0;
/// Share of the shared prompt tokens that the preferred engine of a prefix is expected to have cached.
const AFFINITY_SHARE: f64 = 0.7;
/// Expected duration of a plain request, in milliseconds.
const PLAIN_REQUEST_MS: f64 = 60.0;

/// Most by which a wait counts as longer at random, as a share of it: instances that know the same would all send
/// to the same upstream until they hear of each other's requests.
const MAX_SPREAD: f64 = 0.3;

/// Share of the logarithm of an upstream's speed that counts: instances hear late of each other's requests, and
/// would send too many to the fastest.
const SPEED_SHARE: f64 = 0.7;

/// The upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenUpstream {
    /// Id of the upstream.
    pub id: sync::Arc<str>,
    /// Expected time to the first event plus costs other than that of an evacuated zone, in milliseconds.
    pub expected_ms: f64,
    /// Time to the first event, or of a whole response, that is expected without any samples of the upstream's
    /// speed and without costs, in milliseconds.
    pub prior_ms: f64,
    /// Whether the engine must load the adapter first.
    pub needs_load: bool,
    /// Version of its software.
    pub build: upstream::BuildKey,
}

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRequest<'a> {
    /// Service whose upstreams may be chosen.
    pub service: &'a rules::ServiceRule,
    /// Demand on a model engine; `None` for a plain service.
    pub demand: Option<&'a demand::PromptDemand>,
    /// Availability zone of this instance.
    pub zone: &'a str,
    /// Ids of upstreams to exclude.
    pub tried: &'a [sync::Arc<str>],
    /// The only version of software that may be chosen; `None` if any may.
    pub build: Option<upstream::BuildKey>,
}

/// Chooses the upstream with the lowest expected time; `None` if no upstream can be used.
pub fn choose(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    request: &PlacedRequest<'_>,
) -> Option<ChosenUpstream> {
    let suspects = view.suspect_zones(now);
    let ready = view.ready_upstreams(now, &request.service.name);
    let candidates: Vec<&upstream_slot::UpstreamSlot> = ready
        .filter(|slot| request.build.is_none_or(|build| slot.build == build))
        .filter(|slot| !request.tried.contains(&slot.entry.id))
        .filter(|slot| view.may_send(now, slot))
        .collect();
    let mut chosen = match request.demand {
        Some(demand) => choose_engine(now, view, request, demand, &candidates, &suspects),
        None => choose_plain(now, view, request, &candidates, &suspects),
    }?;
    // The cost of a zone is no time to the first event, by which the engine's speed is measured.
    let zone = view.upstream(&chosen.id).map(|slot| &*slot.entry.zone);
    chosen.expected_ms -= zone.map_or(0.0, |zone| view.evacuations().cost(now, zone));
    Some(chosen)
}

fn common_cost(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    request: &PlacedRequest<'_>,
    slot: &upstream_slot::UpstreamSlot,
    suspects: &[&str],
) -> f64 {
    let is_near = &*slot.entry.zone == request.zone;
    let zone = match is_near {
        true => 0.0,
        false if suspects.contains(&&*slot.entry.zone) => SUSPECT_ZONE_COST_MS,
        false => CROSS_ZONE_COST_MS,
    };
    let avoided = if slot.is_avoided(now) { AVOIDED_COST_MS } else { 0.0 };
    let path = match view.path_to(slot) {
        path_table::UpstreamPath::Direct => 0.0,
        path_table::UpstreamPath::Lost(_) if view.has_carrier(slot.number) => TUNNEL_COST_MS,
        path_table::UpstreamPath::Lost(_) => AVOIDED_COST_MS,
    };
    let silent = if slot.is_silent(now) { SILENT_COST_MS } else { 0.0 };
    let evacuated = view.evacuations().cost(now, &slot.entry.zone);
    let cold = view.permit_interval(now, slot).as_secs_f64() * 1000.0;
    let failures = slot.failure_rate(now) * FAILURE_COST_MS;
    zone + evacuated + avoided + path + silent + cold + failures
}

fn choose_plain(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    request: &PlacedRequest<'_>,
    candidates: &[&upstream_slot::UpstreamSlot],
    suspects: &[&str],
) -> Option<ChosenUpstream> {
    let factor = view.service_factor(&request.service.name);
    let costs = candidates.iter().map(|slot| {
        let wait = plain_wait(now, slot, factor);
        let cost = wait.expected_ms + common_cost(now, view, request, slot, suspects);
        (cost + wait.spread_ms, cost, wait, slot)
    });
    let (_, expected_ms, wait, slot) =
        costs.min_by(|(one, ..), (other, ..)| one.total_cmp(other))?;
    let id = sync::Arc::clone(&slot.entry.id);
    let prior_ms = wait.prior_ms;
    Some(ChosenUpstream { id, expected_ms, prior_ms, needs_load: false, build: slot.build })
}

fn choose_engine(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    request: &PlacedRequest<'_>,
    demand: &demand::PromptDemand,
    candidates: &[&upstream_slot::UpstreamSlot],
    suspects: &[&str],
) -> Option<ChosenUpstream> {
    let key = demand.adapter.as_ref().map(demand::AdapterName::key);
    let weights = demand.weights_key();
    let mut ranked: Vec<&upstream_slot::UpstreamSlot> =
        candidates.iter().copied().filter(|slot| slot.residency.has_model).collect();
    ranked
        .sort_by_key(|slot| std::cmp::Reverse(rendezvous::weight(weights, u64::from(slot.number))));
    let holds = |slot: &upstream_slot::UpstreamSlot| {
        key.is_none_or(|key| view.has_usable_adapter(now, slot, key))
    };
    let preferred = preferred_holder(demand, &ranked, &holds);
    let wanted = key.map(|key| WantedAdapter::new(now, view, &ranked, key));
    let factor = view.service_factor(&request.service.name);
    let costs = ranked.iter().enumerate().filter_map(|(rank, slot)| {
        let is_held = holds(slot);
        let load = match &wanted {
            Some(wanted) if !is_held => wanted.load_cost(now, view, slot, rank)?,
            _ => 0.0,
        };
        // The prefix cache of a cold engine is probably empty.
        let is_preferred = preferred == Some(slot.number) && !view.is_cold(now, slot);
        let wait = engine_wait(now, slot, demand, is_preferred, factor);
        let cost = wait.expected_ms + load + common_cost(now, view, request, slot, suspects);
        Some((cost + wait.spread_ms, cost, wait, slot, !is_held))
    });
    let best = costs.min_by(|(one, ..), (other, ..)| one.total_cmp(other));
    let (_, expected_ms, wait, slot, needs_load) = best?;
    let id = sync::Arc::clone(&slot.entry.id);
    let prior_ms = wait.prior_ms;
    Some(ChosenUpstream { id, expected_ms, prior_ms, needs_load, build: slot.build })
}

/// An adapter that may have to be loaded, with what all engines have in common for it.
struct WantedAdapter {
    key: demand::AdapterKey,
    /// Whether an engine holds the adapter or loads it.
    has_replica: bool,
    /// Requests that run on the adapter, including this one.
    users: f64,
    /// Cost of a fetch, in milliseconds.
    fetch_ms: f64,
}

impl WantedAdapter {
    fn new(
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        engines: &[&upstream_slot::UpstreamSlot],
        key: demand::AdapterKey,
    ) -> Self {
        let fetch_time = view.fetch_load(view.fetch_backlog()).expected_time();
        Self {
            key,
            has_replica: engines.iter().any(|slot| {
                view.has_usable_adapter(now, slot, key) || slot.expected_ready(now, key).is_some()
            }),
            users: 1.0 + f64::from(view.adapter_running(now, key)),
            fetch_ms: fetch_time.as_secs_f64() * 1000.0 + FETCH_MARGIN_MS + FETCH_COST_MS,
        }
    }

    /// Returns the cost of loading the adapter at an engine, in milliseconds; `None` if the engine can't
    /// load it. `rank` is the engine's position in the rendezvous order of the adapter.
    fn load_cost(
        &self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        slot: &upstream_slot::UpstreamSlot,
        rank: usize,
    ) -> Option<f64> {
        let residency = &slot.residency;
        if !residency.takes_orders || !view.is_owner_live(now, slot) {
            return None;
        }
        if let Some(ready) = slot.expected_ready(now, self.key) {
            let off_home = if rank == 0 || slot.is_warm(self.key) { 0.0 } else { OFF_HOME_COST_MS };
            return Some(ready.since(now).as_secs_f64() * 1000.0 + off_home);
        }
        if residency.available_slots == 0 {
            return None;
        }
        let is_warm = slot.is_warm(self.key);
        let load = if is_warm { WARM_LOAD_MS } else { self.fetch_ms };
        let load = load + order_interval(now, view, slot);
        let placement = match self.has_replica {
            // The cost of the occupied slot is shared by all requests that use the replica.
            true => REPLICA_COST_MS.get(rank).unwrap_or(&FAR_REPLICA_COST_MS) / self.users,
            false if rank == 0 || is_warm => 0.0,
            false => OFF_HOME_COST_MS,
        };
        Some(load + placement)
    }
}

/// Returns the time until an engine accepts another order under its request limit, in milliseconds.
fn order_interval(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    slot: &upstream_slot::UpstreamSlot,
) -> f64 {
    let limit = view.send_limit(now, slot.number);
    limit.map_or(0.0, |limit| send_permits::order_interval(limit.per_s).as_secs_f64() * 1000.0)
}

/// Returns the holder preferred by requests with the same prompt prefix, so that the prefix stays cached
/// there.
fn preferred_holder(
    demand: &demand::PromptDemand,
    ranked: &[&upstream_slot::UpstreamSlot],
    holds: &impl Fn(&upstream_slot::UpstreamSlot) -> bool,
) -> Option<u32> {
    let key = demand.prefix_key() ^ demand.weights_key();
    let holders = ranked.iter().filter(|slot| holds(slot)).map(|slot| slot.number);
    holders.max_by_key(|number| rendezvous::weight(key, u64::from(*number)))
}

/// Expected time at an upstream, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ExpectedWait {
    /// With everything that is known of its speed.
    expected_ms: f64,
    /// Without any samples of its speed.
    prior_ms: f64,
    /// Cost that spreads the requests of instances that know the same.
    spread_ms: f64,
}

/// Returns the expected time to the first event at an engine that has the adapter. `factor` is the one of a
/// service whose responses state their pace.
fn engine_wait(
    now: clock::MonotonicTime,
    slot: &upstream_slot::UpstreamSlot,
    demand: &demand::PromptDemand,
    is_preferred: bool,
    factor: Option<f64>,
) -> ExpectedWait {
    let work = slot.work(now);
    let mut cached = f64::from(slot.cached_tokens(demand));
    if is_preferred {
        cached = cached.max(f64::from(demand.shared_tokens()) * AFFINITY_SHARE);
    }
    let prefill = work.prefill_tokens as f64 + (f64::from(demand.prompt_tokens) - cached).max(0.0);
    let read_ms = prefill / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS;
    let queue_ms =
        |running: u32| f64::from(running.saturating_sub(slot.entry.slots)) * QUEUED_REQUEST_COST_MS;
    let Some(factor) = factor else {
        let queue_ms = queue_ms(work.running);
        return ExpectedWait {
            expected_ms: read_ms * slot.slowness + queue_ms,
            prior_ms: read_ms + queue_ms,
            spread_ms: 0.0,
        };
    };
    let running = slot.estimate.running(now, work.running, slot.local.running, slot.entry.slots);
    let prior_ms = read_ms + queue_ms(running);
    estimated_wait(now, slot, prior_ms, factor)
}

/// Returns the expected time of a plain request. `factor` is the one of a service whose responses state their
/// pace.
fn plain_wait(
    now: clock::MonotonicTime,
    slot: &upstream_slot::UpstreamSlot,
    factor: Option<f64>,
) -> ExpectedWait {
    let known = slot.work(now).running;
    let slots = slot.entry.slots.max(1);
    let rounds = |running: u32| f64::from(running) / f64::from(slots);
    let Some(factor) = factor else {
        let wait_ms = (rounds(known) + 1.0) * PLAIN_REQUEST_MS;
        return ExpectedWait { expected_ms: wait_ms, prior_ms: wait_ms, spread_ms: 0.0 };
    };
    let running = slot.estimate.running(now, known, slot.local.running, slots);
    let wait = estimated_wait(now, slot, (rounds(running) + 1.0) * PLAIN_REQUEST_MS, factor);
    // A free slot serves at once, however many others are in use.
    let served = wait.prior_ms * (rounds(running + 1).max(1.0) / (rounds(running) + 1.0));
    ExpectedWait { prior_ms: served, ..wait }
}

/// Returns the expected time of work that takes `prior_ms` without any samples: by the speed of the upstream and
/// its pace at this moment.
fn estimated_wait(
    now: clock::MonotonicTime,
    slot: &upstream_slot::UpstreamSlot,
    prior_ms: f64,
    factor: f64,
) -> ExpectedWait {
    let speed = slot.estimate.speed_share(now, SPEED_SHARE);
    let usual_ms = prior_ms * factor * speed * slot.estimate.slowness(now);
    let horizon = time::Duration::try_from_secs_f64(usual_ms / 1000.0).unwrap_or_default();
    let pace = slot.estimate.pace(now, horizon);
    let expected_ms = usual_ms * pace;
    // The microsecond of the choice differs between instances.
    let draw = rendezvous::weight(now.0, u64::from(slot.number)) as f64 / u64::MAX as f64;
    ExpectedWait {
        expected_ms,
        prior_ms: prior_ms * pace,
        spread_ms: expected_ms * draw * MAX_SPREAD,
    }
}

//! Chooses the upstream of a request by the expected time to its first event.

use std::sync;

use coltsfoot_types::time as clock;

use crate::{demand, fleet_view, rendezvous, rules, send_permits, upstream_slot};

/// Prompt tokens that an engine reads in a millisecond, beside its running requests.
pub const PREFILL_TOKENS_PER_MS: f64 = 33.0;
/// Expected time from the end of the prompt to the first event, in milliseconds.
pub const FIRST_EVENT_MS: f64 = 40.0;
/// Expected time to load an adapter that the engine held recently, in milliseconds.
const WARM_LOAD_MS: f64 = 45.0;
/// Expected time from the end of a fetch to the engine's leave for requests, in milliseconds.
const FETCH_MARGIN_MS: f64 = 20.0;
/// Cost of a fetch to the operators and to other fetches, in milliseconds.
const FETCH_PRICE_MS: f64 = 100.0;
/// Cost of fetching an adapter that no engine holds to another one than its first, in milliseconds:
/// later requests look for it at its first.
const MOVED_MS: f64 = 100.0;
/// Cost of a further copy of an adapter that nobody uses, by its place in the adapter's order of
/// engines, in milliseconds: what others lose by the adapter that makes way.
const COPY_MS: [f64; 4] = [0.0, 700.0, 800.0, 900.0];
/// Cost of a copy further down that order, in milliseconds.
const FAR_COPY_MS: f64 = 1_000.0;
/// Cost of a request that fails and is sent again, in milliseconds.
const FAILURE_MS: f64 = 1500.0;
/// Cost of another availability zone, in milliseconds.
const ZONE_MS: f64 = 4.0;
/// Cost of an availability zone that is probably cut off, in milliseconds.
const SUSPECT_ZONE_MS: f64 = 2_000.0;
/// Cost of each request beyond the places of an upstream, in milliseconds.
const QUEUED_MS: f64 = 40.0;
/// Cost of an upstream to which connections failed a moment ago, in milliseconds.
const AVOIDED_MS: f64 = 5_000.0;
/// Cost of an upstream with running requests from which nothing comes, in milliseconds.
const SILENT_MS: f64 = 1500.0;
/// Share of the shared tokens that the preferred holder of a subject is expected to have kept.
const AFFINITY_SHARE: f64 = 0.7;
/// Expected time of a plain request, in milliseconds.
const PLAIN_WORK_MS: f64 = 60.0;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenUpstream {
    /// The upstream.
    pub id: sync::Arc<str>,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether the adapter must be loaded first.
    pub needs_load: bool,
}

/// What is being placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRequest<'a> {
    /// The service.
    pub service: &'a rules::ServiceRule,
    /// What it asks of an engine; `None` for a plain service.
    pub demand: Option<&'a demand::PromptDemand>,
    /// Availability zone of this instance.
    pub zone: &'a str,
    /// Upstreams to avoid.
    pub tried: &'a [sync::Arc<str>],
}

/// Chooses the upstream with the least expected time; `None` if there is none to use.
pub fn choose(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    request: &PlacedRequest<'_>,
) -> Option<ChosenUpstream> {
    let suspects = view.suspect_zones(now);
    let ready = view.ready_upstreams(now, &request.service.name);
    let candidates: Vec<&upstream_slot::UpstreamSlot> =
        ready.filter(|slot| !request.tried.contains(&slot.entry.id)).collect();
    match request.demand {
        Some(demand) => choose_engine(now, view, request, demand, &candidates, &suspects),
        None => choose_plain(now, request, &candidates, &suspects),
    }
}

fn common_cost(
    now: clock::MonotonicTime,
    request: &PlacedRequest<'_>,
    slot: &upstream_slot::UpstreamSlot,
    suspects: &[&str],
) -> f64 {
    let is_near = &*slot.entry.zone == request.zone;
    let zone = match is_near {
        true => 0.0,
        false if suspects.contains(&&*slot.entry.zone) => SUSPECT_ZONE_MS,
        false => ZONE_MS,
    };
    let avoided = if slot.is_avoided(now) { AVOIDED_MS } else { 0.0 };
    let silent = if slot.is_silent(now) { SILENT_MS } else { 0.0 };
    zone + avoided + silent + slot.failure_rate(now) * FAILURE_MS
}

fn choose_plain(
    now: clock::MonotonicTime,
    request: &PlacedRequest<'_>,
    candidates: &[&upstream_slot::UpstreamSlot],
    suspects: &[&str],
) -> Option<ChosenUpstream> {
    let costs = candidates.iter().map(|slot| {
        let work = slot.work(now);
        let slots = slot.entry.slots.max(1);
        let rounds = f64::from(work.running) / f64::from(slots);
        (rounds * PLAIN_WORK_MS + common_cost(now, request, slot, suspects), slot)
    });
    let (cost, slot) = costs.min_by(|(one, _), (other, _)| one.total_cmp(other))?;
    let id = sync::Arc::clone(&slot.entry.id);
    Some(ChosenUpstream { id, expected_ms: cost + PLAIN_WORK_MS, needs_load: false })
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
    let home = demand.weights_key();
    let mut ranked: Vec<&upstream_slot::UpstreamSlot> =
        candidates.iter().copied().filter(|slot| slot.residency.has_model).collect();
    ranked.sort_by_key(|slot| std::cmp::Reverse(rendezvous::weight(home, u64::from(slot.number))));
    let holds = |slot: &upstream_slot::UpstreamSlot| {
        key.is_none_or(|key| view.has_usable_adapter(now, slot, key))
    };
    let preferred = preferred_holder(demand, &ranked, &holds);
    let wanted = key.map(|key| WantedAdapter::new(now, view, &ranked, key));
    let costs = ranked.iter().enumerate().filter_map(|(rank, slot)| {
        let is_held = holds(slot);
        let load = match &wanted {
            Some(wanted) if !is_held => wanted.load_cost(now, view, slot, rank)?,
            _ => 0.0,
        };
        let wait = engine_wait(now, slot, demand, preferred == Some(slot.number));
        Some((wait + load + common_cost(now, request, slot, suspects), slot, !is_held))
    });
    let best = costs.min_by(|(one, ..), (other, ..)| one.total_cmp(other));
    let (expected_ms, slot, needs_load) = best?;
    Some(ChosenUpstream { id: sync::Arc::clone(&slot.entry.id), expected_ms, needs_load })
}

/// What is the same at all engines for an adapter that may have to be loaded.
struct WantedAdapter {
    key: demand::AdapterKey,
    /// Whether an engine holds it or will soon.
    is_somewhere: bool,
    /// Requests that run on it, and this one.
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
            is_somewhere: engines.iter().any(|slot| {
                view.has_usable_adapter(now, slot, key) || slot.expected_ready(now, key).is_some()
            }),
            users: 1.0 + f64::from(view.adapter_running(now, key)),
            fetch_ms: fetch_time.as_secs_f64() * 1000.0 + FETCH_MARGIN_MS + FETCH_PRICE_MS,
        }
    }

    /// Returns the cost of loading the adapter at an engine, which has a place in its order of engines;
    /// `None` if that is not possible.
    fn load_cost(
        &self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        slot: &upstream_slot::UpstreamSlot,
        rank: usize,
    ) -> Option<f64> {
        let residency = &slot.residency;
        if !residency.takes_orders || !view.is_owner_heard(now, slot) {
            return None;
        }
        if let Some(ready) = slot.expected_ready(now, self.key) {
            let moved = if rank == 0 || slot.is_warm(self.key) { 0.0 } else { MOVED_MS };
            return Some(ready.since(now).as_secs_f64() * 1000.0 + moved);
        }
        if residency.available_slots == 0 {
            return None;
        }
        let is_warm = slot.is_warm(self.key);
        let load = if is_warm { WARM_LOAD_MS } else { self.fetch_ms };
        let load = load + order_interval(now, view, slot);
        let further = match self.is_somewhere {
            // What others lose by the place of a copy, shared by those who use it.
            true => COPY_MS.get(rank).unwrap_or(&FAR_COPY_MS) / self.users,
            false if rank == 0 || is_warm => 0.0,
            false => MOVED_MS,
        };
        Some(load + further)
    }
}

/// Returns the time until an engine takes one more order, within the limit that it named, in milliseconds.
fn order_interval(
    now: clock::MonotonicTime,
    view: &fleet_view::FleetView,
    slot: &upstream_slot::UpstreamSlot,
) -> f64 {
    let limit = view.limits().limit(now, slot.number);
    limit.map_or(0.0, |per_s| send_permits::order_interval(per_s).as_secs_f64() * 1000.0)
}

/// Returns the holder that requests of one subject go to, so that its prompt is kept there.
fn preferred_holder(
    demand: &demand::PromptDemand,
    ranked: &[&upstream_slot::UpstreamSlot],
    holds: &impl Fn(&upstream_slot::UpstreamSlot) -> bool,
) -> Option<u32> {
    let subject = demand.prefix_key() ^ demand.weights_key();
    let holders = ranked.iter().filter(|slot| holds(slot)).map(|slot| slot.number);
    holders.max_by_key(|number| rendezvous::weight(subject, u64::from(*number)))
}

/// Returns the expected time to the first event at an engine that has the adapter, in milliseconds.
fn engine_wait(
    now: clock::MonotonicTime,
    slot: &upstream_slot::UpstreamSlot,
    demand: &demand::PromptDemand,
    is_preferred: bool,
) -> f64 {
    let work = slot.work(now);
    let mut kept = f64::from(slot.cached_tokens(demand));
    if is_preferred {
        kept = kept.max(f64::from(demand.shared_tokens()) * AFFINITY_SHARE);
    }
    let unread = work.prefill_tokens as f64 + (f64::from(demand.prompt_tokens) - kept).max(0.0);
    let beyond = f64::from(work.running.saturating_sub(slot.entry.slots));
    (unread / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS) * slot.slowness + beyond * QUEUED_MS
}

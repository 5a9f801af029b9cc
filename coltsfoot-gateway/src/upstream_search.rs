//! A request's search for an upstream that can run it: whether to send the request, load an adapter,
//! wait or refuse.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use smallvec::{SmallVec, smallvec};

use crate::{engine_choice, fleet_view};

/// A request waits up to 1/4 of its target latency for an upstream with a free slot. With 1/2, fewer
/// requests of a burst were served in time, since their first events came too late.
const MAX_WAIT_DIVISOR: u32 = 4;
/// Time between two searches for an upstream.
const SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Failed loads after which a request is refused.
const MAX_FAILED_LOADS: u32 = 3;
/// Default retry delay for callers: two heartbeats, after which this instance knows which slots the
/// other instances have freed.
pub const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Retry delay for callers while all upstreams of a service are evacuated, which an operator decides.
pub const EVACUATED_PAUSE: time::Duration = time::Duration::from_secs(2);

/// Outcome of a load request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadEnd {
    /// The adapter is ready.
    Ready,
    /// The engine has no free slot for it.
    NoSlot,
    /// The owner of the engine did not answer or could not load the adapter.
    Failed,
}

/// Next step of a search.
#[derive(Clone, Debug, PartialEq)]
pub enum SearchStep {
    /// Send the request to this upstream.
    Send(engine_choice::ChosenUpstream),
    /// Request the adapter from the owner of this engine, then call [`UpstreamSearch::load_ended`].
    Load(engine_choice::ChosenUpstream),
    /// Search again after this time.
    Wait(time::Duration),
    /// Refuse the request, which has not run, with this reason code.
    Refuse(&'static str),
}

/// Search for an upstream on behalf of one request.
#[derive(Clone, Debug)]
pub struct UpstreamSearch {
    wait_until: clock::MonotonicTime,
    /// Engines that had no free slot or whose load failed, since the last wait.
    without_slot: SmallVec<[sync::Arc<str>; 4]>,
    failed_loads: u32,
}

impl UpstreamSearch {
    /// Creates the search of a request that was received at `received`.
    pub fn new(received: clock::MonotonicTime, target_latency: time::Duration) -> Self {
        Self {
            wait_until: received + target_latency / MAX_WAIT_DIVISOR,
            without_slot: SmallVec::new(),
            failed_loads: 0,
        }
    }

    /// Creates a search that does not wait and never chooses the `excluded` upstream.
    pub fn without_wait(now: clock::MonotonicTime, excluded: sync::Arc<str>) -> Self {
        Self { wait_until: now, without_slot: smallvec![excluded], failed_loads: 0 }
    }

    /// Returns the next step. Upstreams in `request.tried` are chosen only if there is no other.
    pub fn next_step(
        &mut self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        request: &engine_choice::PlacedRequest<'_>,
    ) -> SearchStep {
        if self.failed_loads >= MAX_FAILED_LOADS {
            return SearchStep::Refuse("no_place");
        }
        let excluded: SmallVec<[sync::Arc<str>; 4]> =
            request.tried.iter().chain(&self.without_slot).cloned().collect();
        let choose = |tried: &[sync::Arc<str>]| {
            let request = engine_choice::PlacedRequest { tried, ..*request };
            engine_choice::choose(now, view, &request)
        };
        let choose_again = || {
            let has_tried = !request.tried.is_empty();
            has_tried.then(|| choose(&self.without_slot)).flatten()
        };
        match choose(&excluded).or_else(choose_again) {
            Some(chosen) if chosen.needs_load => SearchStep::Load(chosen),
            Some(chosen) => SearchStep::Send(chosen),
            None if view.is_service_evacuated(now, &request.service.name, request.build) => {
                SearchStep::Refuse("upstreams_evacuated")
            }
            None if now >= self.wait_until => SearchStep::Refuse("no_upstream"),
            None if view
                .next_available(now, &request.service.name)
                .is_some_and(|next| next >= self.wait_until) =>
            {
                SearchStep::Refuse("upstreams_quiet")
            }
            None => {
                self.without_slot.clear();
                SearchStep::Wait(SEARCH_INTERVAL)
            }
        }
    }

    /// Records the outcome of a load at an engine.
    pub fn load_ended(&mut self, upstream: &sync::Arc<str>, end: LoadEnd) {
        match end {
            LoadEnd::Ready => return,
            LoadEnd::NoSlot => {}
            LoadEnd::Failed => self.failed_loads += 1,
        }
        self.without_slot.push(sync::Arc::clone(upstream));
    }
}

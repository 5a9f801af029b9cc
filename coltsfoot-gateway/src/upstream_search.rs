//! A request's search for an upstream that can run it: which one to send it to or to ask for an
//! adapter, when to look again, and when to refuse.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use smallvec::SmallVec;

use crate::{engine_choice, fleet_view};

/// Part of the target latency for which a request waits for an upstream that has a place. Half of it
/// served fewer in bursts, since first events came too late.
const WAIT_DIVISOR: u32 = 4;
/// Time between looks for an upstream.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Owners whose loads may fail before a request is refused.
const MAX_FAILED_LOADS: u32 = 3;
/// Time after which a caller may try again where nothing better is known: two beats, after which this
/// instance sees what the others have freed.
pub const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);

/// How a question for an adapter ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadEnd {
    /// The adapter is ready.
    Ready,
    /// The engine has no place for it.
    NoSlot,
    /// The owner did not answer, or could not load it.
    Failed,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum SearchStep {
    /// Send the request there.
    Send(engine_choice::ChosenUpstream),
    /// Ask the owner of that engine for the adapter, and report how it ended.
    Load(engine_choice::ChosenUpstream),
    /// Look again after a while.
    Wait(time::Duration),
    /// Refuse the request, which has not run; the text names the reason.
    Refuse(&'static str),
}

/// The search of one request.
#[derive(Clone, Debug)]
pub struct UpstreamSearch {
    wait_until: clock::MonotonicTime,
    /// Engines that had no place or whose owner failed, since the last wait.
    without_place: SmallVec<[sync::Arc<str>; 4]>,
    failed_loads: u32,
}

impl UpstreamSearch {
    /// Begins the search of a request that came in at `received`.
    pub fn new(received: clock::MonotonicTime, target_latency: time::Duration) -> Self {
        Self {
            wait_until: received + target_latency / WAIT_DIVISOR,
            without_place: SmallVec::new(),
            failed_loads: 0,
        }
    }

    /// Returns the next step. Upstreams in `request.tried` are used again only if there is no other.
    pub fn next_step(
        &mut self,
        now: clock::MonotonicTime,
        view: &fleet_view::FleetView,
        request: &engine_choice::PlacedRequest<'_>,
    ) -> SearchStep {
        if self.failed_loads >= MAX_FAILED_LOADS {
            return SearchStep::Refuse("no_place");
        }
        let untried: SmallVec<[sync::Arc<str>; 4]> =
            request.tried.iter().chain(&self.without_place).cloned().collect();
        let choose = |tried: &[sync::Arc<str>]| {
            let request = engine_choice::PlacedRequest { tried, ..*request };
            engine_choice::choose(now, view, &request)
        };
        let choose_again = || {
            let has_tried = !request.tried.is_empty();
            has_tried.then(|| choose(&self.without_place)).flatten()
        };
        match choose(&untried).or_else(choose_again) {
            Some(chosen) if chosen.needs_load => SearchStep::Load(chosen),
            Some(chosen) => SearchStep::Send(chosen),
            None if now >= self.wait_until => SearchStep::Refuse("no_upstream"),
            None if view
                .next_available(now, &request.service.name)
                .is_some_and(|next| next >= self.wait_until) =>
            {
                SearchStep::Refuse("upstreams_quiet")
            }
            None => {
                self.without_place.clear();
                SearchStep::Wait(LOOK_INTERVAL)
            }
        }
    }

    /// Takes the end of a load at an engine.
    pub fn load_ended(&mut self, upstream: &sync::Arc<str>, end: LoadEnd) {
        match end {
            LoadEnd::Ready => return,
            LoadEnd::NoSlot => {}
            LoadEnd::Failed => self.failed_loads += 1,
        }
        self.without_place.push(sync::Arc::clone(upstream));
    }
}

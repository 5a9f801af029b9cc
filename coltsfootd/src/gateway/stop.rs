//! Phase of a planned stop, and the count of what it waits for.

use std::sync;
use std::sync::atomic;

use coltsfoot_gateway::stop_plan;

use crate::gateway::state;

/// Phase of a planned stop, with the connections and requests of callers that are open.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    phase: sync::Mutex<stop_plan::StopPhase>,
    /// The stop, once it has begun.
    plan: sync::OnceLock<stop_plan::StopPlan>,
    phase_entered: event_listener::Event,
    /// Requests from their first byte until their response is delivered.
    pub requests: OpenCounter,
    /// Connections of callers, and their listener.
    pub sockets: OpenCounter,
}

impl StopState {
    /// Returns the present phase.
    pub fn phase(&self) -> stop_plan::StopPhase {
        *state::lock(&self.phase)
    }

    /// Begins a stop.
    pub fn begin(&self, plan: stop_plan::StopPlan) {
        // A process stops once.
        let plan = self.plan.get_or_init(|| plan);
        self.enter(plan.phase());
    }

    /// Returns the stop as it began, `None` if none has.
    pub fn plan(&self) -> Option<&stop_plan::StopPlan> {
        self.plan.get()
    }

    /// Enters a phase.
    pub fn enter(&self, phase: stop_plan::StopPhase) {
        *state::lock(&self.phase) = phase;
        self.phase_entered.notify(usize::MAX);
    }

    /// Returns whether idle connections are closed and new requests refused.
    pub fn is_closing(&self) -> bool {
        self.phase() >= stop_plan::StopPhase::Closing
    }

    /// Waits until a phase or a later one is entered.
    pub async fn wait_for(&self, phase: stop_plan::StopPhase) {
        while self.phase() < phase {
            let entered = self.phase_entered.listen();
            if self.phase() < phase {
                entered.await;
            }
        }
    }
}

/// Number of guards that are held.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenCounter(sync::Arc<atomic::AtomicUsize>);

impl OpenCounter {
    /// Counts one more until the guard is dropped, also by a cancellation or a panic.
    pub fn enter(&self) -> OpenGuard {
        self.0.fetch_add(1, atomic::Ordering::Relaxed);
        OpenGuard(self.clone())
    }

    /// Returns the number of guards that are held.
    pub fn count(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// Something open that is counted.
#[derive(Debug)]
pub(crate) struct OpenGuard(OpenCounter);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

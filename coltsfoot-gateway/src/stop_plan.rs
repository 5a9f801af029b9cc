//! Phases of a planned stop, by elapsed time and by what is still open.

use std::time;

use coltsfoot_types::time as instant;

/// Time for the load balancer to notice that the instance isn't ready any more: two failed checks a
/// second apart, and half a second.
const LOAD_BALANCER_DELAY: time::Duration = time::Duration::from_millis(2500);
/// Time between the end of a stop and the moment at which the process would be killed.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(500);
/// Share of a short stop in which requests are served.
const MAX_SERVING_SHARE: f64 = 0.5;

/// What an instance does with its callers.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// No stop has begun.
    #[default]
    Running,
    /// Requests are served, and each response announces the end of its connection.
    Serving,
    /// The listener and idle connections are closed, and new requests are refused as not run; those that
    /// were admitted go on.
    Closing,
    /// The process ends.
    Ended,
}

/// Planned stop of an instance.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    phase: StopPhase,
    started: instant::MonotonicTime,
    /// Time from the start until callers are turned away.
    serving_time: time::Duration,
    /// Time from the start until the process ends, whatever is open.
    max_time: time::Duration,
}

impl StopPlan {
    /// Begins a stop of a process that is killed once `grace` has passed.
    pub fn begin(now: instant::MonotonicTime, grace: time::Duration) -> Self {
        let max_time = grace.saturating_sub(KILL_MARGIN);
        let serving_time = LOAD_BALANCER_DELAY.min(max_time.mul_f64(MAX_SERVING_SHARE));
        Self { phase: StopPhase::Serving, started: now, serving_time, max_time }
    }

    /// Returns the present phase.
    pub fn phase(&self) -> StopPhase {
        self.phase
    }

    /// Returns when new requests begin to be refused.
    pub fn closes_at(&self) -> instant::MonotonicTime {
        self.started + self.serving_time
    }

    /// Returns when the process ends at the latest.
    pub fn ends_at(&self) -> instant::MonotonicTime {
        self.started + self.max_time
    }

    /// Returns whether a request whose caller waits until `deadline` may be begun: one that may not be
    /// repeated only if it probably ends before the process. `expected` is its expected duration.
    pub fn may_begin(
        &self,
        now: instant::MonotonicTime,
        deadline: instant::MonotonicTime,
        may_retry: bool,
        expected: Option<time::Duration>,
    ) -> bool {
        let end = expected.map_or(now, |expected| now + expected);
        may_retry || end.min(deadline) <= self.ends_at()
    }

    /// Enters the next phase if it is due; `open_sockets` counts connections of callers and their
    /// listener. One phase at a time: after a pause of the process, callers that waited meanwhile are
    /// still refused before the end.
    pub fn advance(&mut self, now: instant::MonotonicTime, open_sockets: usize) -> StopPhase {
        let elapsed = now.since(self.started);
        self.phase = match self.phase {
            StopPhase::Serving if elapsed >= self.serving_time => StopPhase::Closing,
            StopPhase::Closing if open_sockets == 0 || elapsed >= self.max_time => StopPhase::Ended,
            phase => phase,
        };
        self.phase
    }
}

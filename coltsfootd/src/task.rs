//! Tasks that share a thread: bounds on what one of them does before others run, and a report of those that
//! held the thread for long.

use std::pin;
use std::task;
use std::time;

use coltsfoot_types::time as instant;
use futures_lite::future;

/// Steps that a loop may take before it yields.
const STEPS_PER_YIELD: u32 = 16;
/// Time above which a task that ran without yielding is reported.
const MAX_HOLD_TIME: time::Duration = time::Duration::from_millis(100);
/// Shortest wait of a loop that waits for a point in time, which may have passed meanwhile.
const MIN_WAIT: time::Duration = time::Duration::from_millis(1);

/// Yields to the other tasks of a thread after a number of steps, for loops whose awaited results may all be
/// ready at once.
#[derive(Clone, Debug, Default)]
pub struct StepPacer {
    steps: u32,
}

impl StepPacer {
    /// Records a step; yields if enough were taken since the last yield.
    pub async fn step(&mut self) {
        self.steps += 1;
        if self.steps >= STEPS_PER_YIELD {
            self.steps = 0;
            future::yield_now().await;
        }
    }
}

/// Waits until a point in time; always yields, even if the time has passed.
pub async fn wait_until(now: instant::MonotonicTime, due: instant::MonotonicTime) {
    async_io::Timer::after(due.since(now).max(MIN_WAIT)).await;
}

/// Wraps a future; calls `report` with the duration of each poll that held the thread for more than 100 ms,
/// which includes time in which the process was suspended.
pub fn watch_holds<F: Future>(
    future: F,
    now: impl Fn() -> instant::MonotonicTime,
    report: impl Fn(time::Duration),
) -> impl Future<Output = F::Output> {
    let mut future = Box::pin(future);
    future::poll_fn(move |context: &mut task::Context<'_>| {
        let started = now();
        let polled = pin::Pin::as_mut(&mut future).poll(context);
        let held = now().since(started);
        if held > MAX_HOLD_TIME {
            report(held);
        }
        polled
    })
}

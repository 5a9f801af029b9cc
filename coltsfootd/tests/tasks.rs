//! Bounds on what a task does before others run, under a paused clock.

use std::cell;
use std::pin;
use std::task::{Context, Poll, Waker};
use std::time;

use coltsfootd::{clock, task};
use futures_lite::future;

/// Guards against a loop of results that are ready at once, in which no other task ran for seconds.
#[test]
fn a_loop_without_waits_yields_every_few_steps() {
    let steps = cell::Cell::new(0);
    let mut endless = pin::pin!(async {
        let mut pacer = task::StepPacer::default();
        loop {
            pacer.step().await;
            steps.set(steps.get() + 1);
        }
    });
    let mut context = Context::from_waker(Waker::noop());
    for polls in 1..=10 {
        let polled: Poll<()> = endless.as_mut().poll(&mut context);
        assert!(polled.is_pending());
        assert!(steps.get() <= 16 * polls, "{} steps in {polls} polls", steps.get());
    }
}

/// Guards against a task that goes round without yielding as it waits for a time that has passed.
#[test]
fn a_wait_for_a_time_that_has_passed_yields() {
    let clock = clock::RuntimeClock::paused();
    clock.advance(time::Duration::from_secs(5));
    let mut waiting =
        pin::pin!(task::wait_until(clock.now(), coltsfoot_types::time::MonotonicTime(1_000_000)));
    let mut context = Context::from_waker(Waker::noop());
    assert!(waiting.as_mut().poll(&mut context).is_pending());
}

/// Guards against a thread that stood without a line in the log.
#[test]
fn a_task_that_holds_its_thread_is_reported() {
    let clock = clock::RuntimeClock::paused();
    let held = cell::RefCell::new(Vec::new());
    let busy = async {
        for ms in [50, 100, 101, 18_000] {
            clock.advance(time::Duration::from_millis(ms));
            future::yield_now().await;
        }
        7
    };
    let watched = task::watch_holds(busy, || clock.now(), |time| held.borrow_mut().push(time));
    assert_eq!(future::block_on(watched), 7);
    assert_eq!(held.into_inner(), [101, 18_000].map(time::Duration::from_millis));
}

//! Random sequences of requests and faults never evict an adapter that serves a request, nor grant
//! a permit without a resident adapter.
//!
//! The code under test asserts that pins equal outstanding permits, that a permit's adapter is
//! resident, that an evicted adapter has no pin, and that an engine's slots are not exceeded.

mod common;

use std::collections;

use coltsfoot_placement::event::{CellEvent, OrderOutcome};
use coltsfoot_types::id;
use coltsfoot_wire::placement::{AttemptOutcome, HeldPermit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ADAPTERS: u32 = 12;

#[derive(Clone, Debug)]
enum Step {
    Want(u32),
    Release(usize, bool),
    EndLoad(bool),
    EndUnload(bool),
    Wait(u64),
    Restart(usize),
    Report(usize),
    Takeover,
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..ADAPTERS).prop_map(Step::Want),
        6 => (any::<usize>(), prop::bool::weighted(0.9)).prop_map(|(i, ok)| Step::Release(i, ok)),
        8 => prop::bool::weighted(0.8).prop_map(Step::EndLoad),
        8 => prop::bool::weighted(0.9).prop_map(Step::EndUnload),
        4 => (50u64..3_000).prop_map(Step::Wait),
        1 => (0usize..3).prop_map(Step::Restart),
        3 => (0usize..3).prop_map(Step::Report),
        1 => Just(Step::Takeover),
        1 => (0usize..3).prop_map(Step::Leave),
    ]
}

/// Permits that are actually held, independent of the cell's own state.
struct ActualState {
    held: collections::BTreeMap<id::AttemptId, HeldPermit>,
    seen_grants: usize,
    seen_unloads: usize,
    generations: [u64; 3],
}

impl ActualState {
    /// Records new permits, and checks that no new unload hits an adapter with a held permit.
    fn observe(&mut self, test: &common::TestCell) {
        for grant in &test.grants[self.seen_grants..] {
            let permit = HeldPermit {
                attempt: grant.attempt,
                adapter: grant.adapter.clone(),
                engine: grant.engine.clone(),
            };
            self.held.insert(grant.attempt, permit);
        }
        self.seen_grants = test.grants.len();
        for order in test.unloads.iter().skip(self.seen_unloads) {
            let is_pinned = self
                .held
                .values()
                .any(|permit| permit.engine == order.engine && permit.adapter == order.adapter);
            assert!(!is_pinned, "{} evicted under a request", order.adapter);
        }
        self.seen_unloads = test.unloads.len();
    }

    fn apply(&mut self, test: &mut common::TestCell, step: Step) {
        match step {
            Step::Want(adapter) => {
                test.want(&format!("a{adapter}@1"));
            }
            Step::Release(index, is_answered) => self.release(test, index, is_answered),
            Step::EndLoad(is_done) if !test.loads.is_empty() => {
                test.end_load(outcome(is_done));
            }
            Step::EndUnload(is_done) if !test.unloads.is_empty() => {
                self.seen_unloads -= 1;
                test.end_unload(outcome(is_done));
            }
            Step::EndLoad(_) | Step::EndUnload(_) => {}
            Step::Wait(millis) => test.advance(millis),
            Step::Restart(engine) => {
                self.generations[engine] += 1;
                test.report(&format!("e{engine}"), self.generations[engine], 1, &[]);
            }
            Step::Report(engine) => {
                test.report(&format!("e{engine}"), self.generations[engine], 1, &["a0@1", "a1@1"]);
            }
            Step::Takeover => self.take_over(test),
            Step::Leave(engine) => {
                test.send(CellEvent::EngineLeaving { engine: format!("e{engine}").into() });
            }
        }
    }

    fn release(&mut self, test: &mut common::TestCell, index: usize, is_answered: bool) {
        if self.held.is_empty() {
            return;
        }
        let attempt = *self.held.keys().nth(index % self.held.len()).unwrap();
        self.held.remove(&attempt);
        if is_answered {
            test.answer(attempt);
        } else {
            test.release(attempt, AttemptOutcome::EngineFailed);
        }
    }

    /// Another owner takes over; the instance reports its permits after a further request.
    fn take_over(&mut self, test: &mut common::TestCell) {
        test.gain_ownership(&["a"], false);
        test.loads.clear();
        test.unloads.clear();
        self.seen_unloads = 0;
        for engine in 0..3 {
            test.report(&format!("e{engine}"), self.generations[engine], 1, &[]);
        }
        test.want("a0@1");
        self.observe(test);
        let held = self.held.values().cloned().collect();
        let fencing = id::FencingNumber(test.fencing);
        let permits = held;
        test.send(CellEvent::PermitsReported { instance: "a".into(), fencing, permits });
    }
}

fn outcome(is_done: bool) -> OrderOutcome {
    if is_done { OrderOutcome::Done } else { OrderOutcome::Failed }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn no_adapter_is_evicted_under_a_request(steps in prop::collection::vec(step(), 1..200)) {
        let mut test = common::TestCell::new(3, 2, 3);
        let mut actual = ActualState {
            held: collections::BTreeMap::new(),
            seen_grants: 0,
            seen_unloads: 0,
            generations: [1; 3],
        };
        for step in steps {
            actual.apply(&mut test, step);
            actual.observe(&test);
        }
    }
}

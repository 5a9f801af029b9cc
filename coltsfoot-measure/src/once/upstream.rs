//! The booking service as the schedules see it: it counts the runs of each key.

use std::collections;

use coltsfoot_once::dispatch_event::{AttemptEvent, ResponseHead, ResponseIdentity};
use coltsfoot_wire::once;
use rand::RngExt as _;

/// What a service does with one attempt.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Time after the sending at which the call runs, if it does.
    pub run_after_us: Option<u64>,
    /// What the instance sees, with the time after the sending.
    pub events: Vec<(u64, AttemptEvent)>,
}

const OK_HEAD: ResponseHead = ResponseHead { status: 200, is_not_run: false };
const UNRUN_HEAD: ResponseHead = ResponseHead { status: 503, is_not_run: true };
const ERROR_HEAD: ResponseHead = ResponseHead { status: 500, is_not_run: false };

impl AttemptPlan {
    /// Draws what happens to an attempt: an answer, or one of the cut points.
    pub fn draw(cut_share: f64, rng: &mut impl rand::Rng) -> Self {
        let run_us = rng.random_range(500..400_000);
        let late_us = run_us + rng.random_range(1_000..6_000_000);
        let identity = ResponseIdentity::default;
        if !rng.random_bool(cut_share) {
            let head = (run_us + 100, AttemptEvent::Head(OK_HEAD));
            let end = (run_us + 200, AttemptEvent::Ended(identity()));
            return Self { run_after_us: Some(run_us), events: vec![head, end] };
        }
        let cut = |run_after_us, events| Self { run_after_us, events };
        let head = |at| (at, AttemptEvent::Head(OK_HEAD));
        match rng.random_range(0..10) {
            0 => cut(None, vec![(300, AttemptEvent::ConnectFailed)]),
            1 => cut(None, vec![(300, AttemptEvent::SendFailed)]),
            2 => cut(Some(run_us), vec![(300, AttemptEvent::SendFailed)]),
            3 => cut(None, vec![(run_us, AttemptEvent::NoResponse)]),
            4 => cut(Some(run_us), vec![(run_us / 2, AttemptEvent::NoResponse)]),
            5 => cut(Some(late_us), vec![(run_us, AttemptEvent::TimedOut)]),
            6 => cut(Some(run_us), vec![head(run_us), (run_us + 100, AttemptEvent::BodyFailed)]),
            7 => cut(None, vec![(run_us, AttemptEvent::Head(UNRUN_HEAD))]),
            8 => {
                let error = (run_us, AttemptEvent::Head(ERROR_HEAD));
                cut(Some(run_us), vec![error, (run_us + 100, AttemptEvent::Ended(identity()))])
            }
            _ => {
                let end = (late_us + 100, AttemptEvent::Ended(identity()));
                cut(Some(run_us), vec![head(late_us), end])
            }
        }
    }
}

/// Runs of all keys.
#[derive(Default)]
pub struct ServiceModel {
    runs: collections::BTreeMap<once::IdempotencyKey, Vec<once::RequestDigest>>,
}

impl ServiceModel {
    pub fn run(&mut self, key: once::IdempotencyKey, digest: once::RequestDigest) {
        self.runs.entry(key).or_default().push(digest);
    }

    pub fn runs_of(&self, key: once::IdempotencyKey) -> &[once::RequestDigest] {
        self.runs.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the keys that ran more than once.
    pub fn double_runs(&self) -> u64 {
        self.runs.values().filter(|runs| runs.len() > 1).count() as u64
    }
}

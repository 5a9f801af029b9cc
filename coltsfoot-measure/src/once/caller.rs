//! Callers: they send bookings, some to two instances at once, and send them again when the answer
//! is missing or leaves open whether they ran.

use coltsfoot_once::run_state::RunKnowledge;
use coltsfoot_wire::once;

/// Sends of one key at most.
pub const MAX_SENDS: u32 = 6;

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerAnswer {
    /// The service's answer.
    Answered(once::RecordedAnswer),
    /// A refusal.
    Refused(RunKnowledge),
}

/// A booking of a caller.
#[derive(Clone, Debug)]
pub struct CallerCall {
    pub key: once::IdempotencyKey,
    pub digest: once::RequestDigest,
    pub sends: u32,
    pub answers: Vec<CallerAnswer>,
}

impl CallerCall {
    pub fn new(key: once::IdempotencyKey, digest: once::RequestDigest) -> Self {
        Self { key, digest, sends: 0, answers: Vec::new() }
    }

    /// Returns whether an answer settles the call for the caller.
    pub fn is_settled(&self) -> bool {
        self.answers.iter().any(|answer| match answer {
            CallerAnswer::Answered(_) => true,
            CallerAnswer::Refused(knowledge) => *knowledge == RunKnowledge::NotRun,
        })
    }

    /// Returns whether the caller was told "not run".
    pub fn was_told_not_run(&self) -> bool {
        self.answers.contains(&CallerAnswer::Refused(RunKnowledge::NotRun))
    }

    /// Returns whether two answers of the service differ.
    pub fn has_differing_answers(&self) -> bool {
        let mut answered = self.answers.iter().filter_map(|answer| match answer {
            CallerAnswer::Answered(answer) => Some(answer),
            CallerAnswer::Refused(_) => None,
        });
        let first = answered.next();
        answered.any(|answer| Some(answer) != first)
    }
}

//! Whether a request has run, as far as can be known.

use std::fmt;

/// What is known of a request's run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunKnowledge {
    /// No byte of it reached an upstream, or the upstreams said that they did not run it.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran.
    Ran,
}

/// Run state of a request. Only the state machines of this package make one, so that an answer
/// can say "not run" only where that was decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunState {
    knowledge: RunKnowledge,
}

impl RunState {
    pub(crate) fn new(knowledge: RunKnowledge) -> Self {
        Self { knowledge }
    }

    /// Returns what is known.
    pub fn knowledge(self) -> RunKnowledge {
        self.knowledge
    }

    /// Returns the value of the member `ran` of a refusal.
    pub fn as_str(self) -> &'static str {
        match self.knowledge {
            RunKnowledge::NotRun => "no",
            RunKnowledge::MayHaveRun => "unknown",
            RunKnowledge::Ran => "yes",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A request of which nothing has been passed on yet. It is either refused or handed to a state
/// machine, never both.
#[derive(Debug)]
#[must_use = "refuse the request or dispatch it"]
pub struct PendingRequest {
    _private: (),
}

impl PendingRequest {
    /// Admits a request that has just come in.
    pub fn new() -> Self {
        Self { _private: () }
    }

    /// Gives the request up; it has not run.
    pub fn refuse(self) -> RunState {
        RunState::new(RunKnowledge::NotRun)
    }
}

impl Default for PendingRequest {
    fn default() -> Self {
        Self::new()
    }
}

//! Knowledge of whether a request ran.

use std::fmt;

/// What is known about the execution of a request; the maximum over its attempts applies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunKnowledge {
    /// It did not run: no byte reached an upstream, or upstreams stated that they did not run it.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran.
    Ran,
}

/// Run state of a request. Only the state machines of this package can create one, so that a
/// caller is told "not run" only where that was established.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunState {
    knowledge: RunKnowledge,
}

impl RunState {
    pub(crate) fn new(knowledge: RunKnowledge) -> Self {
        Self { knowledge }
    }

    /// Returns the knowledge behind the state.
    pub fn knowledge(self) -> RunKnowledge {
        self.knowledge
    }

    /// Returns the value of the `ran` member of a refusal.
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

/// A request of which nothing has been sent to an upstream. It is either refused or moved into a
/// state machine, never both.
#[derive(Debug)]
#[must_use = "refuse the request or dispatch it"]
pub struct PendingRequest {
    _private: (),
}

impl PendingRequest {
    /// Creates the marker for a request just received.
    pub fn new() -> Self {
        Self { _private: () }
    }

    /// Refuses the request, which has not run.
    pub fn refuse(self) -> RunState {
        RunState::new(RunKnowledge::NotRun)
    }
}

impl Default for PendingRequest {
    fn default() -> Self {
        Self::new()
    }
}

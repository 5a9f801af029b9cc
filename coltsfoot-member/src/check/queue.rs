//! Event queue of a simulation, ordered by time.

use std::cmp;

use coltsfoot_types::{name, time};

use crate::event;

/// A step of a simulation.
#[derive(Clone, Debug)]
pub(super) enum ScheduledStep {
    Check,
    Tick(usize),
    PollLog(usize),
    PollList(usize),
    Event(usize, Box<event::MemberEvent>),
    Append { instance: usize, record_id: uuid::Uuid, text: String },
    Unfreeze(usize),
    Start,
    End(usize),
    Delist(name::InstanceName),
    Heal,
}

/// A step and its time; ties are broken by the order of scheduling.
#[derive(Clone, Debug)]
pub(super) struct QueuedStep {
    pub(super) at: time::MonotonicTime,
    pub(super) number: u64,
    pub(super) step: ScheduledStep,
}

impl PartialEq for QueuedStep {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedStep {}

impl PartialOrd for QueuedStep {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedStep {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

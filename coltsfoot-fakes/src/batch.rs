//! The batch of an engine: requests that run and requests that wait, by priority.

use std::collections;
use std::sync;

use crate::gate;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    priority: i32,
    arrival: u64,
}

/// Place of a request in the batch, or in its queue until the gate opens.
pub(crate) struct BatchTicket {
    position: QueuePosition,
    pub(crate) gate: sync::Arc<gate::WaitGate>,
}

/// Counts running requests and keeps the others waiting.
#[derive(Default)]
pub(crate) struct BatchQueue {
    pub(crate) running: u32,
    arrivals: u64,
    waiting: collections::BTreeMap<QueuePosition, sync::Arc<gate::WaitGate>>,
}

impl BatchQueue {
    /// Takes a place in the batch, or one in its queue.
    pub(crate) fn enter(&mut self, priority: i32, size: u32) -> BatchTicket {
        self.arrivals += 1;
        let position = QueuePosition { priority, arrival: self.arrivals };
        let gate = sync::Arc::new(gate::WaitGate::new());
        if self.running < size {
            self.running += 1;
            gate.open();
        } else {
            self.waiting.insert(position, sync::Arc::clone(&gate));
        }
        BatchTicket { position, gate }
    }

    /// Gives a place up, to the next request that waits if any.
    pub(crate) fn leave(&mut self, ticket: &BatchTicket) {
        if self.waiting.remove(&ticket.position).is_some() {
            return;
        }
        match self.waiting.pop_first() {
            Some((_, gate)) => gate.open(),
            None => self.running = self.running.saturating_sub(1),
        }
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }
}

//! Batch of an engine: running requests, and a priority queue of waiting ones.

use std::collections;
use std::sync;

use crate::gate;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    priority: i32,
    arrival: u64,
}

/// Identifies a request in the batch; it is queued until the gate opens.
pub(crate) struct BatchTicket {
    position: QueuePosition,
    pub(crate) gate: sync::Arc<gate::WaitGate>,
}

/// Counts running requests and queues the rest, lowest priority number first.
#[derive(Default)]
pub(crate) struct BatchQueue {
    pub(crate) running: u32,
    arrivals: u64,
    waiting: collections::BTreeMap<QueuePosition, sync::Arc<gate::WaitGate>>,
}

impl BatchQueue {
    /// Adds a request to the batch, or to the queue if the batch is full.
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

    /// Removes a request. If it was running, the first queued one runs in its stead.
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

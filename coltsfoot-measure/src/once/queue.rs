//! Events in the order of their times, and of their arrival at equal times.

use std::cmp;
use std::collections;

struct QueuedEvent<E> {
    at_us: u64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}

/// A queue of events.
pub struct EventQueue<E> {
    events: collections::BinaryHeap<QueuedEvent<E>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: collections::BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Queues an event.
    pub fn push(&mut self, at_us: u64, event: E) {
        self.sequence += 1;
        self.events.push(QueuedEvent { at_us, sequence: self.sequence, event });
    }

    /// Takes the next event with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let queued = self.events.pop()?;
        Some((queued.at_us, queued.event))
    }
}

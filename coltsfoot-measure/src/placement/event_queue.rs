//! Events in order of time.

use std::cmp;
use std::collections;

/// A queue of events; equal times leave in order of entry.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: collections::BinaryHeap<cmp::Reverse<QueuedEvent<T>>>,
    sequence: u64,
}

#[derive(Debug)]
struct QueuedEvent<T> {
    at: u64,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl<T> Eq for QueuedEvent<T> {}

impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedEvent<T> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<T> EventQueue<T> {
    /// Builds an empty queue.
    pub fn new() -> Self {
        Self { heap: collections::BinaryHeap::new(), sequence: 0 }
    }

    /// Adds an event at a time in microseconds.
    pub fn push(&mut self, at: u64, event: T) {
        self.sequence += 1;
        self.heap.push(cmp::Reverse(QueuedEvent { at, sequence: self.sequence, event }));
    }

    /// Removes the first event.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        let cmp::Reverse(first) = self.heap.pop()?;
        Some((first.at, first.event))
    }
}

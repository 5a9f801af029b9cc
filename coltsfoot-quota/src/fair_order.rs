//! Read-only iteration over a fair queue in service order.

use std::collections;

use smallvec::SmallVec;

use crate::fair_queue;
use crate::queue_entry;

type RankedEntries<'a, T> =
    collections::btree_map::Values<'a, fair_queue::EntryRank, queue_entry::QueueEntry<T>>;

/// Cursor over the entries of one customer.
pub(crate) struct OrderCursor<'a, T> {
    start: u128,
    next: Option<&'a queue_entry::QueueEntry<T>>,
    rest: RankedEntries<'a, T>,
}

impl<'a, T> OrderCursor<'a, T> {
    pub(crate) fn new(backlog: &'a fair_queue::CustomerBacklog<T>, start: u128) -> Self {
        let mut rest = backlog.entries.values();
        Self { start, next: rest.next(), rest }
    }

    fn advance(&mut self) -> Option<&'a queue_entry::QueueEntry<T>> {
        let entry = self.next.take()?;
        self.start += fair_queue::virtual_cost(entry.tokens, entry.weight);
        self.next = self.rest.next();
        Some(entry)
    }
}

/// Iterator over waiting entries in service order; merges the customers by virtual start time.
pub struct FairOrder<'a, T> {
    cursors: SmallVec<[OrderCursor<'a, T>; 8]>,
}

impl<'a, T> FairOrder<'a, T> {
    pub(crate) fn new(cursors: impl Iterator<Item = OrderCursor<'a, T>>) -> Self {
        Self { cursors: cursors.collect() }
    }
}

impl<'a, T> Iterator for FairOrder<'a, T> {
    type Item = &'a queue_entry::QueueEntry<T>;

    fn next(&mut self) -> Option<Self::Item> {
        let waiting = self.cursors.iter_mut().filter(|cursor| cursor.next.is_some());
        waiting.min_by_key(|cursor| cursor.start)?.advance()
    }
}

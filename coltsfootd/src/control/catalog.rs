//! Folds the configuration stream and publishes the result to the traffic threads.

use std::sync;

use coltsfoot_catalog::{fold, view};
use coltsfoot_platform::protocol;
use coltsfoot_types::{id, time as instant};

use crate::{event, shared};

/// The configuration as the control thread knows it.
pub struct CatalogKeeper {
    shared: sync::Arc<shared::InstanceShared>,
    fold: fold::CatalogFold,
    reachable: bool,
}

impl CatalogKeeper {
    /// Creates a keeper that has read nothing.
    pub fn new(shared: sync::Arc<shared::InstanceShared>) -> Self {
        Self { shared, fold: fold::CatalogFold::new(), reachable: true }
    }

    /// Returns the offset of the next record.
    pub fn next_offset(&self) -> id::LogOffset {
        self.fold.next_offset()
    }

    /// Folds a page of records. Returns whether the configuration changed.
    pub fn take_page(&mut self, now: instant::MonotonicTime, page: &protocol::RecordPage) -> bool {
        if !self.reachable {
            self.reachable = true;
            event::emit(event::LOG_REACHABLE, format_args!("offset {}", page.end_offset));
        }
        let mut changed = false;
        for record in &page.records {
            changed |= self.take_record(record.offset, &record.value);
        }
        if changed {
            self.publish();
        }
        if self.fold.next_offset() >= page.end_offset {
            self.shared.status.set_catalog_read_at(now);
            self.mark_restored();
        }
        changed
    }

    /// Notes that the log can't be read.
    pub fn note_unreachable(&mut self, cause: &str) {
        if self.reachable {
            self.reachable = false;
            event::emit(event::LOG_UNREACHABLE, format_args!("{cause}"));
        }
    }

    /// Returns the configuration as published.
    pub fn view(&self) -> view::CatalogView {
        self.fold.view()
    }

    fn take_record(&mut self, offset: id::LogOffset, value: &str) -> bool {
        match self.fold.apply(offset, value) {
            fold::FoldOutcome::Accepted { touched } => {
                let count = touched.len();
                event::emit(
                    event::CHANGE_ACCEPTED,
                    format_args!("offset {offset}: {count} objects"),
                );
                true
            }
            fold::FoldOutcome::Rejected(reason) => {
                event::emit(event::CHANGE_REJECTED, format_args!("offset {offset}: {reason}"));
                false
            }
            fold::FoldOutcome::Duplicate { .. }
            | fold::FoldOutcome::Skipped
            | fold::FoldOutcome::Gap { .. } => false,
        }
    }

    fn publish(&self) {
        self.shared.catalog.store(sync::Arc::new(self.fold.view()));
    }

    fn mark_restored(&self) {
        if !self.shared.status.is_ready() {
            self.shared.status.set_ready();
            let offset = self.fold.next_offset();
            event::emit(event::RESTORED, format_args!("offset {offset}"));
        }
    }
}

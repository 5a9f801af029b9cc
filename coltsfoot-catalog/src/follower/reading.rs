//! Reads of the log by the follower: records, the snapshot index and snapshot chunks.

use std::time;

use coltsfoot_types::{id, time::MonotonicTime};
use coltsfoot_wire::config;

use super::{ConfigFollower, Confirmation, PendingRead};
use crate::{catch_up, feed, snapshot};

/// Records read by one call; few, because a record with many objects is large.
const PAGE_RECORDS: u32 = 32;
/// Index records read by one call.
const INDEX_PAGE_RECORDS: u32 = 500;

impl ConfigFollower {
    /// Reads the snapshot index if that is due, else new records.
    pub(super) fn poll(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let reads_index = self.catch_up.is_some() || self.schedule.is_index_read_due(now);
        if reads_index {
            let offset = match self.catch_up {
                Some(_) => id::LogOffset(0),
                None => self.schedule.next_index_offset(),
            };
            self.read(now, feed::LogStream::SnapshotIndex, offset, INDEX_PAGE_RECORDS, actions);
        } else {
            self.read_records(now, actions);
        }
    }

    fn read_records(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let offset = self.replica.next_offset();
        self.read(now, feed::LogStream::Config, offset, PAGE_RECORDS, actions);
    }

    fn read(
        &mut self,
        now: MonotonicTime,
        stream: feed::LogStream,
        offset: id::LogOffset,
        limit: u32,
        actions: &mut feed::FollowerActions,
    ) {
        self.pending_read = Some(PendingRead { stream, offset, sent_at: now });
        actions.push(feed::FollowerAction::ReadLog { stream, offset, limit });
    }

    pub(super) fn on_log_read(
        &mut self,
        now: MonotonicTime,
        stream: feed::LogStream,
        offset: id::LogOffset,
        page: Option<feed::LogPage>,
        actions: &mut feed::FollowerActions,
    ) {
        let awaited = |read: &PendingRead| (read.stream, read.offset) == (stream, offset);
        let Some(read) = self.pending_read.take_if(|read| awaited(read)) else { return };
        let Some(page) = page else {
            self.on_log_failure(now);
            return;
        };
        self.log_failed = false;
        match stream {
            feed::LogStream::Config => self.on_records_page(now, read.sent_at, page, actions),
            feed::LogStream::SnapshotIndex => self.on_index_page(now, page, actions),
            feed::LogStream::SnapshotChunks => self.on_chunks_page(now, &page, actions),
        }
    }

    pub(super) fn on_log_failure(&mut self, now: MonotonicTime) {
        self.pending_read = None;
        self.log_failed = true;
        self.poll_at = now + self.jittered(self.poll_interval);
        if self.catch_up.is_some() {
            self.catch_up = Some(catch_up::SnapshotCatchUp::default());
        }
        if !self.is_ready() {
            self.probe_at = self.probe_at.min(now);
        }
    }

    fn on_records_page(
        &mut self,
        now: MonotonicTime,
        sent_at: MonotonicTime,
        page: feed::LogPage,
        actions: &mut feed::FollowerActions,
    ) {
        self.poll_at = sent_at + self.jittered(self.poll_interval);
        if page.start_offset > self.replica.next_offset() {
            self.catch_up = Some(catch_up::SnapshotCatchUp::default());
            return;
        }
        let records = page.records.into_iter();
        let records = records
            .map(|record| config::ConfigRecord { offset: record.offset, value: record.value });
        let added = self.apply(records.collect(), actions).added;
        self.push_records(&added, None, actions);
        if self.replica.next_offset() >= page.end_offset {
            self.confirm(now, Confirmation { at: sent_at, age: time::Duration::ZERO });
        } else if !added.is_empty() {
            self.read_records(now, actions);
        }
    }

    fn on_index_page(
        &mut self,
        now: MonotonicTime,
        page: feed::LogPage,
        actions: &mut feed::FollowerActions,
    ) {
        let next_index_offset =
            page.records.last().map_or(page.end_offset, |last| last.offset.next());
        for record in page.records {
            let Ok(index) = serde_json::from_str::<snapshot::SnapshotIndex>(&record.value) else {
                continue;
            };
            let age_ms = page.read_at.0.saturating_sub(record.appended_at.0);
            self.schedule.record_snapshot(now, time::Duration::from_millis(age_ms));
            if let Some(catch_up) = &mut self.catch_up {
                catch_up.add_candidate(index);
            }
        }
        if next_index_offset < page.end_offset {
            let stream = feed::LogStream::SnapshotIndex;
            self.read(now, stream, next_index_offset, INDEX_PAGE_RECORDS, actions);
            return;
        }
        self.schedule.record_index_read(now, next_index_offset);
        self.continue_catch_up(now, actions);
    }

    fn on_chunks_page(
        &mut self,
        now: MonotonicTime,
        page: &feed::LogPage,
        actions: &mut feed::FollowerActions,
    ) {
        let restored = self.catch_up.as_mut().and_then(|catch_up| catch_up.add_page(page));
        if let Some(replica) = restored {
            self.replace_replica(replica);
        }
        self.continue_catch_up(now, actions);
    }

    /// Reads the next chunks of a snapshot, or records if no snapshot is newer than the replica.
    fn continue_catch_up(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let above = self.replica.next_offset();
        let next = self.catch_up.as_mut().and_then(|catch_up| catch_up.next_read(above));
        if let Some(next) = next {
            self.read(now, feed::LogStream::SnapshotChunks, next.offset, next.limit, actions);
            return;
        }
        self.catch_up = None;
        self.read_records(now, actions);
    }
}

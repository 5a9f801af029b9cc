//! Snapshots that the follower writes.

use std::time;

use coltsfoot_types::{id, time::MonotonicTime};

use super::{ConfigFollower, LOG_TIMEOUT, PendingWrite};
use crate::{feed, schedule, snapshot};

impl ConfigFollower {
    pub(super) fn on_log_appended(
        &mut self,
        now: MonotonicTime,
        first_offset: Option<id::LogOffset>,
        actions: &mut feed::FollowerActions,
    ) {
        let Some(mut write) = self.pending_write.take() else { return };
        let Some(first_offset) = first_offset else {
            let retry_at = now + self.poll_interval;
            self.pending_write = Some(PendingWrite { retry_at, ..write });
            return;
        };
        let step = write.writer.on_appended(first_offset);
        self.write(now, write.writer, step, actions);
    }

    /// Repeats an append that has not been confirmed in time.
    pub(super) fn retry_write(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let is_due = |write: &mut PendingWrite| now >= write.retry_at;
        let Some(mut write) = self.pending_write.take_if(is_due) else { return };
        let step = write.writer.next();
        self.write(now, write.writer, step, actions);
    }

    /// Starts to write a snapshot if it is this instance's turn.
    pub(super) fn start_snapshot(
        &mut self,
        now: MonotonicTime,
        actions: &mut feed::FollowerActions,
    ) {
        let idle = self.pending_write.is_none() && !self.log_failed && self.is_ready();
        let has_state = self.replica.next_offset() > id::LogOffset(0);
        if !idle || !has_state || !self.schedule.is_due(now, &self.instance, self.table.peers()) {
            return;
        }
        let Ok(encoded) = snapshot::encode(&self.replica) else { return };
        let mut writer = schedule::SnapshotWriter::new(&encoded);
        let step = writer.next();
        self.write(now, writer, step, actions);
    }

    fn write(
        &mut self,
        now: MonotonicTime,
        writer: schedule::SnapshotWriter,
        step: schedule::WriterStep,
        actions: &mut feed::FollowerActions,
    ) {
        match step {
            schedule::WriterStep::Append(stream, values) => {
                self.pending_write = Some(PendingWrite { writer, retry_at: now + LOG_TIMEOUT });
                actions.push(feed::FollowerAction::AppendLog { stream, values });
            }
            schedule::WriterStep::Finished => {
                self.schedule.record_snapshot(now, time::Duration::ZERO);
            }
            schedule::WriterStep::Failed => self.schedule.postpone(now),
        }
    }
}

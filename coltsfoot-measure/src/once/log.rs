//! The platform's log as the schedules see it.

use std::collections;

use coltsfoot_once::claim_table;
use coltsfoot_types::id;
use coltsfoot_wire::once;

/// Wall time at the start of a schedule, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;

/// Returns the wall time of an instant of the schedule.
pub fn wall_ms(now_us: u64) -> u64 {
    START_MS + now_us / 1000
}

/// Times during which the log refuses all calls.
#[derive(Clone, Copy, Debug)]
pub struct LogOutage {
    pub from_us: u64,
    pub until_us: u64,
}

/// A log with one stream.
#[derive(Default)]
pub struct LogModel {
    start: u64,
    records: collections::VecDeque<once::ClaimRecord>,
    pub outages: Vec<LogOutage>,
    pub appends: u64,
}

impl LogModel {
    pub fn is_out(&self, now_us: u64) -> bool {
        self.outages.iter().any(|outage| (outage.from_us..outage.until_us).contains(&now_us))
    }

    pub fn append(&mut self, now_us: u64, batch: once::ClaimBatch) {
        self.appends += 1;
        let offset = id::LogOffset(self.start + self.records.len() as u64);
        let timestamp_ms = wall_ms(now_us);
        self.records.push_back(once::ClaimRecord { offset, timestamp_ms, batch });
    }

    pub fn forget(&mut self, now_us: u64, retention_ms: u64) {
        let oldest_ms = wall_ms(now_us).saturating_sub(retention_ms);
        while self.records.front().is_some_and(|record| record.timestamp_ms < oldest_ms) {
            self.records.pop_front();
            self.start += 1;
        }
    }

    pub fn read(&self, from: id::LogOffset, read_at_ms: u64) -> claim_table::ClaimPage {
        let skipped = from.0.saturating_sub(self.start) as usize;
        claim_table::ClaimPage {
            start_offset: id::LogOffset(self.start),
            end_offset: id::LogOffset(self.start + self.records.len() as u64),
            records: self.records.iter().skip(skipped).cloned().collect(),
            read_at_ms,
        }
    }
}

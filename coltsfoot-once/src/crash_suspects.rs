//! Requests that run on each upstream, to know who is suspected when it crashes.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::quarantine;

/// Time for which a request whose connection broke is kept until a crash is confirmed.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(10);

/// How a request left an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It ran to its end.
    Completed,
    /// Its connection broke.
    ConnectionLost,
    /// It left for another reason.
    Abandoned,
}

/// A request on an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamRun {
    attempt: id::AttemptId,
    digest: once::RequestDigest,
    is_isolated: bool,
    lost_at: Option<clock::MonotonicTime>,
}

/// Requests on all upstreams that one owner gives permits for.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    runs: collections::BTreeMap<name::UpstreamName, Vec<UpstreamRun>>,
}

impl CrashSuspects {
    /// Returns whether a request may join an upstream: suspects are kept apart, so that a crash
    /// tells which of them is to blame.
    pub fn may_join(&self, upstream: &name::UpstreamName, is_isolated: bool) -> bool {
        let mut runs = self.runs.get(upstream).into_iter().flatten();
        !is_isolated || !runs.any(|run| run.is_isolated && run.lost_at.is_none())
    }

    /// Notes that a request was sent to an upstream.
    pub fn begin(
        &mut self,
        upstream: &name::UpstreamName,
        attempt: id::AttemptId,
        digest: once::RequestDigest,
        is_isolated: bool,
    ) {
        let run = UpstreamRun { attempt, digest, is_isolated, lost_at: None };
        self.runs.entry(upstream.clone()).or_default().push(run);
    }

    /// Notes that a request has left an upstream.
    pub fn end(
        &mut self,
        now: clock::MonotonicTime,
        upstream: &name::UpstreamName,
        attempt: id::AttemptId,
        end: RunEnd,
        table: &mut quarantine::QuarantineTable,
    ) {
        let Some(runs) = self.runs.get_mut(upstream) else { return };
        runs.retain(|run| run.lost_at.is_none_or(|lost_at| is_recent(now, lost_at)));
        let Some(index) = runs.iter().position(|run| run.attempt == attempt) else { return };
        if end == RunEnd::ConnectionLost {
            runs[index].lost_at = Some(now);
            return;
        }
        let run = runs.remove(index);
        if runs.is_empty() {
            self.runs.remove(upstream);
        }
        if end == RunEnd::Completed {
            table.clear_suspect(now, &run.digest);
        }
    }

    /// Returns when the last connection to an upstream broke that may have met a crash.
    pub fn last_lost_connection(
        &self,
        now: clock::MonotonicTime,
        upstream: &name::UpstreamName,
    ) -> Option<clock::MonotonicTime> {
        let runs = self.runs.get(upstream).into_iter().flatten();
        runs.filter_map(|run| run.lost_at).filter(|lost_at| is_recent(now, *lost_at)).max()
    }

    /// Notes that an upstream has crashed and returns the notices for the other instances.
    pub fn record_crash(
        &mut self,
        now: clock::MonotonicTime,
        crash: &once::CrashId,
        table: &mut quarantine::QuarantineTable,
    ) -> SmallVec<[once::CrashNotice; 4]> {
        let runs = self.runs.remove(&crash.upstream).unwrap_or_default();
        let candidates = runs
            .into_iter()
            .filter(|run| run.lost_at.is_none_or(|lost_at| is_recent(now, lost_at)));
        candidates.filter_map(|run| table.record(now, run.digest, crash.clone())).collect()
    }

    /// Notes that an upstream is gone. It may have left in order: only requests whose connections
    /// broke are suspected. Returns the notices for the other instances.
    pub fn record_departure(
        &mut self,
        now: clock::MonotonicTime,
        crash: &once::CrashId,
        table: &mut quarantine::QuarantineTable,
    ) -> SmallVec<[once::CrashNotice; 4]> {
        if let Some(runs) = self.runs.get_mut(&crash.upstream) {
            runs.retain(|run| run.lost_at.is_some());
        }
        self.record_crash(now, crash, table)
    }

    /// Notes that an upstream runs on: connections that broke before were not lost by a crash.
    pub fn confirm_alive(&mut self, upstream: &name::UpstreamName) {
        if let Some(runs) = self.runs.get_mut(upstream) {
            runs.retain(|run| run.lost_at.is_none());
        }
    }
}

/// Returns whether a crash may still be the reason why a connection broke.
fn is_recent(now: clock::MonotonicTime, lost_at: clock::MonotonicTime) -> bool {
    now.since(lost_at) < CONFIRMATION_TIME
}

//! Requests running on each upstream, which are the suspects if it crashes.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::quarantine;

/// Time for which a request with a lost connection is kept until the crash is confirmed.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(10);

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It ran to completion.
    Completed,
    /// Its connection was lost.
    ConnectionLost,
    /// It ended for another reason.
    Abandoned,
}

/// A request that runs on an upstream, or whose connection was lost recently.
#[derive(Clone, Copy, Debug)]
struct UpstreamRun {
    attempt: id::AttemptId,
    digest: once::RequestDigest,
    is_isolated: bool,
    lost_at: Option<clock::MonotonicTime>,
}

/// Requests on all upstreams for which one instance issues permits.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    runs: collections::BTreeMap<name::UpstreamName, Vec<UpstreamRun>>,
}

impl CrashSuspects {
    /// Returns whether a request may run on an upstream. Suspects are isolated from each other, so
    /// that a crash identifies the culprit.
    pub fn may_join(&self, upstream: &name::UpstreamName, is_isolated: bool) -> bool {
        let mut runs = self.runs.get(upstream).into_iter().flatten();
        !is_isolated || !runs.any(|run| run.is_isolated && run.lost_at.is_none())
    }

    /// Records that a request was sent to an upstream.
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

    /// Records the end of a request at an upstream. Completion clears a suspicion.
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

    /// Returns when a connection to an upstream was last lost, if recently enough for a crash to be
    /// the cause.
    pub fn last_lost_connection(
        &self,
        now: clock::MonotonicTime,
        upstream: &name::UpstreamName,
    ) -> Option<clock::MonotonicTime> {
        let runs = self.runs.get(upstream).into_iter().flatten();
        runs.filter_map(|run| run.lost_at).filter(|lost_at| is_recent(now, *lost_at)).max()
    }

    /// Records a crash of an upstream and returns the notices for the other instances.
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

    /// Records that an upstream is gone. It may have shut down in an orderly way, so only requests
    /// with lost connections are suspected; the others may run at the next incarnation, which can serve before
    /// it is known. Returns the notices for the other instances.
    pub fn record_departure(
        &mut self,
        now: clock::MonotonicTime,
        crash: &once::CrashId,
        table: &mut quarantine::QuarantineTable,
    ) -> SmallVec<[once::CrashNotice; 4]> {
        let runs = self.runs.remove(&crash.upstream).unwrap_or_default();
        let (lost, running): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|run| run.lost_at.is_some());
        if !lost.is_empty() {
            self.runs.insert(crash.upstream.clone(), lost);
        }
        let notices = self.record_crash(now, crash, table);
        if !running.is_empty() {
            self.runs.insert(crash.upstream.clone(), running);
        }
        notices
    }

    /// Records that an upstream is still running, so that earlier connection losses are not
    /// attributed to a crash.
    pub fn confirm_alive(&mut self, upstream: &name::UpstreamName) {
        if let Some(runs) = self.runs.get_mut(upstream) {
            runs.retain(|run| run.lost_at.is_none());
        }
    }
}

/// Returns whether a connection loss at `lost_at` may still be attributed to a crash.
fn is_recent(now: clock::MonotonicTime, lost_at: clock::MonotonicTime) -> bool {
    now.since(lost_at) < CONFIRMATION_TIME
}

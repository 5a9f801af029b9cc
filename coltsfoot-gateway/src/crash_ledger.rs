//! Requests that ran at crashed upstreams, and requests quarantined because they crash any upstream that
//! runs them. A retry by the caller has its own request id and may reach any instance, so requests are
//! identified by the digest of their content, and instances exchange crash notices.

use std::time;

use coltsfoot_once::{crash_suspects, quarantine};
use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

/// Crashes without a completed run in between after which a request is quarantined. Every request that a
/// crash interrupts is suspected, so an innocent one would have to meet that many crashes in a row.
pub const QUARANTINE_CRASHES: u32 = 3;
/// Time for which a request is quarantined after its last crash: callers may retry it for long, and each
/// further crash interrupts all requests at the upstream.
const QUARANTINE_LIFETIME: time::Duration = time::Duration::from_secs(24 * 3600);
/// Time for which a request is suspected after its last crash. Unrelated crashes must not add up over a
/// day for a request that many callers send.
const SUSPICION_LIFETIME: time::Duration = time::Duration::from_secs(3600);
/// Reports of crashes within this time are of one crash, in milliseconds: lost connections are noticed at
/// once, and a restart takes longer.
pub const SAME_CRASH_SPAN_MS: u64 = 1_000;
/// Crashes after which notices of a request go to all instances, and not only to its collectors.
const BROADCAST_CRASHES: usize = 2;
/// Maximum number of notices that are resent at once.
const MAX_RESENT_NOTICES: usize = 8;

/// Crash notices, one per suspected request.
pub type CrashNotices = SmallVec<[once::CrashNotice; 4]>;

/// Recipients of a crash notice or a clearance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeAudience {
    /// The few instances that collect the crashes of a request; see `FleetView::crash_collectors`.
    Collectors,
    /// All instances.
    All,
}

/// Returns the recipients for a request with this number of crashes. Most requests that a crash
/// interrupts are innocent and complete afterwards, so not all instances need a notice of the first one.
pub fn audience(crashes: usize) -> NoticeAudience {
    if crashes < BROADCAST_CRASHES { NoticeAudience::Collectors } else { NoticeAudience::All }
}

/// Effect of a crash notice from another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeOutcome {
    /// Whether the notice put the request under quarantine.
    pub is_quarantined: bool,
    /// The merged notice if it has more crashes than the received one; to be sent to the other instances.
    pub merged: Option<once::CrashNotice>,
}

/// Requests in flight at each upstream, and crashes by request digest.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    suspects: crash_suspects::CrashSuspects,
    table: quarantine::QuarantineTable,
    attempts: u128,
}

impl Default for CrashLedger {
    fn default() -> Self {
        let settings = quarantine::QuarantineSettings {
            crashes: QUARANTINE_CRASHES,
            lifetime: QUARANTINE_LIFETIME,
            suspicion_lifetime: SUSPICION_LIFETIME,
            same_crash_span: SAME_CRASH_SPAN_MS,
            ..Default::default()
        };
        Self {
            suspects: crash_suspects::CrashSuspects::default(),
            table: quarantine::QuarantineTable::new(settings),
            attempts: 0,
        }
    }
}

impl CrashLedger {
    /// Returns the remaining quarantine of a request; `None` if it is not quarantined.
    pub fn quarantine_left(
        &self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> Option<time::Duration> {
        self.table.quarantine_left(now, digest)
    }

    /// Returns the number of crashes during runs of a request since it last completed.
    pub fn crash_count(&self, now: clock::MonotonicTime, digest: &once::RequestDigest) -> u32 {
        self.table.crashes(now, digest)
    }

    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, upstream: &str, digest: once::RequestDigest) -> id::AttemptId {
        self.attempts += 1;
        let attempt = id::AttemptId { request: id::RequestId(self.attempts), number: 0 };
        self.suspects.begin(&name::UpstreamName::from(upstream), attempt, digest, false);
        attempt
    }

    /// Records how a request left its upstream. If that clears a suspected request, returns the recipients
    /// of the clearance.
    pub fn end(
        &mut self,
        now: clock::MonotonicTime,
        upstream: &str,
        attempt: id::AttemptId,
        digest: &once::RequestDigest,
        end: crash_suspects::RunEnd,
    ) -> Option<NoticeAudience> {
        let crashes = self.table.crashes(now, digest);
        let upstream = name::UpstreamName::from(upstream);
        self.suspects.end(now, &upstream, attempt, end, &mut self.table);
        let is_cleared = crashes > 0 && self.table.crashes(now, digest) == 0;
        is_cleared.then(|| audience(crashes as usize))
    }

    /// Records a crash of an upstream. `unix_ms` is now, in milliseconds since the Unix epoch. Returns the
    /// notices for other instances.
    pub fn record_crash(
        &mut self,
        now: clock::MonotonicTime,
        upstream: &str,
        unix_ms: u64,
    ) -> CrashNotices {
        let crash = self.crash_id(now, upstream, unix_ms);
        self.suspects.record_crash(now, &crash, &mut self.table)
    }

    /// Records that an upstream's entry is removed or of a new incarnation, after a crash or a graceful
    /// shutdown. `unix_ms` is now, in milliseconds since the Unix epoch. Only requests whose
    /// connections broke are suspected. Returns the notices for other instances.
    pub fn record_departure(
        &mut self,
        now: clock::MonotonicTime,
        upstream: &str,
        unix_ms: u64,
    ) -> CrashNotices {
        let crash = self.crash_id(now, upstream, unix_ms);
        self.suspects.record_departure(now, &crash, &mut self.table)
    }

    /// Records that an upstream is alive, so that its lost connections were not due to a crash.
    pub fn confirm_alive(&mut self, upstream: &str) {
        self.suspects.confirm_alive(&name::UpstreamName::from(upstream));
    }

    /// Merges a crash notice from another instance; `None` if it contains nothing new.
    pub fn merge_notice(
        &mut self,
        now: clock::MonotonicTime,
        notice: &once::CrashNotice,
    ) -> Option<NoticeOutcome> {
        let was_quarantined = self.quarantine_left(now, &notice.digest).is_some();
        if !self.table.merge(now, notice) {
            return None;
        }
        let merged = self.table.notice(now, notice.digest);
        let is_more = merged.crashes.len() > notice.crashes.len();
        Some(NoticeOutcome {
            is_quarantined: !was_quarantined && self.quarantine_left(now, &notice.digest).is_some(),
            merged: is_more.then_some(merged),
        })
    }

    /// Clears a request that completed at another instance. Returns the audience of its notices if that ends
    /// a suspicion.
    pub fn clear_request(
        &mut self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> Option<NoticeAudience> {
        let crashes = self.table.crashes(now, digest);
        self.table.clear_suspect(now, digest);
        let is_cleared = crashes > 0 && self.table.crashes(now, digest) == 0;
        is_cleared.then(|| audience(crashes as usize))
    }

    /// Returns the notice of a request if all instances should hold it.
    pub fn shared_notice(
        &self,
        now: clock::MonotonicTime,
        digest: once::RequestDigest,
    ) -> Option<once::CrashNotice> {
        let is_shared = self.table.crashes(now, &digest) as usize >= BROADCAST_CRASHES;
        is_shared.then(|| self.table.notice(now, digest))
    }

    /// Returns the requests whose notices all instances should hold.
    pub fn shared_digests(&self, now: clock::MonotonicTime) -> Vec<once::RequestDigest> {
        let notices = self.table.notices(now, BROADCAST_CRASHES);
        notices.into_iter().map(|notice| notice.digest).collect()
    }

    /// Returns the notices to resend to an instance that may have missed them or has just started: those
    /// that go to all instances, the newest first.
    pub fn notices_to_resend(&self, now: clock::MonotonicTime) -> Vec<once::CrashNotice> {
        let mut notices = self.table.notices(now, BROADCAST_CRASHES);
        notices.sort_by_key(|notice| std::cmp::Reverse(notice.time_left));
        notices.truncate(MAX_RESENT_NOTICES);
        notices
    }

    /// Identifies a crash by its time: an upstream may be back before its entry shows a new incarnation.
    /// The time is that of the lost connections, which may precede the detection of the crash.
    fn crash_id(&self, now: clock::MonotonicTime, upstream: &str, unix_ms: u64) -> once::CrashId {
        let lost_at = self.suspects.last_lost_connection(now, &name::UpstreamName::from(upstream));
        let age = lost_at.map_or(time::Duration::ZERO, |lost_at| now.since(lost_at));
        let generation = unix_ms.saturating_sub(age.as_millis() as u64);
        once::CrashId { upstream: upstream.into(), generation }
    }
}

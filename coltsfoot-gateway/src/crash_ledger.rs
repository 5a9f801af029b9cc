//! Which requests ran at upstreams that crashed, and which are refused since they crash whatever
//! upstream runs them. A repeat has a request id of its own and may come at any instance, so requests
//! go by the digest of their content and instances tell each other of crashes.

use std::time;

use coltsfoot_once::{crash_suspects, quarantine};
use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

/// Crashes with no whole run in between from which a request is refused. Every request that a crash
/// cut is suspected, so an innocent one would have to meet another's crashes that often in a row.
const QUARANTINE_CRASHES: u32 = 3;
/// Time after its last crash for which a request is refused: it comes again for as long as its caller
/// tries, and each further crash cuts all that run there.
const REFUSAL: time::Duration = time::Duration::from_secs(24 * 3600);
/// Time after its last crash for which a request is suspected. Where many callers ask for the same,
/// unrelated crashes must not add up over a day.
const SUSPICION: time::Duration = time::Duration::from_secs(3600);
/// Time within which instances see one crash, in milliseconds: a lost connection shows at once, and an
/// upstream takes longer to start.
const CRASH_SPAN_MS: u64 = 1_000;
/// Crashes from which all instances are told of a request, and not only its collectors.
const TOLD_TO_ALL: usize = 2;
/// Requests that are told of again in one message at most.
const MAX_TOLD_AGAIN: usize = 8;

/// Notices of crashes.
pub type CrashNotices = SmallVec<[once::CrashNotice; 4]>;

/// Whom to tell of a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeAudience {
    /// The few instances that gather what is known of a request; see `FleetView::collectors`.
    Collectors,
    /// All instances.
    All,
}

/// Returns whom to tell of a request with that many crashes. Most requests that are cut by a crash are
/// innocent and run to their end afterwards; all instances need not hear of these.
pub fn audience(crashes: usize) -> NoticeAudience {
    if crashes < TOLD_TO_ALL { NoticeAudience::Collectors } else { NoticeAudience::All }
}

/// What a message of another instance brought.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeOutcome {
    /// Whether the request is refused from now on and was not before.
    pub is_quarantined: bool,
    /// What is known now if that is more than the sender and this instance knew; the others are to be
    /// told.
    pub merged: Option<once::CrashNotice>,
}

/// The requests under way at each upstream, and the crashes that requests have met.
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
            lifetime: REFUSAL,
            suspicion_lifetime: SUSPICION,
            same_crash_span: CRASH_SPAN_MS,
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
    /// Returns for how long a request is refused, if it is.
    pub fn refusal(
        &self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> Option<time::Duration> {
        self.table.quarantine_left(now, digest)
    }

    /// Returns the crashes that a request has met since it last ran to its end.
    pub fn crashes(&self, now: clock::MonotonicTime, digest: &once::RequestDigest) -> u32 {
        self.table.crashes(now, digest)
    }

    /// Notes that a request is sent to an upstream.
    pub fn begin(&mut self, upstream: &str, digest: once::RequestDigest) -> id::AttemptId {
        self.attempts += 1;
        let attempt = id::AttemptId { request: id::RequestId(self.attempts), number: 0 };
        self.suspects.begin(&name::UpstreamName::from(upstream), attempt, digest, false);
        attempt
    }

    /// Notes how a request left its upstream. Returns whom to tell that it is no longer suspected, if
    /// it was.
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

    /// Notes that an upstream has crashed. `unix_ms` is now, in milliseconds since the Unix epoch. Returns
    /// the notices for other instances.
    pub fn crash(
        &mut self,
        now: clock::MonotonicTime,
        upstream: &str,
        unix_ms: u64,
    ) -> CrashNotices {
        let crash = self.crash_id(now, upstream, unix_ms);
        self.suspects.record_crash(now, &crash, &mut self.table)
    }

    /// Notes that an upstream's entry is gone or that of a new incarnation, after a crash or since it
    /// has left in order. `unix_ms` is now, in milliseconds since the Unix epoch. Only requests whose
    /// connections broke are suspected. Returns the notices for other instances.
    pub fn gone(
        &mut self,
        now: clock::MonotonicTime,
        upstream: &str,
        unix_ms: u64,
    ) -> CrashNotices {
        let crash = self.crash_id(now, upstream, unix_ms);
        self.suspects.record_departure(now, &crash, &mut self.table)
    }

    /// Notes that an upstream runs on, so that connections that broke were not lost by a crash.
    pub fn confirm_alive(&mut self, upstream: &str) {
        self.suspects.confirm_alive(&name::UpstreamName::from(upstream));
    }

    /// Takes what another instance knows of a request's crashes; `None` if it is nothing new.
    pub fn merge_notice(
        &mut self,
        now: clock::MonotonicTime,
        notice: &once::CrashNotice,
    ) -> Option<NoticeOutcome> {
        let was_refused = self.refusal(now, &notice.digest).is_some();
        if !self.table.merge(now, notice) {
            return None;
        }
        let merged = self.table.notice(now, notice.digest);
        let is_more = merged.crashes.len() > notice.crashes.len();
        Some(NoticeOutcome {
            is_quarantined: !was_refused && self.refusal(now, &notice.digest).is_some(),
            merged: is_more.then_some(merged),
        })
    }

    /// Takes from another instance that a request has run to its end.
    pub fn clear_request(&mut self, now: clock::MonotonicTime, digest: &once::RequestDigest) {
        self.table.clear_suspect(now, digest);
    }

    /// Returns what to tell some instance again, in case that it missed it or has just started: the
    /// requests whose crashes all instances are to know, the newest ones first.
    pub fn notices_to_resend(&self, now: clock::MonotonicTime) -> Vec<once::CrashNotice> {
        let mut notices = self.table.notices(now, TOLD_TO_ALL);
        notices.sort_by_key(|notice| std::cmp::Reverse(notice.time_left));
        notices.truncate(MAX_TOLD_AGAIN);
        notices
    }

    /// Names a crash by its time: an upstream may be back before its entry tells of a new incarnation.
    /// The crash was when connections broke, which may be well before it is found out.
    fn crash_id(&self, now: clock::MonotonicTime, upstream: &str, unix_ms: u64) -> once::CrashId {
        let lost_at = self.suspects.last_lost_connection(now, &name::UpstreamName::from(upstream));
        let age = lost_at.map_or(time::Duration::ZERO, |lost_at| now.since(lost_at));
        let generation = unix_ms.saturating_sub(age.as_millis() as u64);
        once::CrashId { upstream: upstream.into(), generation }
    }
}

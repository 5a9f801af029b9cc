//! Which quarantines are recorded in the platform's store, so that they outlive a restart of all instances.
//!
//! A record holds all that is known of one request or prompt part. A writer reads the records before it
//! writes and appends only if nothing was appended since, so that no writer drops what another has recorded.

use std::fmt;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::once;
use rustc_hash::FxHashMap;

use crate::{crash_ledger, part_ledger};

/// Time after the start within which the records are read before requests are forwarded.
const MAX_START_WAIT: time::Duration = time::Duration::from_secs(2);
/// Delay after which an instance that collects notices checks that a quarantine was recorded: the one that
/// detected the crash may be gone or refused by the store.
pub const BACKUP_DELAY: time::Duration = time::Duration::from_millis(700);
/// Time after a failed read or write within which none is sent, as refused calls are charged too.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Maximum number of records; those that end first are deleted first.
const MAX_RECORDS: usize = 256;
/// Maximum number of records that are deleted with one update, as they have ended or are too many.
const MAX_DELETED: usize = 4;
/// Time after its end at which a record is deleted, as clocks differ between instances.
const DELETION_DELAY_MS: u64 = 3_600_000;
/// Maximum number of crashes in a record.
const MAX_CRASHES: usize = 8;

/// What a record is about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ArchiveSubject {
    /// A request that crashes upstreams.
    Request(once::RequestDigest),
    /// A prompt part that crashes engines.
    Part(part_ledger::PartKey),
}

impl ArchiveSubject {
    /// Returns the subject of a record.
    pub fn of(record: &once::QuarantineRecord) -> Self {
        match record {
            once::QuarantineRecord::Request { digest, .. } => Self::Request(*digest),
            once::QuarantineRecord::Part { part, .. } => Self::Part(part_ledger::PartKey(*part)),
        }
    }

    /// Returns the number by which the instances that check the record are chosen.
    pub fn number(&self) -> u64 {
        match self {
            Self::Request(digest) => digest.number(),
            Self::Part(part) => part.0,
        }
    }
}

/// The key of the record in the store.
impl fmt::Display for ArchiveSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => {
                write!(formatter, "request-")?;
                digest.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
            }
            Self::Part(part) => write!(formatter, "part-{part}"),
        }
    }
}

/// A change of the records that has to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ArchiveWrite {
    /// What the record is about.
    pub subject: ArchiveSubject,
    /// The new record; `None` deletes it.
    pub record: Option<once::QuarantineRecord>,
    cause: WriteCause,
}

/// Why a record is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteCause {
    /// What is known of the subject has changed.
    Update,
    /// A completed run has cleared the subject since the stored record was written.
    Clearance,
    /// The record has ended, or there are too many.
    Excess,
}

/// The instant of a plan on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct ArchiveTime {
    /// Now.
    pub now: clock::MonotonicTime,
    /// Now, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl ArchiveTime {
    fn to_unix_ms(self, at: clock::MonotonicTime) -> u64 {
        let past = self.now.since(at).as_millis() as u64;
        let left = at.since(self.now).as_millis() as u64;
        (self.unix_ms + left).saturating_sub(past)
    }

    fn left(self, until_ms: u64) -> time::Duration {
        time::Duration::from_millis(until_ms.saturating_sub(self.unix_ms))
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    due: clock::MonotonicTime,
    /// Whether a completed run has cleared the subject since the stored record was written.
    is_cleared: bool,
}

/// Updates of the records that this instance has to make, and whether it has read them.
#[derive(Clone, Debug)]
pub struct QuarantineArchive {
    started: clock::MonotonicTime,
    /// Era of the store as of the last read; `None` before the first one.
    read_era: Option<u64>,
    blocked_until: clock::MonotonicTime,
    pending: FxHashMap<ArchiveSubject, PendingUpdate>,
}

impl QuarantineArchive {
    /// Creates the archive of an instance that starts now.
    pub fn new(started: clock::MonotonicTime) -> Self {
        Self {
            started,
            read_era: None,
            blocked_until: clock::MonotonicTime::default(),
            pending: FxHashMap::default(),
        }
    }

    /// Returns whether requests may be forwarded: the records have been read, or could not be in time.
    pub fn is_open(&self, now: clock::MonotonicTime) -> bool {
        self.read_era.is_some() || now >= self.started + MAX_START_WAIT
    }

    /// Schedules an update of a subject's record.
    pub fn update(&mut self, due: clock::MonotonicTime, subject: ArchiveSubject) {
        self.schedule(due, subject, false);
    }

    /// Schedules the deletion of a subject's record, as a completed run has cleared the subject.
    pub fn clear(&mut self, due: clock::MonotonicTime, subject: ArchiveSubject) {
        self.schedule(due, subject, true);
    }

    fn schedule(&mut self, due: clock::MonotonicTime, subject: ArchiveSubject, is_cleared: bool) {
        let pending = self.pending.entry(subject).or_insert(PendingUpdate { due, is_cleared });
        pending.due = pending.due.min(due);
        pending.is_cleared |= is_cleared;
    }

    /// Returns whether the records must be read now: for the first time, as an update is due, or as the
    /// store was restored from an older copy. `era` is the store's present one.
    pub fn needs_read(&self, now: clock::MonotonicTime, era: u64) -> bool {
        let is_due = self.pending.values().any(|pending| pending.due <= now);
        let is_outdated = self.read_era.is_none_or(|read| read < era);
        now >= self.blocked_until && (is_due || is_outdated)
    }

    /// Notes a failed read.
    pub fn read_failed(&mut self, now: clock::MonotonicTime) {
        self.blocked_until = now + RETRY_INTERVAL;
    }

    /// Notes that a write failed or that its outcome is unknown; it is planned again.
    pub fn write_failed(&mut self, now: clock::MonotonicTime, write: &ArchiveWrite) {
        match write.cause {
            WriteCause::Update => self.update(now, write.subject),
            WriteCause::Clearance => self.clear(now, write.subject),
            WriteCause::Excess => {}
        }
    }

    /// Notes that the records were read. Returns whether the store was restored since the last read, so that
    /// it may lack what is known.
    pub fn records_read(&mut self, era: u64) -> bool {
        self.read_era.replace(era).is_some_and(|before| before < era)
    }

    /// Returns whether a stored record holds. A completed run voids a suspicion and the quarantine of a part, but
    /// lifts no quarantine of a request.
    pub fn is_valid(&self, record: &once::QuarantineRecord) -> bool {
        let is_cleared =
            self.pending.get(&ArchiveSubject::of(record)).is_some_and(|pending| pending.is_cleared);
        !is_cleared || is_quarantined_request(record)
    }

    /// Returns the writes that are due, given the stored records, which have been merged into the ledgers.
    /// What has ended is deleted along with a write.
    pub fn plan(
        &mut self,
        at: ArchiveTime,
        stored: &[once::QuarantineRecord],
        crashes: &crash_ledger::CrashLedger,
        parts: &part_ledger::PartLedger,
    ) -> Vec<ArchiveWrite> {
        let due = self.pending.extract_if(|_, pending| pending.due <= at.now);
        let mut due: Vec<(ArchiveSubject, PendingUpdate)> = due.collect();
        due.sort_unstable_by_key(|(subject, _)| *subject);
        let mut writes = Vec::new();
        for (subject, pending) in &due {
            let known = stored.iter().find(|record| ArchiveSubject::of(record) == *subject);
            let valid = known.filter(|known| !pending.is_cleared || is_quarantined_request(known));
            let record = match subject {
                ArchiveSubject::Request(digest) => request_record(at, *digest, crashes),
                ArchiveSubject::Part(part) => part_record(at, *part, parts),
            };
            let is_settled = match (&record, valid) {
                (Some(record), Some(valid)) => holds_as_much(valid, record),
                (Some(_), None) => false,
                (None, valid) => known.is_none() || valid.is_some(),
            };
            if !is_settled {
                let cause = match pending.is_cleared {
                    true => WriteCause::Clearance,
                    false => WriteCause::Update,
                };
                writes.push(ArchiveWrite { subject: *subject, record, cause });
            }
        }
        if !writes.is_empty() {
            let kept = |subject: &ArchiveSubject| due.iter().any(|(known, _)| known == subject);
            writes.extend(excess(at, stored, kept));
        }
        writes
    }
}

/// Returns the deletions of records that ended long ago, or that end first if there are too many.
fn excess(
    at: ArchiveTime,
    stored: &[once::QuarantineRecord],
    is_kept: impl Fn(&ArchiveSubject) -> bool,
) -> impl Iterator<Item = ArchiveWrite> {
    let ends = stored.iter().map(|record| (record.until_ms(), ArchiveSubject::of(record)));
    let mut ends: Vec<(u64, ArchiveSubject)> =
        ends.filter(|(_, subject)| !is_kept(subject)).collect();
    ends.sort_unstable();
    let surplus = (stored.len() + 1).saturating_sub(MAX_RECORDS);
    let excess = ends.into_iter().enumerate().filter(move |(index, (until_ms, _))| {
        *index < surplus || until_ms + DELETION_DELAY_MS < at.unix_ms
    });
    let cause = WriteCause::Excess;
    let deleted =
        excess.map(move |(_, (_, subject))| ArchiveWrite { subject, record: None, cause });
    deleted.take(MAX_DELETED)
}

/// Returns the notice that a stored record stands for; `None` for a part.
pub fn to_notice(at: ArchiveTime, record: &once::QuarantineRecord) -> Option<once::CrashNotice> {
    match record {
        once::QuarantineRecord::Request { digest, crashes, until_ms } => Some(once::CrashNotice {
            digest: *digest,
            crashes: crashes.iter().cloned().collect(),
            time_left: at.left(*until_ms),
        }),
        once::QuarantineRecord::Part { .. } => None,
    }
}

/// Returns the quarantine that a stored record stands for; `None` for a request.
pub fn to_quarantined_part(
    at: ArchiveTime,
    record: &once::QuarantineRecord,
) -> Option<part_ledger::QuarantinedPart> {
    match record {
        once::QuarantineRecord::Part { part, last_crash_ms, until_ms } => {
            let age_ms = at.unix_ms.saturating_sub(*last_crash_ms);
            let left = at.left(*until_ms).min(part_ledger::QUARANTINE_TIME);
            Some(part_ledger::QuarantinedPart {
                part: part_ledger::PartKey(*part),
                last_crash: at.now - time::Duration::from_millis(age_ms),
                until: at.now + left,
            })
        }
        once::QuarantineRecord::Request { .. } => None,
    }
}

fn is_quarantined_request(record: &once::QuarantineRecord) -> bool {
    match record {
        once::QuarantineRecord::Request { crashes, .. } => {
            crashes.len() >= crash_ledger::QUARANTINE_CRASHES as usize
        }
        once::QuarantineRecord::Part { .. } => false,
    }
}

/// Returns whether a stored record says as much as a newer one.
fn holds_as_much(known: &once::QuarantineRecord, record: &once::QuarantineRecord) -> bool {
    use once::QuarantineRecord::{Part, Request};
    match (known, record) {
        (Request { crashes: known, .. }, Request { crashes, .. }) => known.len() >= crashes.len(),
        (Part { last_crash_ms: known, .. }, Part { last_crash_ms, .. }) => {
            known + crash_ledger::SAME_CRASH_SPAN_MS >= *last_crash_ms
        }
        _ => false,
    }
}

fn request_record(
    at: ArchiveTime,
    digest: once::RequestDigest,
    ledger: &crash_ledger::CrashLedger,
) -> Option<once::QuarantineRecord> {
    let notice = ledger.shared_notice(at.now, digest)?;
    let skipped = notice.crashes.len().saturating_sub(MAX_CRASHES);
    let crashes = notice.crashes.into_iter().skip(skipped).collect();
    let until_ms = at.to_unix_ms(at.now + notice.time_left);
    Some(once::QuarantineRecord::Request { digest, crashes, until_ms })
}

fn part_record(
    at: ArchiveTime,
    part: part_ledger::PartKey,
    ledger: &part_ledger::PartLedger,
) -> Option<once::QuarantineRecord> {
    let listed = ledger.quarantined(at.now).find(|listed| listed.part == part)?;
    Some(once::QuarantineRecord::Part {
        part: part.0,
        last_crash_ms: at.to_unix_ms(listed.last_crash),
        until_ms: at.to_unix_ms(listed.until),
    })
}

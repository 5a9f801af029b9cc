//! Quarantine of requests that repeatedly ran on crashing upstreams, by request digest.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::dispatch;

/// Thresholds and lifetimes of a quarantine table.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// Number of crashes from which a request is quarantined.
    pub crashes: u32,
    /// Time after the last crash until a quarantine ends.
    pub lifetime: time::Duration,
    /// Time after the last crash until the suspicion of a request that is not quarantined ends.
    pub suspicion_lifetime: time::Duration,
    /// Crash numbers of an upstream that differ by less than this are the same crash, reported by
    /// several instances.
    pub same_crash_span: u64,
    /// Maximum number of digests; those that expire first are evicted first.
    pub max_entries: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: dispatch::QUARANTINE_CRASHES,
            lifetime: time::Duration::from_secs(600),
            suspicion_lifetime: time::Duration::from_secs(600),
            same_crash_span: 1,
            max_entries: 10_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Suspicion {
    crashes: SmallVec<[once::CrashId; 2]>,
    until: clock::MonotonicTime,
}

/// Status of a request digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Not suspected of any crash.
    Clear,
    /// Ran during a crash; must not share an upstream with other suspects.
    Suspected,
    /// Refused.
    Quarantined,
}

/// Crashes by request digest. Merging notices is idempotent and commutative.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    suspicions: collections::BTreeMap<once::RequestDigest, Suspicion>,
}

impl QuarantineTable {
    /// Creates an empty table.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, suspicions: collections::BTreeMap::new() }
    }

    /// Returns the number of digests in the table, including expired ones.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns whether the table has no digests.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Returns the number of crashes that a digest is suspected of.
    pub fn crashes(&self, now: clock::MonotonicTime, digest: &once::RequestDigest) -> u32 {
        let suspicion = self.suspicions.get(digest).filter(|suspicion| now < suspicion.until);
        suspicion.map_or(0, |suspicion| suspicion.crashes.len() as u32)
    }

    /// Returns the status of a digest.
    pub fn status(
        &self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> QuarantineStatus {
        match self.crashes(now, digest) {
            0 => QuarantineStatus::Clear,
            crashes if crashes < self.settings.crashes => QuarantineStatus::Suspected,
            _ => QuarantineStatus::Quarantined,
        }
    }

    /// Returns the remaining time of a digest's quarantine, if it is quarantined.
    pub fn quarantine_left(
        &self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> Option<time::Duration> {
        let is_refused = self.status(now, digest) == QuarantineStatus::Quarantined;
        is_refused.then(|| self.notice(now, *digest).time_left)
    }

    /// Returns the notices of digests with at least `crashes` crashes.
    pub fn notices(&self, now: clock::MonotonicTime, crashes: usize) -> Vec<once::CrashNotice> {
        let known = self.suspicions.iter().filter(|(_, suspicion)| now < suspicion.until);
        let known = known.filter(|(_, suspicion)| suspicion.crashes.len() >= crashes);
        known.map(|(digest, _)| self.notice(now, *digest)).collect()
    }

    /// Records a crash. Returns the notice for the other instances unless the crash was known.
    pub fn record(
        &mut self,
        now: clock::MonotonicTime,
        digest: once::RequestDigest,
        crash: once::CrashId,
    ) -> Option<once::CrashNotice> {
        let crashes = SmallVec::from_iter([crash]);
        let time_left = self.settings.lifetime;
        let is_new = self.merge(now, &once::CrashNotice { digest, crashes, time_left });
        is_new.then(|| self.notice(now, digest))
    }

    /// Merges a notice. Returns whether it contained an unknown crash.
    pub fn merge(&mut self, now: clock::MonotonicTime, notice: &once::CrashNotice) -> bool {
        self.suspicions.retain(|_, suspicion| now < suspicion.until);
        let suspicion = self
            .suspicions
            .entry(notice.digest)
            .or_insert_with(|| Suspicion { crashes: SmallVec::new(), until: now });
        let mut is_new = false;
        for crash in &notice.crashes {
            let is_same = |known: &once::CrashId| {
                known.upstream == crash.upstream
                    && known.generation.abs_diff(crash.generation) < self.settings.same_crash_span
            };
            if !suspicion.crashes.iter().any(is_same) {
                suspicion.crashes.push(crash.clone());
                is_new = true;
            }
        }
        if is_new {
            let settings = &self.settings;
            let is_quarantined = |crashes: usize| crashes >= settings.crashes as usize;
            let time_left = match is_quarantined(suspicion.crashes.len()) {
                true if is_quarantined(notice.crashes.len()) => notice.time_left,
                true => settings.lifetime,
                false => notice.time_left.min(settings.suspicion_lifetime),
            };
            suspicion.until = suspicion.until.max(now + time_left.min(settings.lifetime));
        }
        self.evict_excess();
        is_new
    }

    /// Clears a suspect that has run to completion. A quarantine is not lifted.
    pub fn clear_suspect(&mut self, now: clock::MonotonicTime, digest: &once::RequestDigest) {
        if self.status(now, digest) == QuarantineStatus::Suspected {
            self.suspicions.remove(digest);
        }
    }

    /// Returns the notice of a digest for other instances.
    pub fn notice(
        &self,
        now: clock::MonotonicTime,
        digest: once::RequestDigest,
    ) -> once::CrashNotice {
        let suspicion = self.suspicions.get(&digest);
        let crashes = suspicion.map(|suspicion| suspicion.crashes.clone()).unwrap_or_default();
        let time_left = suspicion.map_or(time::Duration::ZERO, |known| known.until.since(now));
        once::CrashNotice { digest, crashes, time_left }
    }

    fn evict_excess(&mut self) {
        while self.suspicions.len() > self.settings.max_entries {
            let first = self.suspicions.iter().min_by_key(|(_, suspicion)| suspicion.until);
            let Some(digest) = first.map(|(digest, _)| *digest) else { return };
            self.suspicions.remove(&digest);
        }
    }
}

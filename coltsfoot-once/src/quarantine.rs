//! Requests suspected of crashing upstreams, by digest; a few crashes quarantine a request.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::dispatch;

/// Settings of a table.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// Crashes from which a request is quarantined.
    pub crashes: u32,
    /// Time after the last crash for which a request stays quarantined.
    pub lifetime: time::Duration,
    /// Time after the last crash for which a request stays suspected that is not quarantined.
    pub suspicion_lifetime: time::Duration,
    /// Numbers of an upstream's crashes that differ by less are of one crash, as several instances saw
    /// it.
    pub same_crash_span: u64,
    /// Digests remembered at most; those that end first are forgotten first.
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

/// What a digest may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Nothing is known against it.
    Clear,
    /// It was running during a crash; no other suspect may run beside it.
    Suspected,
    /// It is refused.
    Quarantined,
}

/// Crashes by digest. Merging notices is idempotent and independent of their order.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    suspicions: collections::BTreeMap<once::RequestDigest, Suspicion>,
}

impl QuarantineTable {
    /// Creates a table that knows of no crash.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, suspicions: collections::BTreeMap::new() }
    }

    /// Returns the number of digests that are remembered.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns whether no digest is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Returns the crashes that a digest is suspected of.
    pub fn crashes(&self, now: clock::MonotonicTime, digest: &once::RequestDigest) -> u32 {
        let suspicion = self.suspicions.get(digest).filter(|suspicion| now < suspicion.until);
        suspicion.map_or(0, |suspicion| suspicion.crashes.len() as u32)
    }

    /// Returns what a digest may do.
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

    /// Returns for how long a digest is refused, if it is quarantined.
    pub fn quarantine_left(
        &self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> Option<time::Duration> {
        let is_refused = self.status(now, digest) == QuarantineStatus::Quarantined;
        is_refused.then(|| self.notice(now, *digest).time_left)
    }

    /// Returns the notices of digests with so many crashes or more.
    pub fn notices(&self, now: clock::MonotonicTime, crashes: usize) -> Vec<once::CrashNotice> {
        let known = self.suspicions.iter().filter(|(_, suspicion)| now < suspicion.until);
        let known = known.filter(|(_, suspicion)| suspicion.crashes.len() >= crashes);
        known.map(|(digest, _)| self.notice(now, *digest)).collect()
    }

    /// Records a crash and returns the notice for the other instances if it is news.
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

    /// Merges a notice and returns whether it brought a crash that was not known.
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

    /// Clears a suspected request that has run to its end. A quarantined one stays.
    pub fn clear_suspect(&mut self, now: clock::MonotonicTime, digest: &once::RequestDigest) {
        if self.status(now, digest) == QuarantineStatus::Suspected {
            self.suspicions.remove(digest);
        }
    }

    /// Returns what is known of a digest, for other instances.
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

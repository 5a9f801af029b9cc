//! Requests suspected of crashing upstreams, by digest; two crashes quarantine a request.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::dispatch;

/// Settings of a table.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// Time after the last crash for which a request stays suspected or quarantined.
    pub lifetime: time::Duration,
    /// Digests remembered at most; those that end first are forgotten first.
    pub max_entries: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self { lifetime: time::Duration::from_secs(600), max_entries: 10_000 }
    }
}

#[derive(Clone, Debug)]
struct Suspicion {
    crashes: SmallVec<[once::CrashId; 2]>,
    until: clock::MonotonicTime,
}

/// What a digest may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
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
    pub fn verdict(
        &self,
        now: clock::MonotonicTime,
        digest: &once::RequestDigest,
    ) -> QuarantineVerdict {
        match self.crashes(now, digest) {
            0 => QuarantineVerdict::Clear,
            crashes if crashes < dispatch::QUARANTINE_CRASHES => QuarantineVerdict::Suspected,
            _ => QuarantineVerdict::Quarantined,
        }
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
        let is_news = self.merge(now, &once::CrashNotice { digest, crashes, time_left });
        is_news.then(|| self.notice(now, digest))
    }

    /// Merges a notice and returns whether it brought a crash that was not known.
    pub fn merge(&mut self, now: clock::MonotonicTime, notice: &once::CrashNotice) -> bool {
        self.suspicions.retain(|_, suspicion| now < suspicion.until);
        let until = now + notice.time_left.min(self.settings.lifetime);
        let suspicion = self
            .suspicions
            .entry(notice.digest)
            .or_insert_with(|| Suspicion { crashes: SmallVec::new(), until });
        let mut is_news = false;
        for crash in &notice.crashes {
            if !suspicion.crashes.contains(crash) {
                suspicion.crashes.push(crash.clone());
                is_news = true;
            }
        }
        if is_news {
            suspicion.until = suspicion.until.max(until);
        }
        self.limit_entries();
        is_news
    }

    /// Clears a suspected request that has run to its end. A quarantined one stays.
    pub fn exonerate(&mut self, now: clock::MonotonicTime, digest: &once::RequestDigest) {
        if self.verdict(now, digest) == QuarantineVerdict::Suspected {
            self.suspicions.remove(digest);
        }
    }

    fn notice(&self, now: clock::MonotonicTime, digest: once::RequestDigest) -> once::CrashNotice {
        let suspicion = self.suspicions.get(&digest);
        let crashes = suspicion.map(|suspicion| suspicion.crashes.clone()).unwrap_or_default();
        let time_left = suspicion.map_or(time::Duration::ZERO, |known| known.until.since(now));
        once::CrashNotice { digest, crashes, time_left }
    }

    fn limit_entries(&mut self) {
        while self.suspicions.len() > self.settings.max_entries {
            let first = self.suspicions.iter().min_by_key(|(_, suspicion)| suspicion.until);
            let Some(digest) = first.map(|(digest, _)| *digest) else { return };
            self.suspicions.remove(&digest);
        }
    }
}

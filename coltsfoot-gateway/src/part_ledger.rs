//! Quarantine of prompt parts that crash each engine which begins a response to a prompt with them.
//!
//! A crash makes suspects of the shared parts of all prompts that had no lasting response yet, at any
//! instance. A response that lasts clears the parts of its prompt, also at other instances. A part that
//! stays suspected through several crashes, while other prompts are served, is quarantined; the crashes that
//! it explains no longer count against other parts.

use std::fmt;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::{demand, rendezvous};

/// Separate crashes from which a part is quarantined that was never served as far as known.
const QUARANTINE_CRASHES: usize = 3;
/// Separate crashes from which a part is quarantined that was served before.
const SERVED_PART_CRASHES: usize = 4;
/// Engines that crash within this time count as one crash, for example those of a zone.
const SEPARATION: time::Duration = time::Duration::from_millis(250);
/// Reports of crashes of an engine within this time are of one crash: a restart takes longer.
const SAME_CRASH_SPAN: time::Duration = time::Duration::from_millis(1000);
/// Time from the first event after which a response lasts. An engine that a part crashes may still have
/// sent the first events.
const LASTING_TIME: time::Duration = time::Duration::from_millis(200);
/// Prompts without the part that must be served since its first crash, as evidence that engines work.
const MIN_SERVED: usize = 3;
/// Time for which a part is quarantined.
pub const QUARANTINE_TIME: time::Duration = time::Duration::from_secs(3600);
/// Time after a quarantine in which a single crash renews it.
const PROBATION_TIME: time::Duration = time::Duration::from_secs(24 * 3600);
/// Time after its last crash for which a part is suspected.
const SUSPICION_TIME: time::Duration = time::Duration::from_secs(60);
/// Time for which crashes that are explained and responses that lasted are remembered, for late reports.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(10);
/// Time for which a run with a lost connection is kept until the crash is confirmed.
const CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(10);
/// Maximum number of suspected parts, of cleared parts, and of prompts served lately.
const MAX_SUSPECTED: usize = 4096;
const MAX_CLEARED: usize = 4096;
const MAX_SERVED: usize = 64;
/// Maximum number of quarantined parts.
const MAX_QUARANTINED: usize = 256;
/// Maximum number of crashes that are kept for one part, and of those that are explained.
const MAX_CRASHES: usize = 32;
/// Maximum number of parts in one report.
const MAX_REPORTED: usize = 64;

/// Number that stands for a part of prompts to a base model, the same at all instances.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartKey(pub u64);

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Parts of one prompt.
pub type PartList = SmallVec<[PartKey; 4]>;

/// Returns the keys of the parts of a prompt that others may share.
pub fn shared_keys(demand: &demand::PromptDemand) -> PartList {
    let key = |part: &demand::PromptPart| rendezvous::hash_of(&(&*demand.model, part.id));
    demand.shared_parts().iter().map(|part| PartKey(key(part))).collect()
}

/// A run of a prompt at an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunId(u64);

#[derive(Clone, Debug)]
struct PartRun {
    engine: u64,
    parts: PartList,
    first_event: Option<clock::MonotonicTime>,
    lost_at: Option<clock::MonotonicTime>,
    has_lasted: bool,
}

/// Crash of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineCrash {
    /// Number that stands for the engine.
    pub engine: u64,
    /// When its connections broke.
    pub at: clock::MonotonicTime,
}

impl EngineCrash {
    fn is_same(&self, other: &Self) -> bool {
        let distance = self.at.since(other.at).max(other.at.since(self.at));
        self.engine == other.engine && distance < SAME_CRASH_SPAN
    }
}

/// A crash and the parts that one instance suspects of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The crash.
    pub crash: EngineCrash,
    /// Shared parts of the prompts without a lasting response.
    pub parts: Vec<PartKey>,
}

/// A part under quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartKey,
    /// Its last crash that is known.
    pub last_crash: clock::MonotonicTime,
    /// End of the quarantine.
    pub until: clock::MonotonicTime,
}

/// What a response that lasted shows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServedOutcome {
    /// Cleared parts that other instances may suspect.
    pub cleared: PartList,
    /// Cleared parts whose quarantine this ends.
    pub lifted: PartList,
    /// Parts that are quarantined now, as another prompt was served without them.
    pub quarantined: Vec<QuarantinedPart>,
}

type CrashList = SmallVec<[EngineCrash; 4]>;

/// Prompts at engines, and parts that are suspected or quarantined.
#[derive(Clone, Debug, Default)]
pub struct PartLedger {
    runs: FxHashMap<u64, PartRun>,
    last_run: u64,
    suspected: FxHashMap<PartKey, CrashList>,
    quarantined: FxHashMap<PartKey, QuarantinedPart>,
    /// When a response with the part was last known to last.
    cleared: FxHashMap<PartKey, clock::MonotonicTime>,
    /// Crashes that a quarantined part explains.
    explained: Vec<EngineCrash>,
    /// Prompts whose responses lasted.
    served: Vec<(clock::MonotonicTime, PartList)>,
}

impl PartLedger {
    /// Returns the quarantined part among those of a prompt that has the longest time left, with that time.
    pub fn quarantine_left(
        &self,
        now: clock::MonotonicTime,
        parts: &[PartKey],
    ) -> Option<(PartKey, time::Duration)> {
        let listed = parts.iter().filter_map(|part| self.quarantined.get(part));
        let active = listed.filter(|listed| now < listed.until);
        let longest = active.max_by_key(|listed| listed.until)?;
        Some((longest.part, longest.until.since(now)))
    }

    /// Records that a prompt is sent to an engine.
    pub fn begin(&mut self, engine: &str, parts: PartList) -> RunId {
        self.last_run += 1;
        let engine = engine_key(engine);
        let run = PartRun { engine, parts, first_event: None, lost_at: None, has_lasted: false };
        self.runs.insert(self.last_run, run);
        RunId(self.last_run)
    }

    /// Records an event of a response. Returns what it shows if the response lasts since.
    pub fn event_received(
        &mut self,
        now: clock::MonotonicTime,
        run: RunId,
    ) -> Option<ServedOutcome> {
        let run = self.runs.get_mut(&run.0)?;
        let first = *run.first_event.get_or_insert(now);
        if run.has_lasted || now.since(first) < LASTING_TIME {
            return None;
        }
        run.has_lasted = true;
        let parts = run.parts.clone();
        Some(self.record_served(now, parts))
    }

    /// Records that a response was received completely. Returns what it shows unless it lasted before.
    pub fn complete(&mut self, now: clock::MonotonicTime, run: RunId) -> Option<ServedOutcome> {
        let run = self.runs.remove(&run.0).filter(|run| !run.has_lasted)?;
        Some(self.record_served(now, run.parts))
    }

    /// Records that the connection of a run was lost; a crash of its engine may be confirmed later.
    pub fn lose(&mut self, now: clock::MonotonicTime, run: RunId) {
        self.runs.retain(|_, run| {
            run.lost_at.is_none_or(|lost_at| now.since(lost_at) < CONFIRMATION_TIME)
        });
        if let Some(run) = self.runs.get_mut(&run.0) {
            run.lost_at = Some(now);
        }
    }

    /// Records that a run ended for a reason that tells nothing.
    pub fn abandon(&mut self, run: RunId) {
        self.runs.remove(&run.0);
    }

    /// Records that an engine is alive, so that its lost connections were not due to a crash.
    pub fn confirm_alive(&mut self, engine: &str) {
        let engine = engine_key(engine);
        self.runs.retain(|_, run| run.engine != engine || run.lost_at.is_none());
    }

    /// Ends the runs at an engine that has crashed. Returns the report for all instances, this one
    /// included, if there are suspects. With `only_lost` those whose connections were lost.
    pub fn end_runs(
        &mut self,
        now: clock::MonotonicTime,
        engine: &str,
        only_lost: bool,
    ) -> Option<CrashReport> {
        let engine = engine_key(engine);
        let ended: Vec<PartRun> = self
            .runs
            .extract_if(|_, run| run.engine == engine && (!only_lost || run.lost_at.is_some()))
            .map(|(_, run)| run)
            .collect();
        let at = ended.iter().filter_map(|run| run.lost_at).max().unwrap_or(now);
        let suspects = ended.into_iter().filter(|run| !run.has_lasted);
        let mut parts: Vec<PartKey> = suspects.flat_map(|run| run.parts).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.truncate(MAX_REPORTED);
        (!parts.is_empty()).then_some(CrashReport { crash: EngineCrash { engine, at }, parts })
    }

    /// Merges a report of any instance. Returns the parts that are quarantined now.
    pub fn merge_report(
        &mut self,
        now: clock::MonotonicTime,
        report: &CrashReport,
    ) -> Vec<QuarantinedPart> {
        self.forget_old(now);
        let crash = report.crash;
        let is_culprit = |part: &&PartKey| self.quarantined.contains_key(part);
        let culprits: PartList = report.parts.iter().filter(is_culprit).copied().collect();
        if !culprits.is_empty() {
            self.explain(crash);
            return culprits.iter().filter_map(|part| self.renew(now, *part, crash.at)).collect();
        }
        if self.explained.iter().any(|known| known.is_same(&crash)) {
            return Vec::new();
        }
        for part in &report.parts {
            if self.cleared.get(part).is_some_and(|cleared| *cleared >= crash.at) {
                continue;
            }
            let crashes = self.suspected.entry(*part).or_default();
            if crashes.len() < MAX_CRASHES && !crashes.iter().any(|known| known.is_same(&crash)) {
                crashes.push(crash);
                crashes.sort_unstable_by_key(|crash| crash.at);
            }
        }
        self.quarantine_culprits(now)
    }

    /// Quarantines the parts that explain the crashes best, as far as the evidence suffices. Returns them.
    fn quarantine_culprits(&mut self, now: clock::MonotonicTime) -> Vec<QuarantinedPart> {
        let mut culprits = Vec::new();
        loop {
            let found = self.find_culprits();
            if found.is_empty() {
                return culprits;
            }
            for part in found {
                let crashes = self.suspected.remove(&part).unwrap_or_default();
                let last_crash = crashes.iter().map(|crash| crash.at).max().unwrap_or(now);
                culprits.push(self.quarantine(now, part, last_crash));
                crashes.into_iter().for_each(|crash| self.explain(crash));
            }
        }
    }

    /// Returns the parts with the most crashes, of these the ones that were never served. Of several that
    /// are alike, one may be innocent: the next crash tells.
    fn find_culprits(&self) -> PartList {
        let ranked = self.suspected.iter().filter_map(|(part, crashes)| {
            let count = separate_crashes(crashes);
            let was_served = self.cleared.contains_key(part);
            let needed = if was_served { SERVED_PART_CRASHES } else { QUARANTINE_CRASHES };
            let is_enough = count >= needed && self.are_others_served(*part, crashes);
            is_enough.then_some(((count, crashes.len(), !was_served), *part))
        });
        let ranked: SmallVec<[_; 4]> = ranked.collect();
        let Some(best) = ranked.iter().map(|(rank, _)| *rank).max() else {
            return PartList::new();
        };
        let found: PartList =
            ranked.iter().filter(|(rank, _)| *rank == best).map(|(_, part)| *part).collect();
        let is_clear = found.len() == 1 || best.0 > QUARANTINE_CRASHES;
        if is_clear { found } else { PartList::new() }
    }

    /// Returns whether prompts without the part were served since its first crash.
    fn are_others_served(&self, part: PartKey, crashes: &[EngineCrash]) -> bool {
        let Some(first) = crashes.first() else { return false };
        let others =
            self.served.iter().filter(|(at, parts)| *at > first.at && !parts.contains(&part));
        others.count() >= MIN_SERVED
    }

    /// Adopts a quarantine of another instance. Returns false if it is known, or refuted by a response
    /// that lasted after its last crash.
    pub fn adopt(&mut self, now: clock::MonotonicTime, listed: QuarantinedPart) -> bool {
        let is_refuted =
            self.cleared.get(&listed.part).is_some_and(|cleared| *cleared > listed.last_crash);
        if is_refuted || self.is_active(now, &listed.part) || listed.until <= now {
            return false;
        }
        let crashes = self.suspected.remove(&listed.part).unwrap_or_default();
        crashes.into_iter().for_each(|crash| self.explain(crash));
        self.quarantined.insert(listed.part, listed);
        self.evict_quarantined();
        true
    }

    /// Clears parts of which a response lasted at `served_at`, at any instance. Returns those whose
    /// quarantine this ends.
    pub fn clear(&mut self, parts: &[PartKey], served_at: clock::MonotonicTime) -> PartList {
        let mut lifted = PartList::new();
        for part in parts {
            let cleared = self.cleared.entry(*part).or_insert(served_at);
            *cleared = (*cleared).max(served_at);
            if let Some(crashes) = self.suspected.get_mut(part) {
                crashes.retain(|crash| crash.at > served_at);
                if crashes.is_empty() {
                    self.suspected.remove(part);
                }
            }
            let is_refuted =
                self.quarantined.get(part).is_some_and(|listed| listed.last_crash < served_at);
            if is_refuted {
                self.quarantined.remove(part);
                lifted.push(*part);
            }
        }
        self.forget_cleared(served_at);
        lifted
    }

    /// Returns the quarantined parts, for instances that may have missed them.
    pub fn quarantined(&self, now: clock::MonotonicTime) -> impl Iterator<Item = QuarantinedPart> {
        self.quarantined.values().copied().filter(move |listed| now < listed.until)
    }

    fn record_served(&mut self, now: clock::MonotonicTime, parts: PartList) -> ServedOutcome {
        // Others suspect a part only if they have a report that this instance has, too.
        let is_worth_telling = |part: &&PartKey| {
            let crashes = self.suspected.get(part).map_or(0, |crashes| separate_crashes(crashes));
            crashes + 1 >= QUARANTINE_CRASHES || self.quarantined.contains_key(part)
        };
        let cleared = parts.iter().filter(is_worth_telling).copied().collect();
        let lifted = self.clear(&parts, now);
        self.served.retain(|(at, _)| now.since(*at) < MEMORY_TIME);
        if self.served.len() >= MAX_SERVED {
            self.served.remove(0);
        }
        self.served.push((now, parts));
        ServedOutcome { cleared, lifted, quarantined: self.quarantine_culprits(now) }
    }

    fn is_active(&self, now: clock::MonotonicTime, part: &PartKey) -> bool {
        self.quarantined.get(part).is_some_and(|listed| now < listed.until)
    }

    fn quarantine(
        &mut self,
        now: clock::MonotonicTime,
        part: PartKey,
        last_crash: clock::MonotonicTime,
    ) -> QuarantinedPart {
        let listed = QuarantinedPart { part, last_crash, until: now + QUARANTINE_TIME };
        self.quarantined.insert(part, listed);
        self.evict_quarantined();
        listed
    }

    /// Quarantines a part again that crashed an engine after its quarantine.
    fn renew(
        &mut self,
        now: clock::MonotonicTime,
        part: PartKey,
        crashed_at: clock::MonotonicTime,
    ) -> Option<QuarantinedPart> {
        let has_ended = self.quarantined.get(&part).is_some_and(|listed| listed.until <= now);
        has_ended.then(|| self.quarantine(now, part, crashed_at))
    }

    fn explain(&mut self, crash: EngineCrash) {
        if !self.explained.iter().any(|known| known.is_same(&crash)) {
            if self.explained.len() >= MAX_CRASHES {
                self.explained.remove(0);
            }
            self.explained.push(crash);
        }
        self.suspected.retain(|_, crashes| {
            crashes.retain(|known| !known.is_same(&crash));
            !crashes.is_empty()
        });
    }

    fn forget_old(&mut self, now: clock::MonotonicTime) {
        self.explained.retain(|crash| now.since(crash.at) < MEMORY_TIME);
        self.suspected.retain(|_, crashes| {
            crashes.last().is_some_and(|crash| now.since(crash.at) < SUSPICION_TIME)
        });
        while self.suspected.len() > MAX_SUSPECTED {
            let last = |crashes: &CrashList| crashes.last().map(|crash| crash.at);
            let oldest = self.suspected.iter().min_by_key(|(_, crashes)| last(crashes));
            let Some(part) = oldest.map(|(part, _)| *part) else { return };
            self.suspected.remove(&part);
        }
        self.quarantined.retain(|_, listed| now < listed.until + PROBATION_TIME);
    }

    fn forget_cleared(&mut self, now: clock::MonotonicTime) {
        if self.cleared.len() <= MAX_CLEARED {
            return;
        }
        self.cleared.retain(|_, at| now.since(*at) < MEMORY_TIME);
        if self.cleared.len() > MAX_CLEARED {
            self.cleared.clear();
        }
    }

    fn evict_quarantined(&mut self) {
        while self.quarantined.len() > MAX_QUARANTINED {
            let first = self.quarantined.values().min_by_key(|listed| listed.until);
            let Some(part) = first.map(|listed| listed.part) else { return };
            self.quarantined.remove(&part);
        }
    }
}

fn engine_key(engine: &str) -> u64 {
    rendezvous::hash_of(&engine)
}

/// Returns the number of crashes that lie apart in time; the list is in order.
fn separate_crashes(crashes: &[EngineCrash]) -> usize {
    let mut last: Option<clock::MonotonicTime> = None;
    crashes
        .iter()
        .filter(|crash| {
            let is_separate = last.is_none_or(|last| crash.at.since(last) >= SEPARATION);
            if is_separate {
                last = Some(crash.at);
            }
            is_separate
        })
        .count()
}

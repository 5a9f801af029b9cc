//! Which upstreams this instance reaches itself, and when it probes those that it does not.
//!
//! One failed connection tells of one upstream. If several of a service fail and none has been in contact
//! since, this instance has probably lost its path to the whole service.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// Upstreams of a service that must fail before the others count as lost, too.
const MIN_FAILURES: usize = 2;
/// Interval between probes of a lost upstream.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval between probes of an upstream that has not failed itself.
const OTHER_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval between probes of any such upstreams.
const OTHER_PROBE_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Most probes that are started together: few while the paths are probably still lost, as a large fleet would
/// send very many, and more once one was regained.
const MAX_PROBES: usize = 8;
const MAX_PROBES_WHILE_LOST: usize = 2;
/// Time after a path was regained in which others probably are as well.
const REGAIN_TIME: time::Duration = time::Duration::from_millis(500);

/// How an attempt to connect failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathFailure {
    /// The connection was refused; open ones may work.
    Refused,
    /// There was no answer; open ones are probably dead as well.
    Silent,
}

/// How an upstream is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPath {
    /// By connections of this instance.
    Direct,
    /// Not by new connections of this instance.
    Lost(PathFailure),
}

/// An upstream that this instance does not reach.
#[derive(Clone, Copy, Debug)]
struct LostUpstream {
    failure: PathFailure,
    since: clock::MonotonicTime,
    probed: clock::MonotonicTime,
}

/// The lost upstreams of a service.
#[derive(Clone, Debug, Default)]
struct LostService {
    upstreams: FxHashMap<u32, LostUpstream>,
    /// Last contact with any of its upstreams since the first loss.
    last_contact: Option<clock::MonotonicTime>,
}

impl LostService {
    /// Returns how all its upstreams have failed, if they count as lost.
    fn common_failure(&self) -> Option<PathFailure> {
        let last_loss = self.upstreams.values().map(|lost| lost.since).max()?;
        let has_contact = self.last_contact.is_some_and(|contact| contact >= last_loss);
        if self.upstreams.len() < MIN_FAILURES || has_contact {
            return None;
        }
        let is_silent = self.upstreams.values().any(|lost| lost.failure == PathFailure::Silent);
        Some(if is_silent { PathFailure::Silent } else { PathFailure::Refused })
    }
}

/// An upstream that may be probed.
#[derive(Clone, Debug)]
pub struct ProbeCandidate {
    /// Its service.
    pub service: sync::Arc<str>,
    /// Number of its incarnation.
    pub number: u32,
    /// Whether it sends nothing although requests run there.
    pub is_silent: bool,
}

/// Upstreams that this instance does not reach. Without any, it holds nothing.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    services: FxHashMap<sync::Arc<str>, LostService>,
    /// When a lost upstream was last reached again.
    regained: Option<clock::MonotonicTime>,
    /// Times of the last probes of upstreams that have not failed themselves.
    other_probes: FxHashMap<u32, clock::MonotonicTime>,
}

impl PathTable {
    /// Returns whether all upstreams are reached.
    pub fn is_whole(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns how an upstream is reached.
    pub fn path(&self, service: &str, number: u32) -> UpstreamPath {
        let Some(lost) = self.services.get(service) else { return UpstreamPath::Direct };
        let own = lost.upstreams.get(&number).map(|lost| lost.failure);
        own.or_else(|| lost.common_failure()).map_or(UpstreamPath::Direct, UpstreamPath::Lost)
    }

    /// Returns since when an upstream has accepted no connection, if that is so.
    pub fn lost_since(&self, service: &str, number: u32) -> Option<clock::MonotonicTime> {
        Some(self.services.get(service)?.upstreams.get(&number)?.since)
    }

    /// Records that an upstream accepted a connection of this instance or sent something on one. Returns
    /// whether it was lost.
    pub fn record_contact(
        &mut self,
        now: clock::MonotonicTime,
        service: &str,
        number: u32,
    ) -> bool {
        let Some(lost) = self.services.get_mut(service) else { return false };
        lost.last_contact = Some(now);
        let was_lost = lost.upstreams.remove(&number).is_some();
        if lost.upstreams.is_empty() {
            self.services.remove(service);
        }
        if was_lost {
            self.regained = Some(now);
        }
        was_lost
    }

    /// Records that an upstream accepted no connection. Returns whether it was reached before.
    pub fn record_failure(
        &mut self,
        now: clock::MonotonicTime,
        service: &sync::Arc<str>,
        number: u32,
        failure: PathFailure,
    ) -> bool {
        let lost = self.services.entry(sync::Arc::clone(service)).or_default();
        let known = lost.upstreams.get(&number);
        let since = known.map_or(now, |known| known.since);
        lost.upstreams.insert(number, LostUpstream { failure, since, probed: now }).is_none()
    }

    /// Returns which upstreams to probe now, and notes that they are. Lost ones are forgotten once they are
    /// not listed.
    pub fn start_probes(
        &mut self,
        now: clock::MonotonicTime,
        listed: &[ProbeCandidate],
    ) -> SmallVec<[u32; MAX_PROBES]> {
        self.forget_unlisted(now, listed);
        let mut due: SmallVec<[(clock::MonotonicTime, u32); 16]> = SmallVec::new();
        for lost in self.services.values() {
            let waiting = lost.upstreams.iter();
            let waiting = waiting.filter(|(_, lost)| now >= lost.probed + PROBE_INTERVAL);
            due.extend(waiting.map(|(number, lost)| (lost.probed, *number)));
        }
        due.sort_unstable();
        let is_regaining = self.regained.is_some_and(|regained| now < regained + REGAIN_TIME);
        let limit = if is_regaining { MAX_PROBES } else { MAX_PROBES_WHILE_LOST };
        let mut probes: SmallVec<[u32; MAX_PROBES]> =
            due.into_iter().map(|(_, number)| number).take(limit).collect();
        for lost in self.services.values_mut() {
            for (_, lost) in lost.upstreams.iter_mut().filter(|(number, _)| probes.contains(number))
            {
                lost.probed = now;
            }
        }
        probes.extend(self.start_other_probe(now, listed));
        probes
    }

    /// Returns an upstream that has not failed itself and may be lost: one that is silent, or one of a service
    /// whose other upstreams have failed.
    fn start_other_probe(
        &mut self,
        now: clock::MonotonicTime,
        listed: &[ProbeCandidate],
    ) -> Option<u32> {
        if self.other_probes.values().any(|probed| now < *probed + OTHER_PROBE_PAUSE) {
            return None;
        }
        let is_due = |candidate: &&ProbeCandidate| {
            let lost = self.services.get(&candidate.service);
            let has_failed =
                lost.is_some_and(|lost| lost.upstreams.contains_key(&candidate.number));
            let is_suspect =
                candidate.is_silent || lost.is_some_and(|lost| lost.common_failure().is_some());
            is_suspect && !has_failed && !self.other_probes.contains_key(&candidate.number)
        };
        let number = listed.iter().find(is_due)?.number;
        self.other_probes.insert(number, now);
        Some(number)
    }

    fn forget_unlisted(&mut self, now: clock::MonotonicTime, listed: &[ProbeCandidate]) {
        self.other_probes.retain(|_, probed| now < *probed + OTHER_PROBE_INTERVAL);
        self.services.retain(|_, lost| {
            lost.upstreams.retain(|number, _| listed.iter().any(|known| known.number == *number));
            !lost.upstreams.is_empty()
        });
    }
}

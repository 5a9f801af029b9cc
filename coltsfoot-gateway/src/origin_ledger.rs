//! Which software version began each recent stream.
//!
//! What engines of two versions write doesn't fit together, so that a stream may go on only at the version
//! that began it. Instances always note the streams that they begin. While several versions of a service
//! serve, or did until recently, they also tell each other and record them in the store, for the case that
//! the instance that began a stream is gone by the time its caller takes it up.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::rendezvous;
use crate::upstream::BuildKey;

/// Longest time that a caller takes streams up until a configuration tells.
const DEFAULT_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Maximum number of streams that are remembered.
const MAX_ORIGINS: usize = 16_384;
/// Maximum number of streams that are told at once: a heartbeat has to fit a datagram.
const MAX_SHARED: usize = 1024;
/// Maximum number of streams in a record of the store.
const MAX_RECORDED: usize = 4096;
/// Time after which the instance of the zone that records streams counts as having recorded one.
const WRITER_SILENCE: time::Duration = time::Duration::from_secs(3);

/// Number that stands for a stream: for the request that brought its first event, of one customer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that a customer's request began.
    pub fn new(customer: Option<&str>, request_id: &str) -> Self {
        Self(rendezvous::hash_of(&(customer, request_id)))
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub build: BuildKey,
    /// When its first event was forwarded, or a later attempt took it up.
    pub at: clock::MonotonicTime,
}

/// Where an instance learned of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// It forwarded the stream's events itself.
    Own,
    /// Another instance of its zone.
    SameZone,
    /// An instance of another zone, or the store.
    Elsewhere,
}

/// Which version may continue a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginVerdict {
    /// Only this one.
    Build(BuildKey),
    /// Any, as no version is known to have served.
    Any,
    /// None: several versions served, and it is unknown which one began the stream.
    Unknown,
}

impl OriginVerdict {
    /// Returns the label for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Build(_) => "known",
            Self::Any => "any",
            Self::Unknown => "unknown",
        }
    }
}

/// Versions that began recent streams.
#[derive(Clone, Debug)]
pub struct OriginLedger {
    /// Since when the instance has been in step with the others without interruption.
    in_step_since: Option<clock::MonotonicTime>,
    /// Time for which streams are remembered, and for which a version that has left counts.
    window: time::Duration,
    /// Whether it is known what served before this instance started, or was out of step.
    has_history: bool,
    /// Since when several versions of a service count; `None` if there are none.
    mixed_since: Option<clock::MonotonicTime>,
    /// When each version last served.
    builds: FxHashMap<BuildKey, clock::MonotonicTime>,
    origins: FxHashMap<StreamKey, StreamOrigin>,
    /// Streams by the time at which they were recorded, to forget them.
    recorded: collections::VecDeque<(clock::MonotonicTime, StreamKey)>,
    /// Streams that this instance began, the oldest first.
    own: collections::VecDeque<StreamOrigin>,
    /// Streams of the zone that may not be in the store yet.
    unwritten: collections::VecDeque<StreamOrigin>,
}

impl OriginLedger {
    /// Creates the ledger of an instance that starts now.
    pub fn new(now: clock::MonotonicTime) -> Self {
        Self {
            in_step_since: Some(now),
            window: DEFAULT_WINDOW,
            has_history: false,
            mixed_since: None,
            builds: FxHashMap::default(),
            origins: FxHashMap::default(),
            recorded: collections::VecDeque::new(),
            own: collections::VecDeque::new(),
            unwritten: collections::VecDeque::new(),
        }
    }

    /// Sets the longest time from the first event of a stream until its caller takes it up.
    pub fn set_window(&mut self, window: time::Duration) {
        self.window = window;
    }

    /// Notes whether the instance is in step with the others. While it is not, others may begin streams on
    /// versions that it has not seen. Returns whether that has changed.
    pub fn set_in_step(&mut self, now: clock::MonotonicTime, is_in_step: bool) -> bool {
        if is_in_step == self.in_step_since.is_some() {
            return false;
        }
        self.in_step_since = is_in_step.then_some(now);
        self.has_history = false;
        true
    }

    /// Returns whether the streams that began before this instance started, or while it was out of step, are
    /// known, as far as others have recorded them.
    pub fn has_history(&self, now: clock::MonotonicTime) -> bool {
        self.in_step_since.is_some_and(|since| self.has_history || now.since(since) >= self.window)
    }

    /// Returns whether the records of other instances must be read. An instance out of step waits until it is in
    /// step again.
    pub fn needs_history(&self, now: clock::MonotonicTime) -> bool {
        self.in_step_since.is_some() && !self.has_history(now)
    }

    /// Notes that the records of other instances have been read.
    pub fn history_read(&mut self) {
        self.has_history = true;
    }

    /// Notes the versions that serve now.
    pub fn see_builds(
        &mut self,
        now: clock::MonotonicTime,
        builds: impl IntoIterator<Item = BuildKey>,
    ) {
        self.builds.extend(builds.into_iter().map(|build| (build, now)));
        let window = self.window;
        self.builds.retain(|_, seen| now.since(*seen) < window);
        let services: FxHashSet<u32> = self.builds.keys().map(|build| build.service()).collect();
        if services.len() == self.builds.len() {
            self.mixed_since = None;
            self.unwritten.clear();
        } else if self.mixed_since.is_none() {
            self.mixed_since = Some(now);
            self.unwritten.extend(&self.own);
        }
    }

    /// Records the version that began a stream, which is `origin.at` or earlier. An earlier record of the
    /// stream stays.
    pub fn record(
        &mut self,
        now: clock::MonotonicTime,
        origin: StreamOrigin,
        source: OriginSource,
    ) {
        self.forget(now);
        if now.since(origin.at) >= self.window {
            return;
        }
        let seen = self.builds.entry(origin.build).or_insert(origin.at);
        *seen = (*seen).max(origin.at);
        if self.origins.contains_key(&origin.stream) && source != OriginSource::Own {
            return;
        }
        let known = self.origins.entry(origin.stream).or_insert(origin);
        known.at = origin.at.max(known.at);
        let origin = *known;
        self.recorded.push_back((now, origin.stream));
        if source == OriginSource::Own {
            self.own.push_back(origin);
        }
        if source != OriginSource::Elsewhere && self.mixed_since.is_some() {
            self.unwritten.push_back(origin);
        }
    }

    fn forget(&mut self, now: clock::MonotonicTime) {
        let window = self.window;
        while let Some((at, stream)) = self.recorded.front().copied()
            && (now.since(at) >= window || self.recorded.len() > MAX_ORIGINS)
        {
            self.recorded.pop_front();
            let is_old = self.origins.get(&stream).is_some_and(|origin| origin.at <= at);
            if is_old {
                self.origins.remove(&stream);
            }
        }
        let is_over = |origin: &StreamOrigin| now.since(origin.at) >= window;
        while self.own.front().is_some_and(is_over) || self.own.len() > MAX_ORIGINS {
            self.own.pop_front();
        }
        while self.unwritten.front().is_some_and(is_over) || self.unwritten.len() > MAX_ORIGINS {
            self.unwritten.pop_front();
        }
    }

    /// Returns which version of a service may continue a stream; `None` stands for a stream that its caller
    /// does not name.
    pub fn verdict(
        &self,
        now: clock::MonotonicTime,
        service: &str,
        stream: Option<StreamKey>,
    ) -> OriginVerdict {
        if let Some(origin) = stream.and_then(|stream| self.origins.get(&stream)) {
            return OriginVerdict::Build(origin.build);
        }
        let service = BuildKey::service_number(service);
        let mut served = self
            .builds
            .iter()
            .filter(|(build, seen)| build.service() == service && now.since(**seen) < self.window);
        match (served.next(), served.next()) {
            _ if !self.has_history(now) => OriginVerdict::Unknown,
            (None, _) => OriginVerdict::Any,
            (Some((build, _)), None) => OriginVerdict::Build(*build),
            (Some(_), Some(_)) => OriginVerdict::Unknown,
        }
    }

    /// Returns the streams that this instance tells others: those that it began in the last `period`, all
    /// when several versions have begun to serve since, and none while there is only one. If there are many,
    /// the newest are told.
    pub fn to_share(&self, now: clock::MonotonicTime, period: time::Duration) -> Vec<StreamOrigin> {
        let Some(mixed_since) = self.mixed_since else { return Vec::new() };
        let shares_all = now.since(mixed_since) < period;
        let newest = self.own.iter().rev();
        let shared = newest.take_while(|origin| shares_all || now.since(origin.at) < period);
        shared.take(MAX_SHARED).copied().collect()
    }

    /// Returns the next streams to record in the store, if this instance is the one of its zone that does so.
    /// The others keep what that one may not have recorded, should it be gone.
    pub fn take_unwritten(
        &mut self,
        now: clock::MonotonicTime,
        is_writer: bool,
    ) -> Vec<StreamOrigin> {
        if is_writer {
            let count = self.unwritten.len().min(MAX_RECORDED);
            return self.unwritten.drain(..count).collect();
        }
        self.unwritten.retain(|origin| now.since(origin.at) < WRITER_SILENCE);
        Vec::new()
    }

    /// Takes back streams that could not be recorded.
    pub fn write_failed(&mut self, origins: Vec<StreamOrigin>) {
        for origin in origins.into_iter().rev() {
            self.unwritten.push_front(origin);
        }
    }
}

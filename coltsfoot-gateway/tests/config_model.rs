//! Seeded simulation of how a change of the configuration reaches all instances, while the store is restored from
//! older copies and instances start, freeze, lose the store or each other, or hold connections that went silent.
//! An instance without a fault of its own must have what was acknowledged within the time of the guarantee.

use std::time;

use coltsfoot_gateway::reader_selection::{self, DigestStatus, OwnDigest, PeerDigest};
use coltsfoot_gateway::rendezvous;
use coltsfoot_gateway::retry_pace::RetryPace;
use coltsfoot_gateway::topic_replica::{
    BucketPage, EraPolicy, KeyedRecord, TopicReplica, ValueRevision, bucket_of,
};
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet::TopicPosition;
use rstest::rstest;

const KEY: &str = "config";
const TICK_MS: u64 = 10;
const RUN_MS: u64 = 60_000;
const HEARTBEAT_MS: u64 = 150;
const NEED_CHECK_MS: u64 = 100;
const NEWS_CHECK_MS: u64 = 400;
const CHECKS_BEFORE_REQUEST: u32 = 2;
const POLL_MS: u64 = 1000;
const CALL_TIMEOUT_MS: u64 = 1200;
/// A fault begins in one tick of this number.
const FAULT_RATE: u64 = 120;
/// One message in this number is lost.
const LOSS: u64 = 40;

/// Times of the guarantee: after the acknowledgement, after a fault of an instance, and after one of the store.
const APPLY_MS: u64 = 2000;
const CONTACT_MS: u64 = 3000;
const OUTER_MS: u64 = 5000;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        rendezvous::weight(self.0, 11) % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

fn revision(value: &[u8]) -> Option<ValueRevision> {
    str::from_utf8(value).ok()?.parse().ok().map(|version| ValueRevision(version, 0))
}

#[derive(Clone, Copy)]
struct Version {
    number: u64,
    written: u64,
}

#[derive(Default)]
struct Store {
    era: u64,
    log: Vec<Version>,
    /// Newest version that a restore lost and that the operator writes again.
    lost: Option<u64>,
    down_until: u64,
    /// Last moment of an outage.
    unstable_at: u64,
}

impl Store {
    fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    fn end(&self) -> TopicPosition {
        TopicPosition { era: self.era, offset: self.log.len() as u64 }
    }

    fn record(&self, offset: usize) -> KeyedRecord {
        let position = TopicPosition { era: self.era, offset: offset as u64 };
        let value = Some(self.log[offset].number.to_string().into_bytes());
        KeyedRecord { key: KEY.to_owned(), value, position }
    }

    /// Comes back from a copy that is some seconds old.
    fn restore(&mut self, now: u64, age: u64) {
        let newest = self.log.last().map(|version| version.number);
        self.log.retain(|version| version.written + age <= now);
        let kept = self.log.last().map(|version| version.number);
        self.lost = self.lost.max(newest.filter(|_| kept != newest));
        self.era += 1;
    }
}

/// What an instance does with the store.
#[derive(Clone, Copy)]
enum FollowStep {
    /// It reads once it has to.
    Idle { next_check: u64 },
    /// A long poll, or a read of the newest record if it begins nowhere.
    Reading { sent: u64, from: Option<TopicPosition>, hangs: bool },
    /// It pauses after a failure.
    Paused { until: u64 },
}

struct Instance {
    id: u64,
    replica: TopicReplica,
    version: u64,
    next: Option<TopicPosition>,
    read_at: Option<u64>,
    step: FollowStep,
    pace: RetryPace,
    heard: Vec<Option<PeerDigest>>,
    newer_checks: u32,
    /// End of the last fault.
    disturbed_until: u64,
    frozen_until: u64,
    cut_from_store_until: u64,
    cut_from_peers_until: u64,
}

impl Instance {
    fn start(now: u64, id: u64, instances: usize) -> Self {
        let policy = EraPolicy { revision, keeps_lost: true };
        Self {
            id,
            replica: TopicReplica::new(policy),
            version: 0,
            next: None,
            read_at: None,
            step: FollowStep::Idle { next_check: now },
            pace: RetryPace::default(),
            heard: vec![None; instances],
            newer_checks: 0,
            disturbed_until: now,
            frozen_until: now,
            cut_from_store_until: now,
            cut_from_peers_until: now,
        }
    }

    fn own_digest(&self) -> OwnDigest {
        OwnDigest { digest: rendezvous::hash_of(&self.version), read_at: self.read_at.map(at) }
    }

    fn peers(&self) -> Vec<PeerDigest> {
        self.heard.iter().flatten().copied().collect()
    }

    fn must_read(&self, now: u64) -> bool {
        if self.next.is_none() && self.read_at.is_none() {
            return true;
        }
        let peers = self.peers();
        reader_selection::is_reader(at(now), self.id, &peers)
            || reader_selection::digest_status(at(now), self.own_digest(), &peers)
                != DigestStatus::Confirmed
    }

    /// Applies news; returns whether the version changed.
    fn apply(&mut self, news: &[KeyedRecord]) -> bool {
        let values = news.iter().filter_map(|record| record.value.as_deref());
        let newest = values.filter_map(revision).map(|revision| revision.0).max();
        let has_changed = newest.is_some_and(|newest| newest > self.version);
        self.version = self.version.max(newest.unwrap_or(0));
        has_changed
    }

    fn fail(&mut self, now: u64, sent: u64) {
        let pause = self.pace.record_failure(at(now), at(sent));
        self.step = FollowStep::Paused { until: now + pause.as_millis() as u64 };
    }

    /// Goes on with the store; returns whether the version changed.
    fn follow(&mut self, now: u64, store: &Store) -> bool {
        match self.step {
            FollowStep::Paused { until } if now >= until => {
                self.step = FollowStep::Idle { next_check: now };
            }
            FollowStep::Idle { next_check } if now >= next_check => {
                self.step = match self.must_read(now) {
                    true => FollowStep::Reading { sent: now, from: self.next, hangs: false },
                    false => FollowStep::Idle { next_check: now + NEED_CHECK_MS },
                };
            }
            FollowStep::Reading { sent, from, hangs } => {
                return self.go_on_reading(now, store, sent, from, hangs);
            }
            _ => {}
        }
        false
    }

    fn go_on_reading(
        &mut self,
        now: u64,
        store: &Store,
        sent: u64,
        from: Option<TopicPosition>,
        hangs: bool,
    ) -> bool {
        let wait = if from.is_some() { POLL_MS } else { 0 };
        if hangs || now < self.cut_from_store_until || !store.is_up(now) {
            if now >= sent + wait + CALL_TIMEOUT_MS {
                self.fail(now, sent);
            }
            return false;
        }
        let end = store.end();
        let news = match from {
            Some(from) if from.era != end.era || from.offset > end.offset => {
                self.next = None;
                self.step = FollowStep::Idle { next_check: now };
                return false;
            }
            Some(from) if from.offset == end.offset && now < sent + wait => return false,
            Some(from) => {
                let offsets = from.offset as usize..end.offset as usize;
                let records = offsets.map(|offset| store.record(offset)).collect();
                self.replica.merge_read(records, from, end)
            }
            None => {
                let last = store.log.len().checked_sub(1);
                let records = last.map(|offset| store.record(offset)).into_iter().collect();
                self.replica.merge_snapshot(records, end)
            }
        };
        self.next = Some(end);
        self.read_at = Some(now.min(sent + wait));
        self.pace.record_success();
        self.step = FollowStep::Idle { next_check: now };
        self.apply(&news)
    }

    /// Returns the peer to ask for records, if peers have had newer ones for a while.
    fn news_source(&mut self, now: u64, random: &mut SeededRng) -> Option<u64> {
        let peers = self.peers();
        if reader_selection::digest_status(at(now), self.own_digest(), &peers)
            != DigestStatus::Differs
        {
            self.newer_checks = 0;
            return None;
        }
        self.newer_checks += 1;
        let current = reader_selection::current_peers(at(now), &peers);
        if self.newer_checks < CHECKS_BEFORE_REQUEST || current.is_empty() {
            return None;
        }
        self.newer_checks = 0;
        Some(current[random.below(current.len() as u64) as usize])
    }
}

struct Fleet {
    instances: Vec<Instance>,
    store: Store,
    random: SeededRng,
    /// Acknowledged versions.
    acknowledged: Vec<Version>,
    next_change: u64,
    next_id: u64,
}

impl Fleet {
    fn new(seed: u64, instances: usize) -> Self {
        let mut random = SeededRng(seed);
        let fleet = (0..instances).map(|number| {
            let id = rendezvous::weight(seed, number as u64);
            Instance::start(random.below(300), id, instances)
        });
        let instances = fleet.collect();
        let (store, acknowledged) = (Store::default(), Vec::new());
        Self { instances, store, random, acknowledged, next_change: 0, next_id: seed << 32 }
    }

    fn operate(&mut self, now: u64) {
        if !self.store.is_up(now) {
            self.store.unstable_at = now;
            return;
        }
        if now < self.next_change {
            return;
        }
        let newest = self.acknowledged.last().map_or(0, |version| version.number);
        let number = match self.store.lost.take() {
            Some(lost) => lost,
            None => newest + 1 + self.random.below(3),
        };
        let version = Version { number, written: now };
        self.store.log.push(version);
        self.acknowledged.push(version);
        self.next_change = now + 300 + self.random.below(6_000);
    }

    fn disturb(&mut self, now: u64) {
        if !self.random.one_in(FAULT_RATE) {
            return;
        }
        let number = self.random.below(self.instances.len() as u64) as usize;
        let length = 200 + self.random.below(4_000);
        let until = now + length;
        match self.random.below(6) {
            0 if self.store.is_up(now) && now > 5_000 => {
                let age = 1_000 + self.random.below(12_000);
                self.store.restore(now, age);
                self.store.down_until = now + 200 + self.random.below(3_000);
                self.next_change = self.store.down_until + self.random.below(2_000);
            }
            1 => {
                self.next_id += 1;
                let id = rendezvous::weight(self.next_id, 3);
                let start = now + self.random.below(1_000);
                let instances = self.instances.len();
                self.instances[number] = Instance::start(start, id, instances);
                self.instances[number].frozen_until = start;
            }
            2 => {
                let instance = &mut self.instances[number];
                instance.frozen_until = instance.frozen_until.max(until);
                instance.disturbed_until = instance.disturbed_until.max(until);
            }
            3 => {
                let instance = &mut self.instances[number];
                instance.cut_from_store_until = until;
                instance.disturbed_until = instance.disturbed_until.max(until);
            }
            4 => {
                let instance = &mut self.instances[number];
                instance.cut_from_peers_until = until;
                instance.disturbed_until = instance.disturbed_until.max(until);
            }
            _ => {
                // Connections go silent at all instances; new ones work.
                for instance in &mut self.instances {
                    if let FollowStep::Reading { hangs, .. } = &mut instance.step {
                        *hangs = true;
                    }
                    instance.disturbed_until = instance.disturbed_until.max(now);
                }
            }
        }
    }

    fn hears(&mut self, now: u64, from: usize, to: usize) -> bool {
        let is_open = |instance: &Instance| {
            now >= instance.cut_from_peers_until && now >= instance.frozen_until
        };
        from != to
            && is_open(&self.instances[from])
            && is_open(&self.instances[to])
            && !self.random.one_in(LOSS)
    }

    fn send_heartbeats(&mut self, now: u64, from: usize) {
        let OwnDigest { digest, read_at } = self.instances[from].own_digest();
        let read_age = read_at.map_or(time::Duration::from_secs(3600), |read| at(now).since(read));
        let heartbeat = PeerDigest {
            id: self.instances[from].id,
            received: at(now),
            interval: time::Duration::from_millis(HEARTBEAT_MS),
            read_age,
            digest,
        };
        for to in 0..self.instances.len() {
            if self.hears(now, from, to) {
                self.instances[to].heard[from] = Some(heartbeat);
            }
        }
    }

    fn ask_for_news(&mut self, now: u64, number: usize) {
        let Some(source) = self.instances[number].news_source(now, &mut self.random) else {
            return;
        };
        let source = self.instances.iter().position(|instance| instance.id == source);
        let Some(source) = source else { return };
        if self.hears(now, number, source) && self.hears(now, source, number) {
            let page: BucketPage = self.instances[source].replica.bucket(bucket_of(KEY));
            let news = self.instances[number].replica.merge_bucket(page);
            self.instances[number].apply(&news);
        }
    }

    fn tick(&mut self, now: u64) {
        self.operate(now);
        self.disturb(now);
        for number in 0..self.instances.len() {
            if now < self.instances[number].frozen_until {
                continue;
            }
            let has_changed = self.instances[number].follow(now, &self.store);
            let phase = (number as u64 * TICK_MS) % HEARTBEAT_MS;
            if has_changed || now % HEARTBEAT_MS == phase {
                self.send_heartbeats(now, number);
            }
            if now % NEWS_CHECK_MS == (number as u64 * TICK_MS) % NEWS_CHECK_MS {
                self.ask_for_news(now, number);
            }
        }
    }

    /// Returns what an instance without a fault lacks although it was acknowledged in time.
    fn find_late(&self, now: u64) -> Option<String> {
        if now < self.store.unstable_at + CONTACT_MS {
            return None;
        }
        let due = self.acknowledged.iter().rfind(|version| {
            let is_calm = version.written > self.store.unstable_at + CONTACT_MS;
            now >= version.written + APPLY_MS + if is_calm { 0 } else { OUTER_MS }
        })?;
        let touched = self.instances.iter().filter(|own| now >= own.disturbed_until + CONTACT_MS);
        // Without any configuration an instance refuses all requests.
        let mut serving = touched.filter(|own| own.version > 0);
        let late = serving.find(|own| own.version < due.number)?;
        Some(format!(
            "at {now} ms instance {:x} has version {} instead of {}, acknowledged at {} ms",
            late.id, late.version, due.number, due.written
        ))
    }
}

#[rstest]
#[case(3, 1300)]
#[case(6, 200)]
#[case(9, 200)]
fn acknowledged_configuration_is_in_force_in_time(#[case] instances: usize, #[case] seeds: u64) {
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(seed, instances);
        for now in (0..RUN_MS).step_by(TICK_MS as usize) {
            fleet.tick(now);
            let late = fleet.find_late(now);
            assert!(late.is_none(), "seed {seed}: {}", late.unwrap_or_default());
        }
    }
}

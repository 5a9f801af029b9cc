//! Seeded simulation of instances that learn of evacuated zones. They read the store or hear of it from others,
//! are cut off from all, restart, and lose messages; the store is out at times. An instance in touch with a stable
//! store sends nothing to a zone from the bound after its evacuation on, and uses it again once it is taken back.

mod fleet_fixture;

use std::collections::BTreeMap;
use std::time;

use coltsfoot_gateway::topic_replica::{EraPolicy, KeyedRecord, TopicReplica};
use coltsfoot_gateway::{fleet_view, reader_selection, rendezvous};
use coltsfoot_wire::fleet::TopicPosition;
use fleet_fixture::{at, fleet, report_adapters, step};
use rstest::rstest;

const INSTANCES: usize = 5;
const ZONES: [&str; 3] = ["a", "b", "c"];
const TICK_MS: u64 = 50;
const RUN_MS: u64 = 90_000;
const BOUND_MS: u64 = 5_000;
/// Time without a fault after which an instance counts as in touch, and the store as stable.
const CONTACT_MS: u64 = 4_000;
/// Time in which an instance in touch must use a zone again.
const RETURN_MS: u64 = 4_000;
const HEARTBEAT_MS: u64 = 150;
const CONFIRM_MS: u64 = 400;
/// Time that a read of a reader waits for records.
const READ_WAIT_MS: u64 = 1_000;
/// Age of its last read from which an instance reads all records.
const MAX_MISSED_MS: u64 = 2_000;

struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        rendezvous::weight(self.0, 7) % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// State of an instance, new with each start.
struct Process {
    view: fleet_view::FleetView,
    replica: TopicReplica,
    next: Option<TopicPosition>,
    read_at: Option<u64>,
    /// Digests that the others sent, by instance.
    heard: BTreeMap<usize, reader_selection::PeerDigest>,
}

impl Process {
    fn start() -> Self {
        let mut view = fleet(&ZONES.map(|zone| (zone, zone)));
        for zone in ZONES {
            report_adapters(&mut view, zone, &["x"], 2);
        }
        let replica = TopicReplica::new(EraPolicy { keeps_lost: true, ..EraPolicy::default() });
        Self { view, replica, next: None, read_at: None, heard: BTreeMap::new() }
    }

    fn own_digest(&self) -> reader_selection::OwnDigest {
        let digest = self.view.evacuations().digest();
        reader_selection::OwnDigest { digest, read_at: self.read_at.map(at) }
    }

    fn peers(&self) -> Vec<reader_selection::PeerDigest> {
        self.heard.values().copied().collect()
    }

    fn apply(&mut self, now: u64, records: &[KeyedRecord]) {
        let bound = time::Duration::from_millis(BOUND_MS);
        for record in records {
            let table = self.view.evacuations_mut();
            match &record.value {
                Some(_) => drop(table.evacuate(at(now), &record.key, bound)),
                None => drop(table.take_back(at(now), &record.key)),
            }
        }
    }
}

struct Instance {
    process: Process,
    /// End of its stop, and of its cut from store and instances.
    down_until: u64,
    cut_until: u64,
}

impl Instance {
    fn is_connected(&self, now: u64) -> bool {
        now >= self.down_until && now >= self.cut_until
    }

    fn is_in_touch(&self, now: u64) -> bool {
        self.is_connected(now) && now - self.down_until.max(self.cut_until) >= CONTACT_MS
    }
}

/// What the operator wants of a zone, and since when.
#[derive(Clone, Copy)]
struct ZoneWish {
    is_evacuated: bool,
    since: u64,
}

#[derive(Default)]
struct Findings {
    /// Checks of instances in touch, of zones that must be closed and of those that must be open.
    closed_checks: u32,
    open_checks: u32,
    broken: Vec<String>,
}

struct World {
    rng: SeededRng,
    records: Vec<KeyedRecord>,
    down_until: u64,
    instances: Vec<Instance>,
    wishes: [ZoneWish; 3],
    findings: Findings,
}

impl World {
    fn new(seed: u64) -> Self {
        let instance = || Instance { process: Process::start(), down_until: 0, cut_until: 0 };
        Self {
            rng: SeededRng(seed),
            records: Vec::new(),
            down_until: 0,
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            wishes: [ZoneWish { is_evacuated: false, since: 0 }; 3],
            findings: Findings::default(),
        }
    }

    fn run(seed: u64) -> Findings {
        let mut world = Self::new(seed);
        for now in (0..RUN_MS).step_by(TICK_MS as usize) {
            world.disturb(now);
            world.operate(now);
            for number in 0..INSTANCES {
                world.read(now, number);
            }
            if now % HEARTBEAT_MS == 0 {
                world.exchange_digests(now);
            }
            if now % CONFIRM_MS == 0 {
                world.confirm(now);
            }
            world.check(now);
        }
        world.findings
    }

    fn disturb(&mut self, now: u64) {
        if self.rng.one_in(400) {
            self.down_until = now + self.rng.below(3_000);
        }
        for instance in &mut self.instances {
            if self.rng.one_in(300) {
                instance.cut_until = now + 200 + self.rng.below(9_000);
            }
            if self.rng.one_in(500) {
                instance.down_until = now + 100 + self.rng.below(3_000);
                instance.process = Process::start();
            }
        }
    }

    fn operate(&mut self, now: u64) {
        if now < self.down_until || !self.rng.one_in(80) {
            return;
        }
        let zone = self.rng.below(ZONES.len() as u64) as usize;
        let is_evacuated = !self.wishes[zone].is_evacuated;
        self.wishes[zone] = ZoneWish { is_evacuated, since: now };
        let position = TopicPosition { era: 0, offset: self.records.len() as u64 };
        let value = is_evacuated.then(|| b"{}".to_vec());
        self.records.push(KeyedRecord { key: ZONES[zone].to_owned(), value, position });
    }

    /// Reads the store where the instance has to, and pushes what is new.
    fn read(&mut self, now: u64, number: usize) {
        let end = TopicPosition { era: 0, offset: self.records.len() as u64 };
        let instance = &mut self.instances[number];
        let process = &mut instance.process;
        if !instance.down_until.max(instance.cut_until).max(self.down_until).le(&now) {
            return;
        }
        let peers = process.peers();
        let is_reader = reader_selection::is_reader(at(now), number as u64, &peers);
        let status = reader_selection::digest_status(at(now), process.own_digest(), &peers);
        let has_records = process.next != Some(end);
        let is_due = process.read_at.is_none_or(|read| now >= read + READ_WAIT_MS);
        let is_needed = status != reader_selection::DigestStatus::Confirmed;
        // A response takes a tick or more.
        if !((is_reader || is_needed) && (has_records || is_due)) || self.rng.one_in(3) {
            return;
        }
        let is_recent = process.read_at.is_some_and(|read| now - read < MAX_MISSED_MS);
        let is_first = process.next.is_none();
        let news = match process.next.filter(|_| is_recent) {
            Some(from) => {
                let records = self.records[from.offset as usize..].to_vec();
                process.replica.merge_read(records, from, end)
            }
            None => {
                let newest: BTreeMap<&String, &KeyedRecord> =
                    self.records.iter().map(|record| (&record.key, record)).collect();
                let newest = newest.into_values().filter(|record| record.value.is_some());
                process.replica.merge_snapshot(newest.cloned().collect(), end)
            }
        };
        process.next = Some(end);
        process.apply(now, &news);
        process.read_at = Some(now);
        process.view.evacuations_mut().confirm(at(now));
        if !is_first {
            self.push(now, number, &news);
        }
    }

    /// One in four pushed records is lost.
    fn push(&mut self, now: u64, sender: usize, news: &[KeyedRecord]) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if number == sender || !instance.is_connected(now) {
                continue;
            }
            for record in news {
                if !self.rng.one_in(4) && instance.process.replica.merge(record) {
                    instance.process.apply(now, std::slice::from_ref(record));
                }
            }
        }
    }

    fn exchange_digests(&mut self, now: u64) {
        for sender in 0..INSTANCES {
            if !self.instances[sender].is_connected(now) {
                continue;
            }
            let own = &self.instances[sender].process;
            let read_age = own.read_at.map_or(u64::from(u32::MAX), |read| now - read);
            let digest = reader_selection::PeerDigest {
                id: sender as u64,
                received: at(now),
                interval: time::Duration::from_millis(HEARTBEAT_MS),
                read_age: time::Duration::from_millis(read_age),
                digest: own.view.evacuations().digest(),
            };
            for (number, instance) in self.instances.iter_mut().enumerate() {
                if number != sender && instance.is_connected(now) {
                    instance.process.heard.insert(sender, digest);
                }
            }
        }
    }

    fn confirm(&mut self, now: u64) {
        for instance in self.instances.iter_mut().filter(|instance| instance.is_connected(now)) {
            let process = &mut instance.process;
            let digest = process.view.evacuations().digest();
            if let Some(read_at) = reader_selection::confirmed_at(digest, &process.peers()) {
                process.view.evacuations_mut().confirm(read_at);
            }
        }
    }

    fn check(&mut self, now: u64) {
        if now < self.down_until + CONTACT_MS {
            return;
        }
        for (number, instance) in self.instances.iter().enumerate() {
            if !instance.is_in_touch(now) {
                continue;
            }
            let view = &instance.process.view;
            let chosen = format!("{:?}", step(now, view));
            for (zone, wish) in ZONES.into_iter().zip(self.wishes) {
                let is_open = view.sendable_upstream(at(now), zone).is_ok();
                let is_chosen = chosen.contains(&format!("id: \"{zone}\""));
                let elapsed = now - wish.since;
                let broken = &mut self.findings.broken;
                if wish.is_evacuated && elapsed > BOUND_MS {
                    self.findings.closed_checks += 1;
                    if is_open || is_chosen {
                        broken.push(format!("{now}: {number} sends to {zone} after {elapsed} ms"));
                    }
                } else if !wish.is_evacuated && elapsed > RETURN_MS {
                    self.findings.open_checks += 1;
                    if !is_open {
                        broken.push(format!("{now}: {number} keeps {zone} closed, {elapsed} ms"));
                    }
                }
            }
        }
    }
}

#[rstest]
fn instances_in_touch_send_nothing_to_evacuated_zones(#[values(11, 12, 13, 14)] series: u64) {
    let (mut closed, mut open) = (0, 0);
    for seed in 0..25 {
        let findings = World::run(series * 1_000 + seed);
        assert!(findings.broken.is_empty(), "seed {seed} of {series}: {:?}", findings.broken);
        closed += findings.closed_checks;
        open += findings.open_checks;
    }
    assert!(closed > 10_000 && open > 10_000, "{closed} and {open} checks");
}

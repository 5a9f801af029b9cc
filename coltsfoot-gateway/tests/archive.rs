//! Records of quarantines in the store: they outlive a restart of all instances, and no clearance is lost.

use std::collections::BTreeMap;
use std::time;

use coltsfoot_gateway::quarantine_archive::{self, ArchiveSubject, ArchiveTime, QuarantineArchive};
use coltsfoot_gateway::{crash_ledger, part_ledger, rendezvous};
use coltsfoot_types::time as clock;
use coltsfoot_wire::once;

const DIGEST: once::RequestDigest = once::RequestDigest([7; 32]);
const SUBJECT: ArchiveSubject = ArchiveSubject::Request(DIGEST);
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u64 = 3;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn both(ms: u64) -> ArchiveTime {
    ArchiveTime { now: at(ms), unix_ms: EPOCH_MS + ms }
}

/// Keyed records, appended only where the writer has read to the end.
#[derive(Clone, Default)]
struct ModelStore {
    records: BTreeMap<String, Vec<u8>>,
    end: u64,
    era: u64,
}

impl ModelStore {
    fn stored(&self) -> Vec<once::QuarantineRecord> {
        let decoded = self.records.values().map(|value| once::QuarantineRecord::decode(value));
        decoded.collect::<Result<_, _>>().expect("records")
    }

    fn put_at(&mut self, key: String, value: Vec<u8>, end: u64) -> bool {
        if end != self.end {
            return false;
        }
        match value.is_empty() {
            true => self.records.remove(&key),
            false => self.records.insert(key, value),
        };
        self.end += 1;
        true
    }
}

/// What one instance knows and has to record.
struct ModelInstance {
    archive: QuarantineArchive,
    crashes: crash_ledger::CrashLedger,
    parts: part_ledger::PartLedger,
}

/// A read that is followed by writes.
struct ReadState {
    stored: Vec<once::QuarantineRecord>,
    end: u64,
}

impl ModelInstance {
    fn start(ms: u64) -> Self {
        Self {
            archive: QuarantineArchive::new(at(ms)),
            crashes: crash_ledger::CrashLedger::default(),
            parts: part_ledger::PartLedger::default(),
        }
    }

    fn crash(&mut self, ms: u64, number: u64) {
        let crash = once::CrashId {
            upstream: format!("i-{number}").as_str().into(),
            generation: EPOCH_MS + ms,
        };
        let time_left = time::Duration::from_secs(24 * 3600);
        let crashes = [crash].into_iter().collect();
        let notice = once::CrashNotice { digest: DIGEST, crashes, time_left };
        self.crashes.merge_notice(at(ms), &notice);
        if self.crashes.shared_notice(at(ms), DIGEST).is_some() {
            self.archive.update(at(ms), SUBJECT);
        }
    }

    fn complete(&mut self, ms: u64) {
        if self.crashes.clear_request(at(ms), &DIGEST) == Some(crash_ledger::NoticeAudience::All) {
            self.archive.clear(at(ms), SUBJECT);
        }
    }

    fn read(&mut self, ms: u64, store: &ModelStore) -> ReadState {
        let stored = store.stored();
        for record in stored.iter().filter(|record| self.archive.is_valid(record)) {
            if let Some(notice) = quarantine_archive::to_notice(both(ms), record) {
                self.crashes.merge_notice(at(ms), &notice);
            }
            if let Some(listed) = quarantine_archive::to_quarantined_part(both(ms), record) {
                self.parts.adopt(at(ms), listed);
            }
        }
        if self.archive.records_read(store.era) {
            for digest in self.crashes.shared_digests(at(ms)) {
                self.archive.update(at(ms), ArchiveSubject::Request(digest));
            }
        }
        ReadState { stored, end: store.end }
    }

    /// Writes what is due after a read; `is_answered` tells whether the answers arrive.
    fn write(
        &mut self,
        ms: u64,
        read: ReadState,
        store: &mut ModelStore,
        is_answered: bool,
    ) -> usize {
        let writes = self.archive.plan(both(ms), &read.stored, &self.crashes, &self.parts);
        for (end, write) in (read.end..).zip(&writes) {
            let value = write.record.as_ref().map(|record| record.encode().expect("encoded"));
            let is_written =
                store.put_at(write.subject.to_string(), value.unwrap_or_default(), end);
            if !is_written || !is_answered {
                self.archive.write_failed(at(ms), write);
            }
        }
        writes.len()
    }

    fn synchronize(&mut self, ms: u64, store: &mut ModelStore) -> usize {
        let read = self.read(ms, store);
        self.write(ms, read, store, true)
    }

    fn known(&self, ms: u64) -> u32 {
        self.crashes.crash_count(at(ms), &DIGEST)
    }
}

/// All instances are killed after the third crash: the next ones must know the request before they forward.
#[test]
fn a_quarantine_outlives_all_instances() {
    let mut store = ModelStore::default();
    let mut first = ModelInstance::start(0);
    for number in 0..QUARANTINE_CRASHES {
        first.crash(1000 + number * 2500, number);
        first.synchronize(1001 + number * 2500, &mut store);
    }
    drop(first);
    let mut next = ModelInstance::start(10_000);
    assert!(!next.archive.is_open(at(10_001)), "requests wait until the records are read");
    assert!(next.archive.needs_read(at(10_001), 0));
    next.read(10_010, &store);
    assert!(next.archive.is_open(at(10_010)));
    let left = next.crashes.quarantine_left(at(10_010), &DIGEST).expect("quarantined");
    assert!(left > time::Duration::from_secs(23 * 3600));
    assert!(!next.archive.needs_read(at(60_000), 0), "nothing is read without need");
}

#[test]
fn a_first_crash_is_not_recorded() {
    let mut store = ModelStore::default();
    let mut instance = ModelInstance::start(0);
    instance.read(0, &store);
    instance.crash(1000, 1);
    assert!(!instance.archive.needs_read(at(1000), 0));
    assert_eq!(instance.synchronize(1000, &mut store), 0);
}

#[test]
fn requests_wait_for_an_unreachable_store_only_for_a_while() {
    let mut instance = ModelInstance::start(0);
    instance.archive.read_failed(at(100));
    assert!(!instance.archive.needs_read(at(200), 0), "a failed read is not repeated at once");
    assert!(instance.archive.needs_read(at(600), 0));
    assert!(!instance.archive.is_open(at(1_900)));
    assert!(instance.archive.is_open(at(2_000)));
}

/// Two instances have read before either writes; each knows another crash.
#[test]
fn writes_of_several_instances_are_merged_by_crash() {
    let mut store = ModelStore::default();
    let mut instances = [ModelInstance::start(0), ModelInstance::start(0)];
    for (number, instance) in instances.iter_mut().enumerate() {
        instance.crash(1000, 1);
        instance.crash(4000, 2 + number as u64);
    }
    let reads = instances.each_mut().map(|instance| instance.read(5000, &store));
    for (instance, read) in instances.iter_mut().zip(reads) {
        instance.write(5000, read, &mut store, true);
    }
    assert!(instances[1].archive.needs_read(at(5001), 0), "its write conflicted");
    instances[1].synchronize(5001, &mut store);
    let mut next = ModelInstance::start(10_000);
    next.read(10_000, &store);
    assert_eq!(next.known(10_000), 3);
}

#[test]
fn a_write_whose_answer_is_lost_is_not_made_twice() {
    let mut store = ModelStore::default();
    let mut instance = ModelInstance::start(0);
    instance.crash(1000, 1);
    instance.crash(4000, 2);
    let read = instance.read(4000, &store);
    assert_eq!(instance.write(4000, read, &mut store, false), 1);
    assert!(instance.archive.needs_read(at(4001), 0));
    assert_eq!(instance.synchronize(4001, &mut store), 0);
    assert!(!instance.archive.needs_read(at(9000), 0));
}

#[test]
fn a_restored_store_is_given_again_what_it_lost() {
    let mut store = ModelStore::default();
    let mut instance = ModelInstance::start(0);
    instance.read(0, &store);
    let backup = store.clone();
    for number in 0..QUARANTINE_CRASHES {
        instance.crash(1000 + number * 2500, number);
    }
    instance.synchronize(7000, &mut store);
    store = ModelStore { era: 1, ..backup };
    assert!(instance.archive.needs_read(at(8000), store.era));
    assert_eq!(instance.synchronize(8000, &mut store), 1);
    let mut next = ModelInstance::start(10_000);
    next.read(10_000, &store);
    assert!(next.crashes.quarantine_left(at(10_000), &DIGEST).is_some());
}

/// A request that completes after two crashes is innocent. A later crash is its first again, also for
/// instances that start later.
#[test]
fn a_completed_run_clears_the_record() {
    let mut store = ModelStore::default();
    let mut instance = ModelInstance::start(0);
    instance.crash(1000, 1);
    instance.crash(4000, 2);
    instance.synchronize(4000, &mut store);
    instance.complete(5000);
    instance.crash(5001, 3);
    // The store is away while it is cleared, and its first answer is lost.
    instance.archive.read_failed(at(5002));
    let read = instance.read(6000, &store);
    assert_eq!(instance.known(6000), 1, "the stored suspicion is void");
    instance.write(6000, read, &mut store, false);
    instance.synchronize(6500, &mut store);
    let mut next = ModelInstance::start(10_000);
    next.read(10_000, &store);
    assert_eq!(next.known(10_000), 0);
}

/// An instance that missed the third crash clears the request after a late response.
#[test]
fn a_completed_run_lifts_no_quarantine() {
    let mut store = ModelStore::default();
    let mut instances = [ModelInstance::start(0), ModelInstance::start(0)];
    for (index, instance) in instances.iter_mut().enumerate() {
        for number in 0..QUARANTINE_CRASHES - index as u64 {
            instance.crash(1000 + number * 2500, number);
        }
    }
    instances[0].synchronize(7000, &mut store);
    instances[1].complete(7001);
    instances[1].synchronize(7002, &mut store);
    assert!(instances[1].crashes.quarantine_left(at(7002), &DIGEST).is_some());
    let mut next = ModelInstance::start(10_000);
    next.read(10_000, &store);
    assert!(next.crashes.quarantine_left(at(10_000), &DIGEST).is_some());
}

#[test]
fn a_quarantined_part_is_recorded_until_a_response_refutes_it() {
    let part = part_ledger::PartKey(9);
    let subject = ArchiveSubject::Part(part);
    let mut store = ModelStore::default();
    let mut instance = ModelInstance::start(0);
    let listed = part_ledger::QuarantinedPart { part, last_crash: at(1000), until: at(3_000_000) };
    instance.parts.adopt(at(1000), listed);
    instance.archive.update(at(1000), subject);
    assert_eq!(instance.synchronize(1000, &mut store), 1);
    let mut next = ModelInstance::start(5000);
    next.read(5000, &store);
    assert_eq!(next.parts.quarantine_left(at(5000), &[part]).map(|(part, _)| part), Some(part));
    assert_eq!(next.parts.clear(&[part], at(6000)).as_slice(), [part]);
    next.archive.clear(at(6000), subject);
    assert_eq!(next.synchronize(6000, &mut store), 1);
    assert!(store.records.is_empty());
    assert!(next.parts.quarantine_left(at(6000), &[part]).is_none());
}

#[test]
fn the_number_of_records_is_bounded_and_ended_ones_are_deleted() {
    let mut store = ModelStore::default();
    for number in 0..400_u64 {
        let mut instance = ModelInstance::start(0);
        let part = part_ledger::PartKey(number);
        let until = at(100_000 + number * 1000);
        let listed = part_ledger::QuarantinedPart { part, last_crash: at(number), until };
        instance.parts.adopt(at(1000), listed);
        instance.archive.update(at(1000), ArchiveSubject::Part(part));
        instance.synchronize(1000, &mut store);
    }
    assert!(store.records.len() <= 256, "{} records", store.records.len());
    let bytes: usize = store.records.values().map(Vec::len).sum();
    assert!(bytes < 64 * 1024, "{bytes} bytes");
    let before = store.records.len();
    let mut instance = ModelInstance::start(20_000_000);
    instance.crash(20_000_000, 1);
    instance.crash(20_003_000, 2);
    instance.synchronize(20_003_000, &mut store);
    assert!(store.records.len() < before, "those that ended an hour ago");
}

/// Seeded runs of instances that crash, complete, restart and lose answers, with a store that is restored.
/// Once all have stopped, the store holds a quarantine that any instance enforced before the last restore.
#[test]
fn no_seed_loses_a_quarantine() {
    for seed in 0..500_u64 {
        let mut draws = 0;
        let mut below = |bound: u64| {
            draws += 1;
            rendezvous::weight(seed, draws) % bound
        };
        let mut store = ModelStore::default();
        let mut instances: Vec<_> = (0..3).map(|_| ModelInstance::start(0)).collect();
        let mut is_condemned = false;
        for ms in (0..60_000).step_by(500) {
            let index = below(3) as usize;
            let instance = &mut instances[index];
            match below(8) {
                0 => instance.crash(ms, ms),
                1 if !is_condemned => instance.complete(ms),
                2 => *instance = ModelInstance::start(ms),
                3 => instance.archive.read_failed(at(ms)),
                _ => {}
            }
            for instance in &mut instances {
                if instance.archive.needs_read(at(ms), store.era) {
                    let read = instance.read(ms, &store);
                    let is_answered = below(3) > 0;
                    instance.write(ms, read, &mut store, is_answered);
                }
                let is_recorded = store.stored().iter().any(
                    |record| matches!(record, once::QuarantineRecord::Request { crashes, .. } if crashes.len() >= 3),
                );
                is_condemned |= is_recorded;
            }
            if is_condemned {
                let mut late = ModelInstance::start(ms);
                late.read(ms, &store);
                let left = late.crashes.quarantine_left(at(ms), &DIGEST);
                assert!(left.is_some(), "seed {seed}: forgotten at {ms} ms");
            }
        }
    }
}

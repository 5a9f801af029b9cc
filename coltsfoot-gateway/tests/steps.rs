//! An instance that stood still or was cut off may not take one version for the only one: streams that began
//! meanwhile at another version would go on at the wrong one.

use std::time;

use coltsfoot_gateway::origin_ledger::{
    OriginLedger, OriginSource, OriginVerdict, StreamKey, StreamOrigin,
};
use coltsfoot_gateway::reader_selection::{OwnDigest, PeerDigest};
use coltsfoot_gateway::rendezvous;
use coltsfoot_gateway::step_tracker::StepTracker;
use coltsfoot_gateway::upstream::BuildKey;
use coltsfoot_types::time as clock;
use rstest::rstest;

const SERVICE: &str = "llm";
const HEARTBEAT_MS: u64 = 150;
const READ_MS: u64 = 850;
const INSTANCES: u64 = 6;
/// Digests of the entries without and with the new version.
const DIGESTS: [u64; 2] = [11, 12];

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn build(version: usize) -> BuildKey {
    BuildKey::new(SERVICE, Some(["v1", "v2"][version]))
}

fn stream(id: u64) -> StreamKey {
    StreamKey::new(None, &id.to_string())
}

/// What reaches the observed instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    None,
    /// The process is suspended; datagrams that arrive meanwhile are read after it.
    Frozen,
    /// It reaches neither the store nor other instances.
    CutOff,
    /// It reaches the other instances only.
    StoreCut,
    /// Nobody reaches the store.
    StoreOut,
}

/// The observed instance; the others are in step with each other.
struct Observed {
    ledger: OriginLedger,
    steps: StepTracker,
    own: OwnDigest,
    /// Version of the entries that each other instance reported last.
    peers: Vec<PeerDigest>,
    version: usize,
}

impl Observed {
    fn new() -> Self {
        let mut ledger = OriginLedger::new(at(0));
        ledger.set_window(time::Duration::from_secs(20));
        ledger.history_read();
        let own = OwnDigest { digest: DIGESTS[0], read_at: Some(at(0)) };
        Self { ledger, steps: StepTracker::default(), own, peers: Vec::new(), version: 0 }
    }

    fn hear(&mut self, now: u64, read_age: u64, version: usize) {
        self.peers = (1..INSTANCES)
            .map(|id| PeerDigest {
                id,
                received: at(now),
                interval: time::Duration::from_millis(HEARTBEAT_MS),
                read_age: time::Duration::from_millis(read_age),
                digest: DIGESTS[version],
            })
            .collect();
    }

    fn read(&mut self, now: u64, version: usize) {
        self.version = version;
        self.own = OwnDigest { digest: DIGESTS[version], read_at: Some(at(now)) };
    }

    /// Takes a stream up that this instance has not begun.
    fn take_up(&mut self, now: u64, id: u64) -> OriginVerdict {
        self.check(now);
        self.ledger.verdict(at(now), SERVICE, Some(stream(id)))
    }

    fn check(&mut self, now: u64) -> bool {
        let is_in_step = self.steps.is_in_step(at(now), self.own, &self.peers);
        self.ledger.set_in_step(at(now), is_in_step);
        self.ledger.see_builds(at(now), (0..=self.version).map(build));
        is_in_step
    }

    /// Runs until `end`; the new version joins at `joins`.
    fn run(&mut self, start: u64, end: u64, joins: u64, trouble: Trouble) {
        for now in (start..end).step_by(50) {
            let version = usize::from(now >= joins);
            let is_alone = matches!(trouble, Trouble::Frozen | Trouble::CutOff);
            let has_store = trouble == Trouble::None;
            if now.is_multiple_of(HEARTBEAT_MS) && !is_alone {
                let others_read = trouble != Trouble::StoreOut;
                let read_age = if others_read { now % READ_MS } else { now - start };
                let known = if others_read { version } else { self.version };
                self.hear(now, read_age, known);
            }
            let differs = self.peers.iter().any(|peer| peer.digest != self.own.digest);
            if has_store && (now.is_multiple_of(READ_MS) || differs) {
                self.read(now, version);
            }
            if trouble != Trouble::Frozen {
                self.steps.tick(at(now));
                if now.is_multiple_of(300) && self.check(now) && has_store {
                    self.ledger.history_read();
                }
            }
        }
    }
}

/// A new version joins a second after the trouble began, streams begin at it, break, and are taken up at the
/// observed instance: the first request after the trouble, or one within it.
#[rstest]
#[case::frozen(Trouble::Frozen)]
#[case::cut_off(Trouble::CutOff)]
#[case::cut_off_from_the_store(Trouble::StoreCut)]
fn a_stream_of_an_unseen_version_is_not_taken_for_one_of_the_only_known(#[case] trouble: Trouble) {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    assert_eq!(observed.take_up(8_000, 1), OriginVerdict::Build(build(0)));
    observed.run(8_000, 12_000, 9_000, trouble);
    assert_eq!(observed.take_up(12_000, 2), OriginVerdict::Unknown, "{trouble:?}");
    observed.run(12_050, 14_000, 9_000, Trouble::None);
    assert_eq!(observed.take_up(14_000, 3), OriginVerdict::Unknown, "two versions serve");
}

/// Datagrams from before and during the suspension are read after it, the oldest first.
#[test]
fn heartbeats_that_arrived_during_a_suspension_do_not_put_an_instance_in_step() {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    observed.hear(12_000, 100, 0);
    assert_eq!(observed.take_up(12_000, 1), OriginVerdict::Unknown);
    observed.hear(12_300, 100, 0);
    assert_eq!(observed.take_up(12_300, 2), OriginVerdict::Unknown);
}

/// What began while the instance was out of step is unknown until the records have been read, even if the new
/// version has left by then.
#[test]
fn a_version_that_came_and_went_is_learned_from_the_records() {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    assert_eq!(observed.take_up(12_000, 1), OriginVerdict::Unknown);
    observed.hear(12_700, 50, 0);
    observed.read(12_700, 0);
    assert_eq!(observed.take_up(12_750, 1), OriginVerdict::Unknown);
    let origin = StreamOrigin { stream: stream(1), build: build(1), at: at(10_000) };
    observed.ledger.record(at(12_800), origin, OriginSource::Elsewhere);
    observed.ledger.history_read();
    assert_eq!(observed.take_up(12_800, 1), OriginVerdict::Build(build(1)));
    assert_eq!(observed.take_up(12_800, 2), OriginVerdict::Unknown, "the version has just left");
}

/// Neither calm nor an outage of the store for all makes streams unknown.
#[rstest]
#[case::calm(Trouble::None)]
#[case::store_out(Trouble::StoreOut)]
fn an_instance_that_misses_nothing_refuses_nothing(#[case] trouble: Trouble) {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    for start in (8_000..20_000).step_by(50) {
        observed.run(start, start + 50, u64::MAX, trouble);
        assert_eq!(observed.take_up(start, 1), OriginVerdict::Build(build(0)), "{start} ms");
    }
}

/// Each change of an entry reaches the instances one after the other; in a large fleet there is always one on its
/// way. None of them reads all records for it, or refuses a stream.
#[test]
fn news_that_is_on_its_way_changes_nothing() {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    for (change, now) in (8_000..20_000).step_by(300).enumerate() {
        observed.hear(now, 0, 0);
        observed.peers.iter_mut().for_each(|peer| peer.digest = 100 + change as u64);
        assert_eq!(observed.take_up(now, 1), OriginVerdict::Build(build(0)), "{now} ms");
        observed.own = OwnDigest { digest: 100 + change as u64, read_at: Some(at(now - 50)) };
        assert!(!observed.ledger.needs_history(at(now)));
        observed.steps.tick(at(now));
    }
}

/// The news does not come: the instance reaches neither the store nor an instance that passes it on.
#[test]
fn a_copy_that_stays_old_makes_streams_unknown_and_nothing_is_read_meanwhile() {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    observed.run(8_000, 12_000, 8_000, Trouble::StoreCut);
    assert_eq!(observed.take_up(12_000, 1), OriginVerdict::Unknown);
    assert!(!observed.ledger.needs_history(at(12_000)), "nothing is read out of step");
    observed.read(12_100, 1);
    observed.check(12_100);
    assert!(observed.ledger.needs_history(at(12_100)));
}

#[test]
fn a_lost_heartbeat_or_a_late_read_changes_nothing() {
    let mut observed = Observed::new();
    observed.run(0, 8_000, u64::MAX, Trouble::None);
    for silent in [150, 300, 450, 500] {
        observed.steps.tick(at(8_000 + silent));
        assert!(observed.check(8_000 + silent), "after {silent} ms");
    }
}

/// Seeded troubles that begin, end and overlap with the join of a version at any time. Tolerance: what the others
/// learned within the time after which silence is noticed.
#[test]
fn no_seed_continues_a_stream_at_the_wrong_version() {
    const NOTICE_MS: u64 = 1_300;
    for seed in 0..400_u64 {
        let mut draws = 0;
        let mut below = |bound: u64| {
            draws += 1;
            rendezvous::weight(seed, draws) % bound
        };
        let troubles = [Trouble::Frozen, Trouble::CutOff, Trouble::StoreCut, Trouble::None];
        let trouble = troubles[below(4) as usize];
        let start = 4_000 + below(40) * 50;
        let end = start + below(120) * 50;
        let joins = start + below(100) * 50;
        let mut observed = Observed::new();
        observed.run(0, start, joins, Trouble::None);
        observed.run(start, end, joins, trouble);
        let last = observed.take_up(end, 7);
        let is_old = joins + NOTICE_MS < end;
        if is_old && trouble != Trouble::None {
            assert_eq!(last, OriginVerdict::Unknown, "seed {seed}: {trouble:?}");
        }
    }
}

//! A stream that its caller takes up goes on at the version of software that began it, whoever knows it.

use std::time;

use coltsfoot_gateway::origin_ledger::{
    OriginLedger, OriginSource, OriginVerdict, StreamKey, StreamOrigin,
};
use coltsfoot_gateway::upstream::BuildKey;
use coltsfoot_types::time as clock;
use rstest::rstest;

const SERVICE: &str = "llm";
const WINDOW_MS: u64 = 20_000;
/// Interval between looks at which versions serve.
const LOOK_MS: u64 = 300;
const INSTANCES: usize = 6;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn build(version: &str) -> BuildKey {
    BuildKey::new(SERVICE, Some(version))
}

fn stream(id: u64) -> StreamKey {
    StreamKey::new(Some("clinic"), &id.to_string())
}

fn origin(id: u64, version: &str, ms: u64) -> StreamOrigin {
    StreamOrigin { stream: stream(id), build: build(version), at: at(ms) }
}

/// Ledger of an instance that has run for a while.
fn ledger() -> OriginLedger {
    let mut ledger = OriginLedger::new(at(0));
    ledger.set_window(time::Duration::from_millis(WINDOW_MS));
    ledger.history_read();
    ledger
}

fn verdict(ledger: &OriginLedger, now: u64, id: u64) -> OriginVerdict {
    ledger.verdict(at(now), SERVICE, Some(stream(id)))
}

#[test]
fn known_stream_stays_at_its_version() {
    let mut ledger = ledger();
    ledger.see_builds(at(1000), [build("v1"), build("v2")]);
    ledger.record(at(1000), origin(1, "v1", 1000), OriginSource::Own);
    ledger.record(at(1100), origin(2, "v2", 900), OriginSource::SameZone);
    ledger.record(at(1200), origin(3, "v2", 500), OriginSource::Elsewhere);
    for (id, version) in [(1, "v1"), (2, "v2"), (3, "v2")] {
        assert_eq!(verdict(&ledger, 2000, id), OriginVerdict::Build(build(version)));
    }
    assert_eq!(verdict(&ledger, 2000, 4), OriginVerdict::Unknown);
    assert_eq!(ledger.verdict(at(2000), SERVICE, None), OriginVerdict::Unknown);
}

/// Versions that serve at these times, and what may continue a stream that nobody knows.
#[rstest]
#[case::one_version(&[(0, "v1")], 1000, OriginVerdict::Build(build("v1")))]
#[case::none(&[], 1000, OriginVerdict::Any)]
#[case::two_versions(&[(0, "v1"), (0, "v2")], 1000, OriginVerdict::Unknown)]
#[case::one_has_just_left(&[(0, "v1"), (5000, "v2")], 6000, OriginVerdict::Unknown)]
#[case::one_left_long_ago(&[(0, "v1"), (5000, "v2")], 20_000, OriginVerdict::Build(build("v2")))]
fn unknown_stream_goes_on_only_if_one_version_can_have_begun_it(
    #[case] served: &[(u64, &str)],
    #[case] now: u64,
    #[case] expected: OriginVerdict,
) {
    let mut ledger = ledger();
    for (ms, version) in served {
        ledger.see_builds(at(*ms), [build(version)]);
    }
    // Of another service.
    ledger.see_builds(at(now), [BuildKey::new("desk", Some("v9"))]);
    assert_eq!(verdict(&ledger, now, 7), expected);
}

#[test]
fn instance_that_starts_knows_nothing_of_before_until_it_has_read() {
    let mut ledger = OriginLedger::new(at(0));
    ledger.set_window(time::Duration::from_millis(WINDOW_MS));
    ledger.see_builds(at(100), [build("v2")]);
    assert_eq!(verdict(&ledger, 200, 1), OriginVerdict::Unknown);
    ledger.record(at(300), origin(1, "v1", 50), OriginSource::Elsewhere);
    ledger.history_read();
    assert_eq!(verdict(&ledger, 300, 1), OriginVerdict::Build(build("v1")));
    assert_eq!(verdict(&ledger, 300, 2), OriginVerdict::Unknown, "the old version has just left");
    ledger.see_builds(at(WINDOW_MS + 100), [build("v2")]);
    assert_eq!(verdict(&ledger, WINDOW_MS + 100, 2), OriginVerdict::Build(build("v2")));
}

#[test]
fn id_of_another_customer_names_another_stream() {
    let mut ledger = ledger();
    ledger.see_builds(at(0), [build("v1"), build("v2")]);
    ledger.record(at(0), origin(1, "v1", 0), OriginSource::Own);
    let foreign = StreamKey::new(Some("other"), "1");
    assert_eq!(ledger.verdict(at(10), SERVICE, Some(foreign)), OriginVerdict::Unknown);
}

#[test]
fn later_record_of_a_stream_does_not_change_its_version() {
    let mut ledger = ledger();
    for (version, source) in [
        ("v1", OriginSource::Own),
        ("v2", OriginSource::SameZone),
        ("v2", OriginSource::Elsewhere),
        ("v2", OriginSource::Own),
    ] {
        ledger.record(at(10), origin(1, version, 10), source);
        assert_eq!(verdict(&ledger, 20, 1), OriginVerdict::Build(build("v1")));
    }
}

#[test]
fn stream_that_was_taken_up_is_remembered_for_as_long_again() {
    let mut ledger = ledger();
    ledger.see_builds(at(0), [build("v1"), build("v2")]);
    ledger.record(at(0), origin(1, "v1", 0), OriginSource::Own);
    ledger.record(at(15_000), origin(1, "v1", 15_000), OriginSource::Own);
    ledger.see_builds(at(30_000), [build("v1"), build("v2")]);
    ledger.record(at(30_000), origin(2, "v1", 30_000), OriginSource::Own);
    assert_eq!(verdict(&ledger, 30_000, 1), OriginVerdict::Build(build("v1")));
    ledger.record(at(36_000), origin(3, "v1", 36_000), OriginSource::Own);
    ledger.see_builds(at(36_000), [build("v1"), build("v2")]);
    assert_eq!(verdict(&ledger, 36_000, 1), OriginVerdict::Unknown, "forgotten");
}

#[test]
fn nothing_is_told_or_written_while_one_version_serves() {
    let mut ledger = ledger();
    let period = time::Duration::from_millis(450);
    for ms in (0..10_000).step_by(100) {
        ledger.see_builds(at(ms), [build("v1")]);
        ledger.record(at(ms), origin(ms, "v1", ms), OriginSource::Own);
        assert_eq!(ledger.to_share(at(ms), period), []);
        assert_eq!(ledger.take_unwritten(at(ms), true), []);
    }
    ledger.see_builds(at(10_000), [build("v1"), build("v2")]);
    assert_eq!(ledger.to_share(at(10_000), period).len(), 100, "those of before, too");
    assert_eq!(ledger.take_unwritten(at(10_000), true).len(), 100);
    assert_eq!(ledger.to_share(at(10_500), period), []);
}

#[test]
fn failed_write_is_repeated_and_another_writer_takes_over() {
    let mut ledgers = [ledger(), ledger()];
    for ledger in &mut ledgers {
        ledger.see_builds(at(0), [build("v1"), build("v2")]);
    }
    let [writer, other] = &mut ledgers;
    writer.record(at(10), origin(1, "v1", 10), OriginSource::Own);
    other.record(at(100), origin(1, "v1", 10), OriginSource::SameZone);
    assert_eq!(other.take_unwritten(at(300), false), []);
    let taken = writer.take_unwritten(at(300), true);
    writer.write_failed(taken.clone());
    writer.record(at(400), origin(2, "v1", 400), OriginSource::Own);
    assert_eq!(writer.take_unwritten(at(600), true), [taken[0], origin(2, "v1", 400)]);
    assert_eq!(other.take_unwritten(at(600), true), taken, "the writer is gone");
    other.record(at(700), origin(3, "v1", 700), OriginSource::SameZone);
    assert_eq!(other.take_unwritten(at(4000), false), []);
    assert_eq!(other.take_unwritten(at(4300), true), [], "recorded by the writer by then");
}

#[test]
fn memory_is_bounded() {
    let mut ledger = ledger();
    ledger.see_builds(at(0), [build("v1"), build("v2")]);
    for id in 0..40_000 {
        ledger.record(at(id / 100), origin(id, "v1", id / 100), OriginSource::Own);
    }
    assert_eq!(verdict(&ledger, 400, 39_999), OriginVerdict::Build(build("v1")));
    assert_eq!(verdict(&ledger, 400, 0), OriginVerdict::Unknown, "the oldest go first");
    let shared = ledger.to_share(at(400), time::Duration::from_secs(9));
    assert_eq!((shared.len(), shared[0]), (1024, origin(39_999, "v1", 399)), "the newest");
    let written = [(); 6].map(|()| ledger.take_unwritten(at(400), true).len());
    assert!(written.iter().all(|count| *count <= 4096) && written[5] == 0, "{written:?}");
}

/// Replays a minute of streams at six instances, two versions of which serve; heartbeats are lost, and
/// instances are killed together. Returns the take-ups, and those that were known.
fn replay(heartbeat_loss: u64, kill_ms: u64) -> (usize, usize) {
    let mut ledgers: Vec<OriginLedger> = (0..INSTANCES).map(|_| ledger()).collect();
    let mut store = Vec::new();
    let mut draws = 0_u64;
    let mut draw = |bound: u64| {
        draws =
            draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (draws >> 33) % bound
    };
    let mut begun: Vec<(u64, &str)> = Vec::new();
    for ms in (0..kill_ms).step_by(50) {
        for place in 0..INSTANCES {
            if ms % LOOK_MS == 0 {
                ledgers[place].see_builds(at(ms), [build("v1"), build("v2")]);
                let written = ledgers[place].take_unwritten(at(ms), place % 2 == 0);
                store.extend(written);
            }
            if draw(2) == 0 {
                let version = if draw(2) == 0 { "v1" } else { "v2" };
                let id = begun.len() as u64;
                ledgers[place].record(at(ms), origin(id, version, ms), OriginSource::Own);
                begun.push((ms, version));
            }
            if ms % 150 == 0 {
                let told = ledgers[place].to_share(at(ms), time::Duration::from_millis(450));
                for other in (0..INSTANCES).filter(|other| *other != place) {
                    if draw(100) >= heartbeat_loss {
                        let zone = if other / 2 == place / 2 {
                            OriginSource::SameZone
                        } else {
                            OriginSource::Elsewhere
                        };
                        let known = &mut ledgers[other];
                        told.iter().for_each(|origin| known.record(at(ms), *origin, zone));
                    }
                }
            }
        }
    }
    let mut started = OriginLedger::new(at(kill_ms + 1000));
    started.set_window(time::Duration::from_millis(WINDOW_MS));
    started.see_builds(at(kill_ms + 1000), [build("v1"), build("v2")]);
    for origin in store {
        started.record(at(kill_ms + 1000), origin, OriginSource::Elsewhere);
    }
    started.history_read();
    let open = begun.iter().enumerate().filter(|(_, (ms, _))| ms + 3000 >= kill_ms);
    let mut counts = (0, 0);
    for (id, (_, version)) in open {
        let verdict = verdict(&started, kill_ms + 1000, id as u64);
        assert!([OriginVerdict::Build(build(version)), OriginVerdict::Unknown].contains(&verdict));
        counts.0 += 1;
        counts.1 += usize::from(verdict != OriginVerdict::Unknown);
    }
    counts
}

#[rstest]
#[case::sound_links(0)]
#[case::lossy_links(20)]
fn most_streams_are_known_after_all_instances_were_killed(#[case] heartbeat_loss: u64) {
    for kill_ms in (20_000..60_000).step_by(3_850) {
        let (taken_up, known) = replay(heartbeat_loss, kill_ms);
        assert!(taken_up > 100);
        assert!(known * 100 >= taken_up * 80, "{known} of {taken_up} at {kill_ms} ms");
    }
}

//! Followers on virtual time: outages, partitions, trimmed logs, lost messages and pauses.

mod common;

use std::time;

use coltsfoot_catalog::{digest, feed, object, snapshot};
use coltsfoot_fakes::fleet;
use coltsfoot_types::{id, time::MonotonicTime};
use coltsfoot_wire::config;
use rand::{RngExt as _, SeedableRng as _, rngs};
use rstest::rstest;
use serde_json::json;
use smallvec::smallvec;

/// Time within which a change must be in force on every instance.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(3);
const LINK_DELAY: time::Duration = time::Duration::from_millis(2);
const RETENTION: time::Duration = time::Duration::from_secs(600);
const ZONES: [&str; 3] = ["rennes", "brest", "nantes"];

fn switches() -> fleet::FleetLogSwitches {
    fleet::FleetLogSwitches {
        latency: time::Duration::from_millis(5),
        retention: RETENTION,
        outage: false,
        lost_answers: false,
    }
}

fn reliable_link() -> fleet::LinkModel {
    Box::new(|_| smallvec![LINK_DELAY])
}

/// Loses, duplicates and delays messages.
fn unreliable_link(seed: u64) -> fleet::LinkModel {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    Box::new(move |_| {
        let mut delay = || time::Duration::from_millis(rng.random_range(1..400));
        let delays = [delay(), delay()];
        delays.into_iter().take(rng.random_range(0..3)).collect()
    })
}

/// Nine instances in three zones that have applied the base set.
fn start_nine(seed: u64, link: fleet::LinkModel) -> fleet::FollowerFleet {
    let mut fleet = fleet::FollowerFleet::new(seed, switches(), link);
    fleet.publish(common::text(&common::base_set()));
    for index in 0..9 {
        fleet.start(&format!("entry-{index}"), ZONES[index % 3]);
    }
    fleet.run_for(time::Duration::from_secs(5));
    assert!(fleet.members.iter().all(|member| member.follower.is_ready()));
    fleet
}

fn withdrawal(number: u128) -> String {
    let mut key = common::key("hotel-key", "hotel", "hotel-secret");
    key["withdrawn"] = json!(true);
    common::text(&common::set(number, vec![common::put(Some(0), key)]))
}

fn all_applied_to(fleet: &fleet::FollowerFleet, offset: u64) -> bool {
    let running = fleet.members.iter().filter(|member| member.running);
    running
        .into_iter()
        .all(|member| member.follower.replica().next_offset() == id::LogOffset(offset))
}

fn all_have_withdrawn_the_key(fleet: &fleet::FollowerFleet) -> bool {
    let digest = digest::KeyDigest::of("hotel-secret");
    fleet.members.iter().all(|member| member.follower.view().is_withdrawn(&digest))
}

#[rstest]
#[case::one_cut_from_the_log(&[4])]
#[case::one_zone_cut_from_the_log(&[0, 3, 6])]
#[case::all_but_one_cut_from_the_log(&[0, 1, 2, 3, 4, 5, 6, 7])]
fn a_withdrawal_is_in_force_in_time(#[case] cut: &[usize]) {
    for seed in 0..20 {
        let mut fleet = start_nine(seed, reliable_link());
        for index in cut {
            fleet.members[*index].reaches_log = false;
        }
        fleet.run_for(time::Duration::from_millis(seed * 53));
        fleet.publish(withdrawal(2));
        let limit = fleet.now() + IN_FORCE_LIMIT;
        assert!(fleet.run_until(limit, all_have_withdrawn_the_key), "seed {seed}");
    }
}

#[test]
fn an_isolated_zone_catches_up_when_one_link_returns() {
    let link: fleet::LinkModel = Box::new(|transfer| {
        let healed = transfer.sent_at > MonotonicTime(30_000_000);
        let crosses = transfer.from.zone != transfer.to.zone;
        let bridge = [&transfer.from.instance, &transfer.to.instance];
        let through = bridge.iter().any(|name| name.as_str() == "entry-0");
        if crosses && !(healed && through) { smallvec![] } else { smallvec![LINK_DELAY] }
    });
    let mut fleet = start_nine(1, link);
    for index in [0, 3, 6] {
        fleet.members[index].reaches_log = false;
    }
    fleet.publish(withdrawal(2));
    fleet.run_until(MonotonicTime(30_000_000), |_| false);
    assert_eq!(fleet.members[3].follower.replica().next_offset(), id::LogOffset(1));
    let staleness = fleet.members[3].follower.staleness(fleet.now()).unwrap();
    assert!(staleness > time::Duration::from_secs(20), "{staleness:?}");
    fleet.run_for(time::Duration::from_secs(6));
    assert!(all_applied_to(&fleet, 2));
}

#[test]
fn staleness_stays_low_where_a_peer_reaches_the_log() {
    let mut fleet = start_nine(1, reliable_link());
    fleet.members[4].reaches_log = false;
    for _ in 0..100 {
        fleet.run_for(time::Duration::from_millis(300));
        let staleness = fleet.members[4].follower.staleness(fleet.now()).unwrap();
        assert!(staleness < time::Duration::from_secs(4), "{staleness:?}");
    }
    fleet.log.outage = true;
    fleet.run_for(time::Duration::from_secs(60));
    for member in &fleet.members {
        let staleness = member.follower.staleness(fleet.now()).unwrap();
        assert!(staleness >= time::Duration::from_secs(58), "{staleness:?}");
    }
}

#[rstest]
#[case::log_reachable(false)]
#[case::log_out(true)]
fn a_new_instance_restores(#[case] outage: bool) {
    let mut fleet = start_nine(1, reliable_link());
    fleet.log.outage = outage;
    let index = fleet.start("entry-new", "rennes");
    let limit = fleet.now() + time::Duration::from_secs(1);
    let ready = fleet.run_until(limit, |fleet| fleet.members[index].follower.is_ready());
    assert!(ready);
    assert_eq!(fleet.members[index].follower.replica().next_offset(), id::LogOffset(1));
}

#[test]
fn a_new_instance_without_log_and_peers_is_not_ready() {
    let mut fleet = fleet::FollowerFleet::new(1, switches(), reliable_link());
    fleet.publish(common::text(&common::base_set()));
    fleet.log.outage = true;
    let index = fleet.start("alone", "rennes");
    fleet.run_for(time::Duration::from_secs(30));
    assert!(!fleet.members[index].follower.is_ready());
    assert!(fleet.publications.is_empty());
}

#[test]
fn instances_restore_from_snapshots_after_the_retention() {
    let mut fleet = start_nine(1, reliable_link());
    fleet.run_for(RETENTION * 3);
    assert_eq!(fleet.retained(feed::LogStream::Config), 0, "the log still retains the base set");
    let indices = fleet.retained(feed::LogStream::SnapshotIndex);
    assert!((4..=16).contains(&indices), "{indices} snapshots within one retention");
    let survivors = [0, 1];
    for index in 0..9 {
        if !survivors.contains(&index) {
            fleet.crash(index);
        }
    }
    fleet.publish(withdrawal(2));
    fleet.run_for(RETENTION / 2);
    for index in survivors {
        fleet.crash(index);
    }
    let index = fleet.start("entry-new", "rennes");
    let limit = fleet.now() + time::Duration::from_secs(1);
    assert!(fleet.run_until(limit, |fleet| fleet.members[index].follower.is_ready()));
    assert!(all_applied_to(&fleet, 2));
    let digest = digest::KeyDigest::of("hotel-secret");
    assert!(fleet.members[index].follower.view().is_withdrawn(&digest));
}

#[test]
fn a_snapshot_is_written_despite_a_lost_response() {
    let mut fleet = start_nine(1, reliable_link());
    let counts = |fleet: &mut fleet::FollowerFleet| {
        let streams = [feed::LogStream::SnapshotChunks, feed::LogStream::SnapshotIndex];
        streams.map(|stream| fleet.retained(stream))
    };
    assert_eq!(counts(&mut fleet), [1, 1], "the first snapshot is written at the start");
    fleet.log.lost_answers = true;
    let end = fleet.now() + RETENTION;
    while counts(&mut fleet) == [1, 1] && fleet.now() < end {
        fleet.run_for(time::Duration::from_millis(10));
    }
    fleet.run_for(time::Duration::from_millis(10));
    fleet.log.lost_answers = false;
    fleet.run_for(time::Duration::from_secs(3));
    assert_eq!(counts(&mut fleet), [3, 2], "the chunk is appended again, then the index");
}

#[rstest]
#[case::from_peers(true)]
#[case::from_a_snapshot(false)]
fn an_instance_paused_longer_than_the_retention_catches_up(#[case] peers_run: bool) {
    let mut fleet = start_nine(1, reliable_link());
    fleet.run_for(RETENTION / 2);
    fleet.members[8].running = false;
    fleet.publish(withdrawal(2));
    fleet.run_for(RETENTION * 2);
    fleet.members[8].running = true;
    if !peers_run {
        (0..8).for_each(|index| fleet.crash(index));
    }
    fleet.run_for(IN_FORCE_LIMIT);
    assert!(all_applied_to(&fleet, 2));
}

#[test]
fn an_older_state_of_a_peer_is_ignored() {
    let mut fleet = start_nine(1, reliable_link());
    let old = snapshot::encode(fleet.members[0].follower.replica()).unwrap();
    fleet.publish(withdrawal(2));
    fleet.run_for(IN_FORCE_LIMIT);
    let now = fleet.now();
    let follower = &mut fleet.members[0].follower;
    for chunk in old.chunks {
        let message = config::ConfigMessage::StateChunk { chunk };
        let sender = "entry-1".into();
        follower.handle(now, feed::FollowerEvent::Message { sender, message });
    }
    let records = vec![config::ConfigRecord {
        offset: id::LogOffset(1),
        value: common::text(&common::set(9, vec![common::put(None, common::customer("x"))])),
    }];
    let next_offset = id::LogOffset(2);
    let message = config::ConfigMessage::Records { records, next_offset };
    let event = feed::FollowerEvent::Message { sender: "entry-1".into(), message };
    assert!(follower.handle(now, event).is_empty());
    assert_eq!(follower.replica().next_offset(), id::LogOffset(2));
    assert!(all_have_withdrawn_the_key(&fleet));
}

#[test]
fn replicas_converge_and_offsets_never_decrease_under_random_faults() {
    for seed in 0..30 {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut fleet = start_nine(seed, unreliable_link(seed));
        for number in 0..60 {
            let index = rng.random_range(0..fleet.members.len());
            match rng.random_range(0..6) {
                0 => fleet.members[index].reaches_log = rng.random(),
                1 => fleet.log.outage = rng.random_bool(0.3),
                2 => fleet.log.lost_answers = rng.random(),
                3 => fleet.members[index].running = rng.random_bool(0.8),
                _ => drop(fleet.publish(random_set(&mut rng, number))),
            }
            fleet.run_for(time::Duration::from_millis(rng.random_range(1..60_000)));
        }
        fleet.log.outage = false;
        for member in &mut fleet.members {
            (member.reaches_log, member.running) = (true, true);
        }
        fleet.run_for(time::Duration::from_secs(20));
        let encode = |member: &fleet::FleetMember| {
            snapshot::encode(member.follower.replica()).unwrap().chunks
        };
        let first = encode(&fleet.members[0]);
        assert!(fleet.members.iter().all(|member| encode(member) == first), "seed {seed}");
        let mut offsets = vec![id::LogOffset(0); fleet.members.len()];
        for publication in &fleet.publications {
            assert!(publication.offset > offsets[publication.instance], "seed {seed}");
            offsets[publication.instance] = publication.offset;
        }
    }
}

fn random_set(rng: &mut rngs::SmallRng, number: u128) -> String {
    let name = format!("customer-{}", rng.random_range(0..5));
    let change: object::ObjectChange = common::put(None, common::customer(&name));
    common::text(&common::set(100 + number / 2, vec![change]))
}

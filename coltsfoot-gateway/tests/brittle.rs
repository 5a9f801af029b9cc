//! When a brittle upstream may be sent a request, and how long an instance pauses after a rejection.

use std::sync;
use std::time;

use coltsfoot_gateway::brittle_table::{BrittleTable, UpstreamRoom};
use coltsfoot_types::time as clock;
use rstest::rstest;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn service() -> sync::Arc<str> {
    "desk".into()
}

fn brittle() -> BrittleTable {
    let mut table = BrittleTable::default();
    assert!(table.record(at(0), &service(), Some(3.0)));
    table
}

#[rstest]
#[case::within_its_share(64, 60, 5, 6, true)]
#[case::beyond_its_share(64, 60, 10, 6, false)]
#[case::beyond_its_share_with_most_free(64, 20, 20, 6, true)]
#[case::full(64, 64, 0, 6, false)]
#[case::more_instances_than_slots(6, 3, 0, 195, true)]
#[case::more_instances_than_slots_with_one_running(6, 3, 1, 195, false)]
#[case::alone(6, 5, 5, 1, true)]
fn room(
    #[case] slots: u32,
    #[case] running: u32,
    #[case] local: u32,
    #[case] instances: u32,
    #[case] expected: bool,
) {
    let room = UpstreamRoom { slots, running, local, instances };
    assert_eq!(brittle().may_send(at(0), "desk", || room), expected);
    assert!(BrittleTable::default().may_send(at(0), "desk", || room));
}

#[test]
fn pause_after_a_rejection_grows_with_the_instances() {
    let pause = |instances| brittle().rejection_pause(at(0), "desk", instances);
    assert_eq!(pause(1), Some(time::Duration::from_secs_f64(1.0 / 3.0)));
    assert_eq!(pause(6), Some(time::Duration::from_secs(2)));
    assert_eq!(pause(195), Some(time::Duration::from_secs(10)), "at most");
    assert_eq!(BrittleTable::default().rejection_pause(at(0), "desk", 6), None);
}

#[test]
fn statement_ends_with_a_later_response_without_it_or_after_a_time() {
    let mut table = brittle();
    table.record(at(400), &service(), None);
    assert_eq!(table.rejections_per_s(at(400), "desk"), Some(3.0), "may be an earlier response");
    table.record(at(600), &service(), None);
    assert_eq!(table.rejections_per_s(at(600), "desk"), None);
    assert_eq!(brittle().rejections_per_s(at(5_000), "desk"), None);
}

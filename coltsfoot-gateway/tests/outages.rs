//! Entries that expire in an outage of the store get a grace period; those that are gone while other
//! instances read the store get none.

use std::time;

use coltsfoot_gateway::outage_tracker::OutageTracker;
use coltsfoot_types::time as clock;
use rstest::rstest;

const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(1200);

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

#[rstest]
#[case::first_read(&[5000], 5100, 5100)]
#[case::steady_reads(&[1000, 1850, 2700], 2800, 2800)]
#[case::others_read_all_along(&[1000, 2000, 4000, 6000], 6100, 6100)]
#[case::short_outage(&[1000, 3300], 3400, 3400)]
#[case::outage(&[1000, 6000, 6500], 7000, 8200)]
#[case::late_in_the_grace(&[1000, 6000, 7000, 9000], 9000, 9000)]
#[case::older_report(&[6000, 1000], 6100, 6100)]
fn missing_entries_are_kept_after_an_outage_only(
    #[case] reads: &[u64],
    #[case] now: u64,
    #[case] expected: u64,
) {
    let mut tracker = OutageTracker::new(RENEWAL_INTERVAL);
    reads.iter().for_each(|read| tracker.record_read(at(*read)));
    assert_eq!(tracker.remove_at(at(now)), at(expected));
}

/// A restore may take less time than a missed renewal.
#[test]
fn missing_entries_are_kept_after_a_restore() {
    let mut tracker = OutageTracker::new(RENEWAL_INTERVAL);
    for read_at in [1000, 1850] {
        tracker.record_read(at(read_at));
    }
    tracker.record_restore(at(1850));
    assert_eq!(tracker.remove_at(at(1900)), at(4050));
    assert_eq!(tracker.remove_at(at(5000)), at(5000));
}

#[test]
fn time_in_which_the_process_was_suspended_is_no_outage() {
    let mut tracker = OutageTracker::new(RENEWAL_INTERVAL);
    for now in [1000, 1400, 1800] {
        tracker.check(at(now), Some(at(now - 100)));
    }
    tracker.check(at(9000), Some(at(8900)));
    assert_eq!(tracker.remove_at(at(9000)), at(9000));
}

/// An instance that the store refuses for 5 s, while others read it.
#[test]
fn instance_that_lost_the_store_alone_keeps_no_missing_entries() {
    let mut tracker = OutageTracker::new(RENEWAL_INTERVAL);
    tracker.record_read(at(1000));
    for tick in 0..13 {
        let now = 1000 + tick * 400;
        tracker.check(at(now), Some(at(now - now % 850)));
    }
    tracker.record_read(at(6100));
    assert_eq!(tracker.remove_at(at(6100)), at(6100));
}

/// All instances lose the store for 5 s; the first one that reads again starts the grace period of all.
#[test]
fn outage_of_the_store_itself_is_seen_without_a_failed_call() {
    let mut tracker = OutageTracker::new(RENEWAL_INTERVAL);
    for tick in 0..20 {
        let now = 1000 + tick * 400;
        let newest = if now < 6000 { 1000 } else { 6000 };
        tracker.check(at(now), Some(at(newest)));
    }
    assert_eq!(tracker.remove_at(at(7000)), at(8200));
}

//! Few instances poll the store, and the others notice changes.

use std::time;

use coltsfoot_gateway::reader_selection::{self, DigestStatus, OwnDigest, PeerDigest};
use coltsfoot_types::time as clock;
use rstest::rstest;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn peer(id: u64, received: u64, read_age: u64, digest: u64) -> PeerDigest {
    let read_age = time::Duration::from_millis(read_age);
    let interval = time::Duration::ZERO;
    PeerDigest { id, received: at(received), interval, read_age, digest }
}

#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(6, 2)]
#[case(79, 2)]
fn at_most_two_instances_poll_the_store(#[case] instances: u64, #[case] readers: usize) {
    let reads = |own: u64| {
        let peers: Vec<_> =
            (0..instances).filter(|id| *id != own).map(|id| peer(id, 1000, 100, 1)).collect();
        reader_selection::is_reader(at(1000), own, &peers)
    };
    assert_eq!((0..instances).filter(|own| reads(*own)).count(), readers);
}

#[test]
fn readers_that_are_silent_or_cut_off_from_the_store_are_replaced() {
    let own = 1;
    for (received, read_age) in [(300, 100), (1000, 1400)] {
        let peers: Vec<_> = (2..40).map(|id| peer(id, received, read_age, 1)).collect();
        assert!(reader_selection::is_reader(at(1000), own, &peers));
    }
}

fn status(read_at: u64, peers: &[PeerDigest]) -> DigestStatus {
    let own = OwnDigest { digest: 7, read_at: Some(at(read_at)) };
    reader_selection::digest_status(at(3000), own, peers)
}

#[rstest]
#[case::same(&[peer(2, 2950, 100, 7)], DigestStatus::Confirmed)]
#[case::one_differs(&[peer(2, 2950, 100, 7), peer(3, 2950, 200, 8)], DigestStatus::Differs)]
#[case::stale_digest(&[peer(2, 2950, 1290, 8)], DigestStatus::Unknown)]
#[case::silent(&[peer(2, 2100, 0, 8)], DigestStatus::Unknown)]
#[case::alone(&[], DigestStatus::Unknown)]
fn digest_status(#[case] peers: &[PeerDigest], #[case] expected: DigestStatus) {
    assert_eq!(status(1000, peers), expected);
}

/// After a change in a large fleet, an instance that has read it must not keep reading until all
/// others have caught up.
#[test]
fn older_digests_of_others_cause_no_read() {
    let behind: Vec<_> = (2..79).map(|id| peer(id, 2950, 100, 8)).collect();
    assert_eq!(status(2900, &behind), DigestStatus::Confirmed);
    assert_eq!(status(2840, &behind), DigestStatus::Differs);
}

#[test]
fn records_are_asked_of_instances_with_the_most_recent_copy() {
    let peers = [peer(2, 2950, 400, 8), peer(3, 2950, 200, 9), peer(4, 2900, 900, 9)];
    assert_eq!(reader_selection::current_peers(at(3000), &peers), [3, 4]);
    assert!(reader_selection::current_peers(at(9000), &peers).is_empty());
}

#[rstest]
#[case::none(&[], None)]
#[case::others_differ(&[peer(1, 3000, 100, 8)], None)]
#[case::newest_of_the_same(&[peer(1, 2900, 100, 7), peer(2, 2950, 400, 7), peer(3, 3000, 0, 8)], Some(2800))]
fn copy_is_confirmed_by_the_newest_read_of_the_same(
    #[case] peers: &[PeerDigest],
    #[case] expected: Option<u64>,
) {
    assert_eq!(reader_selection::confirmed_at(7, peers), expected.map(at));
}

//! A copy of a store topic never goes back to an older record, whatever the order of arrival.

use coltsfoot_gateway::rendezvous;
use coltsfoot_gateway::topic_replica::{self, BucketPage, KeyedRecord, TopicReplica, bucket_of};
use rstest::rstest;

fn record(key: &str, offset: u64, value: &str) -> KeyedRecord {
    let value = (!value.is_empty()).then(|| value.as_bytes().to_vec());
    KeyedRecord { key: key.to_owned(), value, offset }
}

fn value<'a>(replica: &'a TopicReplica, key: &str) -> Option<&'a str> {
    let record = replica.get(key)?;
    record.value.as_deref().and_then(|value| str::from_utf8(value).ok())
}

/// Copy as of offset 10 with two engines.
fn replica() -> TopicReplica {
    let mut replica = TopicReplica::default();
    replica.merge_snapshot(vec![record("a", 3, "ready"), record("b", 7, "ready")], 10);
    replica
}

#[test]
fn snapshot_that_was_answered_before_a_push_does_not_undo_it() {
    let mut replica = replica();
    assert!(replica.merge(&record("a", 12, "draining")));
    let news = replica.merge_snapshot(vec![record("a", 3, "ready"), record("b", 11, "ready")], 12);
    assert_eq!(news, [record("b", 11, "ready")]);
    assert_eq!(value(&replica, "a"), Some("draining"));
}

#[test]
fn read_that_was_answered_before_a_push_does_not_undo_it() {
    let mut replica = replica();
    replica.merge(&record("a", 12, ""));
    let news = replica.merge_read(vec![record("a", 10, "ready")], 10, 11);
    assert_eq!(news, []);
    assert_eq!(value(&replica, "a"), None);
}

#[rstest]
#[case::pushed(12)]
#[case::known_from_a_read(4)]
fn record_of_an_instance_that_is_behind_does_not_revive_a_deleted_key(#[case] deleted: u64) {
    let mut replica = replica();
    if deleted > 10 {
        replica.merge(&record("a", deleted, ""));
    } else {
        replica.merge_snapshot(vec![record("b", 7, "ready")], 20);
    }
    assert!(!replica.merge(&record("a", 3, "ready")));
    assert_eq!(value(&replica, "a"), None);
    assert!(replica.merge(&record("a", 21, "ready")), "the key is back");
}

fn page(bucket: u8, next: u64, records: Vec<KeyedRecord>) -> BucketPage {
    BucketPage { bucket, next, records }
}

#[test]
fn snapshot_and_page_report_deleted_keys() {
    let deleted = [record("a", 19, "")];
    assert_eq!(replica().merge_snapshot(vec![record("b", 7, "ready")], 20), deleted);
    let empty = page(bucket_of("a"), 20, Vec::new());
    assert_eq!(replica().merge_bucket(empty.clone()), deleted);
    let mut ahead = replica();
    ahead.merge_snapshot(vec![record("a", 3, "ready"), record("b", 7, "ready")], 20);
    assert_eq!(ahead.merge_bucket(empty), [], "the copy is as new as the page");
}

#[test]
fn page_spares_keys_of_other_buckets_and_newer_records() {
    let mut replica = replica();
    assert_ne!(bucket_of("a"), bucket_of("b"));
    replica.merge(&record("b", 25, "ready"));
    assert_eq!(replica.merge_bucket(page(bucket_of("b"), 20, Vec::new())), []);
    assert_eq!(replica.merge_bucket(page(bucket_of("a"), 20, Vec::new())), [record("a", 19, "")]);
    assert_eq!(value(&replica, "b"), Some("ready"));
}

fn digests(replica: &TopicReplica) -> Vec<u32> {
    let digest = |record: &KeyedRecord| rendezvous::hash_of(&record.value);
    topic_replica::bucket_digests(replica.records().map(|record| (&*record.key, digest(record))))
}

/// Each page stands on its own, so that a lost datagram costs only its keys, and only until the next request.
#[rstest]
#[case::all_arrive(0, 2)]
#[case::each_third_is_lost(3, 6)]
fn requests_bring_a_copy_up_to_date(#[case] lost: usize, #[case] max_requests: usize) {
    const LIMIT: usize = 48;
    let key = |number: u64| format!("i-{number:03}");
    let mut source = TopicReplica::default();
    let mut behind = TopicReplica::default();
    behind
        .merge_snapshot((0..90).map(|number| record(&key(number), number, "ready")).collect(), 90);
    let left = (0..90).filter(|number| number % 3 != 0);
    let changed = left.map(|number| record(&key(number), number + 100, "new"));
    source.merge_snapshot(changed.collect(), 200);
    let mut datagrams = 0;
    for request in 0..max_requests {
        let buckets = topic_replica::differing_buckets(
            &digests(&source),
            &digests(&behind),
            (request * 97) as u8,
            LIMIT,
        );
        assert!(buckets.len() <= LIMIT);
        for bucket in buckets {
            datagrams += 1;
            if lost == 0 || datagrams % lost != 0 {
                behind.merge_bucket(source.bucket(bucket));
            }
        }
    }
    assert_eq!(digests(&source), digests(&behind));
    assert!((0..90).all(|number| value(&source, &key(number)) == value(&behind, &key(number))));
}

#[test]
fn only_buckets_that_differ_are_sent() {
    let mut source = replica();
    source.merge(&record("a", 12, "draining"));
    let buckets = topic_replica::differing_buckets(&digests(&source), &digests(&replica()), 0, 9);
    assert_eq!(buckets, [bucket_of("a")]);
    let without_digests = topic_replica::differing_buckets(&digests(&source), &[], 250, 9);
    assert_eq!(without_digests, [250, 251, 252, 253, 254, 255, 0, 1, 2]);
}

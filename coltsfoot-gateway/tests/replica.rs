//! A copy of a store topic never goes back to an older record, whatever the order of arrival.

use coltsfoot_gateway::rendezvous;
use coltsfoot_gateway::topic_replica::{
    self, BucketPage, EraPolicy, KeyedRecord, TopicReplica, ValueRevision, bucket_of,
};
use coltsfoot_wire::fleet::TopicPosition;
use rstest::rstest;

fn record(key: &str, offset: u64, value: &str) -> KeyedRecord {
    record_in(1, key, offset, value)
}

fn record_in(era: u64, key: &str, offset: u64, value: &str) -> KeyedRecord {
    let value = (!value.is_empty()).then(|| value.as_bytes().to_vec());
    KeyedRecord { key: key.to_owned(), value, position: TopicPosition { era, offset } }
}

fn at(offset: u64) -> TopicPosition {
    TopicPosition { era: 1, offset }
}

fn restored_at(offset: u64) -> TopicPosition {
    TopicPosition { era: 2, offset }
}

fn value<'a>(replica: &'a TopicReplica, key: &str) -> Option<&'a str> {
    let record = replica.get(key)?;
    record.value.as_deref().and_then(|value| str::from_utf8(value).ok())
}

/// Copy as of offset 10 with two engines.
fn replica() -> TopicReplica {
    let mut replica = TopicReplica::default();
    replica.merge_snapshot(vec![record("a", 3, "ready"), record("b", 7, "ready")], at(10));
    replica
}

#[test]
fn snapshot_that_was_answered_before_a_push_does_not_undo_it() {
    let mut replica = replica();
    assert!(replica.merge(&record("a", 12, "draining")));
    let news =
        replica.merge_snapshot(vec![record("a", 3, "ready"), record("b", 11, "ready")], at(12));
    assert_eq!(news, [record("b", 11, "ready")]);
    assert_eq!(value(&replica, "a"), Some("draining"));
}

#[test]
fn read_that_was_answered_before_a_push_does_not_undo_it() {
    let mut replica = replica();
    replica.merge(&record("a", 12, ""));
    let news = replica.merge_read(vec![record("a", 10, "ready")], at(10), at(11));
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
        replica.merge_snapshot(vec![record("b", 7, "ready")], at(20));
    }
    assert!(!replica.merge(&record("a", 3, "ready")));
    assert_eq!(value(&replica, "a"), None);
    assert!(replica.merge(&record("a", 21, "ready")), "the key is back");
}

fn page(bucket: u8, next: u64, records: Vec<KeyedRecord>) -> BucketPage {
    BucketPage { bucket, next: at(next), records }
}

#[test]
fn snapshot_and_page_report_deleted_keys() {
    let deleted = [record("a", 19, "")];
    assert_eq!(replica().merge_snapshot(vec![record("b", 7, "ready")], at(20)), deleted);
    let empty = page(bucket_of("a"), 20, Vec::new());
    assert_eq!(replica().merge_bucket(empty.clone()), deleted);
    let mut ahead = replica();
    ahead.merge_snapshot(vec![record("a", 3, "ready"), record("b", 7, "ready")], at(20));
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
    behind.merge_snapshot(
        (0..90).map(|number| record(&key(number), number, "ready")).collect(),
        at(90),
    );
    let left = (0..90).filter(|number| number % 3 != 0);
    let changed = left.map(|number| record(&key(number), number + 100, "new"));
    source.merge_snapshot(changed.collect(), at(200));
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

/// Returns the number that a value ends with.
fn revision(value: &[u8]) -> Option<ValueRevision> {
    let text = str::from_utf8(value).ok()?;
    Some(ValueRevision(text.rsplit(' ').next()?.parse().ok()?, 0))
}

fn replica_with(keeps_lost: bool) -> TopicReplica {
    TopicReplica::new(EraPolicy { revision, keeps_lost })
}

/// Copy of an instance whose store was restored from a copy without the last records.
fn before_restore(keeps_lost: bool) -> TopicReplica {
    let mut replica = replica_with(keeps_lost);
    replica.merge_snapshot(
        vec![record("a", 90, "draining 5"), record("b", 95, "ready 1"), record("c", 70, "ready 7")],
        at(100),
    );
    replica.merge(&record("c", 100, ""));
    replica
}

#[test]
fn record_of_a_restored_store_is_news_though_its_offset_is_lower() {
    let mut replica = before_restore(true);
    assert!(replica.merge(&record_in(2, "a", 10, "draining 6")));
    assert!(!replica.merge(&record("a", 110, "ready 4")), "of the earlier era, and older");
    assert_eq!(value(&replica, "a"), Some("draining 6"));
}

/// What the store still holds of a key, and what this copy holds afterwards.
#[rstest]
#[case::older_value("a", "ready 4", Some("draining 5"))]
#[case::same_value("a", "draining 5", Some("draining 5"))]
#[case::newer_value("a", "ready 6", Some("ready 6"))]
#[case::left_since("c", "ready 7", None)]
#[case::back_again("c", "ready 8", Some("ready 8"))]
#[case::unreadable("a", "odd", Some("odd"))]
fn snapshot_of_a_restored_store_undoes_nothing(
    #[case] key: &str,
    #[case] stored: &str,
    #[case] expected: Option<&str>,
    #[values(false, true)] keeps_lost: bool,
) {
    let mut replica = before_restore(keeps_lost);
    replica.merge_snapshot(vec![record_in(2, key, 30, stored)], restored_at(40));
    assert_eq!(value(&replica, key), expected);
}

#[rstest]
#[case::expire(false, None)]
#[case::stay_in_force(true, Some("ready 1"))]
fn records_that_a_restored_store_lacks(#[case] keeps_lost: bool, #[case] expected: Option<&str>) {
    let mut replica = before_restore(keeps_lost);
    let known = record_in(2, "a", 30, "draining 5");
    let news = replica.merge_snapshot(vec![known.clone()], restored_at(40));
    assert_eq!(value(&replica, "b"), expected);
    let deleted = record_in(2, "b", 39, "");
    assert_eq!(news, if keeps_lost { vec![known] } else { vec![deleted, known] });
    assert!(replica.merge(&record_in(2, "b", 40, "ready 1")), "it is written again as it was");
    assert_eq!(value(&replica, "b"), Some("ready 1"));
}

/// An instance that starts reads the restored store, and asks one that knows what was lost.
#[rstest]
#[case::operator(true, ["draining 5", "ready 1"])]
#[case::upstreams(false, ["draining 5", ""])]
fn page_of_an_earlier_era_brings_what_the_store_lost(
    #[case] keeps_lost: bool,
    #[case] expected: [&str; 2],
) {
    let mut started = replica_with(keeps_lost);
    started.merge_snapshot(vec![record_in(2, "a", 30, "ready 4")], restored_at(40));
    for key in ["a", "b"] {
        started.merge_bucket(before_restore(keeps_lost).bucket(bucket_of(key)));
    }
    let values = ["a", "b"].map(|key| value(&started, key).unwrap_or_default());
    assert_eq!(values, expected);
}

#[test]
fn empty_restored_store_takes_its_first_record() {
    let mut replica = before_restore(false);
    replica.merge_snapshot(Vec::new(), restored_at(0));
    assert_eq!(replica.records().count(), 0);
    let first = record_in(2, "a", 0, "draining 5");
    let news = replica.merge_read(vec![first.clone()], restored_at(0), restored_at(1));
    assert_eq!(news, [first]);
}

#[test]
fn number_of_deleted_keys_is_bounded() {
    let mut replica = replica_with(false);
    for number in 0..10_000 {
        replica.merge(&record(&format!("i-{number}"), number, ""));
    }
    assert!(!replica.merge(&record("i-9999", 9998, "ready 1")));
    assert!(replica.merge(&record("i-0", 0, "ready 1")), "forgotten, and beyond what was read");
}

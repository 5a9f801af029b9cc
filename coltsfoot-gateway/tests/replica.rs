//! A copy of a store topic never goes back to an older record, whatever the order of arrival.

use coltsfoot_gateway::topic_replica::{KeyRange, KeyedRecord, ReplicaPage, TopicReplica};
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

#[test]
fn snapshot_and_page_report_deleted_keys() {
    let deleted = [record("a", 19, "")];
    assert_eq!(replica().merge_snapshot(vec![record("b", 7, "ready")], 20), deleted);
    let range = KeyRange { after: String::new(), through: Some("a5".to_owned()) };
    let page = ReplicaPage { range, next: 20, records: Vec::new() };
    assert_eq!(replica().merge_page(page.clone()), deleted);
    let mut ahead = replica();
    ahead.merge_snapshot(vec![record("a", 3, "ready"), record("b", 7, "ready")], 20);
    assert_eq!(ahead.merge_page(page), [], "the copy is as new as the page");
}

#[test]
fn page_spares_keys_beyond_its_range_and_newer_records() {
    let mut replica = replica();
    replica.merge(&record("a5", 25, "ready"));
    let range = KeyRange { after: "a".to_owned(), through: Some("b".to_owned()) };
    let page = ReplicaPage { range, next: 20, records: Vec::new() };
    assert_eq!(replica.merge_page(page), [record("b", 19, "")]);
    assert_eq!(value(&replica, "a"), Some("ready"));
    assert_eq!(value(&replica, "a5"), Some("ready"));
}

/// Each page stands on its own, so that a lost datagram costs only the keys of its range.
#[rstest]
#[case::all_arrive(None)]
#[case::one_is_lost(Some(1))]
fn pages_bring_a_copy_up_to_date(#[case] lost: Option<usize>) {
    let key = |number: u64| format!("i-{number:03}");
    let mut source = TopicReplica::default();
    let mut behind = TopicReplica::default();
    let all = (0..90).map(|number| record(&key(number), number, "ready")).collect();
    behind.merge_snapshot(all, 90);
    let left = (0..90).filter(|number| number % 3 != 0);
    source.merge_snapshot(
        left.map(|number| record(&key(number), number + 100, "new")).collect(),
        200,
    );
    let pages = source.pages(60);
    assert!(pages.len() > 4, "{} pages", pages.len());
    for (number, page) in pages.into_iter().enumerate() {
        if lost != Some(number) {
            behind.merge_page(page);
        }
    }
    let differing =
        (0..90).filter(|number| value(&source, &key(*number)) != value(&behind, &key(*number)));
    let (least, most) = if lost.is_some() { (1, 30) } else { (0, 0) };
    let differing = differing.count();
    assert!((least..=most).contains(&differing), "{differing} keys differ");
}

#[test]
fn page_with_an_impossible_range_is_ignored() {
    let range = KeyRange { after: "b".to_owned(), through: Some("a".to_owned()) };
    let page = ReplicaPage { range, next: 20, records: Vec::new() };
    assert_eq!(replica().merge_page(page), []);
}

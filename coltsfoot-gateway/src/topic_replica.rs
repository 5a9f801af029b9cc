//! Copy of a keyed topic of the store: the newest record of each key, merged from reads of the store and
//! from what other instances send. Positions decide which of two records is newer, not the order of arrival.
//!
//! A store that was restored from an older copy has lost records and lists older ones in a new era. Of two
//! records of different eras, the content tells which one its writer wrote later, see [`EraPolicy`].

use std::collections;

use coltsfoot_wire::fleet::TopicPosition;

use crate::rendezvous;

/// Maximum number of deleted keys that are remembered.
const MAX_DELETED: usize = 4096;

/// Record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key, at most 255 bytes.
    pub key: String,
    /// Value; `None` if the record deletes the key.
    pub value: Option<Vec<u8>>,
    /// Position in the topic.
    pub position: TopicPosition,
}

/// How new a value is by its own content; of the values of one key, its writer wrote the highest one last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ValueRevision(pub u64, pub u64);

/// How a copy compares records of different eras.
#[derive(Clone, Copy, Debug)]
pub struct EraPolicy {
    /// Returns the revision of a value; `None` if the value has none.
    pub revision: fn(&[u8]) -> Option<ValueRevision>,
    /// Whether records that the store lacks in a new era stay known.
    pub keeps_lost: bool,
}

impl Default for EraPolicy {
    fn default() -> Self {
        Self { revision: |_| None, keeps_lost: false }
    }
}

/// Number of buckets into which the keys of a topic are divided by hash.
pub const BUCKETS: usize = 256;

/// All records of a bucket, as another instance knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketPage {
    /// The bucket.
    pub bucket: u8,
    /// Position up to which the sender knows every record.
    pub next: TopicPosition,
    /// The newest record of each key that has a value.
    pub records: Vec<KeyedRecord>,
}

/// Returns the bucket of a key, the same at all instances.
pub fn bucket_of(key: &str) -> u8 {
    rendezvous::hash_of(&key) as u8
}

/// Returns a digest of each bucket, from the keys and the digests of their content.
pub fn bucket_digests<'a>(contents: impl Iterator<Item = (&'a str, u64)>) -> Vec<u32> {
    let mut digests = vec![0_u32; BUCKETS];
    for (key, digest) in contents {
        let bucket = &mut digests[usize::from(bucket_of(key))];
        *bucket = bucket.wrapping_add(digest as u32);
    }
    digests
}

/// Returns the buckets whose digests differ, at most `limit`, from bucket `first` on; if there are more,
/// another call with another first one brings the others.
pub fn differing_buckets(own: &[u32], other: &[u32], first: u8, limit: usize) -> Vec<u8> {
    let ordered = (0..=u8::MAX).map(|bucket| bucket.wrapping_add(first));
    let differs = |bucket: &u8| own.get(usize::from(*bucket)) != other.get(usize::from(*bucket));
    ordered.filter(differs).take(limit).collect()
}

/// A key that has no value any more.
#[derive(Clone, Copy, Debug)]
struct DeletedKey {
    /// Position up to which records of the key are outdated.
    until: TopicPosition,
    /// Revision of the last value; `None` if it is unknown or was lost when the store was restored.
    revision: Option<ValueRevision>,
}

/// Newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct TopicReplica {
    policy: EraPolicy,
    /// Records that have a value.
    records: collections::BTreeMap<String, KeyedRecord>,
    deleted: collections::BTreeMap<String, DeletedKey>,
    /// Position up to which every record is known.
    next: TopicPosition,
}

impl TopicReplica {
    /// Creates an empty copy.
    pub fn new(policy: EraPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Returns the record of a key that has a value.
    pub fn get(&self, key: &str) -> Option<&KeyedRecord> {
        self.records.get(key)
    }

    /// Merges a single record. Returns false if the same or a newer one of its key is known.
    pub fn merge(&mut self, record: &KeyedRecord) -> bool {
        if !self.is_news(record) {
            return false;
        }
        if record.value.is_some() {
            self.deleted.remove(&record.key);
            self.records.insert(record.key.clone(), record.clone());
        } else {
            let TopicPosition { era, offset } = record.position;
            let until = TopicPosition { era, offset: offset + 1 };
            let revision = self.last_revision(&record.key);
            self.delete(&record.key, DeletedKey { until, revision });
        }
        true
    }

    /// Merges all records from position `from` up to `next`; returns those that are news.
    pub fn merge_read(
        &mut self,
        records: Vec<KeyedRecord>,
        from: TopicPosition,
        next: TopicPosition,
    ) -> Vec<KeyedRecord> {
        let news = records.into_iter().filter(|record| self.merge(record)).collect();
        if from <= self.next {
            self.next = self.next.max(next);
        }
        news
    }

    /// Merges the newest record of each key as of position `next`; returns those that are news, with a
    /// record without a value for each key that was deleted.
    pub fn merge_snapshot(
        &mut self,
        records: Vec<KeyedRecord>,
        next: TopicPosition,
    ) -> Vec<KeyedRecord> {
        let news = self.merge_all(records, next, |_| true);
        self.next = self.next.max(next);
        news
    }

    /// Merges the newest record of each key of a bucket; returns the news as
    /// [`TopicReplica::merge_snapshot`] does.
    pub fn merge_bucket(&mut self, page: BucketPage) -> Vec<KeyedRecord> {
        let BucketPage { bucket, next, records } = page;
        self.merge_all(records, next, |key| bucket_of(key) == bucket)
    }

    /// Returns the records that have a value.
    pub fn records(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.records.values()
    }

    /// Returns all records of a bucket.
    pub fn bucket(&self, bucket: u8) -> BucketPage {
        let records = self.records().filter(|record| bucket_of(&record.key) == bucket);
        BucketPage { bucket, next: self.next, records: records.cloned().collect() }
    }

    fn is_news(&self, record: &KeyedRecord) -> bool {
        if let Some(known) = self.records.get(&record.key) {
            return self.is_newer(record, known);
        }
        if let Some(deleted) = self.deleted.get(&record.key) {
            return self.is_after_deletion(record, deleted);
        }
        let is_lost = self.policy.keeps_lost && record.position.era < self.next.era;
        is_lost || record.position >= self.next
    }

    fn is_newer(&self, record: &KeyedRecord, known: &KeyedRecord) -> bool {
        if record.position.era != known.position.era
            && let (Some(revision), Some(known)) = (self.revision(record), self.revision(known))
            && revision != known
        {
            return revision > known;
        }
        record.position > known.position
    }

    /// Returns whether a record was written after the deletion of its key. A restored store may list what
    /// was deleted.
    fn is_after_deletion(&self, record: &KeyedRecord, deleted: &DeletedKey) -> bool {
        if record.position.era > deleted.until.era
            && let (Some(revision), Some(deleted)) = (self.revision(record), deleted.revision)
        {
            return revision > deleted;
        }
        record.position >= deleted.until
    }

    fn revision(&self, record: &KeyedRecord) -> Option<ValueRevision> {
        (self.policy.revision)(record.value.as_ref()?)
    }

    /// Merges all records of the keys that `covers` selects, as of position `next`.
    fn merge_all(
        &mut self,
        records: Vec<KeyedRecord>,
        next: TopicPosition,
        covers: impl Fn(&str) -> bool,
    ) -> Vec<KeyedRecord> {
        let listed: collections::BTreeSet<&str> =
            records.iter().map(|record| &*record.key).collect();
        let is_newer = next > self.next;
        let missing = self.records().filter(|known| {
            let is_listed = listed.contains(&*known.key);
            let is_kept = self.policy.keeps_lost && known.position.era < next.era;
            is_newer && known.position < next && !is_listed && !is_kept && covers(&known.key)
        });
        let missing: Vec<String> = missing.map(|known| known.key.clone()).collect();
        for key in &missing {
            // A record that was lost with its era may be written again as it was.
            let is_lost = self.records.get(key).is_some_and(|known| known.position.era < next.era);
            let revision = if is_lost { None } else { self.last_revision(key) };
            self.delete(key, DeletedKey { until: next, revision });
        }
        let last = TopicPosition { offset: next.offset.saturating_sub(1), ..next };
        let deleted = missing.into_iter();
        let deleted = deleted.map(|key| KeyedRecord { key, value: None, position: last });
        let newer = records.into_iter().filter(|record| self.merge(record));
        deleted.chain(newer).collect()
    }

    /// Returns the revision of a key's last value.
    fn last_revision(&self, key: &str) -> Option<ValueRevision> {
        match self.records.get(key) {
            Some(known) => self.revision(known),
            None => self.deleted.get(key).and_then(|deleted| deleted.revision),
        }
    }

    /// Deletes a key; bounds the number of deleted keys, of which the oldest go first.
    fn delete(&mut self, key: &str, deleted: DeletedKey) {
        self.records.remove(key);
        self.deleted.insert(key.to_owned(), deleted);
        if self.deleted.len() > MAX_DELETED {
            let oldest = self.deleted.iter().min_by_key(|(_, deleted)| deleted.until);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.map(|key| self.deleted.remove(&key));
        }
    }
}

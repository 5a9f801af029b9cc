//! Copy of a keyed topic of the store: the newest record of each key, merged from reads of the store and
//! from what other instances send. Offsets decide which of two records is newer, not the order of arrival.

use std::collections;

use crate::rendezvous;

/// Maximum number of deleted keys that are remembered while the store can't be read.
const MAX_DELETED: usize = 4096;

/// Record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key, at most 255 bytes.
    pub key: String,
    /// Value; `None` if the record deletes the key.
    pub value: Option<Vec<u8>>,
    /// Position in the topic, from 0.
    pub offset: u64,
}

/// Number of buckets into which the keys of a topic are divided by hash.
pub const BUCKETS: usize = 256;

/// All records of a bucket, as another instance knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BucketPage {
    /// The bucket.
    pub bucket: u8,
    /// Offset up to which the sender knows every record.
    pub next: u64,
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

/// Newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct TopicReplica {
    /// Records of deleted keys have no value. They are kept up to `next`, beyond which they may not be
    /// known from a read yet.
    records: collections::BTreeMap<String, KeyedRecord>,
    /// Offset up to which every record is known.
    next: u64,
}

impl TopicReplica {
    /// Returns the record of a key that has a value.
    pub fn get(&self, key: &str) -> Option<&KeyedRecord> {
        self.records.get(key).filter(|record| record.value.is_some())
    }

    /// Merges a single record. Returns false if the same or a newer one of its key is known.
    pub fn merge(&mut self, record: &KeyedRecord) -> bool {
        let is_known = match self.records.get(&record.key) {
            Some(known) => known.offset >= record.offset,
            // The key has been deleted since.
            None => record.offset < self.next,
        };
        if !is_known {
            self.records.insert(record.key.clone(), record.clone());
            if record.value.is_none() {
                self.forget_deleted();
            }
        }
        !is_known
    }

    /// Merges all records from offset `from` up to `next`; returns those that are news.
    pub fn merge_read(
        &mut self,
        records: Vec<KeyedRecord>,
        from: u64,
        next: u64,
    ) -> Vec<KeyedRecord> {
        let news = records.into_iter().filter(|record| self.merge(record)).collect();
        if from <= self.next {
            self.advance(next);
        }
        news
    }

    /// Merges the newest record of each key as of offset `next`; returns those that are news, with a
    /// record without a value for each key that was deleted.
    pub fn merge_snapshot(&mut self, records: Vec<KeyedRecord>, next: u64) -> Vec<KeyedRecord> {
        let news = self.merge_all(records, next, |_| true);
        self.advance(next);
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
        self.records.values().filter(|record| record.value.is_some())
    }

    /// Returns all records of a bucket.
    pub fn bucket(&self, bucket: u8) -> BucketPage {
        let records = self.records().filter(|record| bucket_of(&record.key) == bucket);
        BucketPage { bucket, next: self.next, records: records.cloned().collect() }
    }

    /// Merges all records of the keys that `covers` selects, as of offset `next`.
    fn merge_all(
        &mut self,
        records: Vec<KeyedRecord>,
        next: u64,
        covers: impl Fn(&str) -> bool,
    ) -> Vec<KeyedRecord> {
        let listed: collections::BTreeSet<&str> =
            records.iter().map(|record| &*record.key).collect();
        let is_newer = next > self.next;
        let known = self.records().filter(|known| {
            let is_listed = listed.contains(&*known.key);
            is_newer && known.offset < next && !is_listed && covers(&known.key)
        });
        let deleted: Vec<KeyedRecord> = known
            .map(|known| KeyedRecord { key: known.key.clone(), value: None, offset: next - 1 })
            .collect();
        for record in &deleted {
            self.records.insert(record.key.clone(), record.clone());
        }
        let newer = records.into_iter().filter(|record| self.merge(record));
        deleted.iter().cloned().chain(newer).collect()
    }

    fn advance(&mut self, next: u64) {
        self.next = self.next.max(next);
        let next = self.next;
        self.records.retain(|_, record| record.value.is_some() || record.offset >= next);
    }

    /// Bounds the number of deleted keys; the oldest go first.
    fn forget_deleted(&mut self) {
        let deleted = self.records.values().filter(|record| record.value.is_none());
        if deleted.clone().count() <= MAX_DELETED {
            return;
        }
        let oldest = deleted.min_by_key(|record| record.offset).map(|record| record.key.clone());
        oldest.map(|key| self.records.remove(&key));
    }
}

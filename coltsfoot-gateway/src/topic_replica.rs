//! Copy of a keyed topic of the store: the newest record of each key, merged from reads of the store and
//! from what other instances send. Offsets decide which of two records is newer, not the order of arrival.

use std::collections;
use std::ops;

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

/// Keys that a page covers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyRange {
    /// Key before the first one; empty for the first page.
    pub after: String,
    /// Last key; `None` for the last page.
    pub through: Option<String>,
}

impl KeyRange {
    fn bounds(&self) -> (ops::Bound<&str>, ops::Bound<&str>) {
        let after = match &*self.after {
            "" => ops::Bound::Unbounded,
            after => ops::Bound::Excluded(after),
        };
        (after, self.through.as_deref().map_or(ops::Bound::Unbounded, ops::Bound::Included))
    }

    /// Returns whether no key can lie in the range.
    fn is_empty(&self) -> bool {
        self.through.as_ref().is_some_and(|through| *through <= self.after)
    }
}

/// All records of a range of keys, as another instance knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaPage {
    /// The keys that it covers.
    pub range: KeyRange,
    /// Offset up to which the sender knows every record.
    pub next: u64,
    /// The newest record of each key that has a value.
    pub records: Vec<KeyedRecord>,
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
            self.forget_deleted();
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
        let news = self.merge_page(ReplicaPage { range: KeyRange::default(), next, records });
        self.advance(next);
        news
    }

    /// Merges the newest record of each key of a range as of the page's offset; returns the news as
    /// [`TopicReplica::merge_snapshot`] does.
    pub fn merge_page(&mut self, page: ReplicaPage) -> Vec<KeyedRecord> {
        if page.range.is_empty() {
            return Vec::new();
        }
        let is_newer = page.next > self.next;
        let listed: collections::BTreeSet<&str> =
            page.records.iter().map(|record| &*record.key).collect();
        let known = self.records.range::<str, _>(page.range.bounds());
        let deleted: Vec<KeyedRecord> = known
            .filter(|(key, known)| {
                let is_deleted = known.offset < page.next && !listed.contains(&***key);
                is_newer && known.value.is_some() && is_deleted
            })
            .map(|(key, _)| KeyedRecord { key: key.clone(), value: None, offset: page.next - 1 })
            .collect();
        for record in &deleted {
            self.records.insert(record.key.clone(), record.clone());
        }
        let newer = page.records.into_iter().filter(|record| self.merge(record));
        deleted.iter().cloned().chain(newer).collect()
    }

    /// Returns all records in pages of about `max_bytes`, each with one record at least.
    pub fn pages(&self, max_bytes: usize) -> Vec<ReplicaPage> {
        let mut pages = Vec::new();
        let mut page =
            ReplicaPage { range: KeyRange::default(), next: self.next, records: Vec::new() };
        let mut size = 0;
        for (key, record) in &self.records {
            let Some(value) = &record.value else { continue };
            let length = key.len() + value.len();
            if size + length > max_bytes
                && let Some(last) = page.records.last()
            {
                let through = last.key.clone();
                let range = KeyRange { after: through.clone(), through: None };
                let following = ReplicaPage { range, next: self.next, records: Vec::new() };
                page.range.through = Some(through);
                pages.push(std::mem::replace(&mut page, following));
                size = 0;
            }
            size += length;
            page.records.push(record.clone());
        }
        pages.push(page);
        pages
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

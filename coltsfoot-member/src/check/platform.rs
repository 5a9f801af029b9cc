//! Simulated platform: a log and an instance list that is read with a delay.

use std::{collections, time as std_time};

use coltsfoot_types::{id, name, time};

use crate::event;

/// A change of the instance list.
#[derive(Clone, Debug)]
struct ListChange {
    at: time::MonotonicTime,
    name: name::InstanceName,
    entry: Option<bool>,
}

/// Simulated log and instance list.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformModel {
    records: Vec<String>,
    changes: Vec<ListChange>,
}

impl PlatformModel {
    pub(super) fn append(&mut self, text: String) -> id::LogOffset {
        self.records.push(text);
        id::LogOffset(self.records.len() as u64 - 1)
    }

    /// Returns the records starting at an offset.
    pub(super) fn read(&self, from: usize) -> Vec<event::StreamRecord> {
        let records = self.records.iter().enumerate().skip(from);
        records
            .map(|(offset, text)| event::StreamRecord {
                offset: id::LogOffset(offset as u64),
                text: text.clone(),
            })
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Lists an instance with its leaving flag, or removes it (`None`), after `delay`.
    pub(super) fn change_list(
        &mut self,
        now: time::MonotonicTime,
        delay: std_time::Duration,
        name: name::InstanceName,
        entry: Option<bool>,
    ) {
        self.changes.push(ListChange { at: now + delay, name, entry });
        self.changes.sort_by_key(|change| change.at);
    }

    /// Returns the list at a point in time. A removed instance is never listed again.
    pub(super) fn list_at(&self, at: time::MonotonicTime) -> Vec<event::ListedInstance> {
        let mut listed = collections::BTreeMap::new();
        let mut removed = collections::BTreeSet::new();
        for change in self.changes.iter().filter(|change| change.at <= at) {
            match change.entry {
                Some(leaving) if !removed.contains(&change.name) => {
                    listed.insert(change.name.clone(), leaving);
                }
                Some(_) => {}
                None => {
                    listed.remove(&change.name);
                    removed.insert(change.name.clone());
                }
            }
        }
        let entries = listed.into_iter();
        entries.map(|(name, leaving)| event::ListedInstance { name, leaving }).collect()
    }
}

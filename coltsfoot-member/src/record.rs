//! Records of the `members` stream, and the newest valid record of each group.

use std::collections;

use coltsfoot_types::{id, name};
use coltsfoot_wire::member;
use serde::{Deserialize, Serialize};

use crate::{event, settings};

/// A view as written to the log. The offset of the record is its epoch.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ViewRecord {
    /// Unique identifier.
    pub record_id: uuid::Uuid,
    /// Zone of the group.
    pub zone: name::ZoneName,
    /// Group within the zone.
    pub group: member::GroupNumber,
    /// Offset of the group's record that this one succeeds; if it is no longer the newest, this
    /// record is invalid.
    pub base: Option<id::LogOffset>,
    /// Number of valid records of the group before this one.
    pub height: u64,
    /// Members, sorted by name.
    pub members: Vec<name::InstanceName>,
}

/// Newest valid record of a group.
#[derive(Clone, Debug, Hash)]
pub struct HeadRecord {
    /// Offset in the stream.
    pub offset: id::LogOffset,
    /// The view as written to the log.
    pub record: ViewRecord,
}

/// State derived from the `members` stream: the newest valid record of each group of the zone.
#[derive(Clone, Debug, Default, Hash)]
pub struct RecordTable {
    position: Option<id::LogOffset>,
    start: Option<id::LogOffset>,
    heads: collections::BTreeMap<member::GroupNumber, HeadRecord>,
}

impl RecordTable {
    /// Applies a record; offsets that were already applied are skipped.
    ///
    /// A record is valid if its base is the group's newest valid record. If its base precedes the
    /// first record read here (the log has dropped it), the record with the greatest height counts.
    pub fn apply(&mut self, zone: &name::ZoneName, stream_record: &event::StreamRecord) {
        if self.position.is_some_and(|position| stream_record.offset <= position) {
            return;
        }
        self.position = Some(stream_record.offset);
        let start = *self.start.get_or_insert(stream_record.offset);
        let Ok(record) = serde_json::from_str::<ViewRecord>(&stream_record.text) else {
            return;
        };
        if record.zone != *zone || record.members.len() > settings::MAX_GROUP_MEMBERS {
            return;
        }
        let follows = self.heads.get(&record.group).is_none_or(|head| {
            let is_base_forgotten = record.base.is_some_and(|base| base < start);
            record.base == Some(head.offset)
                || is_base_forgotten && record.height > head.record.height
        });
        if follows {
            self.heads.insert(record.group, HeadRecord { offset: stream_record.offset, record });
        }
    }

    /// Returns the newest valid record of a group.
    pub fn head(&self, group: member::GroupNumber) -> Option<&HeadRecord> {
        self.heads.get(&group)
    }
}

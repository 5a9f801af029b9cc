//! Events and actions of the follower, and the streams of the log that it uses.

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::config;
use smallvec::SmallVec;

use crate::snapshot;

/// A stream of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogStream {
    /// Change sets.
    Config,
    /// Chunks of snapshots.
    SnapshotChunks,
    /// Index of complete snapshots.
    SnapshotIndex,
}

impl LogStream {
    /// Returns the name of the stream in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => snapshot::CONFIG_STREAM,
            Self::SnapshotChunks => snapshot::SNAPSHOT_STREAM,
            Self::SnapshotIndex => snapshot::INDEX_STREAM,
        }
    }
}

/// A page of a stream as read from the log.
#[derive(Clone, Debug)]
pub struct LogPage {
    /// Offset of the oldest retained record.
    pub start_offset: id::LogOffset,
    /// Offset that the next append will get.
    pub end_offset: id::LogOffset,
    /// Consecutive records.
    pub records: Vec<PageRecord>,
    /// When the page was read.
    pub read_at: time::WallTime,
}

/// A record of a page.
#[derive(Clone, Debug)]
pub struct PageRecord {
    /// Its offset.
    pub offset: id::LogOffset,
    /// When it was appended.
    pub appended_at: time::WallTime,
    /// Its text.
    pub value: String,
}

/// Another instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigPeer {
    /// Name of the instance.
    pub instance: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
}

/// An input of the follower.
#[derive(Clone, Debug)]
pub enum FollowerEvent {
    /// The time of [`crate::follower::ConfigFollower::next_wake`] has come.
    Tick,
    /// The other known instances.
    Peers(Vec<ConfigPeer>),
    /// Result of a [`FollowerAction::ReadLog`].
    LogRead {
        /// The stream of the action.
        stream: LogStream,
        /// The offset of the action.
        offset: id::LogOffset,
        /// The page, `None` if the log could not be read.
        page: Option<LogPage>,
    },
    /// Result of a [`FollowerAction::AppendLog`].
    LogAppended {
        /// Offset of the first value, `None` if the append failed or its outcome is unknown.
        first_offset: Option<id::LogOffset>,
    },
    /// A message from another instance.
    Message {
        /// The instance that sent it.
        sender: name::InstanceName,
        /// The message.
        message: config::ConfigMessage,
    },
}

/// An action that the follower's host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction {
    /// Read a page of a stream and report it by [`FollowerEvent::LogRead`].
    ReadLog {
        /// The stream.
        stream: LogStream,
        /// First offset to read.
        offset: id::LogOffset,
        /// Largest number of records to read.
        limit: u32,
    },
    /// Append values in one call and report it by [`FollowerEvent::LogAppended`].
    AppendLog {
        /// The stream.
        stream: LogStream,
        /// The values.
        values: Vec<String>,
    },
    /// Send a message to another instance. Delivery is not guaranteed.
    Send {
        /// The receiver.
        to: name::InstanceName,
        /// The message.
        message: config::ConfigMessage,
    },
    /// Replace the view of the traffic threads with that of
    /// [`crate::follower::ConfigFollower::view`], then end the open streams of revoked keys.
    Publish,
    /// Report to operators whether a record was accepted.
    Report(ApplyReport),
}

/// Whether a record of the log was accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyReport {
    /// Its change set is in force.
    Accepted {
        /// Offset of the record.
        offset: id::LogOffset,
        /// Number of objects that it touched.
        objects: usize,
    },
    /// It changed nothing.
    Rejected {
        /// Offset of the record.
        offset: id::LogOffset,
        /// The reason, with the remedy.
        reason: String,
    },
}

/// Actions in the order in which they are carried out.
pub type FollowerActions = SmallVec<[FollowerAction; 4]>;

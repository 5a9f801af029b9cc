//! What a host tells a member, and what a member asks of its host.

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Time passed. Wanted every 100 ms.
    Tick,
    /// A message from another instance of the zone.
    Message {
        /// The authenticated sender.
        sender: name::InstanceName,
        /// The message.
        message: member::MemberMessage,
    },
    /// An instance of any zone answered or sent something outside this protocol.
    PeerContact,
    /// The platform's list was read.
    ListRead(Vec<ListedInstance>),
    /// The `members` stream was read to its end.
    LogRead(Vec<StreamRecord>),
    /// The log could not be read.
    LogUnreachable,
    /// An [`MemberAction::AppendView`] ended.
    AppendEnded {
        /// Id of the record.
        record_id: uuid::Uuid,
        /// How it ended.
        outcome: AppendOutcome,
    },
    /// The instance is to stop.
    StartDrain,
}

/// An entry instance of the zone as listed by the platform.
#[derive(Clone, Debug, Hash)]
pub struct ListedInstance {
    /// Its name.
    pub name: name::InstanceName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A record of the `members` stream.
#[derive(Clone, Debug, Hash)]
pub struct StreamRecord {
    /// Its offset.
    pub offset: id::LogOffset,
    /// Its text, a [`crate::record::ViewRecord`] as JSON.
    pub text: String,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, Hash)]
pub enum AppendOutcome {
    /// The record has this offset.
    Done(id::LogOffset),
    /// The record was not appended.
    Failed,
    /// The record may have been appended or may yet be.
    Unknown,
}

/// What the host is asked to do or told.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a message by UDP. Loss, repetition and reordering are harmless.
    Send {
        /// The receiver.
        receiver: name::InstanceName,
        /// The message.
        message: member::MemberMessage,
    },
    /// Append a record to the `members` stream, report how it ended, and read the stream at once.
    AppendView {
        /// Id to report the end with.
        record_id: uuid::Uuid,
        /// Text of the record.
        text: String,
    },
    /// Another view is in force, or none.
    ViewChanged(Option<ZoneView>),
    /// This instance has begun to own a tracked resource.
    OwnershipGained {
        /// The resource.
        resource: name::ResourceName,
        /// Number for its orders.
        fencing: id::FencingNumber,
    },
    /// This instance owns a tracked resource no longer. [`crate::ZoneMember::lease`] has refused
    /// it already.
    OwnershipLost {
        /// The resource.
        resource: name::ResourceName,
    },
    /// The drain ended; the instance owns nothing any more.
    Drained {
        /// Whether the remaining members took over, rather than the time ran out.
        handed_over: bool,
    },
}

/// A view in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    /// Group within the zone.
    pub group: member::GroupNumber,
    /// Epoch.
    pub epoch: id::FencingNumber,
    /// Members, sorted by name.
    pub members: Vec<name::InstanceName>,
    /// How far owners may act.
    pub grade: member::ViewGrade,
}

/// Permission to act as owner of a resource; ask anew at each use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerLease {
    /// Number for orders.
    pub fencing: id::FencingNumber,
    /// End of the lease on this instance's clock.
    pub until: time::MonotonicTime,
    /// Instant from which on no orders may be sent under this lease.
    pub orders_until: time::MonotonicTime,
    /// How far the owner may act.
    pub grade: member::ViewGrade,
}

/// How far this instance may act.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberMode {
    /// No view, or no majority of it acknowledges: own nothing.
    Inactive,
    /// Act as owner of what the view assigns.
    Full,
    /// Act as owner with quota in proportion, orders only to engines that check fencing numbers,
    /// and no evictions on others.
    Restricted {
        /// Members kept.
        kept: u8,
        /// Members before.
        of: u8,
    },
}

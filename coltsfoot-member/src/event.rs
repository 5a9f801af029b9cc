//! Input events and output actions of a zone member.

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;

/// Input event of a zone member.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Periodic timer, every 100 ms.
    Tick,
    /// A message arrived from another instance of the zone.
    Message {
        /// The authenticated sender.
        sender: name::InstanceName,
        /// The message.
        message: member::MemberMessage,
    },
    /// An instance of any zone answered or sent a message of another protocol.
    PeerContact,
    /// The platform's instance list was read.
    ListRead(Vec<ListedInstance>),
    /// The `members` stream was read to its end.
    LogRead(Vec<StreamRecord>),
    /// The log could not be read.
    LogUnreachable,
    /// An [`MemberAction::AppendView`] completed.
    AppendEnded {
        /// Identifier of the record.
        record_id: uuid::Uuid,
        /// Outcome of the append.
        outcome: AppendOutcome,
    },
    /// The instance starts a planned stop.
    StartDrain,
}

/// An entry instance of the zone from the platform's list.
#[derive(Clone, Debug, Hash)]
pub struct ListedInstance {
    /// Unique name of the instance.
    pub name: name::InstanceName,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// A record of the `members` stream, not yet parsed.
#[derive(Clone, Debug, Hash)]
pub struct StreamRecord {
    /// Offset in the stream.
    pub offset: id::LogOffset,
    /// A [`crate::record::ViewRecord`] as JSON.
    pub text: String,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, Hash)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Done(id::LogOffset),
    /// The record was not appended.
    Failed,
    /// The record may have been appended or may still be.
    Unknown,
}

/// Output action of a zone member.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a message by UDP. Loss, duplication and reordering are tolerated.
    Send {
        /// The receiver.
        receiver: name::InstanceName,
        /// The message.
        message: member::MemberMessage,
    },
    /// Append a record to the `members` stream, report the outcome, and read the stream
    /// immediately.
    AppendView {
        /// Identifier to report the outcome with.
        record_id: uuid::Uuid,
        /// The record as JSON.
        text: String,
    },
    /// The installed view changed; `None` if the instance is in no view.
    ViewChanged(Option<ZoneView>),
    /// This instance became the owner of a tracked resource.
    OwnershipGained {
        /// The resource.
        resource: name::ResourceName,
        /// Fencing number for its orders.
        fencing: id::FencingNumber,
    },
    /// This instance no longer owns a tracked resource. [`crate::ZoneMember::lease`] already
    /// refuses it.
    OwnershipLost {
        /// The resource.
        resource: name::ResourceName,
    },
    /// The drain ended; the instance no longer owns anything.
    Drained {
        /// Whether the remaining members took over; `false` if the drain timed out.
        handed_over: bool,
    },
}

/// An installed view.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView {
    /// Group within the zone.
    pub group: member::GroupNumber,
    /// Epoch, the fencing number of the view's owners.
    pub epoch: id::FencingNumber,
    /// Members, sorted by name.
    pub members: Vec<name::InstanceName>,
    /// Whether owners act with full or restricted permissions.
    pub grade: member::ViewGrade,
}

/// Permission to act as owner of a resource; to be requested again at each use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerLease {
    /// Fencing number for orders.
    pub fencing: id::FencingNumber,
    /// Expiry of the lease on this instance's clock.
    pub until: time::MonotonicTime,
    /// Time from which no orders may be sent under this lease.
    pub orders_until: time::MonotonicTime,
    /// Whether the owner acts with full or restricted permissions.
    pub grade: member::ViewGrade,
}

/// Permissions of this instance as owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberMode {
    /// No view, or no majority of it acknowledges the lease: owns nothing.
    Inactive,
    /// Acts as owner of all resources that the view assigns.
    Full,
    /// Acts as owner with a proportional share of quotas, sends orders only to engines that check
    /// fencing numbers, and evicts nothing on others.
    Restricted {
        /// Members of the previous view that acknowledged this one.
        kept: u8,
        /// All members of the previous view.
        of: u8,
    },
}

//! The union of all messages between instances.

use coltsfoot_types::{id, name};
use serde::{Deserialize, Serialize};

use crate::{member, once, placement, quota};

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerEnvelope {
    /// The instance that sent it.
    pub sender: name::InstanceName,
    /// The message.
    pub message: PeerMessage,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Membership of the zone.
    Member(member::MemberMessage),
    /// Tokens of customers.
    Quota(quota::QuotaMessage),
    /// Permits of engine cells.
    Placement(placement::PlacementMessage),
    /// Claims of once-only calls.
    Claim(once::ClaimMessage),
    /// Asks for records of the configuration log from an offset on.
    FetchRecords {
        /// First offset wanted.
        from: id::LogOffset,
    },
    /// Passes records of the configuration log on.
    Records {
        /// Consecutive records as text, with their offsets.
        records: Vec<PeerRecord>,
    },
}

/// A record of the configuration log, passed on.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PeerRecord {
    /// Its offset.
    pub offset: id::LogOffset,
    /// Its text.
    pub value: String,
}

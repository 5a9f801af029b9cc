//! The union of all messages between instances.

use coltsfoot_types::name;
use serde::{Deserialize, Serialize};

use crate::{config, contact, member, once, placement, quota};

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
    /// Quota tokens of customers.
    Quota(quota::QuotaMessage),
    /// Permits of engine cells.
    Placement(placement::PlacementMessage),
    /// Claims of at-most-once calls.
    Claim(once::ClaimMessage),
    /// Liveness probes between instances that depend on each other.
    Contact(contact::ContactMessage),
    /// Configuration records and snapshots.
    Config(config::ConfigMessage),
}

impl PeerMessage {
    /// Labels of all message kinds, for counters.
    pub const KINDS: [&'static str; 6] =
        ["member", "quota", "placement", "claim", "contact", "config"];

    /// Returns the label of the message kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Member(_) => "member",
            Self::Quota(_) => "quota",
            Self::Placement(_) => "placement",
            Self::Claim(_) => "claim",
            Self::Contact(_) => "contact",
            Self::Config(_) => "config",
        }
    }
}

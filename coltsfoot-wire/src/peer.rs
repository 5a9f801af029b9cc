//! The union of all messages between instances.

use coltsfoot_types::name;
use serde::{Deserialize, Serialize};

use crate::{config, member, once, placement, quota};

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
    /// Records and states of the configuration.
    Config(config::ConfigMessage),
}

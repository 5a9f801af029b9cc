//! Resources of a zone that are owned by one instance at a time.

use coltsfoot_types::name;
use coltsfoot_wire::placement;

/// Resource whose owner is chosen by the zone's membership.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OwnedResource {
    /// An engine cell of the zone: permits and orders of its engines.
    Cell(placement::CellId),
    /// A customer's token bucket in the zone.
    Bucket(name::CustomerName),
    /// The zone's share of the fleet's adapter load budget.
    Ledger,
    /// Batching of the zone's claims for once-only calls.
    Claims,
}

impl OwnedResource {
    /// Returns the resource's name in membership, such as `bucket/CUSTOMER`.
    pub fn name(&self) -> name::ResourceName {
        match self {
            Self::Cell(cell) => format!("cell/{cell}").into(),
            Self::Bucket(customer) => format!("bucket/{customer}").into(),
            Self::Ledger => "ledger".into(),
            Self::Claims => "claims".into(),
        }
    }
}

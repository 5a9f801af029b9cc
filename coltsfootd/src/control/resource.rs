//! Names of the resources that one instance of a zone owns at a time.

use coltsfoot_types::name;
use coltsfoot_wire::placement;

/// A resource with an owner.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OwnedResource {
    /// An engine cell of the zone.
    Cell(placement::CellId),
    /// A customer's bucket in the zone.
    Bucket(name::CustomerName),
    /// The zone's part of the load budget.
    Ledger,
    /// The batches of the zone's once-only claims.
    Claims,
}

impl OwnedResource {
    /// Returns the name under which membership knows the resource.
    pub fn name(&self) -> name::ResourceName {
        match self {
            Self::Cell(cell) => format!("cell/{cell}").into(),
            Self::Bucket(customer) => format!("bucket/{customer}").into(),
            Self::Ledger => "ledger".into(),
            Self::Claims => "claims".into(),
        }
    }
}

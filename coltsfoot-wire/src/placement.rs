//! Permits to run requests on engines, which the owner of an engine cell grants to instances.

use std::fmt;
use std::time;

use coltsfoot_types::{adapter, id, name, refusal};
use serde::{Deserialize, Serialize};

/// Identifier of an engine cell: a few engines of one zone and base model.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct CellId {
    /// Zone of the engines.
    pub zone: name::ZoneName,
    /// Base model that they run.
    pub base_model: name::ModelName,
    /// Number of the cell among those of its zone and model, from 0.
    pub index: u16,
}

impl fmt::Display for CellId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.zone, self.base_model, self.index)
    }
}

/// A message about permits.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PlacementMessage {
    /// Instance to owner: asks for a permit.
    Request {
        /// Cell that is asked.
        cell: CellId,
        /// Request that needs the permit.
        demand: PermitDemand,
    },
    /// Instance to owner: the permit is no longer needed; one granted in the meantime is released.
    Cancel {
        /// Cell that was asked.
        cell: CellId,
        /// Attempt that no longer needs the permit.
        attempt: id::AttemptId,
    },
    /// Owner to instance: grants a permit.
    Grant {
        /// Cell that grants it.
        cell: CellId,
        /// The permit.
        grant: PermitGrant,
    },
    /// Owner to instance: refuses a permit.
    Refusal {
        /// Cell that refuses.
        cell: CellId,
        /// The refusal.
        refusal: PermitRefusal,
    },
    /// Instance to owner: the attempt has ended at the engine, or was never sent.
    Release {
        /// Cell that granted the permit.
        cell: CellId,
        /// The release.
        release: PermitRelease,
    },
    /// New owner to instance: asks for the permits that it holds.
    ReportRequest {
        /// The cell.
        cell: CellId,
        /// Fencing number of the new owner.
        fencing: id::FencingNumber,
    },
    /// Instance to new owner: the permits that it holds.
    Report {
        /// The cell.
        cell: CellId,
        /// Fencing number, copied from the request.
        fencing: id::FencingNumber,
        /// All permits that the instance holds for engines of the cell.
        permits: Vec<HeldPermit>,
    },
    /// Cell owner to the zone's load ledger: asks for grants to load adapters.
    LoadRequest {
        /// The cell.
        cell: CellId,
        /// Loads needed in addition to those granted.
        wanted: u32,
    },
    /// Load ledger to a cell owner: grants one load.
    LoadGrant {
        /// The cell.
        cell: CellId,
        /// Identifier of the grant, unique within the ledger.
        grant: LoadGrantId,
        /// Time until the load must have started, measured from when the request was sent.
        start_within: time::Duration,
    },
    /// Cell owner to the load ledger: the load has ended or is not needed.
    LoadReturn {
        /// The grant.
        grant: LoadGrantId,
        /// Whether a load took place.
        used: bool,
    },
    /// Load ledger to that of another zone: asks to borrow from its share of concurrent loads.
    LoanRequest {
        /// Zone that borrows.
        zone: name::ZoneName,
        /// Concurrent loads needed.
        wanted: u32,
    },
    /// Load ledger to that of another zone: lends part of its share.
    Loan {
        /// Zone that lends.
        zone: name::ZoneName,
        /// Loads lent.
        loads: u32,
        /// Time within which they may be started, measured from when the loan request was sent.
        start_within: time::Duration,
    },
    /// Load ledger to the lender: returns loads.
    LoanReturn {
        /// Zone that borrowed.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Whether loads took place.
        used: bool,
    },
}

/// Request that needs a permit.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PermitDemand {
    /// The attempt that is to run.
    pub attempt: id::AttemptId,
    /// Customer that the request belongs to.
    pub customer: name::CustomerName,
    /// Weight of the customer in the fair queue, from 1.
    pub weight: u32,
    /// Priority among the customer's requests; a higher one goes first.
    pub priority: u8,
    /// Adapter version that the request must run on.
    pub adapter: adapter::AdapterVersion,
    /// Prompt and maximum output, in tokens.
    pub estimated_tokens: u32,
    /// Time left until the deadline of the response.
    pub time_left: time::Duration,
}

/// Permit to send one attempt to one engine. The adapter stays resident until the permit is
/// released.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PermitGrant {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Adapter version that is resident on the engine.
    pub adapter: adapter::AdapterVersion,
    /// The engine.
    pub engine: name::UpstreamName,
    /// Fencing number of the owner.
    pub fencing: id::FencingNumber,
    /// Time until the attempt must have been sent, measured from when the last request for the
    /// permit was sent.
    pub send_within: time::Duration,
}

/// Refusal of a permit. The attempt has not been sent to an engine.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PermitRefusal {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Reason for the refusal.
    pub reason: PermitRefusalReason,
    /// Time after which a new request may succeed.
    pub retry_after: time::Duration,
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PermitRefusalReason {
    /// The sender does not own the cell; ask its owner instead.
    NotOwner,
    /// The request is refused for the reason given.
    Refused(refusal::RefusalReason),
}

/// End of a permit.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PermitRelease {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// Outcome of an attempt at an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum AttemptOutcome {
    /// The engine completed the response.
    Answered {
        /// Number of output tokens.
        output_tokens: u32,
        /// Time from sending the attempt to the end of the response.
        duration: time::Duration,
    },
    /// The caller or the instance cancelled it, and the engine confirmed.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The engine was unreachable or aborted, so the attempt is not running.
    EngineFailed,
    /// The engine rejected it because the adapter version is not resident.
    NotResident,
    /// The response belongs to another adapter, version or attempt.
    WrongAnswer,
    /// The connection was lost; the engine may still be running it.
    Unknown,
}

/// A permit that an instance holds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HeldPermit {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Adapter version that it runs on.
    pub adapter: adapter::AdapterVersion,
    /// The engine.
    pub engine: name::UpstreamName,
}

/// Identifier of a grant for one load.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LoadGrantId {
    /// Zone of the ledger.
    pub zone: name::ZoneName,
    /// Fencing number of the ledger's owner.
    pub fencing: id::FencingNumber,
    /// Number of the grant, from 0.
    pub sequence: u64,
}

//! Permits to run requests on engines, from the owner of an engine cell to instances.

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
        /// The cell asked.
        cell: CellId,
        /// What is to run.
        demand: PermitDemand,
    },
    /// Instance to owner: the permit is no longer wanted. A permit that was granted meanwhile is
    /// released.
    Cancel {
        /// The cell that was asked.
        cell: CellId,
        /// The attempt that was to run.
        attempt: id::AttemptId,
    },
    /// Owner to instance: gives a permit.
    Grant {
        /// The cell that gives it.
        cell: CellId,
        /// The permit.
        grant: PermitGrant,
    },
    /// Owner to instance: refuses a permit.
    Refusal {
        /// The cell that refuses.
        cell: CellId,
        /// The refusal.
        refusal: PermitRefusal,
    },
    /// Instance to owner: the attempt has ended at the engine, or was never sent.
    Release {
        /// The cell that gave the permit.
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
        /// Fencing number of the request that this answers.
        fencing: id::FencingNumber,
        /// All permits held for engines of the cell.
        permits: Vec<HeldPermit>,
    },
    /// Cell's owner to the zone's load ledger: asks for loads.
    LoadRequest {
        /// The cell.
        cell: CellId,
        /// Loads wanted beyond those granted.
        wanted: u32,
    },
    /// Load ledger to a cell's owner: permits one load.
    LoadGrant {
        /// The cell.
        cell: CellId,
        /// Identifier of the grant, unique for the ledger.
        grant: LoadGrantId,
        /// Time until the load must have started, measured from when the request was sent.
        start_within: time::Duration,
    },
    /// Cell's owner to the load ledger: the load has ended or is not needed.
    LoadReturn {
        /// The grant.
        grant: LoadGrantId,
        /// Whether a load took place.
        used: bool,
    },
    /// Load ledger to that of another zone: asks for a part of its share.
    LoanRequest {
        /// Zone that asks.
        zone: name::ZoneName,
        /// Loads wanted at a time.
        wanted: u32,
    },
    /// Load ledger to that of another zone: lends a part of its share.
    Loan {
        /// Zone that lends.
        zone: name::ZoneName,
        /// Loads lent.
        loads: u32,
        /// Time within which they may be started, measured from when the loan was asked for.
        start_within: time::Duration,
    },
    /// Load ledger to the one that lent: gives loads back.
    LoanReturn {
        /// Zone that borrowed.
        zone: name::ZoneName,
        /// Number of loads.
        loads: u32,
        /// Whether loads took place.
        used: bool,
    },
}

/// What a permit is wanted for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PermitDemand {
    /// The attempt that is to run.
    pub attempt: id::AttemptId,
    /// Customer that the request runs for.
    pub customer: name::CustomerName,
    /// Weight of the customer in the fair queue, from 1.
    pub weight: u32,
    /// Priority inside the customer; a higher one goes first.
    pub priority: u8,
    /// The adapter version that must run.
    pub adapter: adapter::AdapterVersion,
    /// Prompt and largest output, in tokens.
    pub estimated_tokens: u32,
    /// Time left until the answer is due.
    pub time_left: time::Duration,
}

/// Leave to send one attempt to one engine. The adapter stays resident until it is released.
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
    /// Time until the attempt must have been sent, measured from when the permit was asked for
    /// last.
    pub send_within: time::Duration,
}

/// Refusal of a permit. The attempt has not been sent to an engine.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PermitRefusal {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Why.
    pub reason: PermitRefusalReason,
    /// Time after which asking again makes sense.
    pub retry_after: time::Duration,
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum PermitRefusalReason {
    /// The sender does not own the cell; the request is to be sent to its owner.
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

/// How an attempt ended at the engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum AttemptOutcome {
    /// The engine gave the whole answer.
    Answered {
        /// Tokens of the output.
        output_tokens: u32,
        /// Time from sending the attempt to the end of the answer.
        duration: time::Duration,
    },
    /// The caller or the instance cancelled it, and the engine confirmed.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The engine could not be reached or broke off, so that the attempt does not run any more.
    EngineFailed,
    /// The engine refused, since the adapter version is not resident.
    NotResident,
    /// The engine answered for another adapter, version or attempt.
    WrongAnswer,
    /// The connection was lost; the engine may still run it.
    Unknown,
}

/// A permit that an instance holds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct HeldPermit {
    /// The attempt.
    pub attempt: id::AttemptId,
    /// Adapter version that runs.
    pub adapter: adapter::AdapterVersion,
    /// The engine.
    pub engine: name::UpstreamName,
}

/// Identifier of leave for one load.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LoadGrantId {
    /// Zone of the ledger.
    pub zone: name::ZoneName,
    /// Fencing number of the ledger's owner.
    pub fencing: id::FencingNumber,
    /// Number of the grant, from 0.
    pub sequence: u64,
}

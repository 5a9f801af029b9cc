//! Settings, events and actions of a claim owner.

use std::time;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::once;
use smallvec::SmallVec;

use crate::claim_table;
use crate::key_window;

/// Settings of a claim owner.
#[derive(Clone, Debug, bon::Builder)]
pub struct BatcherSettings {
    /// Validity window of idempotency keys.
    #[builder(default)]
    pub window: key_window::KeyWindow,
    /// Maximum number of appends in any second.
    #[builder(default = 20)]
    pub appends_per_second: usize,
    /// Maximum number of concurrent appends.
    #[builder(default = 4)]
    pub max_appends_in_flight: usize,
    /// Maximum number of entries per append.
    #[builder(default = 512)]
    pub max_batch_entries: usize,
    /// Maximum time that an outcome is delayed in order to share an append with a claim.
    #[builder(default = time::Duration::from_millis(200))]
    pub outcome_delay: time::Duration,
    /// Timeout of appends and reads.
    #[builder(default = time::Duration::from_secs(2))]
    pub call_timeout: time::Duration,
    /// Upper bound of the delay after a failed append or read.
    #[builder(default = time::Duration::from_millis(200))]
    pub retry_delay: time::Duration,
}

/// Number of an append or a read, unique per claim owner.
pub type CallNumber = u64;

/// Event at a claim owner.
#[derive(Clone, Debug)]
pub enum BatcherEvent {
    /// An instance submits a claim.
    Submit {
        /// The instance.
        instance: name::InstanceName,
        /// The claim.
        claim: once::ClaimEntry,
        /// Time left to decide it.
        time_left: time::Duration,
    },
    /// An instance reports the outcome of a call.
    RecordOutcome {
        /// The instance.
        instance: name::InstanceName,
        /// The outcome.
        outcome: once::OutcomeEntry,
    },
    /// The log acknowledged an append.
    Appended(CallNumber),
    /// An append failed or its acknowledgement was lost.
    AppendFailed(CallNumber),
    /// A page of the claims stream was read.
    PageRead(CallNumber, claim_table::ClaimPage),
    /// A read failed.
    ReadFailed(CallNumber),
    /// Time passed.
    Tick,
}

/// An action that the embedding program carries out for a claim owner.
#[derive(Clone, Debug, PartialEq)]
pub enum BatcherAction {
    /// Append a record to the claims stream.
    Append(CallNumber, once::ClaimBatch),
    /// Read the claims stream from an offset.
    Read(CallNumber, id::LogOffset),
    /// Send a message to an instance.
    Send(name::InstanceName, once::ClaimMessage),
    /// Send [`BatcherEvent::Tick`] no later than at this time.
    WakeAt(clock::MonotonicTime),
}

/// Actions of one event, in order.
pub type BatcherActions = SmallVec<[BatcherAction; 4]>;

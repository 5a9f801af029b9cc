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
    /// Window of keys.
    #[builder(default)]
    pub window: key_window::KeyWindow,
    /// Most appends in any second.
    #[builder(default = 20)]
    pub appends_per_second: usize,
    /// Appends under way at a time.
    #[builder(default = 4)]
    pub max_appends_in_flight: usize,
    /// Entries of one append.
    #[builder(default = 512)]
    pub max_batch_entries: usize,
    /// Longest time that an outcome waits for a claim to go along with.
    #[builder(default = time::Duration::from_millis(200))]
    pub outcome_delay: time::Duration,
    /// Time after which an append or a read without an answer counts as lost.
    #[builder(default = time::Duration::from_secs(2))]
    pub call_timeout: time::Duration,
    /// Wait after a call that failed.
    #[builder(default = time::Duration::from_millis(200))]
    pub retry_delay: time::Duration,
}

/// Number of an append or a read of the log.
pub type CallNumber = u64;

/// What happens to a claim owner.
#[derive(Clone, Debug)]
pub enum BatcherEvent {
    /// An instance submits a claim.
    Submit {
        /// The instance.
        instance: name::InstanceName,
        /// The claim.
        claim: once::ClaimEntry,
        /// Time that is left for it.
        time_left: time::Duration,
    },
    /// An instance settles a call.
    RecordOutcome {
        /// The instance.
        instance: name::InstanceName,
        /// The outcome.
        outcome: once::OutcomeEntry,
    },
    /// The log took an append.
    Appended(CallNumber),
    /// An append was refused or its answer was lost.
    AppendFailed(CallNumber),
    /// A page was read.
    PageRead(CallNumber, claim_table::ClaimPage),
    /// A read failed.
    ReadFailed(CallNumber),
    /// Time has passed.
    Tick,
}

/// What a claim owner orders.
#[derive(Clone, Debug, PartialEq)]
pub enum BatcherAction {
    /// Append a record to the claims stream.
    Append(CallNumber, once::ClaimBatch),
    /// Read the claims stream from an offset on.
    Read(CallNumber, id::LogOffset),
    /// Send a message to an instance.
    Send(name::InstanceName, once::ClaimMessage),
    /// Send [`BatcherEvent::Tick`] no later than then.
    WakeAt(clock::MonotonicTime),
}

/// Actions of one event.
pub type BatcherActions = SmallVec<[BatcherAction; 4]>;

//! An entry instance in the schedules: its claims, dispatches, reports and claim owner.

use std::collections;

use coltsfoot_once::{
    batcher_event, claim_batcher, claim_request, dispatch, key_window, retry_budget,
};
use coltsfoot_types::{id, name};
use coltsfoot_wire::once;

use crate::once::schedule;

/// A once-only call at an instance.
pub struct InstanceCall {
    pub caller: usize,
    pub entry: once::ClaimEntry,
    pub deadline_us: u64,
    pub claim: claim_request::ClaimRequest,
    pub dispatch: Option<dispatch::DispatchMachine>,
}

/// An instance; a killed one is replaced by a new one with nothing.
pub struct EntryInstance {
    pub incarnation: u64,
    pub name: name::InstanceName,
    pub is_alive: bool,
    pub frozen_until_us: u64,
    pub calls: collections::BTreeMap<once::ClaimId, InstanceCall>,
    pub reports: collections::BTreeMap<once::ClaimId, claim_request::OutcomeReport>,
    pub batcher: claim_batcher::ClaimBatcher,
    pub batcher_wake_us: Option<u64>,
    pub budget: retry_budget::RetryBudget,
    /// Keys that ran here, used only where the log is taken out.
    pub remembered: collections::BTreeSet<once::IdempotencyKey>,
}

impl EntryInstance {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let retention = std::time::Duration::from_millis(schedule::RETENTION_MS);
        let window = key_window::KeyWindow::for_retention(retention);
        let settings = batcher_event::BatcherSettings::builder().window(window).build();
        Self {
            incarnation,
            name: instance_name(index, incarnation),
            is_alive: true,
            frozen_until_us: 0,
            calls: collections::BTreeMap::new(),
            reports: collections::BTreeMap::new(),
            batcher: claim_batcher::ClaimBatcher::new(settings),
            batcher_wake_us: None,
            budget: retry_budget::RetryBudget::new(retry_budget::RetrySettings::default()),
            remembered: collections::BTreeSet::new(),
        }
    }
}

/// Returns the name of an incarnation of an instance.
pub fn instance_name(index: usize, incarnation: u64) -> name::InstanceName {
    format!("{index}.{incarnation}").into()
}

/// Returns the index within a name.
pub fn instance_index(name: &name::InstanceName) -> usize {
    let index = name.as_str().split('.').next().and_then(|index| index.parse().ok());
    index.expect("names are made by instance_name")
}

/// Returns the request id of a claim.
pub fn request_id(claim: once::ClaimId) -> id::RequestId {
    id::RequestId(claim.0.as_u128())
}

//! A request of an instance that waits for the answer of a cell's owner.

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

use crate::settings;

/// A request that waits for the answer of an owner.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) base_model: name::ModelName,
    pub(crate) demand: placement::PermitDemand,
    pub(crate) deadline: clock::MonotonicTime,
    /// Cell that was asked_cell, if one could be.
    pub(crate) asked_cell: Option<placement::CellId>,
    pub(crate) requested_at: clock::MonotonicTime,
    /// Whether the instance that was asked_cell does not own the cell.
    pub(crate) is_misrouted: bool,
    /// Cells that refused, so that another one is asked_cell next.
    pub(crate) refused_by: SmallVec<[placement::CellId; 2]>,
}

impl PendingRequest {
    /// Returns whether the owner is to be asked_cell again.
    pub(crate) fn is_due(
        &self,
        now: clock::MonotonicTime,
        has_owner: bool,
        settings: &settings::AgentSettings,
    ) -> bool {
        let is_answer_due = has_owner && !self.is_misrouted;
        let interval =
            if is_answer_due { settings.retry_interval } else { settings.no_owner_retry_interval };
        now.since(self.requested_at) >= interval
    }
}

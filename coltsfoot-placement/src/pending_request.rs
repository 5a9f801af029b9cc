//! A permit request that waits for the answer of a cell's owner.

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::placement;
use smallvec::SmallVec;

use crate::settings;

/// A permit request that waits for the answer of a cell's owner.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) base_model: name::ModelName,
    pub(crate) demand: placement::PermitDemand,
    pub(crate) deadline: clock::MonotonicTime,
    /// Cell that was selected last.
    pub(crate) asked_cell: Option<placement::CellId>,
    pub(crate) requested_at: clock::MonotonicTime,
    /// Whether the receiver answered that it does not own the cell.
    pub(crate) is_misrouted: bool,
    /// Cells that refused and are not tried again.
    pub(crate) refused_by: SmallVec<[placement::CellId; 2]>,
}

impl PendingRequest {
    /// Returns whether to send the request again. The interval is shorter while the cell has no
    /// known owner or the last receiver was not the owner.
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

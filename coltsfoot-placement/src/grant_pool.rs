//! Load grants held by the owner of a cell.

use std::collections;
use std::mem;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::placement;

use crate::cell::CellActions;
use crate::event;

/// Load grants that a cell has received and not yet used.
#[derive(Debug, Default)]
pub(crate) struct GrantPool {
    grants: collections::VecDeque<UnusedGrant>,
    requested_at: clock::MonotonicTime,
    requested: u32,
}

#[derive(Debug)]
struct UnusedGrant {
    id: placement::LoadGrantId,
    start_by: clock::MonotonicTime,
}

impl GrantPool {
    /// Adds a grant. Its start deadline is measured from the cell's last request.
    pub(crate) fn add(
        &mut self,
        now: clock::MonotonicTime,
        id: placement::LoadGrantId,
        start_within: time::Duration,
    ) {
        let start_by = (self.requested_at + start_within).min(now + start_within);
        self.grants.push_back(UnusedGrant { id, start_by });
        self.requested = self.requested.saturating_sub(1);
    }

    /// Returns whether an unexpired grant is available.
    pub(crate) fn is_available(&self, now: clock::MonotonicTime) -> bool {
        self.grants.iter().any(|grant| now < grant.start_by)
    }

    /// Takes a grant for one load, returning expired grants to the ledger.
    pub(crate) fn take(
        &mut self,
        now: clock::MonotonicTime,
        actions: &mut CellActions,
    ) -> Option<placement::LoadGrantId> {
        while let Some(grant) = self.grants.pop_front() {
            if now < grant.start_by {
                return Some(grant.id);
            }
            actions.push(event::CellAction::ReturnLoad { grant: grant.id, used: false });
        }
        None
    }

    /// Returns whether to send a request to the ledger: more loads are wanted than requested, or
    /// the last request may have been lost.
    pub(crate) fn is_due(
        &self,
        now: clock::MonotonicTime,
        wanted: u32,
        interval: time::Duration,
    ) -> bool {
        wanted > self.requested || now.since(self.requested_at) >= interval
    }

    /// Requests load grants from the ledger.
    pub(crate) fn request(
        &mut self,
        now: clock::MonotonicTime,
        wanted: u32,
        actions: &mut CellActions,
    ) {
        self.requested = wanted;
        self.requested_at = now;
        actions.push(event::CellAction::RequestLoads { wanted });
    }

    /// Returns all grants and cancels the pending request.
    pub(crate) fn return_all(&mut self, actions: &mut CellActions) {
        if mem::take(&mut self.requested) > 0 {
            actions.push(event::CellAction::RequestLoads { wanted: 0 });
        }
        for grant in self.grants.drain(..) {
            actions.push(event::CellAction::ReturnLoad { grant: grant.id, used: false });
        }
    }
}

//! Leave for loads on the side of a cell's owner.

use std::collections;
use std::mem;
use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::placement;

use crate::cell::CellActions;
use crate::event;

/// Leave for loads that a cell has and has not used.
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
    /// Adds a grant. Its time counts from when the cell requested last.
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

    /// Returns whether a load may start.
    pub(crate) fn is_available(&self, now: clock::MonotonicTime) -> bool {
        self.grants.iter().any(|grant| now < grant.start_by)
    }

    /// Takes leave for one load, and gives expired leave back.
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

    /// Returns whether the ledger is to be requested: the number of loads wanted has risen, or the
    /// last request may be lost.
    pub(crate) fn is_due(
        &self,
        now: clock::MonotonicTime,
        wanted: u32,
        interval: time::Duration,
    ) -> bool {
        wanted > self.requested || now.since(self.requested_at) >= interval
    }

    /// Asks the ledger for loads.
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

    /// Gives all leave back and wants nothing more.
    pub(crate) fn give_back(&mut self, actions: &mut CellActions) {
        if mem::take(&mut self.requested) > 0 {
            actions.push(event::CellAction::RequestLoads { wanted: 0 });
        }
        for grant in self.grants.drain(..) {
            actions.push(event::CellAction::ReturnLoad { grant: grant.id, used: false });
        }
    }
}

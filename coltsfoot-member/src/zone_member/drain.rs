//! Planned stop: leaving the view within a bounded time.

use coltsfoot_types::time;

use super::{ActionList, ZoneMember};
use crate::event;

impl ZoneMember {
    pub(super) fn start_drain(&mut self, now: time::MonotonicTime) {
        self.draining_since.get_or_insert(now);
        self.clock.next_heartbeat = now;
    }

    /// Returns whether the instance has started a planned stop.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Ends the drain when there is no view to leave or the drain has timed out.
    pub(super) fn check_drain(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        let Some(since) = self.draining_since else {
            return;
        };
        if self.installed.is_none() {
            self.finish_drain(true, actions);
        } else if now.since(since) >= self.timing.drain_timeout {
            self.finish_drain(false, actions);
        }
    }

    pub(super) fn finish_drain(&mut self, handed_over: bool, actions: &mut ActionList) {
        if !self.is_draining() || self.drained {
            return;
        }
        self.drained = true;
        actions.push(event::MemberAction::Drained { handed_over });
    }
}

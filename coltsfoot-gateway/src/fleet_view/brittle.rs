//! Upstreams that fall over if they have to reject too many requests.

use coltsfoot_types::time as clock;

use crate::{brittle_table, upstream_slot};

use super::FleetView;

impl FleetView {
    /// Records what a response of an upstream stated: how many requests a second it may reject, or nothing.
    /// Returns whether its service is newly brittle.
    pub fn record_brittleness(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        rejections_per_s: Option<f64>,
    ) -> bool {
        let Some(slot) = self.upstreams.get(id) else { return false };
        self.brittle.record(now, &slot.entry.service, rejections_per_s)
    }

    /// Returns whether an upstream may be sent another request: always, unless its zone is evacuated, or it is
    /// brittle and has no room.
    pub fn may_send(&self, now: clock::MonotonicTime, slot: &upstream_slot::UpstreamSlot) -> bool {
        if self.is_zone_closed(now, slot) {
            return false;
        }
        let room = || brittle_table::UpstreamRoom {
            slots: slot.entry.slots,
            running: slot.work(now).running,
            local: slot.local.running,
            instances: self.live_instances(now),
        };
        self.brittle.may_send(now, &slot.entry.service, room)
    }

    /// Excludes a brittle upstream that has rejected a request for a while.
    pub fn pause_rejected(&mut self, now: clock::MonotonicTime, id: &str) {
        let Some(slot) = self.upstreams.get(id) else { return };
        let instances = self.live_instances(now);
        if let Some(pause) = self.brittle.rejection_pause(now, &slot.entry.service, instances) {
            self.availability.hold(now, slot.number, pause);
        }
    }

    fn live_instances(&self, now: clock::MonotonicTime) -> u32 {
        let live = self.peers.values().filter(|peer| peer.is_live(now)).count();
        u32::try_from(live).unwrap_or(u32::MAX).saturating_add(1)
    }
}

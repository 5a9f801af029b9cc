//! Zones to which the operator wants nothing sent.

use coltsfoot_types::time as clock;

use crate::{evacuation_table, upstream, upstream_slot};

use super::FleetView;

impl FleetView {
    /// Returns the zones to which the operator wants nothing sent.
    pub fn evacuations(&self) -> &evacuation_table::EvacuationTable {
        &self.evacuations
    }

    /// Returns the evacuated zones, to record changes.
    pub fn evacuations_mut(&mut self) -> &mut evacuation_table::EvacuationTable {
        &mut self.evacuations
    }

    /// Returns whether all upstreams of a service that are ready, of one version if `build` names it, are in
    /// zones to which nothing may be sent.
    pub fn is_service_evacuated(
        &self,
        now: clock::MonotonicTime,
        service: &str,
        build: Option<upstream::BuildKey>,
    ) -> bool {
        let listed = self.listed_upstreams(service);
        let mut allowed =
            listed.filter(|slot| build.is_none_or(|build| slot.build == build)).peekable();
        allowed.peek().is_some() && allowed.all(|slot| self.is_zone_closed(now, slot))
    }

    /// Returns whether nothing may be sent to the zone of an upstream.
    pub(super) fn is_zone_closed(
        &self,
        now: clock::MonotonicTime,
        slot: &upstream_slot::UpstreamSlot,
    ) -> bool {
        self.evacuations.is_closed(now, &slot.entry.zone)
    }
}

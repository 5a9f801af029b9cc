//! Owns engines of zones without an instance until one of theirs is back.

use std::net;
use std::sync;
use std::time;

use rustc_hash::FxHashMap;

use crate::gateway::{engines, lease, state};
use crate::{event, task};

/// Time after the start in which other zones' instances are not missed, as they are being discovered.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(6);

/// Seeks the partitions of zones without an instance, and gives them back; never returns.
pub(crate) async fn maintain(state: sync::Arc<state::GatewayState>) {
    let settled = state.now() + DISCOVERY_TIME;
    let mut reachable: FxHashMap<sync::Arc<str>, bool> = FxHashMap::default();
    loop {
        let now = state.now();
        task::wait_until(now, now + lease::RENEW_INTERVAL).await;
        let zones = if state.now() < settled { Vec::new() } else { zones_to_adopt(&state) };
        let adopted: Vec<_> = state.lease().adopted().cloned().collect();
        let mut has_changed = !zones.is_empty();
        for zone in adopted.iter().filter(|zone| !zones.contains(zone)) {
            give_back(&state, zone, "instance_heard").await;
            reachable.remove(zone);
            has_changed = true;
        }
        for zone in &zones {
            let is_reachable = reachable.entry(sync::Arc::clone(zone)).or_insert(true);
            *is_reachable = adopt(&state, zone, *is_reachable).await;
        }
        if has_changed {
            let adopted: Vec<_> = state.lease().adopted().cloned().collect();
            state.view().set_adopted(adopted);
            engines::start_owned_engines(&state);
        }
    }
}

/// Returns the zones whose engines this instance is to own among others.
fn zones_to_adopt(state: &state::GatewayState) -> Vec<sync::Arc<str>> {
    let Some(routes) = state.routes.load_full().filter(|_| !state.is_stopping()) else {
        return Vec::new();
    };
    let is_engine =
        |service: &str| routes.service(service).is_some_and(|service| service.engine.is_some());
    let (now, own) = (state.now(), state.own_member());
    state.view().zones_to_adopt(now, own, &state.settings.zone, is_engine).into_vec()
}

/// Renews the lease on a zone's partitions unless the store knows an instance of the zone that holds some: it
/// may be cut off from this one only. Returns whether the store could be reached.
async fn adopt(state: &state::GatewayState, zone: &sync::Arc<str>, was_reachable: bool) -> bool {
    let group = lease::ZoneGroup::new(state, zone);
    let owners = match state.store.owners(group.name().group).await {
        Ok(owners) => owners,
        Err(error) => {
            if was_reachable {
                log::warn!(
                    event = event::LEASE_AT_RISK.number, zone = zone.to_string();
                    "could not read who owns the engines of another zone: {error}"
                );
            }
            return false;
        }
    };
    if owners.iter().any(|owner| is_instance_of(state, owner, zone)) {
        give_back(state, zone, "instance_holds").await;
        return true;
    }
    if state.lease().zone(zone).is_none() {
        state.lease().adopt(zone);
        log::info!(
            event = event::ZONE_ADOPTED.number, zone = zone.to_string(), verdict = "adopted";
            "zone_adopted"
        );
    }
    lease::renew(state, &group, was_reachable).await
}

/// Returns whether a member of a group, named by its address, is registered as an instance of a zone.
fn is_instance_of(state: &state::GatewayState, member: &str, zone: &str) -> bool {
    let Ok(address) = member.parse::<net::IpAddr>() else { return false };
    let listed = state::lock(&state.listed_peers);
    listed.iter().any(|peer| peer.address.ip() == address && &*peer.zone == zone)
}

/// Ends the orders to a zone's engines, then the membership.
async fn give_back(state: &state::GatewayState, zone: &sync::Arc<str>, reason: &'static str) {
    if !state.lease().give_back(zone) {
        return;
    }
    log::info!(
        event = event::ZONE_ADOPTED.number, zone = zone.to_string(), verdict = reason;
        "zone_adopted"
    );
    let group = lease::ZoneGroup::new(state, zone);
    if let Err(error) = state.store.leave(group.name()).await {
        log::info!(
            event = event::LEASE_AT_RISK.number, zone = zone.to_string();
            "could not leave the owners of another zone, the membership expires: {error}"
        );
    }
}

//! Keeps this instance's part of the engines in the platform's store.

use std::sync;
use std::time;

use site_platform::store;

use crate::event;
use crate::gateway::{engines, state};

/// Group among whose members the engines are divided.
const GROUP: &str = "coltsfoot-owners";
/// Topic whose partitions stand for the engines.
const TOPIC: &str = "coltsfoot-engines";
/// Time after which the store gives a silent member's partitions to others.
const LIFETIME: time::Duration = time::Duration::from_millis(1800);
/// Time for which a renewal allows orders. Shorter than [`LIFETIME`].
pub(crate) const VALIDITY: time::Duration = time::Duration::from_millis(1500);
/// Time between renewals: three within the validity.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(450);
/// A pause of this task that is longer means that the instance stood still.
const STANDSTILL: time::Duration = time::Duration::from_millis(900);

fn member(state: &state::GatewayState) -> String {
    format!("{:016x}", state.incarnation)
}

/// Renews the lease and starts a task for each engine owned.
pub(crate) async fn keep(state: sync::Arc<state::GatewayState>) {
    let member = member(&state);
    let name = store::GroupName { group: GROUP, topic: TOPIC, member: &member };
    let mut is_reachable = true;
    while !state.is_stopping() {
        let sent = state.now();
        let generation = state.lease().generation();
        match state.store.join(name, LIFETIME, generation).await {
            Ok(share) => {
                let now = state.now();
                let has_changed =
                    state.lease().renew(sent, now, share.generation, &share.partitions);
                if has_changed || !is_reachable {
                    log::info!(
                        event = event::LEASE_CHANGED.number, generation = share.generation,
                        partitions = share.partitions.len(); "lease_changed"
                    );
                }
                is_reachable = true;
            }
            Err(error) => {
                if is_reachable {
                    log::warn!(event = event::LEASE_AT_RISK.number; "lease_at_risk: {error}");
                }
                is_reachable = false;
            }
        }
        engines::start_owned(&state);
        let before = state.now();
        async_io::Timer::after(RENEW_INTERVAL).await;
        if state.now().since(before) > STANDSTILL {
            let now = state.now();
            state.lease().pause(now);
            log::warn!(event = event::STOOD_STILL.number; "stood_still: no orders for a moment");
        }
    }
}

/// Gives up the lease before a planned stop.
pub(crate) async fn give_up(state: sync::Arc<state::GatewayState>) {
    state.lease().release();
    let member = member(&state);
    let name = store::GroupName { group: GROUP, topic: TOPIC, member: &member };
    if let Err(error) = state.store.leave(name).await {
        log::warn!(event = event::LEASE_AT_RISK.number; "could not leave the group: {error}; it lapses");
    }
}

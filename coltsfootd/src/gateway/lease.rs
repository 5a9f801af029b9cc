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
/// Longer than a process takes to start again, so that a machine keeps its engines then.
const LIFETIME: time::Duration = time::Duration::from_millis(2500);
/// Time for which a renewal allows orders. Shorter than [`LIFETIME`].
pub(crate) const VALIDITY: time::Duration = time::Duration::from_millis(1300);
/// Time between renewals: three within the validity.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Topic with the last holder of each partition.
const HOLDER_TOPIC: &str = "keyed.coltsfoot-holders";
/// A pause of this task that is longer means that the instance stood still.
const STANDSTILL: time::Duration = time::Duration::from_millis(900);

/// A machine stays the same member when its process starts again.
fn member(state: &state::GatewayState) -> String {
    state.settings.ip.to_string()
}

/// Renews the lease and starts a task for each engine owned.
pub(crate) async fn keep(state: sync::Arc<state::GatewayState>) {
    let member = member(&state);
    let name = store::GroupName { group: GROUP, topic: TOPIC, member: &member };
    let mut is_reachable = true;
    loop {
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
                settle_holders(&state, &member).await;
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

/// Looks up who held the partitions that are new here, and writes this machine down as the holder.
async fn settle_holders(state: &state::GatewayState, member: &str) {
    let unknown = state.lease().unknown();
    if !unknown.is_empty() {
        let newest = match state.store.newest(HOLDER_TOPIC).await {
            Ok(newest) => newest.records,
            // The topic comes into being with its first record.
            Err(store::StoreError::Refused(404)) => Vec::new(),
            Err(error) => {
                log::warn!(event = event::LEASE_AT_RISK.number; "last holders not read: {error}");
                return;
            }
        };
        for partition in unknown {
            let key = partition.to_string();
            let record = newest.iter().find(|record| record.key == key);
            let holder = record.and_then(|record| record.value.as_deref());
            let is_this_machine = holder == Some(member.as_bytes());
            state.lease().take_last_holder(state.now(), partition, is_this_machine);
        }
    }
    let unrecorded = state.lease().unrecorded();
    for partition in unrecorded {
        match state.store.put(HOLDER_TOPIC, &partition.to_string(), member.as_bytes()).await {
            Ok(()) => state.lease().recorded(state.now(), partition),
            Err(error) => {
                log::warn!(event = event::LEASE_AT_RISK.number; "holder not written: {error}");
                return;
            }
        }
    }
}

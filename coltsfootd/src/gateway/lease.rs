//! Keeps this instance's part of the engines in the platform's store.

use std::sync;
use std::time;

use coltsfoot_gateway::order_lease;
use site_platform::store;

use crate::event;
use crate::gateway::{engines, state};

/// Time after which the store gives a silent member's partitions to others.
/// Longer than a process takes to start again, so that a machine keeps its engines then.
const LIFETIME: time::Duration = time::Duration::from_millis(2500);
/// Time for which a renewal allows orders. Shorter than [`LIFETIME`].
pub(crate) const VALIDITY: time::Duration = time::Duration::from_millis(1300);
/// Time between renewals: three within the validity.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Time between renewals without any partition: three within the lifetime, and less than the age from
/// which on others take the store to be out for this instance.
const IDLE_RENEW_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Time over which the instances of a zone spread their records of holders, by their number and at
/// most: each record is written only if no other was added since the list was read. Short against the
/// validity, since renewals wait for it.
const SETTLE_SPREAD: time::Duration = time::Duration::from_millis(15);
const MAX_SETTLE_SPREAD: time::Duration = time::Duration::from_millis(300);
/// Other instances of a zone below which their records seldom meet.
const SMALL_ZONE: usize = 5;
/// Partitions settled after a renewal at most, each with a call or two.
const MAX_SETTLE_ROUNDS: usize = 24;

/// The engines of an availability zone belong to the instances of that zone, so that a cut between
/// zones changes no owner.
struct ZoneGroup {
    /// Group among whose members the zone's engines are divided.
    group: String,
    /// Topic whose partitions stand for the zone's engines.
    topic: String,
    /// Topic with the last holder of each partition.
    holders: String,
    /// This machine, which stays the same member when its process starts again.
    member: String,
}

impl ZoneGroup {
    fn new(state: &state::GatewayState) -> Self {
        let zone = &state.settings.zone;
        Self {
            group: format!("coltsfoot-owners-{zone}"),
            topic: format!("coltsfoot-engines-{zone}"),
            holders: format!("keyed.coltsfoot-holders-{zone}"),
            member: state.settings.ip.to_string(),
        }
    }

    fn name(&self) -> store::GroupName<'_> {
        store::GroupName { group: &self.group, topic: &self.topic, member: &self.member }
    }

    /// Returns the key of a partition among the last holders.
    fn holder_key(partition: u32) -> String {
        partition.to_string()
    }
}
/// Time by which this task wakes too late if the instance stood still.
const STANDSTILL: time::Duration = time::Duration::from_millis(500);

/// Renews the lease and starts a task for each engine owned.
pub(crate) async fn keep(state: sync::Arc<state::GatewayState>) {
    let group = ZoneGroup::new(&state);
    let mut is_reachable = true;
    loop {
        let sent = state.now();
        let generation = state.lease().generation();
        match state.store.join(group.name(), LIFETIME, generation).await {
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
                settle_holders(&state, &group).await;
            }
            Err(error) => {
                if is_reachable {
                    log::warn!(event = event::LEASE_AT_RISK.number; "lease_at_risk: {error}");
                }
                is_reachable = false;
            }
        }
        engines::start_owned(&state);
        if is_reachable && state.lease().awaits_renewal() {
            continue;
        }
        let before = state.now();
        let is_idle = is_reachable && state.lease().partitions().next().is_none();
        let pause = if is_idle { IDLE_RENEW_INTERVAL } else { RENEW_INTERVAL };
        async_io::Timer::after(pause).await;
        if state.now().since(before) > pause + STANDSTILL {
            let now = state.now();
            state.lease().pause(now);
            log::warn!(event = event::STOOD_STILL.number; "stood_still: no orders for a moment");
        }
    }
}

/// Looks up who held the partitions that are new here, and writes this machine down as the holder
/// where that is due.
async fn settle_holders(state: &state::GatewayState, group: &ZoneGroup) {
    if !state.lease().needs_holder_update(state.now()) {
        return;
    }
    async_io::Timer::after(settle_pause(state)).await;
    for _ in 0..MAX_SETTLE_ROUNDS {
        if let Err(error) = look_up_holders(state, group).await {
            log::warn!(event = event::LEASE_AT_RISK.number; "last holders not read: {error}");
            return;
        }
        let due = state.lease().pending_records(state.now()).first().copied();
        let Some((partition, list_end)) = due else { return };
        let key = ZoneGroup::holder_key(partition);
        let value = group.member.as_bytes();
        match state.store.put_at(&group.holders, &key, value, list_end).await {
            Ok(end) => state.lease().holder_recorded(state.now(), partition, list_end, end),
            Err(error) => {
                state.lease().holder_record_failed(partition);
                log::info!(
                    event = event::LEASE_AT_RISK.number, partition = partition;
                    "holder not written, it is looked up again: {error}"
                );
            }
        }
    }
}

/// Returns a random part of the time over which records of holders are spread.
fn settle_pause(state: &state::GatewayState) -> time::Duration {
    let near = state.view().zone_addresses(&state.settings.zone).len();
    let spread = SETTLE_SPREAD.saturating_mul(near as u32).min(MAX_SETTLE_SPREAD);
    match near {
        0..SMALL_ZONE => time::Duration::ZERO,
        _ => spread.mul_f64(rand::random()),
    }
}

async fn look_up_holders(
    state: &state::GatewayState,
    group: &ZoneGroup,
) -> Result<(), store::StoreError> {
    let unknown = state.lease().unknown_holders();
    if unknown.is_empty() {
        return Ok(());
    }
    let newest = match state.store.newest(&group.holders).await {
        // The topic comes into being with its first record.
        Err(store::StoreError::Refused(404)) => store::KeyedRecords::default(),
        newest => newest?,
    };
    for partition in unknown {
        let key = ZoneGroup::holder_key(partition);
        let record = newest.records.iter().find(|record| record.key == key);
        let holder = record.and_then(|record| record.value.as_deref());
        let holder = order_lease::LastHolder {
            is_this_machine: holder == Some(group.member.as_bytes()),
            offset: record.map(|record| record.offset),
        };
        state.lease().set_last_holder(partition, holder, newest.next);
    }
    Ok(())
}

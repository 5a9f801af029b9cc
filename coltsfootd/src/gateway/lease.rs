//! Renews this instance's lease on its share of the zone's engines in the platform's store.

use std::sync;
use std::time;

use coltsfoot_gateway::order_lease;
use coltsfoot_wire::fleet::TopicPosition;
use site_platform::store;

use crate::event;
use crate::gateway::{engines, state};

/// Time without a renewal after which the store reassigns a member's partitions. Longer than a
/// process restart, so that a machine keeps its engines across one.
const MEMBER_TTL: time::Duration = time::Duration::from_millis(2500);
/// Time for which a renewal permits orders. Shorter than [`MEMBER_TTL`], so that orders stop before
/// the partitions are reassigned.
pub(crate) const VALIDITY: time::Duration = time::Duration::from_millis(1300);
/// Interval between renewals: three within the validity.
pub(super) const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Interval between renewals without any partition: three within [`MEMBER_TTL`], and less than the
/// age at which peers assume that this instance has lost the store.
const IDLE_RENEW_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Jitter of writes to the holders topic, per instance of the zone and in total: a record is
/// written only if the topic has not changed since it was read. Short against the validity, since
/// renewals wait for these writes.
const RECORD_JITTER: time::Duration = time::Duration::from_millis(15);
const MAX_RECORD_JITTER: time::Duration = time::Duration::from_millis(300);
/// Number of peers in the zone below which there is no jitter, as their writes seldom conflict.
const SMALL_ZONE: usize = 5;
/// Maximum number of holders recorded after a renewal, each with one or two calls.
const MAX_RECORD_ROUNDS: usize = 24;

/// Names in the store for the lease of a zone. The engines of a zone are owned by instances of the
/// same zone, so that a network partition between zones changes no owner; those of a zone without one
/// by a few instances of others.
pub(super) struct ZoneGroup {
    /// The zone.
    pub(super) zone: sync::Arc<str>,
    /// Consumer group among whose members the zone's engines are divided.
    group: String,
    /// Topic whose partitions the zone's engines are hashed to.
    topic: String,
    /// Keyed topic with the last holder of each partition.
    holders: String,
    /// Name of this member: the machine's address, which stays the same across restarts.
    member: String,
}

impl ZoneGroup {
    pub(super) fn new(state: &state::GatewayState, zone: &sync::Arc<str>) -> Self {
        Self {
            zone: sync::Arc::clone(zone),
            group: format!("coltsfoot-owners-{zone}"),
            topic: format!("coltsfoot-engines-{zone}"),
            holders: format!("keyed.coltsfoot-holders-{zone}"),
            member: state.settings.ip.to_string(),
        }
    }

    pub(super) fn name(&self) -> store::GroupName<'_> {
        store::GroupName { group: &self.group, topic: &self.topic, member: &self.member }
    }

    /// Returns the value that records this machine as a holder. One that was written in an earlier era doesn't
    /// prove that nobody held the partition since.
    fn holder_value(&self, era: u64) -> String {
        format!("{} {era}", self.member)
    }

    /// Returns the key of a partition in the holders topic.
    fn holder_key(partition: u32) -> String {
        partition.to_string()
    }
}

/// Delay beyond the planned wake-up from which on the process counts as having been stalled.
const STALL_THRESHOLD: time::Duration = time::Duration::from_millis(500);

/// Renews the lease and starts a task for each engine owned.
pub(crate) async fn maintain(state: sync::Arc<state::GatewayState>) {
    let group = ZoneGroup::new(&state, &state.settings.zone);
    let mut is_reachable = true;
    loop {
        is_reachable = renew(&state, &group, is_reachable).await;
        engines::start_owned_engines(&state);
        if is_reachable && state.lease().own().awaits_renewal() {
            continue;
        }
        let before = state.now();
        let is_idle = is_reachable && state.lease().own().partitions().next().is_none();
        let pause = if is_idle { IDLE_RENEW_INTERVAL } else { RENEW_INTERVAL };
        async_io::Timer::after(pause).await;
        if state.now().since(before) > pause + STALL_THRESHOLD {
            let now = state.now();
            state.lease().pause(now);
            log::warn!(event = event::STOOD_STILL.number; "stood_still: orders paused after a stall");
        }
    }
}

/// Renews the lease on a zone's partitions; returns whether the store could be reached.
pub(super) async fn renew(
    state: &state::GatewayState,
    group: &ZoneGroup,
    was_reachable: bool,
) -> bool {
    let sent = state.now();
    let generation = with_lease(state, group, |lease| lease.generation()).unwrap_or_default();
    match state.store.join(group.name(), MEMBER_TTL, generation).await {
        Ok(share) => {
            let has_changed = with_lease(state, group, |lease| {
                lease.renew(sent, state.now(), share.generation, &share.partitions)
            });
            if has_changed == Some(true) || !was_reachable {
                log::info!(
                    event = event::LEASE_CHANGED.number, zone = group.zone.to_string(),
                    era = share.generation.era, generation = share.generation.number,
                    partitions = share.partitions.len(); "lease_changed"
                );
            }
            record_holders(state, group).await;
            true
        }
        Err(error) => {
            if was_reachable {
                log::warn!(
                    event = event::LEASE_AT_RISK.number, zone = group.zone.to_string();
                    "lease_at_risk: {error}"
                );
            }
            false
        }
    }
}

/// Calls a function with the lease of a group's zone; `None` if the zone was given back.
fn with_lease<T>(
    state: &state::GatewayState,
    group: &ZoneGroup,
    call: impl FnOnce(&mut order_lease::OrderLease) -> T,
) -> Option<T> {
    state.lease().zone_mut(&group.zone).map(call)
}

/// Looks up the last holders of newly assigned partitions, and records this machine as the holder
/// once the lease allows it.
async fn record_holders(state: &state::GatewayState, group: &ZoneGroup) {
    let needs_update = with_lease(state, group, |lease| lease.needs_holder_update(state.now()));
    if needs_update != Some(true) {
        return;
    }
    async_io::Timer::after(record_jitter(state)).await;
    for _ in 0..MAX_RECORD_ROUNDS {
        if let Err(error) = look_up_holders(state, group).await {
            log::warn!(event = event::LEASE_AT_RISK.number; "could not read last holders: {error}");
            return;
        }
        let due =
            with_lease(state, group, |lease| lease.pending_records(state.now()).first().copied());
        let Some((partition, list_end)) = due.flatten() else { return };
        let key = ZoneGroup::holder_key(partition);
        let value = group.holder_value(list_end.era);
        let recorded =
            state.store.put_at(&group.holders, &key, value.as_bytes(), list_end.offset).await;
        match recorded {
            Ok(end) => {
                with_lease(state, group, |lease| {
                    lease.holder_recorded(state.now(), partition, list_end, end);
                });
            }
            Err(error) => {
                with_lease(state, group, |lease| lease.holder_record_failed(partition));
                log::info!(
                    event = event::LEASE_AT_RISK.number, partition = partition;
                    "could not record the holder, retrying: {error}"
                );
            }
        }
    }
}

/// Returns a random delay before holders are recorded, which grows with the size of the zone.
fn record_jitter(state: &state::GatewayState) -> time::Duration {
    let zone_peers = state.view().zone_addresses(&state.settings.zone).len();
    let spread = RECORD_JITTER.saturating_mul(zone_peers as u32).min(MAX_RECORD_JITTER);
    match zone_peers {
        0..SMALL_ZONE => time::Duration::ZERO,
        _ => spread.mul_f64(rand::random()),
    }
}

async fn look_up_holders(
    state: &state::GatewayState,
    group: &ZoneGroup,
) -> Result<(), store::StoreError> {
    let unknown = with_lease(state, group, |lease| lease.unknown_holders()).unwrap_or_default();
    if unknown.is_empty() {
        return Ok(());
    }
    let newest = match state.store.read_latest(&group.holders).await {
        // The topic is created with its first record.
        Err(store::StoreError::Refused(404)) => {
            let generation = with_lease(state, group, |lease| lease.generation());
            let next = TopicPosition { era: generation.unwrap_or_default().era, offset: 0 };
            store::KeyedRecords { next, ..store::KeyedRecords::default() }
        }
        newest => newest?,
    };
    for partition in unknown {
        let key = ZoneGroup::holder_key(partition);
        let record = newest.records.iter().find(|record| record.key == key);
        let holder = record.and_then(|record| record.value.as_deref());
        let holder = order_lease::LastHolder {
            is_this_machine: holder == Some(group.holder_value(newest.next.era).as_bytes()),
            offset: record.map(|record| record.position.offset),
        };
        with_lease(state, group, |lease| lease.set_last_holder(partition, holder, newest.next));
    }
    Ok(())
}

//! A simulated instance with its own clock.

use coltsfoot_types::{name, time};

use super::audit;
use crate::{ZoneMember, event};

/// A simulated instance.
#[derive(Clone)]
pub(super) struct ScheduledInstance {
    pub(super) name: name::InstanceName,
    pub(super) member: ZoneMember,
    /// Rate of its clock in millionths of the rate of virtual time.
    pub(super) clock_ppm: u64,
    pub(super) frozen_until: Option<time::MonotonicTime>,
    pub(super) ended: bool,
    pub(super) partition: u8,
    pub(super) platform_cut_until: time::MonotonicTime,
    pub(super) list_seen_at: time::MonotonicTime,
    pub(super) log_position: usize,
    pub(super) backlog: Vec<event::MemberEvent>,
}

impl ScheduledInstance {
    pub(super) fn is_running(&self) -> bool {
        !self.ended && self.frozen_until.is_none()
    }

    pub(super) fn local(&self, now: time::MonotonicTime) -> time::MonotonicTime {
        time::MonotonicTime(now.0 / 1_000 * self.clock_ppm / 1_000)
    }

    pub(super) fn lease_use(
        &self,
        now: time::MonotonicTime,
        resource: &name::ResourceName,
    ) -> Option<audit::LeaseUse> {
        let local = self.local(now);
        let lease = self.member.lease(local, resource)?;
        let may_order = local < lease.orders_until;
        Some(audit::LeaseUse { instance: self.name.clone(), lease, may_order })
    }
}

//! Handover of ownership between views: when new owners may start to act.

use std::time as std_time;

use coltsfoot_types::{name, time};
use coltsfoot_wire::member;

use crate::{rendezvous, settings};

/// An installed view, with what its acknowledgements tell about the previous owners.
#[derive(Clone, Debug, Hash)]
pub struct ViewHandover {
    /// The view and its acknowledgements.
    pub installed: member::InstalledView,
    /// When this instance installed it.
    pub installed_at: time::MonotonicTime,
}

impl ViewHandover {
    /// Returns the epoch and members of the view.
    pub fn view(&self) -> &member::ViewSummary {
        &self.installed.proposal.view
    }

    /// Returns the owner of a resource in this view.
    pub fn owner(&self, resource: &name::ResourceName) -> Option<&name::InstanceName> {
        rendezvous::choose_member(resource, &self.view().members)
    }

    /// Returns when `own_name` may start to act as owner of the resource: once no owner of an older
    /// view can act and none of its orders is in flight.
    pub fn active_from(
        &self,
        resource: &name::ResourceName,
        own_name: &name::InstanceName,
        timing: &settings::TimingSettings,
    ) -> time::MonotonicTime {
        if self.installed.presumed_gone {
            return self.installed_at + timing.lease_expiry();
        }
        let predecessors = self.installed.proposal.predecessors.iter();
        let owners = predecessors
            .filter_map(|view| rendezvous::choose_member(resource, &view.members))
            .filter(|owner| *owner != own_name);
        let waits = owners.map(|owner| self.wait_for(owner, timing));
        self.installed_at + waits.max().unwrap_or_default()
    }

    /// Returns whether all leases of older views have expired; always false for a restricted view.
    pub fn older_leases_expired(
        &self,
        now: time::MonotonicTime,
        timing: &settings::TimingSettings,
    ) -> bool {
        self.installed.grade == member::ViewGrade::Full
            && now.since(self.installed_at) >= timing.lease_expiry()
    }

    fn wait_for(
        &self,
        owner: &name::InstanceName,
        timing: &settings::TimingSettings,
    ) -> std_time::Duration {
        let mut released = self.installed.released.iter();
        match released.find(|entry| entry.instance == *owner) {
            Some(entry) if entry.quiescent => std_time::Duration::ZERO,
            Some(_) => timing.order_delay,
            None => self.remaining_expiry(owner, timing),
        }
    }

    fn remaining_expiry(
        &self,
        owner: &name::InstanceName,
        timing: &settings::TimingSettings,
    ) -> std_time::Duration {
        let mut grants = self.installed.grants.iter();
        let Some(grant) = grants.find(|grant| grant.instance == *owner) else {
            return std_time::Duration::ZERO;
        };
        let age = std_time::Duration::from_millis(grant.age_ms.into());
        let drift = age * timing.clock_drift_permille / 1_000;
        (timing.lease_expiry() + drift).saturating_sub(age)
    }
}

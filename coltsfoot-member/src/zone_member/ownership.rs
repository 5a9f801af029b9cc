//! Ownership of resources, and the leases that allow this instance to act as owner.

use coltsfoot_types::{name, time};
use coltsfoot_wire::member;

use super::{ActionList, ZoneMember};
use crate::{event, handover, rendezvous};

impl ZoneMember {
    /// Returns the installed view.
    pub fn view(&self) -> Option<event::ZoneView> {
        let installed = self.installed.as_ref()?;
        Some(event::ZoneView {
            group: installed.installed.proposal.group,
            epoch: installed.view().epoch,
            members: installed.view().members.clone(),
            grade: installed.installed.grade,
        })
    }

    /// Returns the owner of a resource, as far as this instance knows.
    ///
    /// For a resource of another group it is derived from the newest view in the log, which may be
    /// outdated; the supposed owner then refuses.
    pub fn owner_of(&self, resource: &name::ResourceName) -> Option<name::InstanceName> {
        let group = rendezvous::choose_group(resource, self.group_count);
        let installed = self.installed.as_ref().filter(|_| self.group == Some(group));
        let members = match installed {
            Some(installed) => &installed.view().members,
            None => &self.log.records.head(group)?.record.members,
        };
        rendezvous::choose_member(resource, members).cloned()
    }

    /// Returns the lease to act as owner of a resource now, `None` if this instance may not act.
    ///
    /// The result must not be used after its `until`, so that an instance that was paused does not
    /// act on an expired lease.
    pub fn lease(
        &self,
        now: time::MonotonicTime,
        resource: &name::ResourceName,
    ) -> Option<event::OwnerLease> {
        let group = rendezvous::choose_group(resource, self.group_count);
        let installed = self.installed.as_ref().filter(|_| self.group == Some(group))?;
        let until = self.lease_end(now)?;
        if installed.owner(resource) != Some(&self.own_name) {
            return None;
        }
        if now < installed.active_from(resource, &self.own_name, &self.timing) {
            return None;
        }
        Some(event::OwnerLease {
            fencing: installed.view().epoch,
            until,
            orders_until: until - self.timing.order_delay,
            grade: installed.installed.grade,
        })
    }

    /// Returns the current permissions of this instance as owner.
    pub fn mode(&self, now: time::MonotonicTime) -> event::MemberMode {
        let installed = self.installed.as_ref().filter(|_| self.lease_end(now).is_some());
        match installed.map(|installed| installed.installed.grade) {
            None => event::MemberMode::Inactive,
            Some(member::ViewGrade::Full) => event::MemberMode::Full,
            Some(member::ViewGrade::Restricted { kept, of }) => {
                event::MemberMode::Restricted { kept, of }
            }
        }
    }

    /// Starts reporting [`event::MemberAction::OwnershipGained`] and
    /// [`event::MemberAction::OwnershipLost`] for a resource.
    pub fn track(&mut self, resource: name::ResourceName) {
        self.owned.entry(resource).or_default();
    }

    /// Stops reporting changes of ownership of a resource.
    pub fn untrack(&mut self, resource: &name::ResourceName) {
        self.owned.remove(resource);
    }

    /// Reports which tracked resources were gained or lost.
    pub(super) fn report_ownership(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        let mut owned = std::mem::take(&mut self.owned);
        for (resource, fencing) in &mut owned {
            let current = self.lease(now, resource).map(|lease| lease.fencing);
            if current == *fencing {
                continue;
            }
            *fencing = current;
            actions.push(match current {
                Some(fencing) => {
                    event::MemberAction::OwnershipGained { resource: resource.clone(), fencing }
                }
                None => event::MemberAction::OwnershipLost { resource: resource.clone() },
            });
        }
        self.owned = owned;
    }

    /// Extends `lease_held_until` to the end of the current lease.
    pub(super) fn record_lease_end(&mut self, now: time::MonotonicTime) {
        if let Some(until) = self.lease_end(now) {
            self.clock.lease_held_until = self.clock.lease_held_until.max(until);
        }
    }

    /// Returns the end of the lease granted by a majority's acknowledgements.
    fn lease_end(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        let installed = self.installed.as_ref()?;
        let accepted_newer = !self.promise.acknowledges(installed.view().epoch);
        if accepted_newer || self.drained || self.is_isolated(now) {
            return None;
        }
        let members = &installed.view().members;
        let since = self.leases.majority_since(now, &self.own_name, members)?;
        let until = since + self.timing.lease_ttl;
        (until > now).then_some(until)
    }

    /// Returns the installed view with the handover state of the previous owners.
    pub fn handover(&self) -> Option<&handover::ViewHandover> {
        self.installed.as_ref()
    }
}

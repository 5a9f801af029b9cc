//! Joining a group, and leaving the view after isolation or exclusion.

use std::{collections, time as std_time};

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;

use super::{ActionList, ZoneMember, heartbeat};
use crate::event;

/// Time after its start that an instance waits to be admitted before it forms a view itself.
const BOOTSTRAP_DELAY: std_time::Duration = std_time::Duration::from_secs(1);
/// Time without contact from an instance that holds a view, after which one may be formed.
const VIEW_CONTACT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);
/// Maximum number of instances that a join request is sent to.
const JOIN_FANOUT: usize = 16;

impl ZoneMember {
    /// Sends join requests while this instance is in no view.
    pub(super) fn send_joins(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        if self.installed.is_some() || self.is_draining() || now < self.clock.next_join {
            return;
        }
        self.clock.next_join = now + self.timing.heartbeat_interval;
        self.choose_group();
        let Some(group) = self.group else {
            return;
        };
        for receiver in self.join_receivers(group) {
            heartbeat::send(receiver, member::MemberMessage::Join { group }, actions);
        }
    }

    pub(super) fn handle_join(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        group: member::GroupNumber,
        actions: &mut ActionList,
    ) {
        if self.group != Some(group) {
            return;
        }
        self.contacts.record_join(&sender, now);
        self.send_newer_view(sender, id::FencingNumber(0), actions);
    }

    /// Returns whether this instance should form a view because no instance seems to hold one.
    pub(super) fn needs_bootstrap(&self, now: time::MonotonicTime) -> bool {
        let started_at = self.clock.started_at.unwrap_or(now);
        let view_heard_at = self.clock.view_heard_at;
        let is_unheard = view_heard_at.is_none_or(|at| now.since(at) >= VIEW_CONTACT_TIMEOUT);
        self.group.is_some()
            && !self.is_draining()
            && self.log.reachable
            && self.listing.is_current(now)
            && self.listing.lists_active(&self.own_name)
            && now.since(started_at) >= BOOTSTRAP_DELAY
            && is_unheard
            && self.may_replace_head(now)
    }

    /// Returns whether a majority of the newest logged view has been removed or requests to join.
    fn may_replace_head(&self, now: time::MonotonicTime) -> bool {
        let Some(head) = self.group.and_then(|group| self.log.records.head(group)) else {
            return true;
        };
        let validity = VIEW_CONTACT_TIMEOUT;
        let joining: collections::BTreeSet<_> = self.contacts.joining(now, validity).collect();
        let members = &head.record.members;
        let free = members.iter().filter(|peer| {
            **peer == self.own_name
                || joining.contains(peer)
                || self.listing.is_removed(peer, now, self.timing.removal_time)
        });
        members.is_empty() || 2 * free.count() > members.len()
    }

    /// Leaves the view after a long isolation or suspension, since the other members may have
    /// counted this instance as removed.
    pub(super) fn check_isolation(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        if !self.is_isolated(now) || self.promise.has_forgotten() {
            return;
        }
        let stopped_at = self.clock.last_contact + self.timing.isolation_limit;
        self.clock.lease_held_until = self.clock.lease_held_until.max(stopped_at.min(now));
        self.clock.forgotten_at = Some(now);
        self.promise.forget();
        self.leave_view(now, actions);
    }

    /// Returns whether other instances may count this one as removed.
    pub(super) fn is_isolated(&self, now: time::MonotonicTime) -> bool {
        let limit = self.timing.isolation_limit;
        now.since(self.clock.last_contact) > limit
            || self.listing.is_removed(&self.own_name, now, limit)
    }

    /// Returns whether this instance may accept or install a view. After it dropped its accepted
    /// views, it has to read the log first, so that it adopts no view that others have superseded.
    pub(super) fn may_adopt(&self, epoch: id::FencingNumber) -> bool {
        if !self.promise.has_forgotten() {
            return true;
        }
        let head = self.group.and_then(|group| self.log.records.head(group));
        let newest =
            head.map_or(id::FencingNumber(0), |head| id::FencingNumber::new(head.offset, 0));
        self.log.read_at > self.clock.forgotten_at && epoch >= newest
    }

    /// Leaves the installed view, if any.
    pub(super) fn leave_view(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        let had_view = self.installed.take().is_some();
        self.attempt = super::ChangeAttempt { not_before: now, ..Default::default() };
        self.leases.clear_acknowledged();
        if had_view {
            actions.push(event::MemberAction::ViewChanged(None));
        }
        self.finish_drain(true, actions);
    }

    /// Chooses the group with the fewest active members, ties broken by rank in the platform's
    /// list.
    fn choose_group(&mut self) {
        if self.group.is_some() || !self.listing.lists_active(&self.own_name) {
            return;
        }
        let groups = (0..self.group_count).map(member::GroupNumber);
        let rank = self.listing.names().position(|peer| *peer == self.own_name).unwrap_or(0);
        let preferred = rank % usize::from(self.group_count);
        let group_count = usize::from(self.group_count);
        self.group = groups.min_by_key(|group| {
            let distance = (usize::from(group.0) + group_count - preferred) % group_count;
            (self.listed_size(*group), distance)
        });
    }

    fn listed_size(&self, group: member::GroupNumber) -> usize {
        let Some(head) = self.log.records.head(group) else {
            return 0;
        };
        head.record.members.iter().filter(|peer| self.listing.lists_active(peer)).count()
    }

    fn join_receivers(&self, group: member::GroupNumber) -> Vec<name::InstanceName> {
        let head = self.log.records.head(group);
        let members = head.iter().flat_map(|head| head.record.members.iter());
        let mut receivers: Vec<_> = members.chain(self.listing.names()).cloned().collect();
        let mut seen = collections::BTreeSet::new();
        receivers.retain(|peer| *peer != self.own_name && seen.insert(peer.clone()));
        let start = match receivers.len() > JOIN_FANOUT {
            true => self.clock.next_join.0 as usize % receivers.len(),
            false => 0,
        };
        receivers.rotate_left(start);
        receivers.truncate(JOIN_FANOUT);
        receivers
    }
}

//! Decides when to change the view, and to which members.

use std::time as std_time;

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;

use super::{ActionList, ChangeStage, PendingRecord, ZoneMember};
use crate::{event, record, settings};

/// Time for which a join request is valid.
const JOIN_VALIDITY: std_time::Duration = std_time::Duration::from_secs(3);
/// Interval between attempts to replace a restricted view with a full one.
const UPGRADE_INTERVAL: std_time::Duration = std_time::Duration::from_secs(5);
/// Age at which a provisional view, formed during a log outage, is written to the log.
const RELOG_DELAY: std_time::Duration = std_time::Duration::from_secs(2);
/// Rank above which the proposer delay does not increase further.
const MAX_STAGGER_RANK: usize = 8;
/// Low bits of a provisional epoch that hold the rank of its proposer.
const PROPOSER_BITS: u32 = 4;
/// Maximum round of provisional views at one log offset.
const MAX_PROVISIONAL_ROUND: u64 = 0xfff;

impl ZoneMember {
    /// Starts a view change if one is needed and this instance's proposer delay has passed.
    pub(super) fn consider_change(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        if self.drained || now < self.attempt.not_before {
            return;
        }
        if self.awaits_proposer(now) {
            return;
        }
        let desired = self.desired_members(now);
        let needed = match self.installed {
            Some(_) => self.needs_change(now, &desired),
            None => self.needs_bootstrap(now),
        };
        if !needed {
            self.attempt.needed_since = None;
            return;
        }
        let since = *self.attempt.needed_since.get_or_insert(now);
        if now.since(since) < self.proposer_delay(&desired) {
            return;
        }
        self.start_change(now, desired, actions);
    }

    /// Returns whether another proposer may still be collecting acknowledgements.
    fn awaits_proposer(&self, now: time::MonotonicTime) -> bool {
        self.promise.epoch() > self.installed_epoch()
            && now.since(self.clock.promised_at) < self.timing.proposal_timeout
    }

    /// Returns the members of the next view.
    fn desired_members(&self, now: time::MonotonicTime) -> Vec<name::InstanceName> {
        let installed = self.installed.iter().flat_map(|view| view.view().members.iter());
        let promised = self.promise.promised().filter(|_| self.installed.is_some());
        let promised = promised.into_iter().flat_map(|view| view.members.iter());
        let mut desired: Vec<_> = installed.chain(promised).cloned().collect();
        desired.push(self.own_name.clone());
        desired.sort_unstable();
        desired.dedup();
        desired.retain(|peer| self.may_be_member(peer, now));
        let joining = self.contacts.joining(now, JOIN_VALIDITY);
        let admitted =
            joining.filter(|peer| self.listing.lists_active(peer) && self.may_be_member(peer, now));
        for peer in admitted {
            if desired.len() < settings::MAX_GROUP_MEMBERS && !desired.contains(peer) {
                desired.push(peer.clone());
            }
        }
        desired.sort_unstable();
        desired
    }

    fn may_be_member(&self, peer: &name::InstanceName, now: time::MonotonicTime) -> bool {
        if *peer == self.own_name {
            return !self.is_draining();
        }
        !self.is_suspected(peer, now) && !self.contacts.is_leaving(peer)
    }

    fn needs_change(&self, now: time::MonotonicTime, desired: &[name::InstanceName]) -> bool {
        let Some(installed) = &self.installed else {
            return false;
        };
        let age = now.since(installed.installed_at);
        let restricted = installed.installed.grade != member::ViewGrade::Full;
        let on_log = installed.view().epoch.0 & 0xffff == 0;
        let changed = installed.view().members != desired;
        let abandoned = self.promise.epoch() > installed.view().epoch;
        let outdated = self.log.reachable
            && (restricted && age >= UPGRADE_INTERVAL
                || !on_log && age >= RELOG_DELAY
                || age >= self.timing.refresh_interval);
        (changed || abandoned || outdated) && self.can_reach_half(now)
    }

    /// Returns whether at least half of each predecessor seems reachable, so that a proposal can
    /// succeed.
    fn can_reach_half(&self, now: time::MonotonicTime) -> bool {
        let counts = |peer: &&name::InstanceName| {
            **peer == self.own_name
                || !self.is_suspected(peer, now)
                || self.log.reachable
                    && self.listing.is_removed(peer, now, self.timing.removal_time)
        };
        self.predecessors()
            .iter()
            .all(|view| 2 * view.members.iter().filter(counts).count() >= view.members.len())
    }

    /// Returns how long this instance waits for proposers of lower rank.
    fn proposer_delay(&self, desired: &[name::InstanceName]) -> std_time::Duration {
        let is_own = |peer: &name::InstanceName| *peer == self.own_name;
        let rank = match self.installed {
            Some(_) => desired.iter().position(is_own),
            None => self.listing.names().position(is_own),
        };
        self.timing.proposer_stagger * rank.unwrap_or(0).min(MAX_STAGGER_RANK) as u32
    }

    /// Returns the views that a proposal has to name as predecessors, as far as this instance
    /// knows.
    pub(super) fn predecessors(&self) -> Vec<member::ViewSummary> {
        let mut views = self.promise.open().to_vec();
        views.extend(self.attempt.learned_views.iter().cloned());
        if self.installed.is_none() {
            views.extend(self.head_view());
        }
        views.sort_unstable_by_key(|view| view.epoch);
        views.dedup();
        views
    }

    fn head_view(&self) -> Option<member::ViewSummary> {
        let head = self.log.records.head(self.group?)?;
        Some(member::ViewSummary {
            epoch: id::FencingNumber::new(head.offset, 0),
            members: head.record.members.clone(),
            roster: head.record.members.clone(),
        })
    }

    fn start_change(
        &mut self,
        now: time::MonotonicTime,
        desired: Vec<name::InstanceName>,
        actions: &mut ActionList,
    ) {
        let Some(group) = self.group else {
            return;
        };
        let predecessors = self.predecessors();
        if self.log.reachable {
            self.append_view(now, group, desired, predecessors, actions);
            return;
        }
        let Some(view) = self.provisional_view(desired) else {
            self.fail_attempt(now);
            return;
        };
        let proposal = member::ViewProposal { group, view, predecessors };
        self.start_collection(now, proposal, actions);
    }

    fn append_view(
        &mut self,
        now: time::MonotonicTime,
        group: member::GroupNumber,
        members: Vec<name::InstanceName>,
        predecessors: Vec<member::ViewSummary>,
        actions: &mut ActionList,
    ) {
        let head = self.log.records.head(group);
        let base = head.map(|head| head.offset);
        let height = head.map_or(0, |head| head.record.height + 1);
        let record = record::ViewRecord {
            record_id: self.new_record_id(),
            zone: self.zone.clone(),
            group,
            base,
            height,
            members,
        };
        let text = serde_json::to_string(&record).expect("view records are serializable");
        let record_id = record.record_id;
        let pending = PendingRecord { record, predecessors, started_at: now };
        self.attempt.stage = ChangeStage::Appending(pending);
        actions.push(event::MemberAction::AppendView { record_id, text });
    }

    pub(super) fn handle_append(
        &mut self,
        now: time::MonotonicTime,
        record_id: uuid::Uuid,
        outcome: event::AppendOutcome,
        actions: &mut ActionList,
    ) {
        let ChangeStage::Appending(pending) = &self.attempt.stage else {
            return;
        };
        if pending.record.record_id != record_id {
            return;
        }
        match outcome {
            event::AppendOutcome::Done(_) => self.check_pending_record(now, actions),
            event::AppendOutcome::Failed => {
                self.log.reachable = false;
                self.fail_attempt(now);
            }
            event::AppendOutcome::Unknown => {}
        }
    }

    /// Continues the change once its record was read back as the newest valid one, and abandons it
    /// if another record was.
    pub(super) fn check_pending_record(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut ActionList,
    ) {
        let ChangeStage::Appending(pending) = &self.attempt.stage else {
            return;
        };
        let group = pending.record.group;
        let head = self.log.records.head(group);
        let Some(head) = head.filter(|head| Some(head.offset) != pending.record.base) else {
            return;
        };
        if head.record.record_id != pending.record.record_id {
            self.fail_attempt(now);
            return;
        }
        let members = head.record.members.clone();
        let epoch = id::FencingNumber::new(head.offset, 0);
        let view = member::ViewSummary { epoch, roster: members.clone(), members };
        let predecessors = pending.predecessors.clone();
        let proposal = member::ViewProposal { group, view, predecessors };
        self.start_collection(now, proposal, actions);
    }

    /// Returns a view with a unique epoch above all known ones; `None` if the epochs of this offset
    /// are exhausted or this instance has no record of accepted views or no rank in the roster.
    fn provisional_view(&self, members: Vec<name::InstanceName>) -> Option<member::ViewSummary> {
        let refusal = self.attempt.newest_refusal.as_ref();
        let newest = self.promise.promised().into_iter().chain(refusal);
        let newest = newest.max_by_key(|view| view.epoch)?;
        let rank = newest.roster.iter().position(|peer| *peer == self.own_name)? as u64;
        let offset = id::LogOffset(newest.epoch.0 >> 16);
        let round = ((newest.epoch.0 & 0xffff) >> PROPOSER_BITS) + 1;
        if round > MAX_PROVISIONAL_ROUND || self.promise.has_forgotten() {
            return None;
        }
        let counter = (round << PROPOSER_BITS | rank) as u16;
        let epoch = id::FencingNumber::new(offset, counter);
        Some(member::ViewSummary { epoch, members, roster: newest.roster.clone() })
    }

    fn new_record_id(&mut self) -> uuid::Uuid {
        let bytes = rand::RngExt::random::<u128>(&mut self.seed).to_be_bytes();
        uuid::Builder::from_random_bytes(bytes).into_uuid()
    }
}

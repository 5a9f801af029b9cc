//! View changes: answering proposals, collecting acknowledgements, installing views.

use std::time as std_time;

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;
use rand::RngExt as _;

use super::{ActionList, ChangeStage, ZoneMember, heartbeat};
use crate::{event, handover, proposal};

/// Minimum time, in milliseconds, that all reachable instances get to answer.
const ANSWER_GRACE_MS: u64 = 250;
/// Interval between resends of a proposal to instances that have not answered.
const PROPOSAL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(150);
/// Initial and maximum backoff after failed attempts, in milliseconds.
const BACKOFF_MS: (u64, u64) = (100, 5_000);

impl ZoneMember {
    pub(super) fn answer_proposal(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        proposal: &member::ViewProposal,
        actions: &mut ActionList,
    ) {
        if !self.concerns_group(proposal) {
            let message = member::MemberMessage::OtherGroup { epoch: proposal.view.epoch };
            heartbeat::send(sender, message, actions);
            return;
        }
        if !self.may_adopt(proposal.view.epoch) {
            return;
        }
        let answer = match self.accept_proposal(now, proposal) {
            Ok(accept) => {
                self.drop_superseded_round(proposal.view.epoch);
                member::MemberMessage::Accept(accept)
            }
            Err(reject) => member::MemberMessage::Reject(reject),
        };
        heartbeat::send(sender, answer, actions);
    }

    /// Ends the collection for a view if this instance itself accepted a newer one.
    fn drop_superseded_round(&mut self, epoch: id::FencingNumber) {
        if let ChangeStage::Collecting(round) = &self.attempt.stage
            && round.proposal().view.epoch < epoch
        {
            self.attempt.stage = ChangeStage::Idle;
        }
    }

    /// Accepts a proposal, which ends this instance's leases of older views.
    pub(super) fn accept_proposal(
        &mut self,
        now: time::MonotonicTime,
        proposal: &member::ViewProposal,
    ) -> Result<member::ProposalAccept, member::ProposalReject> {
        let was_active = self.mode(now) != event::MemberMode::Inactive;
        let known_since = self.promise.accept(proposal)?;
        if was_active {
            self.clock.lease_held_until = self.clock.lease_held_until.max(now);
        }
        self.clock.promised_at = now;
        self.group = Some(proposal.group);
        Ok(member::ProposalAccept {
            epoch: proposal.view.epoch,
            known_since,
            quiescent: now >= self.clock.lease_held_until + self.timing.order_delay,
            grants: self.leases.grant_ages(now, self.timing.lease_expiry()),
        })
    }

    pub(super) fn handle_accept(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        accept: member::ProposalAccept,
    ) {
        if let ChangeStage::Collecting(round) = &mut self.attempt.stage
            && round.proposal().view.epoch == accept.epoch
        {
            round.add_accept(now, sender, accept);
        }
    }

    pub(super) fn handle_bystander(
        &mut self,
        sender: name::InstanceName,
        epoch: id::FencingNumber,
    ) {
        if let ChangeStage::Collecting(round) = &mut self.attempt.stage
            && round.proposal().view.epoch == epoch
        {
            round.add_bystander(sender);
        }
    }

    /// Records the views to include as predecessors, and backs off before the next attempt.
    pub(super) fn handle_reject(
        &mut self,
        now: time::MonotonicTime,
        reject: member::ProposalReject,
    ) {
        let ChangeStage::Collecting(round) = &self.attempt.stage else {
            return;
        };
        if round.proposal().view.epoch != reject.epoch {
            return;
        }
        for view in reject.open {
            if !self.attempt.learned_views.contains(&view) {
                self.attempt.learned_views.push(view);
            }
        }
        let newest = self.attempt.newest_refusal.take().into_iter().chain(reject.promised);
        self.attempt.newest_refusal = newest.max_by_key(|view| view.epoch);
        self.fail_attempt(now);
    }

    /// Abandons the attempt and backs off exponentially, with jitter.
    pub(super) fn fail_attempt(&mut self, now: time::MonotonicTime) {
        let (first, longest) = BACKOFF_MS;
        let ceiling = (first << self.attempt.failures.min(10)).min(longest);
        let wait = self.seed.random_range(ceiling / 2..=ceiling);
        self.attempt.stage = ChangeStage::Idle;
        self.attempt.failures += 1;
        self.clock.promised_at = time::MonotonicTime(0);
        self.attempt.not_before = now + std_time::Duration::from_millis(wait);
    }

    /// Advances the view change that this instance is proposing, or starts one if needed.
    pub(super) fn advance_change(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        match &self.attempt.stage {
            ChangeStage::Idle => self.consider_change(now, actions),
            ChangeStage::Appending(pending) => {
                if now.since(pending.started_at) >= self.timing.append_timeout {
                    self.log.reachable = false;
                    self.fail_attempt(now);
                }
            }
            ChangeStage::Collecting(_) => self.advance_collection(now, actions),
        }
    }

    /// Starts collecting acknowledgements, beginning with this instance's own.
    pub(super) fn start_collection(
        &mut self,
        now: time::MonotonicTime,
        proposal: member::ViewProposal,
        actions: &mut ActionList,
    ) {
        let is_bootstrap = self.installed.is_none();
        let mut round = proposal::ProposalRound::new(proposal.clone(), is_bootstrap, now);
        let Ok(accept) = self.accept_proposal(now, &proposal) else {
            self.fail_attempt(now);
            return;
        };
        round.add_accept(now, self.own_name.clone(), accept);
        self.attempt.stage = ChangeStage::Collecting(round);
        self.clock.next_proposal = now + PROPOSAL_INTERVAL;
        self.send_proposal(actions);
    }

    /// Sends the proposal to all participants and listed instances that have not answered.
    pub(super) fn send_proposal(&self, actions: &mut ActionList) {
        let ChangeStage::Collecting(round) = &self.attempt.stage else {
            return;
        };
        let mut receivers = round.participants();
        receivers.extend(self.listing.names().take(MAX_LISTED_RECEIVERS).cloned());
        let unanswered = receivers.into_iter().filter(|peer| !round.has_answered(peer));
        for receiver in unanswered {
            let message = member::MemberMessage::Propose(round.proposal().clone());
            heartbeat::send(receiver, message, actions);
        }
    }

    fn repeat_proposal(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        if now >= self.clock.next_proposal {
            self.clock.next_proposal = now + PROPOSAL_INTERVAL;
            self.send_proposal(actions);
        }
    }

    fn advance_collection(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        let ChangeStage::Collecting(round) = &self.attempt.stage else {
            return;
        };
        let timed_out = round.age(now) >= self.timing.proposal_timeout;
        let participants = round.participants();
        let mut expected = participants
            .iter()
            .filter(|peer| **peer == self.own_name || !self.is_suspected(peer, now));
        let all_answered = expected.all(|peer| round.has_answered(peer));
        let grace_over = round.age(now).as_millis() as u64 >= ANSWER_GRACE_MS;
        let quorum = round.quorum(now, &self.listing, &self.timing);
        let outcome = match quorum {
            proposal::ProposalQuorum::Majority if all_answered || grace_over => {
                Some((member::ViewGrade::Full, false))
            }
            proposal::ProposalQuorum::MajorityWithRemoved => Some((member::ViewGrade::Full, true)),
            proposal::ProposalQuorum::Half { kept, of } if timed_out => {
                Some((member::ViewGrade::Restricted { kept, of }, false))
            }
            _ => None,
        };
        match outcome {
            Some((grade, presumed_gone)) => {
                let installed = round.installed_view(now, grade, presumed_gone);
                self.publish_view(now, installed, actions);
            }
            None if timed_out => self.fail_attempt(now),
            None => self.repeat_proposal(now, actions),
        }
    }

    fn publish_view(
        &mut self,
        now: time::MonotonicTime,
        installed: member::InstalledView,
        actions: &mut ActionList,
    ) {
        let ChangeStage::Collecting(round) = &self.attempt.stage else {
            return;
        };
        let mut receivers = round.participants();
        receivers.remove(&self.own_name);
        for receiver in receivers {
            let message = member::MemberMessage::Installed(installed.clone());
            heartbeat::send(receiver, message, actions);
        }
        self.attempt.stage = ChangeStage::Idle;
        self.install_view(now, installed, actions);
    }

    /// Installs an acknowledged view, and leaves it at once if this instance is not a member.
    pub(super) fn install_view(
        &mut self,
        now: time::MonotonicTime,
        installed: member::InstalledView,
        actions: &mut ActionList,
    ) {
        let epoch = installed.proposal.view.epoch;
        self.clock.view_heard_at = Some(now);
        let is_other_group = self.group.is_some_and(|group| group != installed.proposal.group);
        if is_other_group || epoch <= self.installed_epoch() || !self.may_adopt(epoch) {
            return;
        }
        if !self.promise.install(&installed) {
            return;
        }
        self.group = Some(installed.proposal.group);
        self.reset_attempt(now);
        self.leases.clear_acknowledged();
        self.clock.next_heartbeat = now;
        for peer in &installed.proposal.view.members {
            self.contacts.ensure_tracked(peer, now);
        }
        if !installed.proposal.view.members.contains(&self.own_name) {
            self.leave_view(now, actions);
            return;
        }
        self.installed = Some(handover::ViewHandover { installed, installed_at: now });
        actions.push(event::MemberAction::ViewChanged(self.view()));
    }

    /// Returns whether a proposal is for this instance's group. An instance without a group only
    /// answers proposals that include it as a member.
    fn concerns_group(&self, proposal: &member::ViewProposal) -> bool {
        match self.group {
            Some(group) => group == proposal.group,
            None => proposal.view.members.contains(&self.own_name),
        }
    }

    /// Resets the attempt after a view was installed.
    fn reset_attempt(&mut self, now: time::MonotonicTime) {
        self.attempt = super::ChangeAttempt { not_before: now, ..Default::default() };
    }

    pub(super) fn drop_superseded_views(&mut self, now: time::MonotonicTime) {
        let settled = self
            .installed
            .as_ref()
            .is_some_and(|view| view.older_leases_expired(now, &self.timing));
        if settled && self.promise.epoch() == self.installed_epoch() {
            self.promise.drop_older_views();
        }
    }
}

/// Maximum number of listed instances that a proposal is sent to besides its participants.
const MAX_LISTED_RECEIVERS: usize = 128;

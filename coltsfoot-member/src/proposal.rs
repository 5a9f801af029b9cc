//! Proposer state of a view change, which collects acknowledgements.

use std::{collections, time as std_time};

use coltsfoot_types::{name, time};
use coltsfoot_wire::member;

use crate::{contact, settings};

/// An acknowledgement and its time of arrival.
#[derive(Clone, Debug, Hash)]
struct ReceivedAccept {
    accept: member::ProposalAccept,
    received_at: time::MonotonicTime,
}

/// Quorum reached by a proposal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposalQuorum {
    /// Too few acknowledgements.
    Missing,
    /// At least half of each predecessor, but not a majority of each.
    Half {
        /// Members that acknowledged, of the predecessor with the lowest ratio.
        kept: u8,
        /// All members of that predecessor.
        of: u8,
    },
    /// A majority of each predecessor, without counting removed members.
    Majority,
    /// A majority of each predecessor, including members that the platform removed.
    MajorityWithRemoved,
}

/// A proposed view and the acknowledgements collected for it.
#[derive(Clone, Debug, Hash)]
pub struct ProposalRound {
    proposal: member::ViewProposal,
    is_bootstrap: bool,
    started_at: time::MonotonicTime,
    accepts: collections::BTreeMap<name::InstanceName, ReceivedAccept>,
    bystanders: collections::BTreeSet<name::InstanceName>,
}

impl ProposalRound {
    /// Starts collecting. A proposer without a view sets `is_bootstrap`: it can't know all views
    /// that may be active, so all listed instances have to answer.
    pub fn new(
        proposal: member::ViewProposal,
        is_bootstrap: bool,
        started_at: time::MonotonicTime,
    ) -> Self {
        Self {
            proposal,
            is_bootstrap,
            started_at,
            accepts: collections::BTreeMap::new(),
            bystanders: collections::BTreeSet::new(),
        }
    }

    /// Returns the proposed view with its predecessors.
    pub fn proposal(&self) -> &member::ViewProposal {
        &self.proposal
    }

    /// Returns the time since the round started.
    pub fn age(&self, now: time::MonotonicTime) -> std_time::Duration {
        now.since(self.started_at)
    }

    /// Records an acknowledgement; repeated ones are ignored.
    pub fn add_accept(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        accept: member::ProposalAccept,
    ) {
        let received = ReceivedAccept { accept, received_at: now };
        self.accepts.entry(sender).or_insert(received);
    }

    /// Records that an instance belongs to another group, which counts as an answer.
    pub fn add_bystander(&mut self, sender: name::InstanceName) {
        self.bystanders.insert(sender);
    }

    /// Returns whether an instance accepted or belongs to another group.
    pub fn has_answered(&self, peer: &name::InstanceName) -> bool {
        self.accepts.contains_key(peer) || self.bystanders.contains(peer)
    }

    /// Returns the members of the proposed view and of its predecessors.
    pub fn participants(&self) -> collections::BTreeSet<name::InstanceName> {
        let predecessors = self.proposal.predecessors.iter();
        let members = predecessors.flat_map(|view| view.members.iter());
        members.chain(&self.proposal.view.members).cloned().collect()
    }

    /// Returns the quorum reached so far.
    pub fn quorum(
        &self,
        now: time::MonotonicTime,
        listing: &contact::InstanceListing,
        timing: &settings::TimingSettings,
    ) -> ProposalQuorum {
        let predecessors = &self.proposal.predecessors;
        if !self.is_bootstrap && predecessors.iter().all(|view| self.has_majority(view, 0)) {
            return ProposalQuorum::Majority;
        }
        let may_count_removed = self.is_on_log() && self.all_listed_answered(now, listing);
        let with_removed = |view: &member::ViewSummary| {
            self.has_majority(view, self.removed_count(view, now, listing, timing))
        };
        if may_count_removed && predecessors.iter().all(with_removed) {
            return ProposalQuorum::MajorityWithRemoved;
        }
        if self.is_bootstrap {
            return ProposalQuorum::Missing;
        }
        let ratios =
            predecessors.iter().map(|view| (self.accepted_count(view), view.members.len()));
        let lowest = ratios.min_by(|left, right| (left.0 * right.1).cmp(&(right.0 * left.1)));
        match lowest {
            Some((kept, of)) if 2 * kept >= of => {
                ProposalQuorum::Half { kept: kept as u8, of: of as u8 }
            }
            _ => ProposalQuorum::Missing,
        }
    }

    /// Returns the message that announces the installed view.
    pub fn installed_view(
        &self,
        now: time::MonotonicTime,
        grade: member::ViewGrade,
        presumed_gone: bool,
    ) -> member::InstalledView {
        let accepts = self.accepts.iter();
        let released = accepts.map(|(instance, received)| member::ReleasedInstance {
            instance: instance.clone(),
            quiescent: received.accept.quiescent,
        });
        member::InstalledView {
            proposal: self.proposal.clone(),
            grade,
            released: released.collect(),
            grants: self.min_grant_ages(now),
            presumed_gone,
        }
    }

    fn min_grant_ages(&self, now: time::MonotonicTime) -> Vec<member::GrantAge> {
        let mut ages = collections::BTreeMap::new();
        for received in self.accepts.values() {
            let elapsed = now.since(received.received_at).as_millis() as u32;
            for grant in &received.accept.grants {
                let age = grant.age_ms.saturating_add(elapsed);
                let lowest = ages.entry(grant.instance.clone()).or_insert(age);
                *lowest = age.min(*lowest);
            }
        }
        let ages = ages.into_iter();
        ages.map(|(instance, age_ms)| member::GrantAge { instance, age_ms }).collect()
    }

    fn is_on_log(&self) -> bool {
        self.proposal.view.epoch.0 & 0xffff == 0
    }

    fn all_listed_answered(
        &self,
        now: time::MonotonicTime,
        listing: &contact::InstanceListing,
    ) -> bool {
        listing.is_current(now) && listing.names().all(|peer| self.has_answered(peer))
    }

    fn has_majority(&self, view: &member::ViewSummary, removed: usize) -> bool {
        view.members.is_empty() || 2 * (self.accepted_count(view) + removed) > view.members.len()
    }

    /// Counts the members that accepted and have a complete record of what they accepted since
    /// the view.
    fn accepted_count(&self, view: &member::ViewSummary) -> usize {
        view.members.iter().filter(|peer| self.counts_toward(peer, view)).count()
    }

    fn counts_toward(&self, peer: &name::InstanceName, view: &member::ViewSummary) -> bool {
        let received = self.accepts.get(peer);
        received.is_some_and(|received| received.accept.known_since <= view.epoch)
    }

    /// Counts the other members that the platform removed or whose record of accepted views is
    /// incomplete.
    fn removed_count(
        &self,
        view: &member::ViewSummary,
        now: time::MonotonicTime,
        listing: &contact::InstanceListing,
        timing: &settings::TimingSettings,
    ) -> usize {
        let uncounted = view.members.iter().filter(|peer| !self.counts_toward(peer, view));
        let removed = uncounted.filter(|peer| {
            self.accepts.contains_key(*peer) || listing.is_removed(peer, now, timing.removal_time)
        });
        removed.count()
    }
}

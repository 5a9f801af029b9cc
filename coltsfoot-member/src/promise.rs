//! Acceptor state of view changes: the newest accepted view and the views it supersedes.

use coltsfoot_types::id;
use coltsfoot_wire::member;

/// Acceptor state of one instance.
#[derive(Clone, Debug, Hash)]
pub struct PromiseState {
    promised: Option<member::ViewSummary>,
    open: Vec<member::ViewSummary>,
    known_since: Option<id::FencingNumber>,
}

impl Default for PromiseState {
    /// Returns the state of a new instance, which has a complete record of what it accepted.
    fn default() -> Self {
        Self { promised: None, open: Vec::new(), known_since: Some(id::FencingNumber(0)) }
    }
}

impl PromiseState {
    /// Returns the epoch of the newest accepted view, zero if there is none.
    pub fn epoch(&self) -> id::FencingNumber {
        self.promised.as_ref().map_or(id::FencingNumber(0), |view| view.epoch)
    }

    /// Returns the newest accepted view.
    pub fn promised(&self) -> Option<&member::ViewSummary> {
        self.promised.as_ref()
    }

    /// Returns the accepted views whose owners may still act.
    pub fn open(&self) -> &[member::ViewSummary] {
        &self.open
    }

    /// Returns whether the instance may acknowledge leases of an epoch, which must be that of the
    /// newest accepted view.
    pub fn acknowledges(&self, epoch: id::FencingNumber) -> bool {
        self.known_since.is_some() && epoch != id::FencingNumber(0) && epoch == self.epoch()
    }

    /// Accepts a proposal and returns the epoch since which the instance's record of accepted views
    /// is complete, or rejects it if it is outdated or misses an open view.
    pub fn accept(
        &mut self,
        proposal: &member::ViewProposal,
    ) -> Result<id::FencingNumber, member::ProposalReject> {
        let epoch = proposal.view.epoch;
        let repeated = self.promised.as_ref() == Some(&proposal.view);
        if !repeated && (epoch <= self.epoch() || !self.is_covered_by(proposal)) {
            return Err(self.reject(epoch));
        }
        if !repeated {
            self.promised = Some(proposal.view.clone());
            self.open.clone_from(&proposal.predecessors);
            self.open.push(proposal.view.clone());
        }
        Ok(*self.known_since.get_or_insert(epoch))
    }

    /// Installs an acknowledged view; returns false if a newer view was accepted.
    ///
    /// A restricted view may coexist with another view that this instance accepted, so it is only
    /// installed if it was accepted or covers all open views.
    pub fn install(&mut self, installed: &member::InstalledView) -> bool {
        let proposal = &installed.proposal;
        let epoch = proposal.view.epoch;
        let is_accepted = self.promised.as_ref() == Some(&proposal.view);
        let is_full = installed.grade == member::ViewGrade::Full;
        if epoch < self.epoch() || !is_full && !is_accepted && !self.is_covered_by(proposal) {
            return false;
        }
        assert!(
            epoch > self.epoch() || is_accepted,
            "two views share the epoch {epoch}; give each instance a unique name"
        );
        self.promised = Some(proposal.view.clone());
        self.open.clone_from(&proposal.predecessors);
        self.open.push(proposal.view.clone());
        self.known_since.get_or_insert(epoch);
        true
    }

    /// Drops all open views but the newest, once the older leases have expired.
    pub fn drop_older_views(&mut self) {
        let epoch = self.epoch();
        self.open.retain(|view| view.epoch == epoch);
    }

    /// Forgets the open views, since the other members may have continued without this instance.
    /// The epoch is kept.
    pub fn forget(&mut self) {
        self.open.clear();
        self.known_since = None;
    }

    /// Returns whether the record of accepted views was dropped by [`Self::forget`].
    pub fn has_forgotten(&self) -> bool {
        self.known_since.is_none()
    }

    fn is_covered_by(&self, proposal: &member::ViewProposal) -> bool {
        self.open.iter().all(|view| {
            proposal.predecessors.iter().any(|predecessor| predecessor.epoch == view.epoch)
        })
    }

    fn reject(&self, epoch: id::FencingNumber) -> member::ProposalReject {
        member::ProposalReject { epoch, promised: self.promised.clone(), open: self.open.clone() }
    }
}

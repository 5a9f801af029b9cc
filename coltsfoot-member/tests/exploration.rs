//! Bounded model checking of view changes among a few members, in abstract time.
//!
//! The model runs the real acceptor and proposer state. Any message may be delayed or lost, any
//! member may propose at any time, and time only passes where leases are declared expired.

use std::{collections, hash};

use coltsfoot_member::{contact, promise, proposal, settings};
use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;
use rstest::rstest;

const NOW: time::MonotonicTime = time::MonotonicTime(0);

/// A proposal in progress.
#[derive(Clone, Hash)]
struct ModelRound {
    proposer: usize,
    round: proposal::ProposalRound,
    closed: bool,
}

/// A view that reached its quorum and was published.
#[derive(Clone, Hash)]
struct ModelView {
    installed: member::InstalledView,
    /// Whether all leases of the view have expired.
    is_expired: bool,
    /// Whether the leases of all older views have expired since it was published.
    older_expired: bool,
}

/// State of all members, proposals and published views.
#[derive(Clone, Hash)]
struct ModelState {
    promises: Vec<promise::PromiseState>,
    installed_epochs: Vec<id::FencingNumber>,
    learned_views: Vec<Vec<member::ViewSummary>>,
    rounds: Vec<ModelRound>,
    views: Vec<ModelView>,
}

fn member_name(index: usize) -> name::InstanceName {
    format!("member-{index}").into()
}

fn epoch(counter: usize) -> id::FencingNumber {
    id::FencingNumber::new(id::LogOffset(1), counter as u16)
}

fn initial_state(size: usize) -> ModelState {
    let members: Vec<_> = (0..size).map(member_name).collect();
    let view = member::ViewSummary { epoch: epoch(0), roster: members.clone(), members };
    let proposal =
        member::ViewProposal { group: member::GroupNumber(0), view, predecessors: Vec::new() };
    let installed = member::InstalledView {
        proposal,
        grade: member::ViewGrade::Full,
        released: Vec::new(),
        grants: Vec::new(),
        presumed_gone: false,
    };
    let mut promise = promise::PromiseState::default();
    assert!(promise.install(&installed));
    ModelState {
        promises: vec![promise; size],
        installed_epochs: vec![epoch(0); size],
        learned_views: vec![Vec::new(); size],
        rounds: Vec::new(),
        views: vec![ModelView { installed, is_expired: false, older_expired: true }],
    }
}

impl ModelState {
    fn key(&self) -> u128 {
        let half = |salt: u8| {
            let mut hasher = hash::DefaultHasher::new();
            hash::Hash::hash(&(salt, self), &mut hasher);
            u128::from(hash::Hasher::finish(&hasher))
        };
        half(0) << 64 | half(1)
    }

    fn successors(&self, max_rounds: usize) -> Vec<Self> {
        let mut states = Vec::new();
        if self.rounds.is_empty() {
            // All other first proposals are equivalent by symmetry.
            return self.propose(0, Some(self.promises.len() - 1)).into_iter().collect();
        }
        for index in 0..self.promises.len() {
            if self.rounds.len() < max_rounds {
                states.extend(self.propose(index, None));
                for excluded in (0..self.promises.len()).filter(|other| *other != index) {
                    states.extend(self.propose(index, Some(excluded)));
                }
            }
            states.extend((0..self.rounds.len()).flat_map(|round| self.answer(round, index)));
            states.extend((0..self.views.len()).filter_map(|view| self.install(view, index)));
            states.extend(self.drop_older_views(index));
        }
        states.extend((0..self.rounds.len()).filter_map(|round| self.publish(round)));
        states.extend((0..self.views.len()).filter_map(|view| self.expire_leases(view)));
        states
    }

    fn propose(&self, proposer: usize, excluded: Option<usize>) -> Option<Self> {
        let mut state = self.clone();
        let names = (0..self.promises.len()).filter(|index| Some(*index) != excluded);
        let members: Vec<_> = names.map(member_name).collect();
        let mut predecessors = self.promises[proposer].open().to_vec();
        predecessors.extend(self.learned_views[proposer].iter().cloned());
        predecessors.sort_unstable_by_key(|view| view.epoch);
        predecessors.dedup();
        let newest = predecessors.last()?.epoch.max(self.promises[proposer].epoch());
        let round = (newest.0 as usize & 0xffff) / 16 + 1;
        let roster = (0..self.promises.len()).map(member_name).collect();
        let view = member::ViewSummary { epoch: epoch(round * 16 + proposer), members, roster };
        let proposal = member::ViewProposal { group: member::GroupNumber(0), view, predecessors };
        for round in state.rounds.iter_mut().filter(|round| round.proposer == proposer) {
            round.closed = true;
        }
        let mut round = proposal::ProposalRound::new(proposal.clone(), false, NOW);
        let known_since = state.promises[proposer].accept(&proposal).ok()?;
        round.add_accept(NOW, member_name(proposer), accept(&proposal, known_since));
        state.rounds.push(ModelRound { proposer, round, closed: false });
        Some(state)
    }

    /// A member receives a proposal; its answer arrives or is lost.
    fn answer(&self, round: usize, index: usize) -> Vec<Self> {
        let name = member_name(index);
        if self.rounds[round].round.has_answered(&name) {
            return Vec::new();
        }
        let mut lost = self.clone();
        let proposal = self.rounds[round].round.proposal().clone();
        let answer = lost.promises[index].accept(&proposal);
        let mut arrived = lost.clone();
        let entry = &mut arrived.rounds[round];
        match answer {
            Ok(known_since) => {
                entry.round.add_accept(NOW, name, accept(&proposal, known_since));
                lost.drop_rounds(index, round);
                arrived.drop_rounds(index, round);
            }
            Err(_) if entry.closed => return Vec::new(),
            Err(reject) => {
                entry.closed = true;
                let proposer = entry.proposer;
                let learned_views = &mut arrived.learned_views[proposer];
                learned_views.extend(reject.open);
                learned_views.sort_unstable_by_key(|view| view.epoch);
                learned_views.dedup();
                return vec![arrived];
            }
        }
        vec![lost, arrived]
    }

    /// A member that accepts another proposal closes its own.
    fn drop_rounds(&mut self, proposer: usize, accepted: usize) {
        for (index, round) in self.rounds.iter_mut().enumerate() {
            round.closed |= round.proposer == proposer && index != accepted;
        }
    }

    fn publish(&self, round: usize) -> Option<Self> {
        let entry = &self.rounds[round];
        let listing = contact::InstanceListing::default();
        let timing = settings::TimingSettings::default();
        let quorum = entry.round.quorum(NOW, &listing, &timing);
        let grade = match quorum {
            _ if entry.closed => return None,
            proposal::ProposalQuorum::Missing => return None,
            proposal::ProposalQuorum::MajorityWithRemoved => panic!("no instance was listed"),
            proposal::ProposalQuorum::Majority => member::ViewGrade::Full,
            proposal::ProposalQuorum::Half { kept, of } => {
                member::ViewGrade::Restricted { kept, of }
            }
        };
        let mut state = self.clone();
        state.rounds[round].closed = true;
        let installed = entry.round.installed_view(NOW, grade, false);
        let proposer = entry.proposer;
        state.views.push(ModelView { installed, is_expired: false, older_expired: false });
        state.check_handover_waits();
        let last = state.views.len() - 1;
        Some(state.install(last, proposer).unwrap_or(state))
    }

    fn install(&self, view: usize, index: usize) -> Option<Self> {
        let installed = &self.views[view].installed;
        let view_epoch = installed.proposal.view.epoch;
        let mut state = self.clone();
        if view_epoch <= self.installed_epochs[index] || !state.promises[index].install(installed) {
            return None;
        }
        state.installed_epochs[index] = view_epoch;
        state.learned_views[index].clear();
        Some(state)
    }

    /// Advances time until the leases of all views that can't be renewed have expired.
    fn expire_leases(&self, view: usize) -> Option<Self> {
        let newest = &self.views[view];
        if newest.older_expired || newest.installed.grade != member::ViewGrade::Full {
            return None;
        }
        let mut state = self.clone();
        for index in 0..self.views.len() {
            state.views[index].is_expired = !self.is_renewable(&self.views[index].installed);
        }
        state.views[view].older_expired = true;
        Some(state)
    }

    fn drop_older_views(&self, index: usize) -> Option<Self> {
        let held = self
            .views
            .iter()
            .find(|view| view.installed.proposal.view.epoch == self.installed_epochs[index])?;
        let is_newest = self.promises[index].epoch() == self.installed_epochs[index];
        if !held.older_expired || !is_newest || self.promises[index].open().len() == 1 {
            return None;
        }
        let mut state = self.clone();
        state.promises[index].drop_older_views();
        Some(state)
    }

    /// Returns whether a majority can still renew the leases of a view.
    fn is_renewable(&self, installed: &member::InstalledView) -> bool {
        let view = &installed.proposal.view;
        let acknowledging = (0..self.promises.len()).filter(|index| {
            view.members.contains(&member_name(*index))
                && self.promises[*index].acknowledges(view.epoch)
        });
        2 * acknowledging.count() > view.members.len()
    }

    /// Checks that the newest view waits for the leases of each older view that may be in use,
    /// unless both are restricted halves.
    fn check_handover_waits(&self) {
        let Some((newest, older)) = self.views.split_last() else {
            return;
        };
        for view in older.iter().filter(|view| !view.is_expired) {
            let view_epoch = view.installed.proposal.view.epoch;
            let newest_view = &newest.installed.proposal;
            if view_epoch > newest_view.view.epoch {
                continue;
            }
            let waits = newest_view.predecessors.iter().any(|known| known.epoch == view_epoch);
            let halves = proportion(&view.installed) + proportion(&newest.installed) <= 1.0;
            assert!(waits || halves, "{:?} does not wait for {view_epoch}", newest_view.view.epoch);
        }
    }

    fn check_invariants(&self) {
        let live = self.views.iter().filter(|view| self.is_renewable(&view.installed));
        let sum: f64 = live.map(|view| proportion(&view.installed)).sum();
        assert!(sum <= 1.0, "several views can renew leases");
        let mut epochs: Vec<_> =
            self.rounds.iter().map(|round| round.round.proposal().view.epoch).collect();
        epochs.sort_unstable();
        assert!(epochs.windows(2).all(|pair| pair[0] < pair[1]), "two proposals share an epoch");
    }
}

fn proportion(installed: &member::InstalledView) -> f64 {
    match installed.grade {
        member::ViewGrade::Full => 1.0,
        member::ViewGrade::Restricted { kept, of } => f64::from(kept) / f64::from(of),
    }
}

fn accept(
    proposal: &member::ViewProposal,
    known_since: id::FencingNumber,
) -> member::ProposalAccept {
    let epoch = proposal.view.epoch;
    member::ProposalAccept { epoch, known_since, quiescent: false, grants: Vec::new() }
}

#[rstest]
#[case::two_members(2, 3, 1_000)]
#[case::three_members(3, 2, 10_000)]
#[case::four_members(4, 1, 500)]
fn at_most_one_view_can_renew_leases(
    #[case] size: usize,
    #[case] max_rounds: usize,
    #[case] min_states: usize,
) {
    let mut seen = collections::HashSet::new();
    let mut frontier = vec![initial_state(size)];
    while let Some(state) = frontier.pop() {
        if !seen.insert(state.key()) {
            continue;
        }
        state.check_invariants();
        assert!(seen.len() < 3_000_000, "too many states; lower the bounds");
        frontier.extend(state.successors(max_rounds));
    }
    println!("{size} members, {max_rounds} proposals: {} states", seen.len());
    assert!(seen.len() > min_states, "only {} states were reached", seen.len());
}

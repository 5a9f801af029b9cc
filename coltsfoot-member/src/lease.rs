//! Lease acknowledgements received from and granted to other members.

use std::{collections, time as std_time};

use coltsfoot_types::{name, time};
use coltsfoot_wire::member;

/// Number of recent heartbeat rounds whose answers count.
const MAX_ROUNDS: usize = 8;

#[derive(Clone, Debug, Hash)]
struct HeartbeatRound {
    sequence: u32,
    sent_at: time::MonotonicTime,
}

/// Received and granted lease acknowledgements.
#[derive(Clone, Debug, Default, Hash)]
pub struct LeaseTable {
    rounds: collections::VecDeque<HeartbeatRound>,
    next_sequence: u32,
    acknowledged: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
    granted: collections::BTreeMap<name::InstanceName, time::MonotonicTime>,
}

impl LeaseTable {
    /// Starts a heartbeat round and returns its sequence number.
    pub fn begin_round(&mut self, now: time::MonotonicTime) -> u32 {
        self.next_sequence += 1;
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(HeartbeatRound { sequence: self.next_sequence, sent_at: now });
        self.next_sequence
    }

    /// Records an acknowledgement, which counts from when its round was sent.
    pub fn acknowledge(&mut self, peer: name::InstanceName, sequence: u32) {
        let Some(round) = self.rounds.iter().find(|round| round.sequence == sequence) else {
            return;
        };
        let since = self.acknowledged.entry(peer).or_insert(round.sent_at);
        *since = (*since).max(round.sent_at);
    }

    /// Clears acknowledgements and rounds after a change of epoch.
    pub fn clear_acknowledged(&mut self) {
        self.acknowledged.clear();
        self.rounds.clear();
    }

    /// Returns the time since which a majority acknowledges the lease, `None` without a majority.
    /// The instance's own acknowledgement counts from now.
    pub fn majority_since(
        &self,
        now: time::MonotonicTime,
        own_name: &name::InstanceName,
        members: &[name::InstanceName],
    ) -> Option<time::MonotonicTime> {
        let mut instants: Vec<_> = members
            .iter()
            .filter_map(|peer| match peer == own_name {
                true => Some(now),
                false => self.acknowledged.get(peer).copied(),
            })
            .collect();
        instants.sort_unstable_by(|left, right| right.cmp(left));
        instants.get(members.len() / 2).copied()
    }

    /// Records that this instance acknowledged a peer's lease.
    pub fn grant(&mut self, now: time::MonotonicTime, peer: name::InstanceName) {
        self.granted.insert(peer, now);
    }

    /// Removes grants older than `horizon` and returns the ages of the others.
    pub fn grant_ages(
        &mut self,
        now: time::MonotonicTime,
        horizon: std_time::Duration,
    ) -> Vec<member::GrantAge> {
        self.granted.retain(|_, granted_at| now.since(*granted_at) <= horizon);
        let grants = self.granted.iter();
        grants
            .map(|(peer, granted_at)| member::GrantAge {
                instance: peer.clone(),
                age_ms: now.since(*granted_at).as_millis() as u32,
            })
            .collect()
    }
}

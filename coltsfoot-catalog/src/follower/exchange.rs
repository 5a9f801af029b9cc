//! Gossip of the follower with its peers: probes, records and states.

use std::time;

use coltsfoot_types::{id, name, time::MonotonicTime};
use coltsfoot_wire::config::{self, ConfigMessage};

use super::{ConfigFollower, Confirmation};
use crate::{feed, gossip, replica};

/// Largest number of records that are pushed to peers.
const MAX_PUSH_RECORDS: usize = 64;
/// Largest size of records that are pushed to peers, in bytes.
const MAX_PUSH_BYTES: usize = 48 * 1024;

/// Records that were new, and whether the input had a gap.
pub(super) struct AppliedRecords {
    pub(super) added: Vec<config::ConfigRecord>,
    has_gap: bool,
}

impl ConfigFollower {
    /// Asks peers for their offset and the age of their configuration.
    pub(super) fn probe(&mut self, now: MonotonicTime, actions: &mut feed::FollowerActions) {
        let interval = match self.is_ready() {
            true => self.jittered(self.poll_interval),
            false => super::RESTORE_PROBE_INTERVAL,
        };
        self.probe_at = now + interval;
        for target in self.table.probe_targets(&self.zone, &mut self.rng) {
            self.send_probe(now, target, actions);
        }
    }

    pub(super) fn on_message(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        message: ConfigMessage,
        actions: &mut feed::FollowerActions,
    ) {
        match message {
            ConfigMessage::Probe { sequence, next_offset } => {
                self.on_probe(now, sender, sequence, next_offset, actions);
            }
            ConfigMessage::ProbeAnswer { sequence, next_offset, age } => {
                self.on_probe_answer(now, sender, sequence, next_offset, age, actions);
            }
            ConfigMessage::FetchRecords { from } => self.on_fetch(now, sender, from, actions),
            ConfigMessage::Records { records, next_offset } => {
                self.on_records(now, sender, records, next_offset, actions);
            }
            ConfigMessage::FetchChunk { offset, number } => {
                if let Some(chunk) = self.offer.chunk(now, offset, number) {
                    send(sender, ConfigMessage::StateChunk { chunk }, actions);
                }
            }
            ConfigMessage::StateChunk { chunk } => self.on_chunk(now, sender, &chunk, actions),
        }
    }

    /// Applies records and caches the new ones for peers.
    pub(super) fn apply(
        &mut self,
        records: Vec<config::ConfigRecord>,
        actions: &mut feed::FollowerActions,
    ) -> AppliedRecords {
        let mut applied = AppliedRecords { added: Vec::new(), has_gap: false };
        for record in records {
            let outcome = self.replica.apply(record.offset, &record.value);
            match outcome {
                replica::ApplyOutcome::Skipped => continue,
                replica::ApplyOutcome::Gap { .. } => {
                    applied.has_gap = true;
                    break;
                }
                _ => {}
            }
            actions.extend(report(record.offset, outcome).map(feed::FollowerAction::Report));
            self.cache.push(record.clone());
            applied.added.push(record);
        }
        applied
    }

    /// Forwards new records to a few peers. More than fits the limits is left to their probes.
    pub(super) fn push_records(
        &mut self,
        added: &[config::ConfigRecord],
        except: Option<&name::InstanceName>,
        actions: &mut feed::FollowerActions,
    ) {
        let bytes: usize = added.iter().map(|record| record.value.len()).sum();
        let is_short = added.len() <= MAX_PUSH_RECORDS && bytes <= MAX_PUSH_BYTES;
        if added.is_empty() || !is_short || !self.is_ready() {
            return;
        }
        let next_offset = self.replica.next_offset();
        for target in self.table.push_targets(except, &mut self.rng) {
            let records = added.to_vec();
            send(target, ConfigMessage::Records { records, next_offset }, actions);
        }
    }

    fn send_probe(
        &mut self,
        now: MonotonicTime,
        target: name::InstanceName,
        actions: &mut feed::FollowerActions,
    ) {
        let sequence = self.table.open_probe(now);
        let next_offset = self.replica.next_offset();
        send(target, ConfigMessage::Probe { sequence, next_offset }, actions);
    }

    fn on_probe(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        sequence: u64,
        peer_offset: id::LogOffset,
        actions: &mut feed::FollowerActions,
    ) {
        let next_offset = self.replica.next_offset();
        if peer_offset > next_offset {
            self.fetch_records(now, sender.clone(), actions);
        }
        let age = self.staleness(now);
        send(sender, ConfigMessage::ProbeAnswer { sequence, next_offset, age }, actions);
    }

    /// Fetches records that only the peer has, or else adopts the age of its configuration.
    fn on_probe_answer(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        sequence: u64,
        peer_offset: id::LogOffset,
        age: Option<time::Duration>,
        actions: &mut feed::FollowerActions,
    ) {
        let Some(sent_at) = self.table.probe_sent_at(sequence) else { return };
        if peer_offset > self.replica.next_offset() {
            self.fetch_records(now, sender, actions);
            return;
        }
        if let Some(age) = age {
            self.confirm(now, Confirmation { at: sent_at, age });
        }
    }

    fn fetch_records(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        actions: &mut feed::FollowerActions,
    ) {
        if self.fetch.as_ref().is_some_and(|fetch| !fetch.has_stalled(now)) {
            return;
        }
        let from = self.replica.next_offset();
        send(sender, ConfigMessage::FetchRecords { from }, actions);
    }

    fn on_fetch(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        from: id::LogOffset,
        actions: &mut feed::FollowerActions,
    ) {
        let next_offset = self.replica.next_offset();
        if from >= next_offset {
            return;
        }
        if let Some(records) = self.cache.from(from) {
            send(sender, ConfigMessage::Records { records, next_offset }, actions);
            return;
        }
        let chunk = self.offer.first_chunk(now, &self.replica, from);
        if let Some(chunk) = chunk {
            send(sender, ConfigMessage::StateChunk { chunk }, actions);
        }
    }

    fn on_records(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        records: Vec<config::ConfigRecord>,
        peer_offset: id::LogOffset,
        actions: &mut feed::FollowerActions,
    ) {
        let applied = self.apply(records, actions);
        self.push_records(&applied.added, Some(&sender), actions);
        let has_progress = applied.has_gap || !applied.added.is_empty();
        if has_progress && peer_offset > self.replica.next_offset() {
            self.fetch_records(now, sender, actions);
        }
    }

    fn on_chunk(
        &mut self,
        now: MonotonicTime,
        sender: name::InstanceName,
        chunk: &[u8],
        actions: &mut feed::FollowerActions,
    ) {
        let fetch = self.fetch.take().filter(|fetch| !fetch.has_stalled(now));
        let mut fetch = fetch.unwrap_or_else(|| gossip::StateFetch::new(sender.clone(), now));
        if !fetch.is_from(&sender) {
            self.fetch = Some(fetch);
            return;
        }
        match fetch.add(now, chunk, self.replica.next_offset()) {
            gossip::FetchStep::Fetch(message) => {
                self.fetch = Some(fetch);
                send(sender, message, actions);
            }
            gossip::FetchStep::Restored(replica) => {
                self.replace_replica(*replica);
                self.send_probe(now, sender, actions);
            }
            gossip::FetchStep::Dropped => {}
        }
    }
}

fn report(offset: id::LogOffset, outcome: replica::ApplyOutcome) -> Option<feed::ApplyReport> {
    match outcome {
        replica::ApplyOutcome::Accepted { touched } => {
            Some(feed::ApplyReport::Accepted { offset, objects: touched.len() })
        }
        replica::ApplyOutcome::Rejected(reason) => {
            Some(feed::ApplyReport::Rejected { offset, reason: reason.to_string() })
        }
        _ => None,
    }
}

fn send(to: name::InstanceName, message: ConfigMessage, actions: &mut feed::FollowerActions) {
    actions.push(feed::FollowerAction::Send { to, message });
}

//! Heartbeats: lease requests and acknowledgements, and probes of silent instances.

use std::time as std_time;

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;
use rand::seq::SliceRandom as _;

use super::{ActionList, ZoneMember};
use crate::event;

/// Maximum number of live peers probed per heartbeat round.
const HEARTBEAT_FANOUT: usize = 4;
/// Interval between rounds of indirect probes.
const INDIRECT_INTERVAL: std_time::Duration = std_time::Duration::from_millis(300);
/// Number of instances asked about each silent one.
const INDIRECT_FANOUT: usize = 2;

impl ZoneMember {
    /// Starts a heartbeat round when it is due. Rounds cycle through the live peers, and also probe
    /// one unreachable peer.
    pub(super) fn send_heartbeats(&mut self, now: time::MonotonicTime, actions: &mut ActionList) {
        if now < self.clock.next_heartbeat || self.installed.is_none() {
            return;
        }
        self.clock.next_heartbeat = now + self.timing.heartbeat_interval;
        let sequence = self.leases.begin_round(now);
        let peers = self.live_peers(now);
        let start = self.clock.heartbeat_offset;
        let count = peers.len().min(HEARTBEAT_FANOUT);
        for step in 0..count {
            let receiver = peers[start.wrapping_add(step) % peers.len()].clone();
            self.send_probe(sequence, receiver, actions);
        }
        self.clock.heartbeat_offset = start.wrapping_add(count);
        let unreachable = self.unreachable_peers(now);
        if !unreachable.is_empty() {
            let receiver = unreachable[sequence as usize % unreachable.len()].clone();
            self.send_probe(sequence, receiver, actions);
        }
    }

    /// Probes silent instances directly and through other members.
    pub(super) fn send_indirect_probes(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut ActionList,
    ) {
        if now < self.clock.next_indirect {
            return;
        }
        self.clock.next_indirect = now + INDIRECT_INTERVAL;
        let peers = self.live_peers(now);
        let is_silent = |peer: &name::InstanceName| {
            self.contacts.silence(peer, now) >= self.timing.indirect_probe_after
        };
        let (silent, mut heard): (Vec<_>, Vec<_>) = peers.into_iter().partition(is_silent);
        if silent.is_empty() {
            return;
        }
        let sequence = self.leases.begin_round(now);
        for target in silent {
            self.send_probe(sequence, target.clone(), actions);
            heard.shuffle(&mut self.seed);
            for receiver in heard.iter().take(INDIRECT_FANOUT) {
                let message = member::MemberMessage::IndirectProbe { target: target.clone() };
                send(receiver.clone(), message, actions);
            }
        }
    }

    pub(super) fn answer_probe(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        probe: &member::ProbeRequest,
        actions: &mut ActionList,
    ) {
        self.contacts.mark_leaving(&sender, probe.leaving);
        self.record_view_contact(now, probe.epoch);
        self.record_split_peer(now, &sender);
        let granted = self.promise.acknowledges(probe.epoch);
        if granted {
            self.leases.grant(now, sender.clone());
        }
        let answer = member::ProbeAnswer {
            sequence: probe.sequence,
            epoch: self.installed_epoch(),
            granted,
            leaving: self.is_draining(),
        };
        send(sender.clone(), member::MemberMessage::ProbeAnswer(answer), actions);
        self.send_newer_view(sender, probe.epoch, actions);
    }

    pub(super) fn handle_probe_answer(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        answer: &member::ProbeAnswer,
        actions: &mut ActionList,
    ) {
        self.contacts.mark_leaving(&sender, answer.leaving);
        self.record_view_contact(now, answer.epoch);
        self.record_split_peer(now, &sender);
        if answer.granted {
            self.leases.acknowledge(sender.clone(), answer.sequence);
            self.record_lease_end(now);
        }
        self.send_newer_view(sender, answer.epoch, actions);
    }

    pub(super) fn answer_indirect(
        &mut self,
        now: time::MonotonicTime,
        sender: name::InstanceName,
        target: name::InstanceName,
        actions: &mut ActionList,
    ) {
        let silence = self.contacts.silence(&target, now);
        if silence < self.timing.suspect_after {
            let age_ms = silence.as_millis() as u32;
            send(sender, member::MemberMessage::IndirectAnswer { target, age_ms }, actions);
        }
    }

    pub(super) fn handle_indirect_answer(
        &mut self,
        now: time::MonotonicTime,
        target: &name::InstanceName,
        age_ms: u32,
    ) {
        let age = std_time::Duration::from_millis(age_ms.into());
        self.contacts.record_contact(target, now - age);
    }

    /// Returns the epoch of the installed view, zero if there is none.
    pub(super) fn installed_epoch(&self) -> id::FencingNumber {
        self.installed.as_ref().map_or(id::FencingNumber(0), |view| view.view().epoch)
    }

    /// Returns the other members of the view that are not suspected.
    pub(super) fn live_peers(&self, now: time::MonotonicTime) -> Vec<name::InstanceName> {
        let Some(installed) = &self.installed else {
            return Vec::new();
        };
        let others = installed.view().members.iter().filter(|peer| **peer != self.own_name);
        others.filter(|peer| !self.is_suspected(peer, now)).cloned().collect()
    }

    /// Returns suspected members of the installed and the open views, which may become reachable
    /// again.
    fn unreachable_peers(&self, now: time::MonotonicTime) -> Vec<name::InstanceName> {
        let members = self.installed.iter().flat_map(|installed| &installed.view().members);
        let open = self.promise.open().iter().flat_map(|view| &view.members);
        let mut unreachable: Vec<_> = open
            .chain(members)
            .filter(|peer| **peer != self.own_name && self.is_suspected(peer, now))
            .cloned()
            .collect();
        unreachable.sort_unstable();
        unreachable.dedup();
        unreachable
    }

    pub(super) fn is_suspected(&self, peer: &name::InstanceName, now: time::MonotonicTime) -> bool {
        self.contacts.silence(peer, now) >= self.timing.suspect_after
    }

    fn send_probe(&self, sequence: u32, receiver: name::InstanceName, actions: &mut ActionList) {
        let probe = member::ProbeRequest {
            sequence,
            epoch: self.installed_epoch(),
            leaving: self.is_draining(),
        };
        send(receiver, member::MemberMessage::Probe(probe), actions);
    }

    /// Sends the installed view to a peer with an older one.
    pub(super) fn send_newer_view(
        &self,
        peer: name::InstanceName,
        epoch: id::FencingNumber,
        actions: &mut ActionList,
    ) {
        let Some(view) = &self.installed else {
            return;
        };
        if epoch < view.view().epoch {
            let message = member::MemberMessage::Installed(view.installed.clone());
            send(peer, message, actions);
        }
    }

    /// Treats contact from outside a restricted view as a join request, so that the halves of a
    /// split group merge again.
    fn record_split_peer(&mut self, now: time::MonotonicTime, sender: &name::InstanceName) {
        let Some(view) = &self.installed else {
            return;
        };
        let restricted = view.installed.grade != member::ViewGrade::Full;
        if restricted && !view.view().members.contains(sender) {
            self.contacts.record_join(sender, now);
        }
    }

    fn record_view_contact(&mut self, now: time::MonotonicTime, epoch: id::FencingNumber) {
        if epoch != id::FencingNumber(0) {
            self.clock.view_heard_at = Some(now);
        }
    }
}

/// Appends a send action.
pub(super) fn send(
    receiver: name::InstanceName,
    message: member::MemberMessage,
    actions: &mut ActionList,
) {
    actions.push(event::MemberAction::Send { receiver, message });
}

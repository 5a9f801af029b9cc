//! Simulated delivery of messages, reads of log and list, and appends.

use std::time as std_time;

use coltsfoot_types::name;
use coltsfoot_wire::member;
use rand::RngExt as _;

use super::{ScheduleRun, queue};
use crate::event;

/// Maximum delay of a read of the list, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;

impl ScheduleRun {
    pub(super) fn poll_log(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.frozen_until.is_some() || instance.ended {
            return;
        }
        let event = if self.now < self.log_outage_until || self.now < instance.platform_cut_until {
            event::MemberEvent::LogUnreachable
        } else {
            let records = self.platform.read(instance.log_position);
            instance.log_position = self.platform.len();
            event::MemberEvent::LogRead(records)
        };
        self.deliver(index, event);
    }

    pub(super) fn poll_list(&mut self, index: usize) {
        let lag = self.draw_millis(0, LIST_LAG_MS);
        let instance = &mut self.instances[index];
        if instance.frozen_until.is_some()
            || instance.ended
            || self.now < instance.platform_cut_until
        {
            return;
        }
        instance.list_seen_at = instance.list_seen_at.max(self.now - lag);
        let listed = self.platform.list_at(instance.list_seen_at);
        self.deliver(index, event::MemberEvent::ListRead(listed));
    }

    pub(super) fn append(&mut self, index: usize, record_id: uuid::Uuid, text: String) {
        let unreachable =
            self.now < self.log_outage_until || self.now < self.instances[index].platform_cut_until;
        let outcome = if unreachable {
            event::AppendOutcome::Failed
        } else if self.random.random_bool(0.05) {
            self.platform.append(text);
            event::AppendOutcome::Unknown
        } else {
            event::AppendOutcome::Done(self.platform.append(text))
        };
        self.deliver(index, event::MemberEvent::AppendEnded { record_id, outcome });
        if matches!(outcome, event::AppendOutcome::Done(_)) {
            self.poll_log(index);
        }
    }

    pub(super) fn unfreeze(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.frozen_until.is_none_or(|until| until > self.now) {
            return;
        }
        instance.frozen_until = None;
        let backlog = std::mem::take(&mut instance.backlog);
        self.check_ownership();
        for event in backlog {
            self.deliver(index, event);
            self.check_ownership();
        }
    }

    pub(super) fn deliver(&mut self, index: usize, event: event::MemberEvent) {
        let instance = &mut self.instances[index];
        if instance.ended {
            return;
        }
        if instance.frozen_until.is_some() {
            instance.backlog.push(event);
            return;
        }
        let local = instance.local(self.now);
        for action in instance.member.handle(local, event) {
            self.execute_action(index, action);
        }
    }

    pub(super) fn execute_action(&mut self, index: usize, action: event::MemberAction) {
        match action {
            event::MemberAction::Send { receiver, message } => {
                self.send(index, &receiver, message);
            }
            event::MemberAction::AppendView { record_id, text } => {
                let delay = self.draw_millis(5, 80);
                let delay = delay * if self.random.random_bool(0.03) { 30 } else { 1 };
                let step = queue::ScheduledStep::Append { instance: index, record_id, text };
                self.schedule(delay, step);
            }
            event::MemberAction::Drained { .. } => {
                self.check_ownership();
                self.instances[index].ended = true;
                let name = self.instances[index].name.clone();
                self.schedule(
                    std_time::Duration::from_millis(500),
                    queue::ScheduledStep::Delist(name),
                );
            }
            event::MemberAction::ViewChanged(_)
            | event::MemberAction::OwnershipGained { .. }
            | event::MemberAction::OwnershipLost { .. } => {}
        }
    }

    pub(super) fn send(
        &mut self,
        index: usize,
        receiver: &name::InstanceName,
        message: member::MemberMessage,
    ) {
        let sender = self.instances[index].name.clone();
        let Some(target) = self.instances.iter().position(|entry| entry.name == *receiver) else {
            return;
        };
        if let Some(traffic) = &mut self.traffic {
            traffic.add(index, &sender, &message);
        }
        if self.instances[index].partition != self.instances[target].partition {
            return;
        }
        let noisy = self.now < self.noise_until;
        let (loss, duplication, max_delay_ms) =
            if noisy { (0.3, 0.2, 900) } else { (0.01, 0.01, 15) };
        let copies = 1 + usize::from(self.random.random_bool(duplication));
        for _ in 0..copies {
            if self.random.random_bool(loss) {
                continue;
            }
            let delay = self.draw_millis(1, max_delay_ms);
            let event =
                event::MemberEvent::Message { sender: sender.clone(), message: message.clone() };
            self.schedule(delay, queue::ScheduledStep::Event(target, Box::new(event)));
        }
    }
}

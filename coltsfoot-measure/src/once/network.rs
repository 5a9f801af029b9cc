//! Messages and calls of the log, which come late, twice, or not at all.

use coltsfoot_once::batcher_event::{self, BatcherEvent};
use coltsfoot_types::id;
use coltsfoot_wire::once;
use rand::RngExt as _;

use crate::once::log::wall_ms;
use crate::once::schedule::RETENTION_MS;
use crate::once::world::{InstanceInput, ScheduleWorld, WorldEvent};

impl ScheduleWorld {
    /// Sends a message to the claim owner: mostly the zone's, now and then another instance.
    pub(super) fn send_owner(&mut self, from: usize, message: once::ClaimMessage) {
        if self.settings.omitted.log {
            return;
        }
        let zone = from % 2;
        let owner = match self.rng.random_bool(0.1) {
            true => self.rng.random_range(0..self.instances.len()),
            false => zone.min(self.instances.len() - 1),
        };
        self.send_message(from, owner, message);
    }

    pub(super) fn send_message(&mut self, from: usize, to: usize, message: once::ClaimMessage) {
        let copies = match self.rng.random_bool(self.settings.doubled_message) {
            true => 2,
            false => 1,
        };
        for _ in 0..copies {
            if self.rng.random_bool(self.settings.lost_message) {
                continue;
            }
            let delay_us = match self.rng.random_bool(0.05) {
                true => self.rng.random_range(1_000..2_000_000),
                false => self.rng.random_range(50..2_000),
            };
            let input = InstanceInput::Message { from, message: message.clone() };
            self.push_input(self.now_us + delay_us, to, input);
        }
    }

    pub(super) fn append(
        &mut self,
        to: usize,
        number: batcher_event::CallNumber,
        batch: once::ClaimBatch,
    ) {
        let append_us = self.rng.random_range(1..=2 * self.settings.append_us);
        let answer_us = self.now_us + append_us + self.rng.random_range(0..1_000);
        let failed = InstanceInput::Batcher(BatcherEvent::AppendFailed(number));
        let is_lost = self.rng.random_bool(self.settings.lost_append);
        if self.log.is_out(self.now_us) || is_lost {
            return self.push_input(answer_us, to, failed);
        }
        let late_us = match self.rng.random_bool(self.settings.late_append) {
            true => self.rng.random_range(0..8_000_000),
            false => 0,
        };
        let claims = batch.entries.clone();
        self.push(self.now_us + append_us + late_us, WorldEvent::LogAppend(batch));
        let is_answered = late_us == 0 && !self.rng.random_bool(self.settings.lost_answer);
        if !is_answered {
            return self.push_input(answer_us, to, failed);
        }
        self.push_input(answer_us, to, InstanceInput::Batcher(BatcherEvent::Appended(number)));
        if self.settings.omitted.read_back {
            self.win_without_reading(claims, answer_us);
        }
    }

    /// Tells the claimants that they have won, as an owner without read-back would.
    fn win_without_reading(&mut self, entries: Vec<once::OnceEntry>, at_us: u64) {
        for entry in entries {
            let once::OnceEntry::Claim(claim) = entry else { continue };
            let holder = self
                .instances
                .iter()
                .position(|instance| instance.calls.contains_key(&claim.claim));
            let Some(holder) = holder else { continue };
            let verdict = once::ClaimVerdict::Won;
            let message = once::ClaimMessage::Verdict { claim: claim.claim, verdict };
            let input = InstanceInput::Message { from: holder, message };
            self.push_input(at_us, holder, input);
        }
    }

    pub(super) fn plan_read(&mut self, to: usize, number: u64, from: id::LogOffset) {
        let there_us = self.rng.random_range(1..=self.settings.append_us);
        let back_us = self.rng.random_range(1..=self.settings.append_us);
        if self.log.is_out(self.now_us) || self.rng.random_bool(self.settings.lost_append) {
            let failed = BatcherEvent::ReadFailed(number);
            let at_us = self.now_us + there_us + back_us;
            return self.push_input(at_us, to, InstanceInput::Batcher(failed));
        }
        let incarnation = self.instances[to].incarnation;
        let read = WorldEvent::LogRead { to, incarnation, number, from, back_us };
        self.push(self.now_us + there_us, read);
    }

    pub(super) fn read_log(
        &mut self,
        to: usize,
        incarnation: u64,
        number: u64,
        from: id::LogOffset,
        back_us: u64,
    ) {
        if self.settings.forgetful {
            self.log.forget(self.now_us, RETENTION_MS);
        }
        let at_us = self.now_us + back_us;
        let skew_ms = self.rng.random_range(-500..500);
        let page = self.log.read(from, wall_ms(at_us).wrapping_add_signed(skew_ms));
        let input = InstanceInput::Batcher(BatcherEvent::PageRead(number, page));
        self.push(at_us, WorldEvent::Input { to, incarnation, input });
    }
}

//! Claim owner of a zone: appends claims and outcomes to the log in batches and reads them back.
//!
//! A single owner per zone only reduces the number of appends. The order in the log alone decides
//! which claim wins, so two concurrent owners are harmless.

use std::collections;
use std::time;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::once;
use rand::RngExt as _;

use crate::append_pacer;
use crate::batcher_event::{
    BatcherAction, BatcherActions, BatcherEvent, BatcherSettings, CallNumber,
};
use crate::claim_table;

#[derive(Clone, Debug)]
struct PendingClaim {
    entry: once::ClaimEntry,
    instance: name::InstanceName,
    expires_at: clock::MonotonicTime,
}

#[derive(Clone, Debug)]
struct PendingOutcome {
    entry: once::OutcomeEntry,
    instance: name::InstanceName,
    due_at: clock::MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct SentAppend {
    sent_at: clock::MonotonicTime,
    claims: Vec<once::ClaimId>,
    outcomes: Vec<once::ClaimId>,
}

#[derive(Clone, Copy, Debug)]
struct SentRead {
    number: CallNumber,
    sent_at: clock::MonotonicTime,
}

/// State machine of a claim owner: batches appends, reads the stream and answers instances.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: BatcherSettings,
    table: claim_table::ClaimTable,
    pacer: append_pacer::AppendPacer,
    claims: collections::BTreeMap<once::ClaimId, PendingClaim>,
    outcomes: collections::BTreeMap<once::ClaimId, PendingOutcome>,
    queued_claims: collections::VecDeque<once::ClaimId>,
    queued_outcomes: collections::VecDeque<once::ClaimId>,
    appends: collections::BTreeMap<CallNumber, SentAppend>,
    read: Option<SentRead>,
    needs_read: bool,
    next_number: CallNumber,
    retry_at: clock::MonotonicTime,
    appends_sent: u64,
}

impl ClaimBatcher {
    /// Creates an owner that reads the claims stream from its start.
    pub fn new(settings: BatcherSettings) -> Self {
        Self {
            table: claim_table::ClaimTable::new(settings.window),
            pacer: append_pacer::AppendPacer::new(settings.appends_per_second),
            settings,
            claims: collections::BTreeMap::new(),
            outcomes: collections::BTreeMap::new(),
            queued_claims: collections::VecDeque::new(),
            queued_outcomes: collections::VecDeque::new(),
            appends: collections::BTreeMap::new(),
            read: None,
            needs_read: true,
            next_number: 0,
            retry_at: clock::MonotonicTime::default(),
            appends_sent: 0,
        }
    }

    /// Returns the number of appends sent so far, retries included.
    pub fn appends_sent(&self) -> u64 {
        self.appends_sent
    }

    /// Returns the claims read so far.
    pub fn table(&self) -> &claim_table::ClaimTable {
        &self.table
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn handle(
        &mut self,
        now: clock::MonotonicTime,
        event: BatcherEvent,
        rng: &mut impl rand::Rng,
    ) -> BatcherActions {
        let mut actions = BatcherActions::new();
        match event {
            BatcherEvent::Submit { instance, claim, time_left } => {
                self.submit(now, instance, claim, time_left, &mut actions);
            }
            BatcherEvent::RecordOutcome { instance, outcome } => {
                self.record_outcome(now, instance, outcome, &mut actions);
            }
            BatcherEvent::Appended(number) => {
                self.needs_read |= self.appends.remove(&number).is_some();
            }
            BatcherEvent::AppendFailed(number) => self.fail_append(now, number, rng),
            BatcherEvent::PageRead(number, page) => self.apply_page(number, &page, &mut actions),
            BatcherEvent::ReadFailed(number) => self.fail_read(now, number, rng),
            BatcherEvent::Tick => {}
        }
        self.expire(now, rng, &mut actions);
        self.send_calls(now, &mut actions);
        self.schedule_wake(now, &mut actions);
        actions
    }

    fn submit(
        &mut self,
        now: clock::MonotonicTime,
        instance: name::InstanceName,
        entry: once::ClaimEntry,
        time_left: time::Duration,
        actions: &mut BatcherActions,
    ) {
        if let Some(verdict) =
            self.table.verdict(&entry).or_else(|| self.table.competing_verdict(&entry))
        {
            // The outcome of the other claim may have reached the log since the last read.
            self.needs_read |= verdict == once::ClaimVerdict::Claimed;
            let message = once::ClaimMessage::Verdict { claim: entry.claim, verdict };
            return actions.push(BatcherAction::Send(instance, message));
        }
        if self.claims.contains_key(&entry.claim) {
            return;
        }
        self.queued_claims.push_back(entry.claim);
        let claim = PendingClaim { instance, expires_at: now + time_left, entry };
        self.claims.insert(claim.entry.claim, claim);
    }

    fn record_outcome(
        &mut self,
        now: clock::MonotonicTime,
        instance: name::InstanceName,
        entry: once::OutcomeEntry,
        actions: &mut BatcherActions,
    ) {
        if self.table.has_outcome(&entry) {
            let message = once::ClaimMessage::Settled { claim: entry.claim };
            return actions.push(BatcherAction::Send(instance, message));
        }
        if self.outcomes.contains_key(&entry.claim) {
            return;
        }
        self.queued_outcomes.push_back(entry.claim);
        let due_at = now + self.settings.outcome_delay;
        self.outcomes.insert(entry.claim, PendingOutcome { entry, instance, due_at });
    }

    /// Requeues the entries of a failed append. Duplicate entries in the log are harmless.
    fn fail_append(
        &mut self,
        now: clock::MonotonicTime,
        number: CallNumber,
        rng: &mut impl rand::Rng,
    ) {
        let Some(append) = self.appends.remove(&number) else { return };
        let pending_claims = append.claims.into_iter().filter(|id| self.claims.contains_key(id));
        self.queued_claims.extend(pending_claims);
        let pending_outcomes =
            append.outcomes.into_iter().filter(|id| self.outcomes.contains_key(id));
        self.queued_outcomes.extend(pending_outcomes);
        self.needs_read = true;
        self.back_off(now, rng);
    }

    fn fail_read(
        &mut self,
        now: clock::MonotonicTime,
        number: CallNumber,
        rng: &mut impl rand::Rng,
    ) {
        if self.read.is_some_and(|read| read.number == number) {
            self.read = None;
            self.needs_read = true;
            self.back_off(now, rng);
        }
    }

    fn back_off(&mut self, now: clock::MonotonicTime, rng: &mut impl rand::Rng) {
        self.retry_at = now + self.settings.retry_delay.mul_f64(rng.random_range(0.5..1.0));
    }

    fn apply_page(
        &mut self,
        number: CallNumber,
        page: &claim_table::ClaimPage,
        actions: &mut BatcherActions,
    ) {
        if self.read.is_none_or(|read| read.number != number) {
            return;
        }
        self.read = None;
        self.table.apply(page);
        self.needs_read |= self.table.next_offset() < page.end_offset;
        self.send_verdicts(actions);
        self.confirm_outcomes(actions);
    }

    fn send_verdicts(&mut self, actions: &mut BatcherActions) {
        let table = &self.table;
        self.claims.retain(|_, claim| {
            let Some(verdict) = table.verdict(&claim.entry) else { return true };
            let message = once::ClaimMessage::Verdict { claim: claim.entry.claim, verdict };
            actions.push(BatcherAction::Send(claim.instance.clone(), message));
            false
        });
    }

    fn confirm_outcomes(&mut self, actions: &mut BatcherActions) {
        let table = &self.table;
        self.outcomes.retain(|_, outcome| {
            if !table.has_outcome(&outcome.entry) {
                return true;
            }
            let message = once::ClaimMessage::Settled { claim: outcome.entry.claim };
            actions.push(BatcherAction::Send(outcome.instance.clone(), message));
            false
        });
    }

    fn expire(
        &mut self,
        now: clock::MonotonicTime,
        rng: &mut impl rand::Rng,
        actions: &mut BatcherActions,
    ) {
        self.claims.retain(|_, claim| {
            if now < claim.expires_at {
                return true;
            }
            let verdict = once::ClaimVerdict::Unavailable;
            let message = once::ClaimMessage::Verdict { claim: claim.entry.claim, verdict };
            actions.push(BatcherAction::Send(claim.instance.clone(), message));
            false
        });
        let claims = &self.claims;
        self.queued_claims.retain(|claim| claims.contains_key(claim));
        let outcomes = &self.outcomes;
        self.queued_outcomes.retain(|claim| outcomes.contains_key(claim));
        let timeout = self.settings.call_timeout;
        let lost = self.appends.iter().find(|(_, append)| now.since(append.sent_at) >= timeout);
        if let Some(number) = lost.map(|(number, _)| *number) {
            self.fail_append(now, number, rng);
        }
        if let Some(read) = self.read.filter(|read| now.since(read.sent_at) >= timeout) {
            self.fail_read(now, read.number, rng);
        }
    }

    fn send_calls(&mut self, now: clock::MonotonicTime, actions: &mut BatcherActions) {
        if now < self.retry_at {
            return;
        }
        if self.should_append(now) && now >= self.pacer.next_at(now) {
            self.send_append(now, actions);
        }
        if self.needs_read && self.read.is_none() {
            self.needs_read = false;
            let number = self.next_call_number();
            self.read = Some(SentRead { number, sent_at: now });
            actions.push(BatcherAction::Read(number, self.table.next_offset()));
        }
    }

    fn should_append(&self, now: clock::MonotonicTime) -> bool {
        if self.appends.len() >= self.settings.max_appends_in_flight {
            return false;
        }
        !self.queued_claims.is_empty() || self.outcome_due_at().is_some_and(|due_at| due_at <= now)
    }

    fn outcome_due_at(&self) -> Option<clock::MonotonicTime> {
        let queued = self.queued_outcomes.iter().filter_map(|claim| self.outcomes.get(claim));
        queued.map(|outcome| outcome.due_at).min()
    }

    fn send_append(&mut self, now: clock::MonotonicTime, actions: &mut BatcherActions) {
        let limit = self.settings.max_batch_entries;
        let claims = self.queued_claims.len().min(limit);
        let claims: Vec<_> = self.queued_claims.drain(..claims).collect();
        let outcomes = self.queued_outcomes.len().min(limit - claims.len());
        let outcomes: Vec<_> = self.queued_outcomes.drain(..outcomes).collect();
        let claim_entries = claims.iter().filter_map(|claim| self.claims.get(claim));
        let claim_entries = claim_entries.map(|claim| once::OnceEntry::Claim(claim.entry.clone()));
        let outcome_entries = outcomes.iter().filter_map(|claim| self.outcomes.get(claim));
        let outcome_entries =
            outcome_entries.map(|outcome| once::OnceEntry::Outcome(outcome.entry.clone()));
        let batch = once::ClaimBatch { entries: claim_entries.chain(outcome_entries).collect() };
        let number = self.next_call_number();
        self.pacer.record(now);
        self.appends_sent += 1;
        self.appends.insert(number, SentAppend { sent_at: now, claims, outcomes });
        actions.push(BatcherAction::Append(number, batch));
    }

    fn next_call_number(&mut self) -> CallNumber {
        self.next_number += 1;
        self.next_number
    }

    /// Requests a tick at the earliest time at which something is due.
    fn schedule_wake(&self, now: clock::MonotonicTime, actions: &mut BatcherActions) {
        let timeout = self.settings.call_timeout;
        let append_at = match self.queued_claims.is_empty() {
            true => self.outcome_due_at(),
            false => Some(now),
        };
        let has_room = self.appends.len() < self.settings.max_appends_in_flight;
        let append_at = append_at.filter(|_| has_room);
        let append_at = append_at.map(|at| at.max(self.pacer.next_at(now)).max(self.retry_at));
        let read_at = (self.needs_read && self.read.is_none()).then_some(self.retry_at);
        let calls = self.appends.values().map(|append| append.sent_at + timeout);
        let reads = self.read.iter().map(|read| read.sent_at + timeout);
        let expiries = self.claims.values().map(|claim| claim.expires_at);
        let due = append_at.into_iter().chain(read_at).chain(calls).chain(reads).chain(expiries);
        if let Some(at) = due.min() {
            actions.push(BatcherAction::WakeAt(at));
        }
    }
}

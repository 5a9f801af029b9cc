//! One random schedule: the real state machines, driven through faults by an event queue.

use std::time;

use coltsfoot_once::batcher_event::{BatcherAction, BatcherEvent};
use coltsfoot_once::claim_request::{self, ClaimAction, ClaimEvent};
use coltsfoot_once::dispatch_event::{AttemptEvent, CallEnd, DispatchAction, DispatchEvent};
use coltsfoot_once::run_state::{self, RunKnowledge, RunState};
use coltsfoot_once::{dispatch, key_window};
use coltsfoot_types::{id, refusal, time as clock};
use coltsfoot_wire::once;
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::once::caller::{CallerAnswer, CallerCall, MAX_SENDS};
use crate::once::instance::{self, EntryInstance, InstanceCall};
use crate::once::log::{LogModel, wall_ms};
use crate::once::queue::EventQueue;
use crate::once::result::ScheduleResult;
use crate::once::schedule::{CALL_DEADLINE_US, RETENTION_MS, ScheduleSettings};
use crate::once::upstream::{AttemptPlan, ServiceModel};

/// Time after which a caller without an answer sends again.
const CALLER_TIMEOUT_US: u64 = CALL_DEADLINE_US + 500_000;
/// Events of a schedule at most; more point to a loop.
const MAX_EVENTS: u64 = 200_000;

/// Input of an instance.
#[derive(Clone, Debug)]
pub(super) enum InstanceInput {
    Call { caller: usize },
    Message { from: usize, message: once::ClaimMessage },
    Batcher(BatcherEvent),
    ClaimTick(once::ClaimId),
    DispatchTick(once::ClaimId),
    Attempt(once::ClaimId, id::AttemptId, AttemptEvent),
    ReportTick(once::ClaimId),
}

/// An event of a schedule.
#[derive(Clone, Debug)]
pub(super) enum WorldEvent {
    Input { to: usize, incarnation: u64, input: InstanceInput },
    LogAppend(once::ClaimBatch),
    LogRead { to: usize, incarnation: u64, number: u64, from: id::LogOffset, back_us: u64 },
    Run { key: once::IdempotencyKey, digest: once::RequestDigest },
    Kill(usize),
    Revive(usize),
    Freeze(usize, u64),
    Send(usize),
}

/// State of a schedule.
pub struct ScheduleWorld {
    pub(super) settings: ScheduleSettings,
    pub(super) rng: rngs::SmallRng,
    pub(super) now_us: u64,
    queue: EventQueue<WorldEvent>,
    pub(super) log: LogModel,
    pub(super) service: ServiceModel,
    pub(super) instances: Vec<EntryInstance>,
    pub(super) callers: Vec<CallerCall>,
    pub(super) false_ran: u64,
}

impl ScheduleWorld {
    /// Prepares the schedule of a seed.
    pub fn new(seed: u64, omitted: crate::once::schedule::OmittedMechanism) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let settings = ScheduleSettings::draw(omitted, &mut rng);
        let instances = (0..settings.instances).map(|index| EntryInstance::new(index, 0));
        let mut world = Self {
            settings,
            rng,
            now_us: 0,
            queue: EventQueue::default(),
            log: LogModel::default(),
            service: ServiceModel::default(),
            instances: instances.collect(),
            callers: Vec::new(),
            false_ran: 0,
        };
        world.plan();
        world
    }

    /// Runs the schedule to its end.
    pub fn run(mut self) -> ScheduleResult {
        let mut events = 0;
        while let Some((at_us, event)) = self.queue.pop() {
            events += 1;
            assert!(events < MAX_EVENTS, "a schedule does not end");
            self.now_us = at_us;
            self.take(event);
        }
        self.result()
    }

    pub(super) fn push(&mut self, at_us: u64, event: WorldEvent) {
        self.queue.push(at_us, event);
    }

    pub(super) fn push_input(&mut self, at_us: u64, to: usize, input: InstanceInput) {
        let incarnation = self.instances[to].incarnation;
        self.push(at_us, WorldEvent::Input { to, incarnation, input });
    }

    fn now(&self) -> clock::MonotonicTime {
        clock::MonotonicTime(self.now_us)
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Input { to, incarnation, input } => self.take_input(to, incarnation, input),
            WorldEvent::LogAppend(batch) => self.log.append(self.now_us, batch),
            WorldEvent::LogRead { to, incarnation, number, from, back_us } => {
                self.read_log(to, incarnation, number, from, back_us);
            }
            WorldEvent::Run { key, digest } => self.service.run(key, digest),
            WorldEvent::Kill(index) => {
                self.instances[index].is_alive = false;
                let down_us = self.rng.random_range(1_000..3_000_000);
                self.push(self.now_us + down_us, WorldEvent::Revive(index));
            }
            WorldEvent::Revive(index) => {
                let incarnation = self.instances[index].incarnation + 1;
                self.instances[index] = EntryInstance::new(index, incarnation);
            }
            WorldEvent::Freeze(index, frozen_us) => {
                self.instances[index].frozen_until_us = self.now_us + frozen_us;
            }
            WorldEvent::Send(caller) => self.send_call(caller),
        }
    }

    fn send_call(&mut self, caller: usize) {
        let call = &mut self.callers[caller];
        if call.sends >= MAX_SENDS || (call.sends > 1 && call.is_settled()) {
            return;
        }
        call.sends += 1;
        let to = self.rng.random_range(0..self.instances.len());
        let delay_us = self.rng.random_range(100..5_000);
        self.push_input(self.now_us + delay_us, to, InstanceInput::Call { caller });
        let again_us = match self.rng.random_bool(0.2) {
            true => self.rng.random_range(1_000..CALLER_TIMEOUT_US),
            false => CALLER_TIMEOUT_US,
        };
        let pause_us = match self.rng.random_bool(0.1) {
            true => self.rng.random_range(0..40_000_000),
            false => 0,
        };
        self.push(self.now_us + again_us + pause_us, WorldEvent::Send(caller));
    }

    fn take_input(&mut self, to: usize, incarnation: u64, input: InstanceInput) {
        let instance = &self.instances[to];
        if !instance.is_alive || instance.incarnation != incarnation {
            return;
        }
        if instance.frozen_until_us > self.now_us {
            let at_us = instance.frozen_until_us;
            return self.push(at_us, WorldEvent::Input { to, incarnation, input });
        }
        match input {
            InstanceInput::Call { caller } => self.begin_call(to, caller),
            InstanceInput::Message { from, message } => self.take_message(to, from, message),
            InstanceInput::Batcher(event) => self.drive_batcher(to, event),
            InstanceInput::ClaimTick(claim) => self.drive_claim(to, claim, ClaimEvent::Tick),
            InstanceInput::DispatchTick(claim) => {
                self.drive_dispatch(to, claim, DispatchEvent::Tick);
            }
            InstanceInput::Attempt(claim, attempt, event) => {
                self.drive_dispatch(to, claim, DispatchEvent::Attempt(attempt, event));
            }
            InstanceInput::ReportTick(claim) => self.drive_report(to, claim),
        }
    }

    fn begin_call(&mut self, to: usize, caller: usize) {
        let call = &self.callers[caller];
        let retention = time::Duration::from_millis(RETENTION_MS);
        let window = key_window::KeyWindow::for_retention(retention);
        if window.check(call.key, wall_ms(self.now_us)).is_err() {
            return self.answer(caller, CallerAnswer::Refused(RunKnowledge::MayHaveRun));
        }
        let claim = once::ClaimId(uuid::Uuid::from_u128(self.rng.random()));
        let entry = once::ClaimEntry { key: call.key, digest: call.digest, claim };
        let deadline_us = self.now_us + CALL_DEADLINE_US;
        let request = claim_request::ClaimRequest::new(
            self.now(),
            run_state::PendingRequest::new(),
            claim_request::ClaimSettings::default(),
            entry.clone(),
            clock::MonotonicTime(deadline_us),
        );
        let call = InstanceCall { caller, entry, deadline_us, claim: request, dispatch: None };
        let key = call.entry.key;
        self.instances[to].calls.insert(claim, call);
        if !self.settings.omitted.log {
            return self.drive_claim(to, claim, ClaimEvent::Tick);
        }
        let is_first = self.instances[to].remembered.insert(key);
        let verdict = match is_first {
            true => once::ClaimVerdict::Won,
            false => once::ClaimVerdict::Claimed,
        };
        self.drive_claim(to, claim, ClaimEvent::Verdict(verdict));
    }

    fn drive_claim(&mut self, to: usize, claim: once::ClaimId, event: ClaimEvent) {
        let now = self.now();
        let Some(call) = self.instances[to].calls.get_mut(&claim) else { return };
        let actions = call.claim.handle(now, event);
        let caller = call.caller;
        for action in actions {
            match action {
                ClaimAction::SendOwner(message) => self.send_owner(to, message),
                ClaimAction::WakeAt(at) => {
                    self.push_input(at.0, to, InstanceInput::ClaimTick(claim));
                }
                ClaimAction::Dispatch(win) => self.begin_dispatch(to, claim, win),
                ClaimAction::Answer(answer) => self.answer(caller, CallerAnswer::Answered(answer)),
                ClaimAction::Refuse(reason, run) => {
                    let is_out = reason == refusal::RefusalReason::LogUnavailable;
                    self.refuse(caller, run, is_out);
                }
                ClaimAction::RecordOutcome(entry) => self.begin_report(to, entry),
            }
        }
    }

    fn begin_dispatch(&mut self, to: usize, claim: once::ClaimId, win: claim_request::WonClaim) {
        let Some(call) = self.instances[to].calls.get_mut(&claim) else { return };
        let settings = dispatch::DispatchSettings::builder()
            .request(instance::request_id(claim))
            .deadline(clock::MonotonicTime(call.deadline_us))
            .build();
        let kind = dispatch::CallKind::OnceOnly(win);
        call.dispatch = Some(dispatch::DispatchMachine::new(kind, settings));
        self.drive_dispatch(to, claim, DispatchEvent::Tick);
    }

    fn drive_dispatch(&mut self, to: usize, claim: once::ClaimId, event: DispatchEvent) {
        let now = self.now();
        let instance = &mut self.instances[to];
        let Some(call) = instance.calls.get_mut(&claim) else { return };
        let Some(machine) = call.dispatch.as_mut() else { return };
        let actions = machine.handle(now, event, &mut instance.budget, &mut self.rng);
        let recorded = once::RecordedAnswer {
            status: 200,
            content_type: String::new(),
            body: claim.0.as_bytes().to_vec(),
        };
        let answered = machine.answered(recorded.clone());
        let caller = call.caller;
        for action in actions {
            match action {
                DispatchAction::RequestPermit { attempt, .. } => self.permit(to, claim, attempt),
                DispatchAction::Send { attempt, .. } => self.send_attempt(to, claim, attempt),
                DispatchAction::ForwardResponse => {
                    self.answer(caller, CallerAnswer::Answered(recorded.clone()));
                }
                DispatchAction::Refuse { run, .. } => self.refuse(caller, run, false),
                DispatchAction::RecordOutcome(CallEnd::Answered) => {
                    self.begin_report(to, answered.clone().expect("the call is once-only"));
                }
                DispatchAction::RecordOutcome(CallEnd::Unanswered(entry)) => {
                    self.begin_report(to, entry);
                }
                DispatchAction::WakeAt(at) => {
                    self.push_input(at.0, to, InstanceInput::DispatchTick(claim));
                }
                _ => {}
            }
        }
    }

    fn permit(&mut self, to: usize, claim: once::ClaimId, attempt: id::AttemptId) {
        let upstream = format!("service-{}", attempt.number).as_str().into();
        let event = DispatchEvent::Permitted { attempt, upstream, is_draining: false };
        self.drive_dispatch(to, claim, event);
    }

    fn send_attempt(&mut self, to: usize, claim: once::ClaimId, attempt: id::AttemptId) {
        let plan = AttemptPlan::draw(self.settings.cut_share, &mut self.rng);
        let Some(call) = self.instances[to].calls.get(&claim) else { return };
        let run = WorldEvent::Run { key: call.entry.key, digest: call.entry.digest };
        if let Some(run_after_us) = plan.run_after_us {
            self.push(self.now_us + run_after_us, run);
        }
        for (after_us, event) in plan.events {
            let input = InstanceInput::Attempt(claim, attempt, event);
            self.push_input(self.now_us + after_us, to, input);
        }
    }

    fn begin_report(&mut self, to: usize, entry: once::OutcomeEntry) {
        let claim = entry.claim;
        let settings = claim_request::ClaimSettings::default();
        let lifetime = time::Duration::from_secs(20);
        let report = claim_request::OutcomeReport::new(self.now(), entry, settings, lifetime);
        self.instances[to].reports.insert(claim, report);
        self.drive_report(to, claim);
    }

    fn drive_report(&mut self, to: usize, claim: once::ClaimId) {
        let now = self.now();
        let Some(report) = self.instances[to].reports.get_mut(&claim) else { return };
        let Some((message, at)) = report.tick(now) else {
            self.instances[to].reports.remove(&claim);
            return;
        };
        self.send_owner(to, message);
        self.push_input(at.0, to, InstanceInput::ReportTick(claim));
    }

    fn take_message(&mut self, to: usize, from: usize, message: once::ClaimMessage) {
        match message {
            once::ClaimMessage::Submit { claim, time_left } => {
                let instance = self.instances[from].name.clone();
                let event = BatcherEvent::Submit { instance, claim, time_left };
                self.drive_batcher(to, event);
            }
            once::ClaimMessage::Settle { outcome } => {
                let instance = self.instances[from].name.clone();
                self.drive_batcher(to, BatcherEvent::RecordOutcome { instance, outcome });
            }
            once::ClaimMessage::Verdict { claim, verdict } => {
                let verdict = self.weakened(verdict);
                self.drive_claim(to, claim, ClaimEvent::Verdict(verdict));
            }
            once::ClaimMessage::Settled { claim } => {
                if let Some(report) = self.instances[to].reports.get_mut(&claim) {
                    report.confirm();
                }
            }
            once::ClaimMessage::Crash(_) => {}
        }
    }

    /// Lets a resent key win again where that mechanism is taken out.
    fn weakened(&self, verdict: once::ClaimVerdict) -> once::ClaimVerdict {
        match verdict {
            once::ClaimVerdict::Claimed if self.settings.omitted.hold_after_death => {
                once::ClaimVerdict::Won
            }
            verdict => verdict,
        }
    }

    fn drive_batcher(&mut self, to: usize, event: BatcherEvent) {
        let now = self.now();
        let actions = self.instances[to].batcher.handle(now, event, &mut self.rng);
        for action in actions {
            match action {
                BatcherAction::Append(number, batch) => self.append(to, number, batch),
                BatcherAction::Read(number, from) => self.plan_read(to, number, from),
                BatcherAction::Send(name, message) => {
                    self.send_message(to, instance::instance_index(&name), message);
                }
                BatcherAction::WakeAt(at) => self.wake_batcher(to, at.0),
            }
        }
    }

    /// Queues a tick of a claim owner unless an earlier one is on its way.
    fn wake_batcher(&mut self, to: usize, at_us: u64) {
        let queued = self.instances[to].batcher_wake_us;
        if queued.is_none_or(|queued| queued <= self.now_us || queued > at_us) {
            self.instances[to].batcher_wake_us = Some(at_us);
            self.push_input(at_us, to, InstanceInput::Batcher(BatcherEvent::Tick));
        }
    }

    fn refuse(&mut self, caller: usize, run: RunState, is_out: bool) {
        let mut knowledge = run.knowledge();
        if is_out && self.settings.omitted.unknown_in_outage {
            knowledge = RunKnowledge::NotRun;
        }
        if knowledge == RunKnowledge::Ran {
            let call = &self.callers[caller];
            let has_run = self.service.runs_of(call.key).contains(&call.digest);
            self.false_ran += u64::from(!has_run);
        }
        self.answer(caller, CallerAnswer::Refused(knowledge));
    }

    fn answer(&mut self, caller: usize, answer: CallerAnswer) {
        self.callers[caller].answers.push(answer);
    }
}

//! Runs claims of once-only calls: those of this instance and, on the owner, the zone's batches.

use std::collections;
use std::rc;
use std::sync;
use std::time;

use async_channel as channel;
use coltsfoot_once::batcher_event::{BatcherAction, BatcherEvent, BatcherSettings};
use coltsfoot_once::claim_request::{
    ClaimAction, ClaimEvent, ClaimRequest, ClaimSettings, OutcomeReport,
};
use coltsfoot_once::{claim_batcher, key_window, run_state};
use coltsfoot_platform::log;
use coltsfoot_types::{name, time as instant};
use coltsfoot_wire::{once, peer};
use rand::{SeedableRng as _, rngs};

use crate::control::client::{ClaimDecision, ClaimQuery};
use crate::control::member::MemberHost;
use crate::control::resource::OwnedResource;
use crate::control::{EventSender, platform};
use crate::peers::PeerNetwork;
use crate::shared;

/// Messages sent to the claim owner without success before the instance appends by itself.
const MAX_OWNER_MESSAGES: u32 = 2;

/// Dependencies of [`ClaimHost`].
pub struct ClaimContext<'a> {
    /// Membership of this instance's zone.
    pub member: &'a MemberHost,
    /// Connections to other instances.
    pub network: &'a PeerNetwork,
}

struct OpenClaim {
    request: ClaimRequest,
    reply: channel::Sender<ClaimDecision>,
    messages: u32,
}

struct OpenReport {
    report: OutcomeReport,
    next_at: instant::MonotonicTime,
    messages: u32,
    /// Dropped, and so closed, once the outcome is on the log or the report has expired.
    _recorded: Option<channel::Sender<()>>,
}

/// Claims of this instance and the batches of the zone.
pub struct ClaimHost {
    shared: sync::Arc<shared::InstanceShared>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    log: log::LogClient,
    events: EventSender,
    batcher: claim_batcher::ClaimBatcher,
    claims: collections::BTreeMap<once::ClaimId, OpenClaim>,
    reports: collections::BTreeMap<once::ClaimId, OpenReport>,
    settings: ClaimSettings,
    report_lifetime: time::Duration,
    rng: rngs::SmallRng,
}

impl ClaimHost {
    /// Creates a host without open claims that has not read the claims stream yet.
    pub fn new(
        shared: sync::Arc<shared::InstanceShared>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        log: log::LogClient,
        events: EventSender,
    ) -> Self {
        let window = key_window::KeyWindow::for_retention(shared.settings.log_retention);
        let settings = BatcherSettings::builder().window(window).build();
        Self {
            shared,
            executor,
            log,
            events,
            batcher: claim_batcher::ClaimBatcher::new(settings),
            claims: collections::BTreeMap::new(),
            reports: collections::BTreeMap::new(),
            settings: ClaimSettings::default(),
            report_lifetime: window.max_age,
            rng: rngs::SmallRng::seed_from_u64(rand::random()),
        }
    }

    /// Starts a claim; the decision is sent to `reply`.
    pub fn claim(
        &mut self,
        now: instant::MonotonicTime,
        query: ClaimQuery,
        reply: channel::Sender<ClaimDecision>,
        context: &ClaimContext<'_>,
    ) {
        let claim = query.entry.claim;
        let pending = run_state::PendingRequest::new();
        let request = ClaimRequest::new(now, pending, self.settings, query.entry, query.deadline);
        self.claims.insert(claim, OpenClaim { request, reply, messages: 0 });
        self.drive_claim(now, claim, ClaimEvent::Tick, context);
    }

    /// Reports the outcome of a call; `recorded` is closed when it is on the log.
    pub fn record_outcome(
        &mut self,
        now: instant::MonotonicTime,
        entry: once::OutcomeEntry,
        recorded: Option<channel::Sender<()>>,
        context: &ClaimContext<'_>,
    ) {
        let claim = entry.claim;
        let report = OutcomeReport::new(now, entry, self.settings, self.report_lifetime);
        let report = OpenReport { report, next_at: now, messages: 0, _recorded: recorded };
        self.reports.insert(claim, report);
        self.send_reports(now, context);
    }

    /// Handles a message from another instance or from this one.
    pub fn handle_message(
        &mut self,
        now: instant::MonotonicTime,
        sender: name::InstanceName,
        message: once::ClaimMessage,
        context: &ClaimContext<'_>,
    ) {
        match message {
            once::ClaimMessage::Submit { claim, time_left } => {
                let event = BatcherEvent::Submit { instance: sender, claim, time_left };
                self.drive_batcher(now, event, context);
            }
            once::ClaimMessage::Settle { outcome } => {
                let event = BatcherEvent::RecordOutcome { instance: sender, outcome };
                self.drive_batcher(now, event, context);
            }
            once::ClaimMessage::Verdict { claim, verdict } => {
                self.drive_claim(now, claim, ClaimEvent::Verdict(verdict), context);
            }
            once::ClaimMessage::Settled { claim } => {
                self.reports.remove(&claim);
            }
            once::ClaimMessage::Crash(notice) => {
                self.shared.lock_quarantine().merge(now, &notice);
            }
        }
    }

    /// Passes an event to the batcher, such as the result of a call of the claims stream.
    pub fn drive_batcher(
        &mut self,
        now: instant::MonotonicTime,
        event: BatcherEvent,
        context: &ClaimContext<'_>,
    ) {
        for action in self.batcher.handle(now, event, &mut self.rng) {
            match action {
                BatcherAction::Append(number, batch) => {
                    let log = self.log.clone();
                    let events = self.events.clone();
                    let appending = platform::append_claims(log, events, number, batch);
                    self.executor.spawn(appending).detach();
                }
                BatcherAction::Read(number, from) => {
                    let log = self.log.clone();
                    let events = self.events.clone();
                    let reading = platform::read_claims(log, events, number, from);
                    self.executor.spawn(reading).detach();
                }
                BatcherAction::Send(receiver, message) => {
                    context.network.send(&receiver, peer::PeerMessage::Claim(message));
                }
                // The control thread's 50 ms tick replaces a timer.
                BatcherAction::WakeAt(_) => {}
            }
        }
    }

    /// Advances all timers to `now`.
    pub fn tick(&mut self, now: instant::MonotonicTime, context: &ClaimContext<'_>) {
        let open: Vec<_> = self.claims.keys().copied().collect();
        for claim in open {
            self.drive_claim(now, claim, ClaimEvent::Tick, context);
        }
        self.send_reports(now, context);
        self.drive_batcher(now, BatcherEvent::Tick, context);
    }

    fn drive_claim(
        &mut self,
        now: instant::MonotonicTime,
        claim: once::ClaimId,
        event: ClaimEvent,
        context: &ClaimContext<'_>,
    ) {
        let Some(open) = self.claims.get_mut(&claim) else { return };
        let mut ended = None;
        for action in open.request.handle(now, event) {
            let decision = match action {
                ClaimAction::SendOwner(message) => {
                    open.messages += 1;
                    let own_name = &self.shared.settings.instance;
                    let owner = claim_owner(own_name, context, open.messages);
                    context.network.send(&owner, peer::PeerMessage::Claim(message));
                    continue;
                }
                ClaimAction::RecordOutcome(entry) => {
                    ended = Some(entry);
                    continue;
                }
                ClaimAction::WakeAt(_) => continue,
                ClaimAction::Dispatch(won) => ClaimDecision::Dispatch(won),
                ClaimAction::Answer(recorded) => ClaimDecision::Answer(recorded),
                ClaimAction::Refuse(reason, run) => ClaimDecision::Refuse(reason, run),
            };
            // Without a receiver the decision is dropped, so that a won claim isn't dispatched.
            let _ = open.reply.try_send(decision);
        }
        if self.claims.get(&claim).is_some_and(|open| open.request.is_done()) {
            self.claims.remove(&claim);
        }
        if let Some(entry) = ended {
            self.record_outcome(now, entry, None, context);
        }
    }

    fn send_reports(&mut self, now: instant::MonotonicTime, context: &ClaimContext<'_>) {
        let own_name = &self.shared.settings.instance;
        self.reports.retain(|_, open| {
            if now < open.next_at {
                return true;
            }
            let Some((message, next_at)) = open.report.tick(now) else { return false };
            open.next_at = next_at;
            open.messages += 1;
            let owner = claim_owner(own_name, context, open.messages);
            context.network.send(&owner, peer::PeerMessage::Claim(message));
            true
        });
    }
}

/// Returns the instance that appends: the zone's claim owner, or this instance if there is none or
/// it did not respond.
fn claim_owner(
    own_name: &name::InstanceName,
    context: &ClaimContext<'_>,
    messages: u32,
) -> name::InstanceName {
    let owner = context.member.owner_of(&OwnedResource::Claims);
    owner.filter(|_| messages <= MAX_OWNER_MESSAGES).unwrap_or_else(|| own_name.clone())
}

//! The instance's side of the quota: admits requests against granted tokens and requests more.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::quota;

use crate::agent_account;
use crate::event;

/// Default maximum time that a request waits for a grant.
pub const DEFAULT_MAX_WAIT: time::Duration = time::Duration::from_secs(2);
/// Running time after which a request gets no refund.
const MAX_REFUND_AGE: time::Duration = time::Duration::from_secs(60);

/// An admitted request that has not finished.
#[derive(Clone, Debug)]
struct RunningRequest {
    customer: name::CustomerName,
    tokens: u64,
    admitted: clock::MonotonicTime,
}

/// State machine that admits requests against tokens granted to this instance.
#[derive(Clone, Debug)]
pub struct QuotaAgent {
    zone: name::ZoneName,
    max_wait: time::Duration,
    accounts: collections::BTreeMap<name::CustomerName, agent_account::AgentAccount>,
    active: collections::BTreeSet<name::CustomerName>,
    running: collections::BTreeMap<id::RequestId, RunningRequest>,
    unreachable: collections::BTreeSet<name::ZoneName>,
    next_sequence: u64,
    last_cleanup: clock::MonotonicTime,
}

impl QuotaAgent {
    /// Creates an agent without tokens, customers or waiting requests.
    pub fn new(zone: name::ZoneName, max_wait: time::Duration) -> Self {
        Self {
            zone,
            max_wait,
            accounts: collections::BTreeMap::new(),
            active: collections::BTreeSet::new(),
            running: collections::BTreeMap::new(),
            unreachable: collections::BTreeSet::new(),
            next_sequence: 0,
            last_cleanup: clock::MonotonicTime(0),
        }
    }

    /// Processes an event and returns the resulting actions in order. Send a tick at least every
    /// 50 ms.
    pub fn handle(
        &mut self,
        now: clock::MonotonicTime,
        event: event::AgentEvent,
    ) -> event::QuotaActions {
        let mut actions = event::QuotaActions::new();
        match event {
            event::AgentEvent::Admit(admission) => self.admit(now, &admission, &mut actions),
            event::AgentEvent::Finish { request, unused } => self.finish(request, unused),
            event::AgentEvent::Cancel { request } => self.cancel(now, request, &mut actions),
            event::AgentEvent::Grant { sender, update } => {
                self.handle_grant(now, &sender, &update, &mut actions);
            }
            event::AgentEvent::Configured { customer, limits } => {
                self.accounts.entry(customer).or_default().limits = limits;
            }
            event::AgentEvent::Reachability { zone, reachable } => {
                if reachable {
                    self.unreachable.remove(&zone);
                } else {
                    self.unreachable.insert(zone);
                }
            }
            event::AgentEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn admit(
        &mut self,
        now: clock::MonotonicTime,
        admission: &event::AdmissionRequest,
        actions: &mut event::QuotaActions,
    ) {
        let account = self.accounts.entry(admission.customer.clone()).or_default();
        if let Err(refused) = account.enqueue(now, admission, self.max_wait) {
            actions.push(refused.into());
            return;
        }
        self.active.insert(admission.customer.clone());
        self.advance(now, &admission.customer, actions);
    }

    fn finish(&mut self, request: id::RequestId, unused: u64) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        let tokens = unused.min(running.tokens);
        if tokens == 0 {
            return;
        }
        self.active.insert(running.customer.clone());
        let account = self.accounts.entry(running.customer).or_default();
        account.refund(running.admitted, tokens);
    }

    fn cancel(
        &mut self,
        now: clock::MonotonicTime,
        request: id::RequestId,
        actions: &mut event::QuotaActions,
    ) {
        let active = self.active.iter().cloned().collect::<Vec<_>>();
        let holder = active.into_iter().find(|customer| {
            self.accounts.get_mut(customer).is_some_and(|account| account.cancel(request))
        });
        if let Some(customer) = holder {
            self.advance(now, &customer, actions);
        }
    }

    fn handle_grant(
        &mut self,
        now: clock::MonotonicTime,
        sender: &name::InstanceName,
        update: &quota::GrantUpdate,
        actions: &mut event::QuotaActions,
    ) {
        let Some(account) = self.accounts.get_mut(&update.customer) else {
            return;
        };
        actions.extend(account.apply(sender, update, &self.zone).into_iter().map(Into::into));
        self.advance(now, &update.customer, actions);
    }

    fn tick(&mut self, now: clock::MonotonicTime, actions: &mut event::QuotaActions) {
        let active = self.active.iter().cloned().collect::<Vec<_>>();
        for customer in active {
            self.advance(now, &customer, actions);
        }
        if now.since(self.last_cleanup) < time::Duration::from_secs(1) {
            return;
        }
        self.last_cleanup = now;
        self.running.retain(|_, running| now.since(running.admitted) < MAX_REFUND_AGE);
        let accounts = &mut self.accounts;
        self.active.retain(|customer| {
            accounts.get_mut(customer).is_some_and(|account| !account.prune(now))
        });
    }

    /// Admits covered requests, refuses those that waited too long and sends due reports.
    fn advance(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        actions: &mut event::QuotaActions,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        for ask in account.admit(now) {
            let customer = customer.clone();
            let running = RunningRequest { customer, tokens: ask.tokens, admitted: now };
            self.running.insert(ask.request, running);
            actions.push(event::QuotaAction::Admit { request: ask.request });
        }
        actions.extend(account.expire_waiting(now).into_iter().map(Into::into));
        let sequence = &mut self.next_sequence;
        for report in account.due_reports(now, customer, &self.zone, &self.unreachable, sequence) {
            let (customer, zone) = (customer.clone(), report.zone.clone());
            actions.push(event::QuotaAction::Send {
                destination: event::QuotaDestination::Owner { customer, zone },
                message: quota::QuotaMessage::Report(report),
            });
        }
    }
}

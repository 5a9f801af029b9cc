//! Tokens that an instance holds for one customer, and the requests that wait for more.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::quota;

use crate::demand_meter;
use crate::event;
use crate::limit_history;
use crate::owner_link;
use crate::refund_counter;

/// Span of estimated demand for which tokens are prefetched.
const PREFETCH_HORIZON: time::Duration = time::Duration::from_secs(1);
/// Time constant of the demand estimate.
const DEMAND_DECAY_TIME: time::Duration = time::Duration::from_secs(1);
/// Request rate from which tokens are prefetched.
const MIN_PREFETCH_REQUESTS_PER_S: f64 = 2.0;
/// Maximum number of requests per customer that wait at an instance.
const MAX_WAITING_REQUESTS: usize = 256;
/// Retry delay returned to a caller when no owner estimated one.
const UNKNOWN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// Time without an answer from the own zone's owner before another zone's owner is asked too.
const OWNER_SILENCE: time::Duration = time::Duration::from_millis(300);

/// A request that gets no tokens, with the reason and the retry delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedRequest {
    request: id::RequestId,
    reason: refusal::RefusalReason,
    retry_after: time::Duration,
}

impl From<RefusedRequest> for event::QuotaAction {
    fn from(refused: RefusedRequest) -> Self {
        Self::Refuse {
            request: refused.request,
            reason: refused.reason,
            retry_after: refused.retry_after,
        }
    }
}

/// Quota state of one customer at an instance.
#[derive(Clone, Debug)]
pub(crate) struct AgentAccount {
    pub(crate) limits: Option<limit_history::CustomerLimits>,
    waiting: collections::VecDeque<owner_link::WaitingRequest>,
    links: collections::BTreeMap<name::ZoneName, owner_link::OwnerLink>,
    demand: demand_meter::DemandMeter,
    refunds: refund_counter::RefundCounter,
    arrivals: u64,
}

impl Default for AgentAccount {
    fn default() -> Self {
        Self {
            limits: None,
            waiting: collections::VecDeque::new(),
            links: collections::BTreeMap::new(),
            demand: demand_meter::DemandMeter::new(DEMAND_DECAY_TIME),
            refunds: refund_counter::RefundCounter::default(),
            arrivals: 0,
        }
    }
}

impl AgentAccount {
    /// Queues a request, or returns why it can't be served.
    pub(crate) fn enqueue(
        &mut self,
        now: clock::MonotonicTime,
        admission: &event::AdmissionRequest,
        max_wait: time::Duration,
    ) -> Result<(), RefusedRequest> {
        let refuse = |reason, retry_after| {
            Err(RefusedRequest { request: admission.request, reason, retry_after })
        };
        let Some(limits) = &self.limits else {
            return refuse(refusal::RefusalReason::NotPermitted, time::Duration::ZERO);
        };
        if admission.tokens > limits.total.burst {
            return refuse(refusal::RefusalReason::ExceedsBurst, time::Duration::ZERO);
        }
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            let queued = self.waiting.iter().map(|waiting| waiting.ask.tokens).sum();
            let retry_after = limits.total.time_for(queued).min(max_wait);
            return refuse(refusal::RefusalReason::RateLimited, retry_after);
        }
        self.demand.add(now, admission.tokens);
        self.arrivals += 1;
        self.waiting.push_back(owner_link::WaitingRequest {
            ask: quota::TokenRequest {
                request: admission.request,
                fingerprint: admission.fingerprint,
                tokens: admission.tokens,
                wait_ms: 0,
            },
            arrival: self.arrivals,
            deadline: admission.deadline,
            wait_until: admission.deadline.min(now + max_wait),
        });
        Ok(())
    }

    /// Removes and returns the waiting requests covered by the held tokens, in FIFO order.
    pub(crate) fn admit(&mut self, now: clock::MonotonicTime) -> Vec<quota::TokenRequest> {
        let mut admitted = Vec::new();
        while let Some(first) = self.waiting.front() {
            let tokens = first.ask.tokens;
            let held = self.links.values().map(|link| link.allowance(now)).sum::<u64>();
            if tokens > held {
                break;
            }
            let rest = self.links.values_mut().fold(tokens, |rest, link| link.spend(now, rest));
            assert!(rest == 0, "a request was admitted without its tokens");
            admitted.extend(self.waiting.pop_front().map(|first| first.ask));
        }
        admitted
    }

    /// Removes the requests that have reached their maximum wait or their deadline.
    pub(crate) fn expire_waiting(&mut self, now: clock::MonotonicTime) -> Vec<RefusedRequest> {
        let mut refused = Vec::new();
        self.waiting.retain(|waiting| {
            if now < waiting.wait_until {
                return true;
            }
            let reason = if now >= waiting.deadline {
                refusal::RefusalReason::DeadlineExceeded
            } else {
                refusal::RefusalReason::RateLimited
            };
            let request = waiting.ask.request;
            refused.push(RefusedRequest { request, reason, retry_after: UNKNOWN_RETRY_AFTER });
            false
        });
        refused
    }

    /// Removes a waiting request. Returns whether it waited.
    pub(crate) fn cancel(&mut self, request: id::RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ask.request != request);
        self.waiting.len() < before
    }

    /// Adds tokens that a finished request did not use.
    pub(crate) fn refund(&mut self, admitted: clock::MonotonicTime, tokens: u64) {
        self.refunds.add(admitted, tokens);
    }

    /// Applies an owner's update and returns the requests that it refuses. Refusals from another
    /// zone's owner are ignored: the own zone's owner may have reserved the tokens.
    pub(crate) fn apply(
        &mut self,
        sender: &name::InstanceName,
        update: &quota::GrantUpdate,
        own_zone: &name::ZoneName,
    ) -> Vec<RefusedRequest> {
        let Some(link) = self.links.get_mut(&update.zone) else {
            return Vec::new();
        };
        if !link.apply(sender, update) {
            return Vec::new();
        }
        for request in update.served.iter().rev() {
            self.move_to_front(*request);
        }
        let mut refused = Vec::new();
        if update.zone != *own_zone {
            return refused;
        }
        for refusal in &update.refusals {
            if self.cancel(refusal.request) {
                refused.push(RefusedRequest {
                    request: refusal.request,
                    reason: refusal::RefusalReason::RateLimited,
                    retry_after: refusal.retry_after,
                });
            }
        }
        refused
    }

    fn move_to_front(&mut self, request: id::RequestId) {
        let found = self.waiting.iter().position(|waiting| waiting.ask.request == request);
        let waiting = found.and_then(|index| self.waiting.remove(index));
        waiting.into_iter().for_each(|waiting| self.waiting.push_front(waiting));
    }

    /// Builds the reports that are due to the owners, one per zone.
    pub(crate) fn due_reports(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        own_zone: &name::ZoneName,
        unreachable: &collections::BTreeSet<name::ZoneName>,
        next_sequence: &mut u64,
    ) -> Vec<quota::GrantReport> {
        let fallback = self.fallback(now, own_zone, unreachable);
        self.links.entry(own_zone.clone()).or_default();
        if let Some(fallback) = &fallback {
            self.links.entry(fallback.clone()).or_default();
        }
        let wanted = self.wanted(now);
        let none_waiting = collections::VecDeque::new();
        let mut reports = Vec::new();
        for (zone, link) in &mut self.links {
            let is_own = zone == own_zone;
            let is_asked = is_own || fallback.as_ref() == Some(zone);
            let demand = owner_link::TokenDemand {
                wanted: if is_own { wanted } else { 0 },
                waiting: if is_asked { &self.waiting } else { &none_waiting },
                has_refund: is_own && self.refunds.has_unreported(),
            };
            if !link.is_due(now, demand) {
                continue;
            }
            let mut report = link.build_report(now, customer, zone, demand, next_sequence);
            if is_own {
                self.refunds.acknowledge(|sequence| link.has_answered(sequence));
                self.refunds.fill(now, &mut report);
            }
            reports.push(report);
        }
        reports
    }

    /// Returns the tokens to prefetch; zero at low rates, where each request asks for its own.
    fn wanted(&self, now: clock::MonotonicTime) -> u64 {
        if self.demand.request_rate(now) < MIN_PREFETCH_REQUESTS_PER_S {
            return 0;
        }
        let burst = self.limits.as_ref().map_or(0, |limits| limits.total.burst);
        let wanted = self.demand.token_rate(now) * PREFETCH_HORIZON.as_secs_f64();
        (wanted as u64).min(burst)
    }

    /// Drops expired sessions. Returns whether the account is idle.
    pub(crate) fn prune(&mut self, now: clock::MonotonicTime) -> bool {
        self.links.retain(|_, link| !link.prune(now) || link.is_silent(now, time::Duration::ZERO));
        self.links.is_empty() && self.waiting.is_empty() && !self.refunds.has_unreported()
    }

    /// Returns the zone whose owner is asked while the own zone's owner doesn't answer: the
    /// reachable one with the largest part of the limits.
    fn fallback(
        &self,
        now: clock::MonotonicTime,
        own_zone: &name::ZoneName,
        unreachable: &collections::BTreeSet<name::ZoneName>,
    ) -> Option<name::ZoneName> {
        let silent = self.links.get(own_zone).is_some_and(|own| own.is_silent(now, OWNER_SILENCE));
        if !silent || self.waiting.is_empty() {
            return None;
        }
        let zones = self.limits.iter().flat_map(|limits| &limits.zone_permille);
        let others = zones.filter(|(zone, permille)| {
            *zone != own_zone && **permille > 0 && !unreachable.contains(*zone)
        });
        others.max_by_key(|(_, permille)| **permille).map(|(zone, _)| zone.clone())
    }
}

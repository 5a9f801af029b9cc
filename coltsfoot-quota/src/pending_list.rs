//! Requests of one holder that wait for tokens at the owner of a zone bucket.

use std::time;

use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::quota;

/// The owner's decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestDecision {
    Undecided,
    /// Tokens were granted for the request.
    Served,
    /// The caller was told to retry at `until`.
    Refused {
        until: clock::MonotonicTime,
    },
}

/// A waiting request and the owner's decision on it.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) ask: quota::TokenRequest,
    pub(crate) first_seen: clock::MonotonicTime,
    pub(crate) wait_until: clock::MonotonicTime,
    decision: RequestDecision,
}

/// The waiting requests listed in a holder's last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingList {
    requests: Vec<PendingRequest>,
}

impl PendingList {
    /// Replaces the list by the one of a new report. Requests already listed keep their decision
    /// and the instant at which they were first seen.
    pub(crate) fn replace(&mut self, now: clock::MonotonicTime, asks: &[quota::TokenRequest]) {
        let known = std::mem::take(&mut self.requests);
        let carry_over = |ask: &quota::TokenRequest| {
            let found = known.iter().find(|pending| pending.ask.request == ask.request);
            found.cloned().unwrap_or_else(|| PendingRequest {
                ask: *ask,
                first_seen: now,
                wait_until: now + time::Duration::from_millis(ask.wait_ms.into()),
                decision: RequestDecision::Undecided,
            })
        };
        self.requests = asks.iter().map(carry_over).collect();
    }

    /// Returns the waiting requests that `allowance` does not cover, each with the tokens that it
    /// is short of. The holder spends its allowance on served requests first.
    pub(crate) fn uncovered(&self, allowance: u64) -> impl Iterator<Item = (&PendingRequest, u64)> {
        let mut allowance = allowance;
        let with =
            |decision| self.requests.iter().filter(move |pending| pending.decision == decision);
        let waiting = with(RequestDecision::Served).chain(with(RequestDecision::Undecided));
        waiting.filter_map(move |pending| {
            let covered = allowance.min(pending.ask.tokens);
            allowance -= covered;
            let shortfall = pending.ask.tokens - covered;
            (shortfall > 0).then_some((pending, shortfall))
        })
    }

    /// Marks a request as served.
    pub(crate) fn serve(&mut self, request: id::RequestId) {
        self.decide(request, RequestDecision::Served);
    }

    /// Marks a request as refused.
    pub(crate) fn refuse(&mut self, request: id::RequestId, until: clock::MonotonicTime) {
        self.decide(request, RequestDecision::Refused { until });
    }

    /// Returns the served requests; none if only one request waits.
    pub(crate) fn served(&self) -> impl Iterator<Item = id::RequestId> {
        let several = self.requests.len() > 1;
        let served = self
            .requests
            .iter()
            .filter(move |pending| several && pending.decision == RequestDecision::Served);
        served.map(|pending| pending.ask.request)
    }

    /// Returns the refused requests, each with its retry delay.
    pub(crate) fn refusals(
        &self,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = quota::TokenRefusal> {
        self.requests.iter().filter_map(move |pending| {
            let RequestDecision::Refused { until } = pending.decision else {
                return None;
            };
            Some(quota::TokenRefusal {
                request: pending.ask.request,
                retry_after: until.since(now),
            })
        })
    }

    fn decide(&mut self, request: id::RequestId, decision: RequestDecision) {
        let found = self.requests.iter_mut().find(|pending| pending.ask.request == request);
        if let Some(pending) = found {
            pending.decision = decision;
        }
    }
}

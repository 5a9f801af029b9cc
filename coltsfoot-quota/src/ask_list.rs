//! Requests of one holder that wait at the owner of a zone bucket.

use std::time;

use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::quota;

/// What was decided on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AskDecision {
    Undecided,
    /// Tokens were granted for it.
    Served,
    /// The caller was told to come back at an instant.
    Refused {
        until: clock::MonotonicTime,
    },
}

/// A request that waits for tokens.
#[derive(Clone, Debug)]
pub(crate) struct WaitingAsk {
    pub(crate) ask: quota::TokenAsk,
    pub(crate) first_seen: clock::MonotonicTime,
    pub(crate) give_up: clock::MonotonicTime,
    decision: AskDecision,
}

/// The waiting requests of a holder, as in its last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct AskList {
    asks: Vec<WaitingAsk>,
}

impl AskList {
    /// Takes over the list of a report; what was decided on a request stays decided.
    pub(crate) fn replace(&mut self, now: clock::MonotonicTime, asks: &[quota::TokenAsk]) {
        let known = std::mem::take(&mut self.asks);
        let carry_over = |ask: &quota::TokenAsk| {
            let found = known.iter().find(|waiting| waiting.ask.request == ask.request);
            found.cloned().unwrap_or_else(|| WaitingAsk {
                ask: *ask,
                first_seen: now,
                give_up: now + time::Duration::from_millis(ask.wait_ms.into()),
                decision: AskDecision::Undecided,
            })
        };
        self.asks = asks.iter().map(carry_over).collect();
    }

    /// Returns the waiting requests that `allowance` does not cover, with the tokens that each
    /// lacks. The holder spends on served requests first.
    pub(crate) fn uncovered(&self, allowance: u64) -> impl Iterator<Item = (&WaitingAsk, u64)> {
        let mut allowance = allowance;
        let with = |decision| self.asks.iter().filter(move |waiting| waiting.decision == decision);
        let waiting = with(AskDecision::Served).chain(with(AskDecision::Undecided));
        waiting.filter_map(move |waiting| {
            let covered = allowance.min(waiting.ask.tokens);
            allowance -= covered;
            let lacking = waiting.ask.tokens - covered;
            (lacking > 0).then_some((waiting, lacking))
        })
    }

    /// Marks a request as served.
    pub(crate) fn serve(&mut self, request: id::RequestId) {
        self.decide(request, AskDecision::Served);
    }

    /// Marks a request as refused.
    pub(crate) fn refuse(&mut self, request: id::RequestId, until: clock::MonotonicTime) {
        self.decide(request, AskDecision::Refused { until });
    }

    /// Returns the served requests, where more than one waits.
    pub(crate) fn served(&self) -> impl Iterator<Item = id::RequestId> {
        let several = self.asks.len() > 1;
        let served = self
            .asks
            .iter()
            .filter(move |waiting| several && waiting.decision == AskDecision::Served);
        served.map(|waiting| waiting.ask.request)
    }

    /// Returns the refused requests, with the time after which each should come back.
    pub(crate) fn refusals(
        &self,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = quota::AskRefusal> {
        self.asks.iter().filter_map(move |waiting| {
            let AskDecision::Refused { until } = waiting.decision else {
                return None;
            };
            Some(quota::AskRefusal { request: waiting.ask.request, retry_after: until.since(now) })
        })
    }

    fn decide(&mut self, request: id::RequestId, decision: AskDecision) {
        let found = self.asks.iter_mut().find(|waiting| waiting.ask.request == request);
        if let Some(waiting) = found {
            waiting.decision = decision;
        }
    }
}

//! Requests of one holder that wait at the owner of a zone bucket.

use std::time;

use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::quota;

/// A request that waits for tokens.
#[derive(Clone, Debug)]
pub(crate) struct WaitingAsk {
    pub(crate) ask: quota::TokenAsk,
    pub(crate) first_seen: clock::MonotonicTime,
    pub(crate) give_up: clock::MonotonicTime,
    /// Instant at which the caller was told to come back.
    pub(crate) refused_until: Option<clock::MonotonicTime>,
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
        self.asks = asks
            .iter()
            .map(|ask| {
                let found = known.iter().find(|waiting| waiting.ask.request == ask.request);
                found.cloned().unwrap_or_else(|| WaitingAsk {
                    ask: *ask,
                    first_seen: now,
                    give_up: now + time::Duration::from_millis(ask.wait_ms.into()),
                    refused_until: None,
                })
            })
            .collect();
    }

    /// Returns the waiting requests that `allowance` does not cover, with the tokens that each
    /// lacks.
    pub(crate) fn uncovered(&self, allowance: u64) -> impl Iterator<Item = (&WaitingAsk, u64)> {
        let mut allowance = allowance;
        let waiting = self.asks.iter().filter(|waiting| waiting.refused_until.is_none());
        waiting.filter_map(move |waiting| {
            let covered = allowance.min(waiting.ask.tokens);
            allowance -= covered;
            let lacking = waiting.ask.tokens - covered;
            (lacking > 0).then_some((waiting, lacking))
        })
    }

    /// Marks a request as refused.
    pub(crate) fn refuse(&mut self, request: id::RequestId, until: clock::MonotonicTime) {
        let found = self.asks.iter_mut().find(|waiting| waiting.ask.request == request);
        if let Some(waiting) = found {
            waiting.refused_until = Some(until);
        }
    }

    /// Returns the refused requests, with the time after which each should come back.
    pub(crate) fn refusals(
        &self,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = quota::AskRefusal> {
        self.asks.iter().filter_map(move |waiting| {
            let until = waiting.refused_until?;
            Some(quota::AskRefusal { request: waiting.ask.request, retry_after: until.since(now) })
        })
    }
}

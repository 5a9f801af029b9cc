//! Tokens set aside for refused callers who were told when to come back.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

/// Promises that one bucket keeps.
const MAX_PROMISES: usize = 4_096;
/// Time after its due instant for which a promise is kept: callers round up to whole seconds.
const PROMISE_GRACE: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Debug)]
struct TokenReservation {
    fingerprint: u64,
    tokens: u64,
    due: clock::MonotonicTime,
}

/// Promises in order of their due instants.
#[derive(Clone, Debug, Default)]
pub struct ReservationList {
    promises: collections::VecDeque<TokenReservation>,
}

impl ReservationList {
    /// Returns whether nothing is promised.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    /// Returns the tokens promised in all.
    pub fn tokens(&self) -> u64 {
        self.promises.iter().map(|promise| promise.tokens).sum()
    }

    /// Returns the due instant of a promise to a content of the same size.
    pub fn due(&self, fingerprint: u64, tokens: u64) -> Option<clock::MonotonicTime> {
        let found = self
            .promises
            .iter()
            .find(|promise| promise.fingerprint == fingerprint && promise.tokens >= tokens);
        found.map(|promise| promise.due)
    }

    /// Adds a promise that falls due after all others, and returns the instant at which it does;
    /// nothing if there was no room for it.
    pub fn promise(
        &mut self,
        fingerprint: u64,
        tokens: u64,
        due: clock::MonotonicTime,
    ) -> Option<clock::MonotonicTime> {
        if self.promises.len() >= MAX_PROMISES {
            return None;
        }
        let due = self.promises.back().map_or(due, |last| last.due.max(due));
        self.promises.push_back(TokenReservation { fingerprint, tokens, due });
        Some(due)
    }

    /// Removes a promise whose caller came back.
    pub fn claim(&mut self, fingerprint: u64, tokens: u64) {
        let found = self
            .promises
            .iter()
            .position(|promise| promise.fingerprint == fingerprint && promise.tokens >= tokens);
        if let Some(index) = found {
            self.promises.remove(index);
        }
    }

    /// Removes the promises whose callers did not come back.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        self.promises.retain(|promise| now < promise.due + PROMISE_GRACE);
    }

    /// Returns how many of the available tokens can be given away by `instant` so that every
    /// promise can still be kept, if `yield_until` gives the tokens accrued up to an instant.
    pub fn slack(
        &self,
        available: u64,
        instant: clock::MonotonicTime,
        yield_until: impl Fn(clock::MonotonicTime) -> u64,
    ) -> u64 {
        let mut promised = 0_u64;
        let mut slack = u64::MAX;
        for promise in &self.promises {
            promised += promise.tokens;
            if promise.due <= instant {
                continue;
            }
            let until_due = available.saturating_add(yield_until(promise.due));
            slack = slack.min(until_due.saturating_sub(promised));
        }
        let supply = available.saturating_add(yield_until(instant));
        slack.min(supply.saturating_sub(self.tokens_until(instant)))
    }

    fn tokens_until(&self, instant: clock::MonotonicTime) -> u64 {
        let due = self.promises.iter().take_while(|promise| promise.due <= instant);
        due.map(|promise| promise.tokens).sum()
    }
}

//! Tokens set aside for refused callers who were told when to come back.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

/// Promises that one bucket keeps.
const MAX_RESERVATIONS: usize = 4_096;
/// Time after its due instant for which a reservation is kept: callers round up to whole seconds.
const RESERVATION_GRACE: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Debug)]
struct TokenReservation {
    fingerprint: u64,
    tokens: u64,
    due: clock::MonotonicTime,
}

/// Promises in order of their due instants.
#[derive(Clone, Debug, Default)]
pub struct ReservationList {
    reservations: collections::VecDeque<TokenReservation>,
}

impl ReservationList {
    /// Returns whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Returns the tokens reserved in all.
    pub fn tokens(&self) -> u64 {
        self.reservations.iter().map(|reservation| reservation.tokens).sum()
    }

    /// Returns the due instant of a reservation to a content of the same size.
    pub fn due(&self, fingerprint: u64, tokens: u64) -> Option<clock::MonotonicTime> {
        let found = self.reservations.iter().find(|reservation| {
            reservation.fingerprint == fingerprint && reservation.tokens >= tokens
        });
        found.map(|reservation| reservation.due)
    }

    /// Adds a reservation that falls due after all others, and returns the instant at which it does;
    /// nothing if there was no room for it.
    pub fn reserve(
        &mut self,
        fingerprint: u64,
        tokens: u64,
        due: clock::MonotonicTime,
    ) -> Option<clock::MonotonicTime> {
        if self.reservations.len() >= MAX_RESERVATIONS {
            return None;
        }
        let due = self.reservations.back().map_or(due, |last| last.due.max(due));
        self.reservations.push_back(TokenReservation { fingerprint, tokens, due });
        Some(due)
    }

    /// Removes a reservation whose caller came back.
    pub fn claim(&mut self, fingerprint: u64, tokens: u64) {
        let found = self.reservations.iter().position(|reservation| {
            reservation.fingerprint == fingerprint && reservation.tokens >= tokens
        });
        if let Some(index) = found {
            self.reservations.remove(index);
        }
    }

    /// Removes the reservations whose callers did not come back.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        self.reservations.retain(|reservation| now < reservation.due + RESERVATION_GRACE);
    }

    /// Returns how many of the available tokens can be given away by `instant` so that every
    /// reservation can still be kept, if `accrued_until` gives the tokens accrued up to an instant.
    pub fn slack(
        &self,
        available: u64,
        instant: clock::MonotonicTime,
        accrued_until: impl Fn(clock::MonotonicTime) -> u64,
    ) -> u64 {
        let mut reserved = 0_u64;
        let mut slack = u64::MAX;
        for reservation in &self.reservations {
            reserved += reservation.tokens;
            if reservation.due <= instant {
                continue;
            }
            let until_due = available.saturating_add(accrued_until(reservation.due));
            slack = slack.min(until_due.saturating_sub(reserved));
        }
        let supply = available.saturating_add(accrued_until(instant));
        slack.min(supply.saturating_sub(self.tokens_until(instant)))
    }

    fn tokens_until(&self, instant: clock::MonotonicTime) -> u64 {
        let due = self.reservations.iter().take_while(|reservation| reservation.due <= instant);
        due.map(|reservation| reservation.tokens).sum()
    }
}

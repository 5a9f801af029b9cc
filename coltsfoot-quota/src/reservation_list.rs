//! Tokens reserved for refused callers that were told when to retry.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

/// Maximum number of reservations per bucket.
const MAX_RESERVATIONS: usize = 4_096;
/// Time for which a due reservation is kept: callers round their delay up to whole seconds.
const RESERVATION_GRACE: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Debug)]
struct TokenReservation {
    fingerprint: u64,
    tokens: u64,
    due: clock::MonotonicTime,
}

/// Reservations in order of their due instants.
#[derive(Clone, Debug, Default)]
pub struct ReservationList {
    reservations: collections::VecDeque<TokenReservation>,
}

impl ReservationList {
    /// Returns whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Returns the total number of reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.reservations.iter().map(|reservation| reservation.tokens).sum()
    }

    /// Returns the due instant of a reservation for the same content and at least `tokens`.
    pub fn due(&self, fingerprint: u64, tokens: u64) -> Option<clock::MonotonicTime> {
        let found = self.reservations.iter().find(|reservation| {
            reservation.fingerprint == fingerprint && reservation.tokens >= tokens
        });
        found.map(|reservation| reservation.due)
    }

    /// Adds a reservation due at `due`, but not before any other, and returns its due instant;
    /// `None` if the list is full.
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

    /// Removes the reservation of a caller that retried and got its tokens.
    pub fn claim(&mut self, fingerprint: u64, tokens: u64) {
        let found = self.reservations.iter().position(|reservation| {
            reservation.fingerprint == fingerprint && reservation.tokens >= tokens
        });
        if let Some(index) = found {
            self.reservations.remove(index);
        }
    }

    /// Removes the reservations whose callers did not retry in time.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        self.reservations.retain(|reservation| now < reservation.due + RESERVATION_GRACE);
    }

    /// Returns the tokens that can be granted by `instant` without violating a reservation.
    /// `accrued_until` returns the tokens accrued up to an instant.
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

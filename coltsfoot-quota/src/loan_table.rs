//! Tokens that the owner of a zone bucket borrows from the owners of other zones.
//!
//! A loan uses the same session protocol as an instance uses with its owner. Borrowed tokens are
//! regranted to instances. Spent tokens are charged to loans first, so that loans end early.

use std::collections;
use std::time;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::quota;

use crate::session;

/// Minimum remaining validity of a loan whose tokens are regranted.
const MIN_REGRANT_VALIDITY: time::Duration = time::Duration::from_millis(500);
/// Interval at which a loan in use is renewed.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time after which an unanswered report is resent and its lender is no longer waited for.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Time for which a lender that granted less than asked is not asked again.
const EXHAUSTED_BACKOFF: time::Duration = time::Duration::from_millis(250);

/// Tokens that a bucket is short of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenShortage {
    /// Tokens to borrow for requests and demand.
    pub(crate) tokens: u64,
    /// Part of `tokens` that requests are waiting for.
    pub(crate) urgent: u64,
    /// Tokens to accept from buckets that would otherwise overflow.
    pub(crate) surplus: u64,
}

/// The borrower's side of the sessions with one zone.
#[derive(Clone, Debug, Default)]
struct ZoneLoan {
    session: Option<session::HolderSession>,
    /// Borrowed tokens regranted to instances and possibly unspent.
    regranted: u64,
    /// Tokens requested in the last report.
    wanted: u64,
    sent: Option<SentReport>,
    answered: bool,
    /// Spare rate of the lender in its last answer, in tokens per second.
    spare_rate: u64,
    exhausted_until: clock::MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    at: clock::MonotonicTime,
}

impl ZoneLoan {
    fn allowance(&self, now: clock::MonotonicTime) -> u64 {
        self.session.as_ref().map_or(0, |session| session.allowance(now))
    }

    fn available(&self, now: clock::MonotonicTime) -> u64 {
        self.allowance(now).saturating_sub(self.regranted)
    }

    fn valid_until(&self) -> clock::MonotonicTime {
        self.session.as_ref().map_or(clock::MonotonicTime(0), |session| session.valid_until)
    }

    fn can_regrant(&self, now: clock::MonotonicTime) -> bool {
        now + MIN_REGRANT_VALIDITY < self.valid_until()
    }

    fn sent_within(&self, now: clock::MonotonicTime, period: time::Duration) -> bool {
        self.sent.is_some_and(|sent| now.since(sent.at) < period)
    }

    fn is_due(&self, now: clock::MonotonicTime, shortage: u64, wants_surplus: bool) -> bool {
        if !self.answered && self.sent_within(now, ANSWER_TIMEOUT) {
            return false;
        }
        if shortage > 0 && now >= self.exhausted_until {
            return true;
        }
        (self.allowance(now) > 0 || wants_surplus) && !self.sent_within(now, RENEWAL_INTERVAL)
    }
}

/// Loans of one customer's tokens, by lending zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoanTable {
    loans: collections::BTreeMap<name::ZoneName, ZoneLoan>,
}

impl LoanTable {
    /// Returns the borrowed tokens that can be regranted.
    pub(crate) fn available(&self, now: clock::MonotonicTime) -> u64 {
        let usable = self.loans.values().filter(|loan| loan.can_regrant(now));
        usable.map(|loan| loan.available(now)).sum()
    }

    /// Returns the total spare rate of the reachable lenders in `zones`, in tokens per second.
    pub(crate) fn spare_rate(&self, zones: &collections::BTreeMap<name::ZoneName, u16>) -> u64 {
        zones.keys().filter_map(|zone| self.loans.get(zone)).map(|loan| loan.spare_rate).sum()
    }

    /// Returns the borrowed tokens that are regranted and possibly unspent.
    pub(crate) fn regranted(&self) -> u64 {
        self.loans.values().map(|loan| loan.regranted).sum()
    }

    /// Returns the instant at which the first regranted tokens expire.
    pub(crate) fn valid_until(&self) -> Option<clock::MonotonicTime> {
        let used = self.loans.values().filter(|loan| loan.regranted > 0);
        used.map(ZoneLoan::valid_until).min()
    }

    /// Takes tokens to regrant. Panics if fewer are available.
    pub(crate) fn take(&mut self, now: clock::MonotonicTime, tokens: u64) {
        let mut rest = tokens;
        for loan in self.loans.values_mut().filter(|loan| loan.can_regrant(now)) {
            let part = rest.min(loan.available(now));
            loan.regranted += part;
            rest -= part;
        }
        assert!(rest == 0, "more borrowed tokens were taken than available");
    }

    /// Charges spent tokens to the loans. Returns the remainder that no loan covers.
    pub(crate) fn spend(&mut self, tokens: u64) -> u64 {
        let mut rest = tokens;
        for loan in self.loans.values_mut() {
            let part = rest.min(loan.regranted);
            loan.regranted -= part;
            rest -= part;
            if let Some(session) = &mut loan.session {
                session.write_off(part);
            }
        }
        rest
    }

    /// Returns unspent tokens to the loans. Returns the remainder that no loan covers.
    pub(crate) fn put_back(&mut self, tokens: u64) -> u64 {
        let mut rest = tokens;
        for loan in self.loans.values_mut() {
            let part = rest.min(loan.regranted);
            loan.regranted -= part;
            rest -= part;
        }
        rest
    }

    /// Writes off regranted tokens whose loan has expired.
    pub(crate) fn expire(&mut self, now: clock::MonotonicTime) {
        for loan in self.loans.values_mut() {
            if loan.regranted == 0 || now < loan.valid_until() {
                continue;
            }
            if let Some(session) = &mut loan.session {
                session.write_off(loan.regranted);
            }
            loan.regranted = 0;
        }
    }

    /// Applies a lender's update. Returns whether it was new.
    pub(crate) fn apply(
        &mut self,
        now: clock::MonotonicTime,
        sender: &name::InstanceName,
        update: &quota::GrantUpdate,
    ) -> bool {
        let Some(loan) = self.loans.get_mut(&update.zone) else {
            return false;
        };
        let Some(sent) = loan.sent.filter(|sent| sent.sequence == update.sequence) else {
            return false;
        };
        let is_current = loan
            .session
            .as_ref()
            .is_some_and(|session| session.owner == *sender && session.number == update.session);
        if !is_current {
            loan.session = Some(session::HolderSession::new(sender.clone(), update.session));
            loan.regranted = 0;
        }
        let Some(session) = &mut loan.session else {
            return false;
        };
        if !session.apply(update, sent.at) {
            return false;
        }
        loan.answered = true;
        loan.spare_rate = update.spare_rate;
        if loan.allowance(now) < loan.wanted {
            loan.exhausted_until = now + EXHAUSTED_BACKOFF;
        }
        true
    }

    /// Returns whether some lender may still grant tokens for a request received at `asked_at`.
    pub(crate) fn may_still_lend(
        &self,
        now: clock::MonotonicTime,
        zones: &collections::BTreeMap<name::ZoneName, u16>,
        asked_at: clock::MonotonicTime,
    ) -> bool {
        zones.keys().any(|zone| {
            let Some(loan) = self.loans.get(zone) else {
                return now.since(asked_at) < ANSWER_TIMEOUT;
            };
            now >= loan.exhausted_until && now.since(asked_at) < ANSWER_TIMEOUT
        })
    }

    /// Builds the reports that are due; each asks for the loan held and a part of `shortage`.
    /// `zones` maps reachable lenders to their weights.
    pub(crate) fn due_reports(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        zones: &collections::BTreeMap<name::ZoneName, u16>,
        shortage: TokenShortage,
        next_sequence: &mut u64,
    ) -> Vec<quota::GrantReport> {
        let weights = zones.values().map(|weight| u64::from(*weight)).sum::<u64>().max(1);
        let mut reports = Vec::new();
        for (zone, weight) in zones {
            let loan = self.loans.entry(zone.clone()).or_default();
            if !loan.is_due(now, shortage.tokens, shortage.surplus > 0) {
                continue;
            }
            let part = |tokens: u64| tokens.saturating_mul(u64::from(*weight)).div_ceil(weights);
            let part = TokenShortage {
                tokens: part(shortage.tokens),
                urgent: part(shortage.urgent),
                surplus: part(shortage.surplus),
            };
            reports.push(loan.build_report(now, customer, zone, part, next_sequence));
        }
        reports
    }
}

impl ZoneLoan {
    fn build_report(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        zone: &name::ZoneName,
        part: TokenShortage,
        next_sequence: &mut u64,
    ) -> quota::GrantReport {
        *next_sequence += 1;
        let unneeded = if part.tokens == 0 && part.surplus == 0 { self.available(now) } else { 0 };
        let kept = self.allowance(now) - unneeded;
        self.wanted = kept + part.tokens;
        self.sent = Some(SentReport { sequence: *next_sequence, at: now });
        self.answered = false;
        let mut report = quota::GrantReport {
            customer: customer.clone(),
            zone: zone.clone(),
            role: quota::HolderRole::Zone,
            session: None,
            sequence: *next_sequence,
            spent: 0,
            returned: 0,
            refunded: 0,
            refund_age_ms: 0,
            wanted: self.wanted,
            urgent: part.urgent,
            surplus: kept + part.surplus,
            expects_answer: true,
            requests: Default::default(),
        };
        if let Some(session) = &mut self.session {
            session.return_unspent(now, unneeded);
            session.fill(&mut report);
        }
        report
    }
}

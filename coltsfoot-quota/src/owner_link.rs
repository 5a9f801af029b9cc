//! An instance's side of the protocol with the owner of one zone bucket.

use std::collections;
use std::time;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::quota;

use crate::session;

/// Time after which an unanswered report is resent.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Interval at which a session in use is renewed.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Minimum interval between reports that only prefetch tokens or announce spending.
const REFILL_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of recent reports whose send time is kept.
const MAX_SENT_REPORTS: usize = 16;
/// Maximum number of waiting requests listed in a report.
const MAX_LISTED_REQUESTS: usize = 16;
/// Time for which an expired session is kept; by then its owner has certainly dropped it too.
const SESSION_RETENTION: time::Duration = time::Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    at: clock::MonotonicTime,
}

/// A request that waits for tokens at this instance.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) ask: quota::TokenRequest,
    /// Arrival number, increasing per account.
    pub(crate) arrival: u64,
    pub(crate) deadline: clock::MonotonicTime,
    pub(crate) wait_until: clock::MonotonicTime,
}

/// Demand of the instance for a customer's tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenDemand<'a> {
    /// Tokens to prefetch.
    pub(crate) wanted: u64,
    pub(crate) waiting: &'a collections::VecDeque<WaitingRequest>,
    /// Whether some refunds have not been reported yet.
    pub(crate) has_refund: bool,
}

impl TokenDemand<'_> {
    fn waiting_tokens(&self) -> u64 {
        self.waiting.iter().map(|waiting| waiting.ask.tokens).sum()
    }
}

/// The holder's side of the sessions with one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerLink {
    session: Option<session::HolderSession>,
    sent: collections::VecDeque<SentReport>,
    unanswered_since: Option<clock::MonotonicTime>,
    /// Highest arrival number listed in the last report.
    listed_through: u64,
    /// Sequence number of the last answered report.
    answered: u64,
    /// Whether the bucket is nearly full, so that spending is reported early.
    is_nearly_full: bool,
    has_spent: bool,
}

impl OwnerLink {
    pub(crate) fn allowance(&self, now: clock::MonotonicTime) -> u64 {
        self.session.as_ref().map_or(0, |session| session.allowance(now))
    }

    pub(crate) fn is_silent(&self, now: clock::MonotonicTime, period: time::Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= period)
    }

    /// Spends up to `tokens`. Returns the remaining shortfall.
    pub(crate) fn spend(&mut self, now: clock::MonotonicTime, tokens: u64) -> u64 {
        let Some(session) = &mut self.session else {
            return tokens;
        };
        let part = tokens.min(session.allowance(now));
        session.spend(now, part);
        self.has_spent |= part > 0;
        tokens - part
    }

    /// Drops a session that expired long ago. Returns whether no session is left.
    pub(crate) fn prune(&mut self, now: clock::MonotonicTime) -> bool {
        let is_expired = self
            .session
            .as_ref()
            .is_some_and(|session| now.since(session.valid_until) > SESSION_RETENTION);
        if is_expired {
            self.session = None;
        }
        self.session.is_none()
    }

    /// Applies an owner's update. Returns whether it was new.
    pub(crate) fn apply(
        &mut self,
        sender: &name::InstanceName,
        update: &quota::GrantUpdate,
    ) -> bool {
        let Some(sent) = self.sent.iter().find(|sent| sent.sequence == update.sequence) else {
            return false;
        };
        let sent_at = sent.at;
        let is_last = self.sent.back().is_some_and(|last| last.sequence == update.sequence);
        let is_current = self
            .session
            .as_ref()
            .is_some_and(|session| session.owner == *sender && session.number == update.session);
        if !is_current {
            // An answer to an older report may name a session that the owner has closed meanwhile.
            if !is_last {
                return false;
            }
            self.session = Some(session::HolderSession::new(sender.clone(), update.session));
        }
        if is_last {
            self.unanswered_since = None;
        }
        self.answered = self.answered.max(update.sequence);
        self.is_nearly_full = update.is_nearly_full;
        self.session.as_mut().is_some_and(|session| session.apply(update, sent_at))
    }

    /// Returns whether a report is due.
    pub(crate) fn is_due(&self, now: clock::MonotonicTime, demand: TokenDemand<'_>) -> bool {
        let idle_for = self.sent.back().map_or(time::Duration::MAX, |last| now.since(last.at));
        if self.unanswered_since.is_some() && idle_for < ANSWER_TIMEOUT {
            return false;
        }
        let allowance = self.allowance(now);
        if !demand.waiting.is_empty() {
            let has_new = demand
                .waiting
                .iter()
                .take(MAX_LISTED_REQUESTS)
                .any(|waiting| waiting.arrival > self.listed_through);
            return has_new || self.unanswered_since.is_some() || idle_for >= RENEWAL_INTERVAL / 2;
        }
        if demand.wanted > 2 * allowance && demand.wanted > 0 {
            return idle_for >= REFILL_INTERVAL;
        }
        if self.is_nearly_full && self.has_spent {
            return idle_for >= REFILL_INTERVAL;
        }
        (allowance > 0 || demand.has_refund) && idle_for >= RENEWAL_INTERVAL
    }

    /// Builds the next report, which also returns tokens beyond the demand.
    pub(crate) fn build_report(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        zone: &name::ZoneName,
        demand: TokenDemand<'_>,
        next_sequence: &mut u64,
    ) -> quota::GrantReport {
        *next_sequence += 1;
        let listed = demand.waiting.iter().take(MAX_LISTED_REQUESTS);
        self.listed_through = listed.clone().map(|waiting| waiting.arrival).max().unwrap_or(0);
        let mut report = quota::GrantReport {
            customer: customer.clone(),
            zone: zone.clone(),
            role: quota::HolderRole::Instance,
            session: None,
            sequence: *next_sequence,
            spent: 0,
            returned: 0,
            refunded: 0,
            refund_age_ms: 0,
            wanted: demand.wanted,
            urgent: 0,
            surplus: 0,
            expects_answer: true,
            requests: listed.map(|waiting| waiting.remaining(now)).collect(),
        };
        if let Some(session) = &mut self.session {
            let needed = demand.wanted + demand.waiting_tokens();
            let allowance = session.allowance(now);
            if allowance > needed + demand.wanted {
                session.return_unspent(now, allowance - needed);
            }
            session.fill(&mut report);
        }
        self.has_spent = false;
        let holds = self.allowance(now) > 0;
        report.expects_answer = holds || demand.wanted > 0 || !demand.waiting.is_empty();
        self.record_sent(now, &report);
        report
    }

    /// Returns whether the owner has answered the report `sequence` or a later one.
    pub(crate) fn has_answered(&self, sequence: u64) -> bool {
        self.answered >= sequence
    }

    fn record_sent(&mut self, now: clock::MonotonicTime, report: &quota::GrantReport) {
        if report.expects_answer {
            self.unanswered_since.get_or_insert(now);
        }
        self.sent.push_back(SentReport { sequence: report.sequence, at: now });
        if self.sent.len() > MAX_SENT_REPORTS {
            self.sent.pop_front();
        }
    }
}

impl WaitingRequest {
    /// Returns the wire form of the request with its remaining wait.
    fn remaining(&self, now: clock::MonotonicTime) -> quota::TokenRequest {
        quota::TokenRequest { wait_ms: self.wait_until.since(now).as_millis() as u32, ..self.ask }
    }
}

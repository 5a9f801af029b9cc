//! Both sides of a session in which an owner grants tokens to a holder.
//!
//! All counters are cumulative. A session expires at the holder before it expires at the owner, so
//! tokens that the owner writes off can no longer be spent.

use std::time;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::quota;

/// Time for which granted tokens may be spent after the owner last extended the session.
pub const GRANT_LIFETIME: time::Duration = time::Duration::from_secs(2);
/// Allowance for clock drift over the lifetime of a grant.
pub const CLOCK_DRIFT_MARGIN: time::Duration = time::Duration::from_millis(200);

/// The owner's side of a session.
#[derive(Clone, Debug)]
pub(crate) struct LenderSession {
    pub(crate) number: u64,
    /// Sequence number of the last report applied.
    pub(crate) sequence: u64,
    /// Whether the holder has named this session in a report.
    pub(crate) acknowledged: bool,
    report_received: clock::MonotonicTime,
    until: clock::MonotonicTime,
    expires_at: clock::MonotonicTime,
    updates: u64,
    granted: u64,
    spent: u64,
    returned: u64,
    pub(crate) wanted: u64,
    pub(crate) urgent: u64,
    pub(crate) surplus: u64,
}

/// Increments of the cumulative counters in a report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportDelta {
    pub(crate) spent: u64,
    pub(crate) returned: u64,
}

impl LenderSession {
    pub(crate) fn new(number: u64, now: clock::MonotonicTime) -> Self {
        Self {
            number,
            sequence: 0,
            acknowledged: false,
            report_received: now,
            until: now,
            expires_at: now + GRANT_LIFETIME + CLOCK_DRIFT_MARGIN,
            updates: 0,
            granted: 0,
            spent: 0,
            returned: 0,
            wanted: 0,
            urgent: 0,
            surplus: 0,
        }
    }

    /// Returns the tokens granted and possibly unspent.
    pub(crate) fn outstanding(&self) -> u64 {
        self.granted - self.spent - self.returned
    }

    pub(crate) fn is_expired(&self, now: clock::MonotonicTime) -> bool {
        now >= self.expires_at
    }

    /// Applies a report, which must be newer than all previous ones.
    pub(crate) fn apply(
        &mut self,
        now: clock::MonotonicTime,
        report: &quota::GrantReport,
    ) -> ReportDelta {
        self.sequence = report.sequence;
        self.report_received = now;
        self.wanted = report.wanted;
        self.urgent = report.urgent;
        self.surplus = report.surplus;
        if report.session != Some(self.number) {
            return ReportDelta::default();
        }
        self.acknowledged = true;
        let spent = report.spent.saturating_sub(self.spent).min(self.outstanding());
        self.spent += spent;
        let returned = report.returned.saturating_sub(self.returned).min(self.outstanding());
        self.returned += returned;
        ReportDelta { spent, returned }
    }

    pub(crate) fn grant(&mut self, tokens: u64) {
        self.granted += tokens;
    }

    /// Extends the session to `until` on the owner's clock.
    pub(crate) fn extend(&mut self, until: clock::MonotonicTime) {
        self.until = until;
        self.expires_at = self.expires_at.max(until + CLOCK_DRIFT_MARGIN);
    }

    /// Builds the next update, without refusals, served requests or bucket state.
    pub(crate) fn build_update(
        &mut self,
        customer: &name::CustomerName,
        zone: &name::ZoneName,
        role: quota::HolderRole,
    ) -> quota::GrantUpdate {
        self.updates += 1;
        quota::GrantUpdate {
            customer: customer.clone(),
            zone: zone.clone(),
            role,
            session: self.number,
            number: self.updates,
            sequence: self.sequence,
            granted: self.granted,
            lifetime: self.until.since(self.report_received),
            spare_rate: 0,
            is_nearly_full: false,
            served: Default::default(),
            refusals: Default::default(),
        }
    }
}

/// The holder's side of a session.
#[derive(Clone, Debug)]
pub(crate) struct HolderSession {
    pub(crate) owner: name::InstanceName,
    pub(crate) number: u64,
    updates: u64,
    pub(crate) valid_until: clock::MonotonicTime,
    granted: u64,
    spent: u64,
    returned: u64,
}

impl HolderSession {
    pub(crate) fn new(owner: name::InstanceName, number: u64) -> Self {
        Self {
            owner,
            number,
            updates: 0,
            valid_until: clock::MonotonicTime(0),
            granted: 0,
            spent: 0,
            returned: 0,
        }
    }

    /// Returns the tokens that may be spent.
    pub(crate) fn allowance(&self, now: clock::MonotonicTime) -> u64 {
        if now >= self.valid_until {
            return 0;
        }
        self.granted - self.spent - self.returned
    }

    /// Applies an update that answers a report sent at `sent`. Returns whether it was new.
    pub(crate) fn apply(
        &mut self,
        update: &quota::GrantUpdate,
        sent: clock::MonotonicTime,
    ) -> bool {
        if update.number <= self.updates {
            return false;
        }
        self.updates = update.number;
        self.granted = self.granted.max(update.granted);
        self.valid_until = sent + update.lifetime;
        true
    }

    pub(crate) fn spend(&mut self, now: clock::MonotonicTime, tokens: u64) {
        assert!(tokens <= self.allowance(now), "more tokens were spent than granted");
        self.spent += tokens;
    }

    /// Counts up to `tokens` unspent tokens as spent: they were regranted, or have expired.
    pub(crate) fn write_off(&mut self, tokens: u64) {
        self.spent += tokens.min(self.granted - self.spent - self.returned);
    }

    pub(crate) fn return_unspent(&mut self, now: clock::MonotonicTime, tokens: u64) {
        self.returned += tokens.min(self.allowance(now));
    }

    /// Copies the session number and the counters into a report.
    pub(crate) fn fill(&self, report: &mut quota::GrantReport) {
        report.session = Some(self.number);
        report.spent = self.spent;
        report.returned = self.returned;
    }
}

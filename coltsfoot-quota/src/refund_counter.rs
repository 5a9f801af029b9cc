//! Tokens that finished requests of a customer did not use, as an instance reports them.

use coltsfoot_types::time as clock;
use coltsfoot_wire::quota;

/// A cumulative count of refunds, with the age of those that may not have been credited.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefundCounter {
    total: u64,
    /// Admission of the oldest request whose refund no answered report carried.
    oldest_admission: Option<clock::MonotonicTime>,
    is_reported: bool,
    /// First report that carried all refunds so far.
    reported_by: u64,
}

impl RefundCounter {
    /// Adds what a request did not use.
    pub(crate) fn add(&mut self, admitted: clock::MonotonicTime, tokens: u64) {
        self.total += tokens;
        let oldest = self.oldest_admission.map_or(admitted, |oldest| oldest.min(admitted));
        self.oldest_admission = Some(oldest);
        self.is_reported = false;
    }

    /// Returns whether no report carried some of the refunds.
    pub(crate) fn has_unreported(&self) -> bool {
        self.oldest_admission.is_some() && !self.is_reported
    }

    /// Copies the count into a report.
    pub(crate) fn fill(&mut self, now: clock::MonotonicTime, report: &mut quota::GrantReport) {
        report.refunded = self.total;
        let Some(oldest) = self.oldest_admission else {
            return;
        };
        report.refund_age_ms = (now.since(oldest).as_millis() as u32).saturating_add(1);
        if !self.is_reported {
            self.is_reported = true;
            self.reported_by = report.sequence;
        }
    }

    /// Ends the age of refunds that the owner has credited. `has_answered` tells whether it
    /// answered a report.
    pub(crate) fn acknowledge(&mut self, has_answered: impl Fn(u64) -> bool) {
        if self.is_reported && has_answered(self.reported_by) {
            self.oldest_admission = None;
        }
    }
}

//! Unused tokens of a customer's finished requests, as an instance reports them.

use coltsfoot_types::time as clock;
use coltsfoot_wire::quota;

/// Cumulative count of refunded tokens, and the age of the refunds that may not be credited yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefundCounter {
    total: u64,
    /// Admission of the oldest request whose refund no answered report has carried.
    oldest_admission: Option<clock::MonotonicTime>,
    is_reported: bool,
    /// Sequence number of the first report that carried all refunds.
    reported_by: u64,
}

impl RefundCounter {
    /// Adds the unused tokens of a request admitted at `admitted`.
    pub(crate) fn add(&mut self, admitted: clock::MonotonicTime, tokens: u64) {
        self.total += tokens;
        let oldest = self.oldest_admission.map_or(admitted, |oldest| oldest.min(admitted));
        self.oldest_admission = Some(oldest);
        self.is_reported = false;
    }

    /// Returns whether some refunds have not been reported yet.
    pub(crate) fn has_unreported(&self) -> bool {
        self.oldest_admission.is_some() && !self.is_reported
    }

    /// Copies the count and the refund age into a report.
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

    /// Clears the refund age once the owner has credited all refunds. `has_answered` tells whether
    /// the owner answered the report with a sequence number.
    pub(crate) fn acknowledge(&mut self, has_answered: impl Fn(u64) -> bool) {
        if self.is_reported && has_answered(self.reported_by) {
            self.oldest_admission = None;
        }
    }
}

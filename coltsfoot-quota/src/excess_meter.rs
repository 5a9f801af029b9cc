//! Exact check that admissions stay within rate and burst over every interval.

use std::collections;

use coltsfoot_types::{id, time as clock};

use crate::token_bucket;

/// An admission with the tokens that the request used.
#[derive(Clone, Copy, Debug)]
struct MeteredAdmission {
    at: clock::MonotonicTime,
    tokens: u64,
}

/// Limits in force from an instant on.
#[derive(Clone, Copy, Debug)]
struct MeteredLimits {
    from: clock::MonotonicTime,
    limits: token_bucket::BucketLimits,
}

/// Records the admissions of one customer at all instances on a common clock.
///
/// A request counts at the instant of its admission, with its final token usage.
#[derive(Clone, Debug)]
pub struct ExcessMeter {
    limits: Vec<MeteredLimits>,
    admissions: collections::BTreeMap<id::RequestId, MeteredAdmission>,
}

impl ExcessMeter {
    /// Creates a meter with limits in force from the origin of the clock.
    pub fn new(limits: token_bucket::BucketLimits) -> Self {
        let from = clock::MonotonicTime(0);
        Self {
            limits: vec![MeteredLimits { from, limits }],
            admissions: collections::BTreeMap::new(),
        }
    }

    /// Changes the limits from an instant on. Calls must be in chronological order.
    pub fn change_limits(
        &mut self,
        from: clock::MonotonicTime,
        limits: token_bucket::BucketLimits,
    ) {
        self.limits.push(MeteredLimits { from, limits });
    }

    /// Records an admission. Panics if the request was already admitted.
    pub fn admit(&mut self, at: clock::MonotonicTime, request: id::RequestId, tokens: u64) {
        let admission = MeteredAdmission { at, tokens };
        let earlier = self.admissions.insert(request, admission);
        assert!(earlier.is_none(), "request {request} was admitted twice");
    }

    /// Records that a request left `unused` of its tokens.
    pub fn refund(&mut self, request: id::RequestId, unused: u64) {
        if let Some(admission) = self.admissions.get_mut(&request) {
            admission.tokens = admission.tokens.saturating_sub(unused);
        }
    }

    /// Returns the tokens of all admissions, refunds deducted.
    pub fn total(&self) -> u64 {
        self.admissions.values().map(|admission| admission.tokens).sum()
    }

    /// Returns the number of tokens by which admissions exceed burst + rate × time in the worst
    /// interval.
    ///
    /// The burst of an interval is the one at its start. The largest excess over all intervals is
    /// the deepest overdraft of a bucket that starts full and is charged with every admission.
    pub fn max_excess(&self) -> u64 {
        let mut admissions = self.admissions.values().copied().collect::<Vec<_>>();
        admissions.sort_by_key(|admission| admission.at);
        let mut level = VirtualLevel::new(&self.limits);
        let mut lowest = 0;
        for admission in admissions {
            level.advance(admission.at);
            level.microtokens -= i128::from(admission.tokens) * MICROTOKENS_PER_TOKEN;
            lowest = level.microtokens.min(lowest);
        }
        let excess = (-lowest + MICROTOKENS_PER_TOKEN - 1) / MICROTOKENS_PER_TOKEN;
        excess as u64
    }
}

/// A rate of n tokens per second accrues n microtokens per microsecond.
const MICROTOKENS_PER_TOKEN: i128 = 1_000_000;

/// Level of a token bucket that may become negative.
struct VirtualLevel<'a> {
    limits: &'a [MeteredLimits],
    microtokens: i128,
    at: clock::MonotonicTime,
}

impl<'a> VirtualLevel<'a> {
    fn new(limits: &'a [MeteredLimits]) -> Self {
        let microtokens = i128::from(limits[0].limits.burst) * MICROTOKENS_PER_TOKEN;
        Self { limits, microtokens, at: limits[0].from }
    }

    fn advance(&mut self, to: clock::MonotonicTime) {
        while let [current, next, ..] = self.limits
            && next.from <= to
        {
            self.accrue(current.limits, next.from);
            let capacity = i128::from(next.limits.burst) * MICROTOKENS_PER_TOKEN;
            self.microtokens = self.microtokens.min(capacity);
            self.limits = &self.limits[1..];
        }
        self.accrue(self.limits[0].limits, to);
    }

    fn accrue(&mut self, limits: token_bucket::BucketLimits, to: clock::MonotonicTime) {
        let micros = to.since(self.at).as_micros() as i128;
        let capacity = i128::from(limits.burst) * MICROTOKENS_PER_TOKEN;
        self.microtokens = (self.microtokens + micros * i128::from(limits.rate)).min(capacity);
        self.at = self.at.max(to);
    }
}

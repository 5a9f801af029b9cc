//! Exact check of admissions against rate and burst over every interval.

use std::collections;

use coltsfoot_types::{id, time as clock};

use crate::token_bucket;

/// An admission as seen from outside.
#[derive(Clone, Copy, Debug)]
struct MeteredAdmission {
    at: clock::MonotonicTime,
    tokens: u64,
}

/// Limits that hold from an instant on.
#[derive(Clone, Copy, Debug)]
struct MeteredLimits {
    from: clock::MonotonicTime,
    limits: token_bucket::BucketLimits,
}

/// Records the admissions of one customer at all instances, on one clock.
///
/// A request counts at the instant of its admission, with the tokens that it used in the end.
#[derive(Clone, Debug)]
pub struct ExcessMeter {
    limits: Vec<MeteredLimits>,
    admissions: collections::BTreeMap<id::RequestId, MeteredAdmission>,
}

impl ExcessMeter {
    /// Builds a meter for limits that hold from the origin of the clock on.
    pub fn new(limits: token_bucket::BucketLimits) -> Self {
        let from = clock::MonotonicTime(0);
        Self {
            limits: vec![MeteredLimits { from, limits }],
            admissions: collections::BTreeMap::new(),
        }
    }

    /// Changes the limits from an instant on, later than those of all changes before.
    pub fn change_limits(
        &mut self,
        from: clock::MonotonicTime,
        limits: token_bucket::BucketLimits,
    ) {
        self.limits.push(MeteredLimits { from, limits });
    }

    /// Records an admission.
    pub fn admit(&mut self, at: clock::MonotonicTime, request: id::RequestId, tokens: u64) {
        let admission = MeteredAdmission { at, tokens };
        let earlier = self.admissions.insert(request, admission);
        assert!(earlier.is_none(), "request {request} was admitted twice");
    }

    /// Records that a request did not use all its tokens.
    pub fn refund(&mut self, request: id::RequestId, unused: u64) {
        if let Some(admission) = self.admissions.get_mut(&request) {
            admission.tokens = admission.tokens.saturating_sub(unused);
        }
    }

    /// Returns the tokens admitted in all.
    pub fn total(&self) -> u64 {
        self.admissions.values().map(|admission| admission.tokens).sum()
    }

    /// Returns by how many tokens the admissions exceed burst + rate × time in the worst interval.
    ///
    /// The burst of an interval is the one at its start. The largest excess over all intervals is
    /// the deepest level of a bucket that starts full and is charged with every admission.
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

/// Parts of a token: a rate in tokens per second accrues one part per token and microsecond.
const MICROTOKENS_PER_TOKEN: i128 = 1_000_000;

/// Level of a bucket that may become negative.
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

//! Buckets that the quota is compared with: one ideal bucket, a static split, and zone floors.

use std::time;

use coltsfoot_quota::token_bucket;
use coltsfoot_types::time as clock;

/// One exact bucket for the whole fleet, which knows at once what every request uses.
#[derive(Clone, Debug)]
pub struct IdealBucket {
    limits: token_bucket::BucketLimits,
    bucket: token_bucket::TokenBucket,
    refunds: Vec<ScheduledRefund>,
}

impl IdealBucket {
    /// Builds a bucket that is full after its burst has accrued.
    pub fn new(limits: token_bucket::BucketLimits) -> Self {
        let bucket = token_bucket::TokenBucket::new(limits, clock::MonotonicTime(0));
        Self { limits, bucket, refunds: Vec::new() }
    }

    /// Admits a request if the bucket holds its tokens.
    pub fn admit(
        &mut self,
        now: clock::MonotonicTime,
        tokens: u64,
        unused: u64,
        ends: clock::MonotonicTime,
    ) -> bool {
        self.refunds.sort_by_key(|refund| refund.at);
        for refund in self.refunds.extract_if(.., |refund| refund.at <= now) {
            self.bucket.refresh(refund.at, self.limits, 0);
            self.bucket.refund(refund.at, refund.admitted, refund.tokens);
        }
        self.bucket.refresh(now, self.limits, 0);
        if tokens > self.bucket.level() {
            return false;
        }
        self.bucket.take(tokens);
        self.refunds.push(ScheduledRefund {
            at: ends,
            admitted: now + time::Duration::from_micros(1),
            tokens: unused,
        });
        true
    }
}

/// A bucket that is checked without communication. Its level may fall below zero by what accrues within the
/// time that a request may wait.
#[derive(Clone, Debug)]
pub struct ReferenceBucket {
    limits: token_bucket::BucketLimits,
    max_wait: time::Duration,
    level: f64,
    at: clock::MonotonicTime,
    refunds: Vec<ScheduledRefund>,
}

#[derive(Clone, Copy, Debug)]
struct ScheduledRefund {
    at: clock::MonotonicTime,
    admitted: clock::MonotonicTime,
    tokens: u64,
}

impl ReferenceBucket {
    /// Builds a bucket that is full.
    pub fn new(limits: token_bucket::BucketLimits, max_wait: time::Duration) -> Self {
        let level = limits.burst as f64;
        let at = clock::MonotonicTime(0);
        Self { limits, max_wait, level, at, refunds: Vec::new() }
    }

    /// Sets limits and level, for a bucket that is divided.
    pub fn reset(
        &mut self,
        now: clock::MonotonicTime,
        limits: token_bucket::BucketLimits,
        level: f64,
    ) {
        self.advance(now);
        self.limits = limits;
        self.level = level.min(limits.burst as f64);
    }

    /// Returns the level.
    pub fn level(&mut self, now: clock::MonotonicTime) -> f64 {
        self.advance(now);
        self.level
    }

    /// Admits a request if it can be, and credits later what it will not use.
    pub fn admit(
        &mut self,
        now: clock::MonotonicTime,
        tokens: u64,
        unused: u64,
        ends: clock::MonotonicTime,
    ) -> bool {
        self.advance(now);
        let overdraft = self.limits.rate as f64 * self.max_wait.as_secs_f64();
        if tokens > self.limits.burst || self.level - (tokens as f64) < -overdraft {
            return false;
        }
        self.level -= tokens as f64;
        self.refunds.push(ScheduledRefund { at: ends, admitted: now, tokens: unused });
        true
    }

    /// Charges tokens that another copy of the bucket admitted; the level may fall below zero.
    pub fn charge(&mut self, now: clock::MonotonicTime, tokens: u64) {
        self.advance(now);
        self.level -= tokens as f64;
    }

    fn advance(&mut self, now: clock::MonotonicTime) {
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let burst = self.limits.burst as f64;
        self.level = (self.level + elapsed * self.limits.rate as f64).min(burst);
        for refund in self.refunds.extract_if(.., |refund| refund.at <= now) {
            self.level = (self.level + refund.tokens as f64).min(burst);
        }
    }
}

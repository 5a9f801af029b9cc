//! A token bucket in exact integer arithmetic, with the headroom history that refunds need.

use std::time;

use coltsfoot_types::time as clock;

use crate::headroom_history;

/// Unit of levels: a rate of n tokens per second accrues n microtokens per microsecond.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketLimits {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity in tokens, outstanding ones included.
    pub burst: u64,
}

impl BucketLimits {
    /// Returns the minimum of each limit.
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Returns `permille` thousandths of both limits, rounded down; at most the limits themselves.
    pub fn scaled(self, permille: u16) -> Self {
        let scale =
            |value: u64| (u128::from(value) * u128::from(permille.min(1_000)) / 1_000) as u64;
        Self { rate: scale(self.rate), burst: scale(self.burst) }
    }

    /// Returns the time in which `tokens` accrue; [`time::Duration::MAX`] if they never do.
    pub fn time_for(self, tokens: u64) -> time::Duration {
        if self.rate == 0 {
            return if tokens == 0 { time::Duration::ZERO } else { time::Duration::MAX };
        }
        let micros = (u128::from(tokens) * u128::from(MICROTOKENS_PER_TOKEN))
            .div_ceil(u128::from(self.rate));
        time::Duration::from_micros(micros as u64)
    }
}

/// A bucket in which granted and possibly unspent (outstanding) tokens count against capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limits: BucketLimits,
    microtokens: u64,
    outstanding: u64,
    updated: clock::MonotonicTime,
    headrooms: headroom_history::HeadroomHistory,
}

impl TokenBucket {
    /// Creates an empty bucket that accrues tokens from `start` on.
    pub fn new(limits: BucketLimits, start: clock::MonotonicTime) -> Self {
        let headrooms = headroom_history::HeadroomHistory::new(start);
        Self { limits, microtokens: 0, outstanding: 0, updated: start, headrooms }
    }

    /// Returns the limits of the last refresh.
    pub fn limits(&self) -> BucketLimits {
        self.limits
    }

    /// Returns the available tokens, rounded down.
    pub fn level(&self) -> u64 {
        self.microtokens / MICROTOKENS_PER_TOKEN
    }

    /// Returns the tokens granted and possibly unspent.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Sets the limits and the outstanding tokens, then accrues tokens up to `now`.
    pub fn refresh(&mut self, now: clock::MonotonicTime, limits: BucketLimits, outstanding: u64) {
        let elapsed = now.since(self.updated).as_micros() as u64;
        self.updated = self.updated.max(now);
        self.limits = limits;
        self.outstanding = outstanding;
        let accrued = limits.rate.saturating_mul(elapsed);
        self.set_microtokens(self.microtokens.saturating_add(accrued));
        self.headrooms.record(now, self.headroom());
    }

    /// Takes tokens, which become outstanding. Panics if fewer are available.
    pub fn take(&mut self, tokens: u64) {
        assert!(tokens <= self.level(), "took {tokens} of {} available tokens", self.level());
        self.microtokens -= tokens * MICROTOKENS_PER_TOKEN;
        self.outstanding += tokens;
    }

    /// Returns outstanding tokens that were not spent. Panics if fewer are outstanding.
    pub fn put_back(&mut self, tokens: u64) {
        assert!(tokens <= self.outstanding, "more tokens were returned than outstanding");
        self.outstanding -= tokens;
        self.set_microtokens(
            self.microtokens.saturating_add(tokens.saturating_mul(MICROTOKENS_PER_TOKEN)),
        );
    }

    /// Adds tokens up to the capacity, such as those that a predecessor handed over.
    pub fn add(&mut self, tokens: u64) {
        self.set_microtokens(
            self.microtokens.saturating_add(tokens.saturating_mul(MICROTOKENS_PER_TOKEN)),
        );
    }

    /// Credits tokens that a request admitted at `admitted` did not use.
    ///
    /// The bucket ends up as if the request had been charged without them: tokens that would have
    /// overflowed since then are not credited.
    pub fn refund(
        &mut self,
        now: clock::MonotonicTime,
        admitted: clock::MonotonicTime,
        tokens: u64,
    ) {
        let credit = tokens.min(self.headrooms.min_since(admitted)).min(self.headroom());
        self.add(credit);
        self.headrooms.reduce_since(admitted, credit);
        self.headrooms.record(now, self.headroom());
    }

    /// Returns the available and outstanding tokens together, rounded up.
    fn occupied(&self) -> u64 {
        self.microtokens.div_ceil(MICROTOKENS_PER_TOKEN) + self.outstanding
    }

    fn headroom(&self) -> u64 {
        self.limits.burst.saturating_sub(self.occupied())
    }

    fn set_microtokens(&mut self, microtokens: u64) {
        let capacity = self.limits.burst.saturating_sub(self.outstanding);
        self.microtokens = microtokens.min(capacity.saturating_mul(MICROTOKENS_PER_TOKEN));
        assert!(
            self.microtokens == 0 || self.occupied() <= self.limits.burst,
            "a bucket holds more than its burst"
        );
    }
}

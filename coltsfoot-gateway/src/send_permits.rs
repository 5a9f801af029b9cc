//! Permits to send to an upstream that announced a rate limit for all instances together. One
//! instance issues them, so that the limit is neither exceeded nor left unused, whatever the number
//! of instances and the distribution of callers among them.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Lower bound of the rate, in requests per second: only a response tells that a limit has ended.
/// Over the 4 s window in which the platform counts, this is one request of the five allowed on top
/// of a limit.
const MIN_RATE: f64 = 0.25;
/// Lower bound of the rate where the burst is given, which only keeps waits finite.
const MIN_BOUNDED_RATE: f64 = 0.001;
/// Burst of a bucket: the permits of this time, but at least one, plus `SPARE_PERMITS`, since
/// callers arrive at random. An upstream thus gets at most 4.5 times its limit plus two in 4 s, or
/// four times plus three, where six times plus five are allowed; the rest is for the time in which
/// instances disagree on the issuer.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);
const SPARE_PERMITS: f64 = 2.0;
/// Time after the last permit request of an upstream at which its buckets are dropped.
const BUCKET_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// Requests that an engine accepts for each report query.
const REQUESTS_PER_REPORT: f64 = 10.0;

/// Returns the interval between report queries to an engine that accepts `per_s` requests per
/// second, so that most of its limit is left for customers' requests.
pub fn report_interval(per_s: f64) -> time::Duration {
    time::Duration::from_secs_f64(REQUESTS_PER_REPORT / per_s.max(MIN_RATE))
}

/// Share of a limit that orders and report queries may use. Requests whose adapter is resident need
/// neither, so more requests are served if most of the limit is left for them.
const CONTROL_SHARE: f64 = 0.25;

/// Class of a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitClass {
    /// A customer's request.
    Request,
    /// An order or a report query; limited to a share of the limit.
    Control,
}

/// Returns the interval between orders to an engine that accepts `per_s` requests per second.
pub fn order_interval(per_s: f64) -> time::Duration {
    time::Duration::from_secs_f64(1.0 / (per_s.max(MIN_RATE) * CONTROL_SHARE))
}

/// Pause after a refusal of an issuer whose share of a limit is too small for one permit.
const NO_SHARE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// How often something may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendLimit {
    /// Permits per second.
    pub per_s: f64,
    /// Most permits at once; `None` if the rate tells. Below one, no permit is issued.
    pub burst: Option<f64>,
}

impl From<f64> for SendLimit {
    fn from(per_s: f64) -> Self {
        Self { per_s, burst: None }
    }
}

impl SendLimit {
    /// Returns a part of the limit, from 0 to 1.
    pub fn share(self, part: f64) -> Self {
        Self { per_s: self.per_s * part, burst: self.burst.map(|burst| burst * part) }
    }

    /// Returns the limit that satisfies both.
    pub fn strictest(self, other: Self) -> Self {
        let burst = match (self.burst, other.burst) {
            (Some(burst), Some(other)) => Some(burst.min(other)),
            (burst, other) => burst.or(other),
        };
        Self { per_s: self.per_s.min(other.per_s), burst }
    }

    fn rate(self) -> f64 {
        self.per_s.max(if self.burst.is_some() { MIN_BOUNDED_RATE } else { MIN_RATE })
    }

    /// Returns the burst of a bucket with a rate.
    fn capacity(self, rate: f64) -> f64 {
        let usual = (rate * BURST_TIME.as_secs_f64()).max(1.0) + SPARE_PERMITS;
        self.burst.map_or(usual, |burst| burst.min(usual))
    }
}

/// Token bucket of permits.
#[derive(Clone, Copy, Debug)]
struct PermitBucket {
    level: f64,
    updated: clock::MonotonicTime,
}

impl PermitBucket {
    /// Creates an empty bucket, since another instance may just have issued permits.
    fn empty(now: clock::MonotonicTime) -> Self {
        Self { level: 0.0, updated: now }
    }

    /// Refills the bucket and returns the time until it holds one permit.
    fn refill(&mut self, now: clock::MonotonicTime, rate: f64, capacity: f64) -> time::Duration {
        let earned = now.since(self.updated).as_secs_f64() * rate;
        self.level = (self.level + earned).min(capacity);
        self.updated = self.updated.max(now);
        time::Duration::from_secs_f64((1.0 - self.level).max(0.0) / rate)
    }
}

/// Buckets of one upstream.
#[derive(Clone, Copy, Debug)]
struct LimitBuckets {
    all: PermitBucket,
    control: PermitBucket,
}

/// Buckets of the permits that this instance issues, by upstream number.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    limits: FxHashMap<u32, LimitBuckets>,
}

impl PermitLedger {
    /// Takes one permit for an upstream with this limit; the error is the time until one will be
    /// available.
    pub fn acquire(
        &mut self,
        now: clock::MonotonicTime,
        number: u32,
        limit: impl Into<SendLimit>,
        class: PermitClass,
    ) -> Result<(), time::Duration> {
        let limit = limit.into();
        let rate = limit.rate();
        if rate.is_infinite() {
            return Ok(());
        }
        if limit.burst.is_some_and(|burst| burst < 1.0) {
            return Err(NO_SHARE_PAUSE);
        }
        self.limits.retain(|_, buckets| now.since(buckets.all.updated) < BUCKET_LIFETIME);
        let empty = PermitBucket::empty(now);
        let buckets =
            self.limits.entry(number).or_insert(LimitBuckets { all: empty, control: empty });
        let mut wait = buckets.all.refill(now, rate, limit.capacity(rate));
        let control_rate = rate * CONTROL_SHARE;
        let control_wait = buckets.control.refill(now, control_rate, limit.capacity(control_rate));
        if class == PermitClass::Control {
            wait = wait.max(control_wait);
        }
        if wait > time::Duration::ZERO {
            return Err(wait);
        }
        buckets.all.level -= 1.0;
        if class == PermitClass::Control {
            buckets.control.level -= 1.0;
        }
        Ok(())
    }
}

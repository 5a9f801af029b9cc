//! Leave to send something to an upstream that named a limit, which holds for all instances together.
//! One instance gives it, so that the limit is neither passed nor left unused, however many instances
//! there are and wherever its callers come in.

use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Sends a second that a lower limit is raised to: only an answer tells that a limit has ended. In the
/// span over which the platform counts (4 s) that is one send, of the five that it allows beside a limit.
const MIN_RATE: f64 = 0.25;
/// Time for which sends that were not asked for are kept, and further ones that are kept for longer, as
/// callers come at random. With both an upstream gets 4.5 times its limit and two in 4 s at most, or
/// four times and three, where six times and five are allowed; the rest is for the time in which
/// instances disagree on who gives leave.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);
const SPARE_SENDS: f64 = 2.0;
/// Time after the last question for which an upstream is remembered.
const MEMORY: time::Duration = time::Duration::from_secs(60);

/// Sends that an engine takes for each report that is asked of it.
const SENDS_PER_REPORT: f64 = 10.0;

/// Returns the time between reports of an engine that takes `per_s` sends a second, so that it has most of
/// them left for requests.
pub fn report_interval(per_s: f64) -> time::Duration {
    time::Duration::from_secs_f64(SENDS_PER_REPORT / per_s.max(MIN_RATE))
}

/// Part of a limit that orders and reports may use. A request whose adapter is there needs none, so that
/// more are served of what an engine takes if most of it is left for requests.
const UPKEEP_SHARE: f64 = 0.25;

/// What something is sent for, as far as it decides whether there is leave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitClass {
    /// A request of a caller.
    Request,
    /// An order or a question for a report.
    Control,
}

/// Returns the time until an engine that takes `per_s` sends a second takes one more order.
pub fn order_interval(per_s: f64) -> time::Duration {
    time::Duration::from_secs_f64(1.0 / (per_s.max(MIN_RATE) * UPKEEP_SHARE))
}

/// Sends that an upstream takes.
#[derive(Clone, Copy, Debug)]
struct SendBucket {
    level: f64,
    updated: clock::MonotonicTime,
}

impl SendBucket {
    /// Creates a bucket that is empty: another instance may have given the last leave a moment ago.
    fn empty(now: clock::MonotonicTime) -> Self {
        Self { level: 0.0, updated: now }
    }

    /// Adds what has come since, and returns the time until there is one send.
    fn refill(&mut self, now: clock::MonotonicTime, rate: f64) -> time::Duration {
        let earned = now.since(self.updated).as_secs_f64() * rate;
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(1.0) + SPARE_SENDS;
        self.level = (self.level + earned).min(capacity);
        self.updated = self.updated.max(now);
        time::Duration::from_secs_f64((1.0 - self.level).max(0.0) / rate)
    }
}

/// What is left of an upstream's limit.
#[derive(Clone, Copy, Debug)]
struct LimitBuckets {
    all: SendBucket,
    upkeep: SendBucket,
}

/// The leave that one instance gives for all, by the upstreams' numbers in messages.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    limits: FxHashMap<u32, LimitBuckets>,
}

impl PermitLedger {
    /// Gives leave for one send to an upstream that takes `per_s` a second, or returns the time after
    /// which there will be some.
    pub fn acquire(
        &mut self,
        now: clock::MonotonicTime,
        number: u32,
        per_s: f64,
        class: PermitClass,
    ) -> Result<(), time::Duration> {
        let rate = per_s.max(MIN_RATE);
        if rate.is_infinite() {
            return Ok(());
        }
        self.limits.retain(|_, buckets| now.since(buckets.all.updated) < MEMORY);
        let empty = SendBucket::empty(now);
        let buckets =
            self.limits.entry(number).or_insert(LimitBuckets { all: empty, upkeep: empty });
        let mut wait = buckets.all.refill(now, rate);
        let upkeep_wait = buckets.upkeep.refill(now, rate * UPKEEP_SHARE);
        if class == PermitClass::Control {
            wait = wait.max(upkeep_wait);
        }
        if wait > time::Duration::ZERO {
            return Err(wait);
        }
        buckets.all.level -= 1.0;
        if class == PermitClass::Control {
            buckets.upkeep.level -= 1.0;
        }
        Ok(())
    }
}

//! Ways to keep a limit over many instances.

/// How a limit is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDivision {
    /// One instance gives leave for each send, as the gateway does.
    Giver,
    /// Each instance has an equal part.
    EqualParts,
    /// Each instance has a part by what its callers ask for, as the others know it from beats.
    DemandParts,
}

/// Time over which demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 2_000.0;

/// The part of a limit that one instance keeps for itself.
#[derive(Clone, Debug, Default)]
pub struct PartBucket {
    level: f64,
    updated_ms: u64,
    /// Requests a second that callers ask of this instance, averaged, and as of when.
    demand: f64,
    demand_ms: u64,
}

impl PartBucket {
    /// Takes a send from a part of so many a second. One unused send is kept.
    pub fn take(&mut self, now: u64, per_s: f64) -> bool {
        let elapsed = (now - self.updated_ms) as f64 / 1000.0;
        self.level = (self.level + elapsed * per_s).min(1.0);
        self.updated_ms = now;
        let has_send = self.level >= 1.0;
        if has_send {
            self.level -= 1.0;
        }
        has_send
    }

    /// Notes that a caller asks.
    pub fn asked(&mut self, now: u64) {
        self.demand = self.demand(now) + 1000.0 / DEMAND_WINDOW_MS;
        self.demand_ms = now;
    }

    /// Returns the requests a second that callers ask for.
    pub fn demand(&self, now: u64) -> f64 {
        let age = (now - self.demand_ms) as f64;
        self.demand * (-age / DEMAND_WINDOW_MS).exp()
    }
}

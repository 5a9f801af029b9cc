//! A customer's quota over all instances, divided by demand.
//!
//! Each instance may use a share of each customer's rate and burst: its own demand over the demand
//! of all instances. Demands are told by beats. An instance that is not heard from keeps the share
//! that it had for a while, since it may serve on behind a partition.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Time over which demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Share of the rate that counts as demand of an instance without any, so that a first request
/// finds some quota.
const IDLE_DEMAND: f64 = 0.02;

/// Quota of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Tokens a second over all instances.
    pub rate_per_s: f64,
    /// Tokens that may be used at once over all instances.
    pub burst: f64,
}

#[derive(Clone, Debug)]
struct CustomerAccount {
    limit: QuotaLimit,
    level: f64,
    updated: clock::MonotonicTime,
    demand_per_s: f64,
    demand_updated: clock::MonotonicTime,
    share: f64,
}

impl CustomerAccount {
    fn refill(&mut self, now: clock::MonotonicTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let most = self.limit.burst * self.share;
        self.level = (self.level + elapsed * self.limit.rate_per_s * self.share).min(most);
        self.updated = now;
    }

    fn demand(&self, now: clock::MonotonicTime) -> f64 {
        let age = now.since(self.demand_updated).as_secs_f64();
        self.demand_per_s * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// The quotas of all customers at one instance.
#[derive(Clone, Debug, Default)]
pub struct QuotaShare {
    accounts: FxHashMap<sync::Arc<str>, CustomerAccount>,
    instances: usize,
}

impl QuotaShare {
    /// Sets a customer's quota; `None` is unlimited.
    pub fn set_limit(
        &mut self,
        now: clock::MonotonicTime,
        customer: &sync::Arc<str>,
        limit: Option<QuotaLimit>,
    ) {
        let Some(limit) = limit else {
            self.accounts.remove(customer);
            return;
        };
        let share = 1.0 / self.instances.max(1) as f64;
        let account = self.accounts.entry(sync::Arc::clone(customer)).or_insert(CustomerAccount {
            limit,
            level: limit.burst * share,
            updated: now,
            demand_per_s: 0.0,
            demand_updated: now,
            share,
        });
        account.refill(now);
        account.limit = limit;
        account.level = account.level.min(limit.burst * account.share);
    }

    /// Takes the demands of the other instances, in tokens a second: `(customer, demand)` sums.
    pub fn set_other_demands(
        &mut self,
        now: clock::MonotonicTime,
        instances: usize,
        others: impl Fn(&str) -> f64,
    ) {
        self.instances = instances;
        for (customer, account) in &mut self.accounts {
            account.refill(now);
            let idle = account.limit.rate_per_s * IDLE_DEMAND;
            let own = account.demand(now) + idle;
            let rest = others(customer) + idle * instances.saturating_sub(1) as f64;
            account.share = own / (own + rest);
            account.level = account.level.min(account.limit.burst * account.share);
        }
    }

    /// Returns the demand of each customer here, in tokens a second.
    pub fn demands(&self, now: clock::MonotonicTime) -> impl Iterator<Item = (&str, f64)> {
        self.accounts.iter().map(move |(customer, account)| (&**customer, account.demand(now)))
    }

    /// Takes a request's tokens, or returns the time after which enough are expected. A request may
    /// exceed what is left once; what it exceeds is earned before the next one.
    pub fn admit(
        &mut self,
        now: clock::MonotonicTime,
        customer: &str,
        tokens: u64,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.refill(now);
        let demand = account.demand(now) + tokens as f64 / DEMAND_WINDOW.as_secs_f64();
        (account.demand_per_s, account.demand_updated) = (demand, now);
        if account.level <= 0.0 {
            let rate = (account.limit.rate_per_s * account.share).max(f64::MIN_POSITIVE);
            let wait = ((1.0 - account.level) / rate).min(MAX_WAIT.as_secs_f64());
            return Err(time::Duration::from_secs_f64(wait));
        }
        account.level -= tokens as f64;
        Ok(())
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, customer: &str, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.level += tokens as f64;
        }
    }
}

/// Longest time that a caller is asked to wait for quota.
const MAX_WAIT: time::Duration = time::Duration::from_secs(10);

//! Customers' quotas over all instances.
//!
//! Every instance keeps its own estimate of one token bucket per customer: requests that it admits count
//! at once, those that others admit count when their heartbeats arrive. The usage of an instance whose
//! heartbeats stop is extrapolated, since it may still serve behind a network partition.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Age of the last heartbeat above which an instance's usage is extrapolated.
const PEER_STALE_AGE: time::Duration = time::Duration::from_millis(400);
/// Age of the last heartbeat after which an instance no longer counts.
const PEER_LIFETIME: time::Duration = time::Duration::from_secs(12);
/// Time constant of the moving average of the usage by an instance.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Share of the burst that an instance assumes to be left at its start.
const START_LEVEL_SHARE: f64 = 0.1;
/// Lower bound on the interval over which a rate is computed.
const MIN_SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Token bucket of a customer, shared by all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Refill rate, in tokens per second over all instances.
    pub rate_per_s: f64,
    /// Capacity of the bucket, in tokens over all instances.
    pub burst: f64,
}

/// Priority of a request among those of its customer when the quota is nearly used up. Cheap requests
/// serve more callers for the same quota, so the last part of it is reserved for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaClass {
    /// A request to a plain service.
    Plain,
    /// A request to a model on a route of the highest priority.
    UrgentPrompt,
    /// Any other request to a model.
    Prompt,
}

impl QuotaClass {
    /// Returns the share of the burst that is reserved for other classes.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Plain => 0.0,
            Self::UrgentPrompt => 0.04,
            Self::Prompt => 0.12,
        }
    }
}

/// Usage by another instance.
#[derive(Clone, Debug)]
struct PeerUsage {
    total: u64,
    heard: clock::MonotonicTime,
    rate_per_s: f64,
    /// Tokens counted by extrapolation since `heard`.
    extrapolated: f64,
}

#[derive(Clone, Debug)]
struct CustomerAccount {
    limit: QuotaLimit,
    level: f64,
    updated: clock::MonotonicTime,
    spent: u64,
    peers: FxHashMap<u64, PeerUsage>,
}

impl CustomerAccount {
    fn refill(&mut self, now: clock::MonotonicTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let updated = std::mem::replace(&mut self.updated, now);
        let refilled = self.level + elapsed * self.limit.rate_per_s;
        self.level = refilled.min(self.limit.burst);
        self.peers.retain(|_, usage| now.since(usage.heard) < PEER_LIFETIME);
        for usage in self.peers.values_mut() {
            let stale_from = (usage.heard + PEER_STALE_AGE).max(updated);
            let extrapolated = now.since(stale_from).as_secs_f64() * usage.rate_per_s;
            usage.extrapolated += extrapolated;
            self.level -= extrapolated;
        }
    }

    fn record_peer_total(&mut self, now: clock::MonotonicTime, peer: u64, total: u64) {
        self.refill(now);
        let Some(usage) = self.peers.get_mut(&peer) else {
            let usage = PeerUsage { total, heard: now, rate_per_s: 0.0, extrapolated: 0.0 };
            self.peers.insert(peer, usage);
            return;
        };
        // A refund lowers the total.
        let delta = total.wrapping_sub(usage.total) as i64 as f64;
        self.level += usage.extrapolated - delta;
        let elapsed = now.since(usage.heard).max(MIN_SAMPLE_INTERVAL).as_secs_f64();
        let weight = 1.0 - (-elapsed / RATE_WINDOW.as_secs_f64()).exp();
        usage.rate_per_s += (delta.max(0.0) / elapsed - usage.rate_per_s) * weight;
        usage.total = total;
        usage.heard = now;
        usage.extrapolated = 0.0;
    }
}

/// Estimates of the buckets of all customers at one instance.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: FxHashMap<sync::Arc<str>, CustomerAccount>,
}

impl QuotaLedger {
    /// Sets a customer's quota; `None` means unlimited.
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
        let account = self.accounts.entry(sync::Arc::clone(customer)).or_insert(CustomerAccount {
            limit,
            level: limit.burst * START_LEVEL_SHARE,
            updated: now,
            spent: 0,
            peers: FxHashMap::default(),
        });
        account.refill(now);
        account.limit = limit;
        account.level = account.level.min(limit.burst);
    }

    /// Records the tokens of a customer that another instance has used since its start.
    pub fn record_peer_total(
        &mut self,
        now: clock::MonotonicTime,
        peer: u64,
        customer: &str,
        total: u64,
    ) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.record_peer_total(now, peer, total);
        }
    }

    /// Removes an instance whose usage is reported by another one from now on.
    pub fn forget_peer(&mut self, peer: u64) {
        for account in self.accounts.values_mut() {
            account.peers.remove(&peer);
        }
    }

    /// Returns the tokens that this instance has used since its start, by customer.
    pub fn totals(&self) -> impl Iterator<Item = (&sync::Arc<str>, u64)> {
        self.accounts.iter().map(|(customer, account)| (customer, account.spent))
    }

    /// Takes a request's tokens, or returns the time until enough are expected, leaving the share reserved
    /// for other classes. The last request before the bucket is empty may exceed the tokens left.
    pub fn admit(
        &mut self,
        now: clock::MonotonicTime,
        customer: &str,
        tokens: u64,
        class: QuotaClass,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.refill(now);
        let reserve = account.limit.burst * class.reserved_share();
        if account.level <= reserve {
            let rate = account.limit.rate_per_s.max(f64::MIN_POSITIVE);
            let wait = ((reserve + 1.0 - account.level) / rate).min(MAX_WAIT.as_secs_f64());
            return Err(time::Duration::from_secs_f64(wait));
        }
        account.level -= tokens as f64;
        account.spent = account.spent.wrapping_add(tokens);
        Ok(())
    }

    /// Puts back the tokens of a request that did not run.
    pub fn refund(&mut self, customer: &str, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.level += tokens as f64;
            account.spent = account.spent.wrapping_sub(tokens);
        }
    }
}

/// Longest retry delay for a request refused for lack of quota.
const MAX_WAIT: time::Duration = time::Duration::from_secs(10);

//! A customer's quota over all instances.
//!
//! Every instance keeps its own estimate of one bucket a customer: what it admits itself counts at
//! once, what the others admit counts when their beats tell it. An instance that falls silent is
//! taken to go on as before, since it may serve on behind a partition.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Age of a beat above which an instance is taken to go on as before.
const SILENCE: time::Duration = time::Duration::from_millis(400);
/// Time after which a silent instance no longer counts.
const MEMORY: time::Duration = time::Duration::from_secs(12);
/// Time over which the use by an instance is averaged.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Share of the burst that an instance expects to find after its start.
const START_LEVEL: f64 = 0.1;
/// Shortest time between averaged samples.
const MIN_SAMPLE: time::Duration = time::Duration::from_millis(50);

/// Quota of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Tokens a second over all instances.
    pub rate_per_s: f64,
    /// Tokens that may be used at once over all instances.
    pub burst: f64,
}

/// How urgent a request is among those of its customer when the quota runs short. Requests that
/// count for little serve more callers for the same quota, so the last part of it is kept for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaClass {
    /// A call of a plain service.
    Plain,
    /// A request for a model on a route of the highest rank.
    UrgentPrompt,
    /// Another request for a model.
    Prompt,
}

impl QuotaClass {
    /// Returns the share of the burst that is kept for other classes.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Plain => 0.0,
            Self::UrgentPrompt => 0.04,
            Self::Prompt => 0.12,
        }
    }
}

/// Use by another instance.
#[derive(Clone, Debug)]
struct PeerUse {
    total: u64,
    heard: clock::MonotonicTime,
    rate_per_s: f64,
    /// Tokens that were counted since `heard` without being told.
    presumed: f64,
}

#[derive(Clone, Debug)]
struct CustomerAccount {
    limit: QuotaLimit,
    level: f64,
    updated: clock::MonotonicTime,
    spent: u64,
    peers: FxHashMap<u64, PeerUse>,
}

impl CustomerAccount {
    fn refill(&mut self, now: clock::MonotonicTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let updated = std::mem::replace(&mut self.updated, now);
        let earned = self.level + elapsed * self.limit.rate_per_s;
        self.level = earned.min(self.limit.burst);
        self.peers.retain(|_, used| now.since(used.heard) < MEMORY);
        for used in self.peers.values_mut() {
            let silent_from = (used.heard + SILENCE).max(updated);
            let presumed = now.since(silent_from).as_secs_f64() * used.rate_per_s;
            used.presumed += presumed;
            self.level -= presumed;
        }
    }

    fn record_peer_total(&mut self, now: clock::MonotonicTime, peer: u64, total: u64) {
        self.refill(now);
        let Some(used) = self.peers.get_mut(&peer) else {
            let used = PeerUse { total, heard: now, rate_per_s: 0.0, presumed: 0.0 };
            self.peers.insert(peer, used);
            return;
        };
        // A total may fall when a request did not run.
        let delta = total.wrapping_sub(used.total) as i64 as f64;
        self.level += used.presumed - delta;
        let elapsed = now.since(used.heard).max(MIN_SAMPLE).as_secs_f64();
        let weight = 1.0 - (-elapsed / RATE_WINDOW.as_secs_f64()).exp();
        used.rate_per_s += (delta.max(0.0) / elapsed - used.rate_per_s) * weight;
        used.total = total;
        used.heard = now;
        used.presumed = 0.0;
    }
}

/// The quotas of all customers, as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: FxHashMap<sync::Arc<str>, CustomerAccount>,
}

impl QuotaLedger {
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
        let account = self.accounts.entry(sync::Arc::clone(customer)).or_insert(CustomerAccount {
            limit,
            level: limit.burst * START_LEVEL,
            updated: now,
            spent: 0,
            peers: FxHashMap::default(),
        });
        account.refill(now);
        account.limit = limit;
        account.level = account.level.min(limit.burst);
    }

    /// Takes what another instance has used of a customer's quota since its start.
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

    /// Forgets an instance whose use is told by another one from now on.
    pub fn forget_peer(&mut self, peer: u64) {
        for account in self.accounts.values_mut() {
            account.peers.remove(&peer);
        }
    }

    /// Returns what this instance has used since its start, by customer.
    pub fn totals(&self) -> impl Iterator<Item = (&sync::Arc<str>, u64)> {
        self.accounts.iter().map(|(customer, account)| (customer, account.spent))
    }

    /// Takes a request's tokens, or returns the time after which enough are expected. What other
    /// classes have reserved is left to them. The last
    /// request before a bucket is empty may exceed what is left.
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

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, customer: &str, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.level += tokens as f64;
            account.spent = account.spent.wrapping_sub(tokens);
        }
    }
}

/// Longest time that a caller is asked to wait for quota.
const MAX_WAIT: time::Duration = time::Duration::from_secs(10);

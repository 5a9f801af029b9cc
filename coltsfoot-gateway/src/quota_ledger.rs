//! Customers' quotas over all instances.
//!
//! Every instance keeps its own estimate of one token bucket per customer: requests that it admits count
//! at once, those that others admit count when their heartbeats arrive. What an instance may spend before others
//! hear of it is bounded by its [share](crate::spending_share).
//!
//! Instances that don't hear of each other may all serve, behind a network partition, and none can tell which
//! of them the callers use. So they divide the bucket: from the moment at which an instance falls silent, its
//! share of what is left, of the rate and of the capacity is held for it. The shares of all instances add up to
//! one, so that disjoint groups together admit no more than the whole bucket for as long as silent instances
//! count. Once an instance is heard again, what it has used replaces what was held for it.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

use crate::spending_share;

/// Age of the last heartbeat above which an instance's usage is extrapolated.
const PEER_STALE_AGE: time::Duration = time::Duration::from_millis(400);
/// Intervals without a heartbeat after which an instance's share of the bucket is held for it. Two lost in a
/// row are rare on a lossy link.
const SILENT_INTERVALS: u32 = 3;
/// Age of the last heartbeat after which an instance no longer counts.
const PEER_LIFETIME: time::Duration = time::Duration::from_secs(30);
/// Time constant of the moving average of the usage by an instance.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Share of the burst that an instance assumes to be left at its start.
const START_LEVEL_SHARE: f64 = 0.1;
/// Interval at which an instance updates its own rate: that of the reports in a small fleet.
const OWN_SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Time from the report of an instance until others act on it, beyond the interval.
const NEWS_DELAY: time::Duration = time::Duration::from_millis(100);
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

/// What another instance, or the relay of a zone, reports of a customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// Tokens used since its start.
    pub total: u64,
    /// Instances that it stands for; zero if they admit no more requests.
    pub instances: u32,
    /// Longest time until its next report.
    pub interval: time::Duration,
    /// Whether it does not hear this instance, and so keeps to its share.
    pub is_deaf: bool,
}

/// Moving average of tokens per second.
#[derive(Clone, Copy, Debug, Default)]
struct UsageRate {
    per_s: f64,
}

impl UsageRate {
    fn add(&mut self, elapsed: time::Duration, tokens: f64) {
        let elapsed = elapsed.max(MIN_SAMPLE_INTERVAL).as_secs_f64();
        let weight = 1.0 - (-elapsed / RATE_WINDOW.as_secs_f64()).exp();
        self.per_s += (tokens.max(0.0) / elapsed - self.per_s) * weight;
    }
}

/// Returns the tokens used between two totals; negative if a request was refunded.
fn token_delta(before: u64, after: u64) -> f64 {
    after.wrapping_sub(before) as i64 as f64
}

/// Usage by another instance.
#[derive(Clone, Debug)]
struct PeerUsage {
    report: UsageReport,
    heard: clock::MonotonicTime,
    rate: UsageRate,
    /// Share of the bucket that is held for it while it is silent or deaf; zero otherwise.
    held_share: f64,
    /// Tokens that count as used since the last report, and those that are held.
    assumed: f64,
}

impl PeerUsage {
    fn new(now: clock::MonotonicTime, report: UsageReport) -> Self {
        Self { report, heard: now, rate: UsageRate::default(), held_share: 0.0, assumed: 0.0 }
    }

    fn is_silent(&self, now: clock::MonotonicTime) -> bool {
        let longest = PEER_STALE_AGE.max(self.report.interval * SILENT_INTERVALS);
        now.since(self.heard) >= longest
    }

    /// Returns the tokens that count as used since `updated`, beyond those known.
    fn assumed_usage(
        &self,
        now: clock::MonotonicTime,
        updated: clock::MonotonicTime,
        limit: QuotaLimit,
    ) -> f64 {
        let share = now.since(updated).as_secs_f64() * self.held_share * limit.rate_per_s;
        if self.held_share > 0.0 && self.is_silent(now) {
            return share;
        }
        if self.report.is_deaf {
            // Its usage is known; what it leaves is no more than its share of the capacity.
            return share.min((self.held_share * limit.burst - self.assumed).max(0.0));
        }
        let stale_from = (self.heard + PEER_STALE_AGE).max(updated);
        let is_ended = self.report.instances == 0;
        let rate_per_s = if is_ended { 0.0 } else { self.rate.per_s };
        now.since(stale_from).as_secs_f64() * rate_per_s
    }

    fn record_total(&mut self, now: clock::MonotonicTime, report: UsageReport) -> f64 {
        let delta = token_delta(self.report.total, report.total);
        self.rate.add(now.since(self.heard), delta);
        self.report = report;
        self.heard = now;
        let covered = match report.is_deaf {
            true => delta.clamp(0.0, self.assumed),
            false => self.assumed,
        };
        self.assumed -= covered;
        if !report.is_deaf {
            self.held_share = 0.0;
        }
        covered - delta
    }
}

#[derive(Clone, Debug)]
struct CustomerAccount {
    limit: QuotaLimit,
    level: f64,
    updated: clock::MonotonicTime,
    spent: u64,
    own_rate: UsageRate,
    /// When the own rate was last updated, and the tokens spent by then.
    own_sample: (clock::MonotonicTime, u64),
    peers: FxHashMap<u64, PeerUsage>,
    /// Known instances that have not reported yet.
    unheard: u32,
    /// What this instance may spend before it hears from others.
    share: spending_share::SpendingShare,
}

impl CustomerAccount {
    fn new(now: clock::MonotonicTime, limit: QuotaLimit, unheard: u32, seed: u64) -> Self {
        let level = limit.burst * START_LEVEL_SHARE;
        Self {
            limit,
            level,
            updated: now,
            spent: 0,
            own_rate: UsageRate::default(),
            own_sample: (now, 0),
            peers: FxHashMap::default(),
            unheard,
            share: spending_share::SpendingShare::new(now, seed),
        }
    }

    fn refill(&mut self, now: clock::MonotonicTime) {
        // A caller's request may have arrived before the last report.
        let now = now.max(self.updated);
        let elapsed = now.since(self.updated).as_secs_f64();
        let updated = std::mem::replace(&mut self.updated, now);
        self.peers.retain(|_, usage| now.since(usage.heard) < PEER_LIFETIME);
        self.update_own_rate(now);
        self.hold_shares(now);
        let refilled = self.level + elapsed * self.limit.rate_per_s * (1.0 - self.unheard_share());
        self.level = refilled.min(self.capacity());
        for usage in self.peers.values_mut() {
            let assumed = usage.assumed_usage(now, updated, self.limit);
            usage.assumed += assumed;
            self.level -= assumed;
        }
        let fleet = self.fleet_state();
        self.share.refill(now, fleet);
    }

    /// Returns what the share of this instance is a share of.
    fn fleet_state(&self) -> spending_share::FleetState {
        let others = self.peers.values().filter(|usage| usage.report.instances > 0);
        let news_age = others.map(|usage| usage.report.interval).max().unwrap_or_default();
        let peer_rates: f64 = self.peers.values().map(|usage| usage.rate.per_s).sum();
        spending_share::FleetState {
            level: self.level,
            capacity: self.capacity(),
            rate_per_s: self.limit.rate_per_s,
            instances: self.instances(),
            own_rate_per_s: self.own_rate.per_s,
            all_rates_per_s: self.own_rate.per_s + peer_rates,
            news_age: news_age + NEWS_DELAY,
        }
    }

    fn update_own_rate(&mut self, now: clock::MonotonicTime) {
        let (sampled, spent) = self.own_sample;
        if now.since(sampled) >= OWN_SAMPLE_INTERVAL {
            self.own_rate.add(now.since(sampled), token_delta(spent, self.spent));
            self.own_sample = (now, self.spent);
        }
    }

    /// Holds the shares of the instances that have fallen silent. An instance's share is half by number and half
    /// by recent usage, which all instances know alike.
    fn hold_shares(&mut self, now: clock::MonotonicTime) {
        let all = f64::from(self.instances());
        let peer_rates: f64 = self.peers.values().map(|usage| usage.rate.per_s).sum();
        let all_rates = self.own_rate.per_s + peer_rates;
        let held: f64 = self.peers.values().map(|usage| usage.held_share).sum();
        let mut free = 1.0 - held - self.unheard_share();
        let is_affected = |usage: &PeerUsage| usage.is_silent(now) || usage.report.is_deaf;
        let affected = self.peers.values_mut().filter(|usage| is_affected(usage));
        for usage in affected.filter(|usage| usage.held_share == 0.0) {
            let by_number = f64::from(usage.report.instances) / all;
            let by_usage = if all_rates > 0.0 { usage.rate.per_s / all_rates } else { by_number };
            let share = (by_number + by_usage) / 2.0;
            if usage.report.instances == 0 || free <= 0.0 {
                continue;
            }
            let tokens = self.level.max(0.0) * (share / free).min(1.0);
            usage.held_share = share;
            usage.assumed += tokens;
            self.level -= tokens;
            free -= share;
        }
    }

    /// Returns the number of instances that may admit requests of the customer.
    fn instances(&self) -> u32 {
        let peers = self.peers.values().map(|usage| usage.report.instances);
        1 + self.unheard + peers.sum::<u32>()
    }

    fn unheard_share(&self) -> f64 {
        f64::from(self.unheard) / f64::from(self.instances())
    }

    /// Returns the tokens that the bucket may hold here: without the shares of others.
    fn capacity(&self) -> f64 {
        let held: f64 = self.peers.values().map(|usage| usage.held_share).sum();
        self.limit.burst * (1.0 - held - self.unheard_share()).max(0.0)
    }

    fn record_peer_report(&mut self, now: clock::MonotonicTime, peer: u64, report: UsageReport) {
        self.refill(now);
        match self.peers.get_mut(&peer) {
            Some(usage) => self.level += usage.record_total(now, report),
            None => drop(self.peers.insert(peer, PeerUsage::new(now, report))),
        }
    }
}

/// Estimates of the buckets of all customers at one instance.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: FxHashMap<sync::Arc<str>, CustomerAccount>,
    unheard: u32,
    /// Distinguishes this instance from the others, so that they do not admit at the same moment.
    seed: u64,
}

impl QuotaLedger {
    /// Creates a ledger without customers; `seed` differs between instances.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

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
        let (unheard, seed) = (self.unheard, self.seed);
        let account = self.accounts.entry(sync::Arc::clone(customer));
        let account = account.or_insert_with(|| CustomerAccount::new(now, limit, unheard, seed));
        account.refill(now);
        account.limit = limit;
        account.level = account.level.min(limit.burst);
    }

    /// Records another instance's usage of a customer's quota.
    pub fn record_peer_report(
        &mut self,
        now: clock::MonotonicTime,
        peer: u64,
        customer: &str,
        report: UsageReport,
    ) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.record_peer_report(now, peer, report);
        }
    }

    /// Sets how many instances may run that have never been heard, as after a start within a partition.
    /// Their share is left to them.
    pub fn set_unheard(&mut self, now: clock::MonotonicTime, instances: u32) {
        if self.unheard == instances {
            return;
        }
        self.unheard = instances;
        for account in self.accounts.values_mut() {
            account.refill(now);
            account.unheard = instances;
        }
    }

    /// Returns the other instances that are not heard any more, for which shares are held.
    pub fn silent_peers(&self, now: clock::MonotonicTime) -> Vec<u64> {
        let peers = self.accounts.values().next().map(|account| &account.peers);
        let silent = peers
            .into_iter()
            .flatten()
            .filter(|(_, usage)| usage.report.instances > 0 && usage.is_silent(now));
        silent.map(|(peer, _)| *peer).take(MAX_SILENT).collect()
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

    /// Returns the tokens that are left of a customer's quota, as far as known; `None` if it is unlimited.
    pub fn level(&mut self, now: clock::MonotonicTime, customer: &str) -> Option<f64> {
        let account = self.accounts.get_mut(customer)?;
        account.refill(now);
        Some(account.level)
    }

    /// Takes a request's tokens, or returns the time until its turn, leaving the share reserved for other
    /// classes. The last request before the bucket is empty may exceed the tokens left. An instance that shares
    /// the quota with others keeps to its share while little is left or callers are refused.
    pub fn admit(
        &mut self,
        now: clock::MonotonicTime,
        customer: &str,
        tokens: u64,
        class: QuotaClass,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.refill(now);
        let reserve = account.capacity() * class.reserved_share();
        if account.level <= reserve {
            let rate = account.limit.rate_per_s.max(f64::MIN_POSITIVE);
            let wait = ((reserve + 1.0 - account.level) / rate).min(MAX_WAIT.as_secs_f64());
            let wait = time::Duration::from_secs_f64(wait);
            return Err(account.share.turn(now, tokens as f64, wait));
        }
        let fleet = account.fleet_state();
        if fleet.is_shared() {
            account.share.spend(now, tokens as f64, reserve, fleet)?;
        }
        account.level -= tokens as f64;
        account.spent = account.spent.wrapping_add(tokens);
        Ok(())
    }

    /// Puts back the tokens of a request that did not run.
    pub fn refund(&mut self, customer: &str, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.level += tokens as f64;
            account.share.refund(tokens as f64);
            account.spent = account.spent.wrapping_sub(tokens);
        }
    }
}

/// Maximum number of silent instances that are told to others.
const MAX_SILENT: usize = 16;
/// Longest retry delay for a request refused for lack of quota.
const MAX_WAIT: time::Duration = time::Duration::from_secs(10);

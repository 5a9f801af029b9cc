//! What one of many instances may spend of a shared level before it hears what others have spent of it.
//!
//! Instances that all see the same level would each spend it. So each one earns credit at its share of the rate:
//! faster while the level is high, slower while it is low, so that the level settles at a target and the rate is
//! used whole. Credit that is not needed is saved up to the largest request. A request is admitted if its size times
//! a random threshold is saved, and then takes all its tokens: on average an instance spends what it has earned,
//! however small its share is against a request, and instances do not admit at the same moment.

use std::collections;
use std::time;

use coltsfoot_types::time as clock;

use crate::rendezvous;

/// Level, as a part of the target, above which requests are admitted without credit.
const PLENTY: f64 = 0.6;
/// Spending that the target level covers, in ages of the news.
const COVERED_AGES: f64 = 2.0;
/// Time after a refusal for which that is not so: the demand exceeds the rate.
const PRESSURE_TIME: time::Duration = time::Duration::from_secs(1);
/// Times its share of the level that an instance may spend before others hear of it, beside one request.
const MAX_UNHEARD_SHARES: f64 = 2.0;
/// Factor by which the size of the largest recent request decays with each further one.
const LARGEST_DECAY: f64 = 0.999;
/// Longest time over which the turns of refused callers are spread.
const MAX_SPREAD: time::Duration = time::Duration::from_secs(2);

/// Level and instances that share it, as one of them knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetState {
    /// Tokens left.
    pub level: f64,
    /// Tokens that the bucket may hold.
    pub capacity: f64,
    /// Refill rate, in tokens per second.
    pub rate_per_s: f64,
    /// Instances that may spend, this one included.
    pub instances: u32,
    /// Recent spending of this instance, in tokens per second.
    pub own_rate_per_s: f64,
    /// The same of all instances.
    pub all_rates_per_s: f64,
    /// Time after which all instances know what one of them has spent.
    pub news_age: time::Duration,
}

impl FleetState {
    /// Returns whether other instances may spend.
    pub fn is_shared(self) -> bool {
        self.instances > 1
    }

    /// Returns the share of this instance: half by number, half by recent spending.
    fn own_share(self) -> f64 {
        let by_number = 1.0 / f64::from(self.instances.max(1));
        let by_use = match self.all_rates_per_s > 0.0 {
            true => self.own_rate_per_s / self.all_rates_per_s,
            false => by_number,
        };
        (by_number + by_use) / 2.0
    }

    /// Returns the spending that instances may not have heard of.
    fn covered_tokens(self) -> f64 {
        self.rate_per_s * self.news_age.as_secs_f64() * COVERED_AGES
    }

    /// Returns the level that is aimed at: it covers what is not heard of, and is half of the capacity at most, so
    /// that neither refill nor overdraft is lost.
    fn target_level(self) -> f64 {
        self.covered_tokens().min(self.capacity / 2.0)
    }

    /// Returns the tokens per second that all instances together may spend, which lead the level to its target. It
    /// is known late, so that it may not move far within the age of the news.
    fn spending_rate(self) -> f64 {
        let span = self.covered_tokens().max(f64::MIN_POSITIVE);
        self.rate_per_s * (1.0 + (self.level - self.target_level()) / span).clamp(0.0, 2.0)
    }
}

/// Spending of one instance of a shared level.
#[derive(Clone, Debug)]
pub struct SpendingShare {
    credit: f64,
    updated: clock::MonotonicTime,
    /// Part of the next request's size that must be saved before it is admitted.
    threshold: f64,
    /// Largest recent request.
    largest: f64,
    /// Admitted requests of which others may not have heard.
    unheard: collections::VecDeque<(clock::MonotonicTime, f64)>,
    unheard_tokens: f64,
    /// When the last caller was refused.
    refused: Option<clock::MonotonicTime>,
    /// When the tokens of the callers that were refused before are earned.
    next_turn: clock::MonotonicTime,
    seed: u64,
    draws: u64,
    /// Tokens per second that this instance earned when it was last refilled.
    earned_per_s: f64,
    /// Its part of the rate.
    rate_per_s: f64,
}

impl SpendingShare {
    /// Creates the share of an instance that has saved nothing; `seed` differs between instances.
    pub fn new(now: clock::MonotonicTime, seed: u64) -> Self {
        Self {
            credit: 0.0,
            updated: now,
            // The first request need not wait until something is earned.
            threshold: 0.0,
            largest: 0.0,
            unheard: collections::VecDeque::new(),
            unheard_tokens: 0.0,
            refused: None,
            next_turn: now,
            seed,
            draws: 0,
            earned_per_s: 0.0,
            rate_per_s: 0.0,
        }
    }

    fn draw_threshold(&mut self) {
        self.draws += 1;
        let bits = rendezvous::weight(self.seed, self.draws) >> 11;
        self.threshold = bits as f64 / (1_u64 << 53) as f64;
    }

    /// Earns what the time since the last call allows.
    pub fn refill(&mut self, now: clock::MonotonicTime, fleet: FleetState) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.earned_per_s = fleet.spending_rate() * fleet.own_share();
        self.rate_per_s = fleet.rate_per_s * fleet.own_share();
        let most = (fleet.capacity * fleet.own_share()).max(self.largest);
        self.credit = (self.credit + elapsed * self.earned_per_s).min(most);
        while let Some((spent, tokens)) = self.unheard.front().copied()
            && now.since(spent) >= fleet.news_age
        {
            self.unheard.pop_front();
            self.unheard_tokens -= tokens;
        }
    }

    /// Spends the tokens of a request, or returns when its caller should come back. `reserve` is the part of the
    /// level that is left to others.
    pub fn spend(
        &mut self,
        now: clock::MonotonicTime,
        tokens: f64,
        reserve: f64,
        fleet: FleetState,
    ) -> Result<(), time::Duration> {
        self.largest = (self.largest * LARGEST_DECAY).max(tokens);
        let missing = tokens * self.threshold - self.credit;
        let is_pressed = self.refused.is_some_and(|refused| now.since(refused) < PRESSURE_TIME);
        if missing > 0.0 && (is_pressed || fleet.level < fleet.target_level() * PLENTY) {
            let wait = missing / self.earned_per_s.max(self.rate_per_s / 2.0);
            let wait = time::Duration::try_from_secs_f64(wait).unwrap_or(MAX_SPREAD);
            return Err(self.turn(now, tokens, wait.min(MAX_SPREAD)));
        }
        let known = fleet.level + self.unheard_tokens - reserve;
        let most = known * fleet.own_share() * MAX_UNHEARD_SHARES + self.largest;
        if self.unheard_tokens > most {
            return Err(self.turn(now, tokens, fleet.news_age));
        }
        self.credit = (self.credit - tokens).max(-tokens);
        self.unheard.push_back((now, tokens));
        self.unheard_tokens += tokens;
        self.draw_threshold();
        Ok(())
    }

    /// Takes back the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: f64) {
        self.credit += tokens;
    }

    /// Returns the turn of a refused caller: after `wait`, and one after the other as their tokens are earned.
    pub fn turn(
        &mut self,
        now: clock::MonotonicTime,
        tokens: f64,
        wait: time::Duration,
    ) -> time::Duration {
        self.refused = Some(now);
        let first = now + wait;
        let turn = match self.next_turn > first + MAX_SPREAD {
            true => first,
            false => first.max(self.next_turn),
        };
        let pause = time::Duration::try_from_secs_f64(tokens / self.rate_per_s);
        self.next_turn = turn + pause.unwrap_or(MAX_SPREAD).min(MAX_SPREAD);
        turn.since(now)
    }
}

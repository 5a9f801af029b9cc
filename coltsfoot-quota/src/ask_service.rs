//! Decides on the requests that wait at the owner of a zone bucket: grant, wait or refuse.

use std::collections;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::quota;

use crate::zone_bucket;

/// Time by which a caller may come back before the promised instant.
const EARLY_RETURN: std::time::Duration = std::time::Duration::from_millis(50);

/// A waiting request that lacks tokens.
#[derive(Clone, Debug)]
struct LackingAsk {
    key: zone_bucket::HolderKey,
    ask: quota::TokenAsk,
    first_seen: clock::MonotonicTime,
    give_up: clock::MonotonicTime,
    lacking: u64,
    /// Instant at which the caller was told to come back, if it was.
    promised: Option<clock::MonotonicTime>,
    is_due: bool,
}

/// What remains after the requests were served.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceResult {
    /// Tokens that the requests that go on waiting lack.
    pub(crate) lacking: u64,
}

/// Grants, keeps or refuses every waiting request, in order of arrival; callers that come back
/// as promised go first.
pub(crate) fn serve(
    now: clock::MonotonicTime,
    bucket: &mut zone_bucket::ZoneBucket,
    lenders: &collections::BTreeMap<name::ZoneName, u16>,
) -> ServiceResult {
    let mut waiting = 0;
    for ask in lacking_asks(now, bucket) {
        if waiting == 0 && is_affordable(now, bucket, &ask) {
            bucket.give(now, &ask.key, ask.lacking);
            bucket.promises.claim(ask.ask.fingerprint, ask.ask.tokens);
            if let Some(holder) = bucket.holders.get_mut(&ask.key) {
                holder.asks.serve(ask.ask.request);
            }
            continue;
        }
        let undecided = bucket.loans.is_undecided(now, lenders, ask.first_seen);
        if ask.is_due || undecided || can_wait(now, bucket, lenders, &ask, waiting) {
            waiting += ask.lacking;
            continue;
        }
        refuse(now, bucket, &ask, waiting);
    }
    ServiceResult { lacking: waiting }
}

fn lacking_asks(now: clock::MonotonicTime, bucket: &zone_bucket::ZoneBucket) -> Vec<LackingAsk> {
    let mut lacking = Vec::new();
    for (key, holder) in &bucket.holders {
        for (waiting, tokens) in holder.asks.uncovered(holder.lender.outstanding()) {
            if now >= waiting.give_up {
                continue;
            }
            let promised = bucket.promises.due(waiting.ask.fingerprint, waiting.ask.tokens);
            lacking.push(LackingAsk {
                key: key.clone(),
                ask: waiting.ask,
                first_seen: waiting.first_seen,
                give_up: waiting.give_up,
                lacking: tokens,
                promised,
                is_due: promised.is_some_and(|due| due <= now + EARLY_RETURN),
            });
        }
    }
    lacking.sort_by_key(|ask| (!ask.is_due, ask.first_seen));
    lacking
}

fn is_affordable(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
    ask: &LackingAsk,
) -> bool {
    if ask.is_due {
        return ask.lacking <= bucket.available(now);
    }
    let level = bucket.bucket.level();
    let slack = bucket.promises.slack(level, now, |until| bucket.yield_until(now, until));
    ask.lacking <= slack.min(level) + bucket.loans.available(now)
}

/// Returns whether the bucket's rate, and what other zones can spare of theirs, yield the tokens
/// within the request's wait, after those of the requests ahead and of the promises.
fn can_wait(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
    lenders: &collections::BTreeMap<name::ZoneName, u16>,
    ask: &LackingAsk,
    ahead: u64,
) -> bool {
    let borrowed = bucket.loans.available(now);
    if ask.lacking > bucket.effective_limits().burst + borrowed {
        return false;
    }
    let slack = bucket
        .promises
        .slack(bucket.bucket.level(), ask.give_up, |until| bucket.yield_until(now, until));
    let wait = ask.give_up.since(now).as_micros();
    let spare = u128::from(bucket.loans.spare_rate(lenders)) * wait / 1_000_000;
    ahead.saturating_add(ask.lacking) <= slack.saturating_add(spare as u64 + borrowed)
}

/// Refuses a request and sets the tokens aside for the instant at which its caller is told to
/// come back.
fn refuse(
    now: clock::MonotonicTime,
    bucket: &mut zone_bucket::ZoneBucket,
    ask: &LackingAsk,
    ahead: u64,
) {
    let limits = bucket.effective_limits();
    let mut until = ask.promised.unwrap_or_else(|| {
        let needed = bucket.promises.tokens() + ahead + ask.ask.tokens;
        now + limits.time_for(needed.saturating_sub(bucket.bucket.level()))
    });
    let can_keep = ask.promised.is_none() && ask.ask.tokens <= limits.burst && limits.rate > 0;
    if can_keep {
        let due = bucket.promises.promise(ask.ask.fingerprint, ask.ask.tokens, until);
        until = due.unwrap_or(until);
    }
    let Some(holder) = bucket.holders.get_mut(&ask.key) else {
        return;
    };
    holder.asks.refuse(ask.ask.request, until);
    holder.has_news = true;
}

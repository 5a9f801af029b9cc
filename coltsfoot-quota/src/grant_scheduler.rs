//! Schedules the requests that wait at the owner of a zone bucket: grant, keep waiting or refuse.

use std::collections;

use coltsfoot_types::{name, time as clock};
use coltsfoot_wire::quota;

use crate::zone_bucket;

/// How much earlier than told a caller may retry and still use its reservation.
const EARLY_RETRY_TOLERANCE: std::time::Duration = std::time::Duration::from_millis(50);

/// A waiting request that the tokens granted to its holder do not cover.
#[derive(Clone, Debug)]
struct UncoveredRequest {
    key: zone_bucket::HolderKey,
    ask: quota::TokenRequest,
    first_seen: clock::MonotonicTime,
    wait_until: clock::MonotonicTime,
    shortfall: u64,
    /// Due instant of the caller's reservation, if it has one.
    due_at: Option<clock::MonotonicTime>,
    is_due: bool,
}

/// Outcome of one scheduling pass.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ScheduleResult {
    /// Tokens that the requests left waiting are short of.
    pub(crate) shortfall: u64,
}

/// Grants, keeps or refuses every waiting request in order of arrival, those with a due
/// reservation first.
pub(crate) fn serve(
    now: clock::MonotonicTime,
    bucket: &mut zone_bucket::ZoneBucket,
    lenders: &collections::BTreeMap<name::ZoneName, u16>,
) -> ScheduleResult {
    let mut tokens_ahead = 0;
    for request in uncovered_requests(now, bucket) {
        if tokens_ahead == 0 && is_affordable(now, bucket, &request) {
            bucket.grant(now, &request.key, request.shortfall);
            bucket.reservations.claim(request.ask.fingerprint, request.ask.tokens);
            if let Some(holder) = bucket.holders.get_mut(&request.key) {
                holder.pending.serve(request.ask.request);
            }
            continue;
        }
        let may_lend = bucket.loans.may_still_lend(now, lenders, request.first_seen);
        if request.is_due || may_lend || can_wait(now, bucket, lenders, &request, tokens_ahead) {
            tokens_ahead += request.shortfall;
            continue;
        }
        refuse(now, bucket, &request, tokens_ahead);
    }
    ScheduleResult { shortfall: tokens_ahead }
}

fn uncovered_requests(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
) -> Vec<UncoveredRequest> {
    let mut uncovered = Vec::new();
    for (key, holder) in &bucket.holders {
        for (pending, tokens) in holder.pending.uncovered(holder.lender.outstanding()) {
            if now >= pending.wait_until {
                continue;
            }
            let due_at = bucket.reservations.due(pending.ask.fingerprint, pending.ask.tokens);
            uncovered.push(UncoveredRequest {
                key: key.clone(),
                ask: pending.ask,
                first_seen: pending.first_seen,
                wait_until: pending.wait_until,
                shortfall: tokens,
                due_at,
                is_due: due_at.is_some_and(|due| due <= now + EARLY_RETRY_TOLERANCE),
            });
        }
    }
    uncovered.sort_by_key(|request| (!request.is_due, request.first_seen));
    uncovered
}

fn is_affordable(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
    request: &UncoveredRequest,
) -> bool {
    if request.is_due {
        return request.shortfall <= bucket.available(now);
    }
    let level = bucket.bucket.level();
    let slack = bucket.reservations.slack(level, now, |until| bucket.accrued_until(now, until));
    request.shortfall <= slack.min(level) + bucket.loans.available(now)
}

/// Returns whether the bucket's rate and the spare rate of other zones yield the tokens within
/// the request's maximum wait, after the requests ahead of it and the reservations.
fn can_wait(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
    lenders: &collections::BTreeMap<name::ZoneName, u16>,
    request: &UncoveredRequest,
    tokens_ahead: u64,
) -> bool {
    let borrowed = bucket.loans.available(now);
    if request.shortfall > bucket.effective_limits().burst + borrowed {
        return false;
    }
    let slack = bucket
        .reservations
        .slack(bucket.bucket.level(), request.wait_until, |until| bucket.accrued_until(now, until));
    let wait = request.wait_until.since(now).as_micros();
    let spare = u128::from(bucket.loans.spare_rate(lenders)) * wait / 1_000_000;
    tokens_ahead.saturating_add(request.shortfall) <= slack.saturating_add(spare as u64 + borrowed)
}

/// Refuses a request and reserves its tokens for the instant at which its caller is told to
/// retry.
fn refuse(
    now: clock::MonotonicTime,
    bucket: &mut zone_bucket::ZoneBucket,
    request: &UncoveredRequest,
    tokens_ahead: u64,
) {
    let limits = bucket.effective_limits();
    let mut until = request.due_at.unwrap_or_else(|| {
        let needed = bucket.reservations.tokens() + tokens_ahead + request.ask.tokens;
        now + limits.time_for(needed.saturating_sub(bucket.bucket.level()))
    });
    let can_reserve =
        request.due_at.is_none() && request.ask.tokens <= limits.burst && limits.rate > 0;
    if can_reserve {
        let due = bucket.reservations.reserve(request.ask.fingerprint, request.ask.tokens, until);
        until = due.unwrap_or(until);
    }
    let Some(holder) = bucket.holders.get_mut(&request.key) else {
        return;
    };
    holder.pending.refuse(request.ask.request, until);
    holder.needs_update = true;
}

//! Customers' quotas over all instances.

use std::sync;
use std::time;

use coltsfoot_gateway::quota_ledger::{self, QuotaClass};
use coltsfoot_types::time as clock;
use rstest::rstest;

const LIMIT: quota_ledger::QuotaLimit =
    quota_ledger::QuotaLimit { rate_per_s: 10_000.0, burst: 10_000.0 };

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn ledger() -> (quota_ledger::QuotaLedger, sync::Arc<str>) {
    let customer: sync::Arc<str> = "clinic".into();
    let mut ledger = quota_ledger::QuotaLedger::default();
    ledger.set_limit(at(0), &customer, Some(LIMIT));
    (ledger, customer)
}

fn report(total: u64) -> quota_ledger::UsageReport {
    let interval = time::Duration::from_millis(150);
    quota_ledger::UsageReport { total, instances: 1, interval, is_deaf: false }
}

/// Simulates instances with equal demand that exchange their totals every 150 ms, where `hears` allows.
/// Returns the tokens admitted per second.
fn admitted_per_s(instances: usize, hears: impl Fn(u64, usize, usize) -> bool) -> f64 {
    let mut ledgers: Vec<_> = (0..instances).map(|_| ledger().0).collect();
    let mut admitted = 0.0;
    for step in 0..2000_u64 {
        let now = at(step * 10);
        for ledger in &mut ledgers {
            if ledger.admit(now, "clinic", 500, QuotaClass::Plain).is_ok() && step >= 500 {
                admitted += 500.0;
            }
        }
        if step % 15 == 0 {
            let totals: Vec<u64> = ledgers
                .iter()
                .map(|ledger| ledger.totals().map(|(_, total)| total).sum())
                .collect();
            for (reader, ledger) in ledgers.iter_mut().enumerate() {
                for (peer, total) in totals.iter().enumerate() {
                    if peer != reader && hears(step, reader, peer) {
                        ledger.record_peer_report(now, peer as u64, "clinic", report(*total));
                    }
                }
            }
        }
    }
    admitted / 15.0
}

#[rstest]
#[case::one(1)]
#[case::six(6)]
#[case::nine(9)]
fn instances_together_use_the_full_rate_and_little_more(#[case] instances: usize) {
    let rate = admitted_per_s(instances, |_, _, _| true);
    assert!((9_800.0..11_000.0).contains(&rate), "{rate} tokens/s of 10,000");
}

#[test]
fn instances_split_by_a_partition_keep_to_the_rate() {
    let rate = admitted_per_s(6, |step, reader, peer| step < 800 || (reader < 2) == (peer < 2));
    assert!((9_000.0..11_000.0).contains(&rate), "{rate} tokens/s of 10,000");
}

#[test]
fn a_refusal_returns_the_time_until_the_request_is_admitted() {
    let (mut ledger, _) = ledger();
    ledger.admit(at(0), "clinic", 6_000, QuotaClass::Plain).expect("some quota at the start");
    let wait = ledger.admit(at(0), "clinic", 10, QuotaClass::Plain).expect_err("used up");
    let micros = wait.as_micros() as u64;
    let before = clock::MonotonicTime(micros - 2_000);
    ledger.admit(before, "clinic", 10, QuotaClass::Plain).expect_err("too early");
    let after = clock::MonotonicTime(micros + 1_000);
    ledger.admit(after, "clinic", 10, QuotaClass::Plain).expect("in time");
}

#[test]
fn the_last_part_of_a_quota_is_reserved_for_plain_requests() {
    let (mut ledger, _) = ledger();
    ledger.admit(at(2_000), "clinic", 9_000, QuotaClass::Prompt).expect("a full bucket");
    assert!(ledger.admit(at(2_000), "clinic", 9_000, QuotaClass::Prompt).is_err());
    ledger.admit(at(2_000), "clinic", 500, QuotaClass::UrgentPrompt).expect("above its reserve");
    ledger.admit(at(2_000), "clinic", 200, QuotaClass::Plain).expect("the reserve is for these");
}

#[test]
fn the_tokens_of_a_request_that_did_not_run_are_refunded() {
    let (mut ledger, customer) = ledger();
    ledger.admit(at(0), &customer, 900, QuotaClass::Plain).expect("some quota");
    ledger.refund(&customer, 900);
    assert_eq!(ledger.totals().next().map(|(_, total)| total), Some(0));
}

#[test]
fn a_lowered_limit_applies_at_once() {
    let (mut ledger, customer) = ledger();
    let lower = quota_ledger::QuotaLimit { rate_per_s: 100.0, burst: 100.0 };
    ledger.set_limit(at(5_000), &customer, Some(lower));
    ledger.admit(at(5_000), &customer, 200, QuotaClass::Plain).expect("the lower burst");
    assert!(ledger.admit(at(5_500), &customer, 1, QuotaClass::Plain).is_err());
}

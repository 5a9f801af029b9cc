//! Fair shares, priorities, bounds and deadlines of the fair queue.

use std::collections;
use std::time;

use coltsfoot_quota::{fair_queue, queue_entry};
use coltsfoot_types::{id, refusal, time as clock};
use rstest::rstest;

const FAR: clock::MonotonicTime = clock::MonotonicTime(3_600_000_000);

fn entry(request: u128, customer: &str, tokens: u64) -> queue_entry::QueueEntry<()> {
    queue_entry::QueueEntry::builder()
        .request(id::RequestId(request))
        .customer(customer.into())
        .tokens(tokens)
        .deadline(FAR)
        .item(())
        .build()
}

fn seconds(seconds: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(seconds * 1_000_000)
}

fn queue(max_entries: usize) -> fair_queue::FairQueue<()> {
    let limits = queue_entry::QueueLimits::builder()
        .max_entries(max_entries)
        .max_customer_entries(64)
        .max_lag_tokens(1_000)
        .build();
    fair_queue::FairQueue::new(limits)
}

#[rstest]
#[case::equal(1, 1, 50, 50)]
#[case::weighted(3, 1, 75, 25)]
fn tokens_are_shared_by_weight(
    #[case] weight_a: u32,
    #[case] weight_b: u32,
    #[case] served_a: usize,
    #[case] served_b: usize,
) {
    let mut queue = queue(1_000);
    let mut served = collections::BTreeMap::<String, usize>::new();
    for round in 0..100 {
        for (customer, weight, waiting) in [("a", weight_a, 40), ("b", weight_b, 4)] {
            while queue.waiting_tokens(&customer.into()) < waiting * 100 {
                let request = u128::from(queue.len() as u64) + round * 1_000_000;
                let mut entry = entry(request, customer, 100);
                entry.weight = weight;
                while queue.get(entry.request).is_some() {
                    entry.request.0 += 1;
                }
                queue.push(seconds(0), entry).unwrap();
            }
        }
        let popped = queue.pop(seconds(0)).unwrap();
        *served.entry(popped.customer.to_string()).or_default() += 1;
    }
    assert!(served["a"].abs_diff(served_a) <= 1, "{served:?}");
    assert!(served["b"].abs_diff(served_b) <= 1, "{served:?}");
}

#[rstest]
#[case::within_aging_step(1, 2)]
#[case::after_aging(5, 1)]
fn aging_overcomes_priority(#[case] later_s: u64, #[case] first: u128) {
    let mut queue = queue(10);
    queue.push(seconds(0), entry(1, "a", 10)).unwrap();
    let mut prioritized = entry(2, "a", 10);
    prioritized.priority = 2;
    queue.push(seconds(later_s), prioritized).unwrap();
    assert_eq!(queue.pop(seconds(later_s)).unwrap().request.0, first);
}

#[test]
fn full_queue_displaces_largest_backlog() {
    let mut queue = queue(8);
    for request in 0..8 {
        assert!(queue.push(seconds(0), entry(request, "flood", 10)).unwrap().is_none());
    }
    let refused = queue.push(seconds(0), entry(8, "flood", 10)).unwrap_err();
    assert_eq!(refused.reason, refusal::RefusalReason::QueueFull);
    let displaced = queue.push(seconds(0), entry(9, "quiet", 10)).unwrap().unwrap();
    assert_eq!(displaced.entry.request.0, 7);
    assert_eq!(queue.len(), 8);
    let mut urgent = entry(10, "flood", 10);
    urgent.priority = 9;
    assert_eq!(queue.push(seconds(0), urgent).unwrap().unwrap().entry.request.0, 6);
}

#[test]
fn unreachable_deadline_is_refused_on_push() {
    let mut queue = queue(64);
    queue.set_service_rate(100);
    for request in 0..10 {
        queue.push(seconds(0), entry(request, "a", 100)).unwrap();
    }
    let mut late = entry(11, "a", 100);
    late.deadline = seconds(8);
    let refused = queue.push(seconds(0), late.clone()).unwrap_err();
    assert_eq!(refused.reason, refusal::RefusalReason::DeadlineUnreachable);
    assert_eq!(refused.retry_after, time::Duration::from_secs(10));
    late.customer = "b".into();
    queue.push(seconds(0), late).expect("another backlog takes at most its weighted share");
}

#[rstest]
#[case::service_time_too_long(5, 2_500, 3, refusal::RefusalReason::DeadlineUnreachable)]
#[case::past(1, 0, 3, refusal::RefusalReason::DeadlineExceeded)]
fn entries_expire_with_reason(
    #[case] deadline_s: u64,
    #[case] service_ms: u64,
    #[case] now_s: u64,
    #[case] reason: refusal::RefusalReason,
) {
    let mut queue = queue(10);
    let mut waiting = entry(1, "a", 10);
    waiting.deadline = seconds(deadline_s);
    waiting.service_time = time::Duration::from_millis(service_ms);
    queue.push(seconds(0), waiting).unwrap();
    assert!(queue.expire(seconds(0)).is_empty());
    assert!(queue.pop(seconds(now_s)).is_none(), "an expired entry is not served");
    assert_eq!(queue.expire(seconds(now_s))[0].reason, reason);
    assert!(queue.is_empty());
}

#[test]
fn catch_up_is_limited_by_lag_bound() {
    let mut queue = queue(200);
    for request in 0..60 {
        queue.push(seconds(0), entry(request, "stuck", 100)).unwrap();
        queue.push(seconds(0), entry(100 + request, "busy", 100)).unwrap();
    }
    for _ in 0..40 {
        let popped = queue.pop_where(seconds(0), |entry| entry.customer.as_str() == "busy");
        popped.unwrap();
    }
    let consecutive =
        (0..60).take_while(|_| queue.pop(seconds(0)).unwrap().request.0 < 100).count();
    assert!((9..=12).contains(&consecutive), "{consecutive}");
}

#[test]
fn iteration_matches_service_order() {
    let mut queue = queue(64);
    for request in 0..30_u128 {
        let customer = ["a", "b", "c"][(request % 3) as usize];
        let mut entry = entry(request, customer, 10 + 7 * (request as u64 % 5));
        entry.weight = 1 + request as u32 % 3;
        entry.priority = (request % 4) as u8;
        queue.push(seconds(0), entry).unwrap();
    }
    queue.cancel(id::RequestId(4)).unwrap();
    let expected = queue.iter().map(|entry| entry.request).collect::<Vec<_>>();
    let served = std::iter::from_fn(|| queue.pop(seconds(0))).map(|entry| entry.request);
    assert_eq!(served.collect::<Vec<_>>(), expected);
}

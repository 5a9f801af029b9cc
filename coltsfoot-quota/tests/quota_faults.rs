//! Individual failure cases of the quota state machines.

use std::time;

use coltsfoot_quota::{
    bucket_owner, event, excess_meter, limit_history, quota_agent, reservation_list, token_bucket,
};
use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::quota;
use rstest::rstest;

const CUSTOMER: &str = "water-authority";
const ZONE: &str = "brest";
const VIEW: id::FencingNumber = id::FencingNumber(7);
/// Milliseconds until all grants of the previous owner have expired and a new one may grant.
const OLD_GRANTS_EXPIRED_MS: u64 = 2_200;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(1_000_000_000 + ms * 1_000)
}

fn limits(rate: u64, burst: u64) -> limit_history::CustomerLimits {
    limit_history::CustomerLimits {
        total: token_bucket::BucketLimits { rate, burst },
        zone_permille: [(ZONE.into(), 500), ("nantes".into(), 500)].into(),
    }
}

fn configured(offset: u64, rate: u64, burst: u64) -> event::OwnerEvent {
    let limits = Some(limits(rate, burst));
    event::OwnerEvent::Configured {
        customer: CUSTOMER.into(),
        offset: id::LogOffset(offset),
        limits,
    }
}

fn gained(active_from_ms: u64, share_permille: u16) -> event::OwnerEvent {
    let term = event::OwnershipTerm { view: VIEW, active_from: at(active_from_ms), share_permille };
    event::OwnerEvent::OwnershipGained { customer: CUSTOMER.into(), term }
}

fn lease(until_ms: u64) -> event::OwnerEvent {
    event::OwnerEvent::LeaseRenewed { until: at(until_ms) }
}

/// Creates an owner since instant 0 of a bucket with 500 tokens/s and a burst of 1,000 tokens.
fn owner() -> bucket_owner::BucketOwner {
    let mut owner = bucket_owner::BucketOwner::new(&"owner-1".into(), ZONE.into());
    owner.handle(at(0), configured(1, 1_000, 2_000));
    owner.handle(at(0), gained(0, 1_000));
    owner.handle(at(0), lease(1_000_000));
    owner
}

fn report(sequence: u64, session: Option<u64>, wanted: u64) -> quota::GrantReport {
    quota::GrantReport {
        customer: CUSTOMER.into(),
        zone: ZONE.into(),
        role: quota::HolderRole::Instance,
        session,
        sequence,
        spent: 0,
        returned: 0,
        refunded: 0,
        refund_age_ms: 0,
        wanted,
        urgent: 0,
        surplus: 0,
        expects_answer: true,
        requests: Default::default(),
    }
}

fn send(
    owner: &mut bucket_owner::BucketOwner,
    ms: u64,
    report: quota::GrantReport,
) -> Option<quota::GrantUpdate> {
    let sender = name::InstanceName::from("holder-1");
    let actions = owner.handle(at(ms), event::OwnerEvent::Report { sender, report });
    actions.into_iter().find_map(|action| match action {
        event::QuotaAction::Send { message: quota::QuotaMessage::Grant(update), .. } => {
            Some(update)
        }
        _ => None,
    })
}

fn status(owner: &mut bucket_owner::BucketOwner, ms: u64) -> bucket_owner::BucketStatus {
    owner.handle(at(ms), event::OwnerEvent::Tick);
    owner.inspect(&CUSTOMER.into()).unwrap()
}

#[test]
fn new_owner_starts_empty_after_old_grants_expired() {
    let mut owner = owner();
    assert!(send(&mut owner, OLD_GRANTS_EXPIRED_MS - 1, report(1, None, 100)).is_none());
    let update = send(&mut owner, OLD_GRANTS_EXPIRED_MS + 100, report(2, None, 100)).unwrap();
    assert_eq!(update.granted, 50, "100 ms at 500 tokens/s");
}

#[test]
fn owner_without_lease_grants_nothing() {
    let mut owner = bucket_owner::BucketOwner::new(&"owner-1".into(), ZONE.into());
    owner.handle(at(0), configured(1, 1_000, 2_000));
    owner.handle(at(0), gained(0, 1_000));
    owner.handle(at(0), lease(5_000));
    assert!(send(&mut owner, 4_999, report(1, None, 10)).is_some());
    assert!(send(&mut owner, 5_000, report(2, None, 10)).is_none(), "the lease has expired");
}

#[test]
fn outstanding_tokens_count_against_burst() {
    let mut owner = owner();
    let update = send(&mut owner, 10_000, report(1, None, 800)).unwrap();
    assert_eq!(update.granted, 800);
    assert_eq!(status(&mut owner, 11_000).level, 200, "800 are outstanding");
    let mut spent = report(2, Some(update.session), 800);
    spent.spent = 300;
    send(&mut owner, 11_000, spent.clone()).unwrap();
    assert_eq!(status(&mut owner, 11_000).outstanding, 700, "300 spent, 200 newly granted");
    assert_eq!(status(&mut owner, 13_300).outstanding, 0, "the session expired");
    assert!(send(&mut owner, 13_300, spent).is_some(), "an expired session is replaced");
}

#[rstest]
#[case::duplicate(2, 2)]
#[case::reordered(2, 1)]
fn stale_reports_are_ignored(#[case] newest: u64, #[case] late: u64) {
    let mut owner = owner();
    let update = send(&mut owner, 10_000, report(newest, None, 400)).unwrap();
    let mut returned = report(newest + 1, Some(update.session), 0);
    returned.returned = 400;
    send(&mut owner, 10_010, returned.clone());
    let before = status(&mut owner, 10_010);
    returned.sequence = late;
    assert!(send(&mut owner, 10_010, returned).is_none());
    assert!(send(&mut owner, 10_010, report(late, None, 400)).is_none());
    assert_eq!(status(&mut owner, 10_010), before);
}

#[rstest]
#[case::raised_after_propagation(1_000, 2_000, 4_000, 8_000, 500, 1_000)]
#[case::lowered_at_once(1_000, 2_000, 400, 800, 200, 400)]
fn smaller_limits_apply_until_change_has_propagated(
    #[case] old_rate: u64,
    #[case] old_burst: u64,
    #[case] new_rate: u64,
    #[case] new_burst: u64,
    #[case] rate_between: u64,
    #[case] burst_between: u64,
) {
    let mut owner = bucket_owner::BucketOwner::new(&"owner-1".into(), ZONE.into());
    owner.handle(at(0), configured(1, old_rate, old_burst));
    owner.handle(at(0), gained(0, 1_000));
    owner.handle(at(0), lease(1_000_000));
    owner.handle(at(5_000), configured(2, new_rate, new_burst));
    let between = status(&mut owner, 5_000);
    assert_eq!((between.rate, between.burst), (rate_between, burst_between));
    owner.handle(at(6_000), event::OwnerEvent::ConfigurationApplied { offset: id::LogOffset(2) });
    let settling = status(&mut owner, 6_000 + OLD_GRANTS_EXPIRED_MS - 1);
    assert_eq!(settling.burst, burst_between, "grants under the old limits are outstanding");
    let after = status(&mut owner, 6_000 + OLD_GRANTS_EXPIRED_MS);
    assert_eq!((after.rate, after.burst), (new_rate / 2, new_burst / 2));
}

#[test]
fn overdrawn_bucket_extends_no_session() {
    let mut owner = owner();
    let update = send(&mut owner, 10_000, report(1, None, 900)).unwrap();
    owner.handle(at(10_100), configured(2, 100, 200));
    let update = send(&mut owner, 10_500, report(2, Some(update.session), 900)).unwrap();
    assert_eq!(update.lifetime, time::Duration::from_millis(1_500), "not extended");
}

#[test]
fn restricted_share_is_lifted_after_old_grants_expired() {
    let mut owner = owner();
    assert_eq!(status(&mut owner, 10_000).level, 1_000);
    owner.handle(at(10_000), gained(10_000, 500));
    let half = status(&mut owner, 10_000);
    assert_eq!((half.rate, half.burst, half.level), (250, 500, 500));
    owner.handle(at(20_000), gained(21_000, 1_000));
    assert_eq!(status(&mut owner, 21_000 + OLD_GRANTS_EXPIRED_MS - 1).burst, 500);
    assert_eq!(status(&mut owner, 21_000 + OLD_GRANTS_EXPIRED_MS).burst, 1_000);
}

#[rstest]
#[case::own_term(VIEW, 200, 100)]
#[case::other_term(id::FencingNumber(6), 0, 0)]
fn handover_is_applied_once_and_only_for_its_term(
    #[case] view: id::FencingNumber,
    #[case] level: u64,
    #[case] outstanding: u64,
) {
    let mut owner = owner();
    let handover = quota::BucketHandover {
        customer: CUSTOMER.into(),
        zone: ZONE.into(),
        view,
        level: 200,
        outstanding: 100,
    };
    owner.handle(at(100), event::OwnerEvent::Handover(handover.clone()));
    let taken = status(&mut owner, 100);
    assert_eq!((taken.level, taken.outstanding), (level, outstanding));
    send(&mut owner, 110, report(1, None, level));
    let before = status(&mut owner, 110);
    owner.handle(at(110), event::OwnerEvent::Handover(handover));
    assert_eq!(status(&mut owner, 110), before, "a duplicate handover changes nothing");
}

#[rstest]
#[case::before_ownership(false, 300)]
#[case::for_an_ended_term(true, 0)]
fn early_handover_is_kept_for_its_term_only(#[case] had_term: bool, #[case] level: u64) {
    let mut owner = bucket_owner::BucketOwner::new(&"owner-1".into(), ZONE.into());
    owner.handle(at(0), configured(1, 1_000, 2_000));
    owner.handle(at(0), lease(1_000_000));
    if had_term {
        owner.handle(at(0), gained(0, 1_000));
        let lost =
            event::OwnerEvent::OwnershipLost { customer: CUSTOMER.into(), successor_view: None };
        owner.handle(at(10), lost);
    }
    let handover = quota::BucketHandover {
        customer: CUSTOMER.into(),
        zone: ZONE.into(),
        view: VIEW,
        level: 300,
        outstanding: 0,
    };
    owner.handle(at(20), event::OwnerEvent::Handover(handover));
    owner.handle(at(30), gained(30, 1_000));
    assert_eq!(status(&mut owner, 30).level, level);
}

#[test]
fn refund_is_credited_once() {
    let mut owner = owner();
    let mut first = report(1, None, 1_000);
    first.refunded = 500;
    let update = send(&mut owner, 10_000, first).unwrap();
    let mut refund = report(2, Some(update.session), 0);
    (refund.spent, refund.refunded, refund.refund_age_ms) = (1_000, 700, 100);
    send(&mut owner, 10_100, refund.clone());
    assert_eq!(
        status(&mut owner, 10_100).level,
        0,
        "the bucket was full until the spending was reported"
    );
    (refund.sequence, refund.refunded, refund.refund_age_ms) = (3, 800, 50);
    send(&mut owner, 10_200, refund.clone());
    assert_eq!(status(&mut owner, 10_200).level, 150, "50 accrued, 100 credited");
    refund.sequence = 4;
    send(&mut owner, 10_200, refund);
    assert_eq!(status(&mut owner, 10_200).level, 150, "a repeated count credits nothing");
}

#[test]
fn refunds_before_first_report_are_not_credited() {
    let mut owner = owner();
    let mut first = report(1, None, 0);
    (first.refunded, first.refund_age_ms) = (500, 10);
    send(&mut owner, OLD_GRANTS_EXPIRED_MS + 100, first);
    assert_eq!(status(&mut owner, OLD_GRANTS_EXPIRED_MS + 100).level, 50);
}

#[rstest]
#[case::never_full_since(300, 1, 90, 90)]
#[case::full_since(100, 3, 90, 0)]
#[case::nearly_full_since(100, 1, 90, 50)]
fn refund_excludes_overflowed_tokens(
    #[case] burst: u64,
    #[case] seconds: u64,
    #[case] refunded: u64,
    #[case] credited: u64,
) {
    let limits = token_bucket::BucketLimits { rate: 50, burst };
    let mut bucket = token_bucket::TokenBucket::new(limits, at(0));
    bucket.refresh(at(4_000), limits, 0);
    bucket.take(100);
    bucket.refresh(at(4_000), limits, 0);
    let later = at(4_000 + seconds * 1_000);
    bucket.refresh(later, limits, 0);
    let before = bucket.level();
    bucket.refund(later, at(4_000) + time::Duration::from_micros(1), refunded);
    assert_eq!(bucket.level() - before, credited);
}

#[test]
fn regranted_tokens_expire_with_their_loan() {
    let mut owner = owner();
    let mut asking = report(1, None, 0);
    asking.requests.push(quota::TokenRequest {
        request: id::RequestId(1),
        fingerprint: 1,
        tokens: 1_500,
        wait_ms: 2_000,
    });
    let sender = name::InstanceName::from("holder-1");
    let actions = owner.handle(at(10_000), event::OwnerEvent::Report { sender, report: asking });
    let loan = actions.iter().find_map(|action| match action {
        event::QuotaAction::Send { message: quota::QuotaMessage::Report(loan), .. } => Some(loan),
        _ => None,
    });
    let loan = loan.expect("the shortfall is borrowed");
    let update = quota::GrantUpdate {
        customer: CUSTOMER.into(),
        zone: "nantes".into(),
        role: quota::HolderRole::Zone,
        session: 9,
        number: 1,
        sequence: loan.sequence,
        granted: 600,
        lifetime: time::Duration::from_millis(900),
        spare_rate: 0,
        is_nearly_full: false,
        served: Default::default(),
        refusals: Default::default(),
    };
    let sender = name::InstanceName::from("owner-2");
    let actions = owner.handle(at(10_003), event::OwnerEvent::Grant { sender, update });
    let granted = actions.into_iter().find_map(|action| match action {
        event::QuotaAction::Send { message: quota::QuotaMessage::Grant(update), .. } => {
            Some(update)
        }
        _ => None,
    });
    let granted = granted.expect("the waiting request is served");
    assert_eq!(granted.granted, 1_500);
    assert_eq!(granted.lifetime, time::Duration::from_millis(900));
}

/// Creates an agent with configured limits and no tokens.
fn agent() -> quota_agent::QuotaAgent {
    let mut agent = quota_agent::QuotaAgent::new(ZONE.into(), quota_agent::DEFAULT_MAX_WAIT);
    let limits = Some(limits(1_000, 2_000));
    agent.handle(at(0), event::AgentEvent::Configured { customer: CUSTOMER.into(), limits });
    agent
}

fn admit(
    agent: &mut quota_agent::QuotaAgent,
    ms: u64,
    request: u128,
    tokens: u64,
) -> event::QuotaActions {
    let admission = event::AdmissionRequest {
        request: id::RequestId(request),
        customer: CUSTOMER.into(),
        tokens,
        deadline: at(ms + 10_000),
        fingerprint: request as u64,
    };
    agent.handle(at(ms), event::AgentEvent::Admit(admission))
}

fn granted(session: u64, sequence: u64, tokens: u64) -> event::AgentEvent {
    let update = quota::GrantUpdate {
        customer: CUSTOMER.into(),
        zone: ZONE.into(),
        role: quota::HolderRole::Instance,
        session,
        number: sequence,
        sequence,
        granted: tokens,
        lifetime: time::Duration::from_secs(2),
        spare_rate: 0,
        is_nearly_full: false,
        served: Default::default(),
        refusals: Default::default(),
    };
    event::AgentEvent::Grant { sender: "owner-1".into(), update }
}

fn admitted(actions: &event::QuotaActions) -> usize {
    let admitted =
        actions.iter().filter(|action| matches!(action, event::QuotaAction::Admit { .. }));
    admitted.count()
}

#[rstest]
#[case::in_time(1_999, 1)]
#[case::expired(2_000, 0)]
fn expired_tokens_are_not_spent(#[case] later_ms: u64, #[case] expected: usize) {
    let mut agent = agent();
    admit(&mut agent, 0, 1, 100);
    assert_eq!(admitted(&agent.handle(at(5), granted(1, 1, 300))), 1);
    assert_eq!(admitted(&admit(&mut agent, later_ms, 2, 100)), expected);
}

#[test]
fn reordered_answer_opens_no_session() {
    let mut agent = agent();
    admit(&mut agent, 0, 1, 100);
    agent.handle(at(150), event::AgentEvent::Tick);
    let late = agent.handle(at(151), granted(1, 1, 100));
    assert_eq!(admitted(&late), 0, "the second report may have closed that session");
    assert_eq!(admitted(&agent.handle(at(152), granted(2, 2, 100))), 1);
}

#[test]
fn duplicate_grant_adds_nothing() {
    let mut agent = agent();
    admit(&mut agent, 0, 1, 100);
    agent.handle(at(5), granted(1, 1, 100));
    agent.handle(at(6), granted(1, 1, 100));
    assert_eq!(admitted(&admit(&mut agent, 7, 2, 100)), 0);
}

#[rstest]
#[case::too_large(2_001, 0, refusal::RefusalReason::ExceedsBurst)]
#[case::silent_owner(100, 2_000, refusal::RefusalReason::RateLimited)]
fn requests_are_refused_within_max_wait(
    #[case] tokens: u64,
    #[case] wait_ms: u64,
    #[case] expected: refusal::RefusalReason,
) {
    let mut agent = agent();
    let mut actions = admit(&mut agent, 0, 1, tokens);
    actions.extend(agent.handle(at(wait_ms), event::AgentEvent::Tick));
    let reason = actions.iter().find_map(|action| match action {
        event::QuotaAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, Some(expected));
}

#[test]
fn reserved_tokens_are_not_granted_to_others() {
    let mut reservations = reservation_list::ReservationList::default();
    let accrued_until = |until: clock::MonotonicTime| until.since(at(0)).as_millis() as u64;
    reservations.reserve(1, 300, at(200));
    reservations.reserve(2, 300, at(500));
    assert_eq!(
        reservations.clone().reserve(3, 1, at(300)),
        Some(at(500)),
        "due no earlier than the last one"
    );
    assert_eq!(
        reservations.slack(100, at(0), accrued_until),
        0,
        "600 are due at 500 ms, as many as accrue"
    );
    assert_eq!(reservations.slack(150, at(0), accrued_until), 50);
    assert_eq!(reservations.slack(100, at(1_000), accrued_until), 500);
    reservations.claim(2, 300);
    assert_eq!(reservations.due(2, 300), None);
    reservations.expire(at(2_200));
    assert!(reservations.is_empty(), "the caller did not retry");
}

#[rstest]
#[case::within(&[(0, 100), (1_000, 50), (2_000, 50)], 0)]
#[case::at_once(&[(0, 100), (0, 30)], 30)]
#[case::in_the_middle(&[(0, 10), (10_000, 60), (10_200, 60), (20_000, 100)], 10)]
fn meter_finds_worst_interval(#[case] admissions: &[(u64, u64)], #[case] excess: u64) {
    let limits = token_bucket::BucketLimits { rate: 50, burst: 100 };
    let mut meter = excess_meter::ExcessMeter::new(limits);
    for (request, (ms, tokens)) in admissions.iter().enumerate() {
        meter.admit(at(*ms), id::RequestId(request as u128), *tokens + 5);
        meter.refund(id::RequestId(request as u128), 5);
    }
    assert_eq!(meter.max_excess(), excess);
}

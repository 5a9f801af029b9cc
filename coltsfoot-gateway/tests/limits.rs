//! Rate limits that upstreams announce in their responses.

mod fleet_fixture;

use std::net;
use std::time;

use coltsfoot_gateway::fleet_view;
use coltsfoot_gateway::fleet_view::permit_issuers::PermitIssuer;
use coltsfoot_gateway::fleet_view::zones::OwnMember;
use coltsfoot_gateway::limit_table::{LimitChange, LimitObservation, LimitTable};
use coltsfoot_gateway::send_permits::{PermitClass, PermitLedger};
use coltsfoot_gateway::upstream_search::SearchStep;
use coltsfoot_wire::fleet;
use fleet_fixture::{at, fleet, report_adapters, sample_heartbeat, sends_to, step};
use rstest::rstest;

const NUMBER: u32 = 7;

fn observation(per_s: Option<f64>, sent: u64, received: u64) -> LimitObservation {
    LimitObservation { per_s, sent: at(sent), received: at(received) }
}

#[rstest]
#[case::lowered(observation(Some(1.0), 50, 210), Some(1.0))]
#[case::lowered_to_zero(observation(Some(0.0), 50, 210), Some(0.0))]
#[case::raised(observation(Some(9.0), 201, 210), Some(9.0))]
#[case::raised_in_a_stale_response(observation(Some(9.0), 150, 210), Some(5.0))]
#[case::ended(observation(None, 201, 210), None)]
#[case::ended_in_a_stale_response(observation(None, 150, 210), Some(5.0))]
#[case::stale_message(observation(Some(1.0), 50, 190), Some(5.0))]
#[case::repeated_message(observation(Some(5.0), 100, 200), Some(5.0))]
fn the_latest_observation_of_a_limit_applies(
    #[case] later: LimitObservation,
    #[case] expected: Option<f64>,
) {
    let mut table = LimitTable::default();
    assert_eq!(table.record(at(100), NUMBER, observation(None, 50, 100)), LimitChange::None);
    assert_eq!(
        table.record(at(200), NUMBER, observation(Some(5.0), 100, 200)),
        LimitChange::Significant
    );
    let is_news = table.record(at(220), NUMBER, later) != LimitChange::None;
    assert_eq!(is_news, expected != Some(5.0));
    assert_eq!(table.limit(at(220), NUMBER), expected);
    assert_eq!(table.limit(at(220), NUMBER + 1), None, "another incarnation");
}

#[test]
fn a_limit_expires_after_an_hour_without_responses() {
    let mut table = LimitTable::default();
    table.record(at(0), NUMBER, observation(Some(1.0), 0, 0));
    assert_eq!(table.limit(at(3_599_000), NUMBER), Some(1.0));
    assert_eq!(table.limit(at(3_600_000), NUMBER), None);
}

#[test]
fn minor_changes_go_to_the_permit_issuer_and_significant_ones_to_all() {
    let mut table = LimitTable::default();
    let mut take = |per_s, received| {
        table.record(at(received), NUMBER, observation(per_s, received - 1, received))
    };
    assert_eq!(take(Some(4.0), 10), LimitChange::Significant);
    assert_eq!(take(Some(4.5), 20), LimitChange::Minor);
    assert_eq!(take(Some(5.0), 30), LimitChange::Minor);
    assert_eq!(
        take(Some(5.1), 40),
        LimitChange::Significant,
        "a quarter above the last significant change"
    );
    assert_eq!(take(Some(0.0), 50), LimitChange::Significant);
    assert_eq!(take(None, 60), LimitChange::Significant);
    assert_eq!(take(None, 70), LimitChange::None);
}

#[rstest]
#[case::fraction(Some(0.5))]
#[case::nothing(Some(0.0))]
#[case::unbounded(Some(f64::INFINITY))]
#[case::ended(None)]
fn a_limit_message_carries_ages(#[case] per_s: Option<f64>) {
    let mut table = LimitTable::default();
    table.record(at(100), NUMBER, observation(Some(0.25), 50, 100));
    table.record(at(2_000), NUMBER, observation(per_s, 1_500, 2_000));
    let messages = table.limits_to_resend(at(2_300));
    assert_eq!(messages.len(), 1);
    // The receiving instance has a different clock.
    let received = LimitObservation::from_message(at(90_000), &messages[0]);
    assert_eq!(received, observation(per_s, 90_000 - 800, 90_000 - 300));
}

/// The platform allows 1.5 times the limit plus five requests in any 4 s.
#[rstest]
#[case::half(0.5)]
#[case::one(1.0)]
#[case::fraction(1.4)]
#[case::many(40.0)]
#[case::nothing(0.0)]
fn permits_stay_within_what_the_platform_allows(#[case] per_s: f64) {
    let mut ledger = PermitLedger::default();
    let issued: Vec<u64> = (0..60_000)
        .filter(|ms| ledger.acquire(at(*ms), NUMBER, per_s, PermitClass::Request).is_ok())
        .collect();
    let spans = issued.iter().map(|begin| {
        issued.iter().filter(|later| (*begin..*begin + 4_000).contains(*later)).count()
    });
    let most = spans.max().expect("some");
    assert!(most as f64 <= per_s * 4.0 * 1.5 + 5.0, "{most}");
    assert!(issued.len() as f64 >= per_s * 55.0, "{} in a minute", issued.len());
    assert!(issued.len() >= 14, "a limit of zero is probed occasionally");
}

#[test]
fn orders_use_only_a_share_of_a_limit() {
    let mut ledger = PermitLedger::default();
    let (mut orders, mut requests) = (0, 0);
    for ms in 0..60_000 {
        orders += u32::from(ledger.acquire(at(ms), NUMBER, 2.0, PermitClass::Control).is_ok());
        requests += u32::from(ledger.acquire(at(ms), NUMBER, 2.0, PermitClass::Request).is_ok());
    }
    assert!((25..=31).contains(&orders), "{orders} orders");
    assert!((85..=121 - orders).contains(&requests), "{requests} requests");
}

#[test]
fn a_lowered_limit_shrinks_the_burst() {
    let mut ledger = PermitLedger::default();
    let mut take = |ms, per_s| ledger.acquire(at(ms), NUMBER, per_s, PermitClass::Request);
    assert!(take(0, 50.0).is_err(), "another instance may just have issued permits");
    for _ in 0..20 {
        assert!(take(1_000, 50.0).is_ok(), "unused permits accumulate for a while");
    }
    assert!(take(2_000, 50.0).is_ok());
    let at_once = (0..50).take_while(|_| take(3_000, 1.0).is_ok()).count();
    assert_eq!(at_once, 3, "the burst of the lower limit");
    assert_eq!(take(3_000, 1.0), Err(time::Duration::from_secs(1)));
}

const OWN: OwnMember = OwnMember { id: 1, capacity: 250, address: OWN_ADDRESS };
const OWN_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::new(10, 0, 0, 1)), 1);

fn peer_address(id: u64) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 1, id as u8], 1))
}

fn receive_heartbeat(
    view: &mut fleet_view::FleetView,
    now: u64,
    id: u64,
    zone: &str,
    is_draining: bool,
) {
    let message = fleet::FleetHeartbeat {
        sender: id,
        address: peer_address(id),
        zone: zone.to_owned(),
        is_draining,
        ..sample_heartbeat(now + 1, Vec::new())
    };
    view.apply_heartbeat(at(now), &message);
}

fn issuers(view: &fleet_view::FleetView, now: u64) -> Vec<PermitIssuer> {
    let number = view.upstream("a").expect("known").number;
    view.permit_issuers(at(now), number, OWN, "y", false).into_vec()
}

#[test]
fn instances_of_the_upstreams_zone_issue_permits() {
    let mut view = fleet(&[("a", "z")]);
    assert_eq!(issuers(&view, 0), [PermitIssuer::Own], "no other instance is known");
    receive_heartbeat(&mut view, 0, 2, "x", false);
    assert_eq!(issuers(&view, 0).len(), 2, "the zone has no instance");
    receive_heartbeat(&mut view, 0, 3, "z", false);
    receive_heartbeat(&mut view, 0, 4, "z", false);
    let both = issuers(&view, 0);
    let [first, second] = both[..] else { panic!("{both:?}") };
    let mut addresses = [first, second];
    addresses.sort_by_key(|issuer| *issuer != PermitIssuer::Peer(peer_address(3)));
    assert_eq!(addresses, [3, 4].map(peer_address).map(PermitIssuer::Peer));
    let first_id = if first == PermitIssuer::Peer(peer_address(3)) { 3 } else { 4 };
    receive_heartbeat(&mut view, 100, first_id, "z", true);
    assert_eq!(issuers(&view, 100), [second], "an instance that shuts down issues none");
    receive_heartbeat(&mut view, 200, first_id, "z", false);
    receive_heartbeat(&mut view, 900, first_id, "z", false);
    assert_eq!(issuers(&view, 900), [first], "the other instance is silent");
}

/// Four of six instances become unreachable: the rest issue permits for a third of the limit, and
/// for all of it once the others are removed.
#[test]
fn both_sides_of_a_partition_share_one_limit() {
    let mut view = fleet(&[("a", "z")]);
    let number = view.upstream("a").expect("known").number;
    view.limits_mut().record(at(0), number, observation(Some(6.0), 0, 0));
    (2..=6).for_each(|id| receive_heartbeat(&mut view, 0, id, "z", false));
    assert_eq!(view.permit_rate(at(100), number), Some(6.0));
    receive_heartbeat(&mut view, 2_000, 2, "z", false);
    assert_eq!(view.permit_rate(at(2_100), number), Some(2.0));
    receive_heartbeat(&mut view, 13_000, 2, "z", false);
    view.expire(at(13_000));
    assert_eq!(view.permit_rate(at(13_000), number), Some(6.0));
    assert_eq!(view.permit_rate(at(13_000), number + 1), None, "no limit");
}

#[test]
fn an_upstream_without_permits_is_skipped_until_there_are_some() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    report_adapters(&mut view, "a", &["x"], 0);
    report_adapters(&mut view, "b", &["x"], 0);
    let (a, b) = (view.upstream("a").expect("known"), view.upstream("b").expect("known"));
    let (a, b) = (a.number, b.number);
    view.availability_mut().hold(at(0), a, time::Duration::from_millis(700));
    assert!(sends_to(&step(10, &view), "b"));
    view.availability_mut().hold(at(0), b, time::Duration::from_millis(100));
    assert!(matches!(step(10, &view), SearchStep::Wait(_)), "a permit is available soon");
    view.availability_mut().hold(at(0), b, time::Duration::from_millis(900));
    assert_eq!(step(10, &view), SearchStep::Refuse("upstreams_quiet"), "at once");
    assert_eq!(view.next_available(at(10), "llm"), Some(at(700)));
    view.availability_mut().back_off(at(10), a, time::Duration::from_millis(5_000));
    assert!(sends_to(&step(900, &view), "b"), "the later of both times applies");
}

#[test]
fn an_adapter_is_loaded_on_an_engine_without_a_limit() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    let loads_at = |view: &fleet_view::FleetView| match step(10, view) {
        SearchStep::Load(chosen) => chosen.id.to_string(),
        other => panic!("{other:?}"),
    };
    let home = loads_at(&view);
    let number = view.upstream(&home).expect("known").number;
    view.limits_mut().record(at(0), number, observation(Some(1.0), 0, 0));
    assert_ne!(loads_at(&view), home);
    view.limits_mut().record(at(5), number, observation(None, 1, 5));
    assert_eq!(loads_at(&view), home, "the limit has ended");
}

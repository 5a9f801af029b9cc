//! Limits that upstreams name in their answers.

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
use fleet_fixture::{at, beat, fleet, sends_to, step, tell};
use rstest::rstest;

const NUMBER: u32 = 7;

fn word(per_s: Option<f64>, sent: u64, heard: u64) -> LimitObservation {
    LimitObservation { per_s, sent: at(sent), heard: at(heard) }
}

#[rstest]
#[case::falls(word(Some(1.0), 50, 210), Some(1.0))]
#[case::falls_to_nothing(word(Some(0.0), 50, 210), Some(0.0))]
#[case::rises(word(Some(9.0), 201, 210), Some(9.0))]
#[case::rises_in_an_answer_from_before(word(Some(9.0), 150, 210), Some(5.0))]
#[case::ends(word(None, 201, 210), None)]
#[case::ends_in_an_answer_from_before(word(None, 150, 210), Some(5.0))]
#[case::told_late(word(Some(1.0), 50, 190), Some(5.0))]
#[case::told_twice(word(Some(5.0), 100, 200), Some(5.0))]
fn the_newest_word_of_a_limit_holds(
    #[case] later: LimitObservation,
    #[case] expected: Option<f64>,
) {
    let mut table = LimitTable::default();
    assert_eq!(table.record(at(100), NUMBER, word(None, 50, 100)), LimitChange::None);
    assert_eq!(table.record(at(200), NUMBER, word(Some(5.0), 100, 200)), LimitChange::Significant);
    let is_news = table.record(at(220), NUMBER, later) != LimitChange::None;
    assert_eq!(is_news, expected != Some(5.0));
    assert_eq!(table.limit(at(220), NUMBER), expected);
    assert_eq!(table.limit(at(220), NUMBER + 1), None, "another incarnation");
}

#[test]
fn a_limit_is_forgotten_if_nothing_is_heard_for_an_hour() {
    let mut table = LimitTable::default();
    table.record(at(0), NUMBER, word(Some(1.0), 0, 0));
    assert_eq!(table.limit(at(3_599_000), NUMBER), Some(1.0));
    assert_eq!(table.limit(at(3_600_000), NUMBER), None);
}

#[test]
fn who_gives_leave_is_told_slight_changes_and_all_are_told_others() {
    let mut table = LimitTable::default();
    let mut take = |per_s, heard| table.record(at(heard), NUMBER, word(per_s, heard - 1, heard));
    assert_eq!(take(Some(4.0), 10), LimitChange::Significant);
    assert_eq!(take(Some(4.5), 20), LimitChange::Minor);
    assert_eq!(take(Some(5.0), 30), LimitChange::Minor);
    assert_eq!(take(Some(5.1), 40), LimitChange::Significant, "a quarter above what was told");
    assert_eq!(take(Some(0.0), 50), LimitChange::Significant);
    assert_eq!(take(None, 60), LimitChange::Significant);
    assert_eq!(take(None, 70), LimitChange::None);
}

#[rstest]
#[case::fraction(Some(0.5))]
#[case::nothing(Some(0.0))]
#[case::without_bound(Some(f64::INFINITY))]
#[case::ended(None)]
fn a_limit_is_told_with_its_age(#[case] per_s: Option<f64>) {
    let mut table = LimitTable::default();
    table.record(at(100), NUMBER, word(Some(0.25), 50, 100));
    table.record(at(2_000), NUMBER, word(per_s, 1_500, 2_000));
    let told = table.limits_to_resend(at(2_300));
    assert_eq!(told.len(), 1);
    // Another instance has a clock of its own.
    let heard = LimitObservation::from_message(at(90_000), &told[0]);
    assert_eq!(heard, word(per_s, 90_000 - 800, 90_000 - 300));
}

/// Requests a second that are asked for, and how many are given in any 4 s at most.
#[rstest]
#[case::half(0.5)]
#[case::one(1.0)]
#[case::fraction(1.4)]
#[case::many(40.0)]
#[case::nothing(0.0)]
fn leave_stays_within_what_the_platform_allows(#[case] per_s: f64) {
    let mut ledger = PermitLedger::default();
    let given: Vec<u64> = (0..60_000)
        .filter(|ms| ledger.acquire(at(*ms), NUMBER, per_s, PermitClass::Request).is_ok())
        .collect();
    let spans = given.iter().map(|begin| {
        given.iter().filter(|later| (*begin..*begin + 4_000).contains(*later)).count()
    });
    let most = spans.max().expect("some");
    assert!(most as f64 <= per_s * 4.0 * 1.5 + 5.0, "{most}");
    assert!(given.len() as f64 >= per_s * 55.0, "{} in a minute", given.len());
    assert!(given.len() >= 14, "a limit of nothing is tried again now and then");
}

#[test]
fn orders_leave_most_of_a_limit_to_requests() {
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
fn a_limit_that_falls_leaves_no_burst() {
    let mut ledger = PermitLedger::default();
    let mut take = |ms, per_s| ledger.acquire(at(ms), NUMBER, per_s, PermitClass::Request);
    assert!(take(0, 50.0).is_err(), "another instance may have given leave a moment ago");
    for _ in 0..20 {
        assert!(take(1_000, 50.0).is_ok(), "what was not asked for is kept for a while");
    }
    assert!(take(2_000, 50.0).is_ok());
    let at_once = (0..50).take_while(|_| take(3_000, 1.0).is_ok()).count();
    assert_eq!(at_once, 3, "as many as if the limit had been low all the time");
    assert_eq!(take(3_000, 1.0), Err(time::Duration::from_secs(1)));
}

const OWN: OwnMember = OwnMember { id: 1, capacity: 250, address: OWN_ADDRESS };
const OWN_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::new(10, 0, 0, 1)), 1);

fn peer_address(id: u64) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 1, id as u8], 1))
}

fn hear(view: &mut fleet_view::FleetView, now: u64, id: u64, zone: &str, is_draining: bool) {
    let beat = fleet::FleetHeartbeat {
        sender: id,
        address: peer_address(id),
        zone: zone.to_owned(),
        is_draining,
        ..beat(now + 1, Vec::new())
    };
    view.apply_heartbeat(at(now), &beat);
}

fn givers(view: &fleet_view::FleetView, now: u64) -> Vec<PermitIssuer> {
    let number = view.upstream("a").expect("known").number;
    view.permit_issuers(at(now), number, OWN, "y", false).into_vec()
}

#[test]
fn instances_of_the_upstreams_zone_give_leave() {
    let mut view = fleet(&[("a", "z")]);
    assert_eq!(givers(&view, 0), [PermitIssuer::Own], "nobody else is known");
    hear(&mut view, 0, 2, "x", false);
    assert_eq!(givers(&view, 0).len(), 2, "the zone has none");
    hear(&mut view, 0, 3, "z", false);
    hear(&mut view, 0, 4, "z", false);
    let both = givers(&view, 0);
    let [first, second] = both[..] else { panic!("{both:?}") };
    let mut addresses = [first, second];
    addresses.sort_by_key(|giver| *giver != PermitIssuer::Peer(peer_address(3)));
    assert_eq!(addresses, [3, 4].map(peer_address).map(PermitIssuer::Peer));
    let first_id = if first == PermitIssuer::Peer(peer_address(3)) { 3 } else { 4 };
    hear(&mut view, 100, first_id, "z", true);
    assert_eq!(givers(&view, 100), [second], "one that is about to stop gives none");
    hear(&mut view, 200, first_id, "z", false);
    hear(&mut view, 900, first_id, "z", false);
    assert_eq!(givers(&view, 900), [first], "the other one is silent");
}

/// Four of six instances are cut off: those that are left give leave for a third of the limit, and for all
/// of it once the others are forgotten.
#[test]
fn both_sides_of_a_partition_keep_to_one_limit() {
    let mut view = fleet(&[("a", "z")]);
    let number = view.upstream("a").expect("known").number;
    view.limits_mut().record(at(0), number, word(Some(6.0), 0, 0));
    (2..=6).for_each(|id| hear(&mut view, 0, id, "z", false));
    assert_eq!(view.permit_rate(at(100), number), Some(6.0));
    hear(&mut view, 2_000, 2, "z", false);
    assert_eq!(view.permit_rate(at(2_100), number), Some(2.0));
    hear(&mut view, 13_000, 2, "z", false);
    view.expire(at(13_000));
    assert_eq!(view.permit_rate(at(13_000), number), Some(6.0));
    assert_eq!(view.permit_rate(at(13_000), number + 1), None, "no limit");
}

#[test]
fn an_upstream_without_leave_is_passed_over_until_there_is_some() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    tell(&mut view, "a", &["x"], 0);
    tell(&mut view, "b", &["x"], 0);
    let (a, b) = (view.upstream("a").expect("known"), view.upstream("b").expect("known"));
    let (a, b) = (a.number, b.number);
    view.availability_mut().hold(at(0), a, time::Duration::from_millis(700));
    assert!(sends_to(&step(10, &view), "b"));
    view.availability_mut().hold(at(0), b, time::Duration::from_millis(100));
    assert!(matches!(step(10, &view), SearchStep::Wait(_)), "there is leave soon");
    view.availability_mut().hold(at(0), b, time::Duration::from_millis(900));
    assert_eq!(step(10, &view), SearchStep::Refuse("upstreams_quiet"), "at once");
    assert_eq!(view.next_available(at(10), "llm"), Some(at(700)));
    view.availability_mut().back_off(at(10), a, time::Duration::from_millis(5_000));
    assert!(sends_to(&step(900, &view), "b"), "the later of both times holds");
}

#[test]
fn an_adapter_is_loaded_where_no_limit_is_named() {
    let mut view = fleet(&[("a", "z"), ("b", "z")]);
    let loads_at = |view: &fleet_view::FleetView| match step(10, view) {
        SearchStep::Load(chosen) => chosen.id.to_string(),
        other => panic!("{other:?}"),
    };
    let home = loads_at(&view);
    let number = view.upstream(&home).expect("known").number;
    view.limits_mut().record(at(0), number, word(Some(1.0), 0, 0));
    assert_ne!(loads_at(&view), home);
    view.limits_mut().record(at(5), number, word(None, 1, 5));
    assert_eq!(loads_at(&view), home, "the limit has ended");
}

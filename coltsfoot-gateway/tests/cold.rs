//! Upstreams that are cold: what tells so, how often they get something, and where requests go meanwhile.

mod fleet_fixture;

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::cold_table::{ColdBounds, ColdTable};
use coltsfoot_gateway::member_memory::MemberMemory;
use coltsfoot_gateway::path_table::PathFailure;
use coltsfoot_gateway::send_permits::{PermitClass, PermitLedger, SendLimit};
use coltsfoot_gateway::{engine_choice, fleet_view, limit_table, rules};
use coltsfoot_wire::fleet;
use fleet_fixture::{at, fleet, prompt, report_adapters, sample_heartbeat, service};
use rstest::rstest;
use rustc_hash::FxHashSet;

const NUMBER: u32 = 7;
const SERVICE: &str = "llm";
const RULE: rules::ColdRule =
    rules::ColdRule { duration: time::Duration::from_secs(3), per_s: 6.5 };
const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, slack: 5.0 };

fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

fn cold_service() -> sync::Arc<rules::ServiceRule> {
    sync::Arc::new(rules::ServiceRule { cold: Some(RULE), ..service() })
}

fn table() -> ColdTable {
    let mut table = ColdTable::default();
    table.set_services(&[cold_service()]);
    table.set_bounds(BOUNDS);
    table
}

fn cold_fleet(engines: &[(&str, &str)]) -> fleet_view::FleetView {
    let mut view = fleet(engines);
    view.cold_mut().set_services(&[cold_service()]);
    view.cold_mut().set_bounds(BOUNDS);
    view
}

fn told(remaining_ms: u32, hops: u8) -> fleet::ColdUpstream {
    fleet::ColdUpstream { upstream: NUMBER, remaining_ms, hops }
}

#[test]
fn nothing_is_limited_unless_a_service_says_so() {
    let mut view = fleet(&[("a", "z")]);
    view.cold_mut().set_services(&[sync::Arc::new(service())]);
    let number = view.upstream("a").expect("known").number;
    assert!(!view.cold_mut().record_entry(at(0), SERVICE, number, seconds(3)));
    assert!(!view.cold_mut().record_response(at(0), SERVICE, number, at(0), seconds(3)));
    let message = fleet::ColdUpstream { upstream: number, remaining_ms: 3_000, hops: 0 };
    assert!(!view.cold_mut().record_told(at(0), &message));
    view.suspect_zone(at(0), "z");
    assert_eq!(view.send_limit(at(1), number), None);
    assert_eq!(view.permit_limit(at(1), number), None);
    assert_eq!(view.cold().message(at(1), number), None);
}

#[test]
fn an_entry_a_response_and_a_message_tell_that_an_upstream_is_cold() {
    for record in [
        |table: &mut ColdTable| table.record_entry(at(0), SERVICE, NUMBER, seconds(3)),
        |table: &mut ColdTable| table.record_response(at(0), SERVICE, NUMBER, at(0), seconds(3)),
        |table: &mut ColdTable| table.record_told(at(0), &told(3_000, 0)),
    ] {
        let mut table = table();
        assert!(record(&mut table), "news");
        assert!(!record(&mut table), "known");
        assert!(table.is_cold(at(2_999), NUMBER));
        assert!(!table.is_cold(at(3_000), NUMBER));
        assert!(!table.is_cold(at(0), NUMBER + 1), "another incarnation");
    }
}

#[test]
fn no_statement_shortens_the_time() {
    let mut table = table();
    table.record_response(at(0), SERVICE, NUMBER, at(0), seconds(3));
    // The entry was written before the upstream became cold.
    table.record_entry(at(500), SERVICE, NUMBER, time::Duration::ZERO);
    table.record_told(at(500), &told(100, 0));
    assert!(table.is_cold(at(2_999), NUMBER));
    table.record_entry(at(2_000), SERVICE, NUMBER, seconds(2));
    assert!(table.is_cold(at(3_999), NUMBER));
}

#[test]
fn a_garbled_number_limits_an_upstream_for_a_minute_at_most() {
    let mut table = table();
    table.record_entry(at(0), SERVICE, NUMBER, time::Duration::MAX);
    assert!(table.is_cold(at(59_999), NUMBER));
    assert!(!table.is_cold(at(60_000), NUMBER));
}

/// Two instances that tell each other of the same upstream again and again, with delays, must not keep it cold.
#[test]
fn messages_do_not_extend_each_other_for_good() {
    let (mut one, mut other) = (table(), table());
    one.record_entry(at(0), SERVICE, NUMBER, seconds(3));
    for now in (0..20_000).step_by(100) {
        let exchange = |from: &mut ColdTable, to: &mut ColdTable| {
            if let Some(message) = from.message(at(now), NUMBER) {
                to.record_told(at(now + 200), &message);
            }
        };
        exchange(&mut one, &mut other);
        exchange(&mut other, &mut one);
    }
    assert!(!one.is_cold(at(3_700), NUMBER));
    assert!(!other.is_cold(at(3_700), NUMBER));
}

#[test]
fn what_was_only_told_is_not_resent() {
    let mut table = table();
    table.record_told(at(0), &told(3_000, 0));
    assert_eq!(table.to_resend(at(1)), []);
    table.record_entry(at(10), SERVICE, NUMBER, seconds(3));
    assert_eq!(table.to_resend(at(1_010)), [told(2_000, 0)]);
    assert_eq!(table.to_resend(at(3_010)), []);
}

#[rstest]
#[case::old_entry(|table: &mut ColdTable| table.record_entry(at(1_500), SERVICE, NUMBER, seconds(0)), true)]
#[case::new_entry(|table: &mut ColdTable| table.record_entry(at(2_051), SERVICE, NUMBER, seconds(0)), false)]
#[case::old_response(|table: &mut ColdTable| table.record_response(at(100), SERVICE, NUMBER, at(0), seconds(0)), true)]
#[case::new_response(|table: &mut ColdTable| table.record_response(at(100), SERVICE, NUMBER, at(1), seconds(0)), false)]
fn a_suspicion_ends_once_the_upstream_says_that_it_is_warm(
    #[case] record: fn(&mut ColdTable) -> bool,
    #[case] is_cold: bool,
) {
    let mut table = table();
    table.suspect(at(1), NUMBER, seconds(3));
    assert!(table.is_cold(at(1), NUMBER));
    record(&mut table);
    assert_eq!(table.is_cold(at(2_100), NUMBER), is_cold);
    assert!(!table.is_cold(at(3_001), NUMBER));
}

#[test]
fn a_suspicion_is_told_to_the_issuer_and_no_further() {
    let mut table = table();
    table.suspect(at(0), NUMBER, seconds(3));
    let message = table.message(at(0), NUMBER).expect("cold");
    assert_eq!(table.to_resend(at(0)), []);
    let mut issuer = self::table();
    assert!(issuer.record_told(at(0), &message));
    assert_eq!(issuer.to_resend(at(0)), []);
    let message = issuer.message(at(0), NUMBER).expect("cold");
    assert!(!self::table().record_told(at(0), &message));
}

#[test]
fn an_upstream_that_was_not_reached_for_long_is_suspected() {
    let mut view = cold_fleet(&[("a", "z"), ("b", "z")]);
    let number = |view: &fleet_view::FleetView, id: &str| view.upstream(id).expect("known").number;
    let (a, b) = (number(&view, "a"), number(&view, "b"));
    view.record_path_failure(at(0), "a", PathFailure::Silent);
    view.record_path_failure(at(1_500), "b", PathFailure::Silent);
    view.record_contact(at(4_000), "a");
    view.record_contact(at(4_000), "b");
    assert!(view.cold().is_cold(at(4_000), a));
    assert!(!view.cold().is_cold(at(4_000), b), "for less time than a start takes");
}

#[test]
fn the_limit_rises_and_ends_once_the_upstream_is_warm() {
    let mut table = table();
    table.record_entry(at(0), SERVICE, NUMBER, seconds(3));
    let per_s = |now| table.limit(at(now), Some(SERVICE), NUMBER).map(|limit| limit.per_s);
    assert_eq!(per_s(0), Some(6.5));
    assert_eq!(per_s(3_000), Some(6.5));
    assert_eq!(per_s(4_000), Some(13.0));
    assert_eq!(per_s(5_000), Some(26.0));
    assert_eq!(per_s(6_000), None);
    let rates: Vec<f64> = (3_000..6_000).filter_map(per_s).collect();
    assert!(rates.is_sorted_by(|one, other| one < other && *other < one * 1.01), "no step");
    assert!(table.take_warm(at(5_999)).is_empty());
    assert_eq!(table.take_warm(at(6_000)), [NUMBER]);
}

/// Any second of permits, whatever the bounds of a deployment.
#[rstest]
#[case::usual(6.5, 1.5, 5.0)]
#[case::no_bounds(6.5, 1.0, 0.0)]
#[case::one(1.0, 1.0, 0.0)]
#[case::fraction(0.5, 1.0, 0.0)]
#[case::many(80.0, 1.2, 0.0)]
#[case::slack_alone(0.5, 0.0, 2.0)]
fn permits_of_one_issuer_stay_within_the_bounds(
    #[case] per_s: f64,
    #[case] overage: f64,
    #[case] slack: f64,
) {
    let mut table = ColdTable::default();
    let rule = rules::ColdRule { duration: seconds(3), per_s };
    table.set_services(&[sync::Arc::new(rules::ServiceRule { cold: Some(rule), ..service() })]);
    table.set_bounds(ColdBounds { overage, slack });
    table.record_entry(at(0), SERVICE, NUMBER, seconds(60));
    let mut ledger = PermitLedger::default();
    let mut take = |ms| {
        let limit = table.limit(at(ms), Some(SERVICE), NUMBER).expect("cold");
        ledger.acquire(at(ms), NUMBER, limit, PermitClass::Request).is_ok()
    };
    // Unused permits accumulate in the first five seconds.
    take(0);
    let issued: Vec<u64> = (5_000..59_000).filter(|ms| take(*ms)).collect();
    let seconds = issued.iter().map(|begin| {
        issued.iter().filter(|later| (*begin..*begin + 1_000).contains(*later)).count()
    });
    let most = seconds.max().unwrap_or(0) as f64;
    let allowed = per_s * overage + slack;
    assert!(most <= allowed, "{most} of {allowed}");
    let expected = if allowed >= 1.0 { per_s.min(allowed * 0.45) * 53.0 } else { 0.0 };
    assert!(issued.len() as f64 >= expected, "{} issued", issued.len());
}

#[test]
fn the_strictest_of_both_limits_applies() {
    let mut view = cold_fleet(&[("a", "z")]);
    let number = view.upstream("a").expect("known").number;
    view.cold_mut().record_entry(at(0), SERVICE, number, seconds(3));
    let cold = view.send_limit(at(0), number).expect("cold");
    let observation =
        limit_table::LimitObservation { per_s: Some(2.0), sent: at(0), received: at(0) };
    view.limits_mut().record(at(0), number, observation);
    assert_eq!(view.send_limit(at(0), number), Some(SendLimit { per_s: 2.0, ..cold }));
    assert_eq!(view.send_limit(at(6_000), number), Some(SendLimit::from(2.0)));
}

/// Orders to an engine that is cold leave most permits for requests.
#[test]
fn orders_use_only_a_share_of_the_limit() {
    let mut table = table();
    table.record_entry(at(0), SERVICE, NUMBER, seconds(60));
    let limit = table.limit(at(0), Some(SERVICE), NUMBER).expect("cold");
    let mut ledger = PermitLedger::default();
    let orders = (0..20_000)
        .filter(|ms| ledger.acquire(at(*ms), NUMBER, limit, PermitClass::Control).is_ok());
    assert!((25..=36).contains(&orders.count()));
}

fn address(id: u64) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 1, id as u8], 1))
}

fn receive_heartbeat(view: &mut fleet_view::FleetView, now: u64, sender: u64, address: u64) {
    let message = fleet::FleetHeartbeat {
        sender,
        address: self::address(address),
        ..sample_heartbeat(now + 1, Vec::new())
    };
    view.apply_heartbeat(at(now), &message);
}

/// Four of six instances are not heard any more: they may run behind a partition for long.
#[test]
fn parts_of_a_partitioned_fleet_share_the_limit() {
    let mut view = cold_fleet(&[("a", "z")]);
    let number = view.upstream("a").expect("known").number;
    (2..=6).for_each(|id| receive_heartbeat(&mut view, 0, id, id));
    let per_s = |view: &mut fleet_view::FleetView, now| {
        view.cold_mut().record_entry(at(now), SERVICE, number, seconds(3));
        view.permit_limit(at(now), number).expect("cold").per_s
    };
    assert_eq!(per_s(&mut view, 100), 6.5);
    receive_heartbeat(&mut view, 2_000, 2, 2);
    assert_eq!(per_s(&mut view, 2_100), 6.5 / 3.0);
    receive_heartbeat(&mut view, 20_000, 2, 2);
    view.expire(at(20_000));
    assert_eq!(per_s(&mut view, 20_000), 6.5 / 3.0, "they may still run");
    // The others start again at their addresses.
    (3..=6).for_each(|id| receive_heartbeat(&mut view, 30_000, id + 10, id));
    receive_heartbeat(&mut view, 30_000, 2, 2);
    assert_eq!(per_s(&mut view, 30_100), 6.5);
}

#[test]
fn instances_that_left_long_ago_are_forgotten() {
    let mut members = MemberMemory::default();
    let known = FxHashSet::from_iter([address(1), address(2)]);
    members.record_registered(at(0), 9);
    members.record_lost(at(0), address(2));
    members.record_lost(at(0), address(3));
    assert_eq!(members.count(at(0), &known), 9, "an instance that has just started");
    members.record_registered(at(599_000), 12);
    members.record_lost(at(599_000), address(4));
    assert_eq!(members.count(at(599_999), &known), 12);
    assert_eq!(members.count(at(600_000), &known), 3, "two known and one lost lately");
    assert_eq!(members.count(at(1_200_000), &known), 2);
}

fn choose(view: &fleet_view::FleetView, now: u64) -> String {
    let (service, demand) = (service(), prompt("x", 1));
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(&demand),
        zone: "z",
        tried: &[],
        build: None,
    };
    engine_choice::choose(at(now), view, &request).expect("an upstream").id.to_string()
}

/// Load: requests for an adapter that a warm and a cold engine hold.
#[test]
fn a_request_prefers_a_warm_engine_until_that_is_busier_than_a_permit_is_rare() {
    let mut view = cold_fleet(&[("a", "z"), ("b", "z")]);
    report_adapters(&mut view, "a", &["x"], 0);
    report_adapters(&mut view, "b", &["x"], 0);
    let usual = choose(&view, 0);
    let other = if usual == "a" { "b" } else { "a" };
    let number = view.upstream(&usual).expect("known").number;
    view.cold_mut().record_entry(at(0), SERVICE, number, seconds(3));
    assert_eq!(choose(&view, 1), other);
    for key in 0..10 {
        view.request_sent(at(1), other, Some(&prompt("x", 100 + key * 10)));
    }
    assert_eq!(choose(&view, 2), usual, "a cold engine still takes a share");
}

/// Load: a zone that was empty for a while is taken back while each request would find its engines idle.
#[test]
fn engines_of_a_zone_that_is_taken_back_cold_get_no_more_than_they_tolerate() {
    let engines = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let mut view = cold_fleet(&engines);
    for (id, _) in engines {
        report_adapters(&mut view, id, &["x"], 0);
    }
    let mut ledger = PermitLedger::default();
    let mut sent = Vec::new();
    let mut running: Vec<(u64, String, u64)> = Vec::new();
    view.suspect_zone(at(10_000), "a");
    for now in (10_000..16_000).step_by(10) {
        for (id, _) in engines {
            view.record_activity(at(now), id);
        }
        running.retain(|(end, id, prefill_tokens)| {
            let is_running = *end > now;
            if !is_running {
                let key = prompt("x", 1).adapter.expect("named").key();
                view.request_ended(id, Some(key));
                view.prefill_finished(id, *prefill_tokens);
            }
            is_running
        });
        for _ in 0..4 {
            let ready = view.ready_upstreams(at(now), SERVICE).count();
            if ready == 0 {
                break;
            }
            let id = choose(&view, now);
            let number = view.upstream(&id).expect("known").number;
            if let Some(limit) = view.permit_limit(at(now), number)
                && let Err(wait) = ledger.acquire(at(now), number, limit, PermitClass::Request)
            {
                view.availability_mut().hold(at(now), number, wait);
                continue;
            }
            let demand = prompt("x", now * 10_000);
            let prefill_tokens = view.request_sent(at(now), &id, Some(&demand));
            running.push((now + 800, id.clone(), prefill_tokens));
            sent.push((now, id));
            break;
        }
    }
    for id in ["a1", "a2"] {
        let times: Vec<u64> =
            sent.iter().filter(|(_, to)| to == id).map(|(time, _)| *time).collect();
        let cold: Vec<u64> = times.iter().copied().filter(|time| *time < 13_000).collect();
        let seconds = cold.iter().map(|begin| {
            cold.iter().filter(|time| (*begin..*begin + 1_000).contains(*time)).count()
        });
        let most = seconds.max().unwrap_or(0);
        assert!((3..=14).contains(&most), "{id}: {most} requests in a second");
        let warm = times.iter().filter(|time| **time >= 15_000).count();
        assert!(warm > most, "{id}: {warm} requests in the last second");
    }
    assert_eq!(sent.len(), 600, "the rest goes to the other zone at once");
}

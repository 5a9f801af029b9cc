//! Availability zones that the operator evacuates and takes back, as the choice of an upstream sees them.

mod fleet_fixture;

use std::collections::VecDeque;
use std::time;

use coltsfoot_gateway::evacuation_table::{DEFAULT_BOUND, EvacuationTable};
use coltsfoot_gateway::topic_replica::{EraPolicy, KeyedRecord, TopicReplica};
use coltsfoot_gateway::upstream_search::{SearchStep, UpstreamSearch};
use coltsfoot_gateway::{demand, engine_choice, fleet_view, upstream};
use coltsfoot_wire::fleet::TopicPosition;
use fleet_fixture::{
    TARGET, at, entry, fleet, prompt, report_adapters, search_step, sends_to, service, step,
};
use rstest::rstest;
use smallvec::smallvec;

const BOUND: time::Duration = time::Duration::from_millis(5_000);

/// Returns a fleet with an engine in each of the zones `a`, `b` and `c`, which all hold the adapter `x`.
fn three_zones() -> fleet_view::FleetView {
    let zones = ["a", "b", "c"];
    let mut view = fleet(&zones.map(|zone| (zone, zone)));
    for id in zones {
        report_adapters(&mut view, id, &["x"], 2);
    }
    view
}

/// Evacuates zones at the time 0, of which the instance learns when it reads the records for the first time.
fn evacuated(zones: &[&str]) -> fleet_view::FleetView {
    let mut view = three_zones();
    for zone in zones {
        view.evacuations_mut().evacuate(at(0), zone, BOUND);
    }
    view
}

fn chosen(step: &SearchStep) -> &str {
    match step {
        SearchStep::Send(chosen) | SearchStep::Load(chosen) => &chosen.id,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::just_current(Some(10_000), BOUND, 12_000)]
#[case::current_a_second_ago(Some(9_000), BOUND, 12_000)]
#[case::current_two_seconds_ago(Some(8_000), BOUND, 11_000)]
#[case::cut_off_for_long(Some(6_000), BOUND, 10_000)]
#[case::just_started(None, BOUND, 10_000)]
#[case::shorter_bound(Some(10_000), time::Duration::from_millis(1_000), 10_400)]
#[case::no_bound(Some(10_000), time::Duration::ZERO, 12_000)]
fn zone_is_closed_before_the_bound_from_the_earliest_time_of_the_write(
    #[case] current_at: Option<u64>,
    #[case] bound: time::Duration,
    #[case] closes: u64,
) {
    let mut table = EvacuationTable::default();
    current_at.into_iter().for_each(|current| table.confirm(at(current)));
    assert_eq!(table.evacuate(at(10_000), "a", bound), Some(at(closes)));
    assert!(!table.is_closed(at(closes - 1), "a"));
    assert!(table.is_closed(at(closes), "a"));
    assert!(table.is_evacuated("a") && !table.is_evacuated("b"));
    let bound = if bound.is_zero() { DEFAULT_BOUND } else { bound };
    assert!(current_at.is_none_or(|current| at(closes) < at(current) + bound || closes == 10_000));
}

#[test]
fn repeated_record_does_not_defer_the_closing() {
    let mut table = EvacuationTable::default();
    table.confirm(at(0));
    assert_eq!(table.evacuate(at(0), "a", BOUND), Some(at(2_000)));
    table.confirm(at(1_900));
    assert_eq!(table.evacuate(at(1_900), "a", BOUND), None);
    assert!(table.is_closed(at(2_000), "a"));
}

#[test]
fn older_confirmation_does_not_replace_a_newer_one() {
    let mut table = EvacuationTable::default();
    table.confirm(at(9_000));
    table.confirm(at(1_000));
    assert_eq!(table.evacuate(at(10_000), "a", BOUND), Some(at(12_000)));
}

#[test]
fn cost_rises_until_the_zone_is_closed_and_falls_after_it_was_taken_back() {
    let mut table = EvacuationTable::default();
    table.confirm(at(0));
    table.evacuate(at(0), "a", BOUND);
    let rising: Vec<f64> = (0..=20).map(|step| table.cost(at(step * 100), "a")).collect();
    assert!(rising.is_sorted() && rising[0] == 0.0 && rising[20] > 1_000.0, "{rising:?}");
    assert!(table.take_back(at(8_000), "a"));
    let falling: Vec<f64> = (80..=111).map(|step| table.cost(at(step * 100), "a")).collect();
    assert!(falling.is_sorted_by(|one, other| one >= other), "{falling:?}");
    assert!(falling[0] > 100.0 && falling[31] == 0.0, "{falling:?}");
    assert_eq!(table.cost(at(9_000), "b"), 0.0);
}

/// The operator changes its mind before anything has moved.
#[test]
fn zone_taken_back_at_once_costs_no_more_than_before() {
    let mut table = EvacuationTable::default();
    table.confirm(at(0));
    table.evacuate(at(0), "a", BOUND);
    let before = table.cost(at(100), "a");
    table.take_back(at(100), "a");
    assert!(table.cost(at(100), "a") <= before);
    assert!(!table.is_closed(at(5_000), "a"));
    assert!(!table.take_back(at(200), "a"), "it is not evacuated");
    assert_eq!(table.returned_at("a"), Some(at(100)));
    table.evacuate(at(300), "a", BOUND);
    assert_eq!(table.returned_at("a"), None);
}

#[test]
fn digest_tells_evacuated_zones_apart_and_is_zero_without() {
    let mut table = EvacuationTable::default();
    assert_eq!(table.digest(), 0, "as in a build that knows no evacuations");
    table.evacuate(at(0), "a", BOUND);
    let one = table.digest();
    table.evacuate(at(0), "b", BOUND);
    let both = table.digest();
    table.take_back(at(1), "a");
    let other = table.digest();
    assert!(one != 0 && both != one && other != one && other != both);
    table.take_back(at(1), "b");
    assert_eq!(table.digest(), 0);
}

#[test]
fn requests_of_a_closed_zone_go_elsewhere() {
    let view = evacuated(&["a"]);
    assert_ne!(chosen(&step(0, &view)), "a");
    assert_eq!(view.sendable_upstream(at(0), "a").err(), Some("zone_evacuated"));
    assert!(view.sendable_upstream(at(0), "b").is_ok());
}

/// Between the choice and the request lie the load of an adapter, a permit and a connection.
#[test]
fn request_that_was_chosen_before_the_closing_is_not_sent_after_it() {
    let mut view = fleet(&[("a", "a")]);
    report_adapters(&mut view, "a", &["x"], 0);
    view.evacuations_mut().confirm(at(0));
    view.evacuations_mut().evacuate(at(0), "a", BOUND);
    assert!(sends_to(&step(1_999, &view), "a"));
    assert!(view.sendable_upstream(at(1_999), "a").is_ok());
    assert_eq!(view.sendable_upstream(at(2_000), "a").err(), Some("zone_evacuated"));
}

/// A retry falls back to upstreams that have been tried, but not in a closed zone.
#[test]
fn retry_does_not_fall_back_to_a_closed_zone() {
    let view = evacuated(&["a"]);
    let (service, demand) = (service(), prompt("x", 1));
    let tried = ["a".into(), "b".into(), "c".into()];
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(&demand),
        zone: "a",
        tried: &tried,
        build: None,
    };
    let step = UpstreamSearch::new(at(0), TARGET).next_step(at(0), &view, &request);
    assert_ne!(chosen(&step), "a");
    let mut failover = UpstreamSearch::without_wait(at(0), "b".into());
    assert_eq!(chosen(&search_step(&mut failover, 0, &view)), "c");
}

/// The speed of an engine is measured by the time that was expected.
#[test]
fn cost_of_a_zone_is_not_part_of_the_expected_time() {
    let mut view = fleet(&[("a", "a")]);
    report_adapters(&mut view, "a", &["x"], 0);
    let usual = step(1_500, &view);
    view.evacuations_mut().confirm(at(0));
    view.evacuations_mut().evacuate(at(0), "a", BOUND);
    assert!(view.evacuations().cost(at(1_500), "a") > 500.0);
    let (SearchStep::Send(usual), SearchStep::Send(chosen)) = (usual, step(1_500, &view)) else {
        panic!("not sent")
    };
    assert!((chosen.expected_ms - usual.expected_ms).abs() < 0.001);
}

#[test]
fn two_zones_are_evacuated_and_taken_back_one_after_the_other() {
    let mut view = evacuated(&["a", "b"]);
    assert!(sends_to(&step(0, &view), "c"));
    view.evacuations_mut().take_back(at(1_000), "b");
    assert!(view.sendable_upstream(at(1_000), "b").is_ok());
    assert!(view.sendable_upstream(at(1_000), "a").is_err());
    view.evacuations_mut().take_back(at(2_000), "a");
    assert!(view.sendable_upstream(at(2_000), "a").is_ok());
}

#[test]
fn without_another_zone_requests_are_refused_at_once() {
    let mut view = evacuated(&["a", "b", "c"]);
    assert_eq!(step(0, &view), SearchStep::Refuse("upstreams_evacuated"));
    assert_eq!(view.next_available(at(0), "llm"), None);
    view.evacuations_mut().take_back(at(1), "b");
    assert!(sends_to(&step(1, &view), "b"));
    view.evacuations_mut().evacuate(at(2), "b", BOUND);
    view.put_upstream(entry("d", "d"));
    assert!(matches!(step(5_000, &view), SearchStep::Wait(_)), "it may get the model");
}

/// A stream that only a version in the closed zone may continue is refused, not held up.
#[test]
fn stream_whose_version_is_in_a_closed_zone_is_refused_at_once_and_may_be_taken_up_later() {
    let mut view = evacuated(&["a"]);
    let mut other = entry("a", "a");
    other.version = Some("v2".into());
    other.born_ms = Some(2);
    view.put_upstream(other);
    report_adapters(&mut view, "a", &["x"], 2);
    let build = view.upstream("a").expect("known").build;
    let (service, demand) = (service(), prompt("x", 1));
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(&demand),
        zone: "a",
        tried: &[],
        build: Some(build),
    };
    let mut search = UpstreamSearch::new(at(0), TARGET);
    let refused = SearchStep::Refuse("upstreams_evacuated");
    assert_eq!(search.next_step(at(0), &view, &request), refused);
    assert!(view.is_build_ready("llm", build), "once the zone is taken back");
    assert!(!view.is_service_evacuated(at(0), "llm", None));
}

#[test]
fn draining_upstreams_do_not_count_as_evacuated() {
    let mut view = fleet_view::FleetView::default();
    let mut draining = entry("a", "a");
    draining.state = upstream::UpstreamState::Draining;
    view.put_upstream(draining);
    view.evacuations_mut().evacuate(at(0), "a", BOUND);
    assert!(!view.is_service_evacuated(at(0), "llm", None), "there is none that could return");
}

const KEY: &str = "evacuate/a";

fn record(era: u64, offset: u64, value: Option<&str>) -> KeyedRecord {
    let value = value.map(|value| value.as_bytes().to_vec());
    KeyedRecord { key: KEY.to_owned(), value, position: TopicPosition { era, offset } }
}

fn operator_replica() -> TopicReplica {
    TopicReplica::new(EraPolicy { revision: |_| None, keeps_lost: true })
}

fn values(news: &[KeyedRecord]) -> Vec<bool> {
    news.iter().map(|record| record.value.is_some()).collect()
}

/// A removal reaches an instance by a push, a read, a snapshot or a page of another instance.
#[test]
fn removal_is_news_whichever_way_it_arrives() {
    let end = |offset| TopicPosition { era: 0, offset };
    let known = || {
        let mut replica = operator_replica();
        assert!(replica.merge(&record(0, 3, Some("{}"))));
        replica
    };
    assert!(known().merge(&record(0, 5, None)), "a push");
    let read = known().merge_read(vec![record(0, 5, None)], end(4), end(6));
    assert_eq!(values(&read), [false], "a read");
    assert_eq!(values(&known().merge_snapshot(Vec::new(), end(6))), [false], "a snapshot");
    let mut peer = known();
    peer.merge_read(vec![record(0, 5, None)], end(0), end(6));
    let page = peer.bucket(coltsfoot_gateway::topic_replica::bucket_of(KEY));
    assert_eq!(values(&known().merge_bucket(page)), [false], "a page");
}

#[test]
fn push_of_the_evacuation_that_arrives_after_that_of_the_removal_is_no_news() {
    let mut replica = operator_replica();
    replica.merge(&record(0, 5, None));
    assert!(!replica.merge(&record(0, 3, Some("{}"))));
}

/// A lost evacuation holds until the operator takes the zone back.
#[test]
fn evacuation_that_a_restored_store_has_lost_stays_until_it_is_removed() {
    let mut replica = operator_replica();
    replica.merge(&record(0, 3, Some("{}")));
    let end = TopicPosition { era: 1, offset: 3 };
    assert!(replica.merge_snapshot(Vec::new(), end).is_empty());
    let next = TopicPosition { era: 1, offset: 4 };
    let news = replica.merge_read(vec![record(1, 3, None)], end, next);
    assert_eq!(values(&news), [false]);
}

/// The store lists it: it can't be told from one that the operator wrote again.
#[test]
fn evacuation_whose_removal_a_restored_store_has_lost_holds_again() {
    let mut replica = operator_replica();
    replica.merge(&record(0, 3, Some("{}")));
    replica.merge(&record(0, 5, None));
    let end = TopicPosition { era: 1, offset: 5 };
    assert_eq!(values(&replica.merge_snapshot(vec![record(1, 3, Some("{}"))], end)), [true]);
}

/// Requests of a replay.
const ARRIVAL_MS: u64 = 4;
const PREFILL_MS: u64 = 180;
const REQUEST_MS: u64 = 300;
const EVACUATED_MS: u64 = 4_000;
const RETURNED_MS: u64 = 12_000;
const END_MS: u64 = 18_000;
const WINDOW_MS: u64 = 250;

/// Replays even demand on engines in three zones, two in each, while the zone `c` is evacuated and taken back.
#[derive(Default)]
struct Replay {
    /// Requests sent to the zone `c`, by window.
    sent: Vec<u32>,
    /// Highest number of requests in flight at one engine of the other zones, by window.
    running: Vec<u32>,
    /// Requests that found no upstream.
    unplaced: u32,
}

impl Replay {
    fn run(zones: &[&str]) -> Self {
        let windows = (END_MS / WINDOW_MS) as usize;
        let mut replay = Self { sent: vec![0; windows], running: vec![0; windows], unplaced: 0 };
        let ids: Vec<(String, &str)> = zones
            .iter()
            .flat_map(|zone| [1, 2].map(|number| (format!("{zone}{number}"), *zone)))
            .collect();
        let engines: Vec<(&str, &str)> = ids.iter().map(|(id, zone)| (&**id, *zone)).collect();
        let mut view = fleet(&engines);
        for (id, _) in &engines {
            report_adapters(&mut view, id, &["x"], 2);
        }
        let mut ends: VecDeque<(u64, String)> = VecDeque::new();
        let mut prefills: VecDeque<(u64, String, u64)> = VecDeque::new();
        for now in (0..END_MS).step_by(ARRIVAL_MS as usize) {
            view.evacuations_mut().confirm(at(now));
            match now {
                EVACUATED_MS => drop(view.evacuations_mut().evacuate(at(now), "c", BOUND)),
                RETURNED_MS => drop(view.evacuations_mut().take_back(at(now), "c")),
                _ => {}
            }
            while prefills.front().is_some_and(|(end, ..)| *end <= now) {
                let (_, id, tokens) = prefills.pop_front().expect("not empty");
                view.prefill_finished(&id, tokens);
            }
            while ends.front().is_some_and(|(end, _)| *end <= now) {
                let (_, id) = ends.pop_front().expect("not empty");
                view.record_activity(at(now), &id);
                view.request_ended(&id, prompt("x", 1).adapter.map(|name| name.key()));
            }
            let demand = replay_demand(now);
            let SearchStep::Send(chosen) = replay_step(now, &view, &demand) else {
                replay.unplaced += 1;
                continue;
            };
            let window = (now / WINDOW_MS) as usize;
            if chosen.id.starts_with('c') {
                replay.sent[window] += 1;
            }
            let id = chosen.id.to_string();
            let tokens = view.request_sent(at(now), &id, Some(&demand));
            prefills.push_back((now + PREFILL_MS, id.clone(), tokens));
            ends.push_back((now + REQUEST_MS, id));
            let others = view.upstreams().filter(|slot| &*slot.entry.zone != "c");
            let most = others.map(|slot| slot.work(at(now)).running).max().unwrap_or_default();
            replay.running[window] = replay.running[window].max(most);
        }
        replay
    }
}

/// Returns a prompt that shares its beginning with every thirtieth one.
fn replay_demand(now: u64) -> demand::PromptDemand {
    let part = |id, tokens| demand::PromptPart { id, tokens };
    let parts = smallvec![part(1 + now / ARRIVAL_MS % 30, 600), part(1_000 + now, 400)];
    demand::PromptDemand { prompt_tokens: 1_000, parts, ..prompt("x", 1) }
}

fn replay_step(
    now: u64,
    view: &fleet_view::FleetView,
    demand: &demand::PromptDemand,
) -> SearchStep {
    let service = service();
    let request = engine_choice::PlacedRequest {
        service: &service,
        demand: Some(demand),
        zone: "a",
        tried: &[],
        build: None,
    };
    UpstreamSearch::new(at(now), TARGET).next_step(at(now), view, &request)
}

fn window(ms: u64) -> usize {
    (ms / WINDOW_MS) as usize
}

/// Load pattern: a third of the engines is withdrawn and comes back.
#[test]
fn demand_moves_to_other_zones_and_back_without_a_step() {
    let replay = Replay::run(&["a", "b", "c"]);
    assert_eq!(replay.unplaced, 0);
    let usual = replay.sent[window(EVACUATED_MS) - 1];
    let closed = EVACUATED_MS + 2_000;
    assert!(replay.sent[window(closed)..window(RETURNED_MS)].iter().all(|sent| *sent == 0));
    let back = &replay.sent[window(RETURNED_MS)..];
    assert!(back[0] < usual / 2, "{usual} before, {back:?}");
    let last = *back.last().expect("windows");
    assert!(last.abs_diff(usual) <= usual / 5, "{usual} before, {back:?}");
    assert!(back.iter().all(|sent| *sent <= usual + usual / 5), "{usual} before, {back:?}");
    // The other zones are never busier than they are with all of the demand.
    let alone = Replay::run(&["a", "b"]);
    let most = |windows: &[u32]| windows.iter().max().copied().unwrap_or_default();
    let steady = most(&alone.running[window(EVACUATED_MS)..]);
    let moved = most(&replay.running);
    assert!(moved <= steady + 1, "{moved} in flight at an engine, {steady} without the zone");
}

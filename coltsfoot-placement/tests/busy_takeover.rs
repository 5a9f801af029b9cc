//! A new owner evicts only adapters that the reports of a busy engine show to be idle.

mod common;

use coltsfoot_placement::event::{CellEvent, EngineReport};

/// Longer than the time to send plus the report lag, so that a report covers all permits.
const SETTLED_MS: u64 = 4_100;

fn report(test: &mut common::TestCell, active: Option<&[&str]>) {
    let versions = |names: &[&str]| names.iter().map(|name| name.parse().unwrap()).collect();
    let report = EngineReport {
        generation: 1,
        running: 1,
        waiting: 0,
        resident: versions(&["menus@1", "rotas@1"]),
        active: active.map(versions),
    };
    test.send(CellEvent::EngineReported { engine: "e0".into(), report });
}

fn taken_over() -> common::TestCell {
    let mut test = common::TestCell::new(1, 2, 8);
    test.warm("menus@1");
    test.warm("rotas@1");
    test.gain_ownership(&[], true);
    report(&mut test, None);
    test.want("shifts@1");
    assert!(test.unloads.is_empty(), "permits of the previous owner are unknown");
    test
}

#[test]
fn adapters_shown_idle_by_a_current_report_are_evicted() {
    let mut test = taken_over();
    test.advance(SETTLED_MS);
    report(&mut test, Some(&["menus@1"]));
    test.advance(100);
    let evicted: Vec<_> = test.unloads.iter().map(|order| order.adapter.to_string()).collect();
    assert_eq!(evicted, ["rotas@1"]);
}

#[test]
fn reports_that_may_predate_the_last_permits_are_ignored() {
    let mut test = taken_over();
    test.advance(SETTLED_MS - 1_000);
    report(&mut test, Some(&["menus@1"]));
    test.advance(100);
    assert!(test.unloads.is_empty());
}

#[test]
fn reports_without_active_adapters_are_ignored_on_a_busy_engine() {
    let mut test = taken_over();
    test.advance(SETTLED_MS);
    report(&mut test, None);
    test.advance(100);
    assert!(test.unloads.is_empty());
}

#[test]
fn an_adapter_counts_as_used_until_a_report_shows_it_idle() {
    let mut test = taken_over();
    test.advance(SETTLED_MS);
    report(&mut test, Some(&["menus@1", "rotas@1"]));
    test.advance(100);
    assert!(test.unloads.is_empty());
    report(&mut test, Some(&["rotas@1"]));
    test.advance(100);
    let evicted: Vec<_> = test.unloads.iter().map(|order| order.adapter.to_string()).collect();
    assert_eq!(evicted, ["menus@1"]);
}

#[test]
fn an_adapter_in_constant_use_is_quiesced_for_a_waiting_load() {
    let mut test = taken_over();
    test.advance(SETTLED_MS);
    report(&mut test, Some(&["menus@1", "rotas@1"]));
    test.advance(100);
    let withheld = test.want("menus@1");
    assert_eq!(test.granted(withheld), None, "its permits are withheld");
    report(&mut test, Some(&["rotas@1"]));
    test.advance(100);
    assert_eq!(test.unloads[0].adapter.to_string(), "menus@1");
    let served = test.want("rotas@1");
    assert!(test.granted(served).is_some(), "the other adapter is still served");
}

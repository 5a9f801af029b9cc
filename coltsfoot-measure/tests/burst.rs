//! The gateway's placing in a burst against other policies, on the model of engines.

mod common;

use rstest::rstest;

/// Seeds over which worth is averaged.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

/// Returns the mean worth earned, the refusals and the fetches.
fn mean(case: &str) -> [f64; 3] {
    let reports: Vec<_> = SEEDS.map(|seed| common::report("burst", case, seed)).collect();
    ["worth", "refusals", "fetches"].map(|field| {
        let values = reports.iter().map(|report| report[field].as_f64().expect("a number"));
        values.sum::<f64>() / reports.len() as f64
    })
}

/// Many rare adapters at once: homes keep them apart, where the least loaded engine spreads them.
#[test]
fn the_gateway_serves_more_in_a_burst_than_the_least_loaded_engine() {
    let [worth, refusals, fetches] = mean("gateway");
    let [baseline_worth, baseline_refusals, baseline_fetches] = mean("least-loaded");
    assert!(worth >= baseline_worth + 0.15, "{worth} against {baseline_worth}");
    assert!(refusals <= baseline_refusals / 2.0, "{refusals} against {baseline_refusals}");
    assert!(fetches <= baseline_fetches * 0.9, "{fetches} against {baseline_fetches}");
}

/// Several requests for an adapter within the time of its fetch.
#[test]
fn knowing_of_adapters_on_their_way_saves_refusals() {
    let [worth, refusals, _] = mean("gateway");
    let [blind_worth, blind_refusals, _] = mean("coming-unknown");
    assert!(worth >= blind_worth, "{worth} against {blind_worth}");
    assert!(refusals < blind_refusals, "{refusals} against {blind_refusals}");
}

/// Four of twelve engines name a limit of a third of what they get: what they no longer take goes to the
/// others, and nobody is refused.
#[test]
fn requests_go_elsewhere_when_engines_name_limits() {
    let [worth, refusals, _] = mean("limited-4-1.4");
    assert!(worth >= 0.95, "{worth}");
    assert_eq!(refusals, 0.0);
}

/// All engines name a limit, as in a shortage.
#[rstest]
#[case::low("limited-12-0.5", 0.5)]
#[case::a_third("limited-12-1.4", 1.4)]
#[case::high("limited-12-5", 5.0)]
fn engines_get_no_more_than_the_limits_that_they_name(#[case] case: &str, #[case] per_s: f64) {
    for seed in SEEDS {
        let most = common::report("burst", case, seed)["busiest_span"].as_f64().expect("a number");
        assert!(most <= per_s * 4.0 * 1.5 + 5.0, "{most} requests and orders in 4 s");
        assert!(most >= per_s * 4.0 * 0.5, "{most} requests and orders in 4 s");
    }
}

#[test]
fn a_run_repeats() {
    assert_eq!(common::report("burst", "gateway", 5), common::report("burst", "gateway", 5));
}

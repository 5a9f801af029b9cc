//! An upstream that named a limit, and many instances that send to it.

mod common;

use rstest::rstest;

/// The giver is killed, instances return and join, a zone is cut off; messages are slow and get lost.
#[rstest]
#[case::six(6, 1..=8)]
#[case::sixty(60, 1..=4)]
#[case::hundreds(195, 1..=1)]
fn a_limit_is_kept_and_used_through_faults(
    #[case] instances: usize,
    #[case] seeds: std::ops::RangeInclusive<u64>,
    #[values(0.5, 1.4, 10.0, 40.0)] per_s: f64,
) {
    for seed in seeds {
        let report = common::report("limits", &format!("giver-{instances}-{per_s}-faults"), seed);
        let most = report["busiest_span"].as_f64().expect("a number");
        assert!(most <= per_s * 4.0 * 1.5 + 5.0, "seed {seed}: {most} requests in 4 s");
        let used = report["used_share"].as_f64().expect("a number");
        assert!(used >= 0.5, "seed {seed}: {used} of the limit used");
    }
}

//! Randomised simulations of a zone with faults.

use std::time;

use coltsfoot_member::{check, settings};
use rstest::rstest;

fn short_timing() -> settings::TimingSettings {
    settings::TimingSettings::builder()
        .removal_time(time::Duration::from_secs(8))
        .isolation_limit(time::Duration::from_secs(5))
        .build()
}

fn start(seed: u64, size: usize) -> check::ScheduleRun {
    let settings = check::schedule::ScheduleSettings::builder();
    check::ScheduleRun::new(settings.seed(seed).size(size).timing(short_timing()).build())
}

#[rstest]
#[case::two_members(2, 0..120)]
#[case::three_members(3, 1_000..1_120)]
#[case::four_members(4, 2_000..2_120)]
#[case::five_members(5, 3_000..3_080)]
fn no_two_owners_under_random_faults(#[case] size: usize, #[case] seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut run = start(seed, size);
        run.run_for(time::Duration::from_secs(4));
        run.run_with_faults(time::Duration::from_secs(30));
        assert_eq!(run.violations(), [], "seed {seed}");
    }
}

#[rstest]
#[case::two_members(2, 0..40)]
#[case::three_members(3, 1_000..1_040)]
#[case::five_members(5, 3_000..3_040)]
fn every_resource_has_an_owner_again_after_the_faults(
    #[case] size: usize,
    #[case] seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let mut run = start(seed, size);
        run.run_for(time::Duration::from_secs(4));
        run.run_with_faults(time::Duration::from_secs(20));
        run.heal();
        run.run_for(time::Duration::from_secs(60));
        assert_eq!(run.violations(), [], "seed {seed}");
        for resource in run.resources() {
            assert!(run.acting_owner(resource).is_some(), "seed {seed}: {resource} has no owner");
        }
    }
}

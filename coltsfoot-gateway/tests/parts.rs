//! Quarantine of prompt parts that crash engines, replayed over several instances: the culprit is found
//! within few crashes, and sound prompts that share its other parts are served.

mod part_world;

use part_world::{World, WorldOutcome, WorldSettings};
use rstest::rstest;

/// Sends that the platform's guarantees allow after the fifth crash is known.
const MAX_LATE_SENDS: usize = 3;
/// Share of the sound prompts that may be refused.
const MAX_REFUSED_SHARE: f64 = 0.02;

const SMALL: WorldSettings = WorldSettings {
    seed: 0,
    instances: 6,
    engines: 12,
    rate: 45.0,
    crashing_share: 0.05,
    was_sound: false,
    other_crashes: &[],
    contact_ms: 3_000,
};
const LARGE: WorldSettings =
    WorldSettings { instances: 195, engines: 156, rate: 460.0, contact_ms: 5_000, ..SMALL };

fn check(outcome: WorldOutcome, settings: WorldSettings) {
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{settings:?}: {outcome:?}");
    let refused = outcome.sound_refused as f64 / outcome.sound as f64;
    assert!(refused <= MAX_REFUSED_SHARE, "{settings:?}: {outcome:?}");
}

#[rstest]
#[case::small(SMALL, 40)]
#[case::small_with_crashes_of_other_causes(
    WorldSettings { other_crashes: &[5_000, 6_000, 7_000, 7_300, 7_600, 14_000], ..SMALL }, 40)]
#[case::few_crashing_prompts(WorldSettings { crashing_share: 0.01, ..SMALL }, 20)]
#[case::part_that_was_served_before(WorldSettings { was_sound: true, ..SMALL }, 60)]
#[case::large(LARGE, 2)]
#[case::large_with_crashes_of_other_causes(
    WorldSettings { other_crashes: &[5_000, 5_400, 5_800, 6_200], ..LARGE }, 2)]
fn crashing_part_is_found_and_sound_prompts_are_served(
    #[case] settings: WorldSettings,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let settings = WorldSettings { seed, ..settings };
        let outcome = World::new(settings).run();
        assert!(outcome.crashes > 0, "{settings:?}");
        check(outcome, settings);
    }
}

#[rstest]
#[case::small(SMALL, 20)]
#[case::large(LARGE, 1)]
fn crashes_of_other_causes_quarantine_no_part(#[case] settings: WorldSettings, #[case] seeds: u64) {
    for seed in 0..seeds {
        let other_crashes = &[2_000, 2_500, 3_000, 3_500, 4_000, 9_000, 9_300, 9_600, 20_000];
        let settings = WorldSettings { seed, crashing_share: 0.0, other_crashes, ..settings };
        let outcome = World::new(settings).run();
        assert_eq!(outcome.crashes, 0);
        check(outcome, settings);
    }
}

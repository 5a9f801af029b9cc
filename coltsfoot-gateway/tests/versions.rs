//! Which versions of an adapter requests may run on while newer ones are configured.

use coltsfoot_gateway::version_history::VersionHistory;
use coltsfoot_types::time as clock;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

/// Returns the history of versions that were learned at these times.
fn history(learned: &[(u64, u64)]) -> VersionHistory {
    let (number, ms) = learned[0];
    let mut history = VersionHistory::new(number, Some(at(ms)));
    for (number, ms) in &learned[1..] {
        assert!(history.record(at(*ms), *number, Some(at(*ms))));
    }
    history
}

/// Guards against a replaced version that a further new one made usable again.
#[rstest::rstest]
#[case::just_replaced(&[(2, 1_000)], 3_499, 1)]
#[case::replaced(&[(2, 1_000)], 3_500, 2)]
#[case::replaced_twice_long_apart(&[(2, 1_000), (3, 11_000)], 11_000, 2)]
#[case::replaced_twice_quickly(&[(2, 1_000), (3, 2_000)], 3_499, 1)]
#[case::the_first_grace_is_over(&[(2, 1_000), (3, 2_000)], 3_500, 2)]
#[case::both_graces_are_over(&[(2, 1_000), (3, 2_000)], 4_500, 3)]
#[case::many_follow(&[(2, 1_000), (3, 3_000), (4, 5_000), (5, 7_000), (6, 9_000)], 9_000, 4)]
#[case::versions_are_left_out(&[(4, 1_000), (9, 5_000)], 5_000, 4)]
fn a_replaced_version_stays_unusable(
    #[case] learned: &[(u64, u64)],
    #[case] now: u64,
    #[case] oldest: u64,
) {
    let history = history(learned);
    for number in 1..=history.newest() + 1 {
        assert_eq!(history.is_usable(at(now), number), number >= oldest, "version {number}");
    }
}

/// Guards against an instance that uses long replaced versions for a while after it has started.
#[test]
fn a_version_in_force_before_the_start_has_no_grace() {
    let mut history = VersionHistory::new(7, None);
    assert!(!history.is_usable(at(1), 6));
    assert!(history.record(at(10), 8, Some(at(10))));
    assert!(history.is_usable(at(11), 7));
    assert!(!history.is_usable(at(11), 6));
}

/// A version is never usable again, whatever is recorded when.
#[test]
fn no_order_of_announcements_makes_a_version_usable_again() {
    proptest::proptest!(|(steps in proptest::collection::vec((1_u64..12, 0_u64..4_000), 1..40))| {
        let mut history = VersionHistory::new(1, Some(at(0)));
        let mut now = 0;
        let mut excluded = [false; 13];
        for (number, pause) in steps {
            now += pause;
            for (held, excluded) in excluded.iter_mut().enumerate() {
                let is_usable = history.is_usable(at(now), held as u64);
                proptest::prop_assert!(!(is_usable && *excluded), "{held} at {now} ms");
                *excluded |= !is_usable;
            }
            history.record(at(now), number, Some(at(now)));
        }
    });
}

//! Limits that upstreams name in their answers.

mod fleet_fixture;

use coltsfoot_gateway::limit_board::{LimitBoard, LimitWord};
use fleet_fixture::at;
use rstest::rstest;

const NUMBER: u32 = 7;

fn word(per_s: Option<f64>, sent: u64, heard: u64) -> LimitWord {
    LimitWord { per_s, sent: at(sent), heard: at(heard) }
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
fn the_newest_word_of_a_limit_holds(#[case] later: LimitWord, #[case] expected: Option<f64>) {
    let mut board = LimitBoard::default();
    assert!(!board.take(at(100), NUMBER, word(None, 50, 100)), "none was known");
    assert!(board.take(at(200), NUMBER, word(Some(5.0), 100, 200)));
    assert_eq!(board.take(at(220), NUMBER, later), expected != Some(5.0), "news");
    assert_eq!(board.limit(at(220), NUMBER), expected);
    assert_eq!(board.limit(at(220), NUMBER + 1), None, "another incarnation");
}

#[test]
fn a_limit_is_forgotten_if_nothing_is_heard_for_an_hour() {
    let mut board = LimitBoard::default();
    board.take(at(0), NUMBER, word(Some(1.0), 0, 0));
    assert_eq!(board.limit(at(3_599_000), NUMBER), Some(1.0));
    assert_eq!(board.limit(at(3_600_000), NUMBER), None);
}

//! Checks that `docs/EVENTS.md` lists exactly the log events of the code.

use std::collections;
use std::fs;
use std::path;

use coltsfootd::event;

fn catalogue() -> String {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/EVENTS.md");
    fs::read_to_string(path).expect("docs/EVENTS.md is readable")
}

#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let text = catalogue();
    let documented: collections::BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter(|line| line.starts_with(|first: char| first.is_ascii_digit()))
        .map(|line| line.split(" | ").take(3).collect::<Vec<_>>().join(" "))
        .collect();
    let known: collections::BTreeSet<String> = event::ALL
        .iter()
        .map(|kind| format!("{} {} {}", kind.number, kind.name, kind.level.as_str().to_lowercase()))
        .collect();
    assert_eq!(documented, known);
}

#[test]
fn event_numbers_are_unique() {
    let numbers: collections::BTreeSet<u16> = event::ALL.iter().map(|kind| kind.number).collect();
    assert_eq!(numbers.len(), event::ALL.len());
}

//! Which claim wins, and the verdicts on repeated submissions.

mod common;

use coltsfoot_once::{claim_record, claim_table};
use coltsfoot_types::id;
use coltsfoot_wire::once::{self, ClaimVerdict, OnceEntry};
use rstest::rstest;

use common::{NOW_MS, answer, entry, key};

fn page(start: u64, records: Vec<(u64, Vec<OnceEntry>)>) -> claim_table::ClaimPage {
    let end_offset = id::LogOffset(start + records.len() as u64);
    let offsets = (start..).map(id::LogOffset);
    let records = offsets.zip(records).map(|(offset, (after_ms, entries))| once::ClaimRecord {
        offset,
        timestamp_ms: NOW_MS + after_ms,
        batch: once::ClaimBatch { entries },
    });
    let records: Vec<_> = records.collect();
    let read_at_ms = records.last().map_or(NOW_MS, |record| record.timestamp_ms);
    claim_table::ClaimPage { start_offset: id::LogOffset(start), end_offset, records, read_at_ms }
}

fn claim(number: u128, body: u8) -> OnceEntry {
    OnceEntry::Claim(entry(number, body))
}

fn outcome(number: u128, outcome: once::CallOutcome) -> OnceEntry {
    let entry = entry(number, 0);
    OnceEntry::Outcome(once::OutcomeEntry { key: entry.key, claim: entry.claim, outcome })
}

#[rstest]
#[case::alone(vec![(0, vec![claim(1, 0)])], 1, ClaimVerdict::Won)]
#[case::second_offset(vec![(0, vec![claim(1, 0)]), (1, vec![claim(2, 0)])], 2, ClaimVerdict::Claimed)]
#[case::second_in_batch(vec![(0, vec![claim(1, 0), claim(2, 0)])], 2, ClaimVerdict::Claimed)]
#[case::appended_twice(vec![(0, vec![claim(1, 0)]), (9, vec![claim(1, 0)])], 1, ClaimVerdict::Won)]
#[case::other_body(vec![(0, vec![claim(1, 0)]), (1, vec![claim(2, 7)])], 2, ClaimVerdict::OtherRequest)]
#[case::too_old(vec![(26_000, vec![claim(1, 0)])], 1, ClaimVerdict::Expired)]
#[case::repeat_after_answer(
    vec![
        (0, vec![claim(1, 0)]),
        (1, vec![outcome(1, once::CallOutcome::Answered(answer()))]),
        (2, vec![claim(2, 0)]),
    ],
    2,
    ClaimVerdict::Ended(once::CallOutcome::Answered(answer()))
)]
#[case::outcome_of_losing_claim_is_ignored(
    vec![(0, vec![claim(1, 0), claim(2, 0), outcome(2, once::CallOutcome::NotRun)])],
    1,
    ClaimVerdict::Won
)]
#[case::second_outcome_is_ignored(
    vec![(0, vec![claim(1, 0), outcome(1, once::CallOutcome::MayHaveRun),
        outcome(1, once::CallOutcome::NotRun), claim(2, 0)])],
    2,
    ClaimVerdict::Ended(once::CallOutcome::MayHaveRun)
)]
fn lowest_offset_wins(
    #[case] records: Vec<(u64, Vec<OnceEntry>)>,
    #[case] number: u128,
    #[case] expected: ClaimVerdict,
) {
    let mut table = claim_table::ClaimTable::new(common::window());
    table.apply(&page(0, records.clone()));
    let body = if expected == ClaimVerdict::OtherRequest { 7 } else { 0 };
    assert_eq!(table.verdict(&entry(number, body)), Some(expected.clone()));
    // Overlapping pages change nothing.
    table.apply(&page(0, records));
    assert_eq!(table.verdict(&entry(number, body)), Some(expected));
}

#[test]
fn unread_claim_has_no_verdict() {
    let mut table = claim_table::ClaimTable::new(common::window());
    assert_eq!(table.verdict(&entry(1, 0)), None);
    table.apply(&page(0, vec![(0, vec![claim(1, 0)])]));
    assert_eq!(table.verdict(&entry(2, 0)), None);
    assert_eq!(table.competing_verdict(&entry(2, 0)), Some(ClaimVerdict::Claimed));
}

#[rstest]
#[case::all_claims_retained(0, ClaimVerdict::Won)]
#[case::claims_may_be_trimmed(61_000, ClaimVerdict::Forgotten)]
fn trimmed_log_rejects_claims_of_affected_keys(
    #[case] read_after_ms: u64,
    #[case] expected: ClaimVerdict,
) {
    let mut table = claim_table::ClaimTable::new(common::window());
    let mut late = page(50, vec![(20_000, vec![claim(1, 0)])]);
    late.read_at_ms += read_after_ms;
    table.apply(&late);
    assert_eq!(table.verdict(&entry(1, 0)), Some(expected));
}

#[test]
fn keys_are_evicted_after_their_window() {
    let mut table = claim_table::ClaimTable::new(common::window());
    table.apply(&page(0, vec![(0, vec![claim(1, 0)])]));
    assert_eq!(table.len(), 1);
    table.apply(&page(1, vec![(70_000, Vec::new())]));
    assert!(table.is_empty());
    table.apply(&page(2, vec![(70_001, vec![claim(2, 0)])]));
    assert_eq!(table.verdict(&entry(2, 0)), Some(ClaimVerdict::Expired));
}

#[rstest]
#[case::fresh(key(NOW_MS).to_string(), "Ok")]
#[case::within_clock_skew(key(NOW_MS + 2_000).to_string(), "Ok")]
#[case::from_future(key(NOW_MS + 10_000).to_string(), "Err(FromFuture)")]
#[case::old(key(NOW_MS - 30_000).to_string(), "Err(TooOld)")]
#[case::not_a_uuid("booking-17".to_owned(), "Err(Malformed)")]
#[case::random_uuid("8f14e45f-ceea-467f-9575-1a2b3c4d5e6f".to_owned(), "Err(Malformed)")]
#[case::empty(String::new(), "Err(Malformed)")]
fn keys_are_checked_against_the_window(#[case] text: String, #[case] expected: &str) {
    let parsed = format!("{:?}", common::window().parse(&text, NOW_MS).map(drop));
    assert_eq!(parsed.replace("Ok(())", "Ok"), expected);
}

#[test]
fn records_round_trip_and_malformed_ones_are_skipped() {
    let entries = vec![claim(1, 0), outcome(1, once::CallOutcome::Answered(answer()))];
    let batch = once::ClaimBatch { entries };
    let texts = ["not a batch".to_owned(), claim_record::encode(&batch).unwrap()];
    let records = texts.into_iter().zip(0..).map(|(value, offset)| claim_record::TextRecord {
        offset: id::LogOffset(offset),
        timestamp_ms: NOW_MS,
        value,
    });
    let start = id::LogOffset(0);
    let page = claim_record::decode_page(start, id::LogOffset(2), records, NOW_MS);
    let batches: Vec<_> = page.records.into_iter().map(|record| record.batch).collect();
    assert_eq!(batches, [once::ClaimBatch::default(), batch]);
}

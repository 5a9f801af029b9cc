//! The claim owner and the claim of one submission: lost acknowledgements, outages and repeats.

mod common;

use std::time;

use coltsfoot_once::batcher_event::{self, BatcherAction, BatcherActions, BatcherEvent};
use coltsfoot_once::claim_request::{self, ClaimAction, ClaimEvent};
use coltsfoot_once::run_state::{self, RunKnowledge};
use coltsfoot_once::{append_pacer, claim_batcher, claim_table};
use coltsfoot_types::{id, refusal};
use coltsfoot_wire::once::{self, CallOutcome, ClaimVerdict};
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

use common::{NOW_MS, answer, at_ms, entry};

struct OwnerTest {
    owner: claim_batcher::ClaimBatcher,
    records: Vec<once::ClaimRecord>,
    rng: rngs::SmallRng,
}

impl OwnerTest {
    fn new() -> Self {
        let settings = batcher_event::BatcherSettings::builder().window(common::window()).build();
        Self {
            owner: claim_batcher::ClaimBatcher::new(settings),
            records: Vec::new(),
            rng: rngs::SmallRng::seed_from_u64(1),
        }
    }

    fn handle(&mut self, ms: u64, event: BatcherEvent) -> BatcherActions {
        self.owner.handle(at_ms(ms), event, &mut self.rng)
    }

    fn submit(&mut self, ms: u64, claim: u128) -> BatcherActions {
        let time_left = time::Duration::from_secs(3);
        let event =
            BatcherEvent::Submit { instance: "entry".into(), claim: entry(claim, 0), time_left };
        self.handle(ms, event)
    }

    fn store(&mut self, batch: once::ClaimBatch) {
        let offset = id::LogOffset(self.records.len() as u64);
        self.records.push(once::ClaimRecord { offset, timestamp_ms: NOW_MS, batch });
    }

    fn page(&self) -> claim_table::ClaimPage {
        claim_table::ClaimPage {
            start_offset: id::LogOffset(0),
            end_offset: id::LogOffset(self.records.len() as u64),
            records: self.records.clone(),
            read_at_ms: NOW_MS,
        }
    }
}

fn append(actions: &BatcherActions) -> Option<(u64, once::ClaimBatch)> {
    actions.iter().find_map(|action| match action {
        BatcherAction::Append(number, batch) => Some((*number, batch.clone())),
        _ => None,
    })
}

fn read(actions: &BatcherActions) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        BatcherAction::Read(number, _) => Some(*number),
        _ => None,
    })
}

fn verdict(actions: &BatcherActions) -> Option<ClaimVerdict> {
    actions.iter().find_map(|action| match action {
        BatcherAction::Send(_, once::ClaimMessage::Verdict { verdict, .. }) => {
            Some(verdict.clone())
        }
        _ => None,
    })
}

#[test]
fn verdict_is_sent_only_after_read_back() {
    let mut test = OwnerTest::new();
    let actions = test.submit(0, 1);
    assert_eq!(verdict(&actions), None);
    let (number, batch) = append(&actions).unwrap();
    let first_read = read(&actions).unwrap();
    test.store(batch);
    assert_eq!(verdict(&test.handle(5, BatcherEvent::Appended(number))), None);
    // The read that started before the append returns no records.
    let empty = claim_table::ClaimPage { read_at_ms: NOW_MS, ..Default::default() };
    let actions = test.handle(6, BatcherEvent::PageRead(first_read, empty));
    let second_read = read(&actions).unwrap();
    let page = test.page();
    let actions = test.handle(8, BatcherEvent::PageRead(second_read, page));
    assert_eq!(verdict(&actions), Some(ClaimVerdict::Won));
}

#[rstest]
#[case::applied(true)]
#[case::lost(false)]
fn lost_append_acknowledgement_is_resolved_by_reading(#[case] is_applied: bool) {
    let mut test = OwnerTest::new();
    let actions = test.submit(0, 1);
    let (number, batch) = append(&actions).unwrap();
    if is_applied {
        test.store(batch);
    }
    let page = test.page();
    test.handle(1, BatcherEvent::PageRead(read(&actions).unwrap(), page));
    test.handle(10, BatcherEvent::AppendFailed(number));
    let actions = test.handle(400, BatcherEvent::Tick);
    let again = append(&actions);
    assert_eq!(again.is_some(), !is_applied, "a claim that was read back is not reappended");
    if let Some((number, batch)) = again {
        test.store(batch);
        test.handle(420, BatcherEvent::Appended(number));
    }
    let page = test.page();
    let number = read(&actions).or_else(|| read(&test.handle(430, BatcherEvent::Tick)));
    let confirmed = number.map(|number| test.handle(440, BatcherEvent::PageRead(number, page)));
    let repeated = verdict(&test.submit(450, 1));
    assert_eq!(repeated, Some(ClaimVerdict::Won), "{confirmed:?}");
}

#[test]
fn claims_wait_out_an_outage_until_they_expire() {
    let mut test = OwnerTest::new();
    let mut actions = test.submit(0, 1);
    let mut ms = 0;
    while verdict(&actions).is_none() {
        ms += 100;
        assert!(ms <= 3_000);
        let failed = append(&actions).map(|(number, _)| BatcherEvent::AppendFailed(number));
        actions = test.handle(ms, failed.unwrap_or(BatcherEvent::Tick));
    }
    assert_eq!((ms, verdict(&actions)), (3_000, Some(ClaimVerdict::Unavailable)));
}

#[test]
fn append_rate_stays_within_limit() {
    let mut pacer = append_pacer::AppendPacer::new(20);
    let mut sent = Vec::new();
    for ms in 0..10_000 {
        if pacer.next_at(at_ms(ms)) <= at_ms(ms) {
            pacer.record(at_ms(ms));
            sent.push(ms);
        }
    }
    let most = sent
        .iter()
        .map(|first| sent.iter().filter(|at| (0..1000).contains(&at.wrapping_sub(*first))).count());
    assert_eq!(most.max(), Some(20));
    assert!(sent.len() >= 190, "{} appends in ten seconds", sent.len());
}

fn start_claim() -> claim_request::ClaimRequest {
    let mut request = claim_request::ClaimRequest::new(
        at_ms(0),
        run_state::PendingRequest::new(),
        claim_request::ClaimSettings::default(),
        entry(1, 0),
        at_ms(3_000),
    );
    let actions = request.handle(at_ms(0), ClaimEvent::Tick);
    assert!(matches!(actions[0], ClaimAction::SendOwner(once::ClaimMessage::Submit { .. })));
    request
}

fn describe(actions: &claim_request::ClaimActions) -> String {
    match &actions[0] {
        ClaimAction::Dispatch(_) => "dispatch".to_owned(),
        ClaimAction::Answer(answer) => format!("answer {}", answer.status),
        ClaimAction::Refuse(reason, run) => format!("{} {run}", reason.code()),
        other => format!("{other:?}").split(['(', ' ']).next().unwrap().to_owned(),
    }
}

#[rstest]
#[case::won(ClaimVerdict::Won, "dispatch")]
#[case::answered(ClaimVerdict::Ended(CallOutcome::Answered(answer())), "answer 200")]
#[case::ran(ClaimVerdict::Ended(CallOutcome::RanWithoutAnswer), "possibly_ran yes")]
#[case::may_have_run(ClaimVerdict::Ended(CallOutcome::MayHaveRun), "possibly_ran unknown")]
#[case::not_run(ClaimVerdict::Ended(CallOutcome::NotRun), "idempotency_key_spent no")]
#[case::other_request(ClaimVerdict::OtherRequest, "idempotency_key_reused no")]
#[case::expired(ClaimVerdict::Expired, "invalid_idempotency_key unknown")]
#[case::forgotten(ClaimVerdict::Forgotten, "possibly_ran unknown")]
#[case::unavailable(ClaimVerdict::Unavailable, "log_unavailable unknown")]
fn verdict_determines_response_to_caller(#[case] verdict: ClaimVerdict, #[case] expected: &str) {
    let mut request = start_claim();
    let actions = request.handle(at_ms(10), ClaimEvent::Verdict(verdict));
    assert_eq!(describe(&actions), expected);
    let again = request.handle(at_ms(11), ClaimEvent::Verdict(ClaimVerdict::Won));
    assert!(again.is_empty(), "a claim is decided only once");
}

#[test]
fn claim_won_after_deadline_is_not_dispatched() {
    let mut request = start_claim();
    let actions = request.handle(at_ms(5_000), ClaimEvent::Verdict(ClaimVerdict::Won));
    assert_eq!(describe(&actions), "log_unavailable unknown");
    let spent = actions.iter().any(|action| {
        matches!(action, ClaimAction::RecordOutcome(entry) if entry.outcome == CallOutcome::NotRun)
    });
    assert!(spent, "the key is ended, so a repeat is told \"not run\"");
}

#[test]
fn claim_is_abandoned_early_when_log_is_silent() {
    let pending = run_state::PendingRequest::new();
    let settings = claim_request::ClaimSettings::default();
    let deadline = at_ms(60_000);
    let mut request =
        claim_request::ClaimRequest::new(at_ms(0), pending, settings, entry(1, 0), deadline);
    assert_eq!(describe(&request.handle(at_ms(4_999), ClaimEvent::Tick)), "SendOwner");
    let actions = request.handle(at_ms(5_000), ClaimEvent::Tick);
    assert_eq!(describe(&actions), "log_unavailable unknown");
}

#[test]
fn repeat_waits_for_outcome_of_first_submission() {
    let mut request = start_claim();
    let claimed = ClaimEvent::Verdict(ClaimVerdict::Claimed);
    let actions = request.handle(at_ms(10), claimed.clone());
    assert_eq!(describe(&actions), "WakeAt");
    let actions = request.handle(at_ms(300), ClaimEvent::Tick);
    assert_eq!(describe(&actions), "SendOwner");
    let answered = ClaimVerdict::Ended(CallOutcome::Answered(answer()));
    let actions = request.handle(at_ms(310), ClaimEvent::Verdict(answered));
    assert_eq!(describe(&actions), "answer 200");

    let mut request = start_claim();
    request.handle(at_ms(10), claimed);
    let actions = request.handle(at_ms(3_000), ClaimEvent::Tick);
    assert_eq!(describe(&actions), "possibly_ran unknown");
}

#[test]
fn run_knowledge_is_ordered() {
    assert!(RunKnowledge::NotRun < RunKnowledge::MayHaveRun);
    assert!(RunKnowledge::MayHaveRun < RunKnowledge::Ran);
    assert_eq!(run_state::PendingRequest::new().refuse().as_str(), "no");
    assert_eq!(refusal::RefusalReason::IdempotencyKeySpent.status(), 409);
}

//! Individual rules of view changes, each with the smallest case that fails without it.

use coltsfoot_member::{ZoneMember, contact, event, proposal, record, settings};
use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;
use rstest::rstest;

const OWN: &str = "a";

fn seconds(count: f64) -> time::MonotonicTime {
    time::MonotonicTime((count * 1e6) as u64)
}

fn names(list: &[&str]) -> Vec<name::InstanceName> {
    list.iter().map(|name| (*name).into()).collect()
}

fn summary(offset: u64, provisional: u16, members: &[&str]) -> member::ViewSummary {
    let epoch = id::FencingNumber::new(id::LogOffset(offset), provisional);
    member::ViewSummary { epoch, members: names(members), roster: names(members) }
}

fn propose(
    view: &member::ViewSummary,
    predecessors: &[member::ViewSummary],
) -> member::ViewProposal {
    let group = member::GroupNumber(0);
    member::ViewProposal { group, view: view.clone(), predecessors: predecessors.to_vec() }
}

fn installed(proposal: member::ViewProposal) -> member::MemberMessage {
    member::MemberMessage::Installed(member::InstalledView {
        proposal,
        grade: member::ViewGrade::Full,
        released: Vec::new(),
        grants: Vec::new(),
        presumed_gone: false,
    })
}

fn listed(list: &[&str]) -> Vec<event::ListedInstance> {
    let listed = names(list).into_iter();
    listed.map(|name| event::ListedInstance { name, leaving: false }).collect()
}

fn record(offset: u64, base: Option<u64>, height: u64, members: &[&str]) -> event::StreamRecord {
    let record = record::ViewRecord {
        record_id: uuid::Uuid::from_u128(offset.into()),
        zone: "rennes".into(),
        group: member::GroupNumber(0),
        base: base.map(id::LogOffset),
        height,
        members: names(members),
    };
    let text = serde_json::to_string(&record).expect("a record is JSON");
    event::StreamRecord { offset: id::LogOffset(offset), text }
}

/// A member and the record that it last requested to append.
struct TestMember {
    member: ZoneMember,
    appended: Option<String>,
}

impl TestMember {
    fn new() -> Self {
        let member =
            ZoneMember::builder().own_name(OWN.into()).zone("rennes".into()).seed(1).build();
        Self { member, appended: None }
    }

    fn handle(&mut self, at: f64, event: event::MemberEvent) -> Vec<event::MemberAction> {
        let actions = self.member.handle(seconds(at), event).into_vec();
        for action in &actions {
            if let event::MemberAction::AppendView { text, .. } = action {
                self.appended = Some(text.clone());
            }
        }
        actions
    }

    fn receive(
        &mut self,
        at: f64,
        sender: &str,
        message: member::MemberMessage,
    ) -> Vec<member::MemberMessage> {
        let event = event::MemberEvent::Message { sender: sender.into(), message };
        let actions = self.handle(at, event).into_iter();
        let sent = actions.filter_map(|action| match action {
            event::MemberAction::Send { message, .. } => Some(message),
            _ => None,
        });
        sent.collect()
    }

    fn answer_to(&mut self, at: f64, proposal: member::ViewProposal) -> &'static str {
        let answers = self.receive(at, "b", member::MemberMessage::Propose(proposal));
        answers.iter().find_map(answer_name).unwrap_or("silent")
    }
}

fn answer_name(message: &member::MemberMessage) -> Option<&'static str> {
    match message {
        member::MemberMessage::Accept(_) => Some("accept"),
        member::MemberMessage::Reject(_) => Some("reject"),
        _ => None,
    }
}

#[rstest]
#[case::absent_for_the_removal_time(31.0, 0, &["a"], proposal::ProposalQuorum::MajorityWithRemoved)]
#[case::absent_briefly(1.0, 0, &["a"], proposal::ProposalQuorum::Missing)]
#[case::a_listed_instance_has_not_answered(31.0, 0, &["a", "d"], proposal::ProposalQuorum::Missing)]
#[case::the_view_is_not_on_the_log(31.0, 16, &["a"], proposal::ProposalQuorum::Missing)]
fn removed_members_count_only_if_the_list_rule_holds(
    #[case] absent_seconds: f64,
    #[case] provisional: u16,
    #[case] shown: &[&str],
    #[case] expected: proposal::ProposalQuorum,
) {
    let timing = settings::TimingSettings::default();
    let known = names(&["a", "b", "c"]);
    let mut listing = contact::InstanceListing::default();
    listing.read(seconds(0.0), &listed(shown), known.iter());
    listing.read(seconds(absent_seconds), &listed(shown), known.iter());
    let view = summary(2, provisional, &["a"]);
    let proposal = propose(&view, &[summary(1, 0, &["a", "b", "c"])]);
    let now = seconds(absent_seconds);
    let mut round = proposal::ProposalRound::new(proposal, false, now);
    let accept = member::ProposalAccept {
        epoch: view.epoch,
        known_since: id::FencingNumber(0),
        quiescent: true,
        grants: Vec::new(),
    };
    round.add_accept(now, OWN.into(), accept);
    assert_eq!(round.quorum(now, &listing, &timing), expected);
}

#[rstest]
#[case::the_first_of_two_with_the_same_base_is_valid(
    &[(0, None, 0, "a"), (1, Some(0), 1, "b"), (2, Some(0), 1, "c")], "b")]
#[case::a_chain(&[(0, None, 0, "a"), (1, Some(0), 1, "b"), (2, Some(1), 2, "c")], "c")]
#[case::a_second_first_record_is_invalid(&[(0, None, 0, "a"), (1, None, 0, "b")], "a")]
#[case::higher_record_after_a_forgotten_base(
    &[(7, Some(3), 4, "a"), (8, Some(5), 6, "b"), (9, Some(3), 4, "c")], "b")]
fn records_must_succeed_the_newest_valid_one(
    #[case] records: &[(u64, Option<u64>, u64, &str)],
    #[case] expected: &str,
) {
    let mut table = record::RecordTable::default();
    for (offset, base, height, only_member) in records {
        table.apply(&"rennes".into(), &record(*offset, *base, *height, &[only_member]));
    }
    let head = table.head(member::GroupNumber(0)).expect("a head");
    assert_eq!(head.record.members, names(&[expected]));
}

#[test]
fn an_isolated_member_acknowledges_no_lease_and_accepts_views_only_after_reading_the_log() {
    let view = summary(1, 0, &["a", "b"]);
    let later = propose(&summary(2, 0, &["a", "b"]), std::slice::from_ref(&view));
    let mut test = TestMember::new();
    test.receive(1.0, "b", installed(propose(&view, &[])));
    let probe = member::ProbeRequest { sequence: 1, epoch: view.epoch, leaving: false };
    let answers = test.receive(22.0, "b", member::MemberMessage::Probe(probe));
    let granted = answers.iter().any(
        |message| matches!(message, member::MemberMessage::ProbeAnswer(answer) if answer.granted),
    );
    assert!(!granted, "an instance that others may count as removed acknowledges a lease");
    assert_eq!(test.answer_to(22.1, later.clone()), "silent");
    test.handle(22.2, event::MemberEvent::LogRead(vec![record(2, Some(1), 2, &["a", "b"])]));
    assert_eq!(test.answer_to(22.3, later), "accept");
}

#[test]
fn a_lease_ends_at_the_isolation_limit_without_any_event() {
    let mut test = TestMember::new();
    test.receive(1.0, "b", installed(propose(&summary(1, 0, &["a"]), &[])));
    let resource = "cell-0".into();
    assert!(test.member.lease(seconds(20.9), &resource).is_some());
    assert!(test.member.lease(seconds(21.1), &resource).is_none());
}

#[rstest]
#[case::while_older_leases_may_be_in_use(1.0, "reject")]
#[case::after_they_expired(3.2, "accept")]
fn older_views_stay_predecessors_until_their_leases_expire(
    #[case] at: f64,
    #[case] expected: &str,
) {
    let (first, second) = (summary(1, 0, &["a", "b", "c"]), summary(2, 0, &["a", "b"]));
    let mut test = TestMember::new();
    test.receive(0.5, "b", installed(propose(&second, &[first])));
    test.receive(at, "b", member::MemberMessage::IndirectProbe { target: "c".into() });
    test.handle(at, event::MemberEvent::Tick);
    let third = propose(&summary(3, 0, &["a", "b", "d"]), &[second]);
    assert_eq!(test.answer_to(at, third), expected);
}

#[test]
fn a_new_instance_that_accepted_a_view_requires_its_predecessors() {
    let (first, second) = (summary(1, 0, &["b", "c"]), summary(2, 0, &["a", "b"]));
    let mut test = TestMember::new();
    assert_eq!(test.answer_to(0.5, propose(&second, &[first])), "accept");
    assert_eq!(test.answer_to(0.6, propose(&summary(3, 0, &["a"]), &[second])), "reject");
}

#[test]
fn a_new_instance_forms_no_view_before_all_listed_instances_answered() {
    let mut test = TestMember::new();
    test.handle(0.0, event::MemberEvent::LogRead(vec![record(0, None, 0, &["d"])]));
    let mut attempts = 0;
    for step in 0..30 {
        let at = f64::from(step) / 10.0;
        test.handle(at, event::MemberEvent::ListRead(listed(&["a", "d", "x"])));
        let join = member::MemberMessage::Join { group: member::GroupNumber(0) };
        test.receive(at, "d", join);
        test.handle(at, event::MemberEvent::Tick);
        if let Some(text) = test.appended.take() {
            attempts += 1;
            let offset = id::LogOffset(attempts);
            let stream_record = event::StreamRecord { offset, text };
            test.handle(at, event::MemberEvent::LogRead(vec![stream_record]));
            let accept = member::ProposalAccept {
                epoch: id::FencingNumber::new(offset, 0),
                known_since: id::FencingNumber(0),
                quiescent: true,
                grants: Vec::new(),
            };
            test.receive(at, "d", member::MemberMessage::Accept(accept));
        }
    }
    assert!(attempts > 0, "the new instance never proposed a view");
    assert!(test.member.view().is_none(), "the silent instance may hold another view");
}

#[test]
fn a_member_that_accepted_a_newer_view_holds_no_lease() {
    let view = summary(1, 0, &["a"]);
    let mut test = TestMember::new();
    test.receive(1.0, "b", installed(propose(&view, &[])));
    let resource = "cell-0".into();
    assert!(test.member.lease(seconds(1.1), &resource).is_some());
    assert_eq!(test.answer_to(1.2, propose(&summary(2, 0, &["a", "b"]), &[view])), "accept");
    assert!(test.member.lease(seconds(1.2), &resource).is_none());
}

//! Permit agent: selection of the cell, operation without an owner, and late answers.

mod common;

use std::time;

use coltsfoot_placement::agent::{
    AgentAction, AgentActions, AgentEvent, CellOwner, CellRoute, PermitAgent,
};
use coltsfoot_placement::settings::AgentSettings;
use coltsfoot_types::{id, refusal::RefusalReason, time as clock};
use coltsfoot_wire::placement::{self, PlacementMessage};
use rstest::rstest;

struct TestAgent {
    agent: PermitAgent,
    now: clock::MonotonicTime,
    next: u128,
}

fn cell(zone: &str) -> placement::CellId {
    placement::CellId { zone: zone.into(), base_model: "base".into(), index: 0 }
}

fn route(zone: &str, owner: CellOwner) -> CellRoute {
    CellRoute { cell: cell(zone), owner, is_local: zone == "a" }
}

fn owned(zone: &str) -> CellRoute {
    route(zone, CellOwner::Instance(format!("owner-{zone}").into()))
}

impl TestAgent {
    fn new(routes: Vec<CellRoute>) -> Self {
        let agent = PermitAgent::new(AgentSettings::default());
        let mut test = Self { agent, now: clock::MonotonicTime(1_000_000), next: 0 };
        test.send(AgentEvent::RoutesChanged { routes });
        test
    }

    fn send(&mut self, event: AgentEvent) -> AgentActions {
        self.agent.handle(self.now, event)
    }

    fn want(&mut self, adapter: &str) -> (id::AttemptId, AgentActions) {
        self.next += 1;
        let attempt = id::AttemptId { request: id::RequestId(self.next), number: 0 };
        let demand = common::TestCell::demand(attempt, "acme", adapter);
        let actions = self.send(AgentEvent::PermitRequested { base_model: "base".into(), demand });
        (attempt, actions)
    }

    fn grant(&mut self, zone: &str, attempt: id::AttemptId, adapter: &str) -> AgentActions {
        let grant = placement::PermitGrant {
            attempt,
            adapter: adapter.parse().unwrap(),
            engine: "e0".into(),
            fencing: id::FencingNumber(7),
            send_within: time::Duration::from_secs(2),
        };
        let message = PlacementMessage::Grant { cell: cell(zone), grant };
        let sender = format!("owner-{zone}").into();
        self.send(AgentEvent::Received { message, sender })
    }

    fn refuse(
        &mut self,
        zone: &str,
        attempt: id::AttemptId,
        reason: RefusalReason,
    ) -> AgentActions {
        let reason = placement::PermitRefusalReason::Refused(reason);
        let retry_after = time::Duration::from_secs(1);
        let refusal = placement::PermitRefusal { attempt, reason, retry_after };
        let message = PlacementMessage::Refusal { cell: cell(zone), refusal };
        let sender = format!("owner-{zone}").into();
        self.send(AgentEvent::Received { message, sender })
    }
}

fn asked(actions: &AgentActions) -> Option<String> {
    actions.iter().find_map(|action| match action {
        AgentAction::Send { receiver, message: PlacementMessage::Request { .. } } => {
            Some(receiver.to_string())
        }
        _ => None,
    })
}

fn is_dispatched(actions: &AgentActions) -> bool {
    actions.iter().any(|action| matches!(action, AgentAction::Dispatch { .. }))
}

fn is_released(actions: &AgentActions) -> bool {
    actions.iter().any(|action| {
        matches!(action, AgentAction::Send { message: PlacementMessage::Release { .. }, .. })
    })
}

fn refusal_reason(actions: &AgentActions) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        AgentAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

#[test]
fn all_instances_select_the_same_cell_for_an_adapter() {
    let mut left = TestAgent::new(vec![owned("a"), owned("b")]);
    let mut right = TestAgent::new(vec![owned("b"), owned("a")]);
    let mut cells = std::collections::BTreeSet::new();
    for index in 0..50 {
        let adapter = format!("adapter-{index}@1");
        let cell = asked(&left.want(&adapter).1);
        assert_eq!(cell, asked(&right.want(&adapter).1));
        cells.extend(cell);
    }
    assert_eq!(cells.len(), 2, "both cells are used");
}

#[test]
fn an_isolated_zone_uses_its_own_cell() {
    let mut test = TestAgent::new(vec![owned("a"), owned("b")]);
    test.send(AgentEvent::RoutesChanged { routes: vec![owned("a")] });
    for index in 0..20 {
        let (_, actions) = test.want(&format!("adapter-{index}@1"));
        assert_eq!(asked(&actions).as_deref(), Some("owner-a"));
    }
}

#[test]
fn pending_requests_of_an_unreachable_cell_go_to_another() {
    let mut test = TestAgent::new(vec![owned("a"), owned("b")]);
    for index in 0..20 {
        test.want(&format!("adapter-{index}@1"));
    }
    let actions = test.send(AgentEvent::RoutesChanged { routes: vec![owned("a")] });
    let requests = actions.iter().filter(|action| matches!(action, AgentAction::Send { .. }));
    assert!(requests.count() > 2, "requests sent to b are sent to a");
}

#[rstest]
#[case::full(RefusalReason::QueueFull, true)]
#[case::no_engine(RefusalReason::NoUpstream, true)]
#[case::load_failed(RefusalReason::LoadFailed, true)]
#[case::too_late(RefusalReason::DeadlineUnreachable, false)]
fn a_refused_request_overflows_to_another_zone_if_the_reason_allows(
    #[case] reason: RefusalReason,
    #[case] overflows: bool,
) {
    let mut test = TestAgent::new(vec![owned("a"), owned("b")]);
    let (attempt, actions) = test.want("menus@1");
    let first = asked(&actions).unwrap();
    let zone = first.strip_prefix("owner-").unwrap();
    let actions = test.refuse(zone, attempt, reason);
    if !overflows {
        assert_eq!(refusal_reason(&actions), Some(reason));
        return;
    }
    let second = asked(&actions).unwrap();
    assert_ne!(first, second);
    let actions = test.refuse(second.strip_prefix("owner-").unwrap(), attempt, reason);
    assert_eq!(refusal_reason(&actions), Some(reason), "no third cell");
}

#[test]
fn late_grants_are_released_and_duplicates_ignored() {
    let mut test = TestAgent::new(vec![owned("a")]);
    let (attempt, _) = test.want("menus@1");
    assert!(is_dispatched(&test.grant("a", attempt, "menus@1")));
    assert!(test.grant("a", attempt, "menus@1").is_empty(), "duplicate grant");
    let (cancelled, _) = test.want("menus@1");
    test.send(AgentEvent::Cancelled { attempt: cancelled });
    assert!(is_released(&test.grant("a", cancelled, "menus@1")));
    let (late, _) = test.want("menus@1");
    test.now = test.now + time::Duration::from_secs(3);
    assert!(is_released(&test.grant("a", late, "menus@1")), "expired grant");
}

#[test]
fn a_permit_for_another_version_is_never_used() {
    let mut test = TestAgent::new(vec![owned("a")]);
    let (attempt, _) = test.want("menus@2");
    let actions = test.grant("a", attempt, "menus@1");
    assert!(!is_dispatched(&actions) && is_released(&actions));
}

#[test]
fn a_lost_request_is_retried_until_its_deadline() {
    let mut test = TestAgent::new(vec![owned("a")]);
    test.want("menus@1");
    test.now = test.now + time::Duration::from_secs(2);
    assert!(asked(&test.send(AgentEvent::Tick)).is_some());
    test.now = test.now + time::Duration::from_secs(40);
    let actions = test.send(AgentEvent::Tick);
    assert_eq!(refusal_reason(&actions), Some(RefusalReason::DeadlineExceeded));
}

/// Without an owner, requests are dispatched to engines whose residency a recent permit of the
/// last owner confirmed.
#[rstest]
#[case::expired(CellOwner::Expired(id::FencingNumber(7)), 1, true)]
#[case::may_still_be_valid(CellOwner::Unknown, 1, false)]
#[case::newer_owner_expired(CellOwner::Expired(id::FencingNumber(8)), 1, false)]
#[case::confirmation_expired(CellOwner::Expired(id::FencingNumber(7)), 6, false)]
fn confirmed_residencies_are_used_without_an_owner_until_they_expire(
    #[case] owner: CellOwner,
    #[case] seconds: u64,
    #[case] is_served: bool,
) {
    let mut test = TestAgent::new(vec![owned("a")]);
    let (attempt, _) = test.want("menus@1");
    test.grant("a", attempt, "menus@1");
    test.send(AgentEvent::RoutesChanged { routes: vec![route("a", owner)] });
    test.now = test.now + time::Duration::from_secs(seconds);
    let (_, actions) = test.want("menus@1");
    assert_eq!(is_dispatched(&actions), is_served);
    let (_, actions) = test.want("rosters@1");
    assert!(!is_dispatched(&actions), "residency is not confirmed");
}

#[test]
fn a_report_lists_all_permits_and_ends_dispatch_without_an_owner() {
    let mut test = TestAgent::new(vec![owned("a")]);
    let (first, _) = test.want("menus@1");
    test.grant("a", first, "menus@1");
    let lapsed = || vec![route("a", CellOwner::Expired(id::FencingNumber(7)))];
    test.send(AgentEvent::RoutesChanged { routes: lapsed() });
    let (second, _) = test.want("menus@1");
    let fencing = id::FencingNumber(9);
    let message = PlacementMessage::ReportRequest { cell: cell("a"), fencing };
    let actions = test.send(AgentEvent::Received { message, sender: "owner-new".into() });
    let AgentAction::Send { message: PlacementMessage::Report { permits, .. }, .. } = &actions[0]
    else {
        panic!("no report: {actions:?}");
    };
    let attempts: Vec<_> = permits.iter().map(|permit| permit.attempt).collect();
    assert_eq!(attempts, [first, second]);
    test.send(AgentEvent::RoutesChanged { routes: lapsed() });
    assert!(!is_dispatched(&test.want("menus@1").1), "the new owner may evict");
}

#[test]
fn a_request_refused_by_a_non_owner_is_retried_soon() {
    let mut test = TestAgent::new(vec![owned("a")]);
    let (attempt, _) = test.want("menus@1");
    let reason = placement::PermitRefusalReason::NotOwner;
    let refusal = placement::PermitRefusal { attempt, reason, retry_after: time::Duration::ZERO };
    let message = PlacementMessage::Refusal { cell: cell("a"), refusal };
    let refused = test.send(AgentEvent::Received { message, sender: "owner-a".into() });
    assert!(refused.is_empty(), "neither refused nor retried immediately");
    test.now = test.now + time::Duration::from_millis(150);
    assert!(asked(&test.send(AgentEvent::Tick)).is_some());
}

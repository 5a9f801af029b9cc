//! Replica: order of records, conflicting revisions, repeated sets, and lookups in views.

mod common;

use std::time;

use coltsfoot_catalog::{digest, object, problem, reference, replica, resolve, view};
use coltsfoot_types::{id, name};
use serde_json::json;

fn apply(replica: &mut replica::CatalogReplica, set: &object::ChangeSet) -> replica::ApplyOutcome {
    let offset = replica.next_offset();
    replica.apply(offset, &common::text(set))
}

fn route_ref() -> reference::ObjectRef {
    reference::ObjectRef::new(object::ObjectKind::Route, "brief")
}

#[test]
fn records_out_of_order_change_nothing() {
    let mut replica = common::base_replica();
    let text = common::text(&common::set(2, vec![common::put(None, common::customer("late"))]));
    assert!(matches!(replica.apply(id::LogOffset(0), &text), replica::ApplyOutcome::Skipped));
    let gap = replica.apply(id::LogOffset(2), &text);
    assert!(matches!(gap, replica::ApplyOutcome::Gap { expected: id::LogOffset(1) }));
    assert_eq!(replica.next_offset(), id::LogOffset(1));
    assert!(replica.view().customer(&"late".into()).is_none());
}

#[test]
fn a_set_appended_twice_is_applied_once() {
    let mut replica = common::base_replica();
    let set = common::set(
        2,
        vec![
            common::put(Some(0), common::route("brief", "menus", &["hotel"])),
            common::remove(Some(0), object::ObjectKind::Exception, "festival-brief"),
        ],
    );
    assert!(matches!(apply(&mut replica, &set), replica::ApplyOutcome::Accepted { .. }));
    let again = apply(&mut replica, &set);
    assert!(matches!(again, replica::ApplyOutcome::Duplicate { first: id::LogOffset(1) }));
    assert_eq!(replica.state().revision(&route_ref()), Some(id::LogOffset(1)));
    assert_eq!(replica.next_offset(), id::LogOffset(3));
}

#[test]
fn a_rejected_set_stays_rejected_when_sent_again() {
    let mut replica = common::base_replica();
    let early = common::set(2, vec![common::put(None, common::key("k", "later", "s"))]);
    assert!(matches!(apply(&mut replica, &early), replica::ApplyOutcome::Rejected(_)));
    let customer = common::set(3, vec![common::put(None, common::customer("later"))]);
    assert!(matches!(apply(&mut replica, &customer), replica::ApplyOutcome::Accepted { .. }));
    assert!(matches!(apply(&mut replica, &early), replica::ApplyOutcome::Duplicate { .. }));
}

#[test]
fn the_second_of_two_sets_for_one_revision_is_rejected() {
    let mut replica = common::base_replica();
    let mut first = common::route("brief", "menus", &["hotel", "festival"]);
    first["priority"] = json!(7);
    let second = common::route("brief", "menus", &["hotel", "festival"]);
    assert!(matches!(
        apply(&mut replica, &common::set(2, vec![common::put(Some(0), first)])),
        replica::ApplyOutcome::Accepted { .. }
    ));
    let outcome = apply(&mut replica, &common::set(3, vec![common::put(Some(0), second)]));
    let replica::ApplyOutcome::Rejected(replica::RejectReason::Invalid(errors)) = outcome else {
        panic!("{outcome:?}")
    };
    let problem = problem::ObjectProblem::RevisionConflict {
        expected: Some(id::LogOffset(0)),
        current: Some(id::LogOffset(1)),
    };
    assert_eq!(errors[0].problem, problem);
    assert_eq!(replica.view().route("brief").unwrap().priority, 7);
}

#[test]
fn a_malformed_record_advances_only_the_offset() {
    let mut replica = common::base_replica();
    for value in ["", "{}", "{\"change_id\":7}"] {
        let offset = replica.next_offset();
        let outcome = replica.apply(offset, value);
        assert!(matches!(outcome, replica::ApplyOutcome::Rejected(_)), "{outcome:?}");
    }
    assert_eq!(replica.next_offset(), id::LogOffset(4));
    assert_eq!(replica.state().len(), common::base_set().changes.len());
}

#[test]
fn a_key_is_valid_until_withdrawn_or_removed() {
    let mut replica = common::base_replica();
    let digest = digest::KeyDigest::of("hotel-secret");
    let before = replica.view();
    let view::KeyState::Valid(customer, key) = before.customer_for_key(&digest) else { panic!() };
    assert_eq!((customer.name.as_str(), key.as_str()), ("hotel", "hotel-key"));
    let mut withdrawn = common::key("hotel-key", "hotel", "hotel-secret");
    withdrawn["withdrawn"] = json!(true);
    apply(&mut replica, &common::set(2, vec![common::put(Some(0), withdrawn)]));
    assert_eq!(replica.view().customer_for_key(&digest), view::KeyState::Withdrawn);
    assert!(replica.view().is_withdrawn(&digest));
    let removal = common::remove(Some(1), object::ObjectKind::Key, "hotel-key");
    apply(&mut replica, &common::set(3, vec![removal]));
    assert_eq!(replica.view().customer_for_key(&digest), view::KeyState::Unknown);
    assert!(replica.view().is_withdrawn(&digest));
    assert!(!before.is_withdrawn(&digest), "a view never changes");
}

#[test]
fn an_exception_applies_only_to_its_customer() {
    let view = common::base_replica().view();
    let hotel = name::CustomerName::from("hotel");
    let festival = name::CustomerName::from("festival");
    let plain = view.resolve(Some(&hotel), "brief").unwrap();
    let overridden = view.resolve(Some(&festival), "brief").unwrap();
    let adapter = |route: &resolve::ResolvedRoute| match &route.target {
        resolve::ResolvedTarget::Model { adapter, .. } => adapter.to_string(),
        resolve::ResolvedTarget::Service { .. } => panic!("a service"),
    };
    assert_eq!((adapter(&plain).as_str(), plain.priority), ("menus@2", 2));
    assert_eq!((adapter(&overridden).as_str(), overridden.priority), ("crews@4", 4));
    assert_eq!((plain.max_output_tokens, overridden.max_output_tokens), (256, 64));
    assert_eq!(overridden.charged, festival);
}

#[rstest::rstest]
#[case::no_key(None, "brief", resolve::ResolveError::MissingKey)]
#[case::unknown(Some("hotel"), "nothing", resolve::ResolveError::Unknown)]
#[case::not_listed(Some("festival"), "book", resolve::ResolveError::NotPermitted)]
#[case::foreign_adapter(Some("festival"), "menus@1", resolve::ResolveError::NotPermitted)]
#[case::no_such_version(Some("hotel"), "menus@9", resolve::ResolveError::Unknown)]
#[case::direct_without_key(None, "menus@1", resolve::ResolveError::MissingKey)]
fn resolution_refuses(
    #[case] customer: Option<&str>,
    #[case] model: &str,
    #[case] error: resolve::ResolveError,
) {
    let view = common::base_replica().view();
    let customer = customer.map(name::CustomerName::from);
    assert_eq!(view.resolve(customer.as_ref(), model), Err(error));
}

#[test]
fn an_open_route_charges_its_customer_and_a_service_route_is_not_idempotent() {
    let view = common::base_replica().view();
    let open = view.resolve(None, "ask").unwrap();
    assert_eq!(open.charged.as_str(), "hotel");
    assert_eq!(open.refuse_when_stale, Some(time::Duration::from_secs(5)));
    let hotel = name::CustomerName::from("hotel");
    let book = view.resolve(Some(&hotel), "book").unwrap();
    assert!(!book.idempotent);
    assert!(matches!(book.target, resolve::ResolvedTarget::Service { .. }));
    assert!(view.resolve(Some(&hotel), "menus@1").is_ok());
}

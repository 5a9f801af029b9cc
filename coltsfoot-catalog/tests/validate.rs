//! Validation: each invalid set is rejected with the object, the field and the remedy.

mod common;

use coltsfoot_catalog::{object, replica};
use rstest::rstest;
use serde_json::json;

/// Changes one field of an object.
fn with(
    mut value: serde_json::Value,
    field: &str,
    content: serde_json::Value,
) -> serde_json::Value {
    value[field] = content;
    value
}

fn brief(customers: &[&str]) -> serde_json::Value {
    common::route("brief", "menus", customers)
}

fn exception(content: serde_json::Value) -> serde_json::Value {
    let mut value = json!({"kind": "exception", "name": "festival-brief", "customer": "festival",
        "route": "brief", "adapter": "crews"});
    value.as_object_mut().unwrap().extend(content.as_object().unwrap().clone());
    value
}

fn errors_of(changes: Vec<object::ObjectChange>) -> String {
    let mut replica = common::base_replica();
    let before: Vec<_> = replica.state().objects().collect();
    let offset = replica.next_offset();
    let outcome = replica.apply(offset, &common::text(&common::set(2, changes)));
    let replica::ApplyOutcome::Rejected(replica::RejectReason::Invalid(errors)) = outcome else {
        panic!("not rejected: {outcome:?}")
    };
    assert_eq!(
        replica.state().objects().collect::<Vec<_>>(),
        before,
        "a rejected set changed the state"
    );
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

#[rstest]
#[case::malformed_name(None, common::customer("a b"), "customer \"a b\", field `name`")]
#[case::zone_sum(None, with(common::customer("x"), "zone_permille", json!({"rennes": 999})), "sum to 999")]
#[case::rate_over_policy(None, with(common::customer("x"), "rate_tokens_per_second", json!(10_001)), "field `rate_tokens_per_second`: 10001")]
#[case::burst_over_policy(None, with(common::customer("x"), "burst_tokens", json!(50_001)), "field `burst_tokens`")]
#[case::no_weight(None, with(common::customer("x"), "weight", json!(0)), "field `weight`")]
#[case::key_customer(
    None,
    common::key("k", "nobody", "s"),
    "key \"k\", field `customer`: customer \"nobody\" does not exist"
)]
#[case::digest_form(None, with(common::key("k", "hotel", "s"), "digest", json!("ab")), "field `digest`: the digest is malformed")]
#[case::digest_twice(
    None,
    common::key("k", "festival", "hotel-secret"),
    "that of key \"hotel-key\""
)]
#[case::no_versions(None, common::adapter("a", "hotel", &[]), "field `versions`")]
#[case::versions_fall(None, common::adapter("a", "hotel", &[2, 1]), "field `versions`")]
#[case::version_zero(None, common::adapter("a", "hotel", &[0]), "field `versions`")]
#[case::version_gone(Some(0), common::adapter("menus", "hotel", &[2]), "route \"ask\", field `target`: menus@1 does not exist")]
#[case::adapter_moves(Some(0), common::adapter("crews", "hotel", &[1, 4]), "customer \"festival\" would run on adapter \"crews\"")]
#[case::model_moves(Some(0), with(common::adapter("crews", "festival", &[1, 4]), "base_model", json!("other")), "field `adapter`: adapter \"crews\" is for another base model")]
#[case::route_adapter(None, common::route("r", "nothing", &["hotel"]), "adapter \"nothing\" does not exist")]
#[case::route_nobody(None, common::route("r", "menus", &[]), "at least one customer")]
#[case::route_twice(None, common::route("r", "menus", &["hotel", "hotel"]), "each one once")]
#[case::route_foreign(None, common::route("r", "menus", &["hotel", "festival"]), "customer \"festival\" would run on adapter \"menus\" of customer \"hotel\"")]
#[case::open_foreign(None, with(common::route("r", "menus", &[]), "access", json!({"open": {"charged": "festival"}})), "would run on adapter")]
#[case::route_output(None, with(common::route("r", "menus", &["hotel"]), "max_output_tokens", json!(2_000)), "field `max_output_tokens`: 2000 is not between 1 and 1024")]
#[case::route_deadline(None, with(common::route("r", "menus", &["hotel"]), "deadline_ms", json!(60_001)), "field `deadline_ms`")]
#[case::route_drops_excepted(Some(0), brief(&["hotel"]), "does not list customer \"festival\"")]
#[case::exception_priority(Some(0), exception(json!({"priority": 6})), "field `priority`: 6 is not between 0 and 5")]
#[case::exception_output(Some(0), exception(json!({"max_output_tokens": 1_025})), "field `max_output_tokens`")]
#[case::exception_version(Some(0), exception(json!({"version": 3})), "crews@3 does not exist")]
#[case::exception_route(Some(0), exception(json!({"route": "none"})), "route \"none\" does not exist")]
#[case::exception_foreign(Some(0), exception(json!({"adapter": "menus"})), "would run on adapter \"menus\"")]
#[case::exception_twice(None, exception(json!({"name": "other"})), "exception \"festival-brief\" is for the same customer and route")]
#[case::exception_service(None, json!({"kind": "exception", "name": "e", "customer": "hotel", "route": "book", "version": 1}), "leads to a plain service")]
#[case::exception_open(None, json!({"kind": "exception", "name": "e", "customer": "hotel", "route": "ask"}), "does not list customer")]
#[case::policy_tightens(Some(0), with(common::policy(), "max_exception_priority", json!(3)), "exception \"festival-brief\", field `priority`")]
#[case::second_policy(None, with(common::policy(), "name", json!("other")), "call it \"fleet\"")]
#[case::exists(None, common::customer("hotel"), "read it and name its revision 0")]
#[case::gone(Some(0), common::customer("new"), "leave the revision out")]
fn an_invalid_put_is_rejected(
    #[case] revision: Option<u64>,
    #[case] value: serde_json::Value,
    #[case] message: &str,
) {
    let errors = errors_of(vec![common::put(revision, value)]);
    assert!(errors.contains(message), "{errors}");
}

#[rstest]
#[case::customer(object::ObjectKind::Customer, "hotel", "still refers to it")]
#[case::policy(object::ObjectKind::Policy, "fleet", "publish the policy")]
#[case::adapter(object::ObjectKind::Adapter, "crews", "adapter \"crews\" does not exist")]
#[case::route(object::ObjectKind::Route, "brief", "route \"brief\" does not exist")]
#[case::exception(
    object::ObjectKind::Exception,
    "festival-brief",
    "would run on adapter \"menus\""
)]
fn a_removal_that_leaves_a_reference_is_rejected(
    #[case] kind: object::ObjectKind,
    #[case] name: &str,
    #[case] message: &str,
) {
    let errors = errors_of(vec![common::remove(Some(0), kind, name)]);
    assert!(errors.contains(message), "{errors}");
}

#[test]
fn a_set_that_changes_an_object_twice_is_rejected() {
    let change = common::put(None, common::customer("x"));
    assert!(errors_of(vec![change.clone(), change]).contains("more than once"));
}

#[test]
fn references_within_one_set_may_come_in_any_order() {
    let mut set = common::base_set();
    set.changes.reverse();
    let mut replica = replica::CatalogReplica::new();
    let outcome = replica.apply(replica.next_offset(), &common::text(&set));
    assert!(matches!(outcome, replica::ApplyOutcome::Accepted { .. }), "{outcome:?}");
    let removals = set.changes.iter().map(|change| object::ObjectChange {
        revision: Some(coltsfoot_types::id::LogOffset(0)),
        action: object::ChangeAction::Remove {
            kind: change.action.object().kind,
            name: change.action.object().name,
        },
    });
    let outcome =
        replica.apply(replica.next_offset(), &common::text(&common::set(2, removals.collect())));
    assert!(matches!(outcome, replica::ApplyOutcome::Accepted { .. }), "{outcome:?}");
    assert!(replica.state().is_empty());
}

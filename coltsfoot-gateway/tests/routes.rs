//! Routes, API keys, traffic splits and retries.

use std::sync;
use std::time;

use coltsfoot_gateway::{attempt_plan, route_table, rules};
use rstest::rstest;
use smallvec::smallvec;

fn route(name: &str, prefix: &str, is_open: bool) -> sync::Arc<rules::RouteRule> {
    let share = rules::TrafficShare { service: "desk".into(), weight: 1 };
    let rule = rules::RouteRule::builder()
        .name(name.into())
        .host("a.example".into())
        .path_prefix(prefix.into())
        .kind(rules::RouteKind::Idempotent)
        .timeout(time::Duration::from_secs(1))
        .target_latency(time::Duration::from_millis(300))
        .services(smallvec![share])
        .is_auth_exempt(is_open)
        .build();
    sync::Arc::new(rule)
}

fn table() -> route_table::RouteTable {
    let customer = rules::CustomerRule {
        name: "clinic".into(),
        keys: vec!["k1".into(), "k2".into()],
        priority: None,
        counts_tokens: true,
        plain_tokens: 200,
        rate_per_s: None,
        burst: 0.0,
    };
    route_table::RouteTable::new(rules::GatewayRules {
        version: 1,
        routes: vec![
            route("short", "/a/", false),
            route("long", "/a/b/", false),
            route("open", "/free/", true),
        ],
        services: Vec::new(),
        customers: vec![sync::Arc::new(customer)],
        limits: rules::CallerLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout: time::Duration::ZERO,
            idle_timeout: time::Duration::ZERO,
        },
    })
}

#[rstest]
#[case::longest("a.example", "/a/b/c", Some("k1"), Ok("long"))]
#[case::shorter("a.example", "/a/bc", Some("k2"), Ok("short"))]
#[case::case_and_port("A.Example:80", "/a/x", Some("k1"), Ok("short"))]
#[case::no_key_needed("a.example", "/free/x", None, Ok("open"))]
#[case::no_slash("a.example", "/a", Some("k1"), Err(route_table::AccessDenial::NoRoute))]
#[case::other_host("b.example", "/a/x", Some("k1"), Err(route_table::AccessDenial::NoRoute))]
#[case::no_key("a.example", "/a/x", None, Err(route_table::AccessDenial::UnknownKey))]
#[case::unknown("a.example", "/a/x", Some("k3"), Err(route_table::AccessDenial::UnknownKey))]
fn authorization(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<&str, route_table::AccessDenial>,
) {
    let granted = table().authorize(host, path, key);
    let name = granted.map(|granted| granted.route.name.to_string());
    assert_eq!(name, expected.map(ToOwned::to_owned));
}

#[test]
fn traffic_is_split_by_weight_and_a_request_id_keeps_its_service() {
    let shares = [("old", 90_000), ("new", 10_000)];
    let services =
        shares.map(|(name, weight)| rules::TrafficShare { service: name.into(), weight });
    let mut rule = (*route("split", "/a/", false)).clone();
    rule.services = services.into_iter().collect();
    let picked: Vec<_> = (0..10_000)
        .map(|number| route_table::pick_service(&rule, &format!("{number:016x}")).expect("one"))
        .collect();
    let new = picked.iter().filter(|name| &***name == "new").count();
    assert!((800..1200).contains(&new), "{new} of 10,000 went to a tenth's service");
    for (number, service) in picked.iter().enumerate() {
        let again = route_table::pick_service(&rule, &format!("{number:016x}"));
        assert_eq!(again.as_ref(), Some(service));
    }
}

#[rstest]
#[case::route_alone(None, 0, 0)]
#[case::less_urgent_route(None, 2, 2)]
#[case::lowest_route(None, 7, 2)]
#[case::customer_first(Some(0), 2, 2)]
#[case::then_the_route(Some(1), 0, 3)]
#[case::other_route(Some(1), 1, 4)]
#[case::bounded(Some(5), 0, 9)]
fn the_customers_priority_outranks_the_routes(
    #[case] customer: Option<u8>,
    #[case] route_priority: u8,
    #[case] expected: u8,
) {
    let mut rule = (*route("r", "/a/", false)).clone();
    rule.priority = route_priority;
    let mut clinic = (*table().rules().customers[0]).clone();
    clinic.priority = customer;
    assert_eq!(rules::urgency(&rule, Some(&clinic)), expected);
}

use attempt_plan::{AttemptEnd, NextStep};

/// Arguments: whether the route may retry, its maximum of attempts, how they ended, and the step
/// after the last one.
#[rstest]
#[case::unsent_is_retried(false, 1, &[AttemptEnd::NotSent], NextStep::Retry)]
#[case::many_unsent(false, 1, &[AttemptEnd::NotSent; 6], NextStep::Retry)]
#[case::unsent_too_often(false, 1, &[AttemptEnd::NotSent; 8], NextStep::Refuse)]
#[case::rejected_is_retried(false, 1, &[AttemptEnd::Rejected], NextStep::Retry)]
#[case::may_have_run(false, 3, &[AttemptEnd::Broken], NextStep::Fail)]
#[case::ran_and_failed(false, 3, &[AttemptEnd::Failed], NextStep::Fail)]
#[case::rejected_then_broken(
    false, 3, &[AttemptEnd::Rejected, AttemptEnd::Broken], NextStep::Fail
)]
#[case::repeated(true, 2, &[AttemptEnd::Broken], NextStep::Retry)]
#[case::used_up(true, 2, &[AttemptEnd::Broken, AttemptEnd::Failed], NextStep::Fail)]
#[case::never_run(
    true, 2, &[AttemptEnd::Rejected, AttemptEnd::Rejected, AttemptEnd::Rejected, AttemptEnd::Rejected],
    NextStep::Refuse
)]
#[case::rejected_after_a_run(
    true,
    2,
    &[
        AttemptEnd::Broken, AttemptEnd::Rejected, AttemptEnd::Rejected, AttemptEnd::Rejected,
        AttemptEnd::Rejected,
    ],
    NextStep::Fail
)]
fn attempts(
    #[case] may_retry: bool,
    #[case] max_attempts: u32,
    #[case] ends: &[AttemptEnd],
    #[case] expected: NextStep,
) {
    let mut rule = (*route("r", "/a/", false)).clone();
    rule.max_attempts = max_attempts;
    if !may_retry {
        rule.kind = rules::RouteKind::NonIdempotent;
    }
    let mut plan = attempt_plan::AttemptPlan::new(&rule);
    let steps: Vec<NextStep> = ends.iter().map(|end| plan.record(&"engine".into(), *end)).collect();
    assert_eq!(steps.last(), Some(&expected));
    let has_run = ends.iter().any(|end| end.may_have_run());
    assert_eq!(plan.final_step() == NextStep::Refuse, !has_run, "a refusal means that nothing ran");
}

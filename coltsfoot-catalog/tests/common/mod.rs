//! Builders of change sets for tests.
#![allow(dead_code)]

use coltsfoot_catalog::{object, replica};
use coltsfoot_types::{id, name};
use serde_json::json;

/// Digest of the key `secret`, in hexadecimal.
pub fn digest(secret: &str) -> String {
    coltsfoot_catalog::digest::KeyDigest::of(secret).to_string()
}

pub fn object(value: serde_json::Value) -> object::CatalogObject {
    serde_json::from_value(value).unwrap()
}

pub fn put(revision: Option<u64>, value: serde_json::Value) -> object::ObjectChange {
    let action = object::ChangeAction::Put(object(value));
    object::ObjectChange { revision: revision.map(id::LogOffset), action }
}

pub fn remove(revision: Option<u64>, kind: object::ObjectKind, name: &str) -> object::ObjectChange {
    let action = object::ChangeAction::Remove { kind, name: name::ObjectName::from(name) };
    object::ObjectChange { revision: revision.map(id::LogOffset), action }
}

pub fn set(number: u128, changes: Vec<object::ObjectChange>) -> object::ChangeSet {
    let change_id = uuid::Uuid::from_u128(number);
    object::ChangeSet { change_id, author: "tests".to_owned(), changes }
}

pub fn text(set: &object::ChangeSet) -> String {
    serde_json::to_string(set).unwrap()
}

pub fn policy() -> serde_json::Value {
    json!({"kind": "policy", "name": "fleet", "max_rate_tokens_per_second": 10_000,
        "max_burst_tokens": 50_000, "max_output_tokens": 1_024, "max_deadline_ms": 60_000,
        "max_exception_priority": 5})
}

pub fn customer(name: &str) -> serde_json::Value {
    json!({"kind": "customer", "name": name, "rate_tokens_per_second": 100, "burst_tokens": 1_000,
        "zone_permille": {"rennes": 500, "brest": 300, "nantes": 200}})
}

pub fn key(name: &str, customer: &str, secret: &str) -> serde_json::Value {
    json!({"kind": "key", "name": name, "customer": customer, "digest": digest(secret)})
}

pub fn adapter(name: &str, customer: &str, versions: &[u32]) -> serde_json::Value {
    json!({"kind": "adapter", "name": name, "base_model": "llama", "customer": customer,
        "versions": versions})
}

pub fn route(name: &str, adapter: &str, customers: &[&str]) -> serde_json::Value {
    json!({"kind": "route", "name": name, "target": {"model": {"adapter": adapter}},
        "access": {"customers": customers}, "priority": 2})
}

/// Change set at offset 0 of most tests: two customers, with an exception for the second one.
pub fn base_set() -> object::ChangeSet {
    set(
        1,
        vec![
            put(None, policy()),
            put(None, customer("hotel")),
            put(None, customer("festival")),
            put(None, key("hotel-key", "hotel", "hotel-secret")),
            put(None, adapter("menus", "hotel", &[1, 2])),
            put(None, adapter("crews", "festival", &[1, 4])),
            put(None, route("brief", "menus", &["hotel", "festival"])),
            put(
                None,
                json!({"kind": "exception", "name": "festival-brief", "customer": "festival",
                "route": "brief", "adapter": "crews", "priority": 4, "max_output_tokens": 64}),
            ),
            put(
                None,
                json!({"kind": "route", "name": "book", "target": {"service": {"service": "desk"}},
                "access": {"customers": ["hotel"]}, "idempotent": false}),
            ),
            put(
                None,
                json!({"kind": "route", "name": "ask", "target": {"model": {"adapter": "menus",
                "version": 1}}, "access": {"open": {"charged": "hotel"}},
                "refuse_when_stale_ms": 5_000}),
            ),
        ],
    )
}

/// A replica with [`base_set`] at offset 0.
pub fn base_replica() -> replica::CatalogReplica {
    let mut replica = replica::CatalogReplica::new();
    let outcome = replica.apply(id::LogOffset(0), &text(&base_set()));
    assert!(matches!(outcome, replica::ApplyOutcome::Accepted { .. }), "{outcome:?}");
    replica
}

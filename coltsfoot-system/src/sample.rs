//! A sample configuration.

use coltsfoot_catalog::object;
use coltsfoot_types::name;

/// Base model of all engines.
pub const BASE_MODEL: &str = "base";
/// Name of the plain service.
pub const SERVICE: &str = "bookings";

/// A configuration with one policy, customers, keys, adapters and routes.
pub fn sample_objects(zones: &[&str], customers: &[&str]) -> Vec<object::CatalogObject> {
    let mut objects = vec![object::CatalogObject::Policy(object::FleetPolicy {
        name: "fleet".into(),
        max_rate_tokens_per_second: 1_000_000,
        max_burst_tokens: 10_000_000,
        max_output_tokens: 1_024,
        max_deadline_ms: 60_000,
        max_exception_priority: 5,
    })];
    for customer in customers {
        objects.extend(customer_objects(zones, customer));
    }
    let all: Vec<name::CustomerName> = customers.iter().map(|name| (*name).into()).collect();
    for (route, idempotent) in [("look-up", true), ("book", false)] {
        objects.push(object::CatalogObject::Route(object::RouteObject {
            name: route.into(),
            target: object::RouteTarget::Service { service: SERVICE.into() },
            access: object::RouteAccess::Customers(all.clone()),
            idempotent,
            priority: 0,
            max_output_tokens: 1,
            deadline_ms: 10_000,
            refuse_when_stale_ms: None,
        }));
    }
    objects
}

/// A customer with the key `key-NAME`, the adapter `NAME-drafts` in version 1, and the route
/// `NAME-drafting`.
pub fn customer_objects(zones: &[&str], customer: &str) -> Vec<object::CatalogObject> {
    let part = 1_000 / zones.len() as u16;
    let rest = 1_000 - part * (zones.len() as u16 - 1);
    let parts = zones
        .iter()
        .enumerate()
        .map(|(place, zone)| ((*zone).into(), if place == 0 { rest } else { part }));
    vec![
        object::CatalogObject::Customer(object::CustomerObject {
            name: customer.into(),
            rate_tokens_per_second: 100_000,
            burst_tokens: 300_000,
            weight: 1,
            zone_permille: parts.collect(),
        }),
        object::CatalogObject::Key(object::KeyObject {
            name: format!("{customer}-desk").into(),
            customer: customer.into(),
            digest: blake3::hash(key_of(customer).as_bytes()).to_hex().to_string(),
            withdrawn: false,
        }),
        object::CatalogObject::Adapter(object::AdapterObject {
            name: format!("{customer}-drafts").into(),
            base_model: BASE_MODEL.into(),
            customer: customer.into(),
            versions: vec![1],
        }),
        object::CatalogObject::Route(object::RouteObject {
            name: format!("{customer}-drafting").into(),
            target: object::RouteTarget::Model {
                adapter: format!("{customer}-drafts").into(),
                version: None,
            },
            access: object::RouteAccess::Customers(vec![customer.into()]),
            idempotent: true,
            priority: 1,
            max_output_tokens: 512,
            deadline_ms: 20_000,
            refuse_when_stale_ms: None,
        }),
    ]
}

/// Returns the key of a customer of the sample configuration.
pub fn key_of(customer: &str) -> String {
    format!("key-{customer}")
}

//! Records of the configuration log for trials.

use coltsfoot_catalog::{digest, object};
use coltsfoot_types::id;

use crate::cmd::MeasureError;

/// Customers of the trials.
pub const CUSTOMERS: u32 = 200;
/// Adapters in one change set.
const ADAPTERS_PER_SET: u32 = 1_000;
/// Zones of the trials.
const ZONES: [&str; 3] = ["rennes", "brest", "nantes"];
/// Base models of the trials.
const BASE_MODELS: u32 = 2;

/// Writes a change set. The number makes its id.
pub fn set(number: u64, changes: Vec<object::ObjectChange>) -> Result<String, MeasureError> {
    let change_id = uuid::Uuid::from_u64_pair(1, number);
    let set = object::ChangeSet { change_id, author: "measure".to_owned(), changes };
    serde_json::to_string(&set).map_err(|error| MeasureError::Violated(error.to_string()))
}

/// Puts an object.
pub fn put(revision: Option<id::LogOffset>, object: object::CatalogObject) -> object::ObjectChange {
    object::ObjectChange { revision, action: object::ChangeAction::Put(object) }
}

/// Returns a key with the digest of its own name.
pub fn key(number: u32, withdrawn: bool) -> object::CatalogObject {
    let name = key_name(number);
    object::CatalogObject::Key(object::KeyObject {
        name: name.as_str().into(),
        customer: customer_name(number % CUSTOMERS).as_str().into(),
        digest: digest::KeyDigest::of(&name).to_string(),
        withdrawn,
    })
}

/// Returns the name of a key.
pub fn key_name(number: u32) -> String {
    format!("key-{number:05}")
}

/// Returns a route with a certain priority.
pub fn route(number: u32, priority: u8) -> object::CatalogObject {
    object::CatalogObject::Route(object::RouteObject {
        name: format!("route-{number:05}").as_str().into(),
        target: object::RouteTarget::Model {
            adapter: adapter_name(number).as_str().into(),
            version: None,
        },
        access: object::RouteAccess::Customers(vec![owner(number).as_str().into()]),
        idempotent: true,
        priority,
        max_output_tokens: 256,
        deadline_ms: 30_000,
        refuse_when_stale_ms: None,
    })
}

/// Returns an adapter with versions up to `last_version`.
pub fn adapter(number: u32, last_version: u32) -> object::CatalogObject {
    object::CatalogObject::Adapter(object::AdapterObject {
        name: adapter_name(number).as_str().into(),
        base_model: format!("base-model-{}", number % BASE_MODELS).as_str().into(),
        customer: owner(number).as_str().into(),
        versions: (1..=last_version).collect(),
    })
}

/// Calls `each` with the records that set up policy, customers, adapters, keys and routes.
pub fn for_each_setup_record(
    adapters: u32,
    keys: u32,
    routes: u32,
    mut each: impl FnMut(String),
) -> Result<(), MeasureError> {
    let customers = (0..CUSTOMERS).map(customer);
    let first = std::iter::once(policy()).chain(customers).map(|object| put(None, object));
    each(set(0, first.collect())?);
    for start in (0..adapters).step_by(ADAPTERS_PER_SET as usize) {
        let numbers = start..(start + ADAPTERS_PER_SET).min(adapters);
        let puts = numbers.map(|number| put(None, adapter(number, 2)));
        each(set(1 + u64::from(start), puts.collect())?);
    }
    let keys = (0..keys).map(|number| key(number, false));
    let objects = keys.chain((0..routes).map(|number| route(number, 1)));
    each(set(1 + u64::from(adapters), objects.map(|object| put(None, object)).collect())?);
    Ok(())
}

fn adapter_name(number: u32) -> String {
    format!("adapter-{number:06}")
}

fn customer_name(number: u32) -> String {
    format!("customer-{number:03}")
}

fn owner(adapter: u32) -> String {
    customer_name(adapter % CUSTOMERS)
}

fn policy() -> object::CatalogObject {
    object::CatalogObject::Policy(object::FleetPolicy {
        name: "fleet".into(),
        max_rate_tokens_per_second: 1_000_000,
        max_burst_tokens: 10_000_000,
        max_output_tokens: 4_096,
        max_deadline_ms: 120_000,
        max_exception_priority: 9,
    })
}

fn customer(number: u32) -> object::CatalogObject {
    let parts = [400, 300, 300];
    object::CatalogObject::Customer(object::CustomerObject {
        name: customer_name(number).as_str().into(),
        rate_tokens_per_second: 1_000,
        burst_tokens: 10_000,
        weight: 1,
        zone_permille: ZONES.into_iter().map(Into::into).zip(parts).collect(),
    })
}

//! The named objects that operators publish.

use std::collections;

use coltsfoot_types::{id, name};
use serde::{Deserialize, Serialize};

use crate::reference;

/// A configured object of any kind.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CatalogObject {
    /// Limits for the whole fleet.
    Policy(FleetPolicy),
    /// A tenant.
    Customer(CustomerObject),
    /// A caller key.
    Key(KeyObject),
    /// A LoRA adapter with its versions.
    Adapter(AdapterObject),
    /// An address that callers use.
    Route(RouteObject),
    /// Overrides of a route for one customer.
    Exception(RouteException),
}

/// Kind of a configured object.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// See [`FleetPolicy`].
    Policy,
    /// See [`CustomerObject`].
    Customer,
    /// See [`KeyObject`].
    Key,
    /// See [`AdapterObject`].
    Adapter,
    /// See [`RouteObject`].
    Route,
    /// See [`RouteException`].
    Exception,
}

/// Limits for the whole fleet that no customer, route or exception may exceed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// Name of the policy; there is one, called `fleet`.
    pub name: name::ObjectName,
    /// Largest rate of a customer, in tokens per second.
    pub max_rate_tokens_per_second: u64,
    /// Largest burst of a customer, in tokens.
    pub max_burst_tokens: u64,
    /// Largest output of one request, in tokens.
    pub max_output_tokens: u32,
    /// Longest deadline of a route, in milliseconds.
    pub max_deadline_ms: u32,
    /// Highest priority that an exception may give a route.
    pub max_exception_priority: u8,
}

/// A tenant with its rate and burst over the whole fleet.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerObject {
    /// Name of the customer.
    pub name: name::CustomerName,
    /// Rate over all instances together, in tokens per second.
    pub rate_tokens_per_second: u64,
    /// Burst over all instances together, in tokens.
    pub burst_tokens: u64,
    /// Weight in the fair queue, from 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Share of rate and burst that each zone holds, in thousandths that sum to 1,000.
    pub zone_permille: collections::BTreeMap<name::ZoneName, u16>,
}

/// A caller's API key. The log holds only its digest.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyObject {
    /// Name of the key, for operators.
    pub name: name::KeyName,
    /// The customer that the key authenticates.
    pub customer: name::CustomerName,
    /// BLAKE3 digest of the key, in hexadecimal.
    pub digest: String,
    /// Whether the key is revoked.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A LoRA adapter with the versions that can be served.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterObject {
    /// Name of the adapter.
    pub name: name::AdapterName,
    /// The base model that it was trained for.
    pub base_model: name::ModelName,
    /// The customer that owns it; others can't address it.
    pub customer: name::CustomerName,
    /// Versions that can be served.
    pub versions: Vec<u32>,
}

/// An address that callers use.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteObject {
    /// Name of the route.
    pub name: name::RouteName,
    /// What the route leads to.
    pub target: RouteTarget,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Whether calls may be retried. Calls of other routes are claimed on the log and run once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Priority among the requests of a customer; higher ones go first.
    #[serde(default)]
    pub priority: u8,
    /// Largest output of one request, in tokens.
    #[serde(default = "default_output_tokens")]
    pub max_output_tokens: u32,
    /// Time within which a request is answered, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Age of the configuration from which an instance refuses the route's requests, in
    /// milliseconds. Without it the instance serves with a configuration of any age.
    #[serde(default)]
    pub refuse_when_stale_ms: Option<u32>,
}

/// What a route leads to.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteTarget {
    /// An adapter on a model engine.
    Model {
        /// Name of the adapter.
        adapter: name::AdapterName,
        /// Version; the highest one if absent.
        #[serde(default)]
        version: Option<u32>,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: name::ServiceName,
    },
}

/// Who may use a route.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Anyone, without a key. Such calls are charged to the named customer.
    Open {
        /// The customer that is charged.
        charged: name::CustomerName,
    },
    /// The named customers.
    Customers(Vec<name::CustomerName>),
}

/// Overrides of a route for one customer, within the limits of the fleet policy.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteException {
    /// Name of the exception.
    pub name: name::ObjectName,
    /// The customer that it applies to.
    pub customer: name::CustomerName,
    /// The route that it overrides.
    pub route: name::RouteName,
    /// Version of the route's adapter to use instead.
    #[serde(default)]
    pub version: Option<u32>,
    /// Adapter of the same base model to use instead.
    #[serde(default)]
    pub adapter: Option<name::AdapterName>,
    /// Priority to use instead.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Largest output to use instead, in tokens.
    #[serde(default)]
    pub max_output_tokens: Option<u32>,
}

/// One change of a set: the new content of an object, or its removal.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectChange {
    /// Expected revision: offset of the record that wrote the object last, absent for a new
    /// object. The set is rejected if another one has been written since.
    #[serde(default)]
    pub revision: Option<id::LogOffset>,
    /// What happens to the object.
    pub action: ChangeAction,
}

/// What a change does to an object.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// Creates or replaces the object.
    Put(CatalogObject),
    /// Removes the object.
    Remove {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: name::ObjectName,
    },
}

/// A set of changes that is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Unique id; a set that is appended twice is applied once.
    pub change_id: uuid::Uuid,
    /// Name of the operator, shown in the history.
    pub author: String,
    /// The changes.
    pub changes: Vec<ObjectChange>,
}

fn default_weight() -> u32 {
    1
}

fn default_true() -> bool {
    true
}

fn default_output_tokens() -> u32 {
    256
}

fn default_deadline_ms() -> u32 {
    30_000
}

impl ObjectKind {
    /// All kinds, in the order of their validation.
    pub const ALL: [Self; 6] =
        [Self::Policy, Self::Customer, Self::Key, Self::Adapter, Self::Route, Self::Exception];

    /// Returns the kind as written in change sets.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Customer => "customer",
            Self::Key => "key",
            Self::Adapter => "adapter",
            Self::Route => "route",
            Self::Exception => "exception",
        }
    }
}

impl CatalogObject {
    /// Returns the kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Policy(_) => ObjectKind::Policy,
            Self::Customer(_) => ObjectKind::Customer,
            Self::Key(_) => ObjectKind::Key,
            Self::Adapter(_) => ObjectKind::Adapter,
            Self::Route(_) => ObjectKind::Route,
            Self::Exception(_) => ObjectKind::Exception,
        }
    }

    /// Returns the name of the object.
    pub fn name(&self) -> &str {
        match self {
            Self::Policy(policy) => policy.name.as_str(),
            Self::Customer(customer) => customer.name.as_str(),
            Self::Key(key) => key.name.as_str(),
            Self::Adapter(adapter) => adapter.name.as_str(),
            Self::Route(route) => route.name.as_str(),
            Self::Exception(exception) => exception.name.as_str(),
        }
    }
}

impl ChangeAction {
    /// Returns the object that the change touches.
    pub fn object(&self) -> reference::ObjectRef {
        match self {
            Self::Put(object) => reference::ObjectRef::new(object.kind(), object.name()),
            Self::Remove { kind, name } => reference::ObjectRef { kind: *kind, name: name.clone() },
        }
    }
}

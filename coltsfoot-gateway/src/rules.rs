//! The active configuration: routes, services, customers and limits.

use std::sync;
use std::time;

use smallvec::SmallVec;

/// Retry semantics of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is an event stream; a request runs at most once unless the route is resumable.
    Streaming,
}

/// Weight of a service in the traffic split of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Name of the service.
    pub service: sync::Arc<str>,
    /// Share of the traffic, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route: which requests it matches and how they are served.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct RouteRule {
    /// Name of the route.
    pub name: sync::Arc<str>,
    /// Host that requests name, in lower case.
    pub host: sync::Arc<str>,
    /// Prefix of the paths, with a slash at both ends.
    pub path_prefix: sync::Arc<str>,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Deadline for the whole response.
    pub timeout: time::Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: time::Duration,
    /// Priority; 0 is the most urgent.
    #[builder(default = 5)]
    pub priority: u8,
    /// Services that share the traffic; a single one if there is no split.
    pub services: SmallVec<[TrafficShare; 2]>,
    /// Most upstreams on which one request may run.
    #[builder(default = 1)]
    pub max_attempts: u32,
    /// Whether requests are served without a key.
    #[builder(default)]
    pub is_auth_exempt: bool,
    /// Whether a stream may be resumed at another upstream after the last event received.
    #[builder(default)]
    pub is_resumable: bool,
}

impl RouteRule {
    /// Returns whether a request that may have run may be retried.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// A base model of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// Name of the model.
    pub name: sync::Arc<str>,
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Batch size, in requests.
    pub slots: u32,
    /// Memory for running requests and the prefix cache, in tokens.
    pub memory_tokens: u64,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Most adapters loaded at once.
    pub adapter_slots: usize,
    /// Base models; the adapter capacity is computed for the first one.
    pub models: Vec<ModelRule>,
}

impl EngineRule {
    /// Returns how many adapters fit on an engine beside the first model.
    pub fn adapter_capacity(&self) -> usize {
        let Some(model) = self.models.first() else { return self.adapter_slots };
        let free_mb = self.weights_mb - model.weights_mb;
        let fitting_adapters =
            if model.adapter_mb > 0.0 { (free_mb / model.adapter_mb) as usize } else { 0 };
        self.adapter_slots.min(fitting_adapters)
    }
}

/// Requests that the upstreams of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which an upstream is cold after its start.
    pub duration: time::Duration,
    /// Requests per second from all instances together that it tolerates meanwhile; above zero.
    pub per_s: f64,
}

/// A service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: sync::Arc<str>,
    /// Connections that one upstream accepts from all instances.
    pub max_connections: u32,
    /// Capacity of its engines, if it serves models.
    pub engine: Option<EngineRule>,
    /// Limit on its cold upstreams, if it has one.
    pub cold: Option<ColdRule>,
}

/// A customer with its keys and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: sync::Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<sync::Arc<str>>,
    /// Priority, which outranks the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether the quota counts tokens rather than requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that declares none.
    pub plain_tokens: u64,
    /// Quota per second over all instances together; `None` if unlimited.
    pub rate_per_s: Option<f64>,
    /// Burst of the quota over all instances together.
    pub burst: f64,
}

/// Urgency levels of routes within one priority of a customer.
const LEVELS_PER_PRIORITY: u8 = 3;
/// The least urgent level that engines support.
const LEAST_URGENT: u8 = 9;

/// Returns the urgency of a request at an engine, 0 being the most urgent: ordered by the
/// customer's priority, then by the route's.
pub fn urgency(route: &RouteRule, customer: Option<&CustomerRule>) -> u8 {
    let priority = customer.and_then(|customer| customer.priority).unwrap_or_default();
    let level = route.priority.min(LEVELS_PER_PRIORITY - 1);
    priority.saturating_mul(LEVELS_PER_PRIORITY).saturating_add(level).min(LEAST_URGENT)
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request head.
    pub max_head_bytes: usize,
    /// Most bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub head_timeout: time::Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_timeout: time::Duration,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRules {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<sync::Arc<RouteRule>>,
    /// Services that routes refer to.
    pub services: Vec<sync::Arc<ServiceRule>>,
    /// Customers; without any, requests need no key.
    pub customers: Vec<sync::Arc<CustomerRule>>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

//! The configuration that is in force: routes, services, customers and limits.

use std::sync;
use std::time;

use smallvec::SmallVec;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// A service among those that share the traffic of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Name of the service.
    pub service: sync::Arc<str>,
    /// Share of the traffic, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route: which requests it takes and how they are served.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct RouteRule {
    /// Name.
    pub name: sync::Arc<str>,
    /// Host that requests name, in lower case.
    pub host: sync::Arc<str>,
    /// Beginning of the paths, with a slash at both ends.
    pub path_prefix: sync::Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: time::Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub target_latency: time::Duration,
    /// Rank; 0 is the most urgent.
    #[builder(default = 5)]
    pub priority: u8,
    /// Services that share the traffic; one with its whole weight where there is no split.
    pub services: SmallVec<[TrafficShare; 2]>,
    /// Upstreams on which one request may run.
    #[builder(default = 1)]
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[builder(default)]
    pub is_auth_exempt: bool,
    /// Whether a stream may be continued at another upstream after the last event received.
    #[builder(default)]
    pub is_resumable: bool,
}

impl RouteRule {
    /// Returns whether a request may run again after it may have run.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// A base model that engines of a service hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// Name.
    pub name: sync::Arc<str>,
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Size of one adapter, in MB.
    pub adapter_mb: f64,
}

/// What engines of a service can hold and do.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests in a batch.
    pub slots: u32,
    /// Memory for running and kept prompts, in tokens.
    pub memory_tokens: u64,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Adapters held at once.
    pub adapter_slots: usize,
    /// Models.
    pub models: Vec<ModelRule>,
}

impl EngineRule {
    /// Returns how many adapters of a model an engine can hold beside it.
    pub fn adapter_capacity(&self) -> usize {
        let Some(model) = self.models.first() else { return self.adapter_slots };
        let room = self.weights_mb - model.weights_mb;
        let fitting = if model.adapter_mb > 0.0 { (room / model.adapter_mb) as usize } else { 0 };
        self.adapter_slots.min(fitting)
    }
}

/// A service behind the instance.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: sync::Arc<str>,
    /// Connections that one upstream accepts from all instances.
    pub max_connections: u32,
    /// What its engines hold, if it serves models.
    pub engine: Option<EngineRule>,
}

/// A customer with its keys and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Name.
    pub name: sync::Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<sync::Arc<str>>,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Whether the quota counts tokens; requests otherwise.
    pub counts_tokens: bool,
    /// Tokens that a request without declared tokens counts for.
    pub plain_tokens: u64,
    /// Quota a second over all instances; `None` is unlimited.
    pub rate_per_s: Option<f64>,
    /// Quota that may be used at once over all instances.
    pub burst: f64,
}

/// Steps that the ranks of routes take within one rank of a customer.
const ROUTE_STEPS: u8 = 3;
/// The least urgent step that engines know.
const LAST_URGENCY: u8 = 9;

/// Returns the urgency of a request at an engine, 0 first: the customer's rank goes before the
/// route's, which decides among requests of customers of the same rank.
pub fn urgency(route: &RouteRule, customer: Option<&CustomerRule>) -> u8 {
    let rank = customer.and_then(|customer| customer.priority).unwrap_or_default();
    let step = route.priority.min(ROUTE_STEPS - 1);
    rank.saturating_mul(ROUTE_STEPS).saturating_add(step).min(LAST_URGENCY)
}

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
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
    /// Routes.
    pub routes: Vec<sync::Arc<RouteRule>>,
    /// Services.
    pub services: Vec<sync::Arc<ServiceRule>>,
    /// Customers; without any, requests need no key.
    pub customers: Vec<sync::Arc<CustomerRule>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

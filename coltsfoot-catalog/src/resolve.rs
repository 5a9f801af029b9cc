//! Resolves the model or route of a request to an adapter version or a service, with its limits.

use std::time;

use coltsfoot_types::{adapter, name, refusal};

use crate::{object, state, view};

/// Priority of a request that addresses an adapter version without a route.
const DIRECT_PRIORITY: u8 = 0;

/// What runs a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResolvedTarget {
    /// An adapter version on engines of a base model.
    Model {
        /// The adapter version.
        adapter: adapter::AdapterVersion,
        /// The base model.
        base_model: name::ModelName,
    },
    /// A plain service.
    Service {
        /// The service.
        service: name::ServiceName,
    },
}

/// A request's target with the limits that apply to the customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedRoute {
    /// The route, absent if the caller addressed an adapter version.
    pub route: Option<name::RouteName>,
    /// What runs the request.
    pub target: ResolvedTarget,
    /// The customer that is charged.
    pub charged: name::CustomerName,
    /// Priority among the requests of the customer; higher ones go first.
    pub priority: u8,
    /// Largest output, in tokens.
    pub max_output_tokens: u32,
    /// Time within which the request is answered.
    pub deadline: time::Duration,
    /// Whether the call may be retried.
    pub idempotent: bool,
    /// Age of the configuration from which an instance refuses the request.
    pub refuse_when_stale: Option<time::Duration>,
}

/// Why a request can't be routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ResolveError {
    /// No such route, adapter or version.
    #[error("no such route or adapter version; name a configured one")]
    Unknown,
    /// The target needs a key and the request has none.
    #[error("the route needs a key; send `Authorization: Bearer KEY`")]
    MissingKey,
    /// The customer may not use the target.
    #[error("the customer may not use this; ask the operator to permit it")]
    NotPermitted,
}

impl ResolveError {
    /// Returns the reason that the caller gets.
    pub fn reason(self) -> refusal::RefusalReason {
        match self {
            Self::Unknown => refusal::RefusalReason::UnknownRoute,
            Self::MissingKey => refusal::RefusalReason::MissingKey,
            Self::NotPermitted => refusal::RefusalReason::NotPermitted,
        }
    }
}

impl view::CatalogView {
    /// Resolves a route or `adapter@version` for the customer that the request's key authenticates,
    /// if it has a key. Applies the customer's exception to the route.
    pub fn resolve(
        &self,
        customer: Option<&name::CustomerName>,
        model_or_route: &str,
    ) -> Result<ResolvedRoute, ResolveError> {
        match model_or_route.parse() {
            Ok(adapter) => self.resolve_adapter(customer, adapter),
            Err(_) => self.resolve_route(customer, model_or_route),
        }
    }

    fn resolve_adapter(
        &self,
        customer: Option<&name::CustomerName>,
        adapter: adapter::AdapterVersion,
    ) -> Result<ResolvedRoute, ResolveError> {
        let customer = customer.ok_or(ResolveError::MissingKey)?;
        let stored = self.state().adapters.get(&adapter.adapter).ok_or(ResolveError::Unknown)?;
        if stored.customer != *customer {
            return Err(ResolveError::NotPermitted);
        }
        if !stored.versions.contains(&adapter.version) {
            return Err(ResolveError::Unknown);
        }
        let policy = self.policy().ok_or(ResolveError::Unknown)?;
        Ok(ResolvedRoute {
            route: None,
            target: ResolvedTarget::Model { adapter, base_model: stored.base_model.clone() },
            charged: stored.customer.clone(),
            priority: DIRECT_PRIORITY,
            max_output_tokens: policy.max_output_tokens,
            deadline: duration_ms(policy.max_deadline_ms),
            idempotent: true,
            refuse_when_stale: None,
        })
    }

    fn resolve_route(
        &self,
        customer: Option<&name::CustomerName>,
        name: &str,
    ) -> Result<ResolvedRoute, ResolveError> {
        let route = self.route(name).ok_or(ResolveError::Unknown)?;
        let charged = charged_customer(route, customer)?;
        let exception = match route.access {
            object::RouteAccess::Open { .. } => None,
            object::RouteAccess::Customers(_) => self.state().exception(&route.name, charged),
        };
        let target = self.state().target(route, exception).ok_or(ResolveError::Unknown)?;
        let priority = exception.and_then(|exception| exception.priority);
        let max_output_tokens = exception.and_then(|exception| exception.max_output_tokens);
        Ok(ResolvedRoute {
            route: Some(route.name.clone()),
            target,
            charged: charged.clone(),
            priority: priority.unwrap_or(route.priority),
            max_output_tokens: max_output_tokens.unwrap_or(route.max_output_tokens),
            deadline: duration_ms(route.deadline_ms),
            idempotent: route.idempotent,
            refuse_when_stale: route.refuse_when_stale_ms.map(duration_ms),
        })
    }
}

impl state::CatalogState {
    /// Returns the exception of a customer to a route.
    pub(crate) fn exception(
        &self,
        route: &name::RouteName,
        customer: &name::CustomerName,
    ) -> Option<&object::RouteException> {
        let name = self.route_exceptions.get(route)?.get(customer)?;
        self.exceptions.get(name).map(|stored| &*stored.object)
    }

    /// Resolves the target of a route under an exception, `None` if adapter or version are missing.
    pub(crate) fn target(
        &self,
        route: &object::RouteObject,
        exception: Option<&object::RouteException>,
    ) -> Option<ResolvedTarget> {
        let (adapter, version) = match &route.target {
            object::RouteTarget::Model { adapter, version } => (adapter, *version),
            object::RouteTarget::Service { service } => {
                return Some(ResolvedTarget::Service { service: service.clone() });
            }
        };
        let replacement = exception.and_then(|exception| exception.adapter.as_ref());
        let version = exception
            .and_then(|exception| exception.version)
            .or(version.filter(|_| replacement.is_none()));
        let (adapter, stored) = self.adapters.get_key_value(replacement.unwrap_or(adapter))?;
        let version = version.or(stored.versions.last().copied())?;
        if !stored.versions.contains(&version) {
            return None;
        }
        Some(ResolvedTarget::Model {
            adapter: adapter::AdapterVersion { adapter: adapter.clone(), version },
            base_model: stored.base_model.clone(),
        })
    }
}

fn charged_customer<'a>(
    route: &'a object::RouteObject,
    customer: Option<&name::CustomerName>,
) -> Result<&'a name::CustomerName, ResolveError> {
    match &route.access {
        object::RouteAccess::Open { charged } => Ok(charged),
        object::RouteAccess::Customers(customers) => {
            let customer = customer.ok_or(ResolveError::MissingKey)?;
            let permitted = customers.iter().find(|permitted| *permitted == customer);
            permitted.ok_or(ResolveError::NotPermitted)
        }
    }
}

fn duration_ms(milliseconds: u32) -> time::Duration {
    time::Duration::from_millis(u64::from(milliseconds))
}

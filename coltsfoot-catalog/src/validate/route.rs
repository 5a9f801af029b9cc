//! Validation of routes and their exceptions.

use std::collections;

use coltsfoot_types::{adapter, name};

use super::SetCheck;
use crate::{object, problem, reference, state};

impl SetCheck<'_> {
    pub(super) fn route(&mut self, object: &reference::ObjectRef, route: &object::RouteObject) {
        self.well_formed(object, "name", route.name.as_str());
        self.route_access(object, route);
        self.route_bounds(object, route);
        match &route.target {
            object::RouteTarget::Service { service } => {
                self.well_formed(object, "target.service", service.as_str());
            }
            object::RouteTarget::Model { adapter, version } => {
                if self.adapter_version(object, "target", adapter, *version) {
                    self.route_owners(object, route, adapter);
                }
            }
        }
    }

    fn route_access(&mut self, object: &reference::ObjectRef, route: &object::RouteObject) {
        let customers = state::route_customers(route);
        let distinct: collections::BTreeSet<_> = customers.iter().collect();
        if customers.is_empty() || distinct.len() != customers.len() {
            self.report(object, "access", problem::ObjectProblem::CustomerList);
        }
        for customer in distinct {
            self.customer_exists(object, "access", customer);
        }
    }

    fn route_bounds(&mut self, object: &reference::ObjectRef, route: &object::RouteObject) {
        let Some(policy) = self.require_policy(object) else { return };
        let output = route.max_output_tokens.into();
        self.bounds(object, "max_output_tokens", output, 1, policy.max_output_tokens.into());
        let deadline = route.deadline_ms.into();
        self.bounds(object, "deadline_ms", deadline, 1, policy.max_deadline_ms.into());
    }

    /// Checks that each customer of the route without an exception owns the route's adapter.
    fn route_owners(
        &mut self,
        object: &reference::ObjectRef,
        route: &object::RouteObject,
        adapter: &name::AdapterName,
    ) {
        for customer in state::route_customers(route) {
            if self.state.exception(&route.name, customer).is_none() {
                self.adapter_owner(object, "access", adapter, customer);
            }
        }
    }

    /// Checks that the customer owns the adapter that its requests run on.
    fn adapter_owner(
        &mut self,
        object: &reference::ObjectRef,
        field: &'static str,
        adapter: &name::AdapterName,
        customer: &name::CustomerName,
    ) {
        let Some(stored) = self.state.adapters.get(adapter) else { return };
        if stored.customer == *customer {
            return;
        }
        let problem = problem::ObjectProblem::ForeignAdapter {
            customer: customer.clone(),
            adapter: adapter.clone(),
            owner: stored.customer.clone(),
        };
        self.report(object, field, problem);
    }

    /// Checks that an adapter and its version exist.
    fn adapter_version(
        &mut self,
        object: &reference::ObjectRef,
        field: &'static str,
        adapter: &name::AdapterName,
        version: Option<u32>,
    ) -> bool {
        let Some(stored) = self.state.adapters.get(adapter) else {
            let missing = reference::ObjectRef::new(object::ObjectKind::Adapter, adapter.as_str());
            self.report(object, field, problem::ObjectProblem::MissingReference(missing));
            return false;
        };
        match version.filter(|version| !stored.versions.contains(version)) {
            None => true,
            Some(version) => {
                let missing = adapter::AdapterVersion { adapter: adapter.clone(), version };
                self.report(object, field, problem::ObjectProblem::MissingVersion(missing));
                false
            }
        }
    }

    pub(super) fn exception(
        &mut self,
        object: &reference::ObjectRef,
        exception: &object::RouteException,
    ) {
        self.well_formed(object, "name", exception.name.as_str());
        self.customer_exists(object, "customer", &exception.customer);
        self.exception_bounds(object, exception);
        let Some(stored) = self.state.routes.get(&exception.route) else {
            let missing = state::route_ref(&exception.route);
            self.report(object, "route", problem::ObjectProblem::MissingReference(missing));
            return;
        };
        let route = &stored.object;
        let names = self.state.route_exceptions.get(&exception.route);
        let holder = names.and_then(|names| names.get(&exception.customer));
        if let Some(holder) = holder.filter(|holder| **holder != exception.name) {
            let problem = problem::ObjectProblem::DuplicateException(holder.clone());
            self.report(object, "customer", problem);
        }
        if !lists_customer(route, &exception.customer) {
            let problem = problem::ObjectProblem::CustomerNotOnRoute(exception.customer.clone());
            self.report(object, "customer", problem);
        }
        self.exception_target(object, exception, route);
    }

    fn exception_bounds(
        &mut self,
        object: &reference::ObjectRef,
        exception: &object::RouteException,
    ) {
        let Some(policy) = self.require_policy(object) else { return };
        if let Some(priority) = exception.priority {
            let max = policy.max_exception_priority.into();
            self.bounds(object, "priority", priority.into(), 0, max);
        }
        if let Some(tokens) = exception.max_output_tokens {
            let max = policy.max_output_tokens.into();
            self.bounds(object, "max_output_tokens", tokens.into(), 1, max);
        }
    }

    fn exception_target(
        &mut self,
        object: &reference::ObjectRef,
        exception: &object::RouteException,
        route: &object::RouteObject,
    ) {
        let object::RouteTarget::Model { adapter: original, .. } = &route.target else {
            self.exception_to_service(object, exception);
            return;
        };
        let adapter = exception.adapter.as_ref().unwrap_or(original);
        if !self.adapter_version(object, "adapter", adapter, exception.version) {
            return;
        }
        self.adapter_owner(object, "adapter", adapter, &exception.customer);
        let base_model = |name| self.state.adapters.get(name).map(|stored| &stored.base_model);
        let original_model = base_model(original);
        if original_model.is_some() && base_model(adapter) != original_model {
            let problem = problem::ObjectProblem::OtherBaseModel(adapter.clone());
            self.report(object, "adapter", problem);
        }
    }

    fn exception_to_service(
        &mut self,
        object: &reference::ObjectRef,
        exception: &object::RouteException,
    ) {
        let fields = [
            ("adapter", exception.adapter.is_some()),
            ("version", exception.version.is_some()),
            ("max_output_tokens", exception.max_output_tokens.is_some()),
        ];
        for (field, _) in fields.into_iter().filter(|(_, present)| *present) {
            self.report(object, field, problem::ObjectProblem::NotForService);
        }
    }
}

fn lists_customer(route: &object::RouteObject, customer: &name::CustomerName) -> bool {
    match &route.access {
        object::RouteAccess::Open { .. } => false,
        object::RouteAccess::Customers(customers) => customers.contains(customer),
    }
}

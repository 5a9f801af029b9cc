//! Whole-set validation. A change costs by the objects that it touches and those that refer to
//! them, not by the size of the set.

use std::collections;

use coltsfoot_types::{adapter, name};

use crate::{digest, object, problem, reference, state};

/// Name of the only policy.
pub const POLICY_NAME: &str = "fleet";
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Sum of the zones' parts of a customer, in thousandths.
const ZONE_PERMILLE_SUM: u64 = 1_000;
/// Errors that one validation reports at most.
const MAX_ERRORS: usize = 32;

/// Checks the objects touched by a change, and those that referred to them before it, in the
/// resulting state. Objects that refer to them only since the change are touched themselves.
pub(crate) fn check_touched(
    previous: &state::CatalogState,
    state: &state::CatalogState,
    touched: &collections::BTreeSet<reference::ObjectRef>,
) -> Vec<problem::ObjectError> {
    let mut affected = touched.clone();
    for object in touched {
        affected.extend(dependents(previous, object));
    }
    check_objects(state, affected.iter())
}

/// Checks all objects. The fold keeps them consistent, so that this finds nothing in its states.
pub fn check_all(state: &state::CatalogState) -> Vec<problem::ObjectError> {
    let reference = |versioned: state::VersionedObject| {
        reference::ObjectRef::new(versioned.object.kind(), versioned.object.name())
    };
    let objects: Vec<_> = state.objects().map(reference).collect();
    check_objects(state, objects.iter())
}

fn check_objects<'a>(
    state: &state::CatalogState,
    objects: impl Iterator<Item = &'a reference::ObjectRef>,
) -> Vec<problem::ObjectError> {
    let mut check = SetCheck { state, errors: Vec::new() };
    for object in objects {
        check.object(object);
    }
    check.errors.truncate(MAX_ERRORS);
    check.errors
}

/// Returns the objects whose consistency depends on a changed one.
fn dependents(
    state: &state::CatalogState,
    object: &reference::ObjectRef,
) -> Vec<reference::ObjectRef> {
    let name = object.name.as_str();
    match object.kind {
        object::ObjectKind::Policy => bounded_objects(state),
        object::ObjectKind::Adapter => {
            state.adapter_uses.get(name).into_iter().flatten().cloned().collect()
        }
        object::ObjectKind::Route => {
            let names = state.route_exceptions.get(name).into_iter().flat_map(|map| map.values());
            names.map(state::exception_ref).collect()
        }
        object::ObjectKind::Exception => {
            let exception = state.exceptions.get(name);
            exception.map(|stored| state::route_ref(&stored.object.route)).into_iter().collect()
        }
        object::ObjectKind::Customer | object::ObjectKind::Key => Vec::new(),
    }
}

fn bounded_objects(state: &state::CatalogState) -> Vec<reference::ObjectRef> {
    let customer = |name: &name::CustomerName| {
        reference::ObjectRef::new(object::ObjectKind::Customer, name.as_str())
    };
    let customers = state.customers.keys().map(customer);
    let routes = state.routes.keys().map(state::route_ref);
    let exceptions = state.exceptions.keys().map(state::exception_ref);
    customers.chain(routes).chain(exceptions).collect()
}

/// Collects the errors of one validation.
struct SetCheck<'a> {
    state: &'a state::CatalogState,
    errors: Vec<problem::ObjectError>,
}

impl SetCheck<'_> {
    fn object(&mut self, object: &reference::ObjectRef) {
        if self.errors.len() >= MAX_ERRORS {
            return;
        }
        let name = object.name.as_str();
        match object.kind {
            object::ObjectKind::Policy => self.policy(object),
            object::ObjectKind::Customer => match self.state.customers.get(name) {
                Some(stored) => self.customer(object, &stored.object),
                None => self.removed_customer(object),
            },
            object::ObjectKind::Key => {
                let Some(stored) = self.state.keys.get(name) else { return };
                self.key(object, &stored.object);
            }
            object::ObjectKind::Adapter => {
                let Some(stored) = self.state.adapters.get(name) else { return };
                self.adapter(object, stored);
            }
            object::ObjectKind::Route => {
                let Some(stored) = self.state.routes.get(name) else { return };
                self.route(object, &stored.object);
            }
            object::ObjectKind::Exception => {
                let Some(stored) = self.state.exceptions.get(name) else { return };
                self.exception(object, &stored.object);
            }
        }
    }

    fn report(
        &mut self,
        object: &reference::ObjectRef,
        field: &'static str,
        problem: problem::ObjectProblem,
    ) {
        self.errors.push(problem::ObjectError { object: object.clone(), field, problem });
    }

    fn bounds(
        &mut self,
        object: &reference::ObjectRef,
        field: &'static str,
        value: u64,
        least: u64,
        most: u64,
    ) {
        if !(least..=most).contains(&value) {
            let problem = problem::ObjectProblem::OutOfBounds { value, least, most };
            self.report(object, field, problem);
        }
    }

    fn well_formed(&mut self, object: &reference::ObjectRef, field: &'static str, name: &str) {
        if !is_well_formed(name) {
            self.report(object, field, problem::ObjectProblem::MalformedName);
        }
    }

    fn customer_exists(
        &mut self,
        object: &reference::ObjectRef,
        field: &'static str,
        customer: &name::CustomerName,
    ) {
        if !self.state.customers.contains_key(customer) {
            let missing =
                reference::ObjectRef::new(object::ObjectKind::Customer, customer.as_str());
            self.report(object, field, problem::ObjectProblem::MissingReference(missing));
        }
    }

    /// Returns the policy, or reports that there is none.
    fn bounding_policy(
        &mut self,
        object: &reference::ObjectRef,
    ) -> Option<std::sync::Arc<object::FleetPolicy>> {
        let policy = self.state.policy.as_ref().map(|stored| stored.object.clone());
        if policy.is_none() {
            self.report(object, "name", problem::ObjectProblem::MissingPolicy);
        }
        policy
    }

    fn policy(&mut self, object: &reference::ObjectRef) {
        let Some(stored) = &self.state.policy else { return };
        if stored.object.name.as_str() != POLICY_NAME {
            self.report(object, "name", problem::ObjectProblem::PolicyName);
        }
    }

    fn customer(&mut self, object: &reference::ObjectRef, customer: &object::CustomerObject) {
        self.well_formed(object, "name", customer.name.as_str());
        self.bounds(object, "weight", customer.weight.into(), 1, u32::MAX.into());
        for zone in customer.zone_permille.keys() {
            self.well_formed(object, "zone_permille", zone.as_str());
        }
        let sum = customer.zone_permille.values().map(|part| u64::from(*part)).sum();
        if sum != ZONE_PERMILLE_SUM {
            self.report(object, "zone_permille", problem::ObjectProblem::ZoneSum(sum));
        }
        let Some(policy) = self.bounding_policy(object) else { return };
        let rate = customer.rate_tokens_per_second;
        let most = policy.max_rate_tokens_per_second;
        self.bounds(object, "rate_tokens_per_second", rate, 1, most);
        self.bounds(object, "burst_tokens", customer.burst_tokens, 1, policy.max_burst_tokens);
    }

    fn removed_customer(&mut self, object: &reference::ObjectRef) {
        if !self.state.customer_uses.contains_key(object.name.as_str()) {
            return;
        }
        if let Some(user) = customer_user(self.state, object.name.as_str()) {
            self.report(object, "name", problem::ObjectProblem::StillReferenced(user));
        }
    }

    fn key(&mut self, object: &reference::ObjectRef, key: &object::KeyObject) {
        self.well_formed(object, "name", key.name.as_str());
        self.customer_exists(object, "customer", &key.customer);
        let Ok(digest) = key.digest.parse::<digest::KeyDigest>() else {
            self.report(object, "digest", problem::ObjectProblem::MalformedDigest);
            return;
        };
        let holder = self.state.key_names.get(&digest);
        if let Some(holder) = holder.filter(|holder| **holder != key.name) {
            let problem = problem::ObjectProblem::DuplicateDigest(digest, holder.clone());
            self.report(object, "digest", problem);
        }
    }

    fn adapter(&mut self, object: &reference::ObjectRef, adapter: &state::StoredAdapter) {
        self.well_formed(object, "name", object.name.as_str());
        self.well_formed(object, "base_model", adapter.base_model.as_str());
        self.customer_exists(object, "customer", &adapter.customer);
        let rising = adapter.versions.windows(2).all(|pair| pair[0] < pair[1]);
        if !rising || adapter.versions.first().is_none_or(|first| *first == 0) {
            self.report(object, "versions", problem::ObjectProblem::VersionOrder);
        }
    }

    fn route(&mut self, object: &reference::ObjectRef, route: &object::RouteObject) {
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
        let Some(policy) = self.bounding_policy(object) else { return };
        let output = route.max_output_tokens.into();
        self.bounds(object, "max_output_tokens", output, 1, policy.max_output_tokens.into());
        let deadline = route.deadline_ms.into();
        self.bounds(object, "deadline_ms", deadline, 1, policy.max_deadline_ms.into());
    }

    /// Checks that each customer without an exception owns the adapter of the route.
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

    /// Checks that a customer owns the adapter that it would run on.
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

    fn exception(&mut self, object: &reference::ObjectRef, exception: &object::BranchException) {
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
        exception: &object::BranchException,
    ) {
        let Some(policy) = self.bounding_policy(object) else { return };
        if let Some(priority) = exception.priority {
            let most = policy.max_exception_priority.into();
            self.bounds(object, "priority", priority.into(), 0, most);
        }
        if let Some(tokens) = exception.max_output_tokens {
            let most = policy.max_output_tokens.into();
            self.bounds(object, "max_output_tokens", tokens.into(), 1, most);
        }
    }

    fn exception_target(
        &mut self,
        object: &reference::ObjectRef,
        exception: &object::BranchException,
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
        exception: &object::BranchException,
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

fn is_well_formed(name: &str) -> bool {
    let permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(permitted)
}

fn lists_customer(route: &object::RouteObject, customer: &name::CustomerName) -> bool {
    match &route.access {
        object::RouteAccess::Open { .. } => false,
        object::RouteAccess::Customers(customers) => customers.contains(customer),
    }
}

/// Finds one object that refers to a customer.
fn customer_user(state: &state::CatalogState, customer: &str) -> Option<reference::ObjectRef> {
    let is_user = |name: &name::CustomerName| name.as_str() == customer;
    let keys =
        state.keys.values().filter(|stored| is_user(&stored.object.customer)).map(|stored| {
            reference::ObjectRef::new(object::ObjectKind::Key, stored.object.name.as_str())
        });
    let adapters = state
        .adapters
        .iter()
        .filter(|(_, stored)| is_user(&stored.customer))
        .map(|(name, _)| reference::ObjectRef::new(object::ObjectKind::Adapter, name.as_str()));
    let routes = state
        .routes
        .values()
        .filter(|stored| state::route_customers(&stored.object).iter().any(is_user))
        .map(|stored| state::route_ref(&stored.object.name));
    let exceptions = state
        .exceptions
        .values()
        .filter(|stored| is_user(&stored.object.customer))
        .map(|stored| state::exception_ref(&stored.object.name));
    keys.chain(adapters).chain(routes).chain(exceptions).next()
}

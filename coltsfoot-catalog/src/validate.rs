//! Validation of the state that a change set results in. Its cost grows with the changed objects
//! and those that refer to them, not with the size of the configuration.

mod route;

use std::collections;

use coltsfoot_types::name;

use crate::{digest, object, problem, reference, state};

/// Name of the only policy.
pub const POLICY_NAME: &str = "fleet";
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Sum of a customer's zone shares, in thousandths.
const ZONE_PERMILLE_SUM: u64 = 1_000;
/// Largest number of errors that one validation reports.
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

/// Checks all objects. A replica accepts only consistent states, so that this finds no error there.
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

/// Returns the objects whose validity depends on a changed one.
fn dependents(
    state: &state::CatalogState,
    object: &reference::ObjectRef,
) -> Vec<reference::ObjectRef> {
    let name = object.name.as_str();
    match object.kind {
        object::ObjectKind::Policy => bounded_objects(state),
        object::ObjectKind::Adapter => {
            state.adapter_referrers.get(name).into_iter().flatten().cloned().collect()
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
        min: u64,
        max: u64,
    ) {
        if !(min..=max).contains(&value) {
            let problem = problem::ObjectProblem::OutOfBounds { value, min, max };
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

    /// Returns the policy, or reports an error if there is none.
    fn require_policy(
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
        let Some(policy) = self.require_policy(object) else { return };
        let rate = customer.rate_tokens_per_second;
        let max = policy.max_rate_tokens_per_second;
        self.bounds(object, "rate_tokens_per_second", rate, 1, max);
        self.bounds(object, "burst_tokens", customer.burst_tokens, 1, policy.max_burst_tokens);
    }

    fn removed_customer(&mut self, object: &reference::ObjectRef) {
        if !self.state.customer_reference_counts.contains_key(object.name.as_str()) {
            return;
        }
        if let Some(user) = find_customer_referrer(self.state, object.name.as_str()) {
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
}

fn is_well_formed(name: &str) -> bool {
    let permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(permitted)
}

/// Finds one object that refers to a customer.
fn find_customer_referrer(
    state: &state::CatalogState,
    customer: &str,
) -> Option<reference::ObjectRef> {
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

//! The objects in persistent maps: a clone is cheap and shares what has not changed.

use std::sync;

use coltsfoot_types::{id, name};
use smallvec::SmallVec;

use crate::{digest, object, reference};

/// An object with the offset of the record that wrote it last.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedObject {
    /// Offset of the record that wrote the object last.
    pub revision: id::LogOffset,
    /// The object.
    pub object: object::CatalogObject,
}

/// A customer, key, route, exception or policy in memory.
#[derive(Clone, Debug)]
pub(crate) struct StoredObject<T> {
    pub(crate) revision: id::LogOffset,
    pub(crate) object: sync::Arc<T>,
}

/// An adapter in memory. Names are shared with the customer and the other adapters.
#[derive(Clone, Debug)]
pub(crate) struct StoredAdapter {
    pub(crate) revision: id::LogOffset,
    pub(crate) base_model: name::ModelName,
    pub(crate) customer: name::CustomerName,
    pub(crate) versions: SmallVec<[u32; 4]>,
}

/// All objects, with the indices that validation and requests need.
#[derive(Clone, Debug, Default)]
pub struct CatalogState {
    pub(crate) policy: Option<StoredObject<object::FleetPolicy>>,
    pub(crate) customers: imbl::OrdMap<name::CustomerName, StoredObject<object::CustomerObject>>,
    pub(crate) keys: imbl::OrdMap<name::KeyName, StoredObject<object::KeyObject>>,
    pub(crate) adapters: imbl::OrdMap<name::AdapterName, StoredAdapter>,
    pub(crate) routes: imbl::OrdMap<name::RouteName, StoredObject<object::RouteObject>>,
    pub(crate) exceptions: imbl::OrdMap<name::ObjectName, StoredObject<object::RouteException>>,
    pub(crate) key_names: imbl::OrdMap<digest::KeyDigest, name::KeyName>,
    pub(crate) customer_reference_counts: imbl::OrdMap<name::CustomerName, u32>,
    pub(crate) adapter_referrers:
        imbl::OrdMap<name::AdapterName, imbl::OrdSet<reference::ObjectRef>>,
    pub(crate) route_exceptions:
        imbl::OrdMap<name::RouteName, imbl::OrdMap<name::CustomerName, name::ObjectName>>,
    models: imbl::OrdSet<name::ModelName>,
}

impl CatalogState {
    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        usize::from(self.policy.is_some())
            + self.customers.len()
            + self.keys.len()
            + self.adapters.len()
            + self.routes.len()
            + self.exceptions.len()
    }

    /// Returns whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the revision of an object.
    pub fn revision(&self, object: &reference::ObjectRef) -> Option<id::LogOffset> {
        let name = object.name.as_str();
        match object.kind {
            object::ObjectKind::Policy => self.named_policy(name).map(|stored| stored.revision),
            object::ObjectKind::Customer => self.customers.get(name).map(|stored| stored.revision),
            object::ObjectKind::Key => self.keys.get(name).map(|stored| stored.revision),
            object::ObjectKind::Adapter => self.adapters.get(name).map(|stored| stored.revision),
            object::ObjectKind::Route => self.routes.get(name).map(|stored| stored.revision),
            object::ObjectKind::Exception => {
                self.exceptions.get(name).map(|stored| stored.revision)
            }
        }
    }

    /// Returns an object with its revision.
    pub fn object(&self, object: &reference::ObjectRef) -> Option<VersionedObject> {
        let name = object.name.as_str();
        match object.kind {
            object::ObjectKind::Policy => self.named_policy(name).map(policy_object),
            object::ObjectKind::Customer => self.customers.get(name).map(customer_object),
            object::ObjectKind::Key => self.keys.get(name).map(key_object),
            object::ObjectKind::Adapter => {
                let (name, stored) = self.adapters.get_key_value(name)?;
                Some(adapter_object(name, stored))
            }
            object::ObjectKind::Route => self.routes.get(name).map(route_object),
            object::ObjectKind::Exception => self.exceptions.get(name).map(exception_object),
        }
    }

    /// Returns all objects, ordered by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = VersionedObject> + '_ {
        let policy = self.policy.iter().map(policy_object);
        policy
            .chain(self.customers.values().map(customer_object))
            .chain(self.keys.values().map(key_object))
            .chain(self.adapters.iter().map(|(name, stored)| adapter_object(name, stored)))
            .chain(self.routes.values().map(route_object))
            .chain(self.exceptions.values().map(exception_object))
    }

    /// Removes an object and its index entries, if it exists.
    pub(crate) fn remove(&mut self, object: &reference::ObjectRef) {
        let name = object.name.as_str();
        match object.kind {
            object::ObjectKind::Policy => self.remove_policy(name),
            object::ObjectKind::Customer => drop(self.customers.remove(name)),
            object::ObjectKind::Key => self.remove_key(name),
            object::ObjectKind::Adapter => self.remove_adapter(name),
            object::ObjectKind::Route => self.remove_route(name),
            object::ObjectKind::Exception => self.remove_exception(name),
        }
    }

    /// Inserts an object that does not exist yet, with its index entries.
    pub(crate) fn insert(&mut self, revision: id::LogOffset, object: object::CatalogObject) {
        match object {
            object::CatalogObject::Policy(object) => {
                self.policy = Some(StoredObject { revision, object: sync::Arc::new(object) });
            }
            object::CatalogObject::Customer(object) => {
                let stored = StoredObject { revision, object: sync::Arc::new(object) };
                self.customers.insert(stored.object.name.clone(), stored);
            }
            object::CatalogObject::Key(object) => self.insert_key(revision, object),
            object::CatalogObject::Adapter(object) => self.insert_adapter(revision, object),
            object::CatalogObject::Route(object) => self.insert_route(revision, object),
            object::CatalogObject::Exception(object) => self.insert_exception(revision, object),
        }
    }

    fn named_policy(&self, name: &str) -> Option<&StoredObject<object::FleetPolicy>> {
        self.policy.as_ref().filter(|stored| stored.object.name.as_str() == name)
    }

    fn remove_policy(&mut self, name: &str) {
        if self.named_policy(name).is_some() {
            self.policy = None;
        }
    }

    fn remove_key(&mut self, name: &str) {
        let Some(stored) = self.keys.remove(name) else { return };
        self.remove_customer_reference(&stored.object.customer);
        let Ok(digest) = stored.object.digest.parse::<digest::KeyDigest>() else { return };
        if self.key_names.get(&digest) == Some(&stored.object.name) {
            self.key_names.remove(&digest);
        }
    }

    fn insert_key(&mut self, revision: id::LogOffset, object: object::KeyObject) {
        self.add_customer_reference(&object.customer);
        if let Ok(digest) = object.digest.parse::<digest::KeyDigest>() {
            self.key_names.entry(digest).or_insert_with(|| object.name.clone());
        }
        let stored = StoredObject { revision, object: sync::Arc::new(object) };
        self.keys.insert(stored.object.name.clone(), stored);
    }

    fn remove_adapter(&mut self, name: &str) {
        let Some(stored) = self.adapters.remove(name) else { return };
        self.remove_customer_reference(&stored.customer);
    }

    fn insert_adapter(&mut self, revision: id::LogOffset, object: object::AdapterObject) {
        let stored = StoredAdapter {
            revision,
            base_model: self.shared_model(object.base_model),
            customer: self.shared_customer(object.customer),
            versions: SmallVec::from_vec(object.versions),
        };
        self.add_customer_reference(&stored.customer);
        self.adapters.insert(object.name, stored);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(stored) = self.routes.remove(name) else { return };
        let object = &stored.object;
        for customer in route_customers(object) {
            self.remove_customer_reference(customer);
        }
        if let object::RouteTarget::Model { adapter, .. } = &object.target {
            self.remove_adapter_referrer(adapter, &route_ref(&object.name));
        }
    }

    fn insert_route(&mut self, revision: id::LogOffset, object: object::RouteObject) {
        for customer in route_customers(&object) {
            self.add_customer_reference(customer);
        }
        if let object::RouteTarget::Model { adapter, .. } = &object.target {
            self.add_adapter_referrer(adapter, route_ref(&object.name));
        }
        let stored = StoredObject { revision, object: sync::Arc::new(object) };
        self.routes.insert(stored.object.name.clone(), stored);
    }

    fn remove_exception(&mut self, name: &str) {
        let Some(stored) = self.exceptions.remove(name) else { return };
        let object = &stored.object;
        self.remove_customer_reference(&object.customer);
        if let Some(adapter) = &object.adapter {
            self.remove_adapter_referrer(adapter, &exception_ref(&object.name));
        }
        let Some(names) = self.route_exceptions.get_mut(&object.route) else { return };
        if names.get(&object.customer) == Some(&object.name) {
            names.remove(&object.customer);
        }
        if names.is_empty() {
            self.route_exceptions.remove(&object.route);
        }
    }

    fn insert_exception(&mut self, revision: id::LogOffset, object: object::RouteException) {
        self.add_customer_reference(&object.customer);
        if let Some(adapter) = &object.adapter {
            self.add_adapter_referrer(adapter, exception_ref(&object.name));
        }
        let names = self.route_exceptions.entry(object.route.clone()).or_default();
        names.entry(object.customer.clone()).or_insert_with(|| object.name.clone());
        let stored = StoredObject { revision, object: sync::Arc::new(object) };
        self.exceptions.insert(stored.object.name.clone(), stored);
    }

    fn add_customer_reference(&mut self, customer: &name::CustomerName) {
        *self.customer_reference_counts.entry(customer.clone()).or_default() += 1;
    }

    fn remove_customer_reference(&mut self, customer: &name::CustomerName) {
        let Some(count) = self.customer_reference_counts.get_mut(customer) else { return };
        *count -= 1;
        if *count == 0 {
            self.customer_reference_counts.remove(customer);
        }
    }

    fn add_adapter_referrer(
        &mut self,
        adapter: &name::AdapterName,
        referrer: reference::ObjectRef,
    ) {
        self.adapter_referrers.entry(adapter.clone()).or_default().insert(referrer);
    }

    fn remove_adapter_referrer(
        &mut self,
        adapter: &name::AdapterName,
        referrer: &reference::ObjectRef,
    ) {
        let Some(referrers) = self.adapter_referrers.get_mut(adapter) else { return };
        referrers.remove(referrer);
        if referrers.is_empty() {
            self.adapter_referrers.remove(adapter);
        }
    }

    fn shared_customer(&self, customer: name::CustomerName) -> name::CustomerName {
        self.customers.get_key_value(&customer).map_or(customer, |(name, _)| name.clone())
    }

    fn shared_model(&mut self, model: name::ModelName) -> name::ModelName {
        if let Some(shared) = self.models.get(&model) {
            return shared.clone();
        }
        self.models.insert(model.clone());
        model
    }
}

/// Returns the customers that a route names.
pub(crate) fn route_customers(route: &object::RouteObject) -> &[name::CustomerName] {
    match &route.access {
        object::RouteAccess::Open { charged } => std::slice::from_ref(charged),
        object::RouteAccess::Customers(customers) => customers,
    }
}

/// Refers to a route.
pub(crate) fn route_ref(name: &name::RouteName) -> reference::ObjectRef {
    reference::ObjectRef::new(object::ObjectKind::Route, name.as_str())
}

/// Refers to a branch exception.
pub(crate) fn exception_ref(name: &name::ObjectName) -> reference::ObjectRef {
    reference::ObjectRef { kind: object::ObjectKind::Exception, name: name.clone() }
}

fn policy_object(stored: &StoredObject<object::FleetPolicy>) -> VersionedObject {
    let object = object::CatalogObject::Policy((*stored.object).clone());
    VersionedObject { revision: stored.revision, object }
}

fn customer_object(stored: &StoredObject<object::CustomerObject>) -> VersionedObject {
    let object = object::CatalogObject::Customer((*stored.object).clone());
    VersionedObject { revision: stored.revision, object }
}

fn key_object(stored: &StoredObject<object::KeyObject>) -> VersionedObject {
    let object = object::CatalogObject::Key((*stored.object).clone());
    VersionedObject { revision: stored.revision, object }
}

fn adapter_object(name: &name::AdapterName, stored: &StoredAdapter) -> VersionedObject {
    let object = object::CatalogObject::Adapter(object::AdapterObject {
        name: name.clone(),
        base_model: stored.base_model.clone(),
        customer: stored.customer.clone(),
        versions: stored.versions.to_vec(),
    });
    VersionedObject { revision: stored.revision, object }
}

fn route_object(stored: &StoredObject<object::RouteObject>) -> VersionedObject {
    let object = object::CatalogObject::Route((*stored.object).clone());
    VersionedObject { revision: stored.revision, object }
}

fn exception_object(stored: &StoredObject<object::RouteException>) -> VersionedObject {
    let object = object::CatalogObject::Exception((*stored.object).clone());
    VersionedObject { revision: stored.revision, object }
}

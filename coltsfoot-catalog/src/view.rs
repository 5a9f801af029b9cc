//! The immutable view of the configuration that traffic threads read.

use coltsfoot_types::{id, name};

use crate::{digest, object, state};

/// What the configuration says about a presented key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyState<'a> {
    /// No such key.
    Unknown,
    /// The key has been revoked.
    Withdrawn,
    /// The key authenticates a customer.
    Valid(&'a object::CustomerObject, &'a name::KeyName),
}

/// The configuration at one offset of the log. Cloning is cheap.
#[derive(Clone, Debug, Default)]
pub struct CatalogView {
    offset: id::LogOffset,
    state: state::CatalogState,
}

impl CatalogView {
    /// Creates the view of a state that holds all records below `offset`.
    pub fn new(offset: id::LogOffset, state: state::CatalogState) -> Self {
        Self { offset, state }
    }

    /// Returns the offset of the next record: all records below it are in force.
    pub fn offset(&self) -> id::LogOffset {
        self.offset
    }

    /// Returns the objects.
    pub fn state(&self) -> &state::CatalogState {
        &self.state
    }

    /// Looks a presented key up by its digest.
    pub fn customer_for_key(&self, digest: &digest::KeyDigest) -> KeyState<'_> {
        let Some(name) = self.state.key_names.get(digest) else { return KeyState::Unknown };
        let Some(key) = self.state.keys.get(name) else { return KeyState::Unknown };
        if key.object.withdrawn {
            return KeyState::Withdrawn;
        }
        match self.customer(&key.object.customer) {
            Some(customer) => KeyState::Valid(customer, name),
            None => KeyState::Unknown,
        }
    }

    /// Returns whether a key that was valid before is no longer: it has been revoked or removed.
    pub fn is_withdrawn(&self, digest: &digest::KeyDigest) -> bool {
        !matches!(self.customer_for_key(digest), KeyState::Valid(..))
    }

    /// Returns a customer.
    pub fn customer(&self, name: &name::CustomerName) -> Option<&object::CustomerObject> {
        self.state.customers.get(name).map(|stored| &*stored.object)
    }

    /// Returns all customers in the order of their names.
    pub fn customers(&self) -> impl Iterator<Item = &object::CustomerObject> {
        self.state.customers.values().map(|stored| &*stored.object)
    }

    /// Returns the limits for the whole fleet.
    pub fn policy(&self) -> Option<&object::FleetPolicy> {
        self.state.policy.as_ref().map(|stored| &*stored.object)
    }

    /// Returns a route.
    pub fn route(&self, name: &str) -> Option<&object::RouteObject> {
        self.state.routes.get(name).map(|stored| &*stored.object)
    }

    /// Returns the number of adapters.
    pub fn adapter_count(&self) -> usize {
        self.state.adapters.len()
    }
}

//! References to objects by kind and name.

use std::fmt;

use coltsfoot_types::name;
use serde::{Deserialize, Serialize};

use crate::object;

/// Kind and name of an object.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ObjectRef {
    /// Kind of the object.
    pub kind: object::ObjectKind,
    /// Name of the object.
    pub name: name::ObjectName,
}

impl ObjectRef {
    /// Refers to an object by its kind and name.
    pub fn new(kind: object::ObjectKind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} \"{}\"", self.kind.as_str(), self.name)
    }
}

//! Adapter versions: what a caller asks for and what an engine reports to have run.

use std::fmt;
use std::str;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::name;

/// One version of one adapter, written `name@version`.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, DeserializeFromStr, SerializeDisplay,
)]
pub struct AdapterVersion {
    /// Name of the adapter.
    pub adapter: name::AdapterName,
    /// Version, from 1.
    pub version: u32,
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.adapter, self.version)
    }
}

/// Failure to parse a text that is not `name@version`.
#[derive(Debug, thiserror::Error)]
#[error("\"{0}\" is not an adapter version; write it as NAME@NUMBER, e.g. \"menus@3\"")]
pub struct ParseAdapterError(String);

impl str::FromStr for AdapterVersion {
    type Err = ParseAdapterError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseAdapterError(text.to_owned());
        let (adapter, version) = text.rsplit_once('@').ok_or_else(error)?;
        let version = version.parse().ok().filter(|version| *version > 0).ok_or_else(error)?;
        if adapter.is_empty() {
            return Err(error());
        }
        Ok(Self { adapter: adapter.into(), version })
    }
}

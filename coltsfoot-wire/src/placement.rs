//! Permits to run requests on engines, from the owner of an engine cell to instances.

use serde::{Deserialize, Serialize};

/// A message about permits.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum PlacementMessage {}

//! Claims of once-only calls, from instances to the claim owner of the zone.

use serde::{Deserialize, Serialize};

/// A message about claims.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimMessage {}

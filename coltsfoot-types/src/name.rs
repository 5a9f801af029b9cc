//! Names of configured objects and of machines, as cheap shared immutable strings.

use std::borrow;
use std::fmt;
use std::sync;

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

shared_name! {
    /// Name of any configured object, unique within its kind.
    ObjectName
}
shared_name! {
    /// Name of a customer: the tenant to which rate limits, API keys and fairness apply.
    CustomerName
}
shared_name! {
    /// Name of a caller key; never the key itself.
    KeyName
}
shared_name! {
    /// Name of a LoRA adapter, without its version.
    AdapterName
}
shared_name! {
    /// Name of a base model that adapters are trained for.
    ModelName
}
shared_name! {
    /// Name of a route that callers address.
    RouteName
}
shared_name! {
    /// Name of a plain service beside the model engines.
    ServiceName
}
shared_name! {
    /// Name of an entry instance: one run of the daemon. A restarted daemon has a new name.
    InstanceName
}
shared_name! {
    /// Name of an upstream: a model engine or a plain service process.
    UpstreamName
}
shared_name! {
    /// Name of an availability zone.
    ZoneName
}
shared_name! {
    /// Name of a resource that one instance of a zone owns at a time, such as a customer's bucket,
    /// an engine cell or a shard of claims.
    ResourceName
}

//! Validation errors with the object, the field and the remedy.

use coltsfoot_types::{adapter, id, name};

use crate::{digest, reference};

/// An invalid field of an object in the resulting state.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{object}, field `{field}`: {problem}")]
pub struct ObjectError {
    /// The invalid object.
    pub object: reference::ObjectRef,
    /// The invalid field, `name` if the problem concerns the object as a whole.
    pub field: &'static str,
    /// The problem and its remedy.
    pub problem: ObjectProblem,
}

/// A problem of a field, displayed with its remedy.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ObjectProblem {
    /// The name has forbidden characters or a wrong length.
    #[error("the name is malformed; use 1 to 64 of a-z, A-Z, 0-9, `-`, `_` and `.`")]
    MalformedName,
    /// The policy is not named [`crate::validate::POLICY_NAME`].
    #[error("there is one policy; call it \"fleet\"")]
    PolicyName,
    /// Objects that need the policy's limits exist without a policy.
    #[error("there is no policy; publish the policy \"fleet\" in the same set or before")]
    MissingPolicy,
    /// The object refers to one that does not exist.
    #[error("{0} does not exist; publish it in the same set or correct the name")]
    MissingReference(reference::ObjectRef),
    /// The object was removed and another one refers to it.
    #[error("{0} still refers to it; remove or change that one in the same set")]
    StillReferenced(reference::ObjectRef),
    /// The adapter has no such version.
    #[error("{0} does not exist; name a version that the adapter lists")]
    MissingVersion(adapter::AdapterVersion),
    /// A number lies outside its bounds.
    #[error("{value} is not between {min} and {max}; choose a value inside these bounds")]
    OutOfBounds {
        /// The value.
        value: u64,
        /// The smallest permitted value.
        min: u64,
        /// The largest permitted value.
        max: u64,
    },
    /// The shares of the zones do not sum to 1,000.
    #[error("the parts sum to {0}; make them sum to 1000")]
    ZoneSum(u64),
    /// The digest is malformed.
    #[error("the digest is malformed; give the BLAKE3 digest of the key as 64 hexadecimal digits")]
    MalformedDigest,
    /// Another key has the same digest.
    #[error("the digest {0} is that of key \"{1}\"; grant a key of its own")]
    DuplicateDigest(digest::KeyDigest, name::KeyName),
    /// The versions are empty or not strictly increasing from 1.
    #[error("list at least one version, each from 1 and higher than the one before it")]
    VersionOrder,
    /// The route lists no customer, or one twice.
    #[error("list at least one customer, and each one once")]
    CustomerList,
    /// The customer would run on another customer's adapter.
    #[error(
        "customer \"{customer}\" would run on adapter \"{adapter}\" of customer \"{owner}\"; \
         give it an exception with an adapter of its own or take it off the route"
    )]
    ForeignAdapter {
        /// The customer permitted by the route.
        customer: name::CustomerName,
        /// The adapter that it would run on.
        adapter: name::AdapterName,
        /// The customer that owns the adapter.
        owner: name::CustomerName,
    },
    /// The exception replaces the adapter by one for another base model.
    #[error("adapter \"{0}\" is for another base model; name one for the route's base model")]
    OtherBaseModel(name::AdapterName),
    /// The exception is for a customer that the route does not list.
    #[error("the route does not list customer \"{0}\"; permit it there or remove the exception")]
    CustomerNotOnRoute(name::CustomerName),
    /// The field does not apply to a route to a plain service.
    #[error("the route leads to a plain service; leave the field out")]
    NotForService,
    /// The customer has another exception to the same route.
    #[error("exception \"{0}\" is for the same customer and route; change that one")]
    DuplicateException(name::ObjectName),
    /// The expected revision is not the current one.
    #[error("{}", conflict_text(.expected, .current))]
    RevisionConflict {
        /// The revision that the set expects.
        expected: Option<id::LogOffset>,
        /// The current revision.
        current: Option<id::LogOffset>,
    },
    /// The set changes the object twice.
    #[error("the set changes the object more than once; join the changes into one")]
    RepeatedChange,
}

fn conflict_text(expected: &Option<id::LogOffset>, current: &Option<id::LogOffset>) -> String {
    match (expected, current) {
        (None, Some(current)) => {
            format!("the object exists; read it and name its revision {current}")
        }
        (Some(expected), None) => {
            format!(
                "the object of revision {expected} was removed; leave the revision out to create it"
            )
        }
        _ => {
            let text = |revision: &Option<id::LogOffset>| {
                revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string())
            };
            let (expected, current) = (text(expected), text(current));
            format!(
                "revision {expected} is not current, another operator wrote revision {current}; \
                 read the object again and repeat the change"
            )
        }
    }
}

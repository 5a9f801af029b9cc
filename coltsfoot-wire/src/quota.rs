//! Grants of a customer's tokens, from the owner of its zone bucket to instances.

use std::time;

use coltsfoot_types::name;
use serde::{Deserialize, Serialize};

/// A message about a customer's tokens.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum QuotaMessage {
    /// Asks the owner for tokens.
    Request {
        /// The customer.
        customer: name::CustomerName,
        /// Tokens wanted.
        tokens: u64,
    },
    /// Gives tokens, already debited from the bucket.
    Grant {
        /// The customer.
        customer: name::CustomerName,
        /// Tokens given; zero says when to ask again.
        tokens: u64,
        /// Time until unspent tokens expire, measured from when the request was sent.
        lifetime: time::Duration,
        /// Time until the wanted tokens will be there, if they were not.
        retry_after: time::Duration,
    },
}

//! Vocabulary shared by all packages: names, identifiers, instants and refusal reasons.
//!
//! The types carry no behaviour beyond parsing, formatting and arithmetic, so that every decision
//! package can be embedded without sockets, threads or wall clocks.

pub mod adapter;
pub mod id;
pub mod name;
pub mod refusal;
pub mod time;

//! Types shared by all packages: names, identifiers, instants and refusal reasons.
//!
//! The types only parse, format and do arithmetic, so that the packages that decide on them can be
//! embedded without sockets, threads or wall clocks.

pub mod adapter;
pub mod id;
pub mod name;
pub mod refusal;
pub mod time;

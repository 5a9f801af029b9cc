//! Messages between the system's own processes, encoded with `postcard` and authenticated.
//!
//! Each concern has a module of its own message types; [`peer::PeerMessage`] joins them.

pub mod codec;
pub mod config;
pub mod contact;
pub mod fleet;
pub mod member;
pub mod once;
pub mod peer;
pub mod placement;
pub mod quota;

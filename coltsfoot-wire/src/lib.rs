//! Messages between instances, encoded with `postcard`. Those of [`peer::PeerMessage`] are
//! authenticated by [`codec::MessageCodec`].
//!
//! Each subsystem has a module of its own; [`peer::PeerMessage`] and [`fleet::FleetMessage`] are
//! the top-level messages.

pub mod codec;
pub mod config;
pub mod contact;
pub mod fleet;
pub mod member;
pub mod once;
pub mod peer;
pub mod placement;
pub mod quota;
pub mod tunnel;

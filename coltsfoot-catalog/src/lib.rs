//! Configuration: named objects, validation of change sets and replicas of the configuration log.
//!
//! Every instance applies the records of the log in offset order with the same deterministic
//! function, see [`replica::CatalogReplica`]. [`follower::ConfigFollower`] decides when an instance
//! reads the log, queries peers and writes snapshots. Traffic threads read immutable views, see
//! [`view::CatalogView`].

mod catch_up;
pub mod digest;
pub mod feed;
pub mod follower;
mod gossip;
pub mod object;
pub mod problem;
pub mod reference;
pub mod replica;
pub mod resolve;
mod schedule;
pub mod snapshot;
pub mod state;
pub mod validate;
pub mod view;

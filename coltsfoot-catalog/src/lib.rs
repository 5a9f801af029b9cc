//! Configuration: named objects, whole-set validation and the fold of the configuration log.
//!
//! Every instance folds the records of the log in the order of their offsets with the same
//! deterministic function, see [`replica::CatalogReplica`]. [`follower::ConfigFollower`] decides when an
//! instance reads the log, asks peers and writes snapshots. Traffic threads read immutable views, see
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

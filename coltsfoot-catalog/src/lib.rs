//! Configuration: named objects, whole-set validation and the fold of the configuration log.
//!
//! Every instance folds the records of the log in the order of their offsets with the same
//! deterministic function, see [`fold::CatalogFold`]. Traffic threads read immutable views, see
//! [`view::CatalogView`].

pub mod digest;
pub mod fold;
pub mod object;
pub mod problem;
pub mod reference;
pub mod resolve;
pub mod snapshot;
pub mod state;
pub mod validate;
pub mod view;

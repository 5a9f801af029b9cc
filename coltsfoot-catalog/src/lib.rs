//! Configuration: named objects, whole-set validation and the fold of the configuration log.

pub mod object;

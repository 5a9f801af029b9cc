//! Load for the measure of the whole path.

pub mod load;

//! Trials of the configuration: on a fleet of followers, and at full size.

pub mod change_text;
pub mod fleet_trial;
pub mod size_trial;

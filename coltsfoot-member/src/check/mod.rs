//! Randomised schedules of one zone in virtual time, with the invariants of ownership checked.
//!
//! Tests and measures drive [`ScheduleRun`]; an embedder can check its own
//! [`crate::settings::TimingSettings`] with it. A seed reproduces a run.

pub mod audit;
pub mod fault;
mod injection;
mod instance;
mod platform;
mod queue;
pub mod schedule;
mod traffic;
mod transport;

pub use schedule::ScheduleRun;

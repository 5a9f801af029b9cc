//! Randomised simulation of one zone in virtual time, which checks the invariants of ownership.
//!
//! Tests and benchmarks drive [`ScheduleRun`]; an embedder can check its own
//! [`crate::settings::TimingSettings`] with it. Runs are reproducible by seed.

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

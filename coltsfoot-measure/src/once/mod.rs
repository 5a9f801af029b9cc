//! Random schedules of once-only calls, and the latency of their claims.

pub mod caller;
pub mod instance;
pub mod latency;
pub mod log;
mod network;
mod plan;
pub mod queue;
pub mod result;
pub mod schedule;
pub mod upstream;
pub mod world;

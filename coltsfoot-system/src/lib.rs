//! Whole deployments for system tests, the demo and measures: as separate processes on loopback or
//! embedded in one process.

pub mod caller;
pub mod cluster;
pub mod embedded;
pub mod process;
pub mod relay;
pub mod sample;

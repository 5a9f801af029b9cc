//! Placement of adapters, measured against instances that act alone and a clairvoyant limit.

pub mod baseline;
pub mod clock_cost;
pub mod engine_model;
pub mod event_queue;
pub mod fleet;
pub mod limit;
pub mod store_model;
pub mod tally;
pub mod trace;
pub mod workload;

//! Adapters on engines: residency, pins, loads, permits and batches of an engine cell.
//!
//! [`cell::EngineCell`] decides for a few engines of one zone and base model, and
//! [`agent::PermitAgent`] speaks for an instance to the owners of cells. Both are state machines
//! without I/O; times and lease facts are passed in.

pub mod agent;
pub mod budget;
pub mod cell;
pub mod event;
pub mod settings;

mod admission;
mod agent_event;
mod engine;
mod engine_orders;
mod eviction;
mod grant_pool;
mod ledger_event;
mod loading;
mod pending_request;
mod permits;
mod popularity;
mod replication;
mod report;
mod residency_cache;
mod routing;
mod service_time;
mod takeover;

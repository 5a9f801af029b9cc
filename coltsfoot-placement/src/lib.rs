//! Placement of adapters on engines: residency, pins, loads, permits and batches.
//!
//! [`cell::EngineCell`] schedules a small group of engines of one zone and base model.
//! [`agent::PermitAgent`] runs on each instance and requests permits from the owners of cells.
//! [`budget::LoadLedger`] limits a zone's loads. All three are state machines without I/O; the
//! caller passes in the time and the state of leases.

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

//! Fakes of the model engine, the log, the weight store, the instance list and a plain HTTP
//! service, each with switches that inject faults. Many run in one process of a test or the demo.

pub mod answer;
mod batch;
mod control;
pub mod engine;
mod engine_calls;
mod engine_chat;
mod engine_state;
pub mod fleet;
mod gate;
mod lag;
pub mod list;
pub mod log;
pub mod residency;
mod run;
mod server;
pub mod service;
pub mod store;
mod stream;

use std::sync;

/// Executor shared by all fakes of a process.
pub type SharedExecutor = sync::Arc<async_executor::Executor<'static>>;

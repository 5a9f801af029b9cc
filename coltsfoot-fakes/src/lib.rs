//! Stand-ins of the model engine, the log, the weight store, the instance list and a plain
//! service, each with switches for its faults. They run inside tests and the demo, many at a time.

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

/// The executor that a stand-in runs on.
pub type SharedExecutor = sync::Arc<async_executor::Executor<'static>>;

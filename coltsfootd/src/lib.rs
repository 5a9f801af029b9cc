//! The daemon of one entry instance, as a library that tests and tools can embed.

pub mod answer;
mod caller_stream;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod event;
mod front;
pub mod gateway;
pub mod logs;
pub mod metrics;
mod operator;
mod peers;
mod request_digest;
mod server;
pub mod settings;
mod shared;
pub mod task;

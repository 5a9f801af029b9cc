//! The daemon of one entry instance, as a library so that others can embed it.

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

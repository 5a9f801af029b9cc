//! Clients of the platform's services, the engines and the plain services, over HTTP.

pub mod engine;
pub mod error;
pub mod http;
mod json;
pub mod list;
pub mod log;
pub mod prefix;
pub mod protocol;
pub mod sse;

//! Retries while a third of the upstreams fail, and requests that crash whatever runs them.

pub mod fleet;
pub mod world;

//! Retries while a third of the upstreams fail, and requests that crash whatever runs them.

pub mod answer;
pub mod fleet;
pub mod result;
pub mod world;

//! A model of gateways and model engines under a burst, with the gateways' own decisions. Engines are
//! small functions of the figures that the users publish for their engines.

pub mod arrivals;
pub mod engine;
pub mod instance;
pub mod world;

use coltsfoot_types::time as clock;

/// Returns an instant of the model.
pub fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

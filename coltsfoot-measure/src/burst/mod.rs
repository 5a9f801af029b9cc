//! A model of gateways and model engines under a burst, with the gateways' own decisions. Engines are
//! small functions of the figures that the users publish for their engines.

pub mod arrivals;
pub mod engine;
pub mod instance;
pub mod world;

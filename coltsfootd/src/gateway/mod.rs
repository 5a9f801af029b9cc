//! A gateway that reads whole requests and forwards them to upstreams of the site's platform.
//!
//! This module holds the I/O. The decision logic is in `coltsfoot-gateway`, the platform's names
//! and formats are in `site-platform`.

mod adoption;
mod archive;
mod attempt;
mod caller_table;
mod callers;
mod cold;
mod crashes;
mod engines;
mod estimates;
mod exchange;
mod failover;
mod fleet;
mod follower;
mod forwarding;
mod heartbeats;
mod in_flight;
mod intake;
mod lease;
mod loads;
mod memory;
mod metrics;
mod news;
mod operator_ports;
mod origins;
mod parts;
mod paths;
mod pending_calls;
mod permits;
mod relay;
mod reload;
mod request_log;
mod run;
mod serving_memory;
mod state;
mod stop;
mod tunnels;
mod upstream_attempt;

pub use run::{GatewayError, GatewaySignal, run, run_until_signal};

/// Port of the metrics if the command line names none.
pub const DEFAULT_METRICS_PORT: u16 = 9464;

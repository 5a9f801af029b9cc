//! An instance that forwards whole requests on the users' platform.
//!
//! Decisions are in `coltsfoot-gateway`; the platform's names and formats in `site-platform`.

mod asks;
mod attempt;
mod beats;
mod callers;
mod crashes;
mod engines;
mod exchange;
mod fleet;
mod follower;
mod forwarding;
mod intake;
mod lease;
mod loads;
mod metrics;
mod news;
mod permits;
mod relay;
mod reload;
mod request_log;
mod run;
mod state;
mod under_way;

pub use run::{GatewayError, GatewaySignal, run, run_until_signal};

/// Port on which metrics are served where the command line names none.
pub const DEFAULT_METRICS_PORT: u16 = 9464;

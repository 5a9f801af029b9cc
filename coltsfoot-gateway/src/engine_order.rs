//! Orders to an engine, its answers, and the next step of the engine's controller.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;

use crate::demand;

/// Fraction (1/n) of the concurrency limit by which the first fetch of an instance may exceed it.
const FIRST_FETCH_DIVISOR: u32 = 8;

/// A command that changes what an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Load the base model.
    LoadModel(sync::Arc<str>),
    /// Load an adapter, or replace it with a newer version.
    LoadAdapter {
        /// The adapter.
        name: demand::AdapterName,
        /// The version to load; `None` for the newest.
        version: Option<u64>,
    },
    /// Unload an adapter.
    UnloadAdapter(demand::AdapterName),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine carries the order out.
    Accepted,
    /// The requested state holds already.
    Holds,
    /// Another order is in progress, or the order count differs from the expected one.
    Conflict,
    /// The engine refused the order for another reason, or could not be reached.
    Refused,
    /// No answer arrived; the engine may still carry the order out.
    Unknown,
}

impl OrderAnswer {
    /// Returns a short name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// What the owner of an engine may do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderConstraints {
    /// Whether orders may be sent at all.
    pub may_order: bool,
    /// Whether an adapter may be fetched from the weight store.
    pub may_fetch: bool,
    /// Minimum time between two report queries; zero if the engine announced no request limit.
    pub min_report_interval: time::Duration,
}

/// Load of the weight store, which slows all fetches down above a number of concurrent ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchLoad {
    /// Fetches in flight, without the one that may start.
    pub in_flight: u32,
    /// Concurrent fetches that the weight store serves at full speed.
    pub concurrency_limit: u32,
    /// Duration of a fetch at full speed.
    pub fetch_time: time::Duration,
}

impl FetchLoad {
    /// Returns whether an instance with `own` of the fetches in flight may start another. An instance
    /// without any may exceed the limit slightly, so that the others do not starve it.
    pub fn may_fetch(&self, own: u32) -> bool {
        let first = self.concurrency_limit + self.concurrency_limit.div_ceil(FIRST_FETCH_DIVISOR);
        self.in_flight < if own == 0 { first } else { self.concurrency_limit }
    }

    /// Returns the expected duration of a fetch that starts now.
    pub fn expected_time(&self) -> time::Duration {
        let slowdown = f64::from(self.in_flight + 1) / f64::from(self.concurrency_limit.max(1));
        self.fetch_time.mul_f64(slowdown.max(1.0))
    }
}

/// Next step of the controller of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControllerStep {
    /// Send an order together with the order count that the engine must have.
    Order {
        /// The order.
        order: EngineOrder,
        /// Orders that the engine accepted before.
        expected_count: u64,
    },
    /// Query a report.
    Report,
    /// Wait until this time, which is in the future, or for the next load request.
    Wait(clock::MonotonicTime),
}

//! Orders to an engine, its answers, and what an owner does next.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;

use crate::demand;

/// Part of the bound on fetches by which the first fetch of an instance may exceed it.
const FIRST_FETCH_PART: u32 = 8;

/// An order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Load the base model.
    LoadModel(sync::Arc<str>),
    /// Load an adapter, or replace it by a newer version.
    LoadAdapter {
        /// The adapter.
        name: demand::AdapterName,
        /// The version; the newest where none was named.
        version: Option<u64>,
    },
    /// Unload an adapter.
    UnloadAdapter(demand::AdapterName),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is under way, or the number of orders differs from what was expected.
    Conflict,
    /// It was refused for another reason.
    Refused,
    /// No answer came; the order may be carried out later.
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

/// What the owner may do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderConstraints {
    /// Whether orders may be given at all.
    pub may_order: bool,
    /// Whether an adapter may be fetched from the weight store.
    pub may_fetch: bool,
    /// Time between reports at least; zero if the engine named no limit.
    pub min_report_interval: time::Duration,
}

/// Load of the weight store, which slows all fetches down beyond a number of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchLoad {
    /// Fetches under way, without the one that is asked about.
    pub in_flight: u32,
    /// Fetches that run at once at full speed.
    pub concurrency_limit: u32,
    /// Time of a fetch at full speed.
    pub fetch_time: time::Duration,
}

impl FetchLoad {
    /// Returns whether an instance, `own` of whose fetches are among those under way, may begin another.
    /// One without any may exceed the bound a little, so that it is not shut out by the others.
    pub fn may_fetch(&self, own: u32) -> bool {
        let first = self.concurrency_limit + self.concurrency_limit.div_ceil(FIRST_FETCH_PART);
        self.in_flight < if own == 0 { first } else { self.concurrency_limit }
    }

    /// Returns how long a fetch takes that begins now.
    pub fn expected_time(&self) -> time::Duration {
        let slowdown = f64::from(self.in_flight + 1) / f64::from(self.concurrency_limit.max(1));
        self.fetch_time.mul_f64(slowdown.max(1.0))
    }
}

/// What to do next for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControllerStep {
    /// Give an order that names the number of orders before it.
    Order {
        /// The order.
        order: EngineOrder,
        /// Orders accepted before it.
        expected_count: u64,
    },
    /// Fetch a report.
    Report,
    /// Wait until then, or for a question.
    Wait(clock::MonotonicTime),
}

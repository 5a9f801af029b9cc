//! Orders to an engine, its answers, and what an owner does next.

use std::sync;

use coltsfoot_types::time as clock;

use crate::demand;

/// Adapters that the weight store delivers at once at full speed, in a small fleet and by the engine.
/// No record tells it; these fit the sites, 8 for 12 engines and 24 for 60.
const MIN_FULL_SPEED: u32 = 8;
const FULL_SPEED_PER_ENGINE: f64 = 0.4;

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
pub struct OrderLeave {
    /// Whether orders may be given at all.
    pub may_order: bool,
    /// Whether an adapter may be fetched from the weight store.
    pub may_fetch: bool,
}

/// Load of the weight store, which slows all fetches down beyond a number of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchLoad {
    /// Fetches of the engines of other instances.
    pub others: u32,
    /// Fetches that run at once at full speed.
    pub full_speed: u32,
}

impl FetchLoad {
    /// Creates the load in a fleet of so many engines.
    pub fn new(others: u32, engines: usize) -> Self {
        let full_speed = (engines as f64 * FULL_SPEED_PER_ENGINE) as u32;
        Self { others, full_speed: full_speed.max(MIN_FULL_SPEED) }
    }

    /// Returns whether an instance with `own` fetches may begin another. One without any has one to
    /// itself, unless many have.
    pub fn may_fetch(&self, own: u32) -> bool {
        let most = self.full_speed;
        own + self.others < most || (own == 0 && self.others < 2 * most)
    }

    /// Returns by how much fetches take longer if there are `own` beside those of the others.
    pub fn slowdown(&self, own: u32) -> f64 {
        (f64::from(self.others + own) / f64::from(self.full_speed)).max(1.0)
    }
}

/// What to do next for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DeskStep {
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

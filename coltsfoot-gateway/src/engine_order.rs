//! Orders to an engine, its answers, and what an owner does next.

use std::sync;

use coltsfoot_types::time as clock;

use crate::demand;

/// Adapters that the weight store delivers at once at full speed.
pub const FULL_SPEED_FETCHES: f64 = 8.0;

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

/// Returns whether another adapter may be fetched from the weight store, which slows all fetches
/// down beyond a number: `own` are those of this instance, `others` those of the others. An
/// instance without any has one to itself, unless many have.
pub fn may_fetch(own: u32, others: u32) -> bool {
    let most = FULL_SPEED_FETCHES as u32;
    own + others < most || (own == 0 && others < 2 * most)
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

//! Counts of a run.

use std::collections;

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct RetriesResult {
    pub requests: u64,
    pub sends: u64,
    /// Idempotent requests without a poison, and how many of them were answered.
    pub innocent: u64,
    pub answered: u64,
    pub retries: collections::BTreeMap<&'static str, u64>,
    pub refusals: collections::BTreeMap<&'static str, u64>,
    /// Sends per second at most, over the requests per second.
    pub peak_amplification: f64,
    pub crashes: u64,
    pub max_crashes_per_poison: u64,
    pub innocents_quarantined: u64,
}

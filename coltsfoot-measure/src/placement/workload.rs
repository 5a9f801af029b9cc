//! Workload files.

use std::fs;
use std::io;
use std::path;

use serde::Deserialize;

use crate::cmd;

/// Sizes and rates of a workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementWorkload {
    /// Name.
    pub name: String,
    /// Zones.
    pub zones: Vec<String>,
    /// Delay between two zones, one way, in microseconds.
    pub zone_delay_us: u64,
    /// Engines of each zone.
    pub engines_per_zone: usize,
    /// Adapters that an engine holds.
    pub slots: u32,
    /// Requests that an engine runs at a time.
    pub batch_size: u32,
    /// Adapters.
    pub adapters: usize,
    /// Exponent of the popularity by rank.
    pub skew: f64,
    /// Customers; the adapters are divided among them.
    pub customers: usize,
    /// Requests per second over all zones.
    pub requests_per_second: f64,
    /// Time at the start that is not measured, in seconds.
    pub warmup_s: u64,
    /// Time in which requests arrive, in seconds.
    pub duration_s: u64,
    /// Mean length of a prompt, in tokens.
    pub prompt_tokens: u32,
    /// Mean length of an output, in tokens.
    pub output_tokens: u32,
    /// Time of a decoding step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Additional time of a step for each request, in microseconds.
    pub step_us_per_request: u64,
    /// Time until the first token, in steps.
    pub prefill_steps: f64,
    /// Time until the first token with a cached prefix, in steps.
    pub prefix_hit_steps: f64,
    /// Prompt prefixes in use for each adapter.
    pub prefixes_per_adapter: u64,
    /// Prefixes that an engine caches.
    pub prefix_cache_entries: usize,
    /// Loads that the store starts per second.
    pub loads_per_second: f64,
    /// Time of a load, in milliseconds.
    pub load_ms: u64,
    /// Loads in flight from which on each takes proportionally longer.
    pub loads_in_flight: u32,
    /// Interval of the engines' reports, in milliseconds.
    pub report_interval_ms: u64,
    /// Lag of the engines' reports, in milliseconds.
    pub report_lag_ms: u64,
}

impl PlacementWorkload {
    /// Reads a workload file; Korrigan's if none is named.
    pub fn read(file: Option<&path::Path>) -> Result<Self, cmd::MeasureError> {
        let Some(file) = file else {
            return Self::parse(include_str!("../../workloads/korrigan.json"))
                .map_err(|source| Self::error("korrigan.json".into(), source));
        };
        let text =
            fs::read_to_string(file).map_err(|source| Self::error(file.to_owned(), source))?;
        Self::parse(&text).map_err(|source| Self::error(file.to_owned(), source))
    }

    /// Returns the number of engines.
    pub fn engines(&self) -> usize {
        self.zones.len() * self.engines_per_zone
    }

    fn parse(text: &str) -> Result<Self, io::Error> {
        Ok(serde_json::from_str(text)?)
    }

    fn error(path: path::PathBuf, source: io::Error) -> cmd::MeasureError {
        cmd::MeasureError::Workload { path, source }
    }
}

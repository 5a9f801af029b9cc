//! Settings of engine cells and permit agents.

use std::time;

/// Settings of an engine cell.
#[derive(Clone, Debug, bon::Builder)]
pub struct CellSettings {
    /// Maximum number of requests waiting in the cell.
    #[builder(default = 4096)]
    pub max_waiting: usize,
    /// Time within which an instance must send the attempt that a permit allows.
    #[builder(default = time::Duration::from_secs(2))]
    pub send_within: time::Duration,
    /// Maximum time an engine runs one request. A pin that is never released expires after it.
    #[builder(default = time::Duration::from_secs(60))]
    pub max_request_time: time::Duration,
    /// Maximum delay of an engine's report behind its actual state.
    #[builder(default = time::Duration::from_secs(2))]
    pub max_report_lag: time::Duration,
    /// Load attempts before the waiting requests are refused.
    #[builder(default = 3)]
    pub load_attempts: u32,
    /// Delay before the second load attempt; doubles with each further attempt.
    #[builder(default = time::Duration::from_millis(250))]
    pub load_backoff: time::Duration,
    /// Time for which requests are refused immediately after the last load attempt failed.
    #[builder(default = time::Duration::from_secs(5))]
    pub failed_load_cooldown: time::Duration,
    /// Half-life of an adapter's decayed request count.
    #[builder(default = time::Duration::from_secs(3600))]
    pub popularity_half_life: time::Duration,
    /// Interval between retries of unanswered requests for load grants and permit reports.
    #[builder(default = time::Duration::from_millis(200))]
    pub retry_interval: time::Duration,
    /// Batch utilisation in percent: once all engines that hold an adapter reach it, the adapter
    /// gets another replica.
    #[builder(default = 90)]
    pub replica_fill_percent: u32,
    /// Whether batches are packed or spread.
    #[builder(default)]
    pub packing: BatchPacking,
}

/// Whether batches are packed or spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchPacking {
    /// Whether new work goes to the fullest batch that has room instead of the emptiest.
    pub is_enabled: bool,
    /// A load goes to the fullest batch among the engines whose eviction victim scores at most
    /// this factor times the lowest victim score, plus [`Self::score_margin`].
    pub score_factor: f64,
    /// Margin added to the scaled lowest victim score, in requests per half-life.
    pub score_margin: f64,
}

impl Default for BatchPacking {
    fn default() -> Self {
        Self { is_enabled: true, score_factor: 1.2, score_margin: 0.5 }
    }
}

impl Default for CellSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Settings of a permit agent.
#[derive(Clone, Debug, bon::Builder)]
pub struct AgentSettings {
    /// Time after a grant for which the residency that it shows counts as confirmed.
    #[builder(default = time::Duration::from_secs(5))]
    pub confirmation_ttl: time::Duration,
    /// Maximum number of confirmed residencies kept.
    #[builder(default = 1024)]
    pub max_confirmed_residencies: usize,
    /// Interval between retries of an unanswered permit request.
    #[builder(default = time::Duration::from_secs(1))]
    pub retry_interval: time::Duration,
    /// Interval between retries of a permit request whose cell has no known owner.
    #[builder(default = time::Duration::from_millis(100))]
    pub no_owner_retry_interval: time::Duration,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

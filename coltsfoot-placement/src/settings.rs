//! Settings of an engine cell and of an instance's agent.

use std::time;

/// Settings of an engine cell.
#[derive(Clone, Debug, bon::Builder)]
pub struct CellSettings {
    /// Most requests that wait in the cell.
    #[builder(default = 4096)]
    pub max_waiting: usize,
    /// Time within which an instance must use a permit.
    #[builder(default = time::Duration::from_secs(2))]
    pub send_within: time::Duration,
    /// Longest time that an engine runs one request. A pin whose end is not reported lasts for it.
    #[builder(default = time::Duration::from_secs(60))]
    pub max_request_time: time::Duration,
    /// Largest lag of an engine's report behind its state.
    #[builder(default = time::Duration::from_secs(2))]
    pub max_report_lag: time::Duration,
    /// Times that a load is tried before the waiting requests are refused.
    #[builder(default = 3)]
    pub load_attempts: u32,
    /// Wait before the second try of a load; doubles with each further one.
    #[builder(default = time::Duration::from_millis(250))]
    pub load_backoff: time::Duration,
    /// Time for which requests are refused at once after the last try of a load failed.
    #[builder(default = time::Duration::from_secs(5))]
    pub failed_load_cooldown: time::Duration,
    /// Half-life of the popularity of an adapter.
    #[builder(default = time::Duration::from_secs(3600))]
    pub popularity_half_life: time::Duration,
    /// Interval between repeated requests for load grants and reports.
    #[builder(default = time::Duration::from_millis(200))]
    pub retry_interval: time::Duration,
    /// Part of an engine's batch, in percent, from which an adapter on no emptier engine gets a
    /// further replica.
    #[builder(default = 90)]
    pub replica_fill_percent: u32,
    /// How batches are filled.
    #[builder(default)]
    pub packing: BatchPacking,
}

/// How batches are filled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchPacking {
    /// Whether new work goes to the fullest batch that has room rather than to the emptiest.
    pub is_enabled: bool,
    /// A load goes to the fullest batch among the engines whose best victim is popular by at most
    /// this factor more than the least popular one, plus [`Self::score_margin`].
    pub score_factor: f64,
    /// Requests per half-life.
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

/// Settings of an instance's agent.
#[derive(Clone, Debug, bon::Builder)]
pub struct AgentSettings {
    /// Time after a permit for which its residency counts as confirmed.
    #[builder(default = time::Duration::from_secs(5))]
    pub confirmation_ttl: time::Duration,
    /// Most residencies that are remembered.
    #[builder(default = 1024)]
    pub max_confirmed_residencies: usize,
    /// Interval between repeated requests for a permit.
    #[builder(default = time::Duration::from_secs(1))]
    pub retry_interval: time::Duration,
    /// Interval between repeated requests for a permit whose cell has no owner.
    #[builder(default = time::Duration::from_millis(100))]
    pub no_owner_retry_interval: time::Duration,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

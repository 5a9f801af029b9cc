//! Timing of heartbeats, leases and view changes.

use std::time;

/// Maximum number of members of a group; a provisional epoch has four bits for the proposer.
pub const MAX_GROUP_MEMBERS: usize = 16;

/// Timing settings, which must be equal on all instances of a zone.
#[derive(bon::Builder, Clone, Debug, Hash)]
pub struct TimingSettings {
    /// Interval between heartbeat rounds.
    #[builder(default = time::Duration::from_millis(600))]
    pub heartbeat_interval: time::Duration,
    /// Lease duration granted by a majority's acknowledgements, measured from when the heartbeat
    /// that requested them was sent.
    #[builder(default = time::Duration::from_millis(1_800))]
    pub lease_ttl: time::Duration,
    /// Maximum time in flight of an owner's order. The owner sends no orders for this long before
    /// its lease ends.
    #[builder(default = time::Duration::from_millis(250))]
    pub order_delay: time::Duration,
    /// Maximum difference between the rates of two clocks, in thousandths.
    #[builder(default = 10)]
    pub clock_drift_permille: u32,
    /// Silence after which other members are asked whether they heard from an instance.
    #[builder(default = time::Duration::from_millis(1_250))]
    pub indirect_probe_after: time::Duration,
    /// Silence after which an instance is removed from the view.
    #[builder(default = time::Duration::from_millis(1_700))]
    pub suspect_after: time::Duration,
    /// Delay per rank between proposals of members that all see the need for a view change.
    #[builder(default = time::Duration::from_millis(200))]
    pub proposer_stagger: time::Duration,
    /// Time a proposal waits for members that do not answer.
    #[builder(default = time::Duration::from_millis(600))]
    pub proposal_timeout: time::Duration,
    /// Time after which an unanswered append to the log is abandoned.
    #[builder(default = time::Duration::from_millis(700))]
    pub append_timeout: time::Duration,
    /// Time for which an instance must be missing from the platform's list to count as removed.
    #[builder(default = time::Duration::from_secs(30))]
    pub removal_time: time::Duration,
    /// Time without any contact, or suspended, after which an instance stops acting and rejoins.
    /// It must be shorter than `removal_time` by more than the delay of reading the list.
    #[builder(default = time::Duration::from_secs(20))]
    pub isolation_limit: time::Duration,
    /// Time after which a drain ends even if no view without the instance has been formed.
    #[builder(default = time::Duration::from_secs(5))]
    pub drain_timeout: time::Duration,
    /// Time after which a view is written to the log again; much shorter than the log's retention.
    #[builder(default = time::Duration::from_secs(3_600))]
    pub refresh_interval: time::Duration,
}

impl TimingSettings {
    /// Returns the time after its last acknowledgement at which a lease has expired everywhere,
    /// including a slow owner's clock and its last order in flight.
    pub fn lease_expiry(&self) -> time::Duration {
        let drift = self.lease_ttl * self.clock_drift_permille / 1_000;
        self.lease_ttl + drift + self.order_delay
    }
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

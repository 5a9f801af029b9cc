//! Timing of heartbeats, leases and view changes.

use std::time;

/// Most members that a group takes in; a provisional epoch has four bits for the proposer.
pub const MAX_GROUP_MEMBERS: usize = 16;

/// Timing settings. All instances of a zone must have the same.
#[derive(bon::Builder, Clone, Debug, Hash)]
pub struct TimingSettings {
    /// Time between two heartbeat rounds.
    #[builder(default = time::Duration::from_millis(600))]
    pub heartbeat_interval: time::Duration,
    /// Time for which a majority's acknowledgements let an owner act, counted from the heartbeat
    /// that asked for them.
    #[builder(default = time::Duration::from_millis(1_800))]
    pub lease_ttl: time::Duration,
    /// Longest time that an order of an owner is under way, and length of the last part of a lease
    /// in which the owner gives no orders.
    #[builder(default = time::Duration::from_millis(250))]
    pub order_delay: time::Duration,
    /// Largest difference of two clocks' rates, in thousandths.
    #[builder(default = 10)]
    pub clock_drift_permille: u32,
    /// Silence after which other members are asked about an instance.
    #[builder(default = time::Duration::from_millis(1_250))]
    pub indirect_probe_after: time::Duration,
    /// Silence after which an instance is taken out of the view.
    #[builder(default = time::Duration::from_millis(1_700))]
    pub suspect_after: time::Duration,
    /// Time between the proposals of members that see the same need, by rank.
    #[builder(default = time::Duration::from_millis(200))]
    pub proposer_stagger: time::Duration,
    /// Time that a proposal waits for members that do not answer.
    #[builder(default = time::Duration::from_millis(600))]
    pub proposal_timeout: time::Duration,
    /// Time after which an append to the log without an answer is given up.
    #[builder(default = time::Duration::from_millis(700))]
    pub append_timeout: time::Duration,
    /// Time for which the platform's list must leave an instance out before it counts as gone.
    #[builder(default = time::Duration::from_secs(30))]
    pub removal_time: time::Duration,
    /// Time without any contact, or frozen, after which an instance stops acting and joins anew.
    /// Shorter than `removal_time` by more than the lag of the list's readers.
    #[builder(default = time::Duration::from_secs(20))]
    pub isolation_limit: time::Duration,
    /// Time after which a drain ends even if no view without the instance was formed.
    #[builder(default = time::Duration::from_secs(5))]
    pub drain_timeout: time::Duration,
    /// Time after which a view is written to the log again, well within the log's retention.
    #[builder(default = time::Duration::from_secs(3_600))]
    pub refresh_interval: time::Duration,
}

impl TimingSettings {
    /// Returns how long after its last acknowledgement a lease may still be used anywhere, with the
    /// owner's last order under way and its clock slow.
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

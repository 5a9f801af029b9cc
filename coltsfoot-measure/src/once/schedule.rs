//! Faults and sizes of one random schedule.

use rand::RngExt as _;

/// A mechanism that is taken out, to see what it is for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OmittedMechanism {
    /// Claims are dispatched on the append's answer, without reading back.
    pub read_back: bool,
    /// A call refused because the log can't be reached is answered "not run".
    pub unknown_in_outage: bool,
    /// Instances remember keys by themselves; the log isn't used.
    pub log: bool,
    /// A resent key may run again when its winner has not recorded an outcome.
    pub hold_after_death: bool,
}

/// Probabilities and times of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSettings {
    pub omitted: OmittedMechanism,
    pub instances: usize,
    pub keys: usize,
    pub duration_us: u64,
    pub append_us: u64,
    pub lost_message: f64,
    pub doubled_message: f64,
    pub lost_append: f64,
    pub lost_answer: f64,
    pub late_append: f64,
    pub kills: u32,
    pub freezes: u32,
    pub outages: u32,
    pub cut_share: f64,
    pub forgetful: bool,
}

/// Deadline of a call.
pub const CALL_DEADLINE_US: u64 = 3_000_000;
/// Retention of the log.
pub const RETENTION_MS: u64 = 40_000;

impl ScheduleSettings {
    /// Draws the settings of a schedule.
    pub fn draw(omitted: OmittedMechanism, rng: &mut impl rand::Rng) -> Self {
        let faulty = |rng: &mut dyn rand::Rng, share: f64, most: f64| {
            if rng.random_bool(share) { rng.random_range(0.0..most) } else { 0.0 }
        };
        Self {
            omitted,
            instances: rng.random_range(2..=4),
            keys: rng.random_range(1..=3),
            duration_us: rng.random_range(4_000_000..60_000_000),
            append_us: rng.random_range(1_000..60_000),
            lost_message: faulty(rng, 0.5, 0.2),
            doubled_message: faulty(rng, 0.5, 0.2),
            lost_append: faulty(rng, 0.5, 0.3),
            lost_answer: faulty(rng, 0.5, 0.4),
            late_append: faulty(rng, 0.4, 0.4),
            kills: rng.random_range(0..4),
            freezes: rng.random_range(0..4),
            outages: rng.random_range(0..3),
            cut_share: faulty(rng, 0.8, 0.8),
            forgetful: rng.random_bool(0.3),
        }
    }
}

//! How often an instance tells the others of itself, so that what it sends and receives does not
//! grow with the number of instances. In a large fleet one instance of each zone tells the other zones
//! of all of its zone.

use std::time;

/// Time between beats in a small fleet.
pub const SHORTEST_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Beats a second to the other instances of the zone at most, of about 400 bytes.
const NEAR_BEATS_PER_S: f64 = 80.0;
/// Beats a second to other zones at most, sent by each instance itself; beyond that a relay sends sums
/// over its zone, since bytes between zones have a price.
const FAR_BEATS_PER_S: f64 = 50.0;
/// Shortest time between the beats of a relay.
const ZONE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Times between beats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatPlan {
    /// Time between beats to an instance of the same zone.
    pub same_zone: time::Duration,
    /// Time between beats to another zone: of each instance to each there, or of the relay.
    pub cross_zone: time::Duration,
    /// Whether a relay tells the other zones.
    pub is_relayed: bool,
}

impl HeartbeatPlan {
    /// Plans the beats to so many instances.
    pub fn new(near_peers: usize, far_peers: usize) -> Self {
        let near = interval(near_peers, NEAR_BEATS_PER_S);
        let far = interval(far_peers, FAR_BEATS_PER_S);
        let is_relayed = far > SHORTEST_INTERVAL;
        Self {
            same_zone: near,
            cross_zone: if is_relayed { near.max(ZONE_INTERVAL) } else { far },
            is_relayed,
        }
    }

    /// Returns whether every change is told at once.
    pub fn is_immediate(&self) -> bool {
        self.same_zone == SHORTEST_INTERVAL && self.cross_zone == SHORTEST_INTERVAL
    }
}

fn interval(peers: usize, beats_per_s: f64) -> time::Duration {
    time::Duration::from_secs_f64(peers as f64 / beats_per_s).max(SHORTEST_INTERVAL)
}

//! Intervals between heartbeats, chosen so that an instance's traffic does not grow with the number
//! of instances. In a large fleet one instance of each zone, the relay, sends totals to the other
//! zones.

use std::time;

/// Time between heartbeats in a small fleet.
pub const SHORTEST_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Most heartbeats per second to the other instances of the zone, of about 400 bytes each.
const MAX_SAME_ZONE_PER_S: f64 = 80.0;
/// Most heartbeats per second that an instance itself sends to other zones; beyond that a relay
/// sends totals over its zone, since traffic between zones is billed.
const MAX_CROSS_ZONE_PER_S: f64 = 50.0;
/// Shortest time between the heartbeats of a relay.
const MIN_RELAY_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Intervals between heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatPlan {
    /// Time between heartbeats to an instance of the same zone.
    pub same_zone: time::Duration,
    /// Time between heartbeats to an instance of another zone, or, with a relay, to that zone.
    pub cross_zone: time::Duration,
    /// Whether a relay sends the heartbeats to other zones.
    pub is_relayed: bool,
}

impl HeartbeatPlan {
    /// Plans the heartbeats to this many instances of the same zone and of other zones.
    pub fn new(same_zone_peers: usize, cross_zone_peers: usize) -> Self {
        let same_zone = interval(same_zone_peers, MAX_SAME_ZONE_PER_S);
        let cross_zone = interval(cross_zone_peers, MAX_CROSS_ZONE_PER_S);
        let is_relayed = cross_zone > SHORTEST_INTERVAL;
        Self {
            same_zone,
            cross_zone: if is_relayed { same_zone.max(MIN_RELAY_INTERVAL) } else { cross_zone },
            is_relayed,
        }
    }

    /// Returns whether every change is sent at once.
    pub fn is_immediate(&self) -> bool {
        self.same_zone == SHORTEST_INTERVAL && self.cross_zone == SHORTEST_INTERVAL
    }
}

fn interval(peers: usize, max_per_s: f64) -> time::Duration {
    time::Duration::from_secs_f64(peers as f64 / max_per_s).max(SHORTEST_INTERVAL)
}

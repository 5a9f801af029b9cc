//! What instances tell each other does not grow with their number.

use std::time;

use coltsfoot_gateway::heartbeat_plan;
use rstest::rstest;

#[rstest]
#[case::three_zones_of_two(1, 4)]
#[case::three_zones_of_three(2, 6)]
fn a_small_fleet_beats_as_often_as_it_can(#[case] near: usize, #[case] far: usize) {
    let plan = heartbeat_plan::HeartbeatPlan::new(near, far);
    assert_eq!(
        (plan.same_zone, plan.cross_zone),
        (heartbeat_plan::SHORTEST_INTERVAL, heartbeat_plan::SHORTEST_INTERVAL)
    );
    assert!(plan.is_immediate());
}

#[rstest]
#[case::of_79(25, 53)]
#[case::of_300(99, 200)]
#[case::of_1000(333, 666)]
fn an_instance_sends_as_many_beats_however_many_there_are(#[case] near: usize, #[case] far: usize) {
    let plan = heartbeat_plan::HeartbeatPlan::new(near, far);
    let per_s = |peers: usize, interval: time::Duration| peers as f64 / interval.as_secs_f64();
    assert!(plan.is_relayed && !plan.is_immediate());
    assert!(per_s(near, plan.same_zone) <= 81.0, "{} beats a second", per_s(near, plan.same_zone));
    // The relay sends a beat to each other zone, and passes as many on to each of its own.
    let zones = far.div_ceil(near);
    let relayed = per_s(zones, plan.cross_zone) + per_s(zones * near, plan.cross_zone);
    assert!(relayed <= 81.0 * zones as f64 + 17.0, "{relayed} beats of a relay a second");
}

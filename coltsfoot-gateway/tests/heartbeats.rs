//! Heartbeat traffic per instance does not grow with the number of instances.

use std::time;

use coltsfoot_gateway::heartbeat_plan;
use rstest::rstest;

#[rstest]
#[case::three_zones_of_two(1, 4)]
#[case::three_zones_of_three(2, 6)]
fn a_small_fleet_uses_the_shortest_interval(#[case] same_zone: usize, #[case] cross_zone: usize) {
    let plan = heartbeat_plan::HeartbeatPlan::new(same_zone, cross_zone);
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
fn the_heartbeat_rate_of_an_instance_is_bounded(
    #[case] same_zone: usize,
    #[case] cross_zone: usize,
) {
    let plan = heartbeat_plan::HeartbeatPlan::new(same_zone, cross_zone);
    let per_s = |peers: usize, interval: time::Duration| peers as f64 / interval.as_secs_f64();
    assert!(plan.is_relayed && !plan.is_immediate());
    assert!(
        per_s(same_zone, plan.same_zone) <= 81.0,
        "{} heartbeats a second",
        per_s(same_zone, plan.same_zone)
    );
    // The relay sends a heartbeat to each other zone and forwards theirs to each instance of its
    // own.
    let zones = cross_zone.div_ceil(same_zone);
    let relayed = per_s(zones, plan.cross_zone) + per_s(zones * same_zone, plan.cross_zone);
    assert!(relayed <= 81.0 * zones as f64 + 17.0, "{relayed} heartbeats of a relay a second");
}

//! `config`: how soon a change is in force everywhere, and what 130,000 adapters cost.

use serde::Serialize;

use crate::cmd::{MeasureError, MeasureOptions};
use crate::config::fleet_trial::{self, FleetShape};
use crate::config::size_trial;

/// Adapters of the large configuration.
const ADAPTERS: u32 = 130_000;
/// Small fleets that publish changes, each with a seed of its own.
const SMALL_FLEETS: u64 = 20;
/// Nine instances in three zones, one without the log.
const SMALL_FLEET: FleetShape =
    FleetShape { members: 9, zones: 3, is_cut_off: |index| index == 4, changes: 100 };
/// 390 instances in seven zones, one zone without the log.
const LARGE_FLEET: FleetShape =
    FleetShape { members: 390, zones: 7, is_cut_off: |index| index % 7 == 3, changes: 50 };
/// Sizes of the fleets whose idle traffic is measured.
const IDLE_FLEETS: [usize; 3] = [9, 56, 390];

#[derive(Serialize)]
struct ConfigReport {
    seed: u64,
    in_force_p50_s: f64,
    in_force_p99_s: f64,
    in_force_max_s: f64,
    changes: u64,
    withdrawn_stream_end_s: f64,
    in_force_390_p99_s: f64,
    in_force_390_max_s: f64,
    restore_s: f64,
    restore_from_peer_s: f64,
    rss_mib: f64,
    snapshot_mib: f64,
    encode_ms: f64,
    change_us: f64,
    idle_bytes_per_second: Vec<f64>,
    log_calls_per_second: Vec<f64>,
}

/// Runs the measure.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    if let Some(case) = &options.case {
        return Err(MeasureError::UnknownCase(case.clone()));
    }
    let size = size_trial::run(ADAPTERS)?;
    let change = fleet_trial::run_changes(options.seed, SMALL_FLEETS, &SMALL_FLEET)?;
    let large = fleet_trial::run_changes(options.seed, 1, &LARGE_FLEET)?;
    let idle = IDLE_FLEETS.map(|members| fleet_trial::run_idle(options.seed, members));
    let report = ConfigReport {
        seed: options.seed,
        in_force_p50_s: change.quantile(0.5),
        in_force_p99_s: change.quantile(0.99),
        in_force_max_s: change.quantile(1.0),
        changes: change.changes,
        withdrawn_stream_end_s: change.withdrawn_stream_end_s,
        in_force_390_p99_s: large.quantile(0.99),
        in_force_390_max_s: large.quantile(1.0),
        restore_s: size.restore_s,
        restore_from_peer_s: size.restore_from_peer_s,
        rss_mib: size.rss_mib,
        snapshot_mib: size.snapshot_mib,
        encode_ms: size.encode_ms,
        change_us: size.change_us,
        idle_bytes_per_second: idle.iter().map(|idle| idle.peer_bytes_per_second).collect(),
        log_calls_per_second: idle.iter().map(|idle| idle.log_calls_per_second).collect(),
    };
    print(&report);
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    Ok(())
}

fn print(report: &ConfigReport) {
    println!("9 instances in 3 zones, one without the log, {} changes", report.changes);
    println!(
        "  in force p50 / p99 / max      {:>8.3} {:>8.3} {:>8.3} s",
        report.in_force_p50_s, report.in_force_p99_s, report.in_force_max_s
    );
    println!(
        "  last stream of a withdrawn key ended after {:>8.3} s",
        report.withdrawn_stream_end_s
    );
    println!("390 instances in 7 zones, one zone without the log, {} changes", LARGE_FLEET.changes);
    println!(
        "  in force p99 / max            {:>8.3} {:>8.3} s",
        report.in_force_390_p99_s, report.in_force_390_max_s
    );
    println!("{ADAPTERS} adapters");
    println!(
        "  restore from log / from peer  {:>8.3} {:>8.3} s",
        report.restore_s, report.restore_from_peer_s
    );
    println!("  resident memory               {:>8.1} MiB", report.rss_mib);
    println!("  snapshot                      {:>8.1} MiB", report.snapshot_mib);
    println!("  encoding of a snapshot        {:>8.1} ms", report.encode_ms);
    println!("  fold of one change            {:>8.1} us", report.change_us);
    println!("idle, per second and instance    bytes to peers  log calls");
    let bytes = report.idle_bytes_per_second.iter().zip(&report.log_calls_per_second);
    for (members, (peers, log)) in IDLE_FLEETS.iter().zip(bytes) {
        println!("  {members:>4} instances                     {peers:>8.0} {log:>8.2}");
    }
}

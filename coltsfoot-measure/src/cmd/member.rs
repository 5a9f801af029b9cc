//! `member`: time to a new owner, exclusive ownership over random schedules, heartbeat traffic.

use std::sync::atomic;
use std::{thread, time};

use coltsfoot_member::{check, event, settings};
use serde::Serialize;

use super::{MeasureError, MeasureOptions};

/// Schedules of a whole measure.
const SCHEDULE_COUNT: u64 = 100_000;
/// Schedules with `--case quick`.
const QUICK_SCHEDULE_COUNT: u64 = 2_000;
/// Threads that run schedules.
const SCHEDULE_THREADS: u64 = 3;
/// Runs for each number of members of the failover measure.
const FAILOVER_RUNS: u64 = 40;
/// Step in which a failover is timed.
const FAILOVER_STEP: time::Duration = time::Duration::from_millis(10);
/// Time after which a failover counts as failed.
const FAILOVER_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Time in which the traffic is counted.
const TRAFFIC_TIME: time::Duration = time::Duration::from_secs(30);

/// The last line.
#[derive(Debug, Serialize)]
struct MemberSummary {
    failover_s: f64,
    failover_log_out_s: f64,
    failover_half_s: f64,
    schedules: u64,
    double_owner_steps: u64,
    bytes_per_second: Vec<TrafficRow>,
}

/// Traffic of a zone.
#[derive(Debug, Serialize)]
struct TrafficRow {
    members: usize,
    mean: u64,
    highest: u64,
}

/// How the log is when the owner crashes.
#[derive(Clone, Copy, PartialEq)]
enum LogState {
    Reachable,
    Out,
}

/// Runs the measure.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let quick = options.case.as_deref() == Some("quick");
    let schedules = if quick { QUICK_SCHEDULE_COUNT } else { SCHEDULE_COUNT };
    let summary = MemberSummary {
        failover_s: highest_failover(options.seed, &[3, 5, 9], LogState::Reachable),
        failover_log_out_s: highest_failover(options.seed, &[3, 5, 9], LogState::Out),
        failover_half_s: highest_failover(options.seed, &[2], LogState::Out),
        schedules,
        double_owner_steps: count_violations(options.seed, schedules),
        bytes_per_second: vec![
            measure_traffic(options.seed, 3, 1),
            measure_traffic(options.seed, 9, 1),
            measure_traffic(options.seed, 56, 7),
        ],
    };
    print_table(&summary);
    println!("{}", serde_json::to_string(&summary).expect("the summary is valid JSON"));
    assert_eq!(summary.double_owner_steps, 0, "two instances acted as owner of one resource");
    Ok(())
}

fn highest_failover(seed: u64, sizes: &[usize], log: LogState) -> f64 {
    let runs = sizes.iter().flat_map(|size| (0..FAILOVER_RUNS).map(move |run| (*size, run)));
    runs.map(|(size, run)| time_failover(seed * 1_000 + run, size, log)).fold(0.0, f64::max)
}

/// Returns the time from the crash of an owner to the moment a new one may act.
fn time_failover(seed: u64, size: usize, log: LogState) -> f64 {
    let settings = check::schedule::ScheduleSettings::builder().seed(seed).size(size).build();
    let mut run = check::ScheduleRun::new(settings);
    run.run_for(time::Duration::from_millis(8_000 + seed % 600));
    if log == LogState::Out {
        run.inject(&check::fault::ScheduleFault::LogOutage { duration: FAILOVER_LIMIT * 2 });
        run.run_for(time::Duration::from_secs(3));
    }
    let resource = run.resources()[0].clone();
    let Some(owner) = run.acting_owner(&resource) else {
        return FAILOVER_LIMIT.as_secs_f64();
    };
    run.crash(owner);
    let crashed_at = run.now();
    while run.acting_owner(&resource).is_none() && run.now().since(crashed_at) < FAILOVER_LIMIT {
        run.run_for(FAILOVER_STEP);
    }
    run.now().since(crashed_at).as_secs_f64()
}

/// Runs schedules with random faults and returns how many steps broke an invariant.
fn count_violations(seed: u64, schedules: u64) -> u64 {
    let violations = atomic::AtomicU64::new(0);
    let count = |first: u64| {
        for index in (first..schedules).step_by(SCHEDULE_THREADS as usize) {
            let found = run_schedule(seed.wrapping_mul(1_000_000_007).wrapping_add(index));
            violations.fetch_add(found, atomic::Ordering::Relaxed);
        }
    };
    thread::scope(|scope| {
        for first in 0..SCHEDULE_THREADS {
            scope.spawn(move || count(first));
        }
    });
    violations.into_inner()
}

fn run_schedule(seed: u64) -> u64 {
    let timing = settings::TimingSettings::builder()
        .removal_time(time::Duration::from_secs(4))
        .isolation_limit(time::Duration::from_millis(2_500))
        .build();
    let settings = check::schedule::ScheduleSettings::builder()
        .seed(seed)
        .size(2 + (seed % 4) as usize)
        .timing(timing)
        .build();
    let mut run = check::ScheduleRun::new(settings);
    run.run_for(time::Duration::from_secs(3));
    run.run_with_faults(time::Duration::from_secs(12));
    if let Some(violation) = run.violations().first() {
        println!("seed {seed}: {violation}");
    }
    run.violations().len() as u64
}

fn measure_traffic(seed: u64, members: usize, group_count: u8) -> TrafficRow {
    let settings = check::schedule::ScheduleSettings::builder()
        .seed(seed)
        .size(members)
        .group_count(group_count)
        .build();
    let mut run = check::ScheduleRun::new(settings);
    run.run_for(time::Duration::from_secs(15));
    let acting =
        run.running().into_iter().filter(|index| run.mode(*index) == event::MemberMode::Full);
    assert_eq!(acting.count(), members, "not all members act before the traffic is counted");
    run.start_metering();
    run.run_for(TRAFFIC_TIME);
    let seconds = TRAFFIC_TIME.as_secs();
    let rates: Vec<_> = (0..members).map(|index| run.bytes_sent(index) / seconds).collect();
    let mean = rates.iter().sum::<u64>() / members as u64;
    TrafficRow { members, mean, highest: rates.into_iter().max().unwrap_or(0) }
}

fn print_table(summary: &MemberSummary) {
    println!("failover, log reachable, highest  {:>8.2} s", summary.failover_s);
    println!("failover, log out, highest        {:>8.2} s", summary.failover_log_out_s);
    println!("failover to half a view, highest  {:>8.2} s", summary.failover_half_s);
    println!("schedules                         {:>8}", summary.schedules);
    println!("steps with two owners             {:>8}", summary.double_owner_steps);
    for row in &summary.bytes_per_second {
        let (members, mean, highest) = (row.members, row.mean, row.highest);
        println!("{members:>3} members: bytes/s a member      {mean:>8} mean {highest:>8} highest");
    }
}

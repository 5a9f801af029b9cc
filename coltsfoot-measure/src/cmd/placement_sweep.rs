//! `placement-sweep`: policies and sizes against one another on the same trace.

use std::time;

use coltsfoot_placement::settings;

use crate::cmd;
use crate::placement::{baseline, fleet, limit, trace, workload};

/// A variant of the policies.
struct PolicyVariant {
    name: &'static str,
    policy: fleet::FleetPolicy,
}

/// A variant of the workload.
struct SizeVariant {
    name: &'static str,
    change: fn(&mut workload::PlacementWorkload),
}

/// Runs the measure: all policies, or with `--case sizes` all sizes.
pub fn run(options: &cmd::MeasureOptions) -> Result<(), cmd::MeasureError> {
    let workload = workload::PlacementWorkload::read(options.workload.as_deref())?;
    if options.case.as_deref() == Some("sizes") {
        sweep_sizes(&workload, options.seed);
        return Ok(());
    }
    let case = trace::TraceCase::parse(options.case.as_deref())?;
    sweep_policies(&workload, case, options.seed);
    Ok(())
}

fn sweep_policies(workload: &workload::PlacementWorkload, case: trace::TraceCase, seed: u64) {
    println!("policy               stalls  stall s  first mean s  first p95 s  occupancy  loads");
    let trace = trace::RequestTrace::draw(workload, case, seed);
    for variant in policies() {
        let (tally, _) = fleet::run(workload, &trace, &variant.policy);
        let sum = tally.summarise(workload, &trace);
        println!(
            "{:<20} {:>6.4} {:>8.3} {:>13.4} {:>12.3} {:>10.3} {:>6}",
            variant.name,
            sum.stalls,
            sum.stall_seconds,
            sum.first_token_mean,
            sum.first_token_p95,
            tally.batch_occupancy,
            tally.loads,
        );
    }
}

fn sweep_sizes(workload: &workload::PlacementWorkload, seed: u64) {
    println!("sizes            stalls baseline  limit online  occupancy baseline  p95 s");
    for variant in sizes() {
        let mut workload = workload.clone();
        (variant.change)(&mut workload);
        let trace = trace::RequestTrace::draw(&workload, trace::TraceCase::Steady, seed);
        let (ours, _) = fleet::run(&workload, &trace, &fleet::FleetPolicy::default());
        let baseline = baseline::run(&workload, &trace);
        let limit = limit::run(&workload, &trace, limit::LimitKnowledge::Clairvoyant);
        let online = limit::run(&workload, &trace, limit::LimitKnowledge::Popularity);
        let sum = ours.summarise(&workload, &trace);
        println!(
            "{:<16} {:>6.4} {:>8.4} {:>6.4} {:>6.4} {:>10.3} {:>8.3} {:>6.3}",
            variant.name,
            sum.stalls,
            baseline.summarise(&workload, &trace).stalls,
            limit.summarise(&workload, &trace).stalls,
            online.summarise(&workload, &trace).stalls,
            ours.batch_occupancy,
            baseline.batch_occupancy,
            sum.first_token_p95,
        );
    }
}

fn policies() -> Vec<PolicyVariant> {
    let cell = |change: fn(&mut settings::CellSettings)| {
        let mut cell = settings::CellSettings::default();
        change(&mut cell);
        fleet::FleetPolicy { cell, zones_apart: false }
    };
    let variant = |name, change| PolicyVariant { name, policy: cell(change) };
    let half_life = |seconds| time::Duration::from_secs(seconds);
    let mut apart = cell(|_| {});
    apart.zones_apart = true;
    let mut variants = vec![
        variant("default", |_| {}),
        PolicyVariant { name: "zones apart", policy: apart },
        variant("emptiest batch", |cell| {
            cell.packing.is_enabled = false;
            cell.packing.score_factor = 1.0;
            cell.packing.score_margin = 0.0;
        }),
        variant("least popular only", |cell| {
            cell.packing.score_factor = 1.0;
            cell.packing.score_margin = 0.0;
        }),
        variant("packing 1.5 + 1", |cell| {
            cell.packing.score_factor = 1.5;
            cell.packing.score_margin = 1.0;
        }),
        variant("packing 4 + 2", |cell| {
            cell.packing.score_factor = 4.0;
            cell.packing.score_margin = 2.0;
        }),
        variant("no replicas", |cell| cell.replica_fill_percent = 1000),
        variant("replicas at 50%", |cell| cell.replica_fill_percent = 50),
        variant("replicas at 75%", |cell| cell.replica_fill_percent = 75),
    ];
    let names = [(60, "half-life 60 s"), (300, "half-life 300 s"), (1200, "half-life 1200 s")];
    let names = names.into_iter().chain([(3600, "half-life 3600 s"), (14400, "half-life 4 h")]);
    variants.extend(names.map(|(seconds, name)| {
        let mut policy = cell(|_| {});
        policy.cell.popularity_half_life = half_life(seconds);
        PolicyVariant { name, policy }
    }));
    variants
}

fn sizes() -> Vec<SizeVariant> {
    let variant = |name, change| SizeVariant { name, change };
    vec![
        variant("as given", |_| {}),
        variant("slots 8", |workload| workload.slots = 8),
        variant("slots 32", |workload| workload.slots = 32),
        variant("slots 64", |workload| workload.slots = 64),
        variant("skew 1.0", |workload| workload.skew = 1.0),
        variant("skew 1.4", |workload| workload.skew = 1.4),
        variant("batch 8", |workload| workload.batch_size = 8),
        variant("batch 32", |workload| workload.batch_size = 32),
        variant("half the rate", |workload| workload.requests_per_second /= 2.0),
        variant("1.5 x the rate", |workload| workload.requests_per_second *= 1.5),
    ]
}

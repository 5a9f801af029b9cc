//! `placement`: stalls, batches and first tokens against the baseline and the clairvoyant limit.

use serde::Serialize;

use crate::cmd;
use crate::placement::{baseline, clock_cost, fleet, limit, tally, trace, workload};

/// The last line.
#[derive(Debug, Serialize)]
struct PlacementFigures {
    workload: String,
    case: String,
    seed: u64,
    requests: usize,
    stalls_per_request: f64,
    baseline_stalls_per_request: f64,
    limit_stalls_per_request: f64,
    /// Stalls of the best eviction that doesn't know the future.
    online_bound_stalls_per_request: f64,
    stall_seconds_per_request: f64,
    baseline_stall_seconds_per_request: f64,
    limit_stall_seconds_per_request: f64,
    batch_occupancy: f64,
    baseline_batch_occupancy: f64,
    answered: f64,
    baseline_answered: f64,
    evicted_while_pinned: u64,
    wrong_adapter: u64,
    refused: u64,
    first_token_p95_s: f64,
    baseline_first_token_p95_s: f64,
    peak_loads: usize,
    baseline_peak_loads: usize,
    loads: u64,
    baseline_loads: u64,
    limit_loads: u64,
    /// Stalls of a pool that evicts by the counts of all requests so far.
    counts_stalls_per_request: f64,
    decision_us: f64,
    decision_p99_us: f64,
    tick_us: f64,
    awake_adapters: usize,
}

/// Runs the measure.
pub fn run(options: &cmd::MeasureOptions) -> Result<(), cmd::MeasureError> {
    let workload = workload::PlacementWorkload::read(options.workload.as_deref())?;
    let case = trace::TraceCase::parse(options.case.as_deref())?;
    let trace = trace::RequestTrace::draw(&workload, case, options.seed);
    let (ours, _) = fleet::run(&workload, &trace, &fleet::FleetPolicy::default());
    let baseline = baseline::run(&workload, &trace);
    let limit = limit::run(&workload, &trace, limit::LimitKnowledge::Clairvoyant);
    let online = limit::run(&workload, &trace, limit::LimitKnowledge::Popularity);
    let counts = limit::run(&workload, &trace, limit::LimitKnowledge::Counts);
    let sum = |tally: &tally::RunTally| tally.summarise(&workload, &trace);
    print_table(&[
        ("system", &ours, sum(&ours)),
        ("baseline", &baseline, sum(&baseline)),
        ("limit", &limit, sum(&limit)),
        ("online bound", &online, sum(&online)),
        ("counts", &counts, sum(&counts)),
    ]);
    let cost = clock_cost::run(options.seed);
    let figures = PlacementFigures {
        workload: workload.name.clone(),
        case: options.case.clone().unwrap_or_else(|| "steady".to_owned()),
        seed: options.seed,
        requests: trace.requests.len(),
        stalls_per_request: sum(&ours).stalls,
        baseline_stalls_per_request: sum(&baseline).stalls,
        limit_stalls_per_request: sum(&limit).stalls,
        online_bound_stalls_per_request: sum(&online).stalls,
        stall_seconds_per_request: sum(&ours).stall_seconds,
        baseline_stall_seconds_per_request: sum(&baseline).stall_seconds,
        limit_stall_seconds_per_request: sum(&limit).stall_seconds,
        batch_occupancy: ours.batch_occupancy,
        baseline_batch_occupancy: baseline.batch_occupancy,
        answered: sum(&ours).answered,
        baseline_answered: sum(&baseline).answered,
        evicted_while_pinned: ours.evicted_while_pinned,
        wrong_adapter: ours.wrong_adapter,
        refused: ours.refused,
        first_token_p95_s: sum(&ours).first_token_p95,
        baseline_first_token_p95_s: sum(&baseline).first_token_p95,
        peak_loads: ours.peak_loads,
        baseline_peak_loads: baseline.peak_loads,
        loads: ours.loads,
        baseline_loads: baseline.loads,
        limit_loads: limit.loads,
        counts_stalls_per_request: sum(&counts).stalls,
        decision_us: cost.mean_us,
        decision_p99_us: cost.p99_us,
        tick_us: cost.tick_us,
        awake_adapters: cost.awake,
    };
    println!("{}", serde_json::to_string(&figures).expect("figures are plain numbers"));
    Ok(())
}

fn print_table(rows: &[(&str, &tally::RunTally, tally::RunSummary)]) {
    println!("                stalls  stall s  first p95 s  occupancy  loads  answered  refused");
    for (name, tally, summary) in rows {
        println!(
            "{name:<14} {:>7.4} {:>8.3} {:>12.3} {:>10.3} {:>6} {:>9.4} {:>8}",
            summary.stalls,
            summary.stall_seconds,
            summary.first_token_p95,
            tally.batch_occupancy,
            tally.loads,
            summary.answered,
            tally.refused,
        );
    }
}

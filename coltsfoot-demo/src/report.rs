//! Summary printed at the end of the demo.

use coltsfoot_system::embedded;
use coltsfootd::daemon;

use crate::workload::{CustomerOutcome, WorkloadOutcome};

/// Prints answers, latencies and refusals by customer, the customer with the lowest answered
/// share, adapter loads, load stalls and batch occupancy.
pub fn print(deployment: &embedded::EmbeddedCluster, outcome: &WorkloadOutcome) {
    println!(
        "{:<12} {:>6} {:>9} {:>9} {:>9}  refusals",
        "customer", "sent", "answered", "p50 ms", "p95 ms"
    );
    for (customer, outcome) in outcome {
        let refusals: Vec<_> =
            outcome.refusals.iter().map(|(code, count)| format!("{code} {count}")).collect();
        println!(
            "{customer:<12} {:>6} {:>9} {:>9.1} {:>9.1}  {}",
            outcome.sent,
            outcome.answered,
            quantile_ms(outcome, 0.5),
            quantile_ms(outcome, 0.95),
            refusals.join(", ")
        );
    }
    let worst = outcome
        .iter()
        .min_by(|(_, left), (_, right)| answered_share(left).total_cmp(&answered_share(right)));
    if let Some((customer, outcome)) = worst {
        println!("worst served: {customer}, {:.1} % answered", 100.0 * answered_share(outcome));
    }
    print_engines(deployment);
}

fn print_engines(deployment: &embedded::EmbeddedCluster) {
    let observations: Vec<_> =
        deployment.engines.iter().map(|engine| engine.observations()).collect();
    let sum = |value: fn(&coltsfoot_fakes::engine::EngineObservations) -> u64| -> u64 {
        observations.iter().map(value).sum()
    };
    let busy = sum(|seen| seen.busy_time_us).max(1);
    println!("adapter loads: {}, evictions: {}", sum(|seen| seen.loads), sum(|seen| seen.unloads));
    println!(
        "requests per running batch: {:.2}",
        sum(|seen| seen.run_time_us) as f64 / busy as f64
    );
    println!("evicted under a request: {}", sum(|seen| seen.evicted_under_request));
    let stalls: u64 = deployment.daemons.iter().map(load_stalls).sum();
    println!("requests that waited for a load: {stalls}");
}

/// Reads the counter of load stalls from the metrics text of an instance, zero if absent.
fn load_stalls(daemon: &daemon::RunningDaemon) -> u64 {
    let text = daemon.metrics_text();
    let line = text.lines().find_map(|line| line.strip_prefix("coltsfoot_load_stalls_total "));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

fn answered_share(outcome: &CustomerOutcome) -> f64 {
    outcome.answered as f64 / outcome.sent.max(1) as f64
}

fn quantile_ms(outcome: &CustomerOutcome, quantile: f64) -> f64 {
    let mut sorted = outcome.latencies_us.clone();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(0.0, |us| *us as f64 / 1e3)
}

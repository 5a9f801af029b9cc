//! `quota`: fleet-wide rate and burst against a static split, with an owner's crash and a cut.

use std::time;

use crate::cmd;
use crate::quota_run;
use crate::quota_workload;

/// When requests begin: new buckets start empty.
const WARM_UP: time::Duration = time::Duration::from_secs(12);
/// End of the requests.
const REQUESTS_END: time::Duration = time::Duration::from_secs(252);
/// End of a run.
const RUN_END: time::Duration = time::Duration::from_secs(262);
/// Part of the rate that requests are charged with.
const STEADY_LOAD: f64 = 0.85;
/// Part of the rate that requests are charged with when they barely fit after refunds.
const HIGH_LOAD: f64 = 1.1;
/// Load of the customer that is asked for too much.
const OVERLOAD: f64 = 3.0;

/// Figures of all runs.
#[derive(serde::Serialize)]
struct QuotaFigures {
    overshoot_tokens: u64,
    gossip_overshoot_tokens: u64,
    wrongful_refusals: f64,
    baseline_wrongful_refusals: f64,
    wrongful_refusals_high_load: f64,
    baseline_wrongful_refusals_high_load: f64,
    wrongful_refusals_failover: f64,
    wrongful_refusals_cut: f64,
    limit_wrongful_refusals_cut: f64,
    bytes_per_second: f64,
    bytes_per_second_overload: f64,
    retry_after_returned: u64,
    retry_after_broken: f64,
    wait_p99_ms: f64,
}

/// Runs the measure.
pub fn run(options: &cmd::MeasureOptions) -> Result<(), cmd::MeasureError> {
    let seconds = time::Duration::from_secs;
    let fault = |at, fault| quota_run::TimedFault { at: seconds(at), fault };
    let failover = [
        fault(80, quota_run::FleetFault::CrashOwner),
        fault(81, quota_run::FleetFault::ChangeViews),
        fault(110, quota_run::FleetFault::Replace),
    ];
    let cut = [
        fault(80, quota_run::FleetFault::Cut),
        fault(81, quota_run::FleetFault::NoticeCut),
        fault(170, quota_run::FleetFault::Heal),
    ];
    let steady = execute("steady", options.seed, &[], |_| STEADY_LOAD);
    let failover = execute("failover", options.seed, &failover, |_| STEADY_LOAD);
    let cut = execute("cut", options.seed, &cut, |_| STEADY_LOAD);
    let overload =
        execute(
            "overload",
            options.seed,
            &[],
            |customer| {
                if customer == 2 { OVERLOAD } else { STEADY_LOAD }
            },
        );
    let high = execute("high load", options.seed, &[], |_| HIGH_LOAD);
    let runs = [steady, failover, cut, overload, high];
    let figures = QuotaFigures {
        overshoot_tokens: runs.iter().map(|run| run.overshoot_tokens).max().unwrap_or(0),
        gossip_overshoot_tokens: overload.gossip_overshoot_tokens,
        wrongful_refusals: steady.share(steady.wrongful),
        baseline_wrongful_refusals: steady.share(steady.baseline_wrongful),
        wrongful_refusals_high_load: high.share(high.wrongful),
        baseline_wrongful_refusals_high_load: high.share(high.baseline_wrongful),
        wrongful_refusals_failover: failover.share(failover.wrongful),
        wrongful_refusals_cut: cut.share(cut.wrongful),
        limit_wrongful_refusals_cut: cut.share(cut.limit_wrongful),
        bytes_per_second: steady.bytes_per_second,
        bytes_per_second_overload: overload.bytes_per_second,
        retry_after_returned: overload.returned,
        retry_after_broken: overload.returned_in_vain as f64 / overload.returned.max(1) as f64,
        wait_p99_ms: steady.wait_p99.as_secs_f64() * 1e3,
    };
    println!("{}", serde_json::to_string(&figures).expect("figures are plain numbers"));
    Ok(())
}

fn execute(
    label: &str,
    seed: u64,
    faults: &[quota_run::TimedFault],
    load: impl Fn(usize) -> f64,
) -> quota_run::RunResult {
    let requests = quota_workload::build(seed, WARM_UP, REQUESTS_END, load);
    let result = quota_run::QuotaRun::new(seed, &requests, faults).execute(RUN_END, faults);
    println!(
        "{label:9} requests {:6}  inside {:6}  wrongful {:5}  baseline {:5}  limit {:5}  lost {:3}  \
         excess {}  bytes/s {:6.0}  returned {}/{}  wait p99 {:?}",
        result.requests,
        result.inside_rate,
        result.wrongful,
        result.baseline_wrongful,
        result.limit_wrongful,
        result.lost,
        result.overshoot_tokens,
        result.bytes_per_second,
        result.returned - result.returned_in_vain,
        result.returned,
        result.wait_p99,
    );
    result
}

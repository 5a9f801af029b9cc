//! `once`: random schedules of once-only calls, and the latency of their claims.

use std::thread;

use serde::Serialize;

use crate::cmd::{MeasureError, MeasureOptions};
use crate::once::latency::{self, ClaimLoad};
use crate::once::result::ScheduleResult;
use crate::once::schedule::OmittedMechanism;
use crate::once::world::ScheduleWorld;

/// Schedules of a run.
const SCHEDULES: u64 = 100_000;
/// Schedules of a run with a mechanism taken out.
const CONTROL_SCHEDULES: u64 = 20_000;
/// Threads that run schedules.
const THREADS: u64 = 4;
/// Time over which the latency of claims is measured.
const LATENCY_DURATION_US: u64 = 120_000_000;
/// Calls per second in a zone at which the ratio is reported.
const USUAL_CALLS_PER_SECOND: f64 = 5.0;
/// Calls per second in a zone that fill every append.
const SATURATING_CALLS_PER_SECOND: f64 = 500.0;
/// Median time of an append and of a read at the log.
const APPEND_US: u64 = 20_000;
const READ_US: u64 = 10_000;

#[derive(Serialize)]
struct OnceReport {
    case: String,
    seed: u64,
    schedules: u64,
    double_runs: u64,
    false_not_run: u64,
    false_ran: u64,
    differing_answers: u64,
    calls: u64,
    sends: u64,
    runs: u64,
    answered: u64,
    refused_not_run: u64,
    refused_unknown: u64,
    refused_ran: u64,
    claim_latency_ratio: f64,
    claim_latency_ratio_saturated: f64,
    appends_per_second: f64,
}

#[derive(Clone, Copy, Default)]
struct ScheduleTotals {
    sum: ScheduleResult,
    first_violation: Option<u64>,
}

/// Runs the measure. Cases take a mechanism out.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let case = options.case.clone().unwrap_or_else(|| "all".to_owned());
    let omitted = omitted_mechanism(&case)?;
    let is_whole = omitted == OmittedMechanism::default();
    let schedules = if is_whole { SCHEDULES } else { CONTROL_SCHEDULES };
    let totals = run_schedules(options.seed, schedules, omitted);
    let usual = measure_latency(options.seed, USUAL_CALLS_PER_SECOND);
    let saturated = measure_latency(options.seed, SATURATING_CALLS_PER_SECOND);
    print_latency(options.seed);
    let sum = totals.sum;
    let report = OnceReport {
        case,
        seed: options.seed,
        schedules,
        double_runs: sum.double_runs,
        false_not_run: sum.false_not_run,
        false_ran: sum.false_ran,
        differing_answers: sum.differing_answers,
        calls: sum.calls,
        sends: sum.sends,
        runs: sum.runs,
        answered: sum.answered,
        refused_not_run: sum.refused_not_run,
        refused_unknown: sum.refused_unknown,
        refused_ran: sum.refused_ran,
        claim_latency_ratio: usual.ratio(),
        claim_latency_ratio_saturated: saturated.ratio(),
        appends_per_second: saturated.max_appends_in_second as f64,
    };
    let line = serde_json::to_string(&report).expect("a report of numbers can be encoded");
    println!("{line}");
    match totals.first_violation {
        Some(seed) if is_whole => {
            Err(MeasureError::Violated(format!("schedule of seed {seed} violates an invariant")))
        }
        _ => Ok(()),
    }
}

fn omitted_mechanism(case: &str) -> Result<OmittedMechanism, MeasureError> {
    let whole = OmittedMechanism::default();
    match case {
        "all" => Ok(whole),
        "no-read-back" => Ok(OmittedMechanism { read_back: true, ..whole }),
        "not-run-in-outage" => Ok(OmittedMechanism { unknown_in_outage: true, ..whole }),
        "no-log" => Ok(OmittedMechanism { log: true, ..whole }),
        "run-again" => Ok(OmittedMechanism { hold_after_death: true, ..whole }),
        _ => Err(MeasureError::UnknownCase(case.to_owned())),
    }
}

fn run_schedules(seed: u64, schedules: u64, omitted: OmittedMechanism) -> ScheduleTotals {
    let mut totals = ScheduleTotals::default();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|worker| {
                scope.spawn(move || {
                    let mut totals = ScheduleTotals::default();
                    for number in (worker..schedules).step_by(THREADS as usize) {
                        let seed = seed * SCHEDULES + number;
                        totals.add(seed, ScheduleWorld::new(seed, omitted).run());
                    }
                    totals
                })
            })
            .collect();
        for worker in workers {
            let part = worker.join().expect("a schedule broke an assertion of the program");
            totals.merge(part);
        }
    });
    totals
}

impl ScheduleTotals {
    fn add(&mut self, seed: u64, result: ScheduleResult) {
        let sum = &mut self.sum;
        sum.calls += result.calls;
        sum.sends += result.sends;
        sum.runs += result.runs;
        sum.answered += result.answered;
        sum.refused_not_run += result.refused_not_run;
        sum.refused_unknown += result.refused_unknown;
        sum.refused_ran += result.refused_ran;
        sum.double_runs += result.double_runs;
        sum.false_not_run += result.false_not_run;
        sum.false_ran += result.false_ran;
        sum.differing_answers += result.differing_answers;
        let violations =
            result.double_runs + result.false_not_run + result.false_ran + result.differing_answers;
        if violations > 0 {
            self.note_violation(seed);
        }
    }

    fn note_violation(&mut self, seed: u64) {
        let first = self.first_violation.unwrap_or(seed);
        self.first_violation = Some(first.min(seed));
    }

    fn merge(&mut self, part: Self) {
        self.add(part.first_violation.unwrap_or_default(), part.sum);
        if let Some(seed) = part.first_violation {
            self.note_violation(seed);
        }
    }
}

fn measure_latency(seed: u64, calls_per_second: f64) -> latency::ClaimLatency {
    let load = ClaimLoad {
        calls_per_second,
        append_us: APPEND_US,
        read_us: READ_US,
        duration_us: LATENCY_DURATION_US,
    };
    latency::run(seed, load)
}

fn print_latency(seed: u64) {
    println!(
        "{:>8} {:>10} {:>10} {:>8} {:>12} {:>14}",
        "calls/s", "median ms", "p99 ms", "ratio", "appends/s", "most in 1 s"
    );
    for calls_per_second in [1.0, USUAL_CALLS_PER_SECOND, 20.0, 100.0, SATURATING_CALLS_PER_SECOND]
    {
        let latency = measure_latency(seed, calls_per_second);
        println!(
            "{calls_per_second:>8} {:>10.1} {:>10.1} {:>8.2} {:>12.1} {:>14}",
            latency.median_us as f64 / 1000.0,
            latency.p99_us as f64 / 1000.0,
            latency.ratio(),
            latency.appends_per_second,
            latency.max_appends_in_second,
        );
    }
}

//! `retries`: a third of the upstreams fail, some requests crash what runs them.

use serde::Serialize;

use crate::cmd::{MeasureError, MeasureOptions};
use crate::retries::fleet::OmittedMechanism;
use crate::retries::result::RetriesResult;
use crate::retries::world::FleetWorld;

#[derive(Serialize)]
struct RetriesReport {
    case: String,
    seed: u64,
    requests: u64,
    amplification: f64,
    peak_amplification: f64,
    answered: f64,
    crashes: u64,
    crashed_upstreams: u64,
    innocents_quarantined: u64,
}

/// Runs the measure. Cases take a mechanism out.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let case = options.case.clone().unwrap_or_else(|| "all".to_owned());
    let omitted = omitted_mechanism(&case)?;
    let result = FleetWorld::new(options.seed, omitted).run();
    print_reasons(&result);
    let report = RetriesReport {
        case,
        seed: options.seed,
        requests: result.requests,
        amplification: result.sends as f64 / result.requests as f64,
        peak_amplification: result.peak_amplification,
        answered: result.answered as f64 / result.innocent as f64,
        crashes: result.crashes,
        crashed_upstreams: result.max_crashes_per_poison,
        innocents_quarantined: result.innocents_quarantined,
    };
    let line = serde_json::to_string(&report).expect("a report of numbers can be encoded");
    println!("{line}");
    Ok(())
}

fn omitted_mechanism(case: &str) -> Result<OmittedMechanism, MeasureError> {
    let whole = OmittedMechanism::default();
    match case {
        "all" => Ok(whole),
        "no-breaker" => Ok(OmittedMechanism { breaker: true, ..whole }),
        "no-budget" => Ok(OmittedMechanism { budget: true, ..whole }),
        "no-breaker-no-budget" => Ok(OmittedMechanism { breaker: true, budget: true, ..whole }),
        "no-quarantine" => Ok(OmittedMechanism { quarantine: true, ..whole }),
        _ => Err(MeasureError::UnknownCase(case.to_owned())),
    }
}

fn print_reasons(result: &RetriesResult) {
    println!("{:<28} {:>8}", "retries by reason", "count");
    for (reason, count) in &result.retries {
        println!("  {reason:<26} {count:>8}");
    }
    println!("{:<28} {:>8}", "refusals by reason", "count");
    for (reason, count) in &result.refusals {
        println!("  {reason:<26} {count:>8}");
    }
}

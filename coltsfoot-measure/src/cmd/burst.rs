//! `burst`: a burst of requests for rare adapters, placed by the gateway and by other policies.

use serde::Serialize;

use crate::burst::world::{BurstWorld, ChoicePolicy};
use crate::cmd::{MeasureError, MeasureOptions};

/// Instances and engines of the users' smaller site.
const INSTANCES: usize = 6;
const ENGINES: usize = 12;

#[derive(Serialize)]
struct BurstReport {
    case: String,
    seed: u64,
    worth: f64,
    requests: usize,
    in_target: usize,
    late: usize,
    refusals: usize,
    lost: usize,
    fetches: usize,
    misdirected: usize,
}

/// Runs the measure. Cases name the policy.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let case = options.case.clone().unwrap_or_else(|| "gateway".to_owned());
    let policy = match case.as_str() {
        "gateway" => ChoicePolicy::Gateway,
        "coming-unknown" => ChoicePolicy::ComingUnknown,
        "least-loaded" => ChoicePolicy::LeastLoaded,
        "no-adapters" => ChoicePolicy::NoAdapters,
        _ => return Err(MeasureError::UnknownCase(case)),
    };
    let result = BurstWorld::new(options.seed, INSTANCES, ENGINES, policy).run();
    let report = BurstReport {
        case,
        seed: options.seed,
        worth: result.worth(),
        requests: result.requests,
        in_target: result.in_target,
        late: result.late,
        refusals: result.refusals,
        lost: result.lost,
        fetches: result.fetches,
        misdirected: result.misdirected,
    };
    let line = serde_json::to_string(&report).expect("a report of numbers can be encoded");
    println!("{line}");
    Ok(())
}

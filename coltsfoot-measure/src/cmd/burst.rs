//! `burst`: a burst of requests for rare adapters, placed by the gateway and by other policies.

use serde::Serialize;

use crate::burst::world::{BurstWorld, ChoicePolicy, NamedLimits};
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
    busiest_span: usize,
}

/// Decodes `limited-ENGINES-LIMIT`; other cases name no limits.
fn named_limits(case: &str) -> Option<NamedLimits> {
    let Some(limits) = case.strip_prefix("limited-") else {
        return Some(NamedLimits { engines: 0, per_s: 0.0 });
    };
    let (engines, per_s) = limits.split_once('-')?;
    let engines = engines.parse().ok().filter(|engines| *engines <= ENGINES)?;
    Some(NamedLimits { engines, per_s: per_s.parse().ok()? })
}

/// Runs the measure. Cases name the policy.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let case = options.case.clone().unwrap_or_else(|| "gateway".to_owned());
    let policy = match case.as_str() {
        "gateway" => ChoicePolicy::Gateway,
        "coming-unknown" => ChoicePolicy::ComingUnknown,
        "least-loaded" => ChoicePolicy::LeastLoaded,
        "no-adapters" => ChoicePolicy::NoAdapters,
        _ if case.starts_with("limited") => ChoicePolicy::Gateway,
        _ => return Err(MeasureError::UnknownCase(case)),
    };
    let limits = named_limits(&case).ok_or(MeasureError::UnknownCase(case.clone()))?;
    let result = BurstWorld::new(options.seed, INSTANCES, ENGINES, policy, limits).run();
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
        busiest_span: result.busiest_span(),
    };
    let line = serde_json::to_string(&report).expect("a report of numbers can be encoded");
    println!("{line}");
    Ok(())
}

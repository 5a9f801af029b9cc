//! `limits`: an upstream that named a limit, many instances, and ways to keep to it.

use serde::Serialize;

use crate::cmd::{MeasureError, MeasureOptions};
use crate::limits::division::LimitDivision;
use crate::limits::world::LimitWorld;

#[derive(Serialize)]
struct LimitReport {
    case: String,
    seed: u64,
    asked: usize,
    sent: usize,
    busiest_span: usize,
    used_share: f64,
    messages: usize,
}

struct LimitCase {
    division: LimitDivision,
    instances: usize,
    per_s: f64,
    has_faults: bool,
}

/// Decodes `DIVISION-INSTANCES-LIMIT`, with `-faults` behind it or not.
fn decode_case(case: &str) -> Option<LimitCase> {
    let (case, has_faults) = match case.strip_suffix("-faults") {
        Some(case) => (case, true),
        None => (case, false),
    };
    let (division, rest) = case.split_once('-')?;
    let (instances, per_s) = rest.split_once('-')?;
    let division = match division {
        "giver" => LimitDivision::Giver,
        "equal" => LimitDivision::EqualParts,
        "demand" => LimitDivision::DemandParts,
        _ => return None,
    };
    let instances = instances.parse().ok().filter(|instances| *instances >= 3)?;
    Some(LimitCase { division, instances, per_s: per_s.parse().ok()?, has_faults })
}

/// Runs the measure.
pub fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let name = options.case.clone().unwrap_or_else(|| "giver-6-1".to_owned());
    let case = decode_case(&name).ok_or(MeasureError::UnknownCase(name.clone()))?;
    let LimitCase { division, instances, per_s, has_faults } = case;
    let result = LimitWorld::new(options.seed, instances, per_s, division, has_faults).run();
    let report = LimitReport {
        case: name,
        seed: options.seed,
        asked: result.asked,
        sent: result.sent_ms.len(),
        busiest_span: result.busiest_span(),
        used_share: result.used_share(per_s),
        messages: result.messages,
    };
    let line = serde_json::to_string(&report).expect("a report of numbers can be encoded");
    println!("{line}");
    Ok(())
}

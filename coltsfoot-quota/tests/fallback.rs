//! While the own zone's owner doesn't answer, another zone's owner may grant tokens but not refuse
//! requests.

use std::collections;
use std::time;

use coltsfoot_quota::{event, limit_history, quota_agent, token_bucket};
use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::quota;
use smallvec::smallvec;

const TICK: time::Duration = time::Duration::from_millis(50);

/// Makes an agent ask both zones' owners for one request. Returns the report to the other zone's.
fn ask_both(agent: &mut quota_agent::QuotaAgent) -> (clock::MonotonicTime, quota::GrantReport) {
    let mut now = clock::MonotonicTime(1_000_000);
    let limits = limit_history::CustomerLimits {
        total: token_bucket::BucketLimits { rate: 100, burst: 1_000 },
        zone_permille: collections::BTreeMap::from([("brest".into(), 500), ("rennes".into(), 500)]),
    };
    let customer = "korrigan".into();
    agent.handle(now, event::AgentEvent::Configured { customer, limits: Some(limits) });
    let admission = event::AdmissionRequest {
        request: id::RequestId(1),
        customer: "korrigan".into(),
        tokens: 60,
        deadline: now + time::Duration::from_secs(10),
        fingerprint: 7,
    };
    agent.handle(now, event::AgentEvent::Admit(admission));
    for _ in 0..20 {
        now = now + TICK;
        for action in agent.handle(now, event::AgentEvent::Tick) {
            if let event::QuotaAction::Send { message, .. } = action
                && let quota::QuotaMessage::Report(report) = message
                && report.zone.as_str() == "brest"
                && !report.requests.is_empty()
            {
                return (now, report);
            }
        }
    }
    panic!("no report was sent to the other zone");
}

fn answer(report: &quota::GrantReport, granted: u64) -> quota::GrantUpdate {
    let refusal = quota::TokenRefusal {
        request: id::RequestId(1),
        retry_after: time::Duration::from_secs(3),
    };
    quota::GrantUpdate {
        customer: report.customer.clone(),
        zone: report.zone.clone(),
        role: quota::HolderRole::Instance,
        session: 1,
        number: 1,
        sequence: report.sequence,
        granted,
        lifetime: time::Duration::from_secs(2),
        spare_rate: 0,
        is_nearly_full: false,
        refusals: if granted == 0 { smallvec![refusal] } else { smallvec![] },
        served: smallvec![],
    }
}

#[test]
fn refusal_from_other_zone_does_not_end_the_wait() {
    let mut agent = quota_agent::QuotaAgent::new("rennes".into(), quota_agent::DEFAULT_MAX_WAIT);
    let (now, report) = ask_both(&mut agent);
    let update = answer(&report, 0);
    let actions = agent.handle(now, event::AgentEvent::Grant { sender: "entry-b".into(), update });
    let is_refused =
        |action: &event::QuotaAction| matches!(action, event::QuotaAction::Refuse { .. });
    assert!(!actions.iter().any(is_refused), "{actions:?}");
}

#[test]
fn grant_from_other_zone_admits() {
    let mut agent = quota_agent::QuotaAgent::new("rennes".into(), quota_agent::DEFAULT_MAX_WAIT);
    let (now, report) = ask_both(&mut agent);
    let update = answer(&report, 60);
    let actions = agent.handle(now, event::AgentEvent::Grant { sender: "entry-b".into(), update });
    let admitted = event::QuotaAction::Admit { request: id::RequestId(1) };
    assert!(actions.contains(&admitted), "{actions:?}");
}

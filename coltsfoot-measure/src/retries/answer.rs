//! What an instance sees of an attempt, by the mode of the upstream.

use coltsfoot_once::dispatch_event::{AttemptEvent, ResponseHead, ResponseIdentity};

use crate::retries::fleet::UpstreamMode;

/// Time after which a silent upstream is given up.
const ATTEMPT_TIMEOUT_US: u64 = 1_000_000;

/// Returns the events of an attempt with the time after its sending.
pub fn answer_events(mode: UpstreamMode, service_us: u64) -> Vec<(u64, AttemptEvent)> {
    let head = |status| AttemptEvent::Head(ResponseHead { status, is_not_run: false });
    let end = || AttemptEvent::Ended(ResponseIdentity::default());
    match mode {
        UpstreamMode::Healthy => vec![(service_us, head(200)), (service_us + 100, end())],
        UpstreamMode::RefusesConnections => vec![(1_000, AttemptEvent::ConnectFailed)],
        UpstreamMode::ClosesConnections => vec![(30_000, AttemptEvent::NoResponse)],
        UpstreamMode::AnswersErrors => vec![(20_000, head(500)), (20_100, end())],
        UpstreamMode::BreaksAnswers => {
            vec![(50_000, head(200)), (60_000, AttemptEvent::BodyFailed)]
        }
        UpstreamMode::Silent => vec![(ATTEMPT_TIMEOUT_US, AttemptEvent::TimedOut)],
        UpstreamMode::Crawls => {
            let crawl_us = 10 * service_us + 1_000_000;
            vec![(crawl_us, head(200)), (crawl_us + 100, end())]
        }
    }
}

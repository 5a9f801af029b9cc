//! Answers to callers: refusals as JSON, and bodies that are streamed.

use std::time;

use coltsfoot_once::run_state;
use coltsfoot_types::refusal;
use http_types::{StatusCode, headers};
use serde::Serialize;

/// Whether a request ran, as told to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// It did not run and won't.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

impl From<run_state::RunState> for ExecutionStatus {
    fn from(run: run_state::RunState) -> Self {
        match run.knowledge() {
            run_state::RunKnowledge::NotRun => Self::No,
            run_state::RunKnowledge::MayHaveRun => Self::Unknown,
            run_state::RunKnowledge::Ran => Self::Yes,
        }
    }
}

/// A request that isn't answered by an upstream.
#[derive(Clone, Copy, Debug)]
pub struct CallerRefusal {
    /// Why.
    pub reason: refusal::RefusalReason,
    /// Whether it ran.
    pub ran: ExecutionStatus,
    /// When coming back will help, if waiting helps.
    pub retry_after: Option<time::Duration>,
}

#[derive(Serialize)]
struct RefusalBody {
    error: RefusalDetail,
}

#[derive(Serialize)]
struct RefusalDetail {
    code: &'static str,
    message: &'static str,
    ran: ExecutionStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl CallerRefusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: refusal::RefusalReason) -> Self {
        Self { reason, ran: ExecutionStatus::No, retry_after: None }
    }

    /// Adds the time after which the caller should come back.
    pub fn with_retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the JSON body.
    pub fn to_json(self) -> String {
        let body = RefusalBody {
            error: RefusalDetail {
                code: self.reason.code(),
                message: self.reason.message(),
                ran: self.ran,
                retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the HTTP response.
    pub fn to_response(self) -> http_types::Response {
        let status =
            StatusCode::try_from(self.reason.status()).unwrap_or(StatusCode::InternalServerError);
        let mut response = http_types::Response::new(status);
        response.set_body(self.to_json());
        response.insert_header(headers::CONTENT_TYPE, "application/json");
        if let Some(delay) = self.retry_after {
            response.insert_header(headers::RETRY_AFTER, whole_seconds(delay).to_string());
        }
        response
    }
}

/// Rounds up, since the header holds whole seconds and coming back early would not help.
fn whole_seconds(delay: time::Duration) -> u64 {
    delay.as_millis().div_ceil(1_000).max(1) as u64
}

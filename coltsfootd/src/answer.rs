//! HTTP responses that refuse a caller's request, with a JSON body.

use std::time;

use coltsfoot_once::run_state;
use coltsfoot_types::refusal;
use http_types::{StatusCode, headers};
use serde::Serialize;

/// Whether a refused request was executed, as stated in the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// It was not executed and won't be.
    No,
    /// It may have been executed.
    Unknown,
    /// It was executed.
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

/// A response that replaces one of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct CallerRefusal {
    /// Reason, which determines status, code and message.
    pub reason: refusal::RefusalReason,
    /// Whether the request was executed.
    pub ran: ExecutionStatus,
    /// Time after which a retry may succeed; `None` if waiting does not help.
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
    /// Creates the refusal of a request that was not executed.
    pub fn not_run(reason: refusal::RefusalReason) -> Self {
        Self { reason, ran: ExecutionStatus::No, retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Encodes the body, `{"error": {...}}`.
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

    /// Builds the HTTP response, with a `Retry-After` header if a retry may succeed.
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

/// Rounds up to at least 1 second: the header holds whole seconds, and an early retry would fail.
fn whole_seconds(delay: time::Duration) -> u64 {
    delay.as_millis().div_ceil(1_000).max(1) as u64
}

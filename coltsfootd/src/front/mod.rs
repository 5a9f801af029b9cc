//! HTTP interface for callers: chat completions and plain services.

mod access;
mod answer_stream;
mod chat;
mod crash_detector;
mod engine_attempt;
mod service;
mod service_breakers;
mod service_dispatch;

pub use service_breakers::ServiceBreakers;

use std::sync;

use coltsfoot_types::refusal;
use futures_lite::AsyncReadExt as _;
use http_types::{Method, Response};

use crate::{answer, shared};

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of plain services, followed by the route.
const SERVICES_PATH: &str = "/v1/services/";

/// Handles a caller's request; a refusal is counted and sent as the response.
pub async fn respond(
    shared: sync::Arc<shared::InstanceShared>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    request: http_types::Request,
) -> Response {
    let running = shared::InstanceStatus::track_request(&shared);
    let metrics = sync::Arc::clone(&shared);
    let path = request.url().path().to_owned();
    let result = match check_state(&shared) {
        Err(refusal) => Err(refusal),
        Ok(()) if path == CHAT_PATH && request.method() == Method::Post => {
            chat::respond(shared, executor, running, request).await
        }
        Ok(()) => match path.strip_prefix(SERVICES_PATH) {
            Some(rest) => service::respond(shared, executor, running, request, rest).await,
            None => Err(answer::CallerRefusal::not_run(refusal::RefusalReason::UnknownRoute)),
        },
    };
    result.unwrap_or_else(|refusal| {
        metrics.metrics.count_refusal(refusal.reason);
        refusal.to_response()
    })
}

/// Refuses requests until the configuration is restored. A draining instance still serves requests,
/// since the load balancer may lag behind `/readyz`.
fn check_state(shared: &shared::InstanceShared) -> Result<(), answer::CallerRefusal> {
    if shared.status.is_ready() {
        return Ok(());
    }
    let refusal = answer::CallerRefusal::not_run(refusal::RefusalReason::NotReady);
    Err(refusal.with_retry_after(std::time::Duration::from_secs(1)))
}

/// Reads a request's whole body, up to `max_bytes`.
async fn read_body(
    request: &mut http_types::Request,
    max_bytes: usize,
) -> Result<Vec<u8>, answer::CallerRefusal> {
    let refuse = answer::CallerRefusal::not_run;
    let announced = request.len();
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(refuse(refusal::RefusalReason::TooLarge));
    }
    let body = request.take_body();
    let mut bytes = Vec::new();
    let read = body.take(max_bytes as u64 + 1).read_to_end(&mut bytes).await;
    match read {
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            Err(refuse(refusal::RefusalReason::SlowSender))
        }
        Err(error) if error.kind() == std::io::ErrorKind::OutOfMemory => {
            let refusal = refuse(refusal::RefusalReason::NoMemory);
            Err(refusal.with_retry_after(std::time::Duration::from_secs(1)))
        }
        Err(_) => Err(refuse(refusal::RefusalReason::BadRequest)),
        Ok(_) if bytes.len() > max_bytes => Err(refuse(refusal::RefusalReason::TooLarge)),
        Ok(_) if announced.is_some_and(|length| length != bytes.len()) => {
            Err(refuse(refusal::RefusalReason::BadRequest))
        }
        Ok(_) => Ok(bytes),
    }
}

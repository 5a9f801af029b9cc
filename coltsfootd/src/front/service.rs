//! Calls to plain services.

use std::sync;
use std::time;

use coltsfoot_catalog::{digest, resolve};
use coltsfoot_once::{dispatch, key_window, run_state};
use coltsfoot_types::{id, refusal};
use coltsfoot_wire::once;

use crate::control::client;
use crate::front::service_dispatch::{self, CallResult, ServiceCall};
use crate::front::{access, read_body};
use crate::{answer, clock, shared};

/// Quota tokens charged for a call to a plain service.
const CALL_TOKENS: u64 = 1;
/// `Retry-After` of callers while the log is unavailable.
const LOG_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Handles a call to a plain service; `rest` is `ROUTE/PATH`.
pub async fn respond(
    shared: sync::Arc<shared::InstanceShared>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    running: shared::RunningRequest,
    mut request: http_types::Request,
    rest: &str,
) -> CallResult {
    let arrived = shared.clock.now();
    let refuse = answer::CallerRefusal::not_run;
    let (route, path) = rest.split_once('/').unwrap_or((rest, ""));
    let body = read_body(&mut request, shared.settings.limits.max_body_bytes).await?;
    let granted = access::authorize(&shared, &request, route)?;
    let resolve::ResolvedTarget::Service { service } = &granted.route.target else {
        return Err(refuse(refusal::RefusalReason::UnknownRoute));
    };
    let key = match granted.route.idempotent {
        true => None,
        false => Some(idempotency_key(&shared, &request)?),
    };
    let call = ServiceCall {
        service: service.clone(),
        method: request.method(),
        path: with_query(path, request.url().query()),
        content_type: request.content_type().map(|mime| mime.to_string()),
        body,
        request: id::RequestId(uuid::Uuid::now_v7().as_u128()),
        deadline: arrived + granted.route.deadline,
        key,
    };
    admit(&shared, &granted, &call).await?;
    let response = match key {
        Some(key) => {
            let entry = claim_entry(key, route, granted.key.as_ref(), &call);
            run_once(&shared, &executor, running, call, entry).await?
        }
        None => run_idempotent(&shared, &executor, running, call).await?,
    };
    shared.metrics.count_answer("service");
    Ok(response)
}

async fn admit(
    shared: &shared::InstanceShared,
    granted: &access::GrantedAccess,
    call: &ServiceCall,
) -> Result<(), answer::CallerRefusal> {
    let query = client::AdmissionQuery {
        request: call.request,
        customer: granted.route.charged.clone(),
        tokens: CALL_TOKENS,
        max_wait: granted.route.deadline,
        fingerprint: access::fingerprint(granted.key.as_ref(), &call.body),
    };
    let mut charge = shared.control.admit(query).await.map_err(|refusal| {
        let refused = answer::CallerRefusal::not_run(refusal.reason);
        refusal.retry_after.map_or(refused, |delay| refused.with_retry_after(delay))
    })?;
    charge.keep_all();
    Ok(())
}

fn with_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

/// Parses the key of a once-only call. A key outside of the key window may have been used before,
/// so its refusal doesn't state that the call did not run.
fn idempotency_key(
    shared: &shared::InstanceShared,
    request: &http_types::Request,
) -> Result<once::IdempotencyKey, answer::CallerRefusal> {
    let refuse = answer::CallerRefusal::not_run;
    let header = request.header(service_dispatch::IDEMPOTENCY_HEADER);
    let text = header.ok_or(refuse(refusal::RefusalReason::MissingIdempotencyKey))?;
    let window = key_window::KeyWindow::for_retention(shared.settings.log_retention);
    window.parse(text.last().as_str(), clock::wall_time().0).map_err(|error| {
        let refusal = refuse(refusal::RefusalReason::InvalidIdempotencyKey);
        let ran = match error {
            key_window::KeyError::Malformed => answer::ExecutionStatus::No,
            key_window::KeyError::TooOld | key_window::KeyError::FromFuture => {
                answer::ExecutionStatus::Unknown
            }
        };
        answer::CallerRefusal { ran, ..refusal }
    })
}

/// Builds the claim of a call. The digest covers the caller's key and the request, so that no
/// caller gets the recorded answer of another with the same idempotency key.
fn claim_entry(
    key: once::IdempotencyKey,
    route: &str,
    caller: Option<&digest::KeyDigest>,
    call: &ServiceCall,
) -> once::ClaimEntry {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.map_or(&[], |digest| digest.0.as_slice()));
    for part in [route, call.method.as_ref(), &call.path] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&call.body);
    once::ClaimEntry {
        key,
        digest: once::RequestDigest(*hasher.finalize().as_bytes()),
        claim: once::ClaimId(uuid::Uuid::now_v7()),
    }
}

/// Runs an idempotent call; it is cancelled when its caller disconnects.
async fn run_idempotent(
    shared: &sync::Arc<shared::InstanceShared>,
    executor: &sync::Arc<async_executor::Executor<'static>>,
    running: shared::RunningRequest,
    call: ServiceCall,
) -> CallResult {
    let (caller, answer) = async_channel::bounded(1);
    let kind = dispatch::CallKind::Idempotent(run_state::PendingRequest::new());
    let shared = sync::Arc::clone(shared);
    let task = executor.spawn(async move {
        service_dispatch::run(shared, call, kind, caller).await;
        drop(running);
    });
    let received = answer.recv().await;
    drop(task);
    received.unwrap_or(Err(internal_error()))
}

/// Claims and runs a once-only call, to its end even if the caller disconnects.
async fn run_once(
    shared: &sync::Arc<shared::InstanceShared>,
    executor: &sync::Arc<async_executor::Executor<'static>>,
    running: shared::RunningRequest,
    call: ServiceCall,
    entry: once::ClaimEntry,
) -> CallResult {
    let (caller, answer) = async_channel::bounded(1);
    let shared = sync::Arc::clone(shared);
    let running_call = async move {
        let query = client::ClaimQuery { entry, deadline: call.deadline };
        match shared.control.claim(query).await {
            Some(client::ClaimDecision::Dispatch(won)) => {
                let kind = dispatch::CallKind::OnceOnly(won);
                service_dispatch::run(shared, call, kind, caller).await;
            }
            Some(client::ClaimDecision::Answer(recorded)) => {
                let _ = caller.try_send(Ok(service_dispatch::to_response(&recorded)));
            }
            Some(client::ClaimDecision::Refuse(reason, run)) => {
                let _ = caller.try_send(Err(refuse_claim(reason, run)));
            }
            None => {}
        }
        drop(running);
    };
    executor.spawn(running_call).detach();
    answer.recv().await.unwrap_or(Err(internal_error()))
}

fn refuse_claim(reason: refusal::RefusalReason, run: run_state::RunState) -> answer::CallerRefusal {
    let is_unavailable = reason == refusal::RefusalReason::LogUnavailable;
    let retry_after = is_unavailable.then_some(LOG_RETRY_AFTER);
    answer::CallerRefusal { reason, ran: run.into(), retry_after }
}

/// Returns the refusal for a call that is interrupted by the instance's shutdown.
fn internal_error() -> answer::CallerRefusal {
    let reason = refusal::RefusalReason::Internal;
    answer::CallerRefusal { reason, ran: answer::ExecutionStatus::Unknown, retry_after: None }
}

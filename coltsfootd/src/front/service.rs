//! Calls of plain services.

use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_catalog::resolve;
use coltsfoot_platform::{error, http, protocol};
use coltsfoot_types::{id, name, refusal, time as instant};
use http_types::Response;

use crate::control::client;
use crate::front::{access, read_body};
use crate::{answer, event, metrics, shared};

/// Tokens that a call of a plain service is charged.
const CALL_TOKENS: u64 = 1;
/// Attempts of one idempotent call.
const MAX_ATTEMPTS: usize = 3;
/// Largest answer of a service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// Spreads calls over the upstreams of a service.
static NEXT_UPSTREAM: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// A call as sent to a service.
struct ServiceCall {
    method: http_types::Method,
    path: String,
    content_type: Option<String>,
    body: Vec<u8>,
    request: id::RequestId,
    deadline: instant::MonotonicTime,
}

/// Answers a call of a plain service at `ROUTE/PATH`.
pub async fn respond(
    shared: sync::Arc<shared::InstanceShared>,
    running: shared::RunningRequest,
    mut request: http_types::Request,
    rest: &str,
) -> Result<Response, answer::CallerRefusal> {
    let arrived = shared.clock.now();
    let refuse = answer::CallerRefusal::not_run;
    let (route, path) = rest.split_once('/').unwrap_or((rest, ""));
    let body = read_body(&mut request, shared.settings.limits.max_body_bytes).await?;
    let granted = access::authorize(&shared, &request, route)?;
    let resolve::ResolvedTarget::Service { service } = &granted.route.target else {
        return Err(refuse(refusal::RefusalReason::UnknownRoute));
    };
    let call = ServiceCall {
        method: request.method(),
        path: with_query(path, request.url().query()),
        content_type: request.content_type().map(|mime| mime.to_string()),
        body,
        request: id::RequestId(uuid::Uuid::now_v7().as_u128()),
        deadline: arrived + granted.route.deadline,
    };
    let query = client::AdmissionQuery {
        request: call.request,
        customer: granted.route.charged.clone(),
        tokens: CALL_TOKENS,
        patience: granted.route.deadline,
        fingerprint: access::fingerprint(granted.key.as_ref(), &call.body),
    };
    let mut charge = shared.control.admit(query).await.map_err(|refusal| {
        let refused = refuse(refusal.reason);
        refusal.retry_after.map_or(refused, |delay| refused.with_retry_after(delay))
    })?;
    charge.keep_all();
    let response = run_idempotent(&shared, service, &call).await?;
    shared.metrics.count_answer("service");
    drop(running);
    Ok(response)
}

fn with_query(path: &str, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

async fn run_idempotent(
    shared: &shared::InstanceShared,
    service: &name::ServiceName,
    call: &ServiceCall,
) -> Result<Response, answer::CallerRefusal> {
    let mut maybe_ran = false;
    let mut tried: Vec<name::UpstreamName> = Vec::new();
    while tried.len() < MAX_ATTEMPTS {
        let Some(upstream) = choose_upstream(shared, service, &tried) else { break };
        tried.push(upstream.name.clone());
        match send(shared, &upstream, call, http::ConnectionReuse::Allow).await {
            Ok(response) => return Ok(response),
            Err(error) => {
                maybe_ran |= !error.nothing_sent();
                note_failure(shared, call, &error);
            }
        }
    }
    let ran = if maybe_ran { answer::RanAnswer::Unknown } else { answer::RanAnswer::No };
    let reason = match tried.is_empty() {
        true => refusal::RefusalReason::NoUpstream,
        false => refusal::RefusalReason::UpstreamFailed,
    };
    let retry_after = Some(time::Duration::from_secs(1));
    Err(answer::CallerRefusal { reason, ran, retry_after })
}

/// Prefers upstreams of the own zone that aren't leaving, in turn.
fn choose_upstream(
    shared: &shared::InstanceShared,
    service: &name::ServiceName,
    tried: &[name::UpstreamName],
) -> Option<protocol::UpstreamListing> {
    let listings = shared.services.load();
    let usable = |listing: &&protocol::UpstreamListing| {
        let role = protocol::UpstreamRole::Service { service: service.clone() };
        listing.role == role && !listing.leaving && !tried.contains(&listing.name)
    };
    let in_zone = |listing: &&protocol::UpstreamListing| listing.zone == shared.settings.zone;
    let mut candidates: Vec<_> = listings.iter().filter(usable).filter(in_zone).collect();
    if candidates.is_empty() {
        candidates = listings.iter().filter(usable).collect();
    }
    if candidates.is_empty() {
        return None;
    }
    let turn = NEXT_UPSTREAM.fetch_add(1, atomic::Ordering::Relaxed);
    Some(candidates[turn % candidates.len()].clone())
}

async fn send(
    shared: &shared::InstanceShared,
    upstream: &protocol::UpstreamListing,
    call: &ServiceCall,
    reuse: http::ConnectionReuse,
) -> Result<Response, error::HttpError> {
    let url = http::url(upstream.address, &call.path)?;
    let mut request = http_types::Request::new(call.method, url);
    request.set_body(call.body.as_slice());
    if let Some(content_type) = &call.content_type {
        request.insert_header(http_types::headers::CONTENT_TYPE, content_type.as_str());
    }
    request.insert_header(protocol::ATTEMPT_HEADER, call.request.to_string());
    let left = call.deadline.since(shared.clock.now());
    let pool = shared.upstreams.with_head_timeout(left);
    let exchange = pool.send(upstream.address, request, reuse).await?;
    let status = exchange.response.status();
    let content_type = exchange.response.content_type();
    let body = exchange.read_body(MAX_ANSWER_BYTES).await?;
    let mut response = Response::new(status);
    response.set_body(body);
    if let Some(content_type) = content_type {
        response.set_content_type(content_type);
    }
    Ok(response)
}

fn note_failure(shared: &shared::InstanceShared, call: &ServiceCall, error: &error::HttpError) {
    let reason = match error {
        error if error.nothing_sent() => metrics::RetryReason::Connect,
        error::HttpError::Timeout { .. } => metrics::RetryReason::Timeout,
        error::HttpError::BrokenBody { .. } => metrics::RetryReason::BrokenAnswer,
        _ => metrics::RetryReason::NoAnswer,
    };
    shared.metrics.count_retry(reason);
    event::emit(event::ATTEMPT_FAILED, format_args!("request {}: {error}", call.request));
}

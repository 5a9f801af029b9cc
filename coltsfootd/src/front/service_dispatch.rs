//! Runs the dispatch state machine of one call to a plain service.

use std::future;
use std::pin;
use std::sync;
use std::time;

use async_channel as channel;
use coltsfoot_once::circuit_breaker::UpstreamOutcome;
use coltsfoot_once::dispatch::{CallKind, DispatchMachine, DispatchSettings};
use coltsfoot_once::dispatch_event::{
    AttemptEnd, AttemptEvent, CallEnd, DispatchAction, DispatchEvent, ResponseHead,
    ResponseIdentity,
};
use coltsfoot_platform::{error, http, protocol};
use coltsfoot_types::{id, name, refusal, time as instant};
use coltsfoot_wire::once;
use futures_lite::FutureExt as _;
use http_types::Response;

use crate::front::service_breakers::UpstreamDemand;
use crate::{answer, event, shared};

/// Header with the key of a once-only call, from callers and to services.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Maximum size of a service's response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;
/// Maximum size of a response body that is recorded for repeated calls.
const MAX_RECORDED_BYTES: usize = 4 * 1_024;
/// Time beyond its deadline during which a once-only call still waits for its outcome.
const OUTCOME_GRACE: time::Duration = time::Duration::from_secs(30);
/// `Retry-After` of callers when the upstreams failed.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// A call to a service.
pub struct ServiceCall {
    /// The service.
    pub service: name::ServiceName,
    /// HTTP method of the caller's request.
    pub method: http_types::Method,
    /// Path and query at the service.
    pub path: String,
    /// Value of the caller's `Content-Type` header.
    pub content_type: Option<String>,
    /// Body of the caller's request.
    pub body: Vec<u8>,
    /// The request.
    pub request: id::RequestId,
    /// Deadline of the call.
    pub deadline: instant::MonotonicTime,
    /// Key of a once-only call; none for an idempotent one.
    pub key: Option<once::IdempotencyKey>,
}

/// Response or refusal for the caller.
pub type CallResult = Result<Response, answer::CallerRefusal>;

/// Complete response of a service.
#[derive(Clone, Debug)]
struct ServiceResponse {
    recorded: once::RecordedAnswer,
}

type AttemptFuture<'a> = pin::Pin<Box<dyn future::Future<Output = AttemptResult> + Send + 'a>>;

/// Result of an attempt: the events for the dispatch machine and the response, if complete.
struct AttemptResult {
    events: Vec<AttemptEvent>,
    response: Option<ServiceResponse>,
}

/// Runs a call to its end. The result is sent to `caller` as soon as it is known; a once-only call
/// may continue after that.
pub async fn run(
    shared: sync::Arc<shared::InstanceShared>,
    call: ServiceCall,
    kind: CallKind,
    caller: channel::Sender<CallResult>,
) {
    let settings =
        DispatchSettings::builder().request(call.request).deadline(call.deadline).build();
    let mut driver = CallDriver {
        machine: DispatchMachine::new(kind, settings),
        shared: &shared,
        call: &call,
        caller,
        attempt: None,
        sent_at: instant::MonotonicTime::default(),
        response: None,
        wake_at: call.deadline,
        outcome: None,
    };
    shared.lock_retries().deposit();
    driver.handle(DispatchEvent::Tick);
    while !driver.machine.is_ended() {
        driver.wait().await;
    }
    if let Some(outcome) = driver.outcome.take() {
        shared.control.record_outcome(outcome).await;
    }
}

struct CallDriver<'a> {
    machine: DispatchMachine,
    shared: &'a shared::InstanceShared,
    call: &'a ServiceCall,
    caller: channel::Sender<CallResult>,
    attempt: Option<(id::AttemptId, AttemptFuture<'a>)>,
    sent_at: instant::MonotonicTime,
    response: Option<ServiceResponse>,
    wake_at: instant::MonotonicTime,
    outcome: Option<once::OutcomeEntry>,
}

impl<'a> CallDriver<'a> {
    /// Waits for the attempt's end or the timer and passes it to the machine.
    async fn wait(&mut self) {
        let pause = self.wake_at.since(self.shared.clock.now());
        let wake = async {
            async_io::Timer::after(pause).await;
            None
        };
        let ended = match &mut self.attempt {
            Some((_, attempt)) => async { Some(attempt.await) }.or(wake).await,
            None => wake.await,
        };
        self.wake_at = self.shared.clock.now() + OUTCOME_GRACE;
        let Some(result) = ended else { return self.handle(DispatchEvent::Tick) };
        let Some((attempt, _)) = self.attempt.take() else { return };
        self.response = result.response;
        for event in result.events {
            self.handle(DispatchEvent::Attempt(attempt, event));
        }
    }

    fn handle(&mut self, event: DispatchEvent) {
        let now = self.shared.clock.now();
        let mut retries = self.shared.lock_retries();
        let actions = self.machine.handle(now, event, &mut retries, &mut rand::rng());
        drop(retries);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::RequestPermit { attempt, avoid, .. } => self.permit(attempt, &avoid),
            DispatchAction::Send { attempt, upstream, needs_fresh_connection, .. } => {
                self.send(attempt, &upstream, needs_fresh_connection);
            }
            DispatchAction::ReleasePermit(_, upstream, end) => self.release(&upstream, end),
            DispatchAction::ForwardResponse => {
                if let Some(response) = &self.response {
                    let _ = self.caller.try_send(Ok(to_response(&response.recorded)));
                }
            }
            DispatchAction::Refuse { reason, run, retry_after } => {
                let retry_after = retry_after.or(Some(RETRY_AFTER));
                let refusal = answer::CallerRefusal { reason, ran: run.into(), retry_after };
                let _ = self.caller.try_send(Err(refusal));
            }
            DispatchAction::RecordOutcome(CallEnd::Answered) => self.record_answer(),
            DispatchAction::RecordOutcome(CallEnd::Unanswered(entry)) => self.outcome = Some(entry),
            DispatchAction::CountRetry(reason) => self.shared.metrics.count_retry(reason.into()),
            DispatchAction::WakeAt(at) => self.wake_at = self.wake_at.min(at),
            // Responses of plain services aren't streamed, and dropping an attempt cancels it.
            _ => {}
        }
    }

    fn permit(&mut self, attempt: id::AttemptId, avoid: &[name::UpstreamName]) {
        let demand = UpstreamDemand {
            service: &self.call.service,
            zone: &self.shared.settings.zone,
            avoid,
            may_probe: self.call.key.is_none(),
        };
        let listings = self.shared.services.load();
        let now = self.shared.clock.now();
        let chosen = self.shared.breakers.choose(now, &listings, &demand);
        self.handle(match chosen {
            Some(listing) => {
                DispatchEvent::Permitted { attempt, upstream: listing.name, is_draining: false }
            }
            None => DispatchEvent::PermitRefused {
                attempt,
                reason: refusal::RefusalReason::NoUpstream,
                retry_after: Some(RETRY_AFTER),
            },
        });
    }

    fn send(
        &mut self,
        attempt: id::AttemptId,
        upstream: &name::UpstreamName,
        needs_fresh_connection: bool,
    ) {
        let reuse = match needs_fresh_connection {
            true => http::ConnectionReuse::Fresh,
            false => http::ConnectionReuse::Allow,
        };
        let listings = self.shared.services.load();
        let listing = listings.iter().find(|listing| listing.name == *upstream).cloned();
        let (shared, call) = (self.shared, self.call);
        self.sent_at = shared.clock.now();
        let sending = async move {
            let Some(listing) = listing else {
                return AttemptResult { events: vec![AttemptEvent::ConnectFailed], response: None };
            };
            send(shared, call, &listing, attempt, reuse).await
        };
        self.attempt = Some((attempt, Box::pin(sending)));
    }

    fn release(&mut self, upstream: &name::UpstreamName, end: AttemptEnd) {
        let now = self.shared.clock.now();
        let outcome = match end {
            AttemptEnd::Answered => UpstreamOutcome::Answered(now.since(self.sent_at)),
            AttemptEnd::Failed => UpstreamOutcome::Failed,
            AttemptEnd::Refused | AttemptEnd::Abandoned => UpstreamOutcome::Neutral,
        };
        if end == AttemptEnd::Failed {
            let request = self.call.request;
            event::emit(event::ATTEMPT_FAILED, format_args!("request {request} at {upstream}"));
        }
        self.shared.breakers.record(now, upstream, outcome);
    }

    fn record_answer(&mut self) {
        let Some(response) = &self.response else { return };
        let recorded = response.recorded.clone();
        self.outcome = match recorded.body.len() <= MAX_RECORDED_BYTES {
            true => self.machine.answered(recorded),
            false => self.machine.ran_without_answer(),
        };
    }
}

async fn send(
    shared: &shared::InstanceShared,
    call: &ServiceCall,
    listing: &protocol::UpstreamListing,
    attempt: id::AttemptId,
    reuse: http::ConnectionReuse,
) -> AttemptResult {
    match exchange(shared, call, listing, attempt, reuse).await {
        Ok(result) => result,
        Err(error) => AttemptResult { events: vec![failure_event(&error)], response: None },
    }
}

async fn exchange(
    shared: &shared::InstanceShared,
    call: &ServiceCall,
    listing: &protocol::UpstreamListing,
    attempt: id::AttemptId,
    reuse: http::ConnectionReuse,
) -> Result<AttemptResult, error::HttpError> {
    let request = build_request(call, listing, attempt)?;
    let time_left = call.deadline.since(shared.clock.now());
    let head_timeout = if call.key.is_some() { time_left + OUTCOME_GRACE } else { time_left };
    let pool = shared.upstreams.with_head_timeout(head_timeout);
    let exchange = pool.send(listing.address, request, reuse).await?;
    let status = exchange.status();
    let is_not_run = exchange.header(protocol::NOT_RUN_HEADER).is_some();
    let head = AttemptEvent::Head(ResponseHead { status, is_not_run });
    let content_type = exchange.header("content-type").unwrap_or_default().to_owned();
    let attempt_header = exchange.header(protocol::ATTEMPT_HEADER).map(str::to_owned);
    let identity = ResponseIdentity { attempt: attempt_header, adapter: None };
    match exchange.read_body(MAX_RESPONSE_BYTES).await {
        Ok(body) => {
            let recorded = once::RecordedAnswer { status, content_type, body };
            let response = Some(ServiceResponse { recorded });
            Ok(AttemptResult { events: vec![head, AttemptEvent::Ended(identity)], response })
        }
        Err(_) => {
            Ok(AttemptResult { events: vec![head, AttemptEvent::BodyFailed], response: None })
        }
    }
}

/// Builds the request to the service, without the caller's API key.
fn build_request(
    call: &ServiceCall,
    listing: &protocol::UpstreamListing,
    attempt: id::AttemptId,
) -> Result<http_types::Request, error::HttpError> {
    let url = http::url(listing.address, &call.path)?;
    let mut request = http_types::Request::new(call.method, url);
    request.set_body(call.body.as_slice());
    if let Some(content_type) = &call.content_type {
        request.insert_header(http_types::headers::CONTENT_TYPE, content_type.as_str());
    }
    request.insert_header(protocol::ATTEMPT_HEADER, attempt.to_string());
    if let Some(key) = &call.key {
        request.insert_header(IDEMPOTENCY_HEADER, key.to_string());
    }
    Ok(request)
}

fn failure_event(error: &error::HttpError) -> AttemptEvent {
    match error {
        error if error.nothing_sent() => AttemptEvent::ConnectFailed,
        error::HttpError::Send { .. } => AttemptEvent::SendFailed,
        error::HttpError::Timeout { .. } => AttemptEvent::TimedOut,
        _ => AttemptEvent::NoResponse,
    }
}

/// Builds the caller's response from a recorded one; an invalid status becomes 502.
pub fn to_response(recorded: &once::RecordedAnswer) -> Response {
    let status = http_types::StatusCode::try_from(recorded.status);
    let mut response = Response::new(status.unwrap_or(http_types::StatusCode::BadGateway));
    response.set_body(recorded.body.as_slice());
    if !recorded.content_type.is_empty() {
        let content_type = recorded.content_type.as_str();
        response.insert_header(http_types::headers::CONTENT_TYPE, content_type);
    }
    response
}

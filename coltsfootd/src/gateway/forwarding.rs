//! Forwards a request: picks an upstream, loads its adapter there, retries and relays the response.

use std::sync;
use std::time;

use async_net::TcpStream;
use coltsfoot_gateway::{
    attempt_plan, engine_choice, event_stream, failover_timer, limit_table, rules, upstream,
    upstream_search,
};
use coltsfoot_http::{body, header, message};
use coltsfoot_wire::fleet as wire;

use crate::event;
use crate::gateway::{
    attempt, exchange, failover, loads, origins, permits, request_log, state, upstream_attempt,
};

/// Maximum body size of a response that is not streamed, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum wait for an adapter load.
const MAX_LOAD_WAIT: time::Duration = time::Duration::from_millis(900);

/// How far an attempt has come.
pub(super) enum AttemptStage<'a> {
    Pending(Box<upstream_attempt::PendingAttempt<'a>>),
    Open(Box<upstream_attempt::OpenAttempt<'a>>),
}

/// What follows the stage of an attempt.
pub(super) enum AttemptProgress<'a> {
    Done(exchange::Outcome),
    /// A later stage, or one of the attempt at another upstream that has taken the request.
    Next(AttemptStage<'a>),
    /// The attempt brought no complete response and may be retried.
    Failed(upstream_attempt::FailedAttempt),
}

/// State of one request while it is forwarded.
pub(super) struct Forwarding<'a, 'b> {
    pub(super) state: &'a sync::Arc<state::GatewayState>,
    pub(super) exchange: &'b exchange::CallerExchange<'a>,
    pub(super) admitted: &'b exchange::AdmittedRequest,
    pub(super) writer: &'b mut TcpStream,
    pub(super) log: &'b mut request_log::RequestLog<'a>,
    pub(super) plan: attempt_plan::AttemptPlan,
    pub(super) position: event_stream::StreamPosition,
    /// Whether the head of the response was written to the caller.
    pub(super) is_response_started: bool,
    /// The engine that rejected the request for want of its adapter although it was listed as
    /// resident.
    pub(super) missing_adapter_at: Option<sync::Arc<str>>,
    /// The only version of software that may go on with the response; `None` as long as any may.
    pub(super) build: Option<upstream::BuildKey>,
    /// Whether a retry was withdrawn from the budget for an attempt that was not sent.
    pub(super) has_reserved_retry: bool,
    /// The last 5xx response of an upstream, returned to the caller if no attempt succeeds.
    pub(super) failed_response: Option<(header::ResponseHead, exchange::BufferedBody)>,
}

impl<'a, 'b> Forwarding<'a, 'b> {
    pub(super) fn new(
        exchange: &'b exchange::CallerExchange<'a>,
        admitted: &'b exchange::AdmittedRequest,
        writer: &'b mut TcpStream,
        log: &'b mut request_log::RequestLog<'a>,
    ) -> Self {
        Self {
            state: exchange.state,
            exchange,
            admitted,
            writer,
            log,
            plan: attempt_plan::AttemptPlan::new(&admitted.route),
            position: event_stream::StreamPosition::after(exchange.fields.last_event),
            is_response_started: false,
            missing_adapter_at: None,
            build: None,
            has_reserved_retry: false,
            failed_response: None,
        }
    }

    /// Forwards the request; gives up at its deadline.
    pub(super) async fn run_until_deadline(&mut self) -> exchange::Outcome {
        let left = self.time_left();
        match message::with_timeout(left, self.run()).await {
            Some(outcome) => outcome,
            None if self.is_response_started => exchange::Outcome::Aborted("deadline"),
            None => exchange::Outcome::Local(exchange::LocalReply::error(504, "deadline")),
        }
    }

    pub(super) fn time_left(&self) -> time::Duration {
        self.admitted.deadline.since(self.state.now())
    }

    async fn run(&mut self) -> exchange::Outcome {
        self.state.deposit_retry(&self.admitted.service.name);
        match origins::find_build(self.state, &self.exchange.fields, self.admitted).await {
            Ok(build) => self.build = build,
            Err(refusal) => return self.give_up(refusal),
        }
        let mut next = None;
        loop {
            let progress = match next.take() {
                None => match self.start_attempt().await {
                    Ok(progress) => progress,
                    Err(refusal) => return self.give_up(refusal),
                },
                Some(AttemptStage::Pending(pending)) => self.await_head(*pending).await,
                Some(AttemptStage::Open(open)) => self.forward_response(*open).await,
            };
            match progress {
                AttemptProgress::Done(outcome) => return outcome,
                AttemptProgress::Next(stage) => next = Some(stage),
                AttemptProgress::Failed(failed) => {
                    if let Err(refusal) = self.plan_retry(&failed) {
                        return self.give_up(refusal);
                    }
                }
            }
        }
    }

    /// Sends the request to the upstream that is expected to serve it first.
    async fn start_attempt(&mut self) -> Result<AttemptProgress<'b>, exchange::LocalReply> {
        self.exchange.check_stop(self.admitted)?;
        let target = self.admitted.route.target_latency;
        let search = upstream_search::UpstreamSearch::new(self.exchange.received, target);
        let chosen = self.search_upstream(search).await?;
        self.exchange.check_quarantine(&self.admitted.digest, &self.admitted.parts)?;
        // The search may have waited for an adapter.
        self.exchange.check_stop(self.admitted)?;
        Ok(match self.locate(&chosen.id) {
            Ok(endpoint) => {
                AttemptProgress::Next(AttemptStage::Pending(Box::new(self.send(chosen, endpoint))))
            }
            Err(detail) => AttemptProgress::Failed(upstream_attempt::FailedAttempt {
                upstream: chosen.id,
                end: attempt_plan::AttemptEnd::NotSent,
                detail,
            }),
        })
    }

    /// Returns whether a failed attempt is retried, or the refusal if it isn't.
    fn plan_retry(
        &mut self,
        failed: &upstream_attempt::FailedAttempt,
    ) -> Result<(), exchange::LocalReply> {
        let next = self.plan.record(&failed.upstream, failed.end);
        let has_budget = next != attempt_plan::NextStep::Retry
            || failed.end == attempt_plan::AttemptEnd::NotSent
            || self.withdraw_retry();
        self.log_attempt(failed, if has_budget { next.code() } else { "no_budget" });
        match next {
            attempt_plan::NextStep::Retry if has_budget => Ok(()),
            _ => Err(exchange::LocalReply::unavailable(
                failed.end.code(),
                upstream_search::RETRY_PAUSE,
            )),
        }
    }

    /// Records an attempt whose end decides nothing, as another one goes on.
    pub(super) fn record_attempt(
        &mut self,
        failed: &upstream_attempt::FailedAttempt,
        next: &'static str,
    ) {
        self.plan.record(&failed.upstream, failed.end);
        self.has_reserved_retry |= failed.end == attempt_plan::AttemptEnd::NotSent;
        self.log_attempt(failed, next);
    }

    fn log_attempt(&self, failed: &upstream_attempt::FailedAttempt, next: &'static str) {
        self.state.metrics.count_attempt(failed.detail);
        log::info!(
            event = event::ATTEMPT_ENDED.number, request = &*self.admitted.request_id,
            digest = self.admitted.digest.short(), upstream = &*failed.upstream,
            end = failed.end.code(), detail = failed.detail,
            next = next, events = self.position.forwarded(),
            ms = self.state.now().since(self.exchange.received).as_millis() as u64;
            "attempt_ended"
        );
    }

    pub(super) fn has_retry(&self) -> bool {
        self.has_reserved_retry || self.state.has_retry(&self.admitted.service.name)
    }

    pub(super) fn withdraw_retry(&mut self) -> bool {
        std::mem::take(&mut self.has_reserved_retry)
            || self.state.withdraw_retry(&self.admitted.service.name)
    }

    /// Returns the outcome of a request that is not retried any more.
    fn give_up(&mut self, refusal: exchange::LocalReply) -> exchange::Outcome {
        if self.is_response_started {
            return exchange::Outcome::Aborted(refusal.reason);
        }
        if let Some((head, body)) = self.failed_response.take() {
            return exchange::Outcome::Buffered(head, body);
        }
        match self.plan.final_step() {
            attempt_plan::NextStep::Fail => {
                exchange::Outcome::Local(exchange::LocalReply::error(502, refusal.reason))
            }
            _ => exchange::Outcome::Local(refusal),
        }
    }

    /// Finds an upstream that can run the request now, and loads the adapter there if needed.
    pub(super) async fn search_upstream(
        &mut self,
        mut search: upstream_search::UpstreamSearch,
    ) -> Result<engine_choice::ChosenUpstream, exchange::LocalReply> {
        loop {
            match self.search_step(&mut search) {
                upstream_search::SearchStep::Send(chosen) => {
                    if self.acquire_permit(&chosen).await {
                        return Ok(chosen);
                    }
                }
                upstream_search::SearchStep::Load(chosen) => {
                    let end = self.load(&chosen).await;
                    if end == upstream_search::LoadEnd::Ready && self.acquire_permit(&chosen).await
                    {
                        return Ok(chosen);
                    }
                    search.load_ended(&chosen.id, end);
                }
                upstream_search::SearchStep::Wait(pause) => {
                    async_io::Timer::after(pause).await;
                }
                upstream_search::SearchStep::Refuse(reason) => {
                    return Err(exchange::LocalReply::unavailable(reason, self.retry_after()));
                }
            }
        }
    }

    fn placed_request<'c>(
        &'c self,
        tried: &'c [sync::Arc<str>],
    ) -> engine_choice::PlacedRequest<'c> {
        engine_choice::PlacedRequest {
            service: &self.admitted.service,
            demand: self.admitted.demand.as_ref(),
            zone: &self.state.settings.zone,
            tried,
            build: self.build,
        }
    }

    /// Acquires a permit for a request to an upstream that announced a rate limit. If denied, the
    /// upstream is excluded from the search until one may be available.
    async fn acquire_permit(&self, chosen: &engine_choice::ChosenUpstream) -> bool {
        let number = self.state.view().upstream(&chosen.id).map(|slot| slot.number);
        let Some(number) = number else { return true };
        match permits::acquire(self.state, self.send_context(&chosen.id, number)).await {
            Ok(()) => true,
            Err(pause) => {
                let now = self.state.now();
                self.state.view().availability_mut().hold(now, number, pause);
                false
            }
        }
    }

    pub(super) fn send_context<'c>(
        &'c self,
        upstream: &'c str,
        number: u32,
    ) -> permits::SendContext<'c> {
        permits::SendContext {
            upstream,
            number,
            purpose: limit_table::SendPurpose::Request,
            request: &self.admitted.request_id,
        }
    }

    /// Returns the `Retry-After` of a refused request: when the next upstream accepts work again,
    /// with jitter so that callers don't all return at once.
    fn retry_after(&self) -> time::Duration {
        let now = self.state.now();
        let service = &self.admitted.service.name;
        let spread = upstream_search::RETRY_PAUSE.mul_f64(rand::random());
        let view = self.state.view();
        if view.is_service_evacuated(now, service, self.build) {
            return upstream_search::EVACUATED_PAUSE + spread;
        }
        let next = view.next_available(now, service);
        next.map_or(upstream_search::RETRY_PAUSE, |next| next.since(now) + spread)
    }

    fn search_step(
        &self,
        search: &mut upstream_search::UpstreamSearch,
    ) -> upstream_search::SearchStep {
        let request = self.placed_request(self.plan.tried());
        search.next_step(self.state.now(), &self.state.view(), &request)
    }

    /// Loads the request's adapter at an engine, within [`MAX_LOAD_WAIT`].
    async fn load(&mut self, chosen: &engine_choice::ChosenUpstream) -> upstream_search::LoadEnd {
        let demand = self.admitted.demand.as_ref();
        let Some(name) = demand.and_then(|demand| demand.adapter.as_ref()) else {
            return upstream_search::LoadEnd::Ready;
        };
        self.log.loads += 1;
        let was_missing = self.missing_adapter_at.as_ref() == Some(&chosen.id);
        let limit = MAX_LOAD_WAIT.min(self.time_left());
        let requested = self.state.now();
        let decision = loads::ensure_ready(self.state, &chosen.id, name, was_missing, limit).await;
        self.state.metrics.count_load(decision.code(), self.state.now().since(requested));
        match decision {
            wire::LoadDecision::Ready => upstream_search::LoadEnd::Ready,
            wire::LoadDecision::Full => upstream_search::LoadEnd::NoSlot,
            _ => upstream_search::LoadEnd::Failed,
        }
    }

    /// Waits for the head of a response; seeks another upstream meanwhile if this one is silent.
    async fn await_head(
        &mut self,
        pending: upstream_attempt::PendingAttempt<'b>,
    ) -> AttemptProgress<'b> {
        let upstream_attempt::PendingAttempt { attempt, mut response } = pending;
        let upstream = sync::Arc::clone(&attempt.chosen.id);
        let mut timer = failover_timer::FailoverTimer::for_head(attempt.sent, &self.admitted.route);
        let received = loop {
            let overdue = async {
                self.wait_until_overdue(&upstream, &timer).await;
                None
            };
            let receive = async { Some((&mut response).await) };
            if let Some(received) = futures_lite::future::or(receive, overdue).await {
                break received;
            }
            let receive = async { upstream_attempt::require_usable((&mut response).await) };
            match self.fail_over(&upstream, receive).await {
                failover::FailoverResult::Progress(Ok(open)) => break Ok(open),
                failover::FailoverResult::Progress(Err(received)) => break *received,
                failover::FailoverResult::Moved(stage, None) => {
                    self.record_attempt(&self.fail_broken(attempt, "silent"), "moved");
                    return AttemptProgress::Next(stage);
                }
                failover::FailoverResult::Moved(stage, Some(received)) => {
                    if let Err(failed) = self.accept(attempt, *received) {
                        self.record_attempt(&failed, "moved");
                    }
                    return AttemptProgress::Next(stage);
                }
                failover::FailoverResult::Unavailable => timer.search_failed(self.state.now()),
            }
        };
        match self.accept(attempt, received) {
            Ok(open) => AttemptProgress::Next(AttemptStage::Open(Box::new(open))),
            Err(failed) => AttemptProgress::Failed(failed),
        }
    }

    /// Returns whether a response is forwarded event by event.
    pub(super) fn is_stream(&self, open: &upstream_attempt::OpenAttempt<'_>) -> bool {
        self.admitted.route.kind == rules::RouteKind::Streaming && open.response.head.status == 200
    }

    async fn forward_response(
        &mut self,
        open: upstream_attempt::OpenAttempt<'b>,
    ) -> AttemptProgress<'b> {
        if self.is_stream(&open) {
            self.relay(open).await
        } else {
            self.read_full_response(open).await
        }
    }

    /// Reads the whole response before any of it is forwarded, so that a failure can still be
    /// retried.
    async fn read_full_response(
        &mut self,
        open: upstream_attempt::OpenAttempt<'b>,
    ) -> AttemptProgress<'b> {
        let upstream_attempt::OpenAttempt { attempt, mut response, .. } = open;
        let framing = response.framing;
        let attempt::OpenResponse { stream, lease, .. } = &mut response;
        let read = stream.read_body_within(framing, MAX_RESPONSE_BYTES, lease).await;
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(error) => {
                let detail = match error {
                    message::ReadError::BodyTooLong(_) => "answer_too_long",
                    message::ReadError::NoMemory => "no_memory",
                    _ => "answer_broke_off",
                };
                return AttemptProgress::Failed(self.fail_broken(attempt, detail));
            }
        };
        let lease = std::mem::take(lease);
        let body = exchange::BufferedBody { bytes, _lease: lease };
        response.framing = match framing {
            // The body was delimited by the end of the connection, which can't be reused.
            body::BodyFraming::UntilClose | body::BodyFraming::NonEmptyUntilClose => framing,
            _ => body::BodyFraming::Done,
        };
        let head = response.head.clone();
        response.release(&self.state.pool);
        // Nothing but the rest of its stream can follow a response that has begun.
        let has_failed = head.status >= 500 || self.is_response_started;
        self.state.view().record_outcome(self.state.now(), &attempt.chosen.id, has_failed);
        if !has_failed {
            if self.admitted.demand.is_none() {
                let now = self.state.now();
                let elapsed_ms = now.since(attempt.sent).as_secs_f64() * 1000.0;
                self.state.view().response_timed(now, &attempt.chosen, elapsed_ms);
            }
            attempt.complete();
            return AttemptProgress::Done(exchange::Outcome::Buffered(head, body));
        }
        if !self.is_response_started {
            self.failed_response = Some((head, body));
        }
        AttemptProgress::Failed(attempt.fail(attempt_plan::AttemptEnd::Failed, "failed"))
    }
}

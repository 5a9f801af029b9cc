//! Forwards a request: picks an upstream, loads its adapter there, retries and relays the response.

use std::net;
use std::sync;
use std::time;

use async_net::TcpStream;
use coltsfoot_gateway::{
    attempt_plan, engine_choice, event_stream, limit_table, rules, upstream_search,
};
use coltsfoot_http::{body, header, message};
use coltsfoot_wire::fleet as wire;
use site_platform::fields;
use smallvec::SmallVec;

use crate::event;
use crate::gateway::{
    attempt, crashes, exchange, in_flight, intake, loads, permits, request_log, state,
};

/// Maximum body size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Timeout for the first event of a stream that can be retried, in multiples of the route's target
/// latency.
const FIRST_EVENT_TARGETS: u32 = 2;
/// Interval between checks whether an upstream is silent.
pub(super) const SILENCE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time to read the body of a rejection; after it the connection is closed instead of reused.
const REJECTION_READ_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Maximum wait for an adapter load.
const MAX_LOAD_WAIT: time::Duration = time::Duration::from_millis(900);

/// Result of an attempt: an outcome for the caller, or a failure that may be retried, with its
/// reason.
pub(super) enum AttemptOutcome {
    Done(exchange::Outcome),
    Ended(attempt_plan::AttemptEnd, &'static str),
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
    /// The last 5xx response of an upstream, returned to the caller if no attempt succeeds.
    pub(super) failed_response: Option<(header::ResponseHead, Vec<u8>)>,
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
        loop {
            let chosen = match self.find_upstream().await {
                Ok(chosen) => chosen,
                Err(refusal) => return self.give_up(refusal),
            };
            if let Err(refusal) = self.exchange.check_quarantine(&self.admitted.digest) {
                return self.give_up(refusal);
            }
            self.log.upstream = Some(sync::Arc::clone(&chosen.id));
            self.log.expected_ms = chosen.expected_ms;
            let (end, detail) = match self.attempt(&chosen).await {
                AttemptOutcome::Done(outcome) => return outcome,
                AttemptOutcome::Ended(end, detail) => (end, detail),
            };
            let next = self.plan.record(&chosen.id, end);
            let is_sent = end != attempt_plan::AttemptEnd::NotSent;
            let has_budget = next != attempt_plan::NextStep::Retry
                || !is_sent
                || self.state.withdraw_retry(&self.admitted.service.name);
            let next_code = if has_budget { next.code() } else { "no_budget" };
            self.log_attempt(&chosen, end, detail, next_code);
            if next != attempt_plan::NextStep::Retry || !has_budget {
                return self.give_up(exchange::LocalReply::unavailable(
                    end.code(),
                    upstream_search::RETRY_PAUSE,
                ));
            }
        }
    }

    fn log_attempt(
        &self,
        chosen: &engine_choice::ChosenUpstream,
        end: attempt_plan::AttemptEnd,
        detail: &'static str,
        next: &'static str,
    ) {
        self.state.metrics.count_attempt(detail);
        log::info!(
            event = event::ATTEMPT_ENDED.number, request = &*self.admitted.request_id,
            digest = self.admitted.digest.short(), upstream = &*chosen.id, end = end.code(), detail = detail,
            next = next, events = self.position.forwarded(),
            ms = self.state.now().since(self.exchange.received).as_millis() as u64;
            "attempt_ended"
        );
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
    async fn find_upstream(
        &mut self,
    ) -> Result<engine_choice::ChosenUpstream, exchange::LocalReply> {
        let target = self.admitted.route.target_latency;
        let mut search = upstream_search::UpstreamSearch::new(self.exchange.received, target);
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

    /// Returns whether the retry budget and another upstream would allow a retry after this one.
    pub(super) fn can_retry_elsewhere(&self, upstream: &sync::Arc<str>) -> bool {
        if !self.plan.may_retry_run() || !self.state.has_retry(&self.admitted.service.name) {
            return false;
        }
        let tried: SmallVec<[sync::Arc<str>; 4]> =
            self.plan.tried().iter().chain([upstream]).cloned().collect();
        let request = self.placed_request(&tried);
        let chosen = engine_choice::choose(self.state.now(), &self.state.view(), &request);
        chosen.is_some()
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

    fn send_context<'c>(&'c self, upstream: &'c str, number: u32) -> permits::SendContext<'c> {
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
        let next = self.state.view().next_available(now, &self.admitted.service.name);
        let spread = upstream_search::RETRY_PAUSE.mul_f64(rand::random());
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

    async fn attempt(&mut self, chosen: &engine_choice::ChosenUpstream) -> AttemptOutcome {
        let endpoint = {
            let view = self.state.view();
            view.upstream(&chosen.id).map(|slot| (slot.entry.address, slot.number))
        };
        let Some((address, number)) = endpoint else {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "upstream_gone");
        };
        if !intake::is_available(self.state, number) {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "upstream_closed");
        }
        let running = crashes::RunningRequest::begin(self.state, &chosen.id, self.admitted.digest);
        let outcome = self.send_request(chosen, address, number).await;
        running.record_outcome(&outcome, address);
        outcome
    }

    /// Sends the request to an upstream and forwards the response.
    async fn send_request(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        address: net::SocketAddr,
        number: u32,
    ) -> AttemptOutcome {
        let head = self.encode(&chosen.id);
        let may_repeat = self.admitted.route.may_retry();
        let request = attempt::AttemptRequest {
            address,
            request_id: &self.admitted.request_id,
            head: &head,
            body: &self.exchange.request.body,
            may_repeat,
        };
        let demand = self.admitted.demand.as_ref();
        let mut in_flight_request =
            in_flight::InFlightRequest::begin(self.state, &chosen.id, demand);
        self.log.sends += 1;
        let sent = self.state.now();
        self.log.placed_us.get_or_insert(sent.since(self.exchange.received).as_micros());
        let send = attempt::send(&self.state.pool, &request);
        let silence = self.wait_for_silence(&chosen.id);
        let response = futures_lite::future::or(async { Some(send.await) }, async {
            silence.await;
            None
        });
        let response = response.await;
        let response = match response {
            None => return self.record_broken(&chosen.id, "silent"),
            Some(Err(attempt::AttemptError::NotSent(_))) => {
                self.state.view().connect_failed(self.state.now(), &chosen.id);
                return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "no_connection");
            }
            Some(Err(attempt::AttemptError::Mismatched)) => {
                return self.record_broken(&chosen.id, "foreign_answer");
            }
            Some(Err(attempt::AttemptError::Broken(_))) => {
                return self.record_broken(&chosen.id, "no_answer");
            }
            Some(Ok(response)) => response,
        };
        self.state.view().record_activity(self.state.now(), &chosen.id);
        let context = self.send_context(&chosen.id, number);
        intake::record_response(self.state, &context, sent, &response.fields);
        if response.fields.is_not_run && !response.fields.is_signed {
            return self.handle_not_run(&chosen.id, response).await;
        }
        if !response.fields.is_signed || response.fields.is_encoded {
            return self.record_broken(&chosen.id, "unsigned_answer");
        }
        let is_stream = self.admitted.route.kind == rules::RouteKind::Streaming;
        if is_stream && response.head.status == 200 {
            self.relay(chosen, response, &mut in_flight_request, sent).await
        } else {
            self.read_full_response(&chosen.id, response).await
        }
    }

    fn encode(&self, upstream: &str) -> header::RequestHead {
        let admitted = self.admitted;
        let last_event = if self.is_response_started { self.position.last() } else { None };
        let added = fields::AddedFields {
            upstream,
            time_left: self.time_left(),
            customer: admitted.customer.as_ref().map(|customer| &*customer.name),
            urgency: admitted.demand.as_ref().map(|_| admitted.urgency()),
            adapter_version: None,
            last_event,
        };
        let request = &self.exchange.request;
        fields::encode_forwarded(&request.head, &added, request.body.len())
    }

    /// Returns the timeout for the head of the response; all the time left if no retry is possible.
    pub(super) fn attempt_limit(&self) -> time::Duration {
        let route = &self.admitted.route;
        if !route.may_retry() || route.max_attempts < 2 || self.plan.may_have_run() {
            return self.time_left();
        }
        match route.kind {
            rules::RouteKind::Streaming => route.target_latency * FIRST_EVENT_TARGETS,
            _ => route.target_latency,
        }
    }

    /// Waits until the attempt should be abandoned: when its timeout has passed, or once the target
    /// latency has passed and the upstream is silent for all requests.
    async fn wait_for_silence(&self, upstream: &str) {
        let limit = self.attempt_limit();
        let first_check = limit.min(self.admitted.route.target_latency);
        async_io::Timer::after(first_check).await;
        let started = self.state.now();
        while self.state.now().since(started) < limit.saturating_sub(first_check) {
            let is_silent = {
                let view = self.state.view();
                view.upstream(upstream).is_none_or(|slot| slot.is_silent(self.state.now()))
            };
            if is_silent && limit < self.time_left() {
                return;
            }
            async_io::Timer::after(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Records an attempt without a complete response as a failure of the upstream.
    pub(super) fn record_broken(&self, upstream: &str, detail: &'static str) -> AttemptOutcome {
        self.state.view().record_outcome(self.state.now(), upstream, true);
        AttemptOutcome::Ended(attempt_plan::AttemptEnd::Broken, detail)
    }

    /// Handles a response which states that the request was not executed.
    async fn handle_not_run(
        &mut self,
        upstream: &sync::Arc<str>,
        mut response: attempt::OpenResponse,
    ) -> AttemptOutcome {
        let now = self.state.now();
        let is_misdirected = response.head.status == 421;
        if is_misdirected {
            let is_other_instance =
                response.fields.instance.as_deref().is_some_and(|id| *id != **upstream);
            let demand = self.admitted.demand.as_ref();
            let adapter = demand.and_then(|demand| demand.adapter.as_ref());
            if is_other_instance {
                self.state.view().connect_failed(now, upstream);
            } else if let Some(adapter) = adapter {
                self.state.view().adapter_missing(upstream, adapter.key());
                self.missing_adapter_at = Some(sync::Arc::clone(upstream));
            }
        }
        let read = response.stream.read_body(response.framing, MAX_RESPONSE_BYTES);
        if message::with_timeout(REJECTION_READ_TIMEOUT, read)
            .await
            .is_some_and(|read| read.is_ok())
        {
            response.framing = body::BodyFraming::Done;
            response.release(&self.state.pool);
        }
        match is_misdirected {
            true => AttemptOutcome::Ended(attempt_plan::AttemptEnd::Misdirected, "misdirected"),
            false => AttemptOutcome::Ended(attempt_plan::AttemptEnd::Rejected, "rejected"),
        }
    }

    /// Reads the whole response before any of it is forwarded, so that a failure can still be
    /// retried.
    async fn read_full_response(
        &mut self,
        upstream: &str,
        mut response: attempt::OpenResponse,
    ) -> AttemptOutcome {
        let framing = response.framing;
        let Ok(body) = response.stream.read_body(framing, MAX_RESPONSE_BYTES).await else {
            return self.record_broken(upstream, "answer_broke_off");
        };
        response.framing = match framing {
            // The body was delimited by the end of the connection, which can't be reused.
            body::BodyFraming::UntilClose => body::BodyFraming::UntilClose,
            _ => body::BodyFraming::Done,
        };
        let head = response.head.clone();
        response.release(&self.state.pool);
        let has_failed = head.status >= 500;
        self.state.view().record_outcome(self.state.now(), upstream, has_failed);
        if !has_failed {
            return AttemptOutcome::Done(exchange::Outcome::Buffered(head, body));
        }
        if self.is_response_started {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::Failed, "failed");
        }
        self.failed_response = Some((head, body));
        AttemptOutcome::Ended(attempt_plan::AttemptEnd::Failed, "failed")
    }
}

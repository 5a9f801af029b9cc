//! Sends a request to upstreams until there is an answer for its caller.

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
    attempt, crashes, exchange, intake, loads, permits, request_log, state, under_way,
};

/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// First event of a stream that may run elsewhere, as a multiple of the target.
const FIRST_EVENT_TARGETS: u32 = 2;
/// Time between looks at whether an upstream is silent.
pub(super) const SILENCE_CHECK: time::Duration = time::Duration::from_millis(100);
/// Time for the body of a rejection, after which its connection is closed instead of kept.
const REJECTION_READ_LIMIT: time::Duration = time::Duration::from_millis(300);
/// Longest wait for an adapter.
const MAX_LOAD_WAIT: time::Duration = time::Duration::from_millis(900);
/// How an attempt ended for the request.
pub(super) enum AttemptOutcome {
    Done(exchange::Outcome),
    Ended(attempt_plan::AttemptEnd, &'static str),
}

/// The forwarding of one request.
pub(super) struct Forwarding<'a, 'b> {
    pub(super) state: &'a sync::Arc<state::GatewayState>,
    pub(super) exchange: &'b exchange::CallerExchange<'a>,
    pub(super) admitted: &'b exchange::AdmittedRequest,
    pub(super) writer: &'b mut TcpStream,
    pub(super) log: &'b mut request_log::RequestLog,
    pub(super) plan: attempt_plan::AttemptPlan,
    pub(super) position: event_stream::StreamPosition,
    pub(super) has_begun: bool,
    /// The engine that did not have the adapter although it was told to.
    pub(super) missed_at: Option<sync::Arc<str>>,
    /// The last failure of an upstream, which is passed on if nothing better comes.
    pub(super) failure: Option<(header::ResponseHead, Vec<u8>)>,
}

impl<'a, 'b> Forwarding<'a, 'b> {
    pub(super) fn new(
        exchange: &'b exchange::CallerExchange<'a>,
        admitted: &'b exchange::AdmittedRequest,
        writer: &'b mut TcpStream,
        log: &'b mut request_log::RequestLog,
    ) -> Self {
        Self {
            state: exchange.state,
            exchange,
            admitted,
            writer,
            log,
            plan: attempt_plan::AttemptPlan::new(&admitted.route),
            position: event_stream::StreamPosition::after(exchange.fields.last_event),
            has_begun: false,
            missed_at: None,
            failure: None,
        }
    }

    /// Forwards the request until its deadline.
    pub(super) async fn run_in_time(&mut self) -> exchange::Outcome {
        let left = self.time_left();
        match message::within(left, self.run()).await {
            Some(outcome) => outcome,
            None if self.has_begun => exchange::Outcome::Cut("deadline"),
            None => exchange::Outcome::Own(exchange::OwnAnswer::denied(504, "deadline")),
        }
    }

    pub(super) fn time_left(&self) -> time::Duration {
        self.admitted.deadline.since(self.state.now())
    }

    async fn run(&mut self) -> exchange::Outcome {
        self.state.deposit_retry(&self.admitted.service.name);
        loop {
            let chosen = match self.place().await {
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
            self.log_attempt(&chosen, end, detail);
            let is_sent = end != attempt_plan::AttemptEnd::NotSent;
            let may_go_on = next == attempt_plan::NextStep::Retry
                && (!is_sent || self.state.withdraw_retry(&self.admitted.service.name));
            if !may_go_on {
                return self.give_up(exchange::OwnAnswer::refused(
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
    ) {
        self.state.metrics.count_attempt(detail);
        log::info!(
            event = event::ATTEMPT_ENDED.number, request = &*self.admitted.request_id,
            digest = self.admitted.digest.short(), upstream = &*chosen.id, end = end.code(), detail = detail,
            ms = self.state.now().since(self.exchange.received).as_millis() as u64;
            "attempt_ended"
        );
    }

    /// Returns the answer of a request that is not sent again.
    fn give_up(&mut self, refusal: exchange::OwnAnswer) -> exchange::Outcome {
        if self.has_begun {
            return exchange::Outcome::Cut(refusal.reason);
        }
        if let Some((head, body)) = self.failure.take() {
            return exchange::Outcome::Whole(head, body);
        }
        match self.plan.final_step() {
            attempt_plan::NextStep::Fail => {
                exchange::Outcome::Own(exchange::OwnAnswer::denied(502, refusal.reason))
            }
            _ => exchange::Outcome::Own(refusal),
        }
    }

    /// Finds an upstream that is ready to run the request.
    async fn place(&mut self) -> Result<engine_choice::ChosenUpstream, exchange::OwnAnswer> {
        let target = self.admitted.route.target_latency;
        let mut search = upstream_search::UpstreamSearch::new(self.exchange.received, target);
        loop {
            match self.search_step(&mut search) {
                upstream_search::SearchStep::Send(chosen) => {
                    if self.has_leave(&chosen).await {
                        return Ok(chosen);
                    }
                }
                upstream_search::SearchStep::Load(chosen) => {
                    let end = self.load(&chosen).await;
                    if end == upstream_search::LoadEnd::Ready && self.has_leave(&chosen).await {
                        return Ok(chosen);
                    }
                    search.load_ended(&chosen.id, end);
                }
                upstream_search::SearchStep::Wait(pause) => {
                    async_io::Timer::after(pause).await;
                }
                upstream_search::SearchStep::Refuse(reason) => {
                    return Err(exchange::OwnAnswer::refused(reason, self.retry_pause()));
                }
            }
        }
    }

    /// Returns whether there is a retry and another upstream for the request, if it were ended at this one.
    pub(super) fn can_go_elsewhere(&self, upstream: &sync::Arc<str>) -> bool {
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

    /// Returns whether an upstream takes one more request, within the limit that it named. If not, it is
    /// left out of further searches until it may.
    async fn has_leave(&self, chosen: &engine_choice::ChosenUpstream) -> bool {
        let number = self.state.view().upstream(&chosen.id).map(|slot| slot.number);
        let Some(number) = number else { return true };
        match permits::obtain(self.state, self.send_plan(&chosen.id, number)).await {
            Ok(()) => true,
            Err(pause) => {
                let now = self.state.now();
                self.state.view().availability_mut().hold(now, number, pause);
                false
            }
        }
    }

    fn send_plan<'c>(&'c self, upstream: &'c str, number: u32) -> permits::SendPlan<'c> {
        permits::SendPlan {
            upstream,
            number,
            purpose: limit_table::SendPurpose::Request,
            request: &self.admitted.request_id,
        }
    }

    /// Returns when a refused caller may come back: once an upstream wants work again, and then not all
    /// at the same moment.
    fn retry_pause(&self) -> time::Duration {
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

    /// Has the request's adapter made ready at an engine.
    async fn load(&mut self, chosen: &engine_choice::ChosenUpstream) -> upstream_search::LoadEnd {
        let demand = self.admitted.demand.as_ref();
        let Some(name) = demand.and_then(|demand| demand.adapter.as_ref()) else {
            return upstream_search::LoadEnd::Ready;
        };
        self.log.loads += 1;
        let was_missing = self.missed_at.as_ref() == Some(&chosen.id);
        let limit = MAX_LOAD_WAIT.min(self.time_left());
        let asked = self.state.now();
        let verdict = loads::ensure(self.state, &chosen.id, name, was_missing, limit).await;
        self.state.metrics.count_load(verdict.code(), self.state.now().since(asked));
        match verdict {
            wire::LoadDecision::Ready => upstream_search::LoadEnd::Ready,
            wire::LoadDecision::Full => upstream_search::LoadEnd::NoSlot,
            _ => upstream_search::LoadEnd::Failed,
        }
    }

    async fn attempt(&mut self, chosen: &engine_choice::ChosenUpstream) -> AttemptOutcome {
        let known = {
            let view = self.state.view();
            view.upstream(&chosen.id).map(|slot| (slot.entry.address, slot.number))
        };
        let Some((address, number)) = known else {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "upstream_gone");
        };
        if !intake::is_open(self.state, number) {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "upstream_closed");
        }
        let running = crashes::RunningRequest::begin(self.state, &chosen.id, self.admitted.digest);
        let outcome = self.exchange_with(chosen, address, number).await;
        running.ended(&outcome, address);
        outcome
    }

    /// Sends the request to an upstream and passes its answer on.
    async fn exchange_with(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        address: net::SocketAddr,
        number: u32,
    ) -> AttemptOutcome {
        let head = self.encode(&chosen.id);
        let may_repeat = self.admitted.route.may_repeat();
        let request = attempt::AttemptRequest {
            address,
            request_id: &self.admitted.request_id,
            head: &head,
            body: &self.exchange.request.body,
            may_repeat,
        };
        let demand = self.admitted.demand.as_ref();
        let mut under_way = under_way::UnderWay::begin(self.state, &chosen.id, demand);
        self.log.sends += 1;
        let sent = self.state.now();
        self.log.placed_us.get_or_insert(sent.since(self.exchange.received).as_micros());
        let send = attempt::send(&self.state.pool, &request);
        let give_up = self.wait_silent(&chosen.id);
        let answer = futures_lite::future::or(async { Some(send.await) }, async {
            give_up.await;
            None
        });
        let answer = answer.await;
        let answer = match answer {
            None => return self.broken(&chosen.id, "silent"),
            Some(Err(attempt::AttemptError::NotSent(_))) => {
                self.state.view().connect_failed(self.state.now(), &chosen.id);
                return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "no_connection");
            }
            Some(Err(attempt::AttemptError::Foreign)) => {
                return self.broken(&chosen.id, "foreign_answer");
            }
            Some(Err(attempt::AttemptError::Broken(_))) => {
                return self.broken(&chosen.id, "no_answer");
            }
            Some(Ok(answer)) => answer,
        };
        self.state.view().upstream_heard(self.state.now(), &chosen.id);
        let plan = self.send_plan(&chosen.id, number);
        intake::note_answer(self.state, &plan, sent, &answer.fields);
        if answer.fields.has_not_run && !answer.fields.is_signed {
            return self.not_run(&chosen.id, answer).await;
        }
        if !answer.fields.is_signed || answer.fields.is_encoded {
            return self.broken(&chosen.id, "unsigned_answer");
        }
        let is_stream = self.admitted.route.kind == rules::RouteKind::Streaming;
        if is_stream && answer.head.status == 200 {
            self.relay(chosen, answer, &mut under_way, sent).await
        } else {
            self.take_whole(&chosen.id, answer).await
        }
    }

    fn encode(&self, upstream: &str) -> header::RequestHead {
        let admitted = self.admitted;
        let last_event = if self.has_begun { self.position.last() } else { None };
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

    /// Returns how long to wait for the head of an answer.
    pub(super) fn attempt_limit(&self) -> time::Duration {
        let route = &self.admitted.route;
        if !route.may_repeat() || route.max_attempts < 2 || self.plan.may_have_run() {
            return self.time_left();
        }
        match route.kind {
            rules::RouteKind::Streaming => route.target_latency * FIRST_EVENT_TARGETS,
            _ => route.target_latency,
        }
    }

    /// Waits until the request had better go elsewhere: at once when its time is up, sooner if
    /// nothing at all comes from the upstream.
    async fn wait_silent(&self, upstream: &str) {
        let limit = self.attempt_limit();
        let early = limit.min(self.admitted.route.target_latency);
        async_io::Timer::after(early).await;
        let begun = self.state.now();
        while self.state.now().since(begun) < limit.saturating_sub(early) {
            let is_silent = {
                let view = self.state.view();
                view.upstream(upstream).is_none_or(|slot| slot.is_silent(self.state.now()))
            };
            if is_silent && limit < self.time_left() {
                return;
            }
            async_io::Timer::after(SILENCE_CHECK).await;
        }
    }

    /// Notes that an upstream gave no whole answer.
    pub(super) fn broken(&self, upstream: &str, detail: &'static str) -> AttemptOutcome {
        self.state.view().record_outcome(self.state.now(), upstream, true);
        AttemptOutcome::Ended(attempt_plan::AttemptEnd::Broken, detail)
    }

    /// Handles an answer that states that the request did not run.
    async fn not_run(
        &mut self,
        upstream: &sync::Arc<str>,
        mut answer: attempt::OpenAnswer,
    ) -> AttemptOutcome {
        let now = self.state.now();
        let is_misdirected = answer.head.status == 421;
        if is_misdirected {
            let is_other = answer.fields.instance.as_deref().is_some_and(|id| *id != **upstream);
            let demand = self.admitted.demand.as_ref();
            let adapter = demand.and_then(|demand| demand.adapter.as_ref());
            if is_other {
                self.state.view().connect_failed(now, upstream);
            } else if let Some(adapter) = adapter {
                self.state.view().adapter_missing(upstream, adapter.key());
                self.missed_at = Some(sync::Arc::clone(upstream));
            }
        }
        let read = answer.stream.read_body(answer.framing, MAX_ANSWER_BYTES);
        if message::within(REJECTION_READ_LIMIT, read).await.is_some_and(|read| read.is_ok()) {
            answer.framing = body::BodyFraming::Done;
            answer.release(&self.state.pool);
        }
        match is_misdirected {
            true => AttemptOutcome::Ended(attempt_plan::AttemptEnd::Misdirected, "misdirected"),
            false => AttemptOutcome::Ended(attempt_plan::AttemptEnd::Rejected, "rejected"),
        }
    }

    /// Reads an answer to its end before any of it is passed on.
    async fn take_whole(
        &mut self,
        upstream: &str,
        mut answer: attempt::OpenAnswer,
    ) -> AttemptOutcome {
        let framing = answer.framing;
        let Ok(body) = answer.stream.read_body(framing, MAX_ANSWER_BYTES).await else {
            return self.broken(upstream, "answer_broke_off");
        };
        answer.framing = match framing {
            // The connection ended with the answer.
            body::BodyFraming::UntilClose => body::BodyFraming::UntilClose,
            _ => body::BodyFraming::Done,
        };
        let head = answer.head.clone();
        answer.release(&self.state.pool);
        let has_failed = head.status >= 500;
        self.state.view().record_outcome(self.state.now(), upstream, has_failed);
        if !has_failed {
            return AttemptOutcome::Done(exchange::Outcome::Whole(head, body));
        }
        if self.has_begun {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::Failed, "failed");
        }
        self.failure = Some((head, body));
        AttemptOutcome::Ended(attempt_plan::AttemptEnd::Failed, "failed")
    }
}

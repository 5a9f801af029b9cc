//! One request of a caller, from its head to the end of its answer.

use std::sync;
use std::time;

use async_net::TcpStream;
use coltsfoot_gateway::{
    attempt_plan, demand, engine_choice, event_stream, quota_ledger, route_table, rules,
};
use coltsfoot_http::{body, header, message};
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet as wire;
use futures_lite::AsyncWriteExt as _;
use site_platform::fields;

use crate::event;
use crate::gateway::{attempt, callers, loads, state};

/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a caller may try again where nothing better is known.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Silence of a stream after which it counts as broken. Callers leave after two seconds.
const MAX_STREAM_SILENCE: time::Duration = time::Duration::from_millis(1500);
/// First event of a stream that may run elsewhere, as a multiple of the target.
const FIRST_EVENT_TARGETS: u32 = 2;
/// Time between looks at whether an upstream is silent.
const SILENCE_CHECK: time::Duration = time::Duration::from_millis(100);
/// Part of the target latency for which a request waits for an upstream to choose.
const PLACE_WAIT_DIVISOR: u32 = 4;
/// Time between looks for an upstream.
const PLACE_CHECK: time::Duration = time::Duration::from_millis(40);
/// Longest wait for an adapter.
const MAX_LOAD_WAIT: time::Duration = time::Duration::from_millis(900);
/// Engines at which an adapter is asked for before a request is refused.
const MAX_LOAD_TRIES: usize = 3;

/// What happens to the caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionUse {
    /// It serves further requests.
    Keep,
    /// It is closed after the answer.
    Close,
    /// It is closed at once, so that the answer does not look complete.
    Abort,
}

/// How a request ended.
#[derive(Debug)]
enum Outcome {
    /// An upstream's whole answer.
    Whole(header::ResponseHead, Vec<u8>),
    /// A stream that was passed on to its end.
    Streamed,
    /// A stream that broke off.
    Cut(&'static str),
    /// An answer of the system's own.
    Own(OwnAnswer),
}

#[derive(Clone, Copy, Debug)]
struct OwnAnswer {
    status: u16,
    reason: &'static str,
    retry_after: Option<time::Duration>,
}

impl OwnAnswer {
    fn denied(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    fn refused(reason: &'static str, wait: time::Duration) -> Self {
        Self { status: 503, reason, retry_after: Some(wait) }
    }
}

/// One request of a caller.
pub(crate) struct CallerExchange<'a> {
    state: &'a sync::Arc<state::GatewayState>,
    request: callers::ReceivedRequest,
    fields: fields::CallerFields,
    received: instant::MonotonicTime,
}

impl<'a> CallerExchange<'a> {
    /// Begins with a request that was read whole.
    pub fn new(
        state: &'a sync::Arc<state::GatewayState>,
        request: callers::ReceivedRequest,
    ) -> Self {
        let fields = fields::decode_caller(&request.head);
        Self { state, request, fields, received: state.now() }
    }

    /// Serves the request and writes the answer.
    pub async fn serve(self, writer: &mut TcpStream) -> ConnectionUse {
        let mut log = RequestLog::default();
        let outcome = match self.admit(&mut log) {
            Err(answer) => Outcome::Own(answer),
            Ok(admitted) => {
                log.tokens = admitted.tokens;
                let mut forwarding = Forwarding::new(&self, &admitted, writer, &mut log);
                let outcome = forwarding.run_in_time().await;
                let has_run = forwarding.plan.may_have_run();
                admitted.settle_quota(self.state, &outcome, has_run);
                outcome
            }
        };
        log.write(&self, &outcome);
        self.write_answer(writer, outcome).await
    }

    /// Decides whether the request is allowed now.
    fn admit(&self, log: &mut RequestLog) -> Result<AdmittedRequest, OwnAnswer> {
        let Some(routes) = self.state.routes.load_full() else {
            return Err(OwnAnswer::refused("no_configuration", RETRY_PAUSE));
        };
        let Some(request_id) = self.fields.request_id.clone() else {
            return Err(OwnAnswer::denied(400, "no_request_id"));
        };
        let key = self.fields.key.as_deref();
        let granted = routes.grant(&self.fields.host, self.request.head.path(), key);
        let granted = granted.map_err(|denial| match denial {
            route_table::AccessDenial::NoRoute => OwnAnswer::denied(404, "no_route"),
            route_table::AccessDenial::UnknownKey => OwnAnswer::denied(401, "unknown_key"),
        })?;
        log.route = Some(sync::Arc::clone(&granted.route.name));
        log.customer = granted.customer.as_ref().map(|customer| sync::Arc::clone(&customer.name));
        let service = route_table::pick_service(&granted.route, &request_id)
            .and_then(|name| routes.service(&name).cloned())
            .ok_or(OwnAnswer::refused("no_service", RETRY_PAUSE))?;
        let patience = self.fields.patience.unwrap_or(granted.route.timeout);
        let deadline = self.received + patience.min(granted.route.timeout);
        let demand = self.fields.demand.clone().filter(|_| service.engine.is_some());
        let class = match &demand {
            None => quota_ledger::QuotaClass::Plain,
            Some(_) if granted.route.priority == 0 => quota_ledger::QuotaClass::UrgentPrompt,
            Some(_) => quota_ledger::QuotaClass::Prompt,
        };
        let tokens = self.charge(granted.customer.as_deref(), class)?;
        Ok(AdmittedRequest {
            request_id,
            route: granted.route,
            customer: granted.customer,
            service,
            demand,
            deadline,
            tokens,
        })
    }

    fn charge(
        &self,
        customer: Option<&rules::CustomerRule>,
        class: quota_ledger::QuotaClass,
    ) -> Result<u64, OwnAnswer> {
        let Some(customer) = customer else { return Ok(0) };
        let declared = self.fields.demand.as_ref().map(demand::PromptDemand::total_tokens);
        let tokens = match customer.counts_tokens {
            true => declared.filter(|tokens| *tokens > 0).unwrap_or(customer.plain_tokens),
            false => 1,
        };
        let admitted =
            state::lock(&self.state.quota).admit(self.received, &customer.name, tokens, class);
        admitted.map_err(|wait| OwnAnswer {
            status: 429,
            reason: "over_quota",
            retry_after: Some(wait),
        })?;
        Ok(tokens)
    }

    async fn write_answer(&self, writer: &mut TcpStream, outcome: Outcome) -> ConnectionUse {
        let (mut head, body) = match outcome {
            Outcome::Streamed => return self.connection_use(),
            Outcome::Cut(_) => return ConnectionUse::Abort,
            Outcome::Whole(head, body) => (fields::encode_answer(&head), body),
            Outcome::Own(answer) => {
                let id = self.fields.request_id.as_deref();
                (fields::own_answer(answer.status, id, answer.retry_after), Vec::new())
            }
        };
        let has_body = !matches!(head.status, 204 | 304);
        if has_body {
            head.headers.push("Content-Length", body.len().to_string());
        }
        let end = self.connection_use();
        if end == ConnectionUse::Close {
            head.headers.push("Connection", "close");
        }
        let mut bytes = head.encode();
        if has_body && self.request.head.method != "HEAD" {
            bytes.extend_from_slice(&body);
        }
        match writer.write_all(&bytes).await {
            Ok(()) => end,
            Err(_) => ConnectionUse::Abort,
        }
    }

    fn connection_use(&self) -> ConnectionUse {
        let is_last = self.state.is_stopping() || self.request.head.wants_close();
        if is_last { ConnectionUse::Close } else { ConnectionUse::Keep }
    }
}

/// A request that is allowed and within its customer's quota.
struct AdmittedRequest {
    request_id: sync::Arc<str>,
    route: sync::Arc<rules::RouteRule>,
    customer: Option<sync::Arc<rules::CustomerRule>>,
    service: sync::Arc<rules::ServiceRule>,
    demand: Option<demand::PromptDemand>,
    deadline: instant::MonotonicTime,
    tokens: u64,
}

impl AdmittedRequest {
    /// Gives the tokens of a request back that has not run.
    fn settle_quota(&self, state: &state::GatewayState, outcome: &Outcome, may_have_run: bool) {
        let has_answer = matches!(outcome, Outcome::Whole(..) | Outcome::Streamed);
        if let Some(customer) = &self.customer
            && !has_answer
            && !may_have_run
        {
            state::lock(&state.quota).refund(&customer.name, self.tokens);
        }
    }

    fn urgency(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority).min(9)
    }
}

/// What is logged of a request.
#[derive(Default)]
struct RequestLog {
    route: Option<sync::Arc<str>>,
    customer: Option<sync::Arc<str>>,
    tokens: u64,
    upstream: Option<sync::Arc<str>>,
    expected_ms: f64,
    sends: u32,
    loads: usize,
    /// Time from the end of the request to its first send, in microseconds.
    placed_us: Option<u128>,
    first_ms: Option<u128>,
}

impl RequestLog {
    fn write(&self, exchange: &CallerExchange<'_>, outcome: &Outcome) {
        let (status, reason) = match outcome {
            Outcome::Whole(head, _) => (head.status, "answered"),
            Outcome::Streamed => (200, "streamed"),
            Outcome::Cut(reason) => (0, *reason),
            Outcome::Own(answer) => (answer.status, answer.reason),
        };
        let elapsed = exchange.state.now().since(exchange.received);
        exchange.state.metrics.count_request(reason, elapsed);
        let routes = exchange.state.routes.load();
        let version = routes.as_ref().map_or(0, |routes| routes.rules().version);
        log::info!(
            event = event::REQUEST_ENDED.number,
            request = exchange.fields.request_id.as_deref().unwrap_or_default(),
            route = self.route.as_deref().unwrap_or_default(),
            customer = self.customer.as_deref().unwrap_or_default(), tokens = self.tokens,
            upstream = self.upstream.as_deref().unwrap_or_default(),
            rules = version, status = status, reason = reason, sends = self.sends,
            loads = self.loads, expected_ms = self.expected_ms as u64,
            placed_us = self.placed_us.unwrap_or_default() as u64,
            first_ms = self.first_ms.unwrap_or_default() as u64,
            ms = elapsed.as_millis() as u64;
            "request_ended"
        );
    }
}

/// Takes a request off the books of its upstream when it ends, however it ends.
struct UnderWay<'a> {
    state: &'a state::GatewayState,
    upstream: sync::Arc<str>,
    adapter: Option<demand::AdapterKey>,
    unread: u64,
}

impl<'a> UnderWay<'a> {
    fn begin(
        state: &'a state::GatewayState,
        upstream: &sync::Arc<str>,
        demand: Option<&demand::PromptDemand>,
    ) -> Self {
        let unread = state.view().request_sent(state.now(), upstream, demand);
        let adapter = demand.and_then(|demand| demand.adapter.as_ref());
        let adapter = adapter.map(demand::AdapterName::key);
        Self { state, upstream: sync::Arc::clone(upstream), adapter, unread }
    }

    fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.state.view().prompt_read(&self.upstream, unread);
        }
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.prompt_read();
        self.state.view().request_ended(&self.upstream, self.adapter);
    }
}

/// How an attempt ended for the request.
enum AttemptOutcome {
    Done(Outcome),
    Ended(attempt_plan::AttemptEnd, &'static str),
}

/// The forwarding of one request.
struct Forwarding<'a, 'b> {
    state: &'a sync::Arc<state::GatewayState>,
    exchange: &'b CallerExchange<'a>,
    admitted: &'b AdmittedRequest,
    writer: &'b mut TcpStream,
    log: &'b mut RequestLog,
    plan: attempt_plan::AttemptPlan,
    position: event_stream::StreamPosition,
    has_begun: bool,
    /// The engine that did not have the adapter although it was told to.
    missed_at: Option<sync::Arc<str>>,
    /// The last failure of an upstream, which is passed on if nothing better comes.
    failure: Option<(header::ResponseHead, Vec<u8>)>,
}

impl<'a, 'b> Forwarding<'a, 'b> {
    fn new(
        exchange: &'b CallerExchange<'a>,
        admitted: &'b AdmittedRequest,
        writer: &'b mut TcpStream,
        log: &'b mut RequestLog,
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
    async fn run_in_time(&mut self) -> Outcome {
        let left = self.time_left();
        match message::within(left, self.run()).await {
            Some(outcome) => outcome,
            None if self.has_begun => Outcome::Cut("deadline"),
            None => Outcome::Own(OwnAnswer::denied(504, "deadline")),
        }
    }

    fn time_left(&self) -> time::Duration {
        state::time_until(self.state.now(), self.admitted.deadline)
    }

    async fn run(&mut self) -> Outcome {
        self.state.deposit_retry(&self.admitted.service.name);
        let demand = self.admitted.demand.as_ref();
        if let Some(adapter) = demand.and_then(|demand| demand.adapter.as_ref()) {
            self.state.view().adapter_asked(self.state.now(), adapter.key());
        }
        loop {
            let chosen = match self.place().await {
                Ok(chosen) => chosen,
                Err(refusal) => return self.give_up(refusal),
            };
            self.log.upstream = Some(sync::Arc::clone(&chosen.id));
            self.log.expected_ms = chosen.expected_ms;
            let (end, detail) = match self.attempt(&chosen).await {
                AttemptOutcome::Done(outcome) => return outcome,
                AttemptOutcome::Ended(end, detail) => (end, detail),
            };
            let next = self.plan.record(&chosen.id, end);
            self.log_attempt(&chosen, end, detail);
            let is_sent = end != attempt_plan::AttemptEnd::NotSent;
            let may_go_on = next == attempt_plan::NextStep::Repeat
                && (!is_sent || self.state.withdraw_retry(&self.admitted.service.name));
            if !may_go_on {
                return self.give_up(OwnAnswer::refused(end.code(), RETRY_PAUSE));
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
            upstream = &*chosen.id, end = end.code(), detail = detail,
            ms = self.state.now().since(self.exchange.received).as_millis() as u64;
            "attempt_ended"
        );
    }

    /// Returns the answer of a request that is not sent again.
    fn give_up(&mut self, refusal: OwnAnswer) -> Outcome {
        if self.has_begun {
            return Outcome::Cut(refusal.reason);
        }
        if let Some((head, body)) = self.failure.take() {
            return Outcome::Whole(head, body);
        }
        match self.plan.give_up() {
            attempt_plan::NextStep::Fail => Outcome::Own(OwnAnswer::denied(502, refusal.reason)),
            _ => Outcome::Own(refusal),
        }
    }

    /// Chooses an upstream that is ready to run the request.
    async fn place(&mut self) -> Result<engine_choice::ChosenUpstream, OwnAnswer> {
        let mut tried: Vec<sync::Arc<str>> = self.plan.tried().to_vec();
        for _ in 0..MAX_LOAD_TRIES {
            let chosen = self.choose(&tried).or_else(|| self.choose(&[]));
            let chosen = match chosen {
                Some(chosen) => chosen,
                None => self.wait_for_upstream().await?,
            };
            if !chosen.needs_load {
                return Ok(chosen);
            }
            let demand = self.admitted.demand.as_ref();
            let Some(name) = demand.and_then(|demand| demand.adapter.as_ref()) else {
                return Ok(chosen);
            };
            self.log.loads += 1;
            let was_missing = self.missed_at.as_ref() == Some(&chosen.id);
            let limit = MAX_LOAD_WAIT.min(self.time_left());
            let asked = self.state.now();
            let verdict = loads::ensure(self.state, &chosen.id, name, was_missing, limit).await;
            let wait = self.state.now().since(asked);
            self.state.metrics.count_load(verdict.code(), wait);
            match verdict {
                wire::LoadVerdict::Ready => return Ok(chosen),
                _ => tried.push(chosen.id),
            }
        }
        Err(OwnAnswer::refused("no_place", RETRY_PAUSE))
    }

    /// Waits a moment for an upstream that can run the request.
    async fn wait_for_upstream(&self) -> Result<engine_choice::ChosenUpstream, OwnAnswer> {
        let most = self.admitted.route.target_latency / PLACE_WAIT_DIVISOR;
        while self.state.now().since(self.exchange.received) < most {
            async_io::Timer::after(PLACE_CHECK).await;
            if let Some(chosen) = self.choose(&[]) {
                return Ok(chosen);
            }
        }
        Err(OwnAnswer::refused("no_upstream", RETRY_PAUSE))
    }

    fn choose(&self, tried: &[sync::Arc<str>]) -> Option<engine_choice::ChosenUpstream> {
        let placed = engine_choice::PlacedRequest {
            service: &self.admitted.service,
            demand: self.admitted.demand.as_ref(),
            zone: &self.state.settings.zone,
            tried,
        };
        engine_choice::choose(self.state.now(), &self.state.view(), &placed)
    }

    async fn attempt(&mut self, chosen: &engine_choice::ChosenUpstream) -> AttemptOutcome {
        let Some(address) = self.state.view().upstream(&chosen.id).map(|slot| slot.entry.address)
        else {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::NotSent, "upstream_gone");
        };
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
        let mut under_way = UnderWay::begin(self.state, &chosen.id, demand);
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
    fn attempt_limit(&self) -> time::Duration {
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

    fn broken(&self, upstream: &str, detail: &'static str) -> AttemptOutcome {
        self.state.view().request_judged(self.state.now(), upstream, true);
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
        if message::within(RETRY_PAUSE, read).await.is_some_and(|read| read.is_ok()) {
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
        self.state.view().request_judged(self.state.now(), upstream, has_failed);
        if !has_failed {
            return AttemptOutcome::Done(Outcome::Whole(head, body));
        }
        if self.has_begun {
            return AttemptOutcome::Ended(attempt_plan::AttemptEnd::Failed, "failed");
        }
        self.failure = Some((head, body));
        AttemptOutcome::Ended(attempt_plan::AttemptEnd::Failed, "failed")
    }

    /// Passes the events of a stream on as they come.
    async fn relay(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        mut answer: attempt::OpenAnswer,
        under_way: &mut UnderWay<'_>,
        sent: instant::MonotonicTime,
    ) -> AttemptOutcome {
        let mut splitter = event_stream::EventSplitter::default();
        let mut has_event = false;
        loop {
            let limit = match has_event {
                true => MAX_STREAM_SILENCE,
                false => self.attempt_limit().max(MAX_STREAM_SILENCE),
            };
            let part = answer.stream.read_part(&mut answer.framing);
            let part = match message::within(limit, part).await {
                None => return self.broken(&chosen.id, "stream_silent"),
                Some(Err(_)) => return self.broken(&chosen.id, "stream_broke_off"),
                Some(Ok(part)) => part,
            };
            let Some(part) = part else { break };
            self.state.view().upstream_heard(self.state.now(), &chosen.id);
            splitter.push(&part);
            if splitter.is_overlong() {
                return self.broken(&chosen.id, "stream_garbled");
            }
            let mut output = Vec::new();
            while let Some(event) = splitter.next_event() {
                if !has_event {
                    has_event = true;
                    under_way.prompt_read();
                    self.time_first_event(chosen, sent);
                }
                match self.position.judge(&event) {
                    event_stream::EventVerdict::Forward => output.extend_from_slice(&event.bytes),
                    event_stream::EventVerdict::Duplicate => {}
                    event_stream::EventVerdict::Gap => {
                        return self.broken(&chosen.id, "stream_gap");
                    }
                }
            }
            if !output.is_empty() && !self.write_events(&answer.head, &output).await {
                return AttemptOutcome::Done(Outcome::Cut("caller_gone"));
            }
        }
        if splitter.has_partial() {
            return self.broken(&chosen.id, "stream_garbled");
        }
        self.state.view().request_judged(self.state.now(), &chosen.id, false);
        let end = self.write_end(&answer.head).await;
        answer.release(&self.state.pool);
        AttemptOutcome::Done(if end { Outcome::Streamed } else { Outcome::Cut("caller_gone") })
    }

    fn time_first_event(
        &mut self,
        chosen: &engine_choice::ChosenUpstream,
        sent: instant::MonotonicTime,
    ) {
        let now = self.state.now();
        let wait = now.since(self.exchange.received);
        if self.log.first_ms.is_none() {
            self.log.first_ms = Some(wait.as_millis());
            self.state.metrics.record_first_event(wait);
        }
        let taken = now.since(sent).as_secs_f64() * 1000.0;
        let ratio = taken / chosen.expected_ms.max(engine_choice::FIRST_EVENT_MS);
        self.state.view().first_event_timed(&chosen.id, ratio);
    }

    /// Writes events, before the first ones also the head of the answer.
    async fn write_events(&mut self, head: &header::ResponseHead, events: &[u8]) -> bool {
        let mut bytes = self.stream_head(head);
        bytes.extend_from_slice(&body::encode_chunk(events));
        self.writer.write_all(&bytes).await.is_ok()
    }

    async fn write_end(&mut self, head: &header::ResponseHead) -> bool {
        let mut bytes = self.stream_head(head);
        bytes.extend_from_slice(body::LAST_CHUNK);
        self.writer.write_all(&bytes).await.is_ok()
    }

    fn stream_head(&mut self, head: &header::ResponseHead) -> Vec<u8> {
        if std::mem::replace(&mut self.has_begun, true) {
            return Vec::new();
        }
        let mut head = fields::encode_answer(head);
        head.headers.push("Transfer-Encoding", "chunked");
        if self.exchange.connection_use() == ConnectionUse::Close {
            head.headers.push("Connection", "close");
        }
        head.encode()
    }
}

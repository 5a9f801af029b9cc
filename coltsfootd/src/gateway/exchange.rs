//! One request of a caller: admission, forwarding, and the response.

use std::sync;
use std::time;

use async_net::TcpStream;
use coltsfoot_gateway::{demand, part_ledger, quota_ledger, route_table, rules, upstream_search};
use coltsfoot_http::{header, memory};
use coltsfoot_types::time as instant;
use coltsfoot_wire::once;
use futures_lite::AsyncWriteExt as _;
use site_platform::fields;

use crate::event;
use crate::gateway::{archive, callers, forwarding, request_log, serving_memory, state};
use crate::request_digest;

/// Maximum number of a body's bytes that are written together with the head.
const MAX_JOINED_BYTES: usize = serving_memory::RESPONSE_BYTES / 2;

/// What happens to the caller's connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionUse {
    /// It is kept open for further requests.
    Keep,
    /// It is closed after the response.
    Close,
    /// It is closed at once, so that a truncated response does not look complete.
    Abort,
}

/// Body of a response, with what it holds of the memory for responses until it is written.
#[derive(Debug)]
pub(super) struct BufferedBody {
    pub(super) bytes: Vec<u8>,
    pub(super) _lease: memory::MemoryLease,
}

/// How a request ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// An upstream's response, read completely before any of it is written.
    Buffered(header::ResponseHead, BufferedBody),
    /// A stream that was forwarded to its end.
    Streamed,
    /// A response that was cut off, with the reason.
    Aborted(&'static str),
    /// A response that the gateway generated itself.
    Local(LocalReply),
}

/// A response without body that no upstream sent: status, reason for the log, and `Retry-After`.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalReply {
    pub(super) status: u16,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<time::Duration>,
}

impl LocalReply {
    /// Creates a response that names no time for a retry.
    pub(super) fn error(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Creates a 503 response that asks for a retry after `wait`.
    pub(super) fn unavailable(reason: &'static str, wait: time::Duration) -> Self {
        Self { status: 503, reason, retry_after: Some(wait) }
    }
}

/// A request that was read, with its decoded fields and arrival time.
pub(crate) struct CallerExchange<'a> {
    pub(super) state: &'a sync::Arc<state::GatewayState>,
    pub(super) request: callers::ReceivedRequest,
    pub(super) fields: fields::CallerFields,
    pub(super) received: instant::MonotonicTime,
    /// Set once the head of the response is written, as the caller relies on what it announces.
    connection_use: sync::OnceLock<ConnectionUse>,
}

impl<'a> CallerExchange<'a> {
    /// Takes a request whose body was read completely.
    pub fn new(
        state: &'a sync::Arc<state::GatewayState>,
        request: callers::ReceivedRequest,
    ) -> Self {
        let fields = fields::decode_caller(&request.head);
        let connection_use = sync::OnceLock::new();
        Self { state, request, fields, received: state.now(), connection_use }
    }

    /// Serves the request and writes the response.
    pub async fn serve(
        &self,
        writer: &mut TcpStream,
        log: &mut request_log::RequestLog<'a>,
    ) -> ConnectionUse {
        archive::wait_until_open(self.state).await;
        let outcome = match self.admit(log) {
            Err(reply) => Outcome::Local(reply),
            Ok(admitted) => {
                log.tokens = admitted.tokens;
                let mut forwarding = forwarding::Forwarding::new(self, &admitted, writer, log);
                let outcome = forwarding.run_until_deadline().await;
                let may_have_run = forwarding.plan.may_have_run();
                admitted.settle_quota(self.state, &outcome, may_have_run);
                let has_response = matches!(outcome, Outcome::Buffered(..) | Outcome::Streamed);
                if has_response && !admitted.route.may_retry() {
                    admitted.record_duration(self.state, self.received);
                }
                outcome
            }
        };
        log.record_outcome(&outcome);
        let connection_use = self.write_response(writer, outcome).await;
        log.is_delivered = connection_use != ConnectionUse::Abort;
        connection_use
    }

    /// Authorizes the request and charges its customer's quota, or returns why it is refused.
    fn admit(&self, log: &mut request_log::RequestLog<'_>) -> Result<AdmittedRequest, LocalReply> {
        if self.state.is_rejecting() {
            return Err(LocalReply::unavailable("stopping", upstream_search::RETRY_PAUSE));
        }
        let Some(routes) = self.state.routes.load_full() else {
            return Err(LocalReply::unavailable("no_configuration", upstream_search::RETRY_PAUSE));
        };
        let Some(request_id) = self.fields.request_id.clone() else {
            return Err(LocalReply::error(400, "no_request_id"));
        };
        let key = self.fields.key.as_deref();
        let granted = routes.authorize(&self.fields.host, self.request.head.path(), key);
        let granted = granted.map_err(|denial| match denial {
            route_table::AccessDenial::NoRoute => LocalReply::error(404, "no_route"),
            route_table::AccessDenial::UnknownKey => LocalReply::error(401, "unknown_key"),
        })?;
        log.route = Some(sync::Arc::clone(&granted.route.name));
        log.customer = granted.customer.as_ref().map(|customer| sync::Arc::clone(&customer.name));
        let digest = self.digest(granted.customer.as_deref());
        log.digest = Some(digest);
        let parts = self.fields.demand.as_ref().map(part_ledger::shared_keys);
        let parts = parts.unwrap_or_default();
        self.check_quarantine(&digest, &parts)?;
        // A stream that is taken up stays at the service that began it.
        let first_id = self.fields.resumes.as_deref().filter(|_| granted.route.is_resumable);
        let service = route_table::pick_service(&granted.route, first_id.unwrap_or(&request_id))
            .and_then(|name| routes.service(&name).cloned())
            .ok_or(LocalReply::unavailable("no_service", upstream_search::RETRY_PAUSE))?;
        let timeout = self.fields.max_wait.unwrap_or(granted.route.timeout);
        let deadline = self.received + timeout.min(granted.route.timeout);
        let demand = self.fields.demand.clone().filter(|_| service.engine.is_some());
        let class = match &demand {
            None => quota_ledger::QuotaClass::Plain,
            Some(_) if granted.route.priority == 0 => quota_ledger::QuotaClass::UrgentPrompt,
            Some(_) => quota_ledger::QuotaClass::Prompt,
        };
        let tokens = self.charge(granted.customer.as_deref(), class)?;
        Ok(AdmittedRequest {
            request_id,
            digest,
            route: granted.route,
            customer: granted.customer,
            service,
            demand,
            parts,
            deadline,
            tokens,
        })
    }

    /// Refuses a request that is quarantined, itself or a part of its prompt, because upstreams crashed
    /// while running it.
    pub(super) fn check_quarantine(
        &self,
        digest: &once::RequestDigest,
        parts: &[part_ledger::PartKey],
    ) -> Result<(), LocalReply> {
        let now = self.state.now();
        if let Some(time_left) = self.state.crashes.ledger().quarantine_left(now, digest) {
            return Err(LocalReply::unavailable("quarantined", time_left));
        }
        let Some((part, time_left)) = self.state.part_ledger().quarantine_left(now, parts) else {
            return Ok(());
        };
        log::info!(
            event = event::PART_REFUSED.number, request = self.fields.request_id.as_deref(),
            digest = digest.short(), part = part.to_string(); "part_refused"
        );
        Err(LocalReply::unavailable("part_quarantined", time_left))
    }

    /// Refuses a request that may not be repeated and would probably be cut by the end of this process.
    /// Its caller is served elsewhere once the load balancer has noticed the stop.
    pub(super) fn check_stop(&self, admitted: &AdmittedRequest) -> Result<(), LocalReply> {
        let Some(plan) = self.state.stop.plan() else { return Ok(()) };
        let now = self.state.now();
        let expected = state::lock(&self.state.durations)
            .get(&admitted.route.name)
            .and_then(|estimate| estimate.expected(admitted.work()));
        if plan.may_begin(now, admitted.deadline, admitted.route.may_retry(), expected) {
            return Ok(());
        }
        let wait = plan.closes_at().since(now).max(upstream_search::RETRY_PAUSE);
        Err(LocalReply::unavailable("stop_too_short", wait))
    }

    /// Returns whether [`CallerExchange::check_quarantine`] would refuse an admitted request.
    pub(super) fn is_quarantined(&self, admitted: &AdmittedRequest) -> bool {
        let now = self.state.now();
        self.state.crashes.ledger().quarantine_left(now, &admitted.digest).is_some()
            || self.state.part_ledger().quarantine_left(now, &admitted.parts).is_some()
    }

    /// Returns the digest that is the same for retries of the request: of method, target, customer
    /// and body. Other fields of the head may differ between retries.
    fn digest(&self, customer: Option<&rules::CustomerRule>) -> once::RequestDigest {
        let head = &self.request.head;
        let customer = customer.map_or("", |customer| &*customer.name);
        let texts = [&*head.method, &*head.target, customer].map(str::as_bytes);
        request_digest::digest_of(texts.into_iter().chain([&*self.request.body]))
    }

    fn charge(
        &self,
        customer: Option<&rules::CustomerRule>,
        class: quota_ledger::QuotaClass,
    ) -> Result<u64, LocalReply> {
        let Some(customer) = customer else { return Ok(0) };
        let declared = self.fields.demand.as_ref().map(demand::PromptDemand::total_tokens);
        let tokens = match customer.counts_tokens {
            true => declared.filter(|tokens| *tokens > 0).unwrap_or(customer.plain_tokens),
            false => 1,
        };
        let admitted =
            state::lock(&self.state.quota).admit(self.received, &customer.name, tokens, class);
        admitted.map_err(|wait| LocalReply {
            status: 429,
            reason: "over_quota",
            retry_after: Some(wait),
        })?;
        Ok(tokens)
    }

    async fn write_response(&self, writer: &mut TcpStream, outcome: Outcome) -> ConnectionUse {
        let (mut head, body, _lease) = match outcome {
            Outcome::Streamed => return self.connection_use(),
            Outcome::Aborted(_) => return ConnectionUse::Abort,
            Outcome::Buffered(head, BufferedBody { bytes, _lease: lease }) => {
                (fields::encode_response(&head), bytes, lease)
            }
            Outcome::Local(reply) => {
                let id = self.fields.request_id.as_deref();
                let head = fields::local_reply(reply.status, id, reply.retry_after);
                (head, Vec::new(), memory::MemoryLease::unlimited())
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
        let body = if self.request.head.method == "HEAD" { &[][..] } else { &body };
        // Small ones go out with the head; a large one is not copied.
        let (joined, rest) = body.split_at(body.len().min(MAX_JOINED_BYTES));
        if has_body {
            bytes.extend_from_slice(joined);
        }
        if writer.write_all(&bytes).await.is_err() {
            return ConnectionUse::Abort;
        }
        match has_body && writer.write_all(rest).await.is_err() {
            true => ConnectionUse::Abort,
            false => end,
        }
    }

    /// Decides whether the connection is kept, when the head of the response is written; a stop that
    /// begins later does not change it.
    pub(super) fn connection_use(&self) -> ConnectionUse {
        *self.connection_use.get_or_init(|| {
            let is_last = self.state.is_stopping() || self.request.head.wants_close();
            if is_last { ConnectionUse::Close } else { ConnectionUse::Keep }
        })
    }
}

/// A request that was authorized and charged to its customer's quota.
pub(super) struct AdmittedRequest {
    pub(super) request_id: sync::Arc<str>,
    pub(super) digest: once::RequestDigest,
    pub(super) route: sync::Arc<rules::RouteRule>,
    pub(super) customer: Option<sync::Arc<rules::CustomerRule>>,
    pub(super) service: sync::Arc<rules::ServiceRule>,
    pub(super) demand: Option<demand::PromptDemand>,
    /// Parts of the prompt that other prompts share.
    pub(super) parts: part_ledger::PartList,
    pub(super) deadline: instant::MonotonicTime,
    pub(super) tokens: u64,
}

impl AdmittedRequest {
    /// Refunds the tokens of a request that certainly was not executed.
    fn settle_quota(&self, state: &state::GatewayState, outcome: &Outcome, may_have_run: bool) {
        let has_response = matches!(outcome, Outcome::Buffered(..) | Outcome::Streamed);
        if let Some(customer) = &self.customer
            && !has_response
            && !may_have_run
        {
            state::lock(&state.quota).refund(&customer.name, self.tokens);
        }
    }

    /// Returns the units of work by which its duration is estimated: tokens of output of a prompt.
    fn work(&self) -> u32 {
        self.demand.as_ref().map_or(1, |demand| demand.max_output_tokens)
    }

    /// Records how long the request took.
    fn record_duration(&self, state: &state::GatewayState, received: instant::MonotonicTime) {
        let mut durations = state::lock(&state.durations);
        let estimate = durations.entry(sync::Arc::clone(&self.route.name)).or_default();
        estimate.record(state.now().since(received), self.work());
    }

    pub(super) fn urgency(&self) -> u8 {
        rules::urgency(&self.route, self.customer.as_deref())
    }
}

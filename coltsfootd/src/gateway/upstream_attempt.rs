//! One attempt of a request at an upstream, from sending it to the head of the response.

use std::io;
use std::net;
use std::pin;
use std::sync;

use coltsfoot_gateway::{attempt_plan, engine_choice, event_stream};
use coltsfoot_types::time as instant;
use site_platform::fields;

use crate::gateway::{attempt, crashes, forwarding, in_flight, intake, loads, paths, permits};

type ResponseFuture<'a> = pin::Pin<Box<dyn Future<Output = ReceivedResponse> + Send + 'a>>;

/// A request at an upstream, as long as it counts towards the upstream's load.
pub(super) struct UpstreamAttempt<'a> {
    pub(super) chosen: engine_choice::ChosenUpstream,
    pub(super) sent: instant::MonotonicTime,
    pub(super) in_flight: in_flight::InFlightRequest<'a>,
    running: crashes::RunningRequest<'a>,
    endpoint: UpstreamEndpoint,
}

/// Address of an upstream and the number of its incarnation.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamEndpoint {
    address: net::SocketAddr,
    number: u32,
}

/// An attempt whose response has not begun.
pub(super) struct PendingAttempt<'a> {
    pub(super) attempt: UpstreamAttempt<'a>,
    pub(super) response: ResponseFuture<'a>,
}

/// An attempt whose response has begun and is the upstream's own.
pub(super) struct OpenAttempt<'a> {
    pub(super) attempt: UpstreamAttempt<'a>,
    pub(super) response: attempt::OpenResponse,
    /// Bytes of a stream that were received and not yet forwarded.
    pub(super) splitter: event_stream::EventSplitter,
}

/// An attempt that brought no complete response.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    pub(super) upstream: sync::Arc<str>,
    pub(super) end: attempt_plan::AttemptEnd,
    /// Reason for logs and metrics.
    pub(super) detail: &'static str,
}

/// Result of sending a request and receiving the head of the response.
type ReceivedResponse = Result<attempt::OpenResponse, attempt::AttemptError>;

/// Returns a response that can be forwarded as a success; anything else as an error.
pub(super) fn require_usable(
    received: ReceivedResponse,
) -> Result<attempt::OpenResponse, Box<ReceivedResponse>> {
    match received {
        Ok(response) if response.fields.is_signed && response.head.status < 500 => Ok(response),
        received => Err(Box::new(received)),
    }
}

impl UpstreamAttempt<'_> {
    /// Ends an attempt without a complete response.
    pub(super) fn fail(self, end: attempt_plan::AttemptEnd, detail: &'static str) -> FailedAttempt {
        self.running.fail(end);
        FailedAttempt { upstream: self.chosen.id, end, detail }
    }

    /// Ends an attempt that is not needed any more; it may have run.
    pub(super) fn cancel(self) -> FailedAttempt {
        let end = attempt_plan::AttemptEnd::Broken;
        FailedAttempt { upstream: self.chosen.id, end, detail: "cancelled" }
    }

    /// Records an event of the response.
    pub(super) fn event_received(&self) {
        self.running.event_received();
    }

    /// Ends an attempt whose response was received completely.
    pub(super) fn complete(self) {
        self.running.complete();
    }
}

impl<'b> forwarding::Forwarding<'_, 'b> {
    /// Returns where an upstream can be reached, or why nothing may be sent there.
    pub(super) fn locate(&self, upstream: &str) -> Result<UpstreamEndpoint, &'static str> {
        let view = self.state.view();
        let slot = view.sendable_upstream(self.state.now(), upstream)?;
        Ok(UpstreamEndpoint { address: slot.entry.address, number: slot.number })
    }

    /// Prepares to send the request to an upstream; it is sent once the response is polled.
    pub(super) fn send(
        &mut self,
        chosen: engine_choice::ChosenUpstream,
        endpoint: UpstreamEndpoint,
    ) -> PendingAttempt<'b> {
        let state = self.exchange.state;
        let admitted = self.admitted;
        self.log.upstream = Some(sync::Arc::clone(&chosen.id));
        self.log.expected_ms = chosen.expected_ms;
        self.log.sends += 1;
        let sent = state.now();
        self.log.placed_us.get_or_insert(sent.since(self.exchange.received).as_micros());
        let running = crashes::RunningRequest::begin(
            state,
            &chosen.id,
            endpoint.address,
            admitted.digest,
            &admitted.parts,
        );
        let demand = admitted.demand.as_ref();
        let in_flight = in_flight::InFlightRequest::begin(state, &chosen.id, demand);
        let head = self.encode(&chosen.id).encode();
        let received = &self.exchange.request;
        let upstream = sync::Arc::clone(&chosen.id);
        let lease = state.memory.response_lease(&chosen.id);
        let response = Box::pin(async move {
            let max_idle = match admitted.route.may_retry() {
                true => attempt::MAX_IDLE,
                false => attempt::MAX_IDLE_NON_IDEMPOTENT,
            };
            let target = paths::PathTarget {
                upstream: &upstream,
                number: endpoint.number,
                address: endpoint.address,
                max_idle,
                request: &admitted.request_id,
            };
            let connected = paths::connect(state, &target).await;
            let connection = connected.map_err(attempt::AttemptError::NotSent)?;
            if permits::is_overdue(state, endpoint.number, sent) {
                let error = io::Error::new(io::ErrorKind::TimedOut, "the permit is too old");
                return Err(attempt::AttemptError::NotSent(error));
            }
            let request = attempt::AttemptRequest {
                request_id: &admitted.request_id,
                method: &received.head.method,
                head,
                body: &received.body,
            };
            attempt::send(connection, request, lease).await
        });
        let attempt = UpstreamAttempt { chosen, sent, in_flight, running, endpoint };
        PendingAttempt { attempt, response }
    }

    /// Checks the head of a response, or what came in its place.
    pub(super) fn accept(
        &mut self,
        attempt: UpstreamAttempt<'b>,
        response: ReceivedResponse,
    ) -> Result<OpenAttempt<'b>, FailedAttempt> {
        let response = match response {
            Ok(response) => response,
            Err(attempt::AttemptError::NotSent(_)) => {
                self.state.view().connect_failed(self.state.now(), &attempt.chosen.id);
                return Err(attempt.fail(attempt_plan::AttemptEnd::NotSent, "no_connection"));
            }
            Err(attempt::AttemptError::Mismatched) => {
                return Err(self.fail_broken(attempt, "foreign_answer"));
            }
            Err(attempt::AttemptError::Broken(_)) => {
                return Err(self.fail_broken(attempt, "no_answer"));
            }
        };
        paths::record_activity(self.state, &attempt.chosen.id, response.is_direct());
        let context = self.send_context(&attempt.chosen.id, attempt.endpoint.number);
        intake::record_response(self.state, &context, attempt.sent, &response.fields);
        if response.fields.is_not_run && !response.fields.is_signed {
            return Err(self.handle_not_run(attempt, &response));
        }
        if !response.fields.is_signed || response.fields.is_encoded {
            return Err(self.fail_broken(attempt, "unsigned_answer"));
        }
        Ok(OpenAttempt { attempt, response, splitter: event_stream::EventSplitter::default() })
    }

    /// Ends an attempt without a complete response as a failure of the upstream.
    pub(super) fn fail_broken(
        &self,
        attempt: UpstreamAttempt<'_>,
        detail: &'static str,
    ) -> FailedAttempt {
        self.state.view().record_outcome(self.state.now(), &attempt.chosen.id, true);
        attempt.fail(attempt_plan::AttemptEnd::Broken, detail)
    }

    fn encode(&self, upstream: &str) -> coltsfoot_http::header::RequestHead {
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

    /// Handles a response which states that the request was not executed.
    fn handle_not_run(
        &mut self,
        attempt: UpstreamAttempt<'_>,
        response: &attempt::OpenResponse,
    ) -> FailedAttempt {
        let upstream = &attempt.chosen.id;
        let is_misdirected = response.head.status == 421;
        if is_misdirected {
            let is_other_instance =
                response.fields.instance.as_deref().is_some_and(|id| *id != **upstream);
            let demand = self.admitted.demand.as_ref();
            let adapter = demand.and_then(|demand| demand.adapter.as_ref());
            if is_other_instance {
                self.state.view().connect_failed(self.state.now(), upstream);
            } else if let Some(adapter) = adapter {
                self.state.view().adapter_missing(upstream, adapter.key());
                loads::report_missing(self.state, upstream, adapter);
                self.missing_adapter_at = Some(sync::Arc::clone(upstream));
            }
        }
        if !is_misdirected {
            self.state.view().pause_rejected(self.state.now(), upstream);
        }
        match is_misdirected {
            true => attempt.fail(attempt_plan::AttemptEnd::Misdirected, "misdirected"),
            false => attempt.fail(attempt_plan::AttemptEnd::Rejected, "rejected"),
        }
    }
}

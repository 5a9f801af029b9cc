//! Moves a request from a silent upstream to another one.
//!
//! The silent upstream may be sound and go on, so its attempt is ended only once another upstream has
//! taken the request. Until then whichever goes on first is used.

use std::pin;
use std::sync;
use std::time;

use coltsfoot_gateway::{attempt_plan, engine_choice, failover_timer, rules, upstream_search};
use futures_lite::future;

use crate::event;
use crate::gateway::{forwarding, relay, upstream_attempt};

/// Interval between checks whether an upstream is silent.
const SILENCE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after which the other upstream counts as running the request: from the head of its stream, or from
/// sending the request if a response begins only once it is complete. The earlier attempt ends then, as
/// two engines may work on a request for 400 ms at most.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Result of a search for another upstream while the present one is silent.
pub(super) enum FailoverResult<'a, T, E> {
    /// The present upstream went on, or its attempt failed, before another one was asked.
    Progress(Result<T, E>),
    /// Another upstream has taken the request; the error if the present attempt failed meanwhile.
    Moved(forwarding::AttemptStage<'a>, Option<E>),
    /// No other upstream takes the request.
    Unavailable,
}

/// What happened first while two upstreams had the request.
enum HandoverEvent<T, U> {
    /// The present upstream went on, or its attempt failed.
    Progress(T),
    /// The other upstream responded.
    Response(U),
    TimedOut,
}

/// Waits until one of two upstreams goes on, at most for a time if there is a limit.
async fn first_to_progress<T, U>(
    progress: impl Future<Output = T>,
    response: impl Future<Output = U>,
    limit: Option<time::Duration>,
) -> HandoverEvent<T, U> {
    let progress = async { HandoverEvent::Progress(progress.await) };
    let respond = async { HandoverEvent::Response(response.await) };
    let timeout = async {
        async_io::Timer::after(limit.unwrap_or(time::Duration::MAX)).await;
        HandoverEvent::TimedOut
    };
    future::or(progress, future::or(respond, timeout)).await
}

impl<'b> forwarding::Forwarding<'_, 'b> {
    /// Waits until the timer is due; forever if the request may not be sent elsewhere.
    pub(super) async fn wait_until_overdue(
        &self,
        upstream: &sync::Arc<str>,
        timer: &failover_timer::FailoverTimer,
    ) {
        if !self.plan.may_fail_over() {
            return std::future::pending().await;
        }
        loop {
            let left = timer.time_until_due(self.state.now());
            async_io::Timer::after(left.max(SILENCE_CHECK_INTERVAL)).await;
            if self.is_overdue(upstream, timer) {
                return;
            }
        }
    }

    fn is_overdue(&self, upstream: &sync::Arc<str>, timer: &failover_timer::FailoverTimer) -> bool {
        let now = self.state.now();
        let is_upstream_silent = {
            let view = self.state.view();
            view.upstream(upstream).is_none_or(|slot| slot.is_silent(now))
        };
        timer.is_due(now, is_upstream_silent) && !self.exchange.is_quarantined(self.admitted)
    }

    /// Seeks another upstream for the request and sends it there, while `progress` of the present attempt
    /// is awaited.
    pub(super) async fn fail_over<T, E>(
        &mut self,
        present: &sync::Arc<str>,
        progress: impl Future<Output = Result<T, E>>,
    ) -> FailoverResult<'b, T, E> {
        let mut progress = pin::pin!(progress);
        let prepare = async { Err(self.prepare_failover(present).await) };
        let prepared = future::or(async { Ok((&mut progress).await) }, prepare);
        let (chosen, endpoint) = match prepared.await {
            Ok(result) => {
                let verdict = if result.is_ok() { "resumed" } else { "failed" };
                self.log_failover(present, verdict);
                return FailoverResult::Progress(result);
            }
            Err(Ok(prepared)) => prepared,
            Err(Err(reason)) => {
                self.log_failover(present, reason);
                return FailoverResult::Unavailable;
            }
        };
        let mut lease = self.state.memory.request_lease();
        if !lease.grow_to(self.exchange.request.attempt_bytes()) {
            self.has_reserved_retry = true;
            self.log_failover(present, "no_memory");
            return FailoverResult::Unavailable;
        }
        let pending = self.send(chosen, endpoint);
        self.hand_over(present, progress, pending).await
    }

    /// Finds an upstream other than the present one, and withdraws a retry.
    async fn prepare_failover(
        &mut self,
        present: &sync::Arc<str>,
    ) -> Result<(engine_choice::ChosenUpstream, upstream_attempt::UpstreamEndpoint), &'static str>
    {
        if !self.has_retry() {
            return Err("no_budget");
        }
        let now = self.state.now();
        let search = upstream_search::UpstreamSearch::without_wait(now, sync::Arc::clone(present));
        let chosen = self.search_upstream(search).await.map_err(|refusal| refusal.reason)?;
        self.exchange
            .check_quarantine(&self.admitted.digest, &self.admitted.parts)
            .map_err(|refusal| refusal.reason)?;
        let endpoint = self.locate(&chosen.id)?;
        match self.withdraw_retry() {
            true => Ok((chosen, endpoint)),
            false => Err("no_budget"),
        }
    }

    /// Waits until another upstream has taken or rejected the request, or the present one goes on.
    async fn hand_over<T, E>(
        &mut self,
        present: &sync::Arc<str>,
        mut progress: pin::Pin<&mut impl Future<Output = Result<T, E>>>,
        mut pending: upstream_attempt::PendingAttempt<'b>,
    ) -> FailoverResult<'b, T, E> {
        let shows_begin = self.admitted.demand.is_none()
            || self.admitted.route.kind == rules::RouteKind::Streaming;
        let limit = (!shows_begin).then_some(HANDOVER_TIMEOUT);
        let error = match first_to_progress(progress.as_mut(), &mut pending.response, limit).await {
            HandoverEvent::Response(response) => {
                return match self.accept(pending.attempt, response) {
                    Ok(open) => self.confirm_response(present, progress, open).await,
                    Err(failed) => self.keep_present(present, &failed),
                };
            }
            HandoverEvent::Progress(Ok(progress)) => {
                return self.resume_present(present, pending.attempt, progress);
            }
            HandoverEvent::Progress(Err(error)) => Some(error),
            HandoverEvent::TimedOut => None,
        };
        self.move_on(present, forwarding::AttemptStage::Pending(Box::new(pending)), error)
    }

    /// Waits for the first event of the other upstream's stream. The present attempt is kept if the other
    /// upstream fails or breaks off before.
    async fn confirm_response<T, E>(
        &mut self,
        present: &sync::Arc<str>,
        progress: pin::Pin<&mut impl Future<Output = Result<T, E>>>,
        mut open: upstream_attempt::OpenAttempt<'b>,
    ) -> FailoverResult<'b, T, E> {
        let state = self.exchange.state;
        let other = sync::Arc::clone(&open.attempt.chosen.id);
        if !(200..300).contains(&open.response.head.status) {
            state.view().record_outcome(state.now(), &other, true);
            let failed = open.attempt.fail(attempt_plan::AttemptEnd::Failed, "failed");
            return self.keep_present(present, &failed);
        }
        let mut error = None;
        if self.is_stream(&open) {
            let read = relay::read_event(state, &other, &mut open.response, &mut open.splitter);
            match first_to_progress(progress, read, Some(HANDOVER_TIMEOUT)).await {
                HandoverEvent::Response(Err(detail)) => {
                    let failed = self.fail_broken(open.attempt, detail);
                    return self.keep_present(present, &failed);
                }
                HandoverEvent::Progress(Ok(progress)) => {
                    return self.resume_present(present, open.attempt, progress);
                }
                HandoverEvent::Progress(Err(present_error)) => error = Some(present_error),
                HandoverEvent::Response(Ok(_)) | HandoverEvent::TimedOut => {}
            }
        }
        self.move_on(present, forwarding::AttemptStage::Open(Box::new(open)), error)
    }

    fn move_on<T, E>(
        &self,
        present: &sync::Arc<str>,
        stage: forwarding::AttemptStage<'b>,
        error: Option<E>,
    ) -> FailoverResult<'b, T, E> {
        self.log_failover(present, "moved");
        FailoverResult::Moved(stage, error)
    }

    fn keep_present<T, E>(
        &mut self,
        present: &sync::Arc<str>,
        failed: &upstream_attempt::FailedAttempt,
    ) -> FailoverResult<'b, T, E> {
        self.log.upstream = Some(sync::Arc::clone(present));
        self.record_attempt(failed, "kept");
        self.log_failover(present, failed.detail);
        FailoverResult::Unavailable
    }

    fn resume_present<T, E>(
        &mut self,
        present: &sync::Arc<str>,
        other: upstream_attempt::UpstreamAttempt<'_>,
        progress: T,
    ) -> FailoverResult<'b, T, E> {
        self.log.upstream = Some(sync::Arc::clone(present));
        self.record_attempt(&other.cancel(), "kept");
        self.log_failover(present, "resumed");
        FailoverResult::Progress(Ok(progress))
    }

    fn log_failover(&self, upstream: &sync::Arc<str>, verdict: &'static str) {
        self.state.metrics.count_failover(verdict);
        log::info!(
            event = event::FAILOVER_DECIDED.number, request = &*self.admitted.request_id,
            upstream = &**upstream, verdict = verdict, events = self.position.forwarded(),
            ms = self.state.now().since(self.exchange.received).as_millis() as u64;
            "failover_decided"
        );
    }
}

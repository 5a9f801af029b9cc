//! Moves a request from a silent upstream to another one.
//!
//! The silent upstream may be sound and go on, so its attempt is ended only once another upstream has
//! taken the request. Until then whichever goes on first is used.

use std::pin;
use std::sync;
use std::time;

use coltsfoot_gateway::{engine_choice, failover_timer, rules, upstream_search};
use smallvec::SmallVec;

use crate::event;
use crate::gateway::{attempt, forwarding, upstream_attempt};

/// Interval between checks whether an upstream is silent.
const SILENCE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after which an engine that has not rejected a request counts as running it, if its response begins
/// only once it is complete. The earlier attempt ends then: the platform bounds the time for which two
/// engines work on a request at 400 ms.
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

/// What happened first after a request was sent to another upstream.
enum HandoverEvent<T> {
    Progress(T),
    Response(Box<Result<attempt::OpenResponse, attempt::AttemptError>>),
    TimedOut,
}

impl<'b> forwarding::Forwarding<'_, 'b> {
    /// Waits until the timer is due; forever if the request may not be retried.
    pub(super) async fn wait_until_overdue(
        &self,
        upstream: &sync::Arc<str>,
        timer: &failover_timer::FailoverTimer,
    ) {
        if !self.plan.may_retry_run() {
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
        timer.is_due(now, is_upstream_silent)
            && self.exchange.check_quarantine(&self.admitted.digest).is_ok()
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
        let prepared = futures_lite::future::or(async { Ok((&mut progress).await) }, prepare);
        let (chosen, endpoint) = match prepared.await {
            Ok(result) => {
                self.log_failover(present, "resumed");
                return FailoverResult::Progress(result);
            }
            Err(Ok(prepared)) => prepared,
            Err(Err(reason)) => {
                self.log_failover(present, reason);
                return FailoverResult::Unavailable;
            }
        };
        let pending = self.send(chosen, endpoint);
        self.hand_over(present, progress, pending).await
    }

    /// Finds an upstream that is not the present one and was not tried, and withdraws a retry.
    async fn prepare_failover(
        &mut self,
        present: &sync::Arc<str>,
    ) -> Result<(engine_choice::ChosenUpstream, upstream_attempt::UpstreamEndpoint), &'static str>
    {
        if !self.has_retry() {
            return Err("no_budget");
        }
        let tried: SmallVec<[sync::Arc<str>; 4]> =
            self.plan.tried().iter().chain([present]).cloned().collect();
        let search = upstream_search::UpstreamSearch::without_wait(self.state.now(), &tried);
        let chosen = self.search_upstream(search).await.map_err(|refusal| refusal.reason)?;
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
        progress: pin::Pin<&mut impl Future<Output = Result<T, E>>>,
        mut pending: upstream_attempt::PendingAttempt<'b>,
    ) -> FailoverResult<'b, T, E> {
        let shows_begin = self.admitted.demand.is_none()
            || self.admitted.route.kind == rules::RouteKind::Streaming;
        let timeout = async {
            if shows_begin {
                std::future::pending::<()>().await;
            }
            async_io::Timer::after(HANDOVER_TIMEOUT).await;
            HandoverEvent::TimedOut
        };
        let respond = async { HandoverEvent::Response(Box::new((&mut pending.response).await)) };
        let progress = async { HandoverEvent::Progress(progress.await) };
        let first = futures_lite::future::or(progress, futures_lite::future::or(respond, timeout));
        match first.await {
            HandoverEvent::Progress(Ok(progress)) => {
                self.record_attempt(&pending.attempt.cancel(), "kept");
                self.log_failover(present, "resumed");
                FailoverResult::Progress(Ok(progress))
            }
            HandoverEvent::Progress(Err(error)) => {
                self.log_failover(present, "moved");
                FailoverResult::Moved(
                    forwarding::AttemptStage::Pending(Box::new(pending)),
                    Some(error),
                )
            }
            HandoverEvent::TimedOut => {
                self.log_failover(present, "moved");
                FailoverResult::Moved(forwarding::AttemptStage::Pending(Box::new(pending)), None)
            }
            HandoverEvent::Response(response) => {
                match self.accept(pending.attempt, *response).await {
                    Ok(open) => {
                        self.log_failover(present, "moved");
                        FailoverResult::Moved(forwarding::AttemptStage::Open(Box::new(open)), None)
                    }
                    Err(failed) => {
                        self.record_attempt(&failed, "kept");
                        self.log_failover(present, failed.detail);
                        FailoverResult::Unavailable
                    }
                }
            }
        }
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

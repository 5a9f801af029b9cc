//! Outstanding permits: their release, expiry and loss.

use std::collections;

use coltsfoot_types::{adapter, id, name, time as clock};
use coltsfoot_wire::placement;
use rustc_hash::FxHashMap;

use crate::cell::{CellActions, EngineCell};
use crate::engine;
use crate::event;

/// Consecutive failures after which an engine is suspended.
const SUSPENDING_FAILURES: u32 = 3;
/// First suspension; doubles with each further failure.
const SUSPENSION_SECONDS: u64 = 1;
/// Maximum number of doublings.
const MAX_SUSPENSION_DOUBLINGS: u32 = 4;

impl EngineCell {
    /// Resends a permit whose grant message may have been lost; returns false if there is none.
    pub(crate) fn repeat_grant(
        &mut self,
        now: clock::MonotonicTime,
        instance: &name::InstanceName,
        attempt: id::AttemptId,
        actions: &mut CellActions,
    ) -> bool {
        let Some(fencing) = self.fencing(now) else {
            return false;
        };
        let Some(permit) = self.permits.get_mut(&attempt) else {
            return false;
        };
        let send_within = self.settings.send_within;
        permit.ends_at = now + send_within + self.settings.max_request_time;
        let grant = placement::PermitGrant {
            attempt,
            adapter: permit.adapter.clone(),
            engine: permit.engine.clone(),
            fencing,
            send_within,
        };
        actions.push(event::CellAction::Grant { instance: instance.clone(), grant });
        true
    }

    /// Releases a permit.
    pub(crate) fn release(
        &mut self,
        now: clock::MonotonicTime,
        release: &placement::PermitRelease,
        actions: &mut CellActions,
    ) {
        self.cancel_wait(release.attempt);
        if release.outcome == placement::AttemptOutcome::Unknown {
            if let Some(permit) = self.permits.get_mut(&release.attempt) {
                permit.is_orphaned = true;
            }
            return;
        }
        let Some(permit) = self.end_permit(release.attempt) else {
            return;
        };
        self.apply_outcome(now, &permit, release.outcome, actions);
        self.serve_ready(now, &permit.engine, actions);
    }

    /// Drops a waiting request. A permit already granted stays until the instance releases it.
    pub(crate) fn cancel_wait(&mut self, attempt: id::AttemptId) {
        let is_waiting =
            self.waits.get(&attempt.request).is_some_and(|wait| wait.attempt == attempt);
        if is_waiting {
            self.drop_wait(attempt.request);
        }
    }

    fn end_permit(&mut self, attempt: id::AttemptId) -> Option<engine::OutstandingPermit> {
        let permit = self.permits.remove(&attempt)?;
        if let Some(state) = self.engines.get_mut(&permit.engine) {
            state.unpin(&permit.adapter);
        }
        Some(permit)
    }

    fn apply_outcome(
        &mut self,
        now: clock::MonotonicTime,
        permit: &engine::OutstandingPermit,
        outcome: placement::AttemptOutcome,
        actions: &mut CellActions,
    ) {
        use placement::AttemptOutcome;
        let Some(state) = self.engines.get_mut(&permit.engine) else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered { output_tokens, duration } => {
                state.failures = 0;
                state.service.add(output_tokens, duration);
            }
            AttemptOutcome::EngineFailed => self.suspend_engine(now, &permit.engine, actions),
            AttemptOutcome::NotResident => {
                state.resident.remove(&permit.adapter);
                let adapter = permit.adapter.clone();
                self.readmit_ready(now, &permit.engine, |moved| *moved == adapter, actions);
            }
            AttemptOutcome::WrongAnswer => {
                self.counters.wrong_answers += 1;
                self.suspend_engine(now, &permit.engine, actions);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::Unknown => {}
        }
    }

    /// Suspends an engine after consecutive failures.
    fn suspend_engine(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        actions: &mut CellActions,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        state.failures += 1;
        if state.failures < SUSPENDING_FAILURES {
            return;
        }
        let doublings = (state.failures - SUSPENDING_FAILURES).min(MAX_SUSPENSION_DOUBLINGS);
        let pause = std::time::Duration::from_secs(SUSPENSION_SECONDS << doublings);
        state.suspended_until = now + pause;
        self.readmit_ready(now, engine, |_| true, actions);
    }

    /// Ends the permits that were not released within the maximum request time.
    pub(crate) fn expire_permits(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        let ended = self.permits.iter().filter(|(_, permit)| permit.ends_at <= now);
        let mut ended: Vec<_> = ended.map(|(attempt, _)| *attempt).collect();
        ended.sort_unstable();
        for attempt in ended {
            if let Some(permit) = self.end_permit(attempt) {
                self.serve_ready(now, &permit.engine, actions);
            }
        }
    }

    /// Marks the permits of a terminated instance as orphaned, to end with a report that shows
    /// their adapter idle or with the maximum request time. Drops its waiting requests.
    pub(crate) fn remove_instance(
        &mut self,
        now: clock::MonotonicTime,
        instance: &name::InstanceName,
    ) {
        for permit in self.permits.values_mut() {
            if permit.instance == *instance {
                permit.is_orphaned = true;
                permit.granted_at = now;
            }
        }
        let waits = self.waits.values().filter(|wait| wait.instance == *instance);
        let mut requests: Vec<_> = waits.map(|wait| wait.attempt.request).collect();
        requests.sort_unstable();
        for request in requests {
            self.drop_wait(request);
        }
        self.takeover.forget_reporter(instance);
    }

    /// Ends the orphaned permits whose adapter an engine report shows idle. Only permits older than
    /// the time to send and the report lag count, since the report may predate newer ones.
    pub(crate) fn end_orphaned_permits(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        active: &collections::BTreeSet<adapter::AdapterVersion>,
        actions: &mut CellActions,
    ) {
        let covered_after = self.settings.send_within + self.settings.max_report_lag;
        let orphans = self.permits.iter().filter(|(_, permit)| {
            permit.is_orphaned
                && permit.engine == *engine
                && permit.granted_at + covered_after <= now
                && !active.contains(&permit.adapter)
        });
        let mut orphans: Vec<_> = orphans.map(|(attempt, _)| *attempt).collect();
        orphans.sort_unstable();
        for attempt in orphans {
            self.end_permit(attempt);
        }
        self.serve_ready(now, engine, actions);
    }

    /// Compares the service times of the engines with their median to detect slow ones.
    pub(crate) fn detect_slow_engines(&mut self, now: clock::MonotonicTime) {
        let mut lower_bounds = FxHashMap::<&name::UpstreamName, f64>::default();
        for permit in self.permits.values().filter(|permit| !permit.is_orphaned) {
            let age = now.since(permit.granted_at).as_secs_f64();
            let lower_bound = lower_bounds.entry(&permit.engine).or_default();
            *lower_bound = lower_bound.max(age / f64::from(permit.estimated_tokens.max(1)));
        }
        let averages = self.engines.values().filter_map(|engine| engine.service.average());
        let mut averages: Vec<_> = averages.collect();
        averages.sort_by(f64::total_cmp);
        let Some(&median) = averages.get(averages.len().saturating_sub(1) / 2) else {
            return;
        };
        for engine in self.engines.values_mut() {
            engine
                .service
                .set_lower_bound(lower_bounds.get(&engine.listing.name).copied().unwrap_or(0.0));
            engine.service.update_slow(median);
        }
    }
}

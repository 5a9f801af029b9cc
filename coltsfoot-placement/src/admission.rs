//! Admission of permit requests to an engine's batch, its ready queue, or the load queue.

use std::time;

use coltsfoot_quota::queue_entry;
use coltsfoot_types::{adapter, id, name, refusal, time as clock};
use coltsfoot_wire::placement;

use crate::cell::{self, CellActions, EngineCell};
use crate::engine;
use crate::event;

impl EngineCell {
    /// Admits a permit request. A repeated request gets its grant again or keeps waiting.
    pub(crate) fn request_permit(
        &mut self,
        now: clock::MonotonicTime,
        instance: name::InstanceName,
        demand: placement::PermitDemand,
        actions: &mut CellActions,
    ) {
        let attempt = demand.attempt;
        if self.repeat_grant(now, &instance, attempt, actions) {
            return;
        }
        if self.waits.get(&attempt.request).is_some_and(|wait| wait.attempt == attempt) {
            return;
        }
        self.drop_wait(attempt.request);
        let deadline = now + demand.time_left;
        let cause = engine::WaitCause::Load;
        let wait =
            engine::WaitingPermit { attempt, instance, demand, arrived: now, deadline, cause };
        if self.lease.is_none_or(|lease| now >= lease.until) {
            let reason = placement::PermitRefusalReason::NotOwner;
            actions.push(cell::refuse(&wait, reason, time::Duration::ZERO));
            return;
        }
        if self.waits.len() >= self.settings.max_waiting {
            let reason = placement::PermitRefusalReason::Refused(refusal::RefusalReason::QueueFull);
            actions.push(cell::refuse(&wait, reason, time::Duration::from_secs(1)));
            return;
        }
        self.count_request(now, &wait.demand.adapter);
        self.admit(now, wait, actions);
        let is_stalled = self
            .waits
            .get(&attempt.request)
            .is_some_and(|wait| wait.cause == engine::WaitCause::Load);
        self.counters.load_stalls += u64::from(is_stalled);
    }

    fn count_request(&mut self, now: clock::MonotonicTime, adapter: &adapter::AdapterVersion) {
        self.popularity.count(now, adapter);
        let count = self.popularity.count_of(adapter);
        for engine in self.engines.values_mut() {
            if let Some(residency) = engine.resident.get_mut(adapter) {
                residency.count = count;
            }
        }
    }

    /// Grants a permit, or queues the request for a batch or a load.
    pub(crate) fn admit(
        &mut self,
        now: clock::MonotonicTime,
        wait: engine::WaitingPermit,
        actions: &mut CellActions,
    ) {
        if self.fencing(now).is_none() {
            self.wait_for_load(now, wait, actions);
            return;
        }
        let adapter = wait.demand.adapter.clone();
        let engine = self.choose_holder(now, &adapter);
        let Some(engine) = engine else {
            self.wait_for_load(now, wait, actions);
            return;
        };
        self.consider_replica(now, &adapter);
        let state = &self.engines[&engine];
        if state.room() > 0 && state.ready.is_empty() {
            self.grant(now, &engine, wait, actions);
            return;
        }
        self.wait_for_batch(now, engine, wait, actions);
    }

    /// Chooses among the engines that hold the adapter: engines with room in the batch first, then
    /// those that are not slow. Among these, the fullest batch (the emptiest without packing) or,
    /// without room, the shortest queue.
    fn choose_holder(
        &self,
        now: clock::MonotonicTime,
        adapter: &adapter::AdapterVersion,
    ) -> Option<name::UpstreamName> {
        let holders = self.engines.values().filter(|engine| {
            engine.serves(adapter) && engine.is_usable(now) && !self.should_avoid(now, engine)
        });
        let best = holders.min_by_key(|engine| {
            let has_room = engine.room() > 0 && engine.ready.is_empty();
            let load = match (has_room, self.settings.packing.is_enabled) {
                (true, true) => engine.listing.batch_size.saturating_sub(engine.running) as usize,
                (true, false) => engine.running as usize,
                (false, _) => engine.ready.len(),
            };
            (!has_room, engine.is_slow(), load)
        })?;
        Some(best.name().clone())
    }

    /// Returns whether a slow, full engine should be avoided because a better one is usable.
    fn should_avoid(&self, now: clock::MonotonicTime, engine: &engine::EngineState) -> bool {
        let is_better = |other: &engine::EngineState| other.is_usable(now) && !other.is_slow();
        engine.is_slow() && engine.room() == 0 && self.engines.values().any(is_better)
    }

    /// Marks an adapter for an additional replica if the engines that hold it are nearly full.
    fn consider_replica(&mut self, now: clock::MonotonicTime, adapter: &adapter::AdapterVersion) {
        if self.settings.replica_fill_percent <= 100 && self.needs_replica(now, adapter) {
            self.replica_candidates.insert(adapter.clone());
        }
    }

    /// Grants a permit and pins the adapter.
    pub(crate) fn grant(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        wait: engine::WaitingPermit,
        actions: &mut CellActions,
    ) {
        let Some(fencing) = self.fencing(now) else {
            return;
        };
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let adapter = wait.demand.adapter;
        assert!(state.holds(&adapter), "permit granted for an adapter that is not resident");
        state.pin(now, &adapter);
        let permit = engine::OutstandingPermit {
            engine: engine.clone(),
            adapter: adapter.clone(),
            instance: wait.instance.clone(),
            granted_at: now,
            estimated_tokens: wait.demand.estimated_tokens,
            ends_at: now + self.settings.send_within + self.settings.max_request_time,
            is_orphaned: false,
        };
        self.permits.insert(wait.attempt, permit);
        self.counters.permits += 1;
        let grant = placement::PermitGrant {
            attempt: wait.attempt,
            adapter,
            engine: engine.clone(),
            fencing,
            send_within: self.settings.send_within,
        };
        actions.push(event::CellAction::Grant { instance: wait.instance, grant });
    }

    fn wait_for_batch(
        &mut self,
        now: clock::MonotonicTime,
        engine: name::UpstreamName,
        mut wait: engine::WaitingPermit,
        actions: &mut CellActions,
    ) {
        wait.cause = engine::WaitCause::Batch(engine.clone());
        let entry = Self::queue_entry(&wait, u64::from(wait.demand.estimated_tokens), ());
        let Some(state) = self.engines.get_mut(&engine) else {
            return;
        };
        match state.ready.push(now, entry) {
            Ok(None) => {
                state.enqueue(&wait.demand.adapter);
                self.insert_wait(wait);
            }
            Ok(Some(displaced)) => {
                state.enqueue(&wait.demand.adapter);
                self.insert_wait(wait);
                self.refuse_request(displaced.entry.request, displaced.reason, actions);
            }
            Err(refused) => {
                let reason = placement::PermitRefusalReason::Refused(refused.reason);
                actions.push(cell::refuse(&wait, reason, time::Duration::from_secs(1)));
            }
        }
    }

    pub(crate) fn queue_entry<T>(
        wait: &engine::WaitingPermit,
        tokens: u64,
        item: T,
    ) -> queue_entry::QueueEntry<T> {
        queue_entry::QueueEntry::builder()
            .request(wait.attempt.request)
            .customer(wait.demand.customer.clone())
            .weight(wait.demand.weight)
            .priority(wait.demand.priority)
            .tokens(tokens)
            .deadline(wait.deadline)
            .item(item)
            .build()
    }

    pub(crate) fn insert_wait(&mut self, wait: engine::WaitingPermit) {
        self.deadlines.insert((wait.deadline, wait.attempt.request));
        self.waits.insert(wait.attempt.request, wait);
    }

    /// Removes a waiting request from all queues.
    pub(crate) fn drop_wait(&mut self, request: id::RequestId) -> Option<engine::WaitingPermit> {
        let wait = self.waits.remove(&request)?;
        self.deadlines.remove(&(wait.deadline, request));
        match &wait.cause {
            engine::WaitCause::Load => self.leave_demand(&wait),
            engine::WaitCause::Batch(engine) => {
                if let Some(state) = self.engines.get_mut(engine) {
                    state.ready.cancel(request);
                    state.dequeue(&wait.demand.adapter);
                }
            }
        }
        Some(wait)
    }

    /// Refuses a waiting request, to be retried after 1 s.
    pub(crate) fn refuse_request(
        &mut self,
        request: id::RequestId,
        reason: refusal::RefusalReason,
        actions: &mut CellActions,
    ) {
        let retry_after = time::Duration::from_secs(1);
        let Some(wait) = self.drop_wait(request) else {
            return;
        };
        let reason = placement::PermitRefusalReason::Refused(reason);
        actions.push(cell::refuse(&wait, reason, retry_after));
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub(crate) fn expire_waits(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.refuse_request(request, refusal::RefusalReason::DeadlineUnreachable, actions);
            self.deadlines.remove(&(deadline, request));
        }
    }

    /// Grants permits to requests in an engine's ready queue while its batch has room.
    pub(crate) fn serve_ready(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        actions: &mut CellActions,
    ) {
        if self.fencing(now).is_none() {
            return;
        }
        while let Some(request) = self.next_ready(now, engine) {
            let Some(wait) = self.waits.remove(&request) else {
                continue;
            };
            self.deadlines.remove(&(wait.deadline, request));
            if let Some(state) = self.engines.get_mut(engine) {
                state.dequeue(&wait.demand.adapter);
            }
            self.grant(now, engine, wait, actions);
        }
    }

    /// Grants permits on all engines with room.
    pub(crate) fn serve_all(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        let engines: Vec<_> = self.engines.keys().cloned().collect();
        for engine in engines {
            self.serve_ready(now, &engine, actions);
        }
    }

    fn next_ready(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
    ) -> Option<id::RequestId> {
        let state = self.engines.get_mut(engine)?;
        if state.room() == 0 || !state.is_usable(now) {
            return None;
        }
        Some(state.ready.pop(now)?.request)
    }

    /// Readmits the requests in an engine's ready queue for the adapters that `is_moved` selects.
    pub(crate) fn readmit_ready(
        &mut self,
        now: clock::MonotonicTime,
        engine: &name::UpstreamName,
        is_moved: impl Fn(&adapter::AdapterVersion) -> bool,
        actions: &mut CellActions,
    ) {
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let requests: Vec<_> = state.ready.iter().map(|entry| entry.request).collect();
        for request in requests {
            let is_moved =
                self.waits.get(&request).is_some_and(|wait| is_moved(&wait.demand.adapter));
            if !is_moved {
                continue;
            }
            if let Some(wait) = self.drop_wait(request) {
                self.admit(now, wait, actions);
            }
        }
    }
}

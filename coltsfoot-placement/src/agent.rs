//! Instance-side agent that requests permits from the owners of cells and releases them.

use std::collections;
use std::time;

use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::placement;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

pub use crate::agent_event::{AgentAction, AgentActions, AgentEvent, CellOwner, CellRoute};
use crate::pending_request;
use crate::residency_cache;
use crate::settings;

/// A permit held by the instance, with its cell.
#[derive(Debug)]
struct HeldGrant {
    cell: placement::CellId,
    permit: placement::HeldPermit,
}

/// Requests, holds and releases the permits of one instance.
#[derive(Debug)]
pub struct PermitAgent {
    settings: settings::AgentSettings,
    routes: collections::BTreeMap<placement::CellId, CellRoute>,
    pending: collections::BTreeMap<id::AttemptId, pending_request::PendingRequest>,
    held: FxHashMap<id::AttemptId, HeldGrant>,
    confirmed: residency_cache::ResidencyCache,
    /// Highest fencing number of an owner that the held permits were reported to.
    reported: collections::BTreeMap<placement::CellId, id::FencingNumber>,
}

impl PermitAgent {
    /// Creates an agent without routes.
    pub fn new(settings: settings::AgentSettings) -> Self {
        let confirmed = residency_cache::ResidencyCache::new(
            settings.confirmation_ttl,
            settings.max_confirmed_residencies,
        );
        Self {
            settings,
            routes: collections::BTreeMap::new(),
            pending: collections::BTreeMap::new(),
            held: FxHashMap::default(),
            confirmed,
            reported: collections::BTreeMap::new(),
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, now: clock::MonotonicTime, event: AgentEvent) -> AgentActions {
        let mut actions = AgentActions::new();
        match event {
            AgentEvent::PermitRequested { base_model, demand } => {
                self.request_permit(now, base_model, demand, &mut actions);
            }
            AgentEvent::Ended { release } => self.release_permit(release, &mut actions),
            AgentEvent::Cancelled { attempt } => self.cancel(attempt, &mut actions),
            AgentEvent::RoutesChanged { routes } => self.change_routes(now, routes, &mut actions),
            AgentEvent::Received { message, sender } => {
                self.receive(now, message, sender, &mut actions);
            }
            AgentEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the number of requests waiting for a permit.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of held permits.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn request_permit(
        &mut self,
        now: clock::MonotonicTime,
        base_model: name::ModelName,
        demand: placement::PermitDemand,
        actions: &mut AgentActions,
    ) {
        let attempt = demand.attempt;
        let request = pending_request::PendingRequest {
            base_model,
            deadline: now + demand.time_left,
            demand,
            asked_cell: None,
            requested_at: now,
            is_misrouted: false,
            refused_by: SmallVec::new(),
        };
        self.pending.insert(attempt, request);
        self.send_request(now, attempt, actions);
    }

    /// Requests a permit from the preferred reachable cell, or dispatches by a confirmed residency
    /// if that cell's lease has expired.
    fn send_request(
        &mut self,
        now: clock::MonotonicTime,
        attempt: id::AttemptId,
        actions: &mut AgentActions,
    ) {
        let Some(request) = self.pending.get_mut(&attempt) else {
            return;
        };
        request.requested_at = now;
        request.is_misrouted = false;
        let route = crate::routing::choose_cell(
            &self.routes,
            &request.base_model,
            &request.demand.adapter,
            &request.refused_by,
        );
        let Some(route) = route else {
            self.pending.remove(&attempt);
            let reason = refusal::RefusalReason::NoUpstream;
            let retry_after = time::Duration::from_secs(1);
            actions.push(AgentAction::Refuse { attempt, reason, retry_after });
            return;
        };
        let cell = route.cell.clone();
        request.asked_cell = Some(cell.clone());
        let owner = match route.owner.clone() {
            CellOwner::Instance(owner) => owner,
            CellOwner::Expired(fencing) => {
                self.dispatch_confirmed(now, attempt, cell, fencing, actions);
                return;
            }
            CellOwner::Unknown => return,
        };
        let mut demand = request.demand.clone();
        demand.time_left = request.deadline.since(now);
        let message = placement::PlacementMessage::Request { cell, demand };
        actions.push(AgentAction::Send { receiver: owner, message });
    }

    /// Dispatches without a permit to an engine that held the adapter according to a recent permit.
    /// This is only done while the previous owner's lease has expired, since nothing is evicted
    /// then; the next owner learns of the attempt from the permit report before it evicts.
    fn dispatch_confirmed(
        &mut self,
        now: clock::MonotonicTime,
        attempt: id::AttemptId,
        cell: placement::CellId,
        lapsed: id::FencingNumber,
        actions: &mut AgentActions,
    ) {
        let Some(request) = self.pending.get(&attempt) else {
            return;
        };
        if self.reported.get(&cell).is_some_and(|reported| *reported > lapsed) {
            return;
        }
        let adapter = request.demand.adapter.clone();
        let confirmed = self.confirmed.get(now, &cell, &adapter);
        let Some(confirmed) = confirmed.filter(|confirmed| confirmed.fencing == lapsed) else {
            return;
        };
        let grant = placement::PermitGrant {
            attempt,
            adapter,
            engine: confirmed.engine.clone(),
            fencing: confirmed.fencing,
            send_within: self.settings.retry_interval,
        };
        self.dispatch(now, now, cell, grant, actions);
    }

    fn dispatch(
        &mut self,
        _now: clock::MonotonicTime,
        requested_at: clock::MonotonicTime,
        cell: placement::CellId,
        grant: placement::PermitGrant,
        actions: &mut AgentActions,
    ) {
        let attempt = grant.attempt;
        self.pending.remove(&attempt);
        let permit = placement::HeldPermit {
            attempt,
            adapter: grant.adapter.clone(),
            engine: grant.engine.clone(),
        };
        self.held.insert(attempt, HeldGrant { cell, permit });
        actions.push(AgentAction::Dispatch {
            attempt,
            engine: grant.engine,
            adapter: grant.adapter,
            fencing: grant.fencing,
            send_by: requested_at + grant.send_within,
        });
    }

    fn receive(
        &mut self,
        now: clock::MonotonicTime,
        message: placement::PlacementMessage,
        sender: name::InstanceName,
        actions: &mut AgentActions,
    ) {
        use placement::PlacementMessage;
        match message {
            PlacementMessage::Grant { cell, grant } => {
                self.handle_grant(now, cell, grant, sender, actions);
            }
            PlacementMessage::Refusal { cell, refusal } => {
                self.handle_refusal(now, &cell, refusal, actions);
            }
            PlacementMessage::ReportRequest { cell, fencing } => {
                self.report(cell, fencing, sender, actions);
            }
            _ => {}
        }
    }

    /// Uses a permit, or releases it if it is no longer needed, has expired, or is for another
    /// adapter version than requested.
    fn handle_grant(
        &mut self,
        now: clock::MonotonicTime,
        cell: placement::CellId,
        grant: placement::PermitGrant,
        sender: name::InstanceName,
        actions: &mut AgentActions,
    ) {
        let attempt = grant.attempt;
        if self.held.contains_key(&attempt) {
            return;
        }
        let pending = self.pending.get(&attempt);
        let usable = pending.filter(|request| {
            request.asked_cell.as_ref() == Some(&cell)
                && request.demand.adapter == grant.adapter
                && now < request.requested_at + grant.send_within
        });
        let Some(requested_at) = usable.map(|request| request.requested_at) else {
            let outcome = placement::AttemptOutcome::NotSent;
            let release = placement::PermitRelease { attempt, outcome };
            let message = placement::PlacementMessage::Release { cell, release };
            actions.push(AgentAction::Send { receiver: sender, message });
            return;
        };
        self.confirmed.insert(now, &cell, &grant);
        self.dispatch(now, requested_at, cell, grant, actions);
    }

    fn handle_refusal(
        &mut self,
        now: clock::MonotonicTime,
        cell: &placement::CellId,
        refusal: placement::PermitRefusal,
        actions: &mut AgentActions,
    ) {
        let attempt = refusal.attempt;
        let Some(request) = self.pending.get_mut(&attempt) else {
            return;
        };
        if request.asked_cell.as_ref() != Some(cell) {
            return;
        }
        let placement::PermitRefusalReason::Refused(reason) = refusal.reason else {
            // The routes lag behind the ownership; the request is retried on a later tick.
            request.is_misrouted = true;
            return;
        };
        request.refused_by.push(cell.clone());
        let refused_by = &request.refused_by;
        let has_alternative = crate::routing::can_overflow(reason)
            && now < request.deadline
            && crate::routing::choose_cell(
                &self.routes,
                &request.base_model,
                &request.demand.adapter,
                refused_by,
            )
            .is_some();
        if has_alternative {
            self.send_request(now, attempt, actions);
            return;
        }
        self.pending.remove(&attempt);
        let retry_after = refusal.retry_after;
        actions.push(AgentAction::Refuse { attempt, reason, retry_after });
    }

    fn report(
        &mut self,
        cell: placement::CellId,
        fencing: id::FencingNumber,
        receiver: name::InstanceName,
        actions: &mut AgentActions,
    ) {
        // From now on, confirmed residencies of older owners are not used for dispatch.
        let reported = self.reported.entry(cell.clone()).or_default();
        *reported = fencing.max(*reported);
        let held = self.held.values().filter(|grant| grant.cell == cell);
        let mut permits: Vec<_> = held.map(|grant| grant.permit.clone()).collect();
        permits.sort_by_key(|permit| permit.attempt);
        let message = placement::PlacementMessage::Report { cell, fencing, permits };
        actions.push(AgentAction::Send { receiver, message });
    }

    fn release_permit(&mut self, release: placement::PermitRelease, actions: &mut AgentActions) {
        let Some(held) = self.held.remove(&release.attempt) else {
            return;
        };
        if release.outcome == placement::AttemptOutcome::NotResident {
            self.confirmed.remove(&held.cell, &held.permit.adapter);
        }
        self.send_to_owner(held.cell, actions, |cell| placement::PlacementMessage::Release {
            cell,
            release,
        });
    }

    fn cancel(&mut self, attempt: id::AttemptId, actions: &mut AgentActions) {
        let Some(cell) = self.pending.remove(&attempt).and_then(|request| request.asked_cell)
        else {
            return;
        };
        self.send_to_owner(cell, actions, |cell| placement::PlacementMessage::Cancel {
            cell,
            attempt,
        });
    }

    fn send_to_owner(
        &self,
        cell: placement::CellId,
        actions: &mut AgentActions,
        build: impl FnOnce(placement::CellId) -> placement::PlacementMessage,
    ) {
        let owner = self.routes.get(&cell).and_then(|route| route.owner.instance());
        if let Some(receiver) = owner.cloned() {
            actions.push(AgentAction::Send { receiver, message: build(cell) });
        }
    }

    /// Updates the routes, and sends the pending requests again whose cell changed its owner or
    /// became unreachable.
    fn change_routes(
        &mut self,
        now: clock::MonotonicTime,
        routes: Vec<CellRoute>,
        actions: &mut AgentActions,
    ) {
        let former = std::mem::take(&mut self.routes);
        self.routes = routes.into_iter().map(|route| (route.cell.clone(), route)).collect();
        let is_moved = |cell: &placement::CellId| {
            let owner = |route: &CellRoute| route.owner.clone();
            former.get(cell).map(owner) != self.routes.get(cell).map(owner)
        };
        let pending = self.pending.iter();
        let moved = pending.filter(|(_, request)| request.asked_cell.as_ref().is_none_or(is_moved));
        let moved: Vec<_> = moved.map(|(attempt, _)| *attempt).collect();
        for attempt in moved {
            self.send_request(now, attempt, actions);
        }
    }

    fn tick(&mut self, now: clock::MonotonicTime, actions: &mut AgentActions) {
        let expired = self.pending.iter().filter(|(_, request)| request.deadline <= now);
        let expired: Vec<_> = expired.map(|(attempt, _)| *attempt).collect();
        for attempt in expired {
            self.cancel(attempt, actions);
            let reason = refusal::RefusalReason::DeadlineExceeded;
            let retry_after = time::Duration::from_secs(1);
            actions.push(AgentAction::Refuse { attempt, reason, retry_after });
        }
        let due = self.pending.iter().filter(|(_, request)| self.is_due(now, request));
        let due: Vec<_> = due.map(|(attempt, _)| *attempt).collect();
        for attempt in due {
            self.send_request(now, attempt, actions);
        }
        self.confirmed.expire(now);
    }

    fn is_due(&self, now: clock::MonotonicTime, request: &pending_request::PendingRequest) -> bool {
        let has_owner = request
            .asked_cell
            .as_ref()
            .and_then(|cell| self.routes.get(cell))
            .is_some_and(|route| route.owner.instance().is_some());
        request.is_due(now, has_owner, &self.settings)
    }
}

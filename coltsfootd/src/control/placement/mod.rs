//! Runs the placement state machines: permits for this instance's requests, and the engine cells
//! and load ledger that it owns.

mod cells;
mod engines;
mod ledger;

use std::collections;
use std::sync;
use std::time;

use coltsfoot_placement::{agent, budget, cell, event as cell_events, settings as limits};
use coltsfoot_types::{id, name, time as instant};
use coltsfoot_wire::{member as views, peer, placement};
use rustc_hash::FxHashMap;

use crate::control::client;
use crate::control::contact::ContactTable;
use crate::control::directory::InstanceDirectory;
use crate::control::engines::EngineDispatcher;
use crate::control::member::MemberHost;
use crate::control::resource::OwnedResource;
use crate::peers::PeerNetwork;
use crate::shared;

/// Time between updates of the cells' owners; ownership changes of this zone apply at once.
const ROUTE_REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Dependencies of [`PlacementHost`].
pub struct PlacementContext<'a> {
    /// Membership of this instance's zone.
    pub member: &'a MemberHost,
    /// Instances and upstreams of all zones.
    pub directory: &'a InstanceDirectory,
    /// Reachability of other instances.
    pub contacts: &'a ContactTable,
    /// Connections to other instances.
    pub network: &'a PeerNetwork,
    /// Sends orders to engines and polls them.
    pub engines: &'a EngineDispatcher,
}

/// Permit agent, engine cells and load ledger of this instance.
pub struct PlacementHost {
    shared: sync::Arc<shared::InstanceShared>,
    agent: agent::PermitAgent,
    cells: collections::BTreeMap<placement::CellId, cell::EngineCell>,
    /// Cell of each listed engine of the zone.
    engine_cells: collections::BTreeMap<name::UpstreamName, placement::CellId>,
    ledger: budget::LoadLedger,
    routes: Vec<agent::CellRoute>,
    waiting: FxHashMap<id::AttemptId, client::ReplySender<client::GrantedPermit>>,
    generations: collections::BTreeMap<name::UpstreamName, u64>,
    /// Listed instances that were reachable at the last tick.
    reachable: collections::BTreeSet<name::InstanceName>,
    /// Listed engines whose port is closed.
    closed: collections::BTreeSet<name::UpstreamName>,
    reported_stalls: u64,
    next_refresh: instant::MonotonicTime,
}

impl PlacementHost {
    /// Creates a host without engines.
    pub fn new(shared: sync::Arc<shared::InstanceShared>) -> Self {
        let settings = limits::AgentSettings::builder().build();
        let ledger = budget::LoadLedger::new(ledger::ledger_settings(&shared.settings));
        Self {
            shared,
            agent: agent::PermitAgent::new(settings),
            cells: collections::BTreeMap::new(),
            engine_cells: collections::BTreeMap::new(),
            ledger,
            routes: Vec::new(),
            waiting: FxHashMap::default(),
            generations: collections::BTreeMap::new(),
            reachable: collections::BTreeSet::new(),
            closed: collections::BTreeSet::new(),
            reported_stalls: 0,
            next_refresh: instant::MonotonicTime::default(),
        }
    }

    /// Returns the zone's cells and its load ledger as resources.
    pub fn resources(&self) -> impl Iterator<Item = OwnedResource> + '_ {
        let cells = self.cells.keys().map(|cell| OwnedResource::Cell(cell.clone()));
        cells.chain([OwnedResource::Ledger])
    }

    /// Returns the ids of the cells that this instance owns at `now`.
    pub fn owned_cells(&self, now: instant::MonotonicTime, member: &MemberHost) -> Vec<String> {
        let is_owned = |cell: &&placement::CellId| {
            member.lease(now, &OwnedResource::Cell((*cell).clone())).is_some()
        };
        self.cells.keys().filter(is_owned).map(|cell| cell.to_string()).collect()
    }

    /// Applies a new list of instances and upstreams.
    pub fn apply_list(&mut self, now: instant::MonotonicTime, context: &PlacementContext<'_>) {
        let local = context.directory.cells_of(&self.shared.settings.zone);
        for cell in local.values() {
            self.cells
                .entry(cell.clone())
                .or_insert_with(|| cell::EngineCell::new(limits::CellSettings::builder().build()));
        }
        self.remove_engines(now, &local, context);
        for listing in context.directory.upstreams() {
            if let Some(cell) = local.get(&listing.name)
                && !self.closed.contains(&listing.name)
            {
                self.update_engine(now, cell, listing, context);
            }
        }
        self.engine_cells = local;
        self.refresh_routes(now, context);
    }

    /// Requests a permit for an attempt of this instance; the result is sent to `reply`.
    pub fn request_permit(
        &mut self,
        now: instant::MonotonicTime,
        query: client::PermitQuery,
        reply: client::ReplySender<client::GrantedPermit>,
        context: &PlacementContext<'_>,
    ) {
        self.waiting.insert(query.attempt, reply);
        let demand = placement::PermitDemand {
            attempt: query.attempt,
            customer: query.customer,
            weight: query.weight,
            priority: query.priority,
            adapter: query.adapter,
            estimated_tokens: query.tokens.min(u64::from(u32::MAX)) as u32,
            time_left: query.max_wait,
        };
        let requested = agent::AgentEvent::PermitRequested { base_model: query.base_model, demand };
        self.agent_event(now, requested, context);
    }

    /// Cancels a permit request, or releases the permit as not sent if it was already granted.
    pub fn cancel(
        &mut self,
        now: instant::MonotonicTime,
        attempt: id::AttemptId,
        context: &PlacementContext<'_>,
    ) {
        let event = match self.waiting.remove(&attempt) {
            Some(_) => agent::AgentEvent::Cancelled { attempt },
            None => {
                let outcome = placement::AttemptOutcome::NotSent;
                agent::AgentEvent::Ended { release: placement::PermitRelease { attempt, outcome } }
            }
        };
        self.agent_event(now, event, context);
    }

    /// Releases the permit of an attempt that has ended.
    pub fn release(
        &mut self,
        now: instant::MonotonicTime,
        attempt: id::AttemptId,
        outcome: placement::AttemptOutcome,
        context: &PlacementContext<'_>,
    ) {
        let release = placement::PermitRelease { attempt, outcome };
        self.agent_event(now, agent::AgentEvent::Ended { release }, context);
    }

    /// Handles a message from another instance or from this one.
    pub fn handle_message(
        &mut self,
        now: instant::MonotonicTime,
        sender: name::InstanceName,
        message: placement::PlacementMessage,
        context: &PlacementContext<'_>,
    ) {
        use cell_events::CellEvent;
        use placement::PlacementMessage;
        let instance = sender.clone();
        match message {
            PlacementMessage::Request { cell, demand } => {
                let requested = CellEvent::PermitRequested { instance, demand };
                self.handle_request(now, &cell, sender, requested, context);
            }
            PlacementMessage::Cancel { cell, attempt } => {
                self.cell_event(now, &cell, CellEvent::PermitCancelled { attempt }, context);
            }
            PlacementMessage::Release { cell, release } => {
                let released = CellEvent::PermitReleased { instance, release };
                self.cell_event(now, &cell, released, context);
            }
            PlacementMessage::Report { cell, fencing, permits } => {
                let report = CellEvent::PermitsReported { instance, fencing, permits };
                self.cell_event(now, &cell, report, context);
            }
            PlacementMessage::LoadGrant { cell, grant, start_within } => {
                let granted = CellEvent::LoadGranted { grant, start_within };
                self.cell_event(now, &cell, granted, context);
            }
            PlacementMessage::Grant { .. }
            | PlacementMessage::Refusal { .. }
            | PlacementMessage::ReportRequest { .. } => {
                self.agent_event(now, agent::AgentEvent::Received { message, sender }, context);
            }
            PlacementMessage::LoadRequest { cell, wanted } => {
                self.ledger_event(
                    now,
                    budget::LedgerEvent::LoadsRequested { cell, wanted },
                    context,
                );
            }
            PlacementMessage::LoadReturn { grant, used } => {
                self.ledger_event(now, budget::LedgerEvent::LoadReturned { grant, used }, context);
            }
            PlacementMessage::LoanRequest { zone, wanted } => {
                self.ledger_event(
                    now,
                    budget::LedgerEvent::LoanRequested { zone, wanted },
                    context,
                );
            }
            PlacementMessage::LoanReturn { loads, used, .. } => {
                self.ledger_event(now, budget::LedgerEvent::LoanReturned { loads, used }, context);
            }
            PlacementMessage::Loan { zone, loads, start_within } => {
                let loan = budget::LedgerEvent::LoanGranted { zone, loads, start_within };
                self.ledger_event(now, loan, context);
            }
        }
    }

    /// Applies a gain (with its fencing number) or loss of a cell's ownership.
    pub fn apply_cell_ownership(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        fencing: Option<id::FencingNumber>,
        context: &PlacementContext<'_>,
    ) {
        let lease = context.member.lease(now, &OwnedResource::Cell(cell.clone()));
        let event = match (fencing, lease) {
            (Some(_), Some(lease)) => cell_events::CellEvent::OwnershipGained {
                lease: cell_events::CellLease {
                    fencing: lease.fencing,
                    active_from: now,
                    until: lease.orders_until,
                    restricted: lease.grade != views::ViewGrade::Full,
                },
                reporters: self.reporters(now, context),
                unknown_permits: true,
            },
            _ => cell_events::CellEvent::OwnershipLost,
        };
        self.cell_event(now, cell, event, context);
        self.refresh_routes(now, context);
    }

    /// Advances all timers to `now` and polls engines.
    pub fn tick(&mut self, now: instant::MonotonicTime, context: &PlacementContext<'_>) {
        self.report_silent_instances(now, context);
        let cells: Vec<_> = self.cells.keys().cloned().collect();
        for cell in &cells {
            if let Some(lease) = context.member.lease(now, &OwnedResource::Cell(cell.clone())) {
                let until = lease.orders_until;
                self.cell_event(
                    now,
                    cell,
                    cell_events::CellEvent::OwnershipRenewed { until },
                    context,
                );
            }
            self.cell_event(now, cell, cell_events::CellEvent::Tick, context);
        }
        self.ledger_event(now, budget::LedgerEvent::Tick, context);
        self.agent_event(now, agent::AgentEvent::Tick, context);
        if now >= self.next_refresh {
            self.refresh_routes(now, context);
        }
        self.poll_engines(now, context);
        self.count_stalls();
    }

    fn count_stalls(&mut self) {
        let stalls = self.cells.values().map(|cell| cell.counters().load_stalls).sum();
        self.shared.metrics.count_load_stalls(stalls - self.reported_stalls);
        self.reported_stalls = stalls;
    }

    /// Updates the routes to the cells of all zones and their current owners. Cells of other zones
    /// whose owner is unreachable are omitted.
    fn refresh_routes(&mut self, now: instant::MonotonicTime, context: &PlacementContext<'_>) {
        self.next_refresh = now + ROUTE_REFRESH_INTERVAL;
        let own_zone = &self.shared.settings.zone;
        let cells = context.directory.cell_ids().iter().cloned();
        let routes: Vec<_> = cells
            .map(|cell| {
                let is_local = cell.zone == *own_zone;
                let owner = owner_of_cell(&cell, is_local, context);
                agent::CellRoute { cell, owner, is_local }
            })
            .filter(|route| route.is_local || is_reachable(now, route, context))
            .collect();
        if routes != self.routes {
            self.routes = routes.clone();
            self.agent_event(now, agent::AgentEvent::RoutesChanged { routes }, context);
        }
    }

    /// Returns the instances that can report their permits: this one and the reachable ones.
    /// Permits of the others count as unknown.
    fn reporters(
        &self,
        now: instant::MonotonicTime,
        context: &PlacementContext<'_>,
    ) -> Vec<name::InstanceName> {
        let own = &self.shared.settings.instance;
        let listed = context.directory.peer_addresses().map(|(name, _)| name);
        listed.filter(|name| name == own || context.contacts.is_reachable(now, name)).collect()
    }

    /// Reports instances that became unreachable to the cells. Their permits stay reserved until
    /// the engine reports that it is idle or the maximum request time has passed.
    fn report_silent_instances(
        &mut self,
        now: instant::MonotonicTime,
        context: &PlacementContext<'_>,
    ) {
        let listed = context.directory.peer_addresses().map(|(name, _)| name);
        let reachable = listed.filter(|name| context.contacts.is_reachable(now, name)).collect();
        let previous = std::mem::replace(&mut self.reachable, reachable);
        let silent: Vec<_> = previous.difference(&self.reachable).cloned().collect();
        let cells: Vec<_> = self.cells.keys().cloned().collect();
        for instance in silent {
            for cell in &cells {
                let event = cell_events::CellEvent::InstanceDead { instance: instance.clone() };
                self.cell_event(now, cell, event, context);
            }
        }
    }

    fn agent_event(
        &mut self,
        now: instant::MonotonicTime,
        event: agent::AgentEvent,
        context: &PlacementContext<'_>,
    ) {
        for action in self.agent.handle(now, event) {
            match action {
                agent::AgentAction::Send { receiver, message } => {
                    context.network.send(&receiver, peer::PeerMessage::Placement(message));
                }
                agent::AgentAction::Dispatch { attempt, engine, send_by, .. } => {
                    self.dispatch(now, attempt, engine, send_by, context);
                }
                agent::AgentAction::Refuse { attempt, reason, retry_after } => {
                    let retry_after = (!retry_after.is_zero()).then_some(retry_after);
                    let refusal = client::ControlRefusal { reason, retry_after };
                    if let Some(reply) = self.waiting.remove(&attempt) {
                        let _ = reply.try_send(Err(refusal));
                    }
                }
            }
        }
    }

    /// Sends the permit to the waiting request. A permit without a waiter, or whose engine has no
    /// address, is released as not sent.
    fn dispatch(
        &mut self,
        now: instant::MonotonicTime,
        attempt: id::AttemptId,
        engine: name::UpstreamName,
        send_by: instant::MonotonicTime,
        context: &PlacementContext<'_>,
    ) {
        let address = context.directory.upstream_address(&engine);
        let reply = self.waiting.remove(&attempt);
        let sent = address.zip(reply).is_some_and(|(address, reply)| {
            let permit = client::GrantedPermit { upstream: engine, address, send_by };
            reply.try_send(Ok(permit)).is_ok()
        });
        if !sent {
            let outcome = placement::AttemptOutcome::NotSent;
            self.release(now, attempt, outcome, context);
        }
    }
}

fn owner_of_cell(
    cell: &placement::CellId,
    is_local: bool,
    context: &PlacementContext<'_>,
) -> agent::CellOwner {
    let resource = OwnedResource::Cell(cell.clone());
    let owner = match is_local {
        true => context.member.owner_of(&resource),
        false => MemberHost::expected_owner(context.directory, &cell.zone, &resource),
    };
    owner.map_or(agent::CellOwner::Unknown, agent::CellOwner::Instance)
}

fn is_reachable(
    now: instant::MonotonicTime,
    route: &agent::CellRoute,
    context: &PlacementContext<'_>,
) -> bool {
    route.owner.instance().is_some_and(|owner| context.contacts.is_reachable(now, owner))
}

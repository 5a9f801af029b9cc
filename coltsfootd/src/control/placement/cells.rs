//! Engine cells of the zone: handles their events and executes their actions.

use std::time;

use coltsfoot_placement::event as cells;
use coltsfoot_types::{name, time as instant};
use coltsfoot_wire::{peer, placement};

use crate::control::placement::{PlacementContext, PlacementHost};
use crate::control::resource::OwnedResource;

impl PlacementHost {
    pub(super) fn cell_event(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        event: cells::CellEvent,
        context: &PlacementContext<'_>,
    ) {
        let Some(machine) = self.cells.get_mut(cell) else { return };
        for action in machine.handle(now, event) {
            self.execute(cell, action, context);
        }
    }

    pub(super) fn execute(
        &self,
        cell: &placement::CellId,
        action: cells::CellAction,
        context: &PlacementContext<'_>,
    ) {
        use cells::CellAction;
        use placement::PlacementMessage;
        let to_instance = |receiver: name::InstanceName, message| {
            context.network.send(&receiver, peer::PeerMessage::Placement(message));
        };
        let to_ledger = |message| {
            if let Some(owner) = context.member.owner_of(&OwnedResource::Ledger) {
                context.network.send(&owner, peer::PeerMessage::Placement(message));
            }
        };
        let cell = cell.clone();
        match action {
            CellAction::Grant { instance, grant } => {
                to_instance(instance, PlacementMessage::Grant { cell, grant });
            }
            CellAction::Refuse { instance, refusal } => {
                to_instance(instance, PlacementMessage::Refusal { cell, refusal });
            }
            CellAction::RequestReport { instance, fencing } => {
                to_instance(instance, PlacementMessage::ReportRequest { cell, fencing });
            }
            CellAction::RequestLoads { wanted } => {
                to_ledger(PlacementMessage::LoadRequest { cell, wanted });
            }
            CellAction::ReturnLoad { grant, used } => {
                to_ledger(PlacementMessage::LoadReturn { grant, used });
            }
            CellAction::Load { order } => {
                self.shared.metrics.count_load();
                self.send_order(cell, order, true, context);
            }
            CellAction::Unload { order } => self.send_order(cell, order, false, context),
        }
    }

    pub(super) fn send_order(
        &self,
        cell: placement::CellId,
        order: cells::EngineOrder,
        is_load: bool,
        context: &PlacementContext<'_>,
    ) {
        let address = context.directory.upstream_address(&order.engine);
        context.engines.send_order(cell, order, is_load, address);
    }

    /// Passes the result of an order to its cell.
    pub fn end_order(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        event: cells::CellEvent,
        context: &PlacementContext<'_>,
    ) {
        self.cell_event(now, cell, event, context);
    }

    /// Passes a permit request to its cell, or refuses it if the cell is unknown to this instance.
    pub(super) fn handle_request(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        sender: name::InstanceName,
        requested: cells::CellEvent,
        context: &PlacementContext<'_>,
    ) {
        if self.cells.contains_key(cell) {
            return self.cell_event(now, cell, requested, context);
        }
        let cells::CellEvent::PermitRequested { demand, .. } = requested else { return };
        let refusal = placement::PermitRefusal {
            attempt: demand.attempt,
            reason: placement::PermitRefusalReason::NotOwner,
            retry_after: time::Duration::ZERO,
        };
        let message = placement::PlacementMessage::Refusal { cell: cell.clone(), refusal };
        context.network.send(&sender, peer::PeerMessage::Placement(message));
    }
}

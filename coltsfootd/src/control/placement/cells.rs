//! Events of the cells that this instance may own, and what they order.

use std::time;

use coltsfoot_placement::event as cells;
use coltsfoot_types::{name, time as instant};
use coltsfoot_wire::{peer, placement};

use crate::control::placement::{PlacementHost, PlacementTools};
use crate::control::resource::OwnedResource;

impl PlacementHost {
    pub(super) fn cell_event(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        event: cells::CellEvent,
        tools: &PlacementTools<'_>,
    ) {
        let Some(machine) = self.cells.get_mut(cell) else { return };
        for action in machine.handle(now, event) {
            self.carry_out(cell, action, tools);
        }
    }

    pub(super) fn carry_out(
        &self,
        cell: &placement::CellId,
        action: cells::CellAction,
        tools: &PlacementTools<'_>,
    ) {
        use cells::CellAction;
        use placement::PlacementMessage;
        let to_instance = |receiver: name::InstanceName, message| {
            tools.network.send(&receiver, peer::PeerMessage::Placement(message));
        };
        let to_ledger = |message| {
            if let Some(owner) = tools.member.owner_of(&OwnedResource::Ledger) {
                tools.network.send(&owner, peer::PeerMessage::Placement(message));
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
                self.order(cell, order, true, tools);
            }
            CellAction::Unload { order } => self.order(cell, order, false, tools),
        }
    }

    pub(super) fn order(
        &self,
        cell: placement::CellId,
        order: cells::EngineOrder,
        is_load: bool,
        tools: &PlacementTools<'_>,
    ) {
        let address = tools.directory.upstream_address(&order.engine);
        tools.engines.order(cell, order, is_load, address);
    }

    /// Takes the end of an order.
    pub fn end_order(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        event: cells::CellEvent,
        tools: &PlacementTools<'_>,
    ) {
        self.cell_event(now, cell, event, tools);
    }

    /// Passes a demand on, or refuses it when this instance does not know the cell.
    pub(super) fn request(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        sender: name::InstanceName,
        wanted: cells::CellEvent,
        tools: &PlacementTools<'_>,
    ) {
        if self.cells.contains_key(cell) {
            return self.cell_event(now, cell, wanted, tools);
        }
        let cells::CellEvent::PermitRequested { demand, .. } = wanted else { return };
        let refusal = placement::PermitRefusal {
            attempt: demand.attempt,
            reason: placement::PermitRefusalReason::NotOwner,
            retry_after: time::Duration::ZERO,
        };
        let message = placement::PlacementMessage::Refusal { cell: cell.clone(), refusal };
        tools.network.send(&sender, peer::PeerMessage::Placement(message));
    }
}

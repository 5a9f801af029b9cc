//! Engines of the zone: their listings, reports and ends.

use std::collections;

use coltsfoot_placement::event as cells;
use coltsfoot_platform::protocol;
use coltsfoot_types::{name, time as instant};
use coltsfoot_wire::placement;

use crate::control::placement::{PlacementHost, PlacementTools};
use crate::control::resource::OwnedResource;
use crate::event;

impl PlacementHost {
    /// Takes an engine's report.
    pub fn take_report(
        &mut self,
        now: instant::MonotonicTime,
        engine: name::UpstreamName,
        report: protocol::LoadReport,
        tools: &PlacementTools<'_>,
    ) {
        let Some(cell) = self.engine_cells.get(&engine).cloned() else { return };
        self.reopen_engine(now, &cell, &engine, tools);
        let former = self.generations.insert(engine.clone(), report.generation);
        if former.is_some_and(|former| former != report.generation) {
            event::emit(event::ENGINE_RESTARTED, format_args!("{engine}"));
        }
        let report = cells::EngineReport {
            generation: report.generation,
            running: report.running,
            waiting: report.waiting,
            resident: report.resident,
            active: report.active,
        };
        self.cell_event(now, &cell, cells::CellEvent::EngineReported { engine, report }, tools);
    }

    /// Takes that an engine's process has ended, with all that ran on it.
    pub fn take_closed_engine(
        &mut self,
        now: instant::MonotonicTime,
        engine: name::UpstreamName,
        tools: &PlacementTools<'_>,
    ) {
        let Some(cell) = self.engine_cells.get(&engine).cloned() else { return };
        if self.closed.insert(engine.clone()) {
            self.cell_event(now, &cell, cells::CellEvent::EngineRemoved { engine }, tools);
        }
    }

    /// Lists an engine again that was closed and answers now.
    pub(super) fn reopen_engine(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        engine: &name::UpstreamName,
        tools: &PlacementTools<'_>,
    ) {
        if !self.closed.remove(engine) {
            return;
        }
        let mut listings = tools.directory.upstreams().iter();
        if let Some(listing) = listings.find(|listing| listing.name == *engine) {
            self.take_engine(now, cell, listing, tools);
        }
    }

    pub(super) fn take_engine(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        listing: &protocol::UpstreamListing,
        tools: &PlacementTools<'_>,
    ) {
        let protocol::UpstreamRole::Engine { slots, batch_size, checks_fencing, .. } = listing.role
        else {
            return;
        };
        let engine = listing.name.clone();
        let event = match listing.leaving {
            true => cells::CellEvent::EngineLeaving { engine },
            false => cells::CellEvent::EngineListed {
                engine: cells::EngineListing { name: engine, slots, batch_size, checks_fencing },
            },
        };
        self.cell_event(now, cell, event, tools);
    }

    pub(super) fn remove_engines(
        &mut self,
        now: instant::MonotonicTime,
        listed: &collections::BTreeMap<name::UpstreamName, placement::CellId>,
        tools: &PlacementTools<'_>,
    ) {
        let former = std::mem::take(&mut self.engine_cells);
        for (engine, cell) in former {
            if listed.get(&engine) != Some(&cell) {
                let gone = cells::CellEvent::EngineRemoved { engine };
                self.cell_event(now, &cell, gone, tools);
            }
        }
    }

    /// Asks the engines of owned cells for their reports.
    pub(super) fn poll_engines(&self, now: instant::MonotonicTime, tools: &PlacementTools<'_>) {
        for (engine, cell) in &self.engine_cells {
            if tools.member.lease(now, &OwnedResource::Cell(cell.clone())).is_some()
                && let Some(address) = tools.directory.upstream_address(engine)
            {
                tools.engines.poll(now, engine, address);
            }
        }
    }
}

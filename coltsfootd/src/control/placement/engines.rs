//! Engines of the zone: listings, reports and removal.

use std::collections;

use coltsfoot_placement::event as cells;
use coltsfoot_platform::protocol;
use coltsfoot_types::{name, time as instant};
use coltsfoot_wire::placement;

use crate::control::placement::{PlacementContext, PlacementHost};
use crate::control::resource::OwnedResource;
use crate::event;

impl PlacementHost {
    /// Applies an engine's report; a changed generation means that the engine restarted.
    pub fn apply_report(
        &mut self,
        now: instant::MonotonicTime,
        engine: name::UpstreamName,
        report: protocol::LoadReport,
        context: &PlacementContext<'_>,
    ) {
        let Some(cell) = self.engine_cells.get(&engine).cloned() else { return };
        self.relist_engine(now, &cell, &engine, context);
        let previous = self.generations.insert(engine.clone(), report.generation);
        if previous.is_some_and(|previous| previous != report.generation) {
            event::emit(event::ENGINE_RESTARTED, format_args!("{engine}"));
        }
        let report = cells::EngineReport {
            generation: report.generation,
            running: report.running,
            waiting: report.waiting,
            resident: report.resident,
            active: report.active,
        };
        self.cell_event(now, &cell, cells::CellEvent::EngineReported { engine, report }, context);
    }

    /// Removes an engine whose process has ended, together with the requests that ran on it.
    pub fn remove_closed_engine(
        &mut self,
        now: instant::MonotonicTime,
        engine: name::UpstreamName,
        context: &PlacementContext<'_>,
    ) {
        let Some(cell) = self.engine_cells.get(&engine).cloned() else { return };
        if self.closed.insert(engine.clone()) {
            self.cell_event(now, &cell, cells::CellEvent::EngineRemoved { engine }, context);
        }
    }

    /// Adds an engine back that was closed and responds again.
    pub(super) fn relist_engine(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        engine: &name::UpstreamName,
        context: &PlacementContext<'_>,
    ) {
        if !self.closed.remove(engine) {
            return;
        }
        let mut listings = context.directory.upstreams().iter();
        if let Some(listing) = listings.find(|listing| listing.name == *engine) {
            self.update_engine(now, cell, listing, context);
        }
    }

    pub(super) fn update_engine(
        &mut self,
        now: instant::MonotonicTime,
        cell: &placement::CellId,
        listing: &protocol::UpstreamListing,
        context: &PlacementContext<'_>,
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
        self.cell_event(now, cell, event, context);
    }

    pub(super) fn remove_engines(
        &mut self,
        now: instant::MonotonicTime,
        listed: &collections::BTreeMap<name::UpstreamName, placement::CellId>,
        context: &PlacementContext<'_>,
    ) {
        let previous = std::mem::take(&mut self.engine_cells);
        for (engine, cell) in previous {
            if listed.get(&engine) != Some(&cell) {
                let removed = cells::CellEvent::EngineRemoved { engine };
                self.cell_event(now, &cell, removed, context);
            }
        }
    }

    /// Polls the reports of the engines in owned cells.
    pub(super) fn poll_engines(&self, now: instant::MonotonicTime, context: &PlacementContext<'_>) {
        for (engine, cell) in &self.engine_cells {
            if context.member.lease(now, &OwnedResource::Cell(cell.clone())).is_some()
                && let Some(address) = context.directory.upstream_address(engine)
            {
                context.engines.poll(now, engine, address);
            }
        }
    }
}

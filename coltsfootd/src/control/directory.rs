//! The instances and upstreams as last listed by the platform.

use std::collections;
use std::net;

use coltsfoot_catalog::feed;
use coltsfoot_platform::protocol;
use coltsfoot_types::name;
use coltsfoot_wire::placement;

/// Maximum engines in a cell; a zone with more engines of a base model has several cells for it.
const ENGINES_PER_CELL: usize = 8;

/// The platform's instance list, indexed for the control thread. The list lags: it tells where to
/// send messages, but not that an instance is alive.
#[derive(Default)]
pub struct InstanceDirectory {
    list: protocol::InstanceList,
    /// Names of the entry instances that aren't draining, sorted, by zone.
    members: collections::BTreeMap<name::ZoneName, Vec<name::InstanceName>>,
    cells: EngineCells,
    /// All cells, sorted.
    cell_ids: Vec<placement::CellId>,
}

/// The cell of each engine.
pub type EngineCells = collections::BTreeMap<name::UpstreamName, placement::CellId>;

impl InstanceDirectory {
    /// Replaces the list and rebuilds the indexes.
    pub fn replace(&mut self, list: protocol::InstanceList) {
        self.list = list;
        self.members.clear();
        for entry in self.list.entries.iter().filter(|entry| !entry.leaving) {
            self.members.entry(entry.zone.clone()).or_default().push(entry.name.clone());
        }
        for members in self.members.values_mut() {
            members.sort();
        }
        self.cells = assign_cells(&self.list.upstreams);
        self.cell_ids = self.cells.values().cloned().collect();
        self.cell_ids.sort();
        self.cell_ids.dedup();
    }

    /// Returns the entry instances of a zone that aren't draining, sorted.
    pub fn members_of(&self, zone: &name::ZoneName) -> &[name::InstanceName] {
        self.members.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the engines of a zone with their cells.
    pub fn cells_of(&self, zone: &name::ZoneName) -> EngineCells {
        let in_zone = self.cells.iter().filter(|(_, cell)| cell.zone == *zone);
        in_zone.map(|(engine, cell)| (engine.clone(), cell.clone())).collect()
    }

    /// Returns all cells, sorted.
    pub fn cell_ids(&self) -> &[placement::CellId] {
        &self.cell_ids
    }

    /// Returns the entry instances of a zone.
    pub fn entries_of<'a>(
        &'a self,
        zone: &'a name::ZoneName,
    ) -> impl Iterator<Item = &'a protocol::EntryListing> {
        self.list.entries.iter().filter(move |entry| entry.zone == *zone)
    }

    /// Returns the address at which each instance accepts peer messages.
    pub fn peer_addresses(
        &self,
    ) -> impl Iterator<Item = (name::InstanceName, net::SocketAddr)> + '_ {
        self.list.entries.iter().map(|entry| (entry.name.clone(), entry.peer_address))
    }

    /// Returns the instances that exchange the configuration, including this one.
    pub fn config_peers(&self) -> Vec<feed::ConfigPeer> {
        let peer = |entry: &protocol::EntryListing| feed::ConfigPeer {
            instance: entry.name.clone(),
            zone: entry.zone.clone(),
        };
        self.list.entries.iter().map(peer).collect()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[protocol::UpstreamListing] {
        &self.list.upstreams
    }

    /// Returns the upstreams that are plain services.
    pub fn services(&self) -> Vec<protocol::UpstreamListing> {
        let is_service = |listing: &&protocol::UpstreamListing| {
            matches!(listing.role, protocol::UpstreamRole::Service { .. })
        };
        self.list.upstreams.iter().filter(is_service).cloned().collect()
    }

    /// Returns the address of an upstream.
    pub fn upstream_address(&self, upstream: &name::UpstreamName) -> Option<net::SocketAddr> {
        let listing = self.list.upstreams.iter().find(|listing| listing.name == *upstream);
        listing.map(|listing| listing.address)
    }

    /// Returns the zones that have entry instances, sorted.
    pub fn zones(&self) -> Vec<name::ZoneName> {
        let mut zones: Vec<_> = self.list.entries.iter().map(|entry| entry.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }
}

/// Splits the engines of each zone and base model, sorted by name, into cells.
fn assign_cells(upstreams: &[protocol::UpstreamListing]) -> EngineCells {
    let mut groups: collections::BTreeMap<_, Vec<&name::UpstreamName>> =
        collections::BTreeMap::new();
    for listing in upstreams {
        if let protocol::UpstreamRole::Engine { base_model, .. } = &listing.role {
            groups.entry((&listing.zone, base_model)).or_default().push(&listing.name);
        }
    }
    let mut cells = EngineCells::new();
    for ((zone, base_model), mut engines) in groups {
        engines.sort();
        for (position, engine) in engines.into_iter().enumerate() {
            let index = (position / ENGINES_PER_CELL) as u16;
            let base_model = base_model.clone();
            let cell = placement::CellId { zone: zone.clone(), base_model, index };
            cells.insert(engine.clone(), cell);
        }
    }
    cells
}

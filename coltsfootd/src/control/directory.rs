//! The instances and upstreams as last listed by the platform.

use std::net;

use coltsfoot_catalog::feed;
use coltsfoot_platform::protocol;
use coltsfoot_types::name;

/// The platform's list, with the lookups that the control thread needs. The list lags: it is a hint
/// where to send, never proof of life.
#[derive(Default)]
pub struct InstanceDirectory {
    list: protocol::InstanceList,
}

impl InstanceDirectory {
    /// Replaces the list.
    pub fn replace(&mut self, list: protocol::InstanceList) {
        self.list = list;
    }

    /// Returns the entry instances of a zone.
    pub fn entries_of<'a>(
        &'a self,
        zone: &'a name::ZoneName,
    ) -> impl Iterator<Item = &'a protocol::EntryListing> {
        self.list.entries.iter().filter(move |entry| entry.zone == *zone)
    }

    /// Returns where each instance listens for messages of others.
    pub fn peer_addresses(
        &self,
    ) -> impl Iterator<Item = (name::InstanceName, net::SocketAddr)> + '_ {
        self.list.entries.iter().map(|entry| (entry.name.clone(), entry.peer_address))
    }

    /// Returns the instances that the configuration may be exchanged with.
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

    /// Returns the plain services.
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

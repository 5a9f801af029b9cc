//! Cache of residencies confirmed by recent permits, used while a cell has no owner.

use std::collections;
use std::time;

use coltsfoot_types::{adapter, id, name, time as clock};
use coltsfoot_wire::placement;

/// A residency confirmed by a permit.
#[derive(Clone, Debug)]
pub(crate) struct ConfirmedResidency {
    pub(crate) engine: name::UpstreamName,
    pub(crate) fencing: id::FencingNumber,
    confirmed_at: clock::MonotonicTime,
}

type ResidencyKey = (placement::CellId, adapter::AdapterVersion);

/// Latest confirmed residency of each adapter in each cell, bounded in size and age.
#[derive(Debug)]
pub(crate) struct ResidencyCache {
    confirmation_ttl: time::Duration,
    max_entries: usize,
    entries: collections::BTreeMap<ResidencyKey, ConfirmedResidency>,
}

impl ResidencyCache {
    pub(crate) fn new(confirmation_ttl: time::Duration, max_entries: usize) -> Self {
        Self { confirmation_ttl, max_entries, entries: collections::BTreeMap::new() }
    }

    pub(crate) fn insert(
        &mut self,
        now: clock::MonotonicTime,
        cell: &placement::CellId,
        grant: &placement::PermitGrant,
    ) {
        let key = (cell.clone(), grant.adapter.clone());
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            self.expire(now);
            if self.entries.len() >= self.max_entries {
                return;
            }
        }
        let confirmed = ConfirmedResidency {
            engine: grant.engine.clone(),
            fencing: grant.fencing,
            confirmed_at: now,
        };
        self.entries.insert(key, confirmed);
    }

    pub(crate) fn get(
        &self,
        now: clock::MonotonicTime,
        cell: &placement::CellId,
        adapter: &adapter::AdapterVersion,
    ) -> Option<&ConfirmedResidency> {
        let confirmed = self.entries.get(&(cell.clone(), adapter.clone()))?;
        (now.since(confirmed.confirmed_at) < self.confirmation_ttl).then_some(confirmed)
    }

    pub(crate) fn remove(&mut self, cell: &placement::CellId, adapter: &adapter::AdapterVersion) {
        self.entries.remove(&(cell.clone(), adapter.clone()));
    }

    pub(crate) fn expire(&mut self, now: clock::MonotonicTime) {
        let confirmation_ttl = self.confirmation_ttl;
        self.entries.retain(|_, confirmed| now.since(confirmed.confirmed_at) < confirmation_ttl);
    }
}

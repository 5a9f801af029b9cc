//! Selection of the cell that a request is sent to.

use std::collections;

use coltsfoot_types::{adapter, name, refusal};
use coltsfoot_wire::placement;

use crate::agent;

/// Selects the cell to request a permit from: the reachable cell of the base model with the
/// highest rendezvous weight, so that all instances use the same replica of an adapter. Cells that
/// refused are excluded; remote cells without a known owner come last.
pub(crate) fn choose_cell<'a>(
    routes: &'a collections::BTreeMap<placement::CellId, agent::CellRoute>,
    base_model: &name::ModelName,
    adapter: &adapter::AdapterVersion,
    refused_by: &[placement::CellId],
) -> Option<&'a agent::CellRoute> {
    let candidates = routes
        .values()
        .filter(|route| route.cell.base_model == *base_model && !refused_by.contains(&route.cell));
    candidates.max_by_key(|route| {
        let is_local = route.is_local;
        (route.owner.instance().is_some() || is_local, cell_weight(&route.cell, adapter))
    })
}

/// Returns whether a request refused for this reason may be sent to another cell.
pub(crate) fn can_overflow(reason: refusal::RefusalReason) -> bool {
    use refusal::RefusalReason;
    matches!(
        reason,
        RefusalReason::QueueFull | RefusalReason::NoUpstream | RefusalReason::LoadFailed
    )
}

/// Returns the rendezvous weight of a cell for an adapter. It ignores the version, so that all
/// versions of an adapter go to the same cell.
fn cell_weight(cell: &placement::CellId, adapter: &adapter::AdapterVersion) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(cell.zone.as_str().as_bytes());
    hasher.update(&cell.index.to_le_bytes());
    hasher.update(adapter.adapter.as_str().as_bytes());
    let digest = hasher.finalize();
    let mut weight = [0; 8];
    weight.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(weight)
}

//! Invariants of ownership across all instances of a zone.

use std::{collections, time as std_time};

use coltsfoot_types::{id, name, time};
use coltsfoot_wire::member;

use crate::event;

/// A lease that an instance holds at the time of a check.
#[derive(Clone, Debug)]
pub struct LeaseUse {
    /// The holder.
    pub instance: name::InstanceName,
    /// Its lease on the resource.
    pub lease: event::OwnerLease,
    /// Whether the lease still allows orders.
    pub may_order: bool,
}

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OwnershipViolation {
    /// An instance holds a full lease while another holds any lease on the same resource.
    #[error("{0} and {1} own the same resource; check the handover waits of view changes")]
    TwoOwners(name::InstanceName, name::InstanceName),
    /// The proportions of restricted owners add up to more than one.
    #[error("proportions of restricted owners exceed 1; check the quorum of halves")]
    ExcessProportion,
    /// A fencing number decreased or was reused by another owner.
    #[error("fencing number {0} decreased or was reused; check the epochs of proposals")]
    FencingNotRising(id::FencingNumber),
    /// An owner acted while an order of an earlier owner was in flight.
    #[error("{0} acts while an order of {1} is in flight; check the order delay")]
    OrderInFlight(name::InstanceName, name::InstanceName),
}

/// Observed history of one resource.
#[derive(Clone, Debug, Default)]
struct ResourceHistory {
    highest_full: id::FencingNumber,
    owners: collections::BTreeMap<id::FencingNumber, name::InstanceName>,
    last_order: Option<SentOrder>,
}

/// The last possible order of a full owner.
#[derive(Clone, Debug)]
struct SentOrder {
    sender: name::InstanceName,
    sent_at: time::MonotonicTime,
}

/// Checks that ownership is exclusive and that fencing numbers never decrease.
#[derive(Clone, Debug)]
pub struct OwnershipAudit {
    order_delay: std_time::Duration,
    histories: collections::BTreeMap<name::ResourceName, ResourceHistory>,
}

impl OwnershipAudit {
    /// Creates an audit without observations.
    pub fn new(order_delay: std_time::Duration) -> Self {
        Self { order_delay, histories: collections::BTreeMap::new() }
    }

    /// Checks all leases held on a resource at one point in virtual time.
    pub fn observe(
        &mut self,
        at: time::MonotonicTime,
        resource: &name::ResourceName,
        uses: &[LeaseUse],
    ) -> Result<(), OwnershipViolation> {
        let history = self.histories.entry(resource.clone()).or_default();
        check_exclusive(uses)?;
        for lease_use in uses {
            history.check_fencing(lease_use)?;
            history.check_order(at, self.order_delay, lease_use)?;
        }
        Ok(())
    }
}

impl ResourceHistory {
    fn check_fencing(&mut self, lease_use: &LeaseUse) -> Result<(), OwnershipViolation> {
        let fencing = lease_use.lease.fencing;
        let owner = self.owners.entry(fencing).or_insert_with(|| lease_use.instance.clone());
        let is_full = lease_use.lease.grade == member::ViewGrade::Full;
        if *owner != lease_use.instance || is_full && fencing < self.highest_full {
            return Err(OwnershipViolation::FencingNotRising(fencing));
        }
        if is_full {
            self.highest_full = fencing;
        }
        Ok(())
    }

    fn check_order(
        &mut self,
        at: time::MonotonicTime,
        order_delay: std_time::Duration,
        lease_use: &LeaseUse,
    ) -> Result<(), OwnershipViolation> {
        if lease_use.lease.grade != member::ViewGrade::Full {
            return Ok(());
        }
        if let Some(order) = &self.last_order
            && order.sender != lease_use.instance
            && order.sent_at + order_delay > at
        {
            let (owner, sender) = (lease_use.instance.clone(), order.sender.clone());
            return Err(OwnershipViolation::OrderInFlight(owner, sender));
        }
        if lease_use.may_order {
            self.last_order = Some(SentOrder { sender: lease_use.instance.clone(), sent_at: at });
        }
        Ok(())
    }
}

fn check_exclusive(uses: &[LeaseUse]) -> Result<(), OwnershipViolation> {
    let full = uses.iter().find(|lease_use| lease_use.lease.grade == member::ViewGrade::Full);
    if let Some(full) = full
        && let Some(other) = uses.iter().find(|other| other.instance != full.instance)
    {
        let (first, second) = (full.instance.clone(), other.instance.clone());
        return Err(OwnershipViolation::TwoOwners(first, second));
    }
    let proportions = uses.iter().filter_map(|lease_use| match lease_use.lease.grade {
        member::ViewGrade::Full => None,
        member::ViewGrade::Restricted { kept, of } => Some(f64::from(kept) / f64::from(of)),
    });
    if proportions.sum::<f64>() > 1.0 + f64::EPSILON {
        return Err(OwnershipViolation::ExcessProportion);
    }
    Ok(())
}

//! The owner of customers' zone buckets: grants tokens to instances, lends to and borrows from
//! other zones.
//!
//! An owner acts only while its lease is valid, which it checks on every event. A new owner starts
//! with an empty bucket once all grants of its predecessor have expired, or earlier with the state
//! that the predecessor handed over.

use std::collections;

use coltsfoot_types::{id, name, time as clock};
use coltsfoot_wire::quota;

use crate::event;
use crate::grant_scheduler;
use crate::limit_history;
use crate::loan_table;
use crate::zone_bucket;

/// Multiple of the local demand that is not lent to other zones.
const LENDING_RESERVE_FACTOR: u64 = 2;
/// Fill level below which no surplus is lent, in thousandths of the burst.
const SURPLUS_THRESHOLD_PERMILLE: u16 = 800;

/// State machine for the zone buckets that this instance owns.
#[derive(Clone, Debug)]
pub struct BucketOwner {
    zone: name::ZoneName,
    lease_until: clock::MonotonicTime,
    limits: collections::BTreeMap<name::CustomerName, limit_history::LimitHistory>,
    buckets: collections::BTreeMap<name::CustomerName, zone_bucket::ZoneBucket>,
    unreachable: collections::BTreeSet<name::ZoneName>,
    /// Handovers that arrived before this instance learned of its ownership.
    early_handovers: collections::BTreeMap<name::CustomerName, quota::BucketHandover>,
    /// View of each customer's last ended term; handovers for it or an earlier view are ignored.
    ended_terms: collections::BTreeMap<name::CustomerName, id::FencingNumber>,
    next_session: u64,
    next_sequence: u64,
}

impl BucketOwner {
    /// Creates an owner without buckets. Every run of the program needs a new instance name, since
    /// session numbers derive from it.
    pub fn new(instance: &name::InstanceName, zone: name::ZoneName) -> Self {
        let digest = blake3::hash(instance.as_str().as_bytes());
        let prefix = digest.as_bytes()[..4]
            .iter()
            .fold(0_u64, |prefix, byte| (prefix << 8) | u64::from(*byte));
        Self {
            zone,
            lease_until: clock::MonotonicTime(0),
            limits: collections::BTreeMap::new(),
            buckets: collections::BTreeMap::new(),
            unreachable: collections::BTreeSet::new(),
            early_handovers: collections::BTreeMap::new(),
            ended_terms: collections::BTreeMap::new(),
            next_session: prefix << 32,
            next_sequence: 0,
        }
    }

    /// Returns the effective limits and the level of an owned bucket as of the last event.
    pub fn inspect(&self, customer: &name::CustomerName) -> Option<BucketStatus> {
        let bucket = self.buckets.get(customer)?;
        Some(BucketStatus {
            rate: bucket.effective_limits().rate,
            burst: bucket.effective_limits().burst,
            level: bucket.bucket.level(),
            outstanding: bucket.own_outstanding(),
        })
    }

    /// Processes an event and returns the resulting actions in order.
    pub fn handle(
        &mut self,
        now: clock::MonotonicTime,
        event: event::OwnerEvent,
    ) -> event::QuotaActions {
        let mut actions = event::QuotaActions::new();
        match event {
            event::OwnerEvent::OwnershipGained { customer, term } => {
                self.gain_ownership(now, customer, term, &mut actions);
            }
            event::OwnerEvent::OwnershipLost { customer, successor_view } => {
                actions.extend(self.lose_ownership(now, customer, successor_view));
            }
            event::OwnerEvent::LeaseRenewed { until } => {
                self.lease_until = self.lease_until.max(until);
            }
            event::OwnerEvent::Report { sender, report } => {
                self.handle_report(now, sender, &report, &mut actions);
            }
            event::OwnerEvent::Grant { sender, update } => {
                self.handle_grant(now, &sender, &update, &mut actions);
            }
            event::OwnerEvent::Handover(handover) => self.take_over(now, handover, &mut actions),
            event::OwnerEvent::Configured { customer, offset, limits } => {
                self.limits.entry(customer).or_default().push(offset, limits);
            }
            event::OwnerEvent::ConfigurationApplied { offset } => self.mark_applied(now, offset),
            event::OwnerEvent::Reachability { zone, reachable } => {
                self.set_reachable(zone, reachable);
            }
            event::OwnerEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn gain_ownership(
        &mut self,
        now: clock::MonotonicTime,
        customer: name::CustomerName,
        term: event::OwnershipTerm,
        actions: &mut event::QuotaActions,
    ) {
        match self.buckets.entry(customer.clone()) {
            collections::btree_map::Entry::Occupied(mut occupied) => {
                occupied.get_mut().change_term(term);
            }
            collections::btree_map::Entry::Vacant(vacant) => {
                vacant.insert(zone_bucket::ZoneBucket::new(term));
            }
        }
        if let Some(handover) = self.early_handovers.remove(&customer) {
            self.take_over(now, handover, actions);
        }
    }

    /// Drops a bucket; hands its state to the successor if the lease is still valid.
    fn lose_ownership(
        &mut self,
        now: clock::MonotonicTime,
        customer: name::CustomerName,
        successor_view: Option<id::FencingNumber>,
    ) -> Option<event::QuotaAction> {
        self.refresh(now, &customer);
        let bucket = self.buckets.remove(&customer)?;
        self.ended_terms.insert(customer.clone(), bucket.term.view);
        let view = successor_view?;
        if now >= self.lease_until || !bucket.has_started(now) {
            return None;
        }
        let handover = quota::BucketHandover {
            customer: customer.clone(),
            zone: self.zone.clone(),
            view,
            level: bucket.bucket.level(),
            outstanding: bucket.own_outstanding() + bucket.loans.regranted(),
        };
        let destination = event::QuotaDestination::Owner { customer, zone: self.zone.clone() };
        let message = quota::QuotaMessage::Handover(handover);
        Some(event::QuotaAction::Send { destination, message })
    }

    fn mark_applied(&mut self, now: clock::MonotonicTime, offset: id::LogOffset) {
        for limits in self.limits.values_mut() {
            limits.mark_applied(now, offset);
        }
    }

    fn set_reachable(&mut self, zone: name::ZoneName, reachable: bool) {
        if reachable {
            self.unreachable.remove(&zone);
        } else {
            self.unreachable.insert(zone);
        }
    }

    fn tick(&mut self, now: clock::MonotonicTime, actions: &mut event::QuotaActions) {
        let customers = self.buckets.keys().cloned().collect::<Vec<_>>();
        for customer in customers {
            self.advance(now, &customer, actions);
        }
    }

    fn handle_report(
        &mut self,
        now: clock::MonotonicTime,
        sender: name::InstanceName,
        report: &quota::GrantReport,
        actions: &mut event::QuotaActions,
    ) {
        if report.zone != self.zone || !self.may_act(now, &report.customer) {
            return;
        }
        self.refresh(now, &report.customer);
        let Some(bucket) = self.buckets.get_mut(&report.customer) else {
            return;
        };
        let Some(key) = bucket.apply_report(now, sender, report, &mut self.next_session) else {
            return;
        };
        self.advance_for(now, &report.customer, Some(&key), actions);
    }

    fn handle_grant(
        &mut self,
        now: clock::MonotonicTime,
        sender: &name::InstanceName,
        update: &quota::GrantUpdate,
        actions: &mut event::QuotaActions,
    ) {
        self.refresh(now, &update.customer);
        let Some(bucket) = self.buckets.get_mut(&update.customer) else {
            return;
        };
        if bucket.loans.apply(now, sender, update) {
            self.advance(now, &update.customer, actions);
        }
    }

    fn take_over(
        &mut self,
        now: clock::MonotonicTime,
        handover: quota::BucketHandover,
        actions: &mut event::QuotaActions,
    ) {
        let customer = handover.customer.clone();
        let is_late = self.ended_terms.get(&customer).is_some_and(|ended| *ended >= handover.view);
        if handover.zone != self.zone || is_late {
            return;
        }
        self.refresh(now, &customer);
        match self.buckets.get_mut(&customer) {
            Some(bucket) if bucket.term.view >= handover.view => {
                bucket.take_over(now, &handover);
                self.advance(now, &customer, actions);
            }
            _ => {
                self.early_handovers.insert(customer, handover);
            }
        }
    }

    fn may_act(&self, now: clock::MonotonicTime, customer: &name::CustomerName) -> bool {
        let started = self.buckets.get(customer).is_some_and(|bucket| bucket.has_started(now));
        started && now < self.lease_until
    }

    fn refresh(&mut self, now: clock::MonotonicTime, customer: &name::CustomerName) {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        let limits = self.limits.get_mut(customer).map(|limits| {
            limits.refresh(now);
            limits.zone(&self.zone)
        });
        bucket.refresh(now, limits.unwrap_or_default());
    }

    fn advance(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        actions: &mut event::QuotaActions,
    ) {
        if !self.may_act(now, customer) {
            return;
        }
        self.refresh(now, customer);
        self.advance_for(now, customer, None, actions);
    }

    /// Serves waiting requests, then the reporting holder's demand, then borrows the rest from
    /// other zones.
    fn advance_for(
        &mut self,
        now: clock::MonotonicTime,
        customer: &name::CustomerName,
        reporter: Option<&zone_bucket::HolderKey>,
        actions: &mut event::QuotaActions,
    ) {
        let lenders = self.lenders(customer);
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        let served = grant_scheduler::serve(now, bucket, &lenders);
        if let Some(reporter) = reporter
            && served.shortfall == 0
        {
            grant_demand(now, bucket, reporter);
        }
        let shortage = shortage(now, bucket, served.shortfall);
        let sequence = &mut self.next_sequence;
        for report in bucket.loans.due_reports(now, customer, &lenders, shortage, sequence) {
            let (customer, zone) = (customer.clone(), report.zone.clone());
            actions.push(event::QuotaAction::Send {
                destination: event::QuotaDestination::Owner { customer, zone },
                message: quota::QuotaMessage::Report(report),
            });
        }
        let pending_updates = bucket.holders.iter().filter(|(_, holder)| holder.needs_update);
        for key in pending_updates.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            let update = bucket.build_update(now, customer, &self.zone, &key);
            actions.extend(update.map(|update| event::QuotaAction::Send {
                destination: event::QuotaDestination::Instance(key.instance),
                message: quota::QuotaMessage::Grant(update),
            }));
        }
    }

    /// Returns the other reachable zones with a part of the customer's limits, in thousandths.
    fn lenders(&self, customer: &name::CustomerName) -> collections::BTreeMap<name::ZoneName, u16> {
        let newest = self.limits.get(customer).and_then(|limits| limits.newest());
        let zones = newest.into_iter().flat_map(|limits| &limits.zone_permille);
        let others = zones.filter(|(zone, permille)| {
            **zone != self.zone && **permille > 0 && !self.unreachable.contains(*zone)
        });
        others.map(|(zone, permille)| (zone.clone(), *permille)).collect()
    }
}

/// Snapshot of an owned bucket, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BucketStatus {
    /// Effective rate in tokens per second.
    pub rate: u64,
    /// Effective capacity in tokens.
    pub burst: u64,
    /// Tokens that can be granted now.
    pub level: u64,
    /// Tokens granted and possibly unspent, loans from other zones excluded.
    pub outstanding: u64,
}

/// Grants tokens for the reporting holder's demand: to an instance in proportion to that demand,
/// to another zone from tokens that are idle here or would overflow.
fn grant_demand(
    now: clock::MonotonicTime,
    bucket: &mut zone_bucket::ZoneBucket,
    key: &zone_bucket::HolderKey,
) {
    let tokens = match key.role {
        quota::HolderRole::Instance => instance_grant(bucket, key),
        quota::HolderRole::Zone => zone_grant(now, bucket, key),
    };
    if tokens > 0 {
        bucket.grant(now, key, tokens);
    }
}

fn instance_grant(bucket: &zone_bucket::ZoneBucket, key: &zone_bucket::HolderKey) -> u64 {
    if !bucket.reservations.is_empty() {
        return 0;
    }
    let Some(holder) = bucket.holders.get(key) else {
        return 0;
    };
    let wanted = holder.lender.wanted;
    let level = bucket.bucket.level();
    let total = u128::from(bucket.local_wanted().max(1));
    let share = u128::from(level) * u128::from(wanted) / total;
    wanted.saturating_sub(holder.lender.outstanding()).min(share as u64)
}

fn zone_grant(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
    key: &zone_bucket::HolderKey,
) -> u64 {
    let Some(holder) = bucket.holders.get(key) else {
        return 0;
    };
    let level = bucket.bucket.level();
    let slack = bucket.reservations.slack(level, now, |until| bucket.accrued_until(now, until));
    let reserve = bucket.local_wanted() * LENDING_RESERVE_FACTOR;
    let threshold = bucket.effective_limits().scaled(SURPLUS_THRESHOLD_PERMILLE).burst;
    let held = holder.lender.outstanding();
    let wanted = holder.lender.wanted.saturating_sub(held).min(level.saturating_sub(reserve));
    let surplus = holder.lender.surplus.saturating_sub(held).min(level.saturating_sub(threshold));
    wanted.max(surplus).max(holder.lender.urgent).min(level).min(slack)
}

/// Returns the tokens to borrow: the shortfall of waiting requests and of the instances' demand,
/// and as surplus one second's demand if it exceeds the bucket's rate.
fn shortage(
    now: clock::MonotonicTime,
    bucket: &zone_bucket::ZoneBucket,
    shortfall: u64,
) -> loan_table::TokenShortage {
    if !bucket.can_borrow() {
        return loan_table::TokenShortage::default();
    }
    let available = bucket.available(now);
    let demand = bucket.local_demand(now);
    let exceeds_rate = demand > bucket.effective_limits().rate;
    loan_table::TokenShortage {
        tokens: (shortfall + bucket.local_shortfall()).saturating_sub(available),
        urgent: shortfall.saturating_sub(available),
        surplus: if exceeds_rate { demand.saturating_sub(bucket.loans.available(now)) } else { 0 },
    }
}

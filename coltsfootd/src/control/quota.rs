//! Runs the quota state machines: admission at this instance and the token buckets that it owns.

use std::collections;
use std::sync;

use coltsfoot_catalog::{object, view};
use coltsfoot_quota::{bucket_owner, event as quota, limit_history, quota_agent, token_bucket};
use coltsfoot_types::{id, name, time as instant};
use coltsfoot_wire::{member as members, peer, quota as messages};
use rustc_hash::FxHashMap;

use crate::control::client;
use crate::control::directory::InstanceDirectory;
use crate::control::member::MemberHost;
use crate::control::resource::OwnedResource;
use crate::peers::PeerNetwork;
use crate::shared;

/// Lookups for routing quota messages, and the network to send them.
pub struct QuotaRouting<'a> {
    /// Membership of this instance's zone.
    pub member: &'a MemberHost,
    /// Instances of all zones.
    pub directory: &'a InstanceDirectory,
    /// Connections to other instances.
    pub network: &'a PeerNetwork,
}

/// Admission agent and bucket owner of this instance.
pub struct QuotaHost {
    shared: sync::Arc<shared::InstanceShared>,
    agent: quota_agent::QuotaAgent,
    owner: bucket_owner::BucketOwner,
    waiting: FxHashMap<id::RequestId, client::ReplySender<()>>,
    limits: collections::BTreeMap<name::CustomerName, limit_history::CustomerLimits>,
    owned: collections::BTreeSet<name::CustomerName>,
    applied_offsets: collections::BTreeMap<name::InstanceName, messages::AppliedOffset>,
}

impl QuotaHost {
    /// Creates a host without customers or owned buckets.
    pub fn new(shared: sync::Arc<shared::InstanceShared>) -> Self {
        let zone = shared.settings.zone.clone();
        let agent = quota_agent::QuotaAgent::new(zone.clone(), quota_agent::DEFAULT_MAX_WAIT);
        let owner = bucket_owner::BucketOwner::new(&shared.settings.instance, zone);
        Self {
            shared,
            agent,
            owner,
            waiting: FxHashMap::default(),
            limits: collections::BTreeMap::new(),
            owned: collections::BTreeSet::new(),
            applied_offsets: collections::BTreeMap::new(),
        }
    }

    /// Applies the customers' limits of a new configuration.
    pub fn configure(
        &mut self,
        now: instant::MonotonicTime,
        catalog: &view::CatalogView,
        routing: &QuotaRouting<'_>,
    ) {
        let new: collections::BTreeMap<_, _> = catalog
            .customers()
            .map(|customer| (customer.name.clone(), customer_limits(customer)))
            .collect();
        let old = std::mem::replace(&mut self.limits, new.clone());
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let changed = new.iter().filter(|(name, limits)| old.get(*name) != Some(*limits));
        let changes = removed
            .map(|name| (name.clone(), None))
            .chain(changed.map(|(name, limits)| (name.clone(), Some(limits.clone()))));
        for (customer, limits) in changes {
            self.configure_customer(now, catalog.offset(), customer, limits, routing);
        }
        self.update_applied_offset(now, routing);
    }

    /// Returns the zone's buckets, one for each customer, as resources.
    pub fn resources(&self) -> impl Iterator<Item = OwnedResource> + '_ {
        self.limits.keys().map(|customer| OwnedResource::Bucket(customer.clone()))
    }

    /// Requests admission; the decision is sent to `reply`.
    pub fn admit(
        &mut self,
        now: instant::MonotonicTime,
        query: client::AdmissionQuery,
        reply: client::ReplySender<()>,
        routing: &QuotaRouting<'_>,
    ) {
        self.waiting.insert(query.request, reply);
        let admission = quota::AdmissionRequest {
            request: query.request,
            customer: query.customer,
            tokens: query.tokens,
            deadline: now + query.max_wait,
            fingerprint: query.fingerprint,
        };
        let actions = self.agent.handle(now, quota::AgentEvent::Admit(admission));
        self.execute(actions, routing);
    }

    /// Refunds unused tokens, or cancels the admission if it is still pending.
    pub fn refund(
        &mut self,
        now: instant::MonotonicTime,
        request: id::RequestId,
        unused: u64,
        routing: &QuotaRouting<'_>,
    ) {
        let event = match self.waiting.remove(&request) {
            Some(_) => quota::AgentEvent::Cancel { request },
            None => quota::AgentEvent::Finish { request, unused },
        };
        let actions = self.agent.handle(now, event);
        self.execute(actions, routing);
    }

    /// Handles a message from another instance or from this one.
    pub fn handle_message(
        &mut self,
        now: instant::MonotonicTime,
        sender: name::InstanceName,
        message: messages::QuotaMessage,
        routing: &QuotaRouting<'_>,
    ) {
        let actions = match message {
            messages::QuotaMessage::Report(report) => {
                self.renew(now, routing);
                self.owner.handle(now, quota::OwnerEvent::Report { sender, report })
            }
            messages::QuotaMessage::Grant(update) => match update.role {
                messages::HolderRole::Instance => {
                    self.agent.handle(now, quota::AgentEvent::Grant { sender, update })
                }
                messages::HolderRole::Zone => {
                    self.renew(now, routing);
                    self.owner.handle(now, quota::OwnerEvent::Grant { sender, update })
                }
            },
            messages::QuotaMessage::Handover(handover) => {
                self.owner.handle(now, quota::OwnerEvent::Handover(handover))
            }
            messages::QuotaMessage::Applied(applied) => {
                return self.record_applied_offset(now, sender, applied, routing);
            }
        };
        self.execute(actions, routing);
    }

    /// Applies a gain (with its fencing number) or loss of a bucket's ownership.
    pub fn apply_ownership(
        &mut self,
        now: instant::MonotonicTime,
        customer: name::CustomerName,
        fencing: Option<id::FencingNumber>,
        routing: &QuotaRouting<'_>,
    ) {
        let event = match fencing {
            Some(view) => {
                self.owned.insert(customer.clone());
                let bucket = OwnedResource::Bucket(customer.clone());
                let grade = routing.member.lease(now, &bucket).map(|lease| lease.grade);
                let share_permille = grade.map_or(0, usable_permille);
                let term = quota::OwnershipTerm { view, active_from: now, share_permille };
                quota::OwnerEvent::OwnershipGained { customer, term }
            }
            None => {
                self.owned.remove(&customer);
                let successor_view = self.successor_view(&customer, routing);
                quota::OwnerEvent::OwnershipLost { customer, successor_view }
            }
        };
        self.renew(now, routing);
        let actions = self.owner.handle(now, event);
        self.execute(actions, routing);
    }

    /// Advances all timers to `now`.
    pub fn tick(&mut self, now: instant::MonotonicTime, routing: &QuotaRouting<'_>) {
        self.renew(now, routing);
        let actions = self.owner.handle(now, quota::OwnerEvent::Tick);
        self.execute(actions, routing);
        let actions = self.agent.handle(now, quota::AgentEvent::Tick);
        self.execute(actions, routing);
    }

    /// Records whether any instance of another zone is reachable.
    pub fn set_reachable(
        &mut self,
        now: instant::MonotonicTime,
        zone: name::ZoneName,
        reachable: bool,
        routing: &QuotaRouting<'_>,
    ) {
        let event = quota::OwnerEvent::Reachability { zone: zone.clone(), reachable };
        let actions = self.owner.handle(now, event);
        self.execute(actions, routing);
        let actions = self.agent.handle(now, quota::AgentEvent::Reachability { zone, reachable });
        self.execute(actions, routing);
    }

    /// Sends this instance's applied configuration offset to those that have not acknowledged it.
    pub fn announce_offset(&self, routing: &QuotaRouting<'_>) {
        let offset = self.shared.catalog.load().offset();
        let own = &self.shared.settings.instance;
        for (receiver, _) in routing.directory.peer_addresses().filter(|(name, _)| name != own) {
            let is_acknowledged =
                self.applied_offsets.get(&receiver).is_some_and(|applied| applied.seen >= offset);
            if !is_acknowledged {
                self.send_applied_offset(&receiver, routing);
            }
        }
    }

    /// Records another instance's applied offset. Replies if that offset is new or if the sender
    /// has not seen this instance's offset.
    fn record_applied_offset(
        &mut self,
        now: instant::MonotonicTime,
        sender: name::InstanceName,
        applied: messages::AppliedOffset,
        routing: &QuotaRouting<'_>,
    ) {
        let own_offset = self.shared.catalog.load().offset();
        let known = self.applied_offsets.entry(sender.clone()).or_default();
        let is_newer = known.offset < applied.offset;
        known.offset = known.offset.max(applied.offset);
        known.seen = known.seen.max(applied.seen);
        if is_newer || applied.seen < own_offset {
            self.send_applied_offset(&sender, routing);
        }
        self.update_applied_offset(now, routing);
    }

    fn send_applied_offset(&self, receiver: &name::InstanceName, routing: &QuotaRouting<'_>) {
        let offset = self.shared.catalog.load().offset();
        let seen =
            self.applied_offsets.get(receiver).map(|applied| applied.offset).unwrap_or_default();
        let message = messages::QuotaMessage::Applied(messages::AppliedOffset { offset, seen });
        routing.network.send(receiver, peer::PeerMessage::Quota(message));
    }

    /// Reports the lowest offset that every listed instance has applied.
    fn update_applied_offset(&mut self, now: instant::MonotonicTime, routing: &QuotaRouting<'_>) {
        let own = &self.shared.settings.instance;
        let own_offset = self.shared.catalog.load().offset();
        let others = routing.directory.peer_addresses().filter(|(name, _)| name != own);
        let offsets = others.map(|(name, _)| {
            self.applied_offsets.get(&name).map(|applied| applied.offset).unwrap_or_default()
        });
        let offset = offsets.min().unwrap_or(own_offset).min(own_offset);
        let actions = self.owner.handle(now, quota::OwnerEvent::ConfigurationApplied { offset });
        self.execute(actions, routing);
    }

    fn configure_customer(
        &mut self,
        now: instant::MonotonicTime,
        offset: id::LogOffset,
        customer: name::CustomerName,
        limits: Option<limit_history::CustomerLimits>,
        routing: &QuotaRouting<'_>,
    ) {
        let event =
            quota::AgentEvent::Configured { customer: customer.clone(), limits: limits.clone() };
        let actions = self.agent.handle(now, event);
        self.execute(actions, routing);
        let event = quota::OwnerEvent::Configured { customer, offset, limits };
        let actions = self.owner.handle(now, event);
        self.execute(actions, routing);
    }

    /// Extends the bucket owner's lease to the end of the current membership lease.
    fn renew(&mut self, now: instant::MonotonicTime, routing: &QuotaRouting<'_>) {
        let Some(customer) = self.owned.first() else { return };
        let resource = OwnedResource::Bucket(customer.clone());
        if let Some(lease) = routing.member.lease(now, &resource) {
            self.owner.handle(now, quota::OwnerEvent::LeaseRenewed { until: lease.until });
        }
    }

    /// Returns the epoch of the view that assigned a lost bucket to another instance.
    fn successor_view(
        &self,
        customer: &name::CustomerName,
        routing: &QuotaRouting<'_>,
    ) -> Option<id::FencingNumber> {
        let owner = routing.member.owner_of(&OwnedResource::Bucket(customer.clone()))?;
        let view = routing.member.view()?;
        (owner != self.shared.settings.instance).then_some(view.epoch)
    }

    fn execute(&mut self, actions: quota::QuotaActions, routing: &QuotaRouting<'_>) {
        for action in actions {
            match action {
                quota::QuotaAction::Admit { request } => self.reply(request, Ok(())),
                quota::QuotaAction::Refuse { request, reason, retry_after } => {
                    let retry_after = (!retry_after.is_zero()).then_some(retry_after);
                    self.reply(request, Err(client::ControlRefusal { reason, retry_after }));
                }
                quota::QuotaAction::Send { destination, message } => {
                    send(routing, &self.shared.settings.zone, destination, message);
                }
            }
        }
    }

    fn reply(&mut self, request: id::RequestId, result: Result<(), client::ControlRefusal>) {
        if let Some(reply) = self.waiting.remove(&request) {
            let _ = reply.try_send(result);
        }
    }
}

fn send(
    routing: &QuotaRouting<'_>,
    own_zone: &name::ZoneName,
    destination: quota::QuotaDestination,
    message: messages::QuotaMessage,
) {
    let receiver = match destination {
        quota::QuotaDestination::Instance(instance) => Some(instance),
        quota::QuotaDestination::Owner { customer, zone } => {
            let resource = OwnedResource::Bucket(customer);
            if zone == *own_zone {
                routing.member.owner_of(&resource)
            } else {
                MemberHost::expected_owner(routing.directory, &zone, &resource)
            }
        }
    };
    if let Some(receiver) = receiver {
        routing.network.send(&receiver, peer::PeerMessage::Quota(message));
    }
}

fn customer_limits(customer: &object::CustomerObject) -> limit_history::CustomerLimits {
    limit_history::CustomerLimits {
        total: token_bucket::BucketLimits {
            rate: customer.rate_tokens_per_second,
            burst: customer.burst_tokens,
        },
        zone_permille: customer.zone_permille.clone(),
    }
}

/// Returns the share of a bucket that owners in a view of this grade may grant, in permille.
fn usable_permille(grade: members::ViewGrade) -> u16 {
    match grade {
        members::ViewGrade::Full => 1_000,
        members::ViewGrade::Restricted { kept, of } => {
            u16::from(kept) * 1_000 / u16::from(of.max(1))
        }
    }
}

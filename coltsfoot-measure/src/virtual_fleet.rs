//! Agents and owners of several zones on virtual time, joined by a link function.

use std::collections;
use std::time;

use coltsfoot_quota::{bucket_owner, event, limit_history, quota_agent};
use coltsfoot_types::{id, name, refusal, time as clock};
use coltsfoot_wire::{codec, peer, quota};

/// Interval of ticks.
const TICK: time::Duration = time::Duration::from_millis(50);
/// Interval of lease renewals.
const RENEWAL: time::Duration = time::Duration::from_secs(1);
/// Lifetime of a lease.
pub const LEASE_TTL: time::Duration = time::Duration::from_secs(3);
/// Bytes of the headers below a message.
const HEADER_BYTES: u64 = 28;

/// A message under way, as the link function sees it.
#[derive(Clone, Copy, Debug)]
pub struct LinkPassage {
    /// Index of the zone that sends.
    pub from_zone: usize,
    /// Index of the zone that receives.
    pub to_zone: usize,
}

/// Delays of the copies of a message that arrive; none if it is lost.
pub type LinkDelays = smallvec::SmallVec<[time::Duration; 2]>;

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct FleetOutcome {
    /// When it was decided.
    pub at: clock::MonotonicTime,
    /// The request.
    pub request: id::RequestId,
    /// The refusal, if it was refused.
    pub refused: Option<FleetRefusal>,
}

/// A refusal with its advice.
#[derive(Clone, Copy, Debug)]
pub struct FleetRefusal {
    /// Why.
    pub reason: refusal::RefusalReason,
    /// When to come back.
    pub retry_after: time::Duration,
}

/// One instance.
pub struct FleetNode {
    name: name::InstanceName,
    zone: usize,
    agent: quota_agent::QuotaAgent,
    owner: bucket_owner::BucketOwner,
    is_alive: bool,
    paused_until: clock::MonotonicTime,
    lease_until: clock::MonotonicTime,
    /// Whether views changed while it was paused.
    missed_views: bool,
    clock_offset: u64,
    clock_ppm: i64,
    next_tick: clock::MonotonicTime,
    inbox: Vec<peer::PeerEnvelope>,
}

impl FleetNode {
    /// Returns the instant on the node's own clock.
    fn local(&self, now: clock::MonotonicTime) -> clock::MonotonicTime {
        let drift = now.0 as i64 * self.clock_ppm / 1_000_000;
        clock::MonotonicTime((now.0 as i64 + drift) as u64 + self.clock_offset)
    }

    fn is_running(&self, now: clock::MonotonicTime) -> bool {
        self.is_alive && now >= self.paused_until
    }
}

/// Owner of one bucket.
#[derive(Clone, Copy, Debug)]
struct BucketSeat {
    node: usize,
}

struct Delivery {
    to: usize,
    envelope: peer::PeerEnvelope,
}

/// Instances of several zones.
pub struct VirtualFleet<L> {
    now: clock::MonotonicTime,
    zones: Vec<name::ZoneName>,
    customers: collections::BTreeMap<name::CustomerName, limit_history::CustomerLimits>,
    nodes: Vec<FleetNode>,
    seats: collections::BTreeMap<(name::CustomerName, usize), BucketSeat>,
    deliveries: collections::BTreeMap<(clock::MonotonicTime, u64), Delivery>,
    link: L,
    view: u64,
    next_number: u64,
    next_renewal: clock::MonotonicTime,
    next_node: u64,
    codec: codec::MessageCodec,
    /// Bytes sent by all instances.
    pub bytes: u64,
    /// What became of requests, to be drained by the caller.
    pub outcomes: Vec<FleetOutcome>,
}

impl<L: FnMut(LinkPassage) -> LinkDelays> VirtualFleet<L> {
    /// Builds a fleet whose buckets have been owned for a while.
    pub fn new(
        zones: &[&str],
        instances_per_zone: usize,
        customers: collections::BTreeMap<name::CustomerName, limit_history::CustomerLimits>,
        link: L,
    ) -> Self {
        let mut fleet = Self {
            now: clock::MonotonicTime(0),
            zones: zones.iter().map(|zone| (*zone).into()).collect(),
            customers,
            nodes: Vec::new(),
            seats: collections::BTreeMap::new(),
            deliveries: collections::BTreeMap::new(),
            link,
            view: 0,
            next_number: 0,
            next_renewal: clock::MonotonicTime(0),
            next_node: 0,
            codec: codec::MessageCodec::new("measure"),
            bytes: 0,
            outcomes: Vec::new(),
        };
        for zone in 0..zones.len() {
            for _ in 0..instances_per_zone {
                fleet.add_node(zone);
            }
        }
        fleet.renew_leases();
        fleet.assign_owners();
        fleet
    }

    /// Returns the present instant.
    pub fn now(&self) -> clock::MonotonicTime {
        self.now
    }

    /// Returns the indices of the instances that live.
    pub fn live_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].is_alive).collect()
    }

    /// Returns the zone of an instance.
    pub fn zone_of(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// Returns the owner of a customer's bucket.
    pub fn owner_of(&self, customer: &name::CustomerName, zone: usize) -> Option<usize> {
        self.seats.get(&(customer.clone(), zone)).map(|seat| seat.node)
    }

    /// Returns the state of a customer's bucket at its owner.
    pub fn inspect(
        &self,
        customer: &name::CustomerName,
        zone: usize,
    ) -> Option<bucket_owner::BucketStatus> {
        self.nodes[self.owner_of(customer, zone)?].owner.inspect(customer)
    }

    /// Sets an instance's clock off by parts per million.
    pub fn set_clock_speed(&mut self, node: usize, ppm: i64) {
        self.nodes[node].clock_ppm = ppm;
    }

    /// Asks an instance to admit a request. Returns false if the instance does not run.
    pub fn admit(
        &mut self,
        node: usize,
        mut admission: event::AdmissionRequest,
        patience: time::Duration,
    ) -> bool {
        if !self.nodes[node].is_running(self.now) {
            return false;
        }
        admission.deadline = self.nodes[node].local(self.now) + patience;
        self.agent_event(node, event::AgentEvent::Admit(admission));
        true
    }

    /// Ends a request.
    pub fn finish(&mut self, node: usize, request: id::RequestId, unused: u64) {
        if self.nodes[node].is_running(self.now) {
            self.agent_event(node, event::AgentEvent::Finish { request, unused });
        }
    }

    /// Stops an instance at once.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
    }

    /// Stops an instance for a while; it loses nothing.
    pub fn pause(&mut self, node: usize, duration: time::Duration) {
        self.nodes[node].paused_until = self.now + duration;
    }

    /// Adds an instance in place of one that is gone.
    pub fn replace(&mut self, zone: usize) -> usize {
        self.add_node(zone);
        self.assign_owners();
        self.nodes.len() - 1
    }

    /// Forms the zones' views anew: without instances that do not run.
    pub fn change_views(&mut self) {
        self.assign_owners();
    }

    /// Tells the instances of a zone whether another zone can be reached.
    pub fn set_reachable(&mut self, of: usize, zone: usize, reachable: bool) {
        let name = self.zones[zone].clone();
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone != of || !self.nodes[node].is_alive {
                continue;
            }
            let zone = name.clone();
            self.owner_event(
                node,
                event::OwnerEvent::Reachability { zone: zone.clone(), reachable },
            );
            self.agent_event(node, event::AgentEvent::Reachability { zone, reachable });
        }
    }

    /// Tells one instance the new limits of a customer.
    pub fn configure(
        &mut self,
        node: usize,
        customer: &name::CustomerName,
        offset: u64,
        limits: &limit_history::CustomerLimits,
    ) {
        self.customers.insert(customer.clone(), limits.clone());
        self.configure_node(node, customer, offset, limits);
    }

    /// Tells all instances that all have folded the configuration up to an offset.
    pub fn settle(&mut self, offset: u64) {
        for node in self.live_nodes() {
            let offset = id::LogOffset(offset);
            self.owner_event(node, event::OwnerEvent::ConfigurationApplied { offset });
        }
    }

    /// Advances to an instant.
    pub fn run_until(&mut self, until: clock::MonotonicTime) {
        while let Some(at) = self.next_instant().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.deliver_due();
            self.tick_due();
            if self.now >= self.next_renewal {
                self.renew_leases();
            }
        }
        self.now = self.now.max(until);
    }

    fn next_instant(&self) -> Option<clock::MonotonicTime> {
        let delivery = self.deliveries.first_key_value().map(|((at, _), _)| *at);
        let live = self.nodes.iter().filter(|node| node.is_alive);
        let tick = live.map(|node| node.next_tick.max(node.paused_until)).min();
        [delivery, tick, Some(self.next_renewal)].into_iter().flatten().min()
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.deliveries.first_entry()
            && entry.key().0 <= self.now
        {
            let delivery = entry.remove();
            if !self.nodes[delivery.to].is_alive {
                continue;
            }
            if self.now < self.nodes[delivery.to].paused_until {
                self.nodes[delivery.to].inbox.push(delivery.envelope);
                continue;
            }
            self.receive(delivery.to, delivery.envelope);
        }
    }

    fn tick_due(&mut self) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_running(self.now) || self.now < self.nodes[node].next_tick {
                continue;
            }
            self.nodes[node].next_tick = self.now + TICK;
            for envelope in std::mem::take(&mut self.nodes[node].inbox) {
                self.receive(node, envelope);
            }
            self.owner_event(node, event::OwnerEvent::Tick);
            self.agent_event(node, event::AgentEvent::Tick);
        }
    }

    fn renew_leases(&mut self) {
        self.next_renewal = self.now + RENEWAL;
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_running(self.now) {
                continue;
            }
            self.catch_up_views(node);
            self.nodes[node].lease_until = self.now + LEASE_TTL;
            let until = self.nodes[node].local(self.now) + LEASE_TTL;
            self.owner_event(node, event::OwnerEvent::LeaseRenewed { until });
        }
    }

    /// Tells an instance that was paused which buckets it has lost meanwhile.
    fn catch_up_views(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].missed_views) {
            return;
        }
        let zone = self.nodes[node].zone;
        for customer in self.customers.keys().cloned().collect::<Vec<_>>() {
            if self.owner_of(&customer, zone) != Some(node) {
                let lost = event::OwnerEvent::OwnershipLost { customer, successor_view: None };
                self.owner_event(node, lost);
            }
        }
    }

    fn add_node(&mut self, zone: usize) {
        self.next_node += 1;
        let number = self.next_node;
        let instance = name::InstanceName::from(format!("instance-{number}"));
        let zone_name = self.zones[zone].clone();
        let max_wait = quota_agent::DEFAULT_MAX_WAIT;
        self.nodes.push(FleetNode {
            agent: quota_agent::QuotaAgent::new(zone_name.clone(), max_wait),
            owner: bucket_owner::BucketOwner::new(&instance, zone_name),
            name: instance,
            zone,
            is_alive: true,
            paused_until: self.now,
            lease_until: self.now,
            missed_views: false,
            clock_offset: 3_600_000_000 * number,
            clock_ppm: 0,
            next_tick: self.now + TICK * (number % 5) as u32 / 5,
            inbox: Vec::new(),
        });
        let node = self.nodes.len() - 1;
        let offset = self.view;
        for (customer, limits) in self.customers.clone() {
            self.configure_node(node, &customer, offset, &limits);
        }
        self.nodes[node].lease_until = self.now + LEASE_TTL;
        let until = self.nodes[node].local(self.now) + LEASE_TTL;
        self.owner_event(node, event::OwnerEvent::LeaseRenewed { until });
    }

    fn configure_node(
        &mut self,
        node: usize,
        customer: &name::CustomerName,
        offset: u64,
        limits: &limit_history::CustomerLimits,
    ) {
        let limits = Some(limits.clone());
        let customer = customer.clone();
        self.agent_event(
            node,
            event::AgentEvent::Configured { customer: customer.clone(), limits: limits.clone() },
        );
        let offset = id::LogOffset(offset);
        self.owner_event(node, event::OwnerEvent::Configured { customer, offset, limits });
    }

    /// Gives every bucket to the running instance of its zone with the highest hash.
    fn assign_owners(&mut self) {
        self.view += 1;
        let view = id::FencingNumber(self.view);
        for customer in self.customers.keys().cloned().collect::<Vec<_>>() {
            for zone in 0..self.zones.len() {
                self.assign_owner(&customer, zone, view);
            }
        }
    }

    fn assign_owner(
        &mut self,
        customer: &name::CustomerName,
        zone: usize,
        view: id::FencingNumber,
    ) {
        let running = (0..self.nodes.len()).filter(|node| {
            self.nodes[*node].zone == zone && self.nodes[*node].is_running(self.now)
        });
        let Some(node) =
            running.max_by_key(|node| rendezvous_hash(customer, &self.nodes[*node].name))
        else {
            return;
        };
        let seat = self.seats.insert((customer.clone(), zone), BucketSeat { node });
        let former = seat.map(|seat| seat.node);
        if former == Some(node) {
            return;
        }
        let active_from = former.map_or(self.now, |former| self.nodes[former].lease_until);
        let wait = active_from.since(self.now);
        let active_from = self.nodes[node].local(self.now) + wait;
        let term = event::OwnershipTerm { view, active_from, share_permille: 1_000 };
        let customer = customer.clone();
        self.owner_event(
            node,
            event::OwnerEvent::OwnershipGained { customer: customer.clone(), term },
        );
        let Some(former) = former else {
            return;
        };
        if !self.nodes[former].is_running(self.now) {
            self.nodes[former].missed_views = true;
            return;
        }
        let successor_view = Some(view);
        self.owner_event(former, event::OwnerEvent::OwnershipLost { customer, successor_view });
    }

    fn receive(&mut self, node: usize, envelope: peer::PeerEnvelope) {
        let sender = envelope.sender;
        let peer::PeerMessage::Quota(message) = envelope.message else {
            return;
        };
        match message {
            quota::QuotaMessage::Report(report) => {
                self.owner_event(node, event::OwnerEvent::Report { sender, report });
            }
            quota::QuotaMessage::Grant(update) if update.role == quota::HolderRole::Zone => {
                self.owner_event(node, event::OwnerEvent::Grant { sender, update });
            }
            quota::QuotaMessage::Grant(update) => {
                self.agent_event(node, event::AgentEvent::Grant { sender, update });
            }
            quota::QuotaMessage::Handover(handover) => {
                self.owner_event(node, event::OwnerEvent::Handover(handover));
            }
            quota::QuotaMessage::Applied(_) => {}
        }
    }

    fn agent_event(&mut self, node: usize, event: event::AgentEvent) {
        let now = self.nodes[node].local(self.now);
        let actions = self.nodes[node].agent.handle(now, event);
        self.perform(node, actions);
    }

    fn owner_event(&mut self, node: usize, event: event::OwnerEvent) {
        let now = self.nodes[node].local(self.now);
        let actions = self.nodes[node].owner.handle(now, event);
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, actions: event::QuotaActions) {
        let at = self.now;
        for action in actions {
            match action {
                event::QuotaAction::Admit { request } => {
                    self.outcomes.push(FleetOutcome { at, request, refused: None });
                }
                event::QuotaAction::Refuse { request, reason, retry_after } => {
                    let refused = Some(FleetRefusal { reason, retry_after });
                    self.outcomes.push(FleetOutcome { at, request, refused });
                }
                event::QuotaAction::Send { destination, message } => {
                    self.send(node, &destination, message);
                }
            }
        }
    }

    fn send(
        &mut self,
        node: usize,
        destination: &event::QuotaDestination,
        message: quota::QuotaMessage,
    ) {
        let Some(to) = self.resolve(destination) else {
            return;
        };
        let sender = self.nodes[node].name.clone();
        let envelope = peer::PeerEnvelope { sender, message: peer::PeerMessage::Quota(message) };
        let delays = if to == node {
            LinkDelays::from_elem(time::Duration::ZERO, 1)
        } else {
            let bytes = self.codec.encode(&envelope).map_or(0, |bytes| bytes.len() as u64);
            self.bytes += bytes + HEADER_BYTES;
            let (from_zone, to_zone) = (self.nodes[node].zone, self.nodes[to].zone);
            (self.link)(LinkPassage { from_zone, to_zone })
        };
        for delay in delays {
            self.next_number += 1;
            let delivery = Delivery { to, envelope: envelope.clone() };
            self.deliveries.insert((self.now + delay, self.next_number), delivery);
        }
    }

    fn resolve(&self, destination: &event::QuotaDestination) -> Option<usize> {
        match destination {
            event::QuotaDestination::Instance(instance) => {
                self.nodes.iter().position(|node| node.name == *instance)
            }
            event::QuotaDestination::Owner { customer, zone } => {
                let zone = self.zones.iter().position(|name| name == zone)?;
                self.owner_of(customer, zone)
            }
        }
    }
}

fn rendezvous_hash(customer: &name::CustomerName, instance: &name::InstanceName) -> [u8; 32] {
    *blake3::hash(format!("{customer}/{instance}").as_bytes()).as_bytes()
}

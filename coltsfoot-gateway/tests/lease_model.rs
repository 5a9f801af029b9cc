//! Seeded simulation of the order lease. Machines freeze, restart and lose contact to the store or to
//! each other; the store is down or slow, loses answers, executes calls late and reassigns all
//! partitions. Orders of two machines must be separated in time and fencing numbers must rise.

use std::collections::{BTreeMap, VecDeque};
use std::time;

use coltsfoot_gateway::{order_lease, rendezvous};
use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet::TopicPosition;

/// Machines of the zone whose partitions are held.
const MACHINES: usize = 3;
/// Machines of other zones that seek the partitions while they hear none of the zone.
const ADOPTERS: usize = 2;
/// Time without a machine of the zone after which they do.
const ABSENCE_MS: u64 = 3000;
/// Kinds of faults, the last of which restores the store from an older copy.
const FAULTS: u64 = 9;
const FAULTS_WITH_RESTORE: u64 = 10;
const PARTITIONS: u32 = 4;
const TICK_MS: u64 = 50;
const RUN_MS: u64 = 60_000;
const RENEW_MS: u64 = 400;
const HEARTBEAT_MS: u64 = 150;
const MEMBER_LIFETIME_MS: u64 = 2500;
const SEPARATION_MS: u64 = 3000;
/// Age of the oldest copy that a store goes back to.
const MAX_LOSS_S: usize = 10;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn settings(separation_ms: u64) -> order_lease::LeaseSettings {
    order_lease::LeaseSettings {
        validity: time::Duration::from_millis(1300),
        separation: time::Duration::from_millis(separation_ms),
        thaw_pause: time::Duration::from_millis(300),
    }
}

struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        rendezvous::weight(self.0, 7) % bound
    }

    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// What a restored store loses.
#[derive(Clone, Default)]
struct StoreData {
    generation: u64,
    /// Members with the time of their last renewal.
    members: BTreeMap<usize, u64>,
    owners: BTreeMap<u32, usize>,
    targets: BTreeMap<u32, usize>,
    /// The last holder of each partition.
    holders: BTreeMap<u32, HolderRecord>,
    /// Records in the list of holders.
    list_end: u64,
}

#[derive(Clone, Copy)]
struct HolderRecord {
    machine: usize,
    /// Era that the machine named in the record.
    era: u64,
    offset: u64,
}

#[derive(Default)]
struct Store {
    data: StoreData,
    era: u64,
    /// Copies of the last seconds, one a second.
    backups: VecDeque<StoreData>,
    down_until: u64,
    expires_members: bool,
}

impl std::ops::Deref for Store {
    type Target = StoreData;

    fn deref(&self) -> &StoreData {
        &self.data
    }
}

impl std::ops::DerefMut for Store {
    fn deref_mut(&mut self) -> &mut StoreData {
        &mut self.data
    }
}

impl Store {
    fn rebalance(&mut self, rng: &mut SeededRng) {
        self.generation += 1;
        let members: Vec<usize> = self.members.keys().copied().collect();
        let shift = rng.below(PARTITIONS.into()) as u32;
        self.targets.clear();
        for partition in 0..PARTITIONS {
            if !members.is_empty() {
                let member = members[((partition + shift) as usize) % members.len()];
                self.targets.insert(partition, member);
            }
        }
    }

    fn expire(&mut self, now: u64, rng: &mut SeededRng) {
        if now < self.down_until && !self.expires_members {
            for joined in self.data.members.values_mut() {
                *joined += TICK_MS;
            }
            return;
        }
        let before = self.members.len();
        self.members.retain(|_, joined| now < *joined + MEMBER_LIFETIME_MS);
        if self.members.len() != before {
            let StoreData { members, owners, .. } = &mut self.data;
            owners.retain(|_, owner| members.contains_key(owner));
            self.rebalance(rng);
        }
    }

    /// Ends a membership.
    fn leave(&mut self, member: usize, rng: &mut SeededRng) {
        if self.members.remove(&member).is_some() {
            self.data.owners.retain(|_, owner| *owner != member);
            self.rebalance(rng);
        }
    }

    fn join(&mut self, now: u64, member: usize, generation: u64, rng: &mut SeededRng) -> Vec<u32> {
        let is_new = self.members.insert(member, now).is_none();
        if is_new {
            self.rebalance(rng);
        }
        if generation >= self.generation {
            let StoreData { targets, owners, .. } = &mut self.data;
            owners.retain(|partition, owner| {
                *owner != member || targets.get(partition) == Some(&member)
            });
        }
        let StoreData { targets, owners, .. } = &mut self.data;
        for (partition, target) in &*targets {
            if *target == member && !owners.contains_key(partition) {
                owners.insert(*partition, member);
            }
        }
        let held = self.owners.iter().filter(|(partition, owner)| {
            **owner == member && self.targets.get(partition) == Some(&member)
        });
        held.map(|(partition, _)| *partition).collect()
    }

    fn back_up(&mut self, now: u64) {
        if now.is_multiple_of(1000) {
            self.backups.push_back(self.data.clone());
            if self.backups.len() > MAX_LOSS_S {
                self.backups.pop_front();
            }
        }
    }

    /// Goes back to a copy some seconds old.
    fn restore(&mut self, now: u64, rng: &mut SeededRng) {
        let Some(last) = self.backups.len().checked_sub(1) else { return };
        let copy = rng.below(last as u64 + 1) as usize;
        self.backups.truncate(copy + 1);
        self.data = self.backups[copy].clone();
        for joined in self.data.members.values_mut() {
            *joined = now;
        }
        self.era += 1;
    }

    /// Reassigns all partitions at once.
    fn reassign(&mut self, rng: &mut SeededRng) {
        self.rebalance(rng);
        self.owners = self.targets.clone();
    }
}

enum Call {
    Join { generation: order_lease::GroupGeneration },
    Holders,
    Record { partition: u32, list_end: TopicPosition },
    Owners,
    Leave,
}

enum Answer {
    Joined { sent: u64, generation: order_lease::GroupGeneration, partitions: Vec<u32> },
    Holders { holders: BTreeMap<u32, HolderRecord>, list_end: TopicPosition },
    Recorded { partition: u32, ends: Option<(TopicPosition, TopicPosition)> },
    Owners { has_home: bool },
    Left,
}

struct Machine {
    lease: order_lease::OrderLease,
    start: u64,
    awake_at: u64,
    last_tick: u64,
    next_renewal: u64,
    store_cut_until: u64,
    answers_lost_until: u64,
    peers_cut_until: u64,
    heard: BTreeMap<usize, order_lease::PeerLease>,
    /// Last heartbeat of a machine of the zone, for a machine of another one.
    home_heard: u64,
    has_adopted: bool,
}

struct Order {
    at: u64,
    machine: usize,
    fence: u64,
}

struct Simulation {
    rng: SeededRng,
    /// Number of kinds of faults.
    faults: u64,
    /// Machines of other zones hear nothing of the zone until then.
    zone_cut_until: u64,
    adopted_orders: u64,
    now: u64,
    separation_ms: u64,
    store: Store,
    machines: Vec<Machine>,
    calls: Vec<(u64, usize, u64, u64, Call)>,
    answers: Vec<(u64, usize, u64, Answer)>,
    last_orders: BTreeMap<u32, Order>,
    orders: u64,
    outage_orders: u64,
}

impl Simulation {
    fn new(seed: u64, separation_ms: u64) -> Self {
        let machines = (0..MACHINES).map(|_| Machine::started(0, separation_ms)).collect();
        Self {
            rng: SeededRng(seed),
            faults: FAULTS,
            zone_cut_until: 0,
            adopted_orders: 0,
            now: 0,
            separation_ms,
            store: Store::default(),
            machines,
            calls: Vec::new(),
            answers: Vec::new(),
            last_orders: BTreeMap::new(),
            orders: 0,
            outage_orders: 0,
        }
    }

    fn send(&mut self, machine: usize, call: Call) {
        let cut = self.now < self.machines[machine].store_cut_until;
        if !cut {
            let slow = if self.rng.one_in(20) { 2500 } else { 60 };
            let arrival = self.now + self.rng.below(slow);
            let start = self.machines[machine].start;
            self.calls.push((arrival, machine, start, self.now, call));
        }
    }

    fn inject_fault(&mut self) {
        let machine = self.rng.below(self.machines.len() as u64) as usize;
        let length = 200 + self.rng.below(9000);
        let until = self.now + length;
        match self.rng.below(self.faults) {
            0 => self.machines[machine].awake_at = until,
            1 => {
                let down = self.now + 300 + self.rng.below(4000);
                self.machines[machine] = match machine < MACHINES {
                    true => Machine::started(down, self.separation_ms),
                    false => Machine::adopter(down, self.separation_ms),
                };
            }
            2 => self.machines[machine].store_cut_until = until,
            3 => self.machines[machine].answers_lost_until = until,
            4 => self.machines[machine].peers_cut_until = until,
            5 => {
                self.store.down_until = until;
                self.store.expires_members = self.rng.one_in(2);
            }
            6 => self.store.reassign(&mut self.rng),
            7 => {
                self.machines[machine].store_cut_until = until;
                self.store.reassign(&mut self.rng);
            }
            8 => {
                self.machines[machine].store_cut_until = until;
                self.machines[machine].peers_cut_until = until;
            }
            _ => {
                self.store.down_until = self.now + self.rng.below(3000);
                self.store.restore(self.now, &mut self.rng);
            }
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += TICK_MS;
        if self.rng.one_in(50) {
            self.inject_fault();
        }
        self.store.expire(self.now, &mut self.rng);
        self.store.back_up(self.now);
        self.execute_calls();
        self.deliver_answers();
        for machine in 0..self.machines.len() {
            if self.now >= self.machines[machine].awake_at {
                self.run_machine(machine)?;
            }
        }
        Ok(())
    }

    fn execute_calls(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.0 <= now);
        self.calls = later;
        for (_, machine, start, sent, call) in due {
            if now < self.store.down_until {
                continue;
            }
            let era = self.store.era;
            let list_position = |offset| TopicPosition { era, offset };
            let answer = match call {
                Call::Join { generation } => {
                    let partitions =
                        self.store.join(now, machine, generation.number, &mut self.rng);
                    let number = self.store.generation;
                    let generation = order_lease::GroupGeneration { era, number };
                    Answer::Joined { sent, generation, partitions }
                }
                Call::Holders => {
                    let holders = self.store.holders.clone();
                    Answer::Holders { holders, list_end: list_position(self.store.list_end) }
                }
                Call::Record { partition, list_end } => {
                    let offset = self.store.list_end;
                    let is_current = list_end.offset == offset;
                    if is_current {
                        let record = HolderRecord { machine, era: list_end.era, offset };
                        self.store.holders.insert(partition, record);
                        self.store.list_end += 1;
                    }
                    let ends = is_current.then_some((list_end, list_position(offset + 1)));
                    Answer::Recorded { partition, ends }
                }
                Call::Owners => {
                    let has_home = self.store.owners.values().any(|owner| *owner < MACHINES);
                    Answer::Owners { has_home }
                }
                Call::Leave => {
                    self.store.leave(machine, &mut self.rng);
                    Answer::Left
                }
            };
            let arrival = now + self.rng.below(60);
            self.answers.push((arrival, machine, start, answer));
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        for (due, machine, start, answer) in std::mem::take(&mut self.answers) {
            let to = &mut self.machines[machine];
            if now < due.max(to.awake_at) && start == to.start {
                self.answers.push((due, machine, start, answer));
                continue;
            }
            if start != to.start || now < to.answers_lost_until || now < to.store_cut_until {
                continue;
            }
            match answer {
                // The zone was given back meanwhile.
                Answer::Joined { .. } if machine >= MACHINES && !to.has_adopted => {}
                Answer::Joined { sent, generation, partitions } => {
                    to.lease.renew(at(sent), at(now), generation, &partitions);
                    if !to.lease.unknown_holders().is_empty() {
                        self.send(machine, Call::Holders);
                    }
                    self.send_records(machine);
                }
                Answer::Holders { holders, list_end } => {
                    for partition in to.lease.unknown_holders() {
                        let record = holders.get(&partition);
                        let holder = order_lease::LastHolder {
                            is_this_machine: record.is_some_and(|record| {
                                record.machine == machine && record.era == list_end.era
                            }),
                            offset: record.map(|record| record.offset),
                        };
                        to.lease.set_last_holder(partition, holder, list_end);
                    }
                    self.send_records(machine);
                }
                Answer::Recorded { partition, ends } => match ends {
                    Some((before, after)) => {
                        to.lease.holder_recorded(at(now), partition, before, after);
                    }
                    None => to.lease.holder_record_failed(partition),
                },
                Answer::Owners { has_home: true } => self.give_back(machine),
                Answer::Owners { has_home: false } if to.misses_home(now) => {
                    to.has_adopted = true;
                    let generation = to.lease.generation();
                    self.send(machine, Call::Join { generation });
                }
                Answer::Owners { .. } | Answer::Left => {}
            }
        }
    }

    /// Records the holder of the first partition that is due. Further ones wait for the answer.
    fn send_records(&mut self, machine: usize) {
        let due = self.machines[machine].lease.pending_records(at(self.now));
        if let Some((partition, list_end)) = due.first().copied() {
            self.send(machine, Call::Record { partition, list_end });
        }
    }

    fn run_machine(&mut self, machine: usize) -> Result<(), String> {
        let now = self.now;
        let state = &mut self.machines[machine];
        if now > state.last_tick + 900 && state.last_tick > 0 {
            state.lease.pause(at(now));
        }
        state.last_tick = now;
        if now >= state.next_renewal {
            state.next_renewal = now + RENEW_MS;
            let generation = state.lease.generation();
            match machine < MACHINES {
                true => self.send(machine, Call::Join { generation }),
                false if state.misses_home(now) => self.send(machine, Call::Owners),
                false => self.give_back(machine),
            }
        }
        if now % HEARTBEAT_MS < TICK_MS && machine < MACHINES {
            self.send_heartbeats(machine);
        }
        self.send_orders(machine)
    }

    fn send_heartbeats(&mut self, machine: usize) {
        let now = self.now;
        let from = &self.machines[machine];
        let peer = order_lease::PeerLease {
            heard: at(now),
            store_age: at(now).since(from.lease.renewed()),
            partitions: from.lease.partitions().collect(),
        };
        let is_cut = now < from.peers_cut_until;
        for other in self.machines.iter_mut().skip(MACHINES) {
            if !is_cut && now >= self.zone_cut_until && now >= other.awake_at {
                other.home_heard = now;
            }
        }
        for other in (0..MACHINES).filter(|other| *other != machine) {
            let to = &mut self.machines[other];
            if !is_cut && now >= to.peers_cut_until && now >= to.awake_at {
                to.heard.insert(machine, peer.clone());
            }
        }
    }

    /// Ends the holding of partitions by a machine of another zone.
    fn give_back(&mut self, machine: usize) {
        let separation_ms = self.separation_ms;
        let state = &mut self.machines[machine];
        if std::mem::take(&mut state.has_adopted) {
            let ended = state.lease.tenure_count();
            state.lease = order_lease::OrderLease::adopting(settings(separation_ms), ended);
            self.send(machine, Call::Leave);
        }
    }

    fn send_orders(&mut self, machine: usize) -> Result<(), String> {
        let now = self.now;
        let peers: Vec<_> = self.machines[machine].heard.values().cloned().collect();
        if machine < MACHINES {
            self.machines[machine].lease.extend(at(now), &peers);
        }
        for partition in 0..PARTITIONS {
            let lease = &self.machines[machine].lease;
            let Some(tenure) = lease.tenure(partition) else { continue };
            let Some(fence) = lease.order_fence(at(now), partition, tenure) else { continue };
            let arrival = now + self.rng.below(200);
            self.orders += 1;
            self.adopted_orders += u64::from(machine >= MACHINES);
            self.outage_orders += u64::from(now < self.store.down_until);
            if let Some(last) = self.last_orders.get(&partition)
                && last.machine != machine
            {
                let gap = arrival.saturating_sub(last.at);
                if gap < SEPARATION_MS || fence <= last.fence {
                    return Err(format!(
                        "{now} ms: partition {partition}: {machine} with fence {fence}, {gap} ms \
                         after {} with fence {}",
                        last.machine, last.fence
                    ));
                }
            }
            self.last_orders.insert(partition, Order { at: arrival, machine, fence });
        }
        Ok(())
    }
}

impl Machine {
    fn started(start: u64, separation_ms: u64) -> Self {
        Self {
            lease: order_lease::OrderLease::new(settings(separation_ms)),
            start,
            awake_at: start,
            last_tick: 0,
            next_renewal: start,
            store_cut_until: 0,
            answers_lost_until: 0,
            peers_cut_until: 0,
            heard: BTreeMap::new(),
            home_heard: start,
            has_adopted: false,
        }
    }

    /// Creates a machine of another zone.
    fn adopter(start: u64, separation_ms: u64) -> Self {
        let lease = order_lease::OrderLease::adopting(settings(separation_ms), 0);
        Self { lease, ..Self::started(start, separation_ms) }
    }

    fn misses_home(&self, now: u64) -> bool {
        now >= self.home_heard + ABSENCE_MS
    }
}

fn simulate(seed: u64, separation_ms: u64) -> Result<(u64, u64), String> {
    simulate_faults(seed, separation_ms, FAULTS)
}

fn simulate_faults(seed: u64, separation_ms: u64, faults: u64) -> Result<(u64, u64), String> {
    let mut simulation = Simulation { faults, ..Simulation::new(seed, separation_ms) };
    while simulation.now < RUN_MS {
        simulation.step().map_err(|error| format!("seed {seed}: {error}"))?;
    }
    Ok((simulation.orders, simulation.outage_orders))
}

#[test]
fn orders_of_two_machines_are_separated_and_fences_rise() {
    let mut sums = (0, 0);
    // Seed 2203: between two renewals of a machine that still waited for its first order, its partition
    // was reassigned to another machine and back.
    // Seed 10441: an expired lease was extended by the reports of the peers.
    for seed in (0..400).chain([2203, 10_441]) {
        let (orders, outage_orders) = simulate(seed, SEPARATION_MS).expect("no violation");
        sums = (sums.0 + orders, sums.1 + outage_orders);
    }
    assert!(sums.0 > 100_000, "only {} orders were sent", sums.0);
    assert!(sums.1 > 1_000, "only {} orders were sent while the store was down", sums.1);
}

#[test]
fn orders_of_two_machines_are_separated_when_the_store_is_restored() {
    let mut orders = 0;
    for seed in 0..400 {
        orders +=
            simulate_faults(seed, SEPARATION_MS, FAULTS_WITH_RESTORE).expect("no violation").0;
    }
    assert!(orders > 50_000, "only {orders} orders were sent");
}

/// Simulates the machines of a zone that is cut off, or whose machines all end, beside those of other zones.
fn simulate_adoption(seed: u64, wait: AdopterWait) -> Result<u64, String> {
    let mut simulation = Simulation::new(seed, SEPARATION_MS);
    let adopter = |_| match wait {
        AdopterWait::ForExtensions => Machine::adopter(0, SEPARATION_MS),
        AdopterWait::None => Machine::started(0, SEPARATION_MS),
    };
    simulation.machines.extend((0..ADOPTERS).map(adopter));
    while simulation.now < RUN_MS {
        if simulation.rng.one_in(200) {
            simulation.lose_zone();
        }
        simulation.step().map_err(|error| format!("seed {seed}: {error}"))?;
    }
    Ok(simulation.adopted_orders)
}

/// Whether machines of other zones wait until the leases of a zone that was cut off have ended.
#[derive(Clone, Copy)]
enum AdopterWait {
    ForExtensions,
    None,
}

impl Simulation {
    /// Cuts the zone off from the others and often from the store, or ends all its machines for a while.
    fn lose_zone(&mut self) {
        let until = self.now + 4_000 + self.rng.below(26_000);
        let fault = self.rng.below(3);
        if fault == 0 {
            for machine in &mut self.machines[..MACHINES] {
                *machine = Machine::started(until, self.separation_ms);
            }
            return;
        }
        self.zone_cut_until = until;
        if fault == 1 {
            for machine in &mut self.machines[..MACHINES] {
                machine.store_cut_until = until;
            }
        }
    }
}

/// Guards against two owners of an engine whose zone is taken for one without instances.
#[test]
fn orders_of_machines_of_other_zones_are_separated_from_those_of_the_zone() {
    let orders: u64 = (0..500)
        .map(|seed| simulate_adoption(seed, AdopterWait::ForExtensions).expect("no violation"))
        .sum();
    assert!(orders > 10_000, "only {orders} orders were sent by machines of other zones");
}

#[test]
fn the_simulation_detects_machines_of_other_zones_that_do_not_wait_for_extended_leases() {
    let found = (0..400).filter(|seed| simulate_adoption(*seed, AdopterWait::None).is_err());
    assert!(found.count() > 0);
}

#[test]
fn the_simulation_detects_a_new_holder_that_does_not_wait() {
    let found = (0..400).filter(|seed| simulate(*seed, 0).is_err()).count();
    assert!(found > 0);
}

//! One schedule: instances, messages, platform and faults in virtual time.

use std::{cmp, collections, time as std_time};

use coltsfoot_types::{name, time};
use coltsfoot_wire::member;
use rand::{RngExt as _, SeedableRng as _};

use super::{audit, fault, platform};
use crate::{ZoneMember, event, settings};

/// Time between two ticks of an instance.
const TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Time between two readings of log and list.
const POLL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Largest lag of a reading of the list, in milliseconds.
const LIST_LAG_MS: u64 = 1_000;
/// Zone of all schedules.
const ZONE: &str = "rennes";

/// An instance of the schedule.
#[derive(Clone)]
struct ScheduledInstance {
    name: name::InstanceName,
    member: ZoneMember,
    /// Rate of its clock in parts per million of the true rate.
    clock_ppm: u64,
    frozen_until: Option<time::MonotonicTime>,
    ended: bool,
    side: u8,
    cut_until: time::MonotonicTime,
    list_seen_at: time::MonotonicTime,
    log_position: usize,
    backlog: Vec<event::MemberEvent>,
}

/// Something that is to happen.
#[derive(Clone, Debug)]
enum ScheduledStep {
    Tick(usize),
    PollLog(usize),
    PollList(usize),
    Event(usize, Box<event::MemberEvent>),
    Append { instance: usize, record_id: uuid::Uuid, text: String },
    Thaw(usize),
    Start,
    End(usize),
    Delist(name::InstanceName),
    Heal,
}

/// A step with its instant; ties are broken by the order of scheduling.
#[derive(Clone, Debug)]
struct QueuedStep {
    at: time::MonotonicTime,
    number: u64,
    step: ScheduledStep,
}

impl PartialEq for QueuedStep {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedStep {}

impl PartialOrd for QueuedStep {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedStep {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A schedule that can be run on and given faults.
#[derive(Clone)]
pub struct ScheduleRun {
    now: time::MonotonicTime,
    random: rand::rngs::SmallRng,
    timing: settings::TimingSettings,
    instances: Vec<ScheduledInstance>,
    queue: collections::BinaryHeap<QueuedStep>,
    step_count: u64,
    platform: platform::PlatformModel,
    log_out_until: time::MonotonicTime,
    noise_until: time::MonotonicTime,
    resources: Vec<name::ResourceName>,
    audit: audit::OwnershipAudit,
    violations: Vec<audit::OwnershipViolation>,
}

impl ScheduleRun {
    /// Starts a zone of `size` instances.
    pub fn new(
        seed: u64,
        size: usize,
        resource_count: usize,
        timing: settings::TimingSettings,
    ) -> Self {
        let resources = (0..resource_count).map(|index| format!("cell-{index}").into());
        let mut run = Self {
            now: time::MonotonicTime(1_000_000),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            audit: audit::OwnershipAudit::new(timing.order_delay),
            timing,
            instances: Vec::new(),
            queue: collections::BinaryHeap::new(),
            step_count: 0,
            platform: platform::PlatformModel::default(),
            log_out_until: time::MonotonicTime(0),
            noise_until: time::MonotonicTime(0),
            resources: resources.collect(),
            violations: Vec::new(),
        };
        for _ in 0..size {
            run.start_instance(std_time::Duration::ZERO);
        }
        run
    }

    /// Returns the true time.
    pub fn now(&self) -> time::MonotonicTime {
        self.now
    }

    /// Returns the broken invariants.
    pub fn violations(&self) -> &[audit::OwnershipViolation] {
        &self.violations
    }

    /// Returns the indices of the instances that run.
    pub fn running(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances.filter(|(_, instance)| instance.is_running()).map(|(index, _)| index).collect()
    }

    /// Returns an instance's member.
    pub fn member(&self, index: usize) -> &ZoneMember {
        &self.instances[index].member
    }

    /// Returns the index of the instance that may act as owner of a resource now.
    pub fn acting_owner(&self, resource: &name::ResourceName) -> Option<usize> {
        self.running().into_iter().find(|index| {
            let instance = &self.instances[*index];
            instance.member.lease(instance.local(self.now), resource).is_some()
        })
    }

    /// Returns the resources.
    pub fn resources(&self) -> &[name::ResourceName] {
        &self.resources
    }

    /// Returns how far an instance may act.
    pub fn mode(&self, index: usize) -> event::MemberMode {
        let instance = &self.instances[index];
        instance.member.mode(instance.local(self.now))
    }

    /// Runs for a while.
    pub fn run_for(&mut self, duration: std_time::Duration) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|queued| queued.at <= end) {
            let Some(queued) = self.queue.pop() else {
                break;
            };
            self.now = queued.at.max(self.now);
            self.carry_out(queued.step);
        }
        self.now = end;
        self.check_ownership();
    }

    /// Runs for a while with random faults at random times.
    pub fn run_with_faults(&mut self, duration: std_time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            let pause = std_time::Duration::from_millis(self.random.random_range(50..3_000));
            self.run_for(pause);
            let fault = fault::ScheduleFault::draw(&mut self.random);
            self.inject(&fault);
        }
    }

    /// Ends all faults but crashes.
    pub fn heal(&mut self) {
        self.log_out_until = self.now;
        self.noise_until = self.now;
        for instance in &mut self.instances {
            instance.side = 0;
            instance.cut_until = self.now;
        }
    }

    /// Injects a fault into instances drawn at random.
    pub fn inject(&mut self, fault: &fault::ScheduleFault) {
        match fault {
            fault::ScheduleFault::Crash { count } => {
                for _ in 0..*count {
                    if let Some(index) = self.draw_running() {
                        self.crash(index);
                        let wait = self.draw_millis(500, 5_000);
                        self.schedule(wait, ScheduledStep::Start);
                    }
                }
            }
            fault::ScheduleFault::Freeze { duration } => {
                if let Some(index) = self.draw_running() {
                    self.freeze(index, *duration);
                }
            }
            fault::ScheduleFault::Partition { duration } => {
                for index in 0..self.instances.len() {
                    self.instances[index].side = self.random.random_range(0..2);
                }
                self.schedule(*duration, ScheduledStep::Heal);
            }
            fault::ScheduleFault::LogOutage { duration } => {
                self.log_out_until = self.now + *duration;
            }
            fault::ScheduleFault::PlatformCut { duration } => {
                if let Some(index) = self.draw_running() {
                    self.instances[index].cut_until = self.now + *duration;
                }
            }
            fault::ScheduleFault::NetworkNoise { duration } => {
                self.noise_until = self.now + *duration;
            }
            fault::ScheduleFault::Join => self.start_instance(std_time::Duration::ZERO),
            fault::ScheduleFault::Drain => {
                if let Some(index) = self.draw_running() {
                    self.drain(index);
                }
            }
        }
    }

    /// Ends an instance without a word; the list shows it for a while.
    pub fn crash(&mut self, index: usize) {
        self.instances[index].ended = true;
        let delay = self.draw_millis(500, 4_000);
        let name = self.instances[index].name.clone();
        self.schedule(delay, ScheduledStep::Delist(name));
    }

    /// Freezes an instance; the platform may take it for ended.
    pub fn freeze(&mut self, index: usize, duration: std_time::Duration) {
        let until = self.now + duration;
        self.instances[index].frozen_until = Some(until);
        self.schedule(duration, ScheduledStep::Thaw(index));
        let health_delay = std_time::Duration::from_secs(3);
        if duration > health_delay && self.random.random_bool(0.5) {
            let name = self.instances[index].name.clone();
            self.schedule(health_delay, ScheduledStep::Delist(name));
            self.schedule(health_delay, ScheduledStep::Start);
            let lag = self.draw_millis(500, 10_000);
            self.schedule(duration + lag, ScheduledStep::End(index));
        }
    }

    /// Cuts instances off from the others, or joins them again with side 0.
    pub fn set_side(&mut self, index: usize, side: u8) {
        self.instances[index].side = side;
    }

    /// Starts the drain of an instance.
    pub fn drain(&mut self, index: usize) {
        let name = self.instances[index].name.clone();
        let delay = self.draw_millis(0, 1_000);
        self.platform.change_list(self.now, delay, name, Some(true));
        self.deliver(index, event::MemberEvent::StartDrain);
    }

    fn start_instance(&mut self, listing_delay: std_time::Duration) {
        let index = self.instances.len();
        let name: name::InstanceName = format!("{ZONE}-{index:04}").into();
        let member = ZoneMember::builder()
            .own_name(name.clone())
            .zone(ZONE.into())
            .timing(self.timing.clone())
            .seed(self.random.random())
            .build();
        let drift = u64::from(self.timing.clock_drift_permille) * 500;
        self.instances.push(ScheduledInstance {
            name: name.clone(),
            member,
            clock_ppm: self.random.random_range(1_000_000 - drift..=1_000_000 + drift),
            frozen_until: None,
            ended: false,
            side: 0,
            cut_until: time::MonotonicTime(0),
            list_seen_at: time::MonotonicTime(0),
            log_position: 0,
            backlog: Vec::new(),
        });
        self.platform.change_list(self.now, listing_delay, name, Some(false));
        let phase = self.draw_millis(0, 100);
        self.schedule(phase, ScheduledStep::Tick(index));
        self.schedule(phase, ScheduledStep::PollList(index));
        self.schedule(phase, ScheduledStep::PollLog(index));
    }

    fn carry_out(&mut self, step: ScheduledStep) {
        match step {
            ScheduledStep::Tick(index) => {
                self.repeat(index, TICK_INTERVAL, ScheduledStep::Tick(index));
                if self.instances[index].frozen_until.is_none() {
                    self.deliver(index, event::MemberEvent::Tick);
                }
                self.check_ownership();
            }
            ScheduledStep::PollLog(index) => {
                self.repeat(index, POLL_INTERVAL, ScheduledStep::PollLog(index));
                self.poll_log(index);
            }
            ScheduledStep::PollList(index) => {
                self.repeat(index, POLL_INTERVAL, ScheduledStep::PollList(index));
                self.poll_list(index);
            }
            ScheduledStep::Event(index, event) => self.deliver(index, *event),
            ScheduledStep::Append { instance, record_id, text } => {
                self.append(instance, record_id, text);
            }
            ScheduledStep::Thaw(index) => self.thaw(index),
            ScheduledStep::Start => {
                let delay = self.draw_millis(0, 2_000);
                self.start_instance(delay);
            }
            ScheduledStep::End(index) => self.instances[index].ended = true,
            ScheduledStep::Delist(name) => {
                self.platform.change_list(self.now, std_time::Duration::ZERO, name, None);
            }
            ScheduledStep::Heal => {
                for instance in &mut self.instances {
                    instance.side = 0;
                }
            }
        }
    }

    fn repeat(&mut self, index: usize, interval: std_time::Duration, step: ScheduledStep) {
        if !self.instances[index].ended {
            self.schedule(interval, step);
        }
    }

    fn poll_log(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.frozen_until.is_some() || instance.ended {
            return;
        }
        let event = if self.now < self.log_out_until || self.now < instance.cut_until {
            event::MemberEvent::LogUnreachable
        } else {
            let records = self.platform.read(instance.log_position);
            instance.log_position = self.platform.len();
            event::MemberEvent::LogRead(records)
        };
        self.deliver(index, event);
    }

    fn poll_list(&mut self, index: usize) {
        let lag = self.draw_millis(0, LIST_LAG_MS);
        let instance = &mut self.instances[index];
        if instance.frozen_until.is_some() || instance.ended || self.now < instance.cut_until {
            return;
        }
        instance.list_seen_at = instance.list_seen_at.max(self.now - lag);
        let listed = self.platform.list_at(instance.list_seen_at);
        self.deliver(index, event::MemberEvent::ListRead(listed));
    }

    fn append(&mut self, index: usize, record_id: uuid::Uuid, text: String) {
        let unreachable =
            self.now < self.log_out_until || self.now < self.instances[index].cut_until;
        let outcome = if unreachable {
            event::AppendOutcome::Failed
        } else if self.random.random_bool(0.05) {
            self.platform.append(text);
            event::AppendOutcome::Unknown
        } else {
            event::AppendOutcome::Done(self.platform.append(text))
        };
        self.deliver(index, event::MemberEvent::AppendEnded { record_id, outcome });
        if matches!(outcome, event::AppendOutcome::Done(_)) {
            self.poll_log(index);
        }
    }

    fn thaw(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.frozen_until.is_none_or(|until| until > self.now) {
            return;
        }
        instance.frozen_until = None;
        let backlog = std::mem::take(&mut instance.backlog);
        self.check_ownership();
        for event in backlog {
            self.deliver(index, event);
            self.check_ownership();
        }
    }

    fn deliver(&mut self, index: usize, event: event::MemberEvent) {
        let instance = &mut self.instances[index];
        if instance.ended {
            return;
        }
        if instance.frozen_until.is_some() {
            instance.backlog.push(event);
            return;
        }
        let local = instance.local(self.now);
        for action in instance.member.handle(local, event) {
            self.carry_out_action(index, action);
        }
    }

    fn carry_out_action(&mut self, index: usize, action: event::MemberAction) {
        match action {
            event::MemberAction::Send { receiver, message } => {
                self.send(index, &receiver, message);
            }
            event::MemberAction::AppendView { record_id, text } => {
                let delay = self.draw_millis(5, 80);
                let delay = delay * if self.random.random_bool(0.03) { 30 } else { 1 };
                let step = ScheduledStep::Append { instance: index, record_id, text };
                self.schedule(delay, step);
            }
            event::MemberAction::Drained { .. } => {
                self.check_ownership();
                self.instances[index].ended = true;
                let name = self.instances[index].name.clone();
                self.schedule(std_time::Duration::from_millis(500), ScheduledStep::Delist(name));
            }
            event::MemberAction::ViewChanged(_)
            | event::MemberAction::OwnershipGained { .. }
            | event::MemberAction::OwnershipLost { .. } => {}
        }
    }

    fn send(
        &mut self,
        index: usize,
        receiver: &name::InstanceName,
        message: member::MemberMessage,
    ) {
        let sender = self.instances[index].name.clone();
        let Some(target) = self.instances.iter().position(|entry| entry.name == *receiver) else {
            return;
        };
        if self.instances[index].side != self.instances[target].side {
            return;
        }
        let noisy = self.now < self.noise_until;
        let (loss, doubling, longest_ms) = if noisy { (0.3, 0.2, 900) } else { (0.01, 0.01, 15) };
        let copies = 1 + usize::from(self.random.random_bool(doubling));
        for _ in 0..copies {
            if self.random.random_bool(loss) {
                continue;
            }
            let delay = self.draw_millis(1, longest_ms);
            let event =
                event::MemberEvent::Message { sender: sender.clone(), message: message.clone() };
            self.schedule(delay, ScheduledStep::Event(target, Box::new(event)));
        }
    }

    fn check_ownership(&mut self) {
        for resource in &self.resources {
            let uses: Vec<_> = self
                .instances
                .iter()
                .filter(|instance| instance.is_running())
                .filter_map(|instance| instance.lease_use(self.now, resource))
                .collect();
            if let Err(violation) = self.audit.observe(self.now, resource, &uses) {
                self.violations.push(violation);
            }
        }
    }

    fn draw_running(&mut self) -> Option<usize> {
        let running = self.running();
        (running.len() > 1).then(|| running[self.random.random_range(0..running.len())])
    }

    fn draw_millis(&mut self, least: u64, most: u64) -> std_time::Duration {
        std_time::Duration::from_millis(self.random.random_range(least..=most))
    }

    fn schedule(&mut self, delay: std_time::Duration, step: ScheduledStep) {
        self.step_count += 1;
        self.queue.push(QueuedStep { at: self.now + delay, number: self.step_count, step });
    }
}

impl ScheduledInstance {
    fn is_running(&self) -> bool {
        !self.ended && self.frozen_until.is_none()
    }

    fn local(&self, now: time::MonotonicTime) -> time::MonotonicTime {
        time::MonotonicTime(now.0 / 1_000 * self.clock_ppm / 1_000)
    }

    fn lease_use(
        &self,
        now: time::MonotonicTime,
        resource: &name::ResourceName,
    ) -> Option<audit::LeaseUse> {
        let local = self.local(now);
        let lease = self.member.lease(local, resource)?;
        let may_order = local < lease.orders_until;
        Some(audit::LeaseUse { instance: self.name.clone(), lease, may_order })
    }
}

//! One schedule: instances, messages, platform and faults in virtual time.

use std::{collections, time as std_time};

use coltsfoot_types::{name, time};
use rand::{RngExt as _, SeedableRng as _};

use super::{audit, fault, instance, platform, queue, traffic};
use crate::{ZoneMember, event, settings};

/// Time between two ticks of an instance.
const TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Time between two looks at all leases.
const CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);
/// Time between two readings of log and list.
const POLL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Zone of all schedules.
const ZONE: &str = "rennes";

/// Settings of a schedule.
#[derive(bon::Builder, Clone, Debug)]
pub struct ScheduleSettings {
    /// Seed of all randomness.
    seed: u64,
    /// Instances at the start.
    size: usize,
    /// Resources that are watched.
    #[builder(default = 3)]
    resource_count: usize,
    /// Groups of the zone.
    #[builder(default = 1)]
    group_count: u8,
    /// Timing of the instances.
    #[builder(default)]
    timing: settings::TimingSettings,
}

/// A schedule that can be run on and given faults.
#[derive(Clone)]
pub struct ScheduleRun {
    pub(super) now: time::MonotonicTime,
    pub(super) random: rand::rngs::SmallRng,
    pub(super) settings: ScheduleSettings,
    pub(super) instances: Vec<instance::ScheduledInstance>,
    pub(super) queue: collections::BinaryHeap<queue::QueuedStep>,
    pub(super) step_count: u64,
    pub(super) platform: platform::PlatformModel,
    pub(super) log_outage_until: time::MonotonicTime,
    pub(super) noise_until: time::MonotonicTime,
    pub(super) resources: Vec<name::ResourceName>,
    pub(super) audit: audit::OwnershipAudit,
    pub(super) traffic: Option<traffic::TrafficMeter>,
    pub(super) violations: Vec<audit::OwnershipViolation>,
}

impl ScheduleRun {
    /// Starts a zone.
    pub fn new(settings: ScheduleSettings) -> Self {
        let resources = (0..settings.resource_count).map(|index| format!("cell-{index}").into());
        let mut run = Self {
            now: time::MonotonicTime(1_000_000),
            random: rand::rngs::SmallRng::seed_from_u64(settings.seed),
            audit: audit::OwnershipAudit::new(settings.timing.order_delay),
            instances: Vec::new(),
            queue: collections::BinaryHeap::new(),
            step_count: 0,
            platform: platform::PlatformModel::default(),
            log_outage_until: time::MonotonicTime(0),
            noise_until: time::MonotonicTime(0),
            resources: resources.collect(),
            traffic: None,
            violations: Vec::new(),
            settings,
        };
        run.schedule(CHECK_INTERVAL, queue::ScheduledStep::Check);
        for _ in 0..run.settings.size {
            run.start_instance(std_time::Duration::ZERO);
        }
        run
    }

    /// Begins to count the bytes of messages.
    pub fn start_metering(&mut self) {
        self.traffic = Some(traffic::TrafficMeter::default());
    }

    /// Returns the bytes that an instance has sent since metering began, each message encoded as
    /// it goes over the wire.
    pub fn bytes_sent(&self, index: usize) -> u64 {
        self.traffic.as_ref().map_or(0, |traffic| traffic.bytes_sent(index))
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
            self.execute(queued.step);
        }
        self.now = end;
        self.check_ownership();
    }

    /// Runs for a while with random faults at random times.
    pub fn run_with_faults(&mut self, duration: std_time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            let pause = std_time::Duration::from_millis(self.random.random_range(50..1_500));
            self.run_for(pause);
            let fault = fault::ScheduleFault::draw(&mut self.random);
            self.inject(&fault);
        }
    }

    /// Ends all faults but crashes.
    pub fn heal(&mut self) {
        self.log_outage_until = self.now;
        self.noise_until = self.now;
        for instance in &mut self.instances {
            instance.partition = 0;
            instance.platform_cut_until = self.now;
        }
    }

    pub(super) fn start_instance(&mut self, listing_delay: std_time::Duration) {
        let index = self.instances.len();
        let name: name::InstanceName = format!("{ZONE}-{index:04}-9f3c").into();
        let member = ZoneMember::builder()
            .own_name(name.clone())
            .zone(ZONE.into())
            .timing(self.settings.timing.clone())
            .group_count(self.settings.group_count)
            .seed(self.random.random())
            .build();
        let drift = u64::from(self.settings.timing.clock_drift_permille) * 500;
        self.instances.push(instance::ScheduledInstance {
            name: name.clone(),
            member,
            clock_ppm: self.random.random_range(1_000_000 - drift..=1_000_000 + drift),
            frozen_until: None,
            ended: false,
            partition: 0,
            platform_cut_until: time::MonotonicTime(0),
            list_seen_at: time::MonotonicTime(0),
            log_position: 0,
            backlog: Vec::new(),
        });
        self.platform.change_list(self.now, listing_delay, name, Some(false));
        let phase = self.draw_millis(0, 100);
        self.schedule(phase, queue::ScheduledStep::Tick(index));
        self.schedule(phase, queue::ScheduledStep::PollList(index));
        self.schedule(phase, queue::ScheduledStep::PollLog(index));
    }

    pub(super) fn execute(&mut self, step: queue::ScheduledStep) {
        match step {
            queue::ScheduledStep::Tick(index) => {
                self.repeat(index, TICK_INTERVAL, queue::ScheduledStep::Tick(index));
                if self.instances[index].frozen_until.is_none() {
                    self.deliver(index, event::MemberEvent::Tick);
                }
            }
            queue::ScheduledStep::Check => {
                self.schedule(CHECK_INTERVAL, queue::ScheduledStep::Check);
                self.check_ownership();
            }
            queue::ScheduledStep::PollLog(index) => {
                self.repeat(index, POLL_INTERVAL, queue::ScheduledStep::PollLog(index));
                self.poll_log(index);
            }
            queue::ScheduledStep::PollList(index) => {
                self.repeat(index, POLL_INTERVAL, queue::ScheduledStep::PollList(index));
                self.poll_list(index);
            }
            queue::ScheduledStep::Event(index, event) => self.deliver(index, *event),
            queue::ScheduledStep::Append { instance, record_id, text } => {
                self.append(instance, record_id, text);
            }
            queue::ScheduledStep::Unfreeze(index) => self.unfreeze(index),
            queue::ScheduledStep::Start => {
                let delay = self.draw_millis(0, 2_000);
                self.start_instance(delay);
            }
            queue::ScheduledStep::End(index) => self.instances[index].ended = true,
            queue::ScheduledStep::Delist(name) => {
                self.platform.change_list(self.now, std_time::Duration::ZERO, name, None);
            }
            queue::ScheduledStep::Heal => {
                for instance in &mut self.instances {
                    instance.partition = 0;
                }
            }
        }
    }

    pub(super) fn repeat(
        &mut self,
        index: usize,
        interval: std_time::Duration,
        step: queue::ScheduledStep,
    ) {
        if !self.instances[index].ended {
            self.schedule(interval, step);
        }
    }

    pub(super) fn check_ownership(&mut self) {
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

    pub(super) fn draw_running(&mut self) -> Option<usize> {
        let running = self.running();
        (running.len() > 1).then(|| running[self.random.random_range(0..running.len())])
    }

    pub(super) fn draw_millis(&mut self, min: u64, max: u64) -> std_time::Duration {
        std_time::Duration::from_millis(self.random.random_range(min..=max))
    }

    pub(super) fn schedule(&mut self, delay: std_time::Duration, step: queue::ScheduledStep) {
        self.step_count += 1;
        self.queue.push(queue::QueuedStep { at: self.now + delay, number: self.step_count, step });
    }
}

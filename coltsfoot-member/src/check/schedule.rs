//! Simulation of instances, messages, platform and faults in virtual time.

use std::{collections, time as std_time};

use coltsfoot_types::{name, time};
use rand::{RngExt as _, SeedableRng as _};

use super::{audit, fault, instance, platform, queue, traffic};
use crate::{ZoneMember, event, settings};

/// Interval between ticks of an instance.
const TICK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Interval between checks of all leases.
const CHECK_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);
/// Interval between reads of the log and the list.
const POLL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Zone of all simulated instances.
const ZONE: &str = "rennes";

/// Settings of a simulation.
#[derive(bon::Builder, Clone, Debug)]
pub struct ScheduleSettings {
    /// Seed of the random number generator.
    seed: u64,
    /// Initial number of instances.
    size: usize,
    /// Number of resources whose ownership is checked.
    #[builder(default = 3)]
    resource_count: usize,
    /// Number of groups of the zone.
    #[builder(default = 1)]
    group_count: u8,
    /// Timing of the instances.
    #[builder(default)]
    timing: settings::TimingSettings,
}

/// A simulation run that can be advanced and injected with faults.
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
    /// Starts a zone with the configured number of instances.
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

    /// Starts counting the bytes of messages.
    pub fn start_metering(&mut self) {
        self.traffic = Some(traffic::TrafficMeter::default());
    }

    /// Returns the encoded bytes of the messages that an instance has sent since metering started,
    /// zero before.
    pub fn bytes_sent(&self, index: usize) -> u64 {
        self.traffic.as_ref().map_or(0, |traffic| traffic.bytes_sent(index))
    }

    /// Returns the virtual time.
    pub fn now(&self) -> time::MonotonicTime {
        self.now
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[audit::OwnershipViolation] {
        &self.violations
    }

    /// Returns the indices of the instances that are neither ended nor suspended.
    pub fn running(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances.filter(|(_, instance)| instance.is_running()).map(|(index, _)| index).collect()
    }

    /// Returns the state machine of an instance.
    pub fn member(&self, index: usize) -> &ZoneMember {
        &self.instances[index].member
    }

    /// Returns the index of the instance that currently may act as owner of a resource.
    pub fn acting_owner(&self, resource: &name::ResourceName) -> Option<usize> {
        self.running().into_iter().find(|index| {
            let instance = &self.instances[*index];
            instance.member.lease(instance.local(self.now), resource).is_some()
        })
    }

    /// Returns the resources whose ownership is checked.
    pub fn resources(&self) -> &[name::ResourceName] {
        &self.resources
    }

    /// Returns the current permissions of an instance as owner.
    pub fn mode(&self, index: usize) -> event::MemberMode {
        let instance = &self.instances[index];
        instance.member.mode(instance.local(self.now))
    }

    /// Advances virtual time by `duration`.
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

    /// Advances virtual time by at least `duration`, with random faults at random times.
    pub fn run_with_faults(&mut self, duration: std_time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            let pause = std_time::Duration::from_millis(self.random.random_range(50..1_500));
            self.run_for(pause);
            let fault = fault::ScheduleFault::draw(&mut self.random);
            self.inject(&fault);
        }
    }

    /// Ends log outages, platform cuts, network noise and partitions.
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

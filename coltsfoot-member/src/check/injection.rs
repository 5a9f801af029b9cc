//! Injection of faults into a simulation.

use std::time as std_time;

use rand::RngExt as _;

use super::{ScheduleRun, fault, queue};
use crate::event;

impl ScheduleRun {
    /// Injects a fault into random instances.
    pub fn inject(&mut self, fault: &fault::ScheduleFault) {
        match fault {
            fault::ScheduleFault::Crash { count } => {
                for _ in 0..*count {
                    if let Some(index) = self.draw_running() {
                        self.crash(index);
                        let wait = self.draw_millis(500, 5_000);
                        self.schedule(wait, queue::ScheduledStep::Start);
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
                    self.instances[index].partition = self.random.random_range(0..2);
                }
                self.schedule(*duration, queue::ScheduledStep::Heal);
            }
            fault::ScheduleFault::LogOutage { duration } => {
                self.log_outage_until = self.now + *duration;
            }
            fault::ScheduleFault::PlatformCut { duration } => {
                if let Some(index) = self.draw_running() {
                    self.instances[index].platform_cut_until = self.now + *duration;
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

    /// Crashes an instance; the platform's list still shows it for up to a few seconds.
    pub fn crash(&mut self, index: usize) {
        self.instances[index].ended = true;
        let delay = self.draw_millis(500, 4_000);
        let name = self.instances[index].name.clone();
        self.schedule(delay, queue::ScheduledStep::Delist(name));
    }

    /// Suspends an instance. After a long suspension the platform may delist and replace it.
    pub fn freeze(&mut self, index: usize, duration: std_time::Duration) {
        let until = self.now + duration;
        self.instances[index].frozen_until = Some(until);
        self.schedule(duration, queue::ScheduledStep::Unfreeze(index));
        let health_delay = std_time::Duration::from_secs(3);
        if duration > health_delay && self.random.random_bool(0.5) {
            let name = self.instances[index].name.clone();
            self.schedule(health_delay, queue::ScheduledStep::Delist(name));
            self.schedule(health_delay, queue::ScheduledStep::Start);
            let lag = self.draw_millis(500, 10_000);
            self.schedule(duration + lag, queue::ScheduledStep::End(index));
        }
    }

    /// Moves an instance to a network partition, 0 by default; partitions can't reach one another.
    pub fn set_partition(&mut self, index: usize, partition: u8) {
        self.instances[index].partition = partition;
    }

    /// Starts a planned stop of an instance.
    pub fn drain(&mut self, index: usize) {
        let name = self.instances[index].name.clone();
        let delay = self.draw_millis(0, 1_000);
        self.platform.change_list(self.now, delay, name, Some(true));
        self.deliver(index, event::MemberEvent::StartDrain);
    }
}

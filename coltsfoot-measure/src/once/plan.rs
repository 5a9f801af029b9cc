//! Calls and faults that a schedule begins with.

use coltsfoot_wire::once;
use rand::RngExt as _;

use crate::once::caller::CallerCall;
use crate::once::log::{LogOutage, wall_ms};
use crate::once::world::{ScheduleWorld, WorldEvent};

impl ScheduleWorld {
    /// Plans calls, kills, freezes and outages.
    pub(super) fn plan(&mut self) {
        for _ in 0..self.settings.keys {
            self.plan_call();
        }
        let duration_us = self.settings.duration_us;
        let instances = self.settings.instances;
        for _ in 0..self.settings.kills {
            let at_us = self.rng.random_range(0..duration_us);
            let index = self.rng.random_range(0..instances);
            self.push(at_us, WorldEvent::Kill(index));
        }
        for _ in 0..self.settings.freezes {
            let at_us = self.rng.random_range(0..duration_us);
            let frozen_us = self.rng.random_range(50_000..20_000_000);
            let index = self.rng.random_range(0..instances);
            self.push(at_us, WorldEvent::Freeze(index, frozen_us));
        }
        for _ in 0..self.settings.outages {
            let from_us = self.rng.random_range(0..duration_us);
            let until_us = from_us + self.rng.random_range(100_000..8_000_000);
            self.log.outages.push(LogOutage { from_us, until_us });
        }
    }

    fn plan_call(&mut self) {
        let first_us = self.rng.random_range(0..self.settings.duration_us);
        let created_ms = wall_ms(first_us).wrapping_add_signed(self.rng.random_range(-500..500));
        let bits = self.rng.random::<u128>() >> 48;
        let version = 7_u128 << 76;
        let variant = 2_u128 << 62;
        let random = bits & !(0xf_u128 << 76) & !(3_u128 << 62);
        let value = (u128::from(created_ms) << 80) | random | version | variant;
        let key = once::IdempotencyKey(uuid::Uuid::from_u128(value));
        let digest = once::RequestDigest([1; 32]);
        let call = self.add_call(key, digest);
        self.push(first_us, WorldEvent::Send(call));
        if self.rng.random_bool(0.3) {
            let gap_us = self.rng.random_range(0..100_000);
            self.push(first_us + gap_us, WorldEvent::Send(call));
        }
        if self.rng.random_bool(0.2) {
            let other = self.add_call(key, once::RequestDigest([2; 32]));
            let gap_us = self.rng.random_range(0..5_000_000);
            self.push(first_us + gap_us, WorldEvent::Send(other));
        }
    }

    fn add_call(&mut self, key: once::IdempotencyKey, digest: once::RequestDigest) -> usize {
        self.callers.push(CallerCall::new(key, digest));
        self.callers.len() - 1
    }
}

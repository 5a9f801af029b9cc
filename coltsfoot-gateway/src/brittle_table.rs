//! Services whose upstreams fall over if they have to reject too many requests, as their responses state.

use std::sync;
use std::time;

use coltsfoot_types::time as clock;
use rustc_hash::FxHashMap;

/// Time for which a statement holds if no response repeats it.
const STATEMENT_TTL: time::Duration = time::Duration::from_secs(5);
/// Time within which a response without the statement may be older than one with it.
const MAX_DISORDER: time::Duration = time::Duration::from_millis(500);
/// Bounds of the time for which an instance that was rejected sends the upstream nothing.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(250);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(10);
/// Part of an upstream's slots that must be free for an instance to use more than its share.
const SPARE_DIVISOR: u32 = 2;

/// Load of an upstream, and the number of instances that may add to it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRoom {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests of all instances in flight, as far as known.
    pub running: u32,
    /// Requests of this instance in flight.
    pub local: u32,
    /// Instances, this one included.
    pub instances: u32,
}

impl UpstreamRoom {
    /// Returns whether a request of this instance finds room although other instances send at the same time:
    /// each has a share, and may use more while most slots are free.
    fn is_open(self) -> bool {
        let share = (self.slots / self.instances.max(1)).max(1);
        let free = self.slots.saturating_sub(self.running);
        free > 0 && (self.local < share || free > self.slots / SPARE_DIVISOR)
    }
}

/// What the responses of a service's upstreams stated last.
#[derive(Clone, Copy, Debug)]
struct BrittleStatement {
    rejections_per_s: f64,
    stated: clock::MonotonicTime,
}

/// Services that stated that their upstreams are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleTable {
    services: FxHashMap<sync::Arc<str>, BrittleStatement>,
}

impl BrittleTable {
    /// Records what a response stated: how many requests a second an upstream may reject, or nothing. Returns
    /// whether the service is newly brittle.
    pub fn record(
        &mut self,
        now: clock::MonotonicTime,
        service: &sync::Arc<str>,
        rejections_per_s: Option<f64>,
    ) -> bool {
        let was_brittle = self.rejections_per_s(now, service).is_some();
        match rejections_per_s {
            Some(rejections_per_s) => {
                let statement = BrittleStatement { rejections_per_s, stated: now };
                self.services.insert(sync::Arc::clone(service), statement);
                !was_brittle
            }
            None => {
                let known = self.services.get(service);
                if known.is_some_and(|known| now.since(known.stated) >= MAX_DISORDER) {
                    self.services.remove(service);
                }
                false
            }
        }
    }

    /// Returns how many requests a second an upstream of a service may reject; `None` if it is not brittle.
    pub fn rejections_per_s(&self, now: clock::MonotonicTime, service: &str) -> Option<f64> {
        let known = self.services.get(service)?;
        (now.since(known.stated) < STATEMENT_TTL).then_some(known.rejections_per_s)
    }

    /// Returns whether an upstream may be sent another request.
    pub fn may_send(
        &self,
        now: clock::MonotonicTime,
        service: &str,
        room: impl FnOnce() -> UpstreamRoom,
    ) -> bool {
        self.rejections_per_s(now, service).is_none() || room().is_open()
    }

    /// Returns for how long an instance that a brittle upstream has rejected sends it nothing: the more instances
    /// there are, the longer, as the upstream counts the rejections of all.
    pub fn rejection_pause(
        &self,
        now: clock::MonotonicTime,
        service: &str,
        instances: u32,
    ) -> Option<time::Duration> {
        let rejections_per_s = self.rejections_per_s(now, service)?;
        let pause = f64::from(instances) / rejections_per_s.max(f64::MIN_POSITIVE);
        let pause = time::Duration::try_from_secs_f64(pause).unwrap_or(MAX_PAUSE);
        Some(pause.clamp(MIN_PAUSE, MAX_PAUSE))
    }
}

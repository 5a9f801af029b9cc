//! State shared by the threads of one instance.

use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_catalog::view;
use coltsfoot_once::{quarantine, retry_budget};
use coltsfoot_platform::{http, protocol};
use coltsfoot_types::time as instant;

use crate::{clock, control, front, metrics, settings};

/// State that traffic threads read and the control thread updates.
pub struct InstanceShared {
    /// Settings, fixed at the start.
    pub settings: settings::DaemonSettings,
    /// Clock of all timeouts and ages.
    pub clock: clock::RuntimeClock,
    /// Metrics of this instance.
    pub metrics: metrics::MetricSet,
    /// Configuration as of the last applied log record.
    pub catalog: arc_swap::ArcSwap<view::CatalogView>,
    /// Plain services (without engines), as of the last read of the instance list.
    pub services: arc_swap::ArcSwap<Vec<protocol::UpstreamListing>>,
    /// Retry budget of this instance.
    pub retries: sync::Mutex<retry_budget::RetryBudget>,
    /// Requests that are suspected of crashing upstreams.
    pub quarantine: sync::Mutex<quarantine::QuarantineTable>,
    /// Circuit breakers of the plain services.
    pub breakers: front::ServiceBreakers,
    /// Pool of connections to upstreams.
    pub upstreams: http::HttpPool,
    /// Client for requests to the control thread.
    pub control: control::client::ControlClient,
    /// Lifecycle state of the instance.
    pub status: InstanceStatus,
}

impl InstanceShared {
    /// Locks the retry budget, also if a thread has panicked with it.
    pub fn lock_retries(&self) -> sync::MutexGuard<'_, retry_budget::RetryBudget> {
        self.retries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Locks the quarantine, also if a thread has panicked with it.
    pub fn lock_quarantine(&self) -> sync::MutexGuard<'_, quarantine::QuarantineTable> {
        self.quarantine.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Lifecycle state of an instance: readiness, shutdown and running requests.
#[derive(Default)]
pub struct InstanceStatus {
    ready: atomic::AtomicBool,
    draining: atomic::AtomicBool,
    handed_over: atomic::AtomicBool,
    running: atomic::AtomicUsize,
    /// Last time at which the configuration was known to be current, in microseconds of the
    /// process's clock; negative if before its start.
    catalog_current_at: atomic::AtomicI64,
}

impl InstanceStatus {
    /// Marks the configuration as restored.
    pub fn set_ready(&self) {
        self.ready.store(true, atomic::Ordering::Release);
    }

    /// Returns whether the configuration was restored.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Acquire)
    }

    /// Marks the instance as draining; returns false if it already was.
    pub fn set_draining(&self) -> bool {
        !self.draining.swap(true, atomic::Ordering::AcqRel)
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Acquire)
    }

    /// Marks that a draining instance has handed over its ownership.
    pub fn set_handed_over(&self) {
        self.handed_over.store(true, atomic::Ordering::Release);
    }

    /// Returns whether a draining instance has handed over its ownership.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.load(atomic::Ordering::Acquire)
    }

    /// Counts a request until the returned value is dropped.
    pub fn track_request(shared: &sync::Arc<InstanceShared>) -> RunningRequest {
        shared.status.running.fetch_add(1, atomic::Ordering::AcqRel);
        RunningRequest { shared: sync::Arc::clone(shared) }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.load(atomic::Ordering::Acquire)
    }

    /// Records the age of the configuration: the time since it was last known to be current.
    pub fn set_catalog_age(&self, now: instant::MonotonicTime, age: time::Duration) {
        let current_at = now.0 as i64 - age.as_micros() as i64;
        self.catalog_current_at.store(current_at, atomic::Ordering::Release);
    }

    /// Returns the time since the configuration was last known to be current.
    pub fn catalog_age(&self, now: instant::MonotonicTime) -> time::Duration {
        let current_at = self.catalog_current_at.load(atomic::Ordering::Acquire);
        let age = (now.0 as i64).saturating_sub(current_at);
        time::Duration::from_micros(age.max(0) as u64)
    }
}

/// A running request; a graceful shutdown waits until it is dropped.
pub struct RunningRequest {
    shared: sync::Arc<InstanceShared>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.status.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

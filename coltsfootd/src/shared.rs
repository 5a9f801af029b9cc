//! What the threads of one instance share.

use std::sync;
use std::sync::atomic;
use std::time;

use coltsfoot_catalog::view;
use coltsfoot_once::{quarantine, retry_budget};
use coltsfoot_platform::{http, protocol};
use coltsfoot_types::time as instant;

use crate::{clock, control, front, metrics, settings};

/// State that traffic threads read and the control thread replaces.
pub struct InstanceShared {
    /// The settings.
    pub settings: settings::DaemonSettings,
    /// The clock.
    pub clock: clock::RuntimeClock,
    /// The metrics.
    pub metrics: metrics::MetricSet,
    /// The configuration as last folded.
    pub catalog: arc_swap::ArcSwap<view::CatalogView>,
    /// Plain services as last listed.
    pub services: arc_swap::ArcSwap<Vec<protocol::UpstreamListing>>,
    /// Retries that the instance's traffic has earned.
    pub retries: sync::Mutex<retry_budget::RetryBudget>,
    /// Requests suspected of crashing upstreams.
    pub quarantine: sync::Mutex<quarantine::QuarantineTable>,
    /// Circuit breakers of the plain services.
    pub breakers: front::ServiceBreakers,
    /// Connections to upstreams.
    pub upstreams: http::HttpPool,
    /// The control thread.
    pub control: control::client::ControlClient,
    /// Whether the instance takes requests.
    pub status: InstanceStatus,
}

impl InstanceShared {
    /// Locks the retry budget.
    pub fn lock_retries(&self) -> sync::MutexGuard<'_, retry_budget::RetryBudget> {
        self.retries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Locks the quarantine.
    pub fn lock_quarantine(&self) -> sync::MutexGuard<'_, quarantine::QuarantineTable> {
        self.quarantine.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Flags of the instance's life.
#[derive(Default)]
pub struct InstanceStatus {
    ready: atomic::AtomicBool,
    draining: atomic::AtomicBool,
    handed_over: atomic::AtomicBool,
    running: atomic::AtomicUsize,
    /// When the configuration was known to be current, in microseconds on the clock of the process;
    /// before its start if negative.
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

    /// Marks the instance as stopping. Returns whether it was not before.
    pub fn set_draining(&self) -> bool {
        !self.draining.swap(true, atomic::Ordering::AcqRel)
    }

    /// Returns whether the instance is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Acquire)
    }

    /// Marks that a stopping instance owns nothing any more.
    pub fn set_handed_over(&self) {
        self.handed_over.store(true, atomic::Ordering::Release);
    }

    /// Returns whether a stopping instance owns nothing any more.
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

    /// Records how old the configuration is: the time since it was known to be current.
    pub fn set_catalog_age(&self, now: instant::MonotonicTime, age: time::Duration) {
        let current_at = now.0 as i64 - age.as_micros() as i64;
        self.catalog_current_at.store(current_at, atomic::Ordering::Release);
    }

    /// Returns the time since the configuration was known to be current.
    pub fn catalog_age(&self, now: instant::MonotonicTime) -> time::Duration {
        let current_at = self.catalog_current_at.load(atomic::Ordering::Acquire);
        let age = (now.0 as i64).saturating_sub(current_at);
        time::Duration::from_micros(age.max(0) as u64)
    }
}

/// A request that runs; a planned stop waits for it.
pub struct RunningRequest {
    shared: sync::Arc<InstanceShared>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.shared.status.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

//! What the tasks of a gateway share.

use std::net;
use std::sync;
use std::sync::atomic;

use coltsfoot_gateway::{
    fleet_view, order_lease, quota_ledger, reader_selection, rendezvous, route_table, rules,
    zone_relay,
};
use coltsfoot_http::pool;
use coltsfoot_once::retry_budget;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;
use site_platform::{settings, store};

use crate::gateway::{asks, crashes, engines, metrics, news, permits};
use crate::{clock, event};

/// Part of the promised retries that is used, so that instances that miss each other stay within.
const RETRY_SHARE_USED: f64 = 0.8;
/// Instances among which the slack of the retry budget is divided at least.
const MIN_BUDGET_INSTANCES: usize = 6;

/// The state of a gateway.
pub(crate) struct GatewayState {
    pub settings: settings::SiteSettings,
    /// The promised bounds, which may change while the process runs.
    pub bounds: arc_swap::ArcSwap<settings::PromisedBounds>,
    pub clock: clock::RuntimeClock,
    /// Names this process among all that ever ran.
    pub incarnation: u64,
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    pub metrics: metrics::GatewayMetrics,
    pub pool: sync::Arc<pool::ConnectionPool>,
    pub store: store::StoreClient,
    pub routes: arc_swap::ArcSwapOption<route_table::RouteTable>,
    pub view: sync::Mutex<fleet_view::FleetView>,
    pub quota: sync::Mutex<quota_ledger::QuotaLedger>,
    pub retries: sync::Mutex<FxHashMap<sync::Arc<str>, retry_budget::RetryBudget>>,
    pub lease: sync::Mutex<order_lease::OrderLease>,
    pub desks: engines::DeskTable,
    pub loads: asks::OpenAsks<fleet::LoadDecision>,
    pub permits: permits::PermitState,
    pub crashes: crashes::CrashState,
    pub fleet_socket: async_io::Async<net::UdpSocket>,
    /// When the operator's records and the upstreams' entries were read last.
    pub operator_read: sync::Mutex<Option<instant::MonotonicTime>>,
    pub upstreams_read: sync::Mutex<Option<instant::MonotonicTime>>,
    /// What was read of the store, to pass it on.
    pub operator_records: sync::Mutex<news::KnownRecords>,
    pub upstream_records: sync::Mutex<news::KnownRecords>,
    /// Other instances, as the store lists them.
    pub found_peers: sync::Mutex<Vec<fleet_view::zones::ListedInstance>>,
    /// What this instance has gathered of its zone, to tell it as the zone's relay.
    pub digest: sync::Mutex<zone_relay::ZoneAggregator>,
    pub active_requests: atomic::AtomicUsize,
    pub is_stopping: atomic::AtomicBool,
    /// Whether new requests are refused, late in a planned stop.
    pub is_closed: atomic::AtomicBool,
}

impl GatewayState {
    /// Returns the current instant.
    pub fn now(&self) -> instant::MonotonicTime {
        self.clock.now()
    }

    /// Returns the records that are known of a topic.
    pub fn known_records(&self, topic: fleet::StoreTopic) -> &sync::Mutex<news::KnownRecords> {
        match topic {
            fleet::StoreTopic::Operator => &self.operator_records,
            fleet::StoreTopic::Upstreams => &self.upstream_records,
        }
    }

    /// Locks what is known of the fleet.
    pub fn view(&self) -> sync::MutexGuard<'_, fleet_view::FleetView> {
        lock(&self.view)
    }

    /// Locks the lease.
    pub fn lease(&self) -> sync::MutexGuard<'_, order_lease::OrderLease> {
        lock(&self.lease)
    }

    /// Returns the fencing number for an order to an engine of a partition, if one may be given.
    pub fn order_fence(&self, partition: u32) -> Option<u64> {
        self.extend_lease();
        self.lease().order_fence(self.now(), partition)
    }

    /// Lets the other instances of the zone vouch for the lease while the store is out.
    pub fn extend_lease(&self) {
        let witnesses = self.view().witnesses(&self.settings.zone);
        self.lease().extend(self.now(), &witnesses);
    }

    /// Returns this instance's place among those of its zone.
    pub fn own_member(&self) -> fleet_view::zones::OwnMember {
        fleet_view::zones::OwnMember {
            id: self.incarnation,
            capacity: self.settings.capacity(),
            address: self.settings.fleet_address(),
        }
    }

    /// Returns whether a planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(atomic::Ordering::Relaxed)
    }

    /// Returns whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(atomic::Ordering::Relaxed)
    }

    /// Returns the partition of the engines' group that an engine belongs to.
    pub fn partition_of(&self, engine: &str) -> u32 {
        let hash = rendezvous::hash_of(&engine);
        (hash % u64::from(self.settings.store.partitions.max(1))) as u32
    }

    /// Counts a request for a service, which earns a share of a retry.
    pub fn deposit_retry(&self, service: &sync::Arc<str>) {
        self.with_budget(service, retry_budget::RetryBudget::deposit);
    }

    /// Takes a retry; returns false if none is left.
    pub fn withdraw_retry(&self, service: &sync::Arc<str>) -> bool {
        self.with_budget(service, retry_budget::RetryBudget::withdraw)
    }

    /// Returns whether a retry is left.
    pub fn has_retry(&self, service: &sync::Arc<str>) -> bool {
        self.with_budget(service, |budget| budget.has_retry())
    }

    fn with_budget<T>(
        &self,
        service: &sync::Arc<str>,
        change: impl FnOnce(&mut retry_budget::RetryBudget) -> T,
    ) -> T {
        let instances = self.view().peers().count() + 1;
        let mut budgets = lock(&self.retries);
        let budget = budgets
            .entry(sync::Arc::clone(service))
            .or_insert_with(|| retry_budget::RetryBudget::new(self.retry_settings(instances)));
        change(budget)
    }

    fn retry_settings(&self, instances: usize) -> retry_budget::RetrySettings {
        let bounds = self.bounds.load();
        let slack = bounds.retry_budget_slack / instances.max(MIN_BUDGET_INSTANCES) as f64;
        retry_budget::RetrySettings {
            share_permille: (bounds.retry_budget_ratio * RETRY_SHARE_USED * 1000.0) as u64,
            reserve: (slack * RETRY_SHARE_USED).max(1.0) as u64,
        }
    }

    /// Returns what this instance knows of the operator's records.
    pub fn own_operator(&self) -> reader_selection::OwnDigest {
        let version = self.routes.load().as_ref().map_or(0, |routes| routes.rules().version);
        let digest = self.view().version_digest().wrapping_add(rendezvous::hash_of(&version));
        reader_selection::OwnDigest { digest, read_at: *lock(&self.operator_read) }
    }

    /// Returns what this instance knows of the upstreams' entries.
    pub fn own_upstreams(&self) -> reader_selection::OwnDigest {
        let digest = self.view().upstream_digest();
        reader_selection::OwnDigest { digest, read_at: *lock(&self.upstreams_read) }
    }

    /// Returns a reading as it is told to other instances.
    pub fn told_reading(&self, own: reader_selection::OwnDigest) -> fleet::TopicDigest {
        let age = own.read_at.map(|read| self.now().since(read).as_millis());
        let age_ms = age.and_then(|age| u32::try_from(age).ok()).unwrap_or(u32::MAX);
        fleet::TopicDigest { age_ms, digest: own.digest }
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn apply_rules(&self, rules: rules::GatewayRules) -> bool {
        let current = self.routes.load();
        if current.as_ref().is_some_and(|current| current.rules().version >= rules.version) {
            return false;
        }
        let now = self.now();
        {
            let mut quota = lock(&self.quota);
            for customer in &rules.customers {
                log::info!(
                    event = event::QUOTA_SET.number, customer = &*customer.name,
                    rate_per_s = customer.rate_per_s.unwrap_or_default(),
                    burst = customer.burst; "quota_set"
                );
                let limit = customer.rate_per_s.map(|rate_per_s| quota_ledger::QuotaLimit {
                    rate_per_s,
                    burst: customer.burst,
                });
                quota.set_limit(now, &customer.name, limit);
            }
        }
        self.routes.store(Some(sync::Arc::new(route_table::RouteTable::new(rules))));
        true
    }
}

/// Locks a mutex; the state behind it stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

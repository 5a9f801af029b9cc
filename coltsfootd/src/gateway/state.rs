//! State shared by the tasks of a gateway.

use std::net;
use std::sync;
use std::time;

use coltsfoot_gateway::{
    duration_estimate, fleet_view, lease_table, order_lease, origin_ledger, outage_tracker,
    part_ledger, quarantine_archive, quota_ledger, reader_selection, rendezvous, route_table,
    rules, step_tracker, stop_plan, topic_replica, zone_relay,
};
use coltsfoot_http::pool;
use coltsfoot_once::retry_budget;
use coltsfoot_types::time as instant;
use coltsfoot_wire::fleet;
use rustc_hash::FxHashMap;
use site_platform::{settings, store};

use crate::gateway::{
    caller_table, crashes, engines, follower, memory, metrics, origins, pending_calls, permits,
    stop,
};
use crate::{clock, event, task};

/// Fraction of the fleet's retry budget that is used, so that the bound holds while some instances
/// do not know of each other.
const RETRY_SHARE_USED: f64 = 0.8;
/// Bounds of the time for which it is remembered which version began a stream.
const MIN_TAKE_UP_WINDOW: time::Duration = time::Duration::from_secs(10);
const MAX_TAKE_UP_WINDOW: time::Duration = time::Duration::from_secs(60);
/// Minimum number of instances that the reserve of the retry budget is divided among.
const MIN_BUDGET_INSTANCES: usize = 6;

/// All state of a gateway process, shared behind an `Arc`.
pub(crate) struct GatewayState {
    pub settings: settings::SiteSettings,
    /// Bounds that the gateway guarantees; reloaded at run time.
    pub bounds: arc_swap::ArcSwap<settings::OperatingBounds>,
    pub clock: clock::RuntimeClock,
    /// Random id of this process, new at each start.
    pub incarnation: u64,
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    pub metrics: metrics::GatewayMetrics,
    pub pool: sync::Arc<pool::ConnectionPool>,
    pub store: store::StoreClient,
    /// Memory that messages may hold.
    pub memory: memory::MessageMemory,
    /// Open connections of callers.
    pub callers: sync::Arc<caller_table::CallerTable>,
    pub routes: arc_swap::ArcSwapOption<route_table::RouteTable>,
    pub view: sync::Mutex<fleet_view::FleetView>,
    pub quota: sync::Mutex<quota_ledger::QuotaLedger>,
    pub retries: sync::Mutex<FxHashMap<sync::Arc<str>, retry_budget::RetryBudget>>,
    /// Durations of requests that may not be repeated, by route.
    pub durations: sync::Mutex<FxHashMap<sync::Arc<str>, duration_estimate::DurationEstimate>>,
    pub lease: sync::Mutex<lease_table::LeaseTable>,
    pub controllers: engines::ControllerTable,
    pub loads: pending_calls::PendingCalls<fleet::LoadDecision>,
    pub permits: permits::PermitState,
    pub crashes: crashes::CrashState,
    /// Prompt parts that crash engines.
    pub parts: sync::Mutex<part_ledger::PartLedger>,
    /// Updates of the store's records of quarantines.
    pub archive: sync::Mutex<quarantine_archive::QuarantineArchive>,
    /// Versions of software that began streams.
    pub origins: sync::Mutex<origin_ledger::OriginLedger>,
    /// Whether this instance is in step with the others.
    pub steps: sync::Mutex<step_tracker::StepTracker>,
    pub origin_reader: async_lock::Mutex<origins::OriginReader>,
    pub fleet_socket: async_io::Async<net::UdpSocket>,
    /// Time of the last successful read of the operator's records and of the upstreams' entries.
    pub operator_read_at: sync::Mutex<Option<instant::MonotonicTime>>,
    pub upstreams_read_at: sync::Mutex<Option<instant::MonotonicTime>>,
    /// Copies of the store's topics, also for peers that can't read it.
    pub operator_replica: sync::Mutex<topic_replica::TopicReplica>,
    pub upstream_replica: sync::Mutex<topic_replica::TopicReplica>,
    /// Upstreams whose entries have expired and that are still used, by id.
    pub removals: sync::Mutex<FxHashMap<String, follower::PendingRemoval>>,
    /// Outages of the store, after which they are.
    pub outages: sync::Mutex<outage_tracker::OutageTracker>,
    /// Other instances that are registered in the store.
    pub listed_peers: sync::Mutex<Vec<fleet_view::zones::ListedInstance>>,
    /// Totals of this zone, sent to other zones while this instance is the zone's relay.
    pub zone_aggregator: sync::Mutex<zone_relay::ZoneAggregator>,
    pub stop: stop::StopState,
    /// Connections of callers that are being refused for want of room.
    pub refusals: stop::OpenCounter,
    /// Tunnels of other instances that this one serves.
    pub tunnels: stop::OpenCounter,
    /// Maximum number of them.
    pub max_tunnels: usize,
}

impl GatewayState {
    /// Returns the time since boot, including time suspended.
    pub fn now(&self) -> instant::MonotonicTime {
        self.clock.now()
    }

    /// Starts a task; reports it by its name whenever it holds the thread for long.
    pub fn spawn(
        self: &sync::Arc<Self>,
        name: &'static str,
        future: impl Future<Output = ()> + Send + 'static,
    ) {
        let clock = self.clock.clone();
        let state = sync::Arc::clone(self);
        let report = move |held: time::Duration| {
            state.metrics.count_held_thread(name);
            log::warn!(
                event = event::THREAD_HELD.number, task = name, held_ms = held.as_millis() as u64;
                "thread_held"
            );
        };
        self.executor.spawn(task::watch_holds(future, move || clock.now(), report)).detach();
    }

    /// Returns the copy of a topic.
    pub fn replica(&self, topic: fleet::StoreTopic) -> &sync::Mutex<topic_replica::TopicReplica> {
        match topic {
            fleet::StoreTopic::Operator => &self.operator_replica,
            fleet::StoreTopic::Upstreams => &self.upstream_replica,
        }
    }

    /// Returns when upstreams without an entry are removed: now, or after the grace period of an outage.
    pub fn removal_time(&self, now: instant::MonotonicTime) -> instant::MonotonicTime {
        lock(&self.outages).remove_at(now)
    }

    /// Locks this instance's view of the fleet.
    pub fn view(&self) -> sync::MutexGuard<'_, fleet_view::FleetView> {
        lock(&self.view)
    }

    /// Locks the ledger of prompt parts that crash engines.
    pub fn part_ledger(&self) -> sync::MutexGuard<'_, part_ledger::PartLedger> {
        lock(&self.parts)
    }

    /// Locks the updates of the store's records of quarantines.
    pub fn archive(&self) -> sync::MutexGuard<'_, quarantine_archive::QuarantineArchive> {
        lock(&self.archive)
    }

    /// Locks the ledger of the versions that began streams.
    pub fn origin_ledger(&self) -> sync::MutexGuard<'_, origin_ledger::OriginLedger> {
        lock(&self.origins)
    }

    /// Locks the leases on this instance's partitions.
    pub fn lease(&self) -> sync::MutexGuard<'_, lease_table::LeaseTable> {
        lock(&self.lease)
    }

    /// Returns the fencing number for an order to an engine of a zone's partition that was decided on in a
    /// tenure, if one may be given.
    pub fn order_fence(
        &self,
        zone: &str,
        partition: u32,
        tenure: order_lease::LeaseTenure,
    ) -> Option<u64> {
        self.extend_lease();
        self.lease().zone(zone)?.order_fence(self.now(), partition, tenure)
    }

    /// Extends the lease during a store outage, if all other instances of the zone report it and
    /// none claims the same partitions.
    pub fn extend_lease(&self) {
        let peer_leases = self.view().peer_leases(&self.settings.zone);
        self.lease().own_mut().extend(self.now(), &peer_leases);
    }

    /// Returns this instance as a member of its zone.
    pub fn own_member(&self) -> fleet_view::zones::OwnMember {
        fleet_view::zones::OwnMember {
            id: self.incarnation,
            capacity: self.settings.cpu_permille(),
            address: self.settings.fleet_address(),
        }
    }

    /// Returns whether an address is that of an instance, which would forward a request back: one of its
    /// own, or the same port at another instance.
    pub fn is_instance_address(&self, address: net::SocketAddr) -> bool {
        let listen = &self.settings.listen;
        let fleet = self.settings.fleet_address();
        let own = [listen.callers, listen.readiness, fleet];
        let has_own_port = own.iter().any(|own| own.port() == address.port());
        has_own_port
            && (own.contains(&address)
                || lock(&self.listed_peers).iter().any(|peer| peer.address.ip() == address.ip()))
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.phase() >= stop_plan::StopPhase::Serving
    }

    /// Returns whether new requests are refused.
    pub fn is_rejecting(&self) -> bool {
        self.stop.phase() >= stop_plan::StopPhase::Closing
    }

    /// Returns the partition that an engine is hashed to.
    pub fn partition_of(&self, engine: &str) -> u32 {
        let hash = rendezvous::hash_of(&engine);
        (hash % u64::from(self.settings.store.partitions.max(1))) as u32
    }

    /// Deposits a request's share of a retry into the budget of its service.
    pub fn deposit_retry(&self, service: &sync::Arc<str>) {
        self.with_budget(service, retry_budget::RetryBudget::deposit);
    }

    /// Withdraws a retry from the budget of a service; returns false if none is left.
    pub fn withdraw_retry(&self, service: &sync::Arc<str>) -> bool {
        self.with_budget(service, retry_budget::RetryBudget::withdraw)
    }

    /// Returns whether the budget of a service has a retry left.
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
            ratio_permille: (bounds.retry_budget_ratio * RETRY_SHARE_USED * 1000.0) as u64,
            max_saved_retries: (slack * RETRY_SHARE_USED).max(1.0) as u64,
        }
    }

    /// Returns digest and read time of the operator's records.
    pub fn own_operator_digest(&self) -> reader_selection::OwnDigest {
        let version = self.routes.load().as_ref().map_or(0, |routes| routes.rules().version);
        let view = self.view();
        // Zero without evacuated zones: a build that does not know them agrees then.
        let records = view.version_digest().wrapping_add(view.evacuations().digest());
        drop(view);
        let digest = records.wrapping_add(rendezvous::hash_of(&version));
        reader_selection::OwnDigest { digest, read_at: *lock(&self.operator_read_at) }
    }

    /// Returns digest and read time of the upstreams' entries.
    pub fn own_upstream_digest(&self) -> reader_selection::OwnDigest {
        let digest = self.view().upstream_digest();
        reader_selection::OwnDigest { digest, read_at: *lock(&self.upstreams_read_at) }
    }

    /// Converts a digest to its wire form, with its age instead of the local read time.
    pub fn to_topic_digest(&self, own_digest: reader_selection::OwnDigest) -> fleet::TopicDigest {
        let age = own_digest.read_at.map(|read| self.now().since(read).as_millis());
        let age_ms = age.and_then(|age| u32::try_from(age).ok()).unwrap_or(u32::MAX);
        fleet::TopicDigest { age_ms, digest: own_digest.digest }
    }

    /// Applies a configuration; returns false if the current one is as new.
    pub fn apply_rules(&self, rules: rules::GatewayRules) -> bool {
        let current = self.routes.load();
        if current.as_ref().is_some_and(|current| current.rules().version >= rules.version) {
            return false;
        }
        let now = self.now();
        self.origin_ledger().set_window(take_up_window(&rules));
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
        self.view().cold_mut().set_services(&rules.services);
        self.routes.store(Some(sync::Arc::new(route_table::RouteTable::new(rules))));
        true
    }
}

/// Returns the longest time from the first event of a stream until its caller takes it up: two attempts, each
/// up to its route's timeout.
fn take_up_window(rules: &rules::GatewayRules) -> time::Duration {
    let resumable = rules.routes.iter().filter(|route| route.is_resumable);
    let longest = resumable.map(|route| route.timeout).max().unwrap_or_default();
    (longest * 2).clamp(MIN_TAKE_UP_WINDOW, MAX_TAKE_UP_WINDOW)
}

/// Locks a mutex, also one poisoned by a panic in another task.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

//! State machine of an engine cell's owner.

use std::collections;

use coltsfoot_quota::{fair_queue, queue_entry};
use coltsfoot_types::{adapter, id, name, time as clock};
use coltsfoot_wire::placement;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::engine;
use crate::engine_orders;
use crate::event;
use crate::eviction;
use crate::grant_pool;
use crate::loading;
use crate::popularity;
use crate::settings;
use crate::takeover;

/// Actions returned for one event.
pub type CellActions = SmallVec<[event::CellAction; 4]>;

/// Schedules requests and adapter loads on the engines of one cell.
///
/// Every instance that may own the cell has one. Without a valid lease it refuses permits with
/// [`placement::PermitRefusalReason::NotOwner`] and orders nothing.
#[derive(Debug)]
pub struct EngineCell {
    pub(crate) settings: settings::CellSettings,
    pub(crate) lease: Option<event::CellLease>,
    /// Whether the waiting requests were admitted under the current lease.
    pub(crate) started: bool,
    pub(crate) engines: collections::BTreeMap<name::UpstreamName, engine::EngineState>,
    pub(crate) waits: FxHashMap<id::RequestId, engine::WaitingPermit>,
    pub(crate) deadlines: collections::BTreeSet<(clock::MonotonicTime, id::RequestId)>,
    pub(crate) permits: FxHashMap<id::AttemptId, engine::OutstandingPermit>,
    pub(crate) popularity: popularity::PopularityTable,
    /// Replica counts of the adapters with more than one replica, updated on each tick.
    pub(crate) replica_counts: FxHashMap<adapter::AdapterVersion, u32>,
    pub(crate) demands: FxHashMap<adapter::AdapterVersion, loading::LoadDemand>,
    /// One entry for each demand without a load in progress.
    pub(crate) load_queue: fair_queue::FairQueue<adapter::AdapterVersion>,
    pub(crate) retries: collections::BTreeSet<(clock::MonotonicTime, adapter::AdapterVersion)>,
    /// Adapters whose last load attempt failed, with the time until which requests are refused.
    pub(crate) failed_loads: collections::BTreeMap<adapter::AdapterVersion, clock::MonotonicTime>,
    pub(crate) replica_candidates: collections::BTreeSet<adapter::AdapterVersion>,
    pub(crate) orders: collections::BTreeMap<event::OrderId, engine_orders::RunningOrder>,
    pub(crate) next_order: u64,
    pub(crate) load_grants: grant_pool::GrantPool,
    pub(crate) takeover: takeover::TakeoverState,
    pub(crate) counters: CellCounters,
}

/// Counters of an engine cell since it was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CellCounters {
    /// Permits granted.
    pub permits: u64,
    /// Requests that had to wait for a load of their adapter.
    pub load_stalls: u64,
    /// Loads ordered for waiting requests.
    pub demand_loads: u64,
    /// Loads ordered for additional replicas.
    pub replica_loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Evictions ordered.
    pub evictions: u64,
    /// Answers for another adapter, version or attempt than requested.
    pub wrong_answers: u64,
}

/// Number of entries in an engine cell's tables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellSizes {
    /// Adapters whose popularity is tracked.
    pub tracked_adapters: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Outstanding permits.
    pub permits: usize,
}

impl EngineCell {
    /// Creates a cell without engines or owner.
    pub fn new(settings: settings::CellSettings) -> Self {
        let limits = Self::queue_limits(&settings);
        Self {
            lease: None,
            started: false,
            engines: collections::BTreeMap::new(),
            waits: FxHashMap::default(),
            deadlines: collections::BTreeSet::new(),
            permits: FxHashMap::default(),
            popularity: popularity::PopularityTable::new(settings.popularity_half_life),
            replica_counts: FxHashMap::default(),
            demands: FxHashMap::default(),
            load_queue: fair_queue::FairQueue::new(limits),
            retries: collections::BTreeSet::new(),
            failed_loads: collections::BTreeMap::new(),
            replica_candidates: collections::BTreeSet::new(),
            orders: collections::BTreeMap::new(),
            next_order: 0,
            load_grants: grant_pool::GrantPool::default(),
            takeover: takeover::TakeoverState::default(),
            counters: CellCounters::default(),
            settings,
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn handle(&mut self, now: clock::MonotonicTime, event: event::CellEvent) -> CellActions {
        let mut actions = CellActions::new();
        self.start_lease(now, &mut actions);
        self.apply(now, event, &mut actions);
        self.start_lease(now, &mut actions);
        if self.fencing(now).is_some() {
            self.plan_loads(now, &mut actions);
        }
        actions
    }

    /// Returns the counters since the cell was created.
    pub fn counters(&self) -> CellCounters {
        self.counters
    }

    /// Returns the number of entries in the cell's tables.
    pub fn sizes(&self) -> CellSizes {
        CellSizes {
            tracked_adapters: self.popularity.len(),
            waiting: self.waits.len(),
            permits: self.permits.len(),
        }
    }

    /// Returns whether an adapter is resident on an engine, as far as the cell knows.
    pub fn is_resident(
        &self,
        engine: &name::UpstreamName,
        adapter: &adapter::AdapterVersion,
    ) -> bool {
        self.engines.get(engine).is_some_and(|engine| engine.holds(adapter))
    }

    /// Returns the fencing number while this instance holds a valid lease on the cell.
    pub(crate) fn fencing(&self, now: clock::MonotonicTime) -> Option<id::FencingNumber> {
        let lease = self.lease?;
        (lease.active_from <= now && now < lease.until).then_some(lease.fencing)
    }

    pub(crate) fn queue_limits(settings: &settings::CellSettings) -> queue_entry::QueueLimits {
        queue_entry::QueueLimits::builder()
            .max_entries(settings.max_waiting)
            .max_customer_entries(settings.max_waiting)
            .build()
    }

    /// Returns whether each engine's pin count equals the number of its outstanding permits.
    fn pins_match_permits(&self) -> bool {
        let mut permits = FxHashMap::<&name::UpstreamName, u32>::default();
        for permit in self.permits.values() {
            *permits.entry(&permit.engine).or_default() += 1;
        }
        self.engines.iter().all(|(name, engine)| {
            let pins = engine.pins.values().sum::<u32>();
            pins == engine.running && pins == permits.get(name).copied().unwrap_or(0)
        })
    }

    fn apply(
        &mut self,
        now: clock::MonotonicTime,
        event: event::CellEvent,
        actions: &mut CellActions,
    ) {
        use event::CellEvent;
        match event {
            CellEvent::PermitRequested { instance, demand } => {
                self.request_permit(now, instance, demand, actions);
            }
            CellEvent::PermitReleased { release, .. } => self.release(now, &release, actions),
            CellEvent::PermitCancelled { attempt } => self.cancel_wait(attempt),
            CellEvent::PermitsReported { instance, fencing, permits } => {
                self.accept_report(now, &instance, fencing, permits);
            }
            CellEvent::InstanceDead { instance } => self.remove_instance(now, &instance),
            CellEvent::LoadEnded { order, outcome } => {
                self.end_load(now, order, outcome, actions);
            }
            CellEvent::UnloadEnded { order, outcome } => {
                self.end_unload(now, order, outcome, actions);
            }
            CellEvent::EngineListed { engine } => self.list_engine(now, engine),
            CellEvent::EngineLeaving { engine } => self.retire_engine(now, &engine, actions),
            CellEvent::EngineRemoved { engine } => self.remove_engine(now, &engine, actions),
            CellEvent::EngineReported { engine, report } => {
                self.reconcile(now, &engine, report, actions);
            }
            CellEvent::OwnershipGained { lease, reporters, unknown_permits } => {
                self.gain_ownership(now, lease, reporters, unknown_permits, actions);
            }
            CellEvent::OwnershipRenewed { until } => self.renew(now, until),
            CellEvent::OwnershipLost => self.lose_ownership(actions),
            CellEvent::LoadGranted { grant, start_within } => {
                self.load_grants.add(now, grant, start_within);
            }
            CellEvent::Tick => self.tick(now, actions),
        }
    }

    fn tick(&mut self, now: clock::MonotonicTime, actions: &mut CellActions) {
        if self.fencing(now).is_none() {
            return;
        }
        assert!(self.pins_match_permits(), "pins differ from the outstanding permits");
        self.expire_waits(now, actions);
        self.expire_permits(now, actions);
        self.repeat_report_requests(now, actions);
        self.detect_slow_engines(now);
        self.failed_loads.retain(|_, until| now < *until);
        self.popularity.sweep(now);
        self.replica_counts = eviction::count_replicas(now, &self.engines);
        self.serve_all(now, actions);
    }
}

pub(crate) fn refuse(
    wait: &engine::WaitingPermit,
    reason: placement::PermitRefusalReason,
    retry_after: std::time::Duration,
) -> event::CellAction {
    event::CellAction::Refuse {
        instance: wait.instance.clone(),
        refusal: placement::PermitRefusal { attempt: wait.attempt, reason, retry_after },
    }
}

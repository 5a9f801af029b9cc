//! The owner's machine for one engine cell.

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

/// Actions of one event.
pub type CellActions = SmallVec<[event::CellAction; 4]>;

/// The owner's machine for one engine cell.
///
/// It exists on every instance that may own the cell; without a running lease it refuses permits
/// with [`placement::PermitRefusalReason::NotOwner`] and orders nothing.
#[derive(Debug)]
pub struct EngineCell {
    pub(crate) settings: settings::CellSettings,
    pub(crate) lease: Option<event::CellLease>,
    /// Whether the waiting requests were admitted under the running lease.
    pub(crate) started: bool,
    pub(crate) engines: collections::BTreeMap<name::UpstreamName, engine::EngineState>,
    pub(crate) waits: FxHashMap<id::RequestId, engine::WaitingPermit>,
    pub(crate) deadlines: collections::BTreeSet<(clock::MonotonicTime, id::RequestId)>,
    pub(crate) permits: FxHashMap<id::AttemptId, engine::OutstandingPermit>,
    pub(crate) popularity: popularity::PopularityTable,
    /// Adapters with several replicas, and their number at the last tick.
    pub(crate) replica_counts: FxHashMap<adapter::AdapterVersion, u32>,
    pub(crate) demands: FxHashMap<adapter::AdapterVersion, loading::LoadDemand>,
    /// One entry for each demand that has no load on its way.
    pub(crate) load_queue: fair_queue::FairQueue<adapter::AdapterVersion>,
    pub(crate) retries: collections::BTreeSet<(clock::MonotonicTime, adapter::AdapterVersion)>,
    /// Adapters whose loads failed lately, and until when requests for them are refused.
    pub(crate) failed_loads: collections::BTreeMap<adapter::AdapterVersion, clock::MonotonicTime>,
    pub(crate) replica_candidates: collections::BTreeSet<adapter::AdapterVersion>,
    pub(crate) orders: collections::BTreeMap<event::OrderId, engine_orders::RunningOrder>,
    pub(crate) next_order: u64,
    pub(crate) load_grants: grant_pool::GrantPool,
    pub(crate) takeover: takeover::TakeoverState,
    pub(crate) counters: CellCounters,
}

/// Counts of an engine cell since it was built.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CellCounters {
    /// Permits given.
    pub permits: u64,
    /// Requests that waited for a load of their adapter.
    pub load_stalls: u64,
    /// Loads ordered for waiting requests.
    pub demand_loads: u64,
    /// Loads ordered for further replicas.
    pub replica_loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapters evicted.
    pub evictions: u64,
    /// Answers that named another adapter, version or attempt.
    pub wrong_answers: u64,
}

/// Sizes of what an engine cell keeps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellSizes {
    /// Adapters whose popularity is counted.
    pub tracked_adapters: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Permits out.
    pub permits: usize,
}

impl EngineCell {
    /// Builds a cell without engines that nobody owns.
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

    /// Takes an event and returns what is to be done.
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

    /// Returns the counts since the cell was built.
    pub fn counters(&self) -> CellCounters {
        self.counters
    }

    /// Returns the sizes of what the cell keeps.
    pub fn sizes(&self) -> CellSizes {
        CellSizes {
            tracked_adapters: self.popularity.len(),
            waiting: self.waits.len(),
            permits: self.permits.len(),
        }
    }

    /// Returns whether an adapter is known to be resident on an engine.
    pub fn is_resident(
        &self,
        engine: &name::UpstreamName,
        adapter: &adapter::AdapterVersion,
    ) -> bool {
        self.engines.get(engine).is_some_and(|engine| engine.holds(adapter))
    }

    /// Returns the fencing number if this instance owns the cell at the moment.
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

    /// Returns whether each engine's pins are those of the permits that are out.
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
            CellEvent::PermitWanted { instance, demand } => {
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
        assert!(self.pins_match_permits(), "pins differ from the permits that are out");
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

/// Builds a refusal.
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

//! Updates the state of an engine from its reports and from requests that found an adapter missing.

use coltsfoot_types::time as clock;

use crate::engine_controller::{
    EngineController, LATE_LOAD_EXTENSION, MAX_LOAD_TIME, MAX_REPORT_AGE, PENDING_LOAD_TIME,
    PlacedAdapter, REPORT_INTERVAL,
};
use crate::{demand, upstream};

impl<A: Clone + PartialEq> EngineController<A> {
    /// Applies a report; `None` if the query failed.
    pub fn report_ended(
        &mut self,
        now: clock::MonotonicTime,
        report: Option<&upstream::EngineReport>,
    ) {
        let Some(report) = report else {
            self.next_report = now + MAX_REPORT_AGE;
            return;
        };
        self.next_report = now + REPORT_INTERVAL;
        self.reported = Some(now);
        if self.order_count.is_some_and(|count| report.order_count < count) {
            // The report predates the last orders.
            return;
        }
        let is_same = self.order_count == Some(report.order_count);
        self.order_count = Some(report.order_count);
        self.has_model = report.models.contains(&self.model);
        if self.has_model || !report.is_busy {
            self.model_ready_at = None;
        }
        if is_same {
            self.update_versions(now, report);
        } else {
            self.replace_residents(now, report);
        }
    }

    /// Sets the versions of adapters that were ordered without naming a version.
    fn update_versions(&mut self, now: clock::MonotonicTime, report: &upstream::EngineReport) {
        for held in &report.adapters {
            if let Some(placed) = self.placed.get_mut(&held.name.key())
                && now >= placed.ready_at
            {
                placed.version = held.version.max(placed.version);
            }
        }
    }

    fn replace_residents(&mut self, now: clock::MonotonicTime, report: &upstream::EngineReport) {
        self.has_changed = true;
        // Done or void by now: the engine rejects it, as its order count has changed since. Repeated with the
        // new count, an old decision would be carried out on a new state.
        self.unanswered = None;
        let before = std::mem::take(&mut self.placed);
        self.unloading = None;
        let ready = report.adapters.iter().map(|held| (held, now));
        let pending = report.pending.iter().map(|held| (held, now + PENDING_LOAD_TIME));
        for (held, ready_at) in pending.chain(ready) {
            let key = held.name.key();
            let last_used = before.get(&key).map_or(now, |placed| placed.last_used);
            let name = held.name.clone();
            let version = held.version;
            let (ordered, fetch) = (now, None);
            let placed = PlacedAdapter {
                name,
                version,
                ordered,
                ready_at,
                fetch,
                reserved_until: ready_at,
                last_used,
            };
            self.placed.insert(key, placed);
            self.remember_warm(key);
        }
    }

    /// Handles a request that found an adapter missing that should have been ready: either its load takes
    /// longer, or the known state of the engine is wrong and a report is needed.
    pub fn found_missing(&mut self, now: clock::MonotonicTime, key: demand::AdapterKey) {
        let Some(placed) = self.placed.get_mut(&key) else { return };
        if now < placed.ready_at {
            return;
        }
        if now.since(placed.ordered) < MAX_LOAD_TIME {
            placed.ready_at = now + LATE_LOAD_EXTENSION;
            if let Some(fetch) = &mut placed.fetch {
                fetch.actual = placed.ready_at.since(placed.ordered);
            }
        } else if self.order_count.is_some() {
            self.resync(now);
        }
        self.has_changed = true;
    }
}

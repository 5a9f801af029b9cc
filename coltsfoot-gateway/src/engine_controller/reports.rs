//! Updates the state of an engine from its reports and from requests that found an adapter missing.

use std::time;

use coltsfoot_types::time as clock;

use crate::engine_controller::{
    AdapterReadiness, EngineController, LATE_LOAD_EXTENSION, MAX_LOAD_TIME, MAX_REPORT_AGE,
    PENDING_LOAD_TIME, PlacedAdapter, REPORT_INTERVAL,
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
                placed.readiness = AdapterReadiness::Reported;
            }
        }
    }

    fn replace_residents(&mut self, now: clock::MonotonicTime, report: &upstream::EngineReport) {
        self.has_changed = true;
        // Done or void by now: the engine rejects it, as its order count has changed since. Repeated with the
        // new count, an old decision would be carried out on a new state.
        self.unanswered = None;
        let mut before = std::mem::take(&mut self.placed);
        self.unloading = None;
        let ready = report.adapters.iter().map(|held| (held, now, AdapterReadiness::Reported));
        let pending = report.pending.iter();
        let pending =
            pending.map(|held| (held, now + PENDING_LOAD_TIME, AdapterReadiness::Expected));
        for (held, ready_at, readiness) in pending.chain(ready) {
            let key = held.name.key();
            let last_used = before.get(&key).map_or(now, |placed| placed.last_used);
            // An adapter that was pending when the report was written may be loaded by now.
            if let Some(placed) = before.remove(&key).filter(|placed| {
                readiness == AdapterReadiness::Expected
                    && placed.version == held.version
                    && now < placed.ready_at + MAX_REPORT_AGE
            }) {
                self.placed.insert(key, placed);
                continue;
            }
            let name = held.name.clone();
            let version = held.version;
            let (ordered, fetch) = (now, None);
            let placed = PlacedAdapter {
                name,
                version,
                ordered,
                ready_at,
                readiness,
                fetch,
                reserved_until: ready_at,
                last_used,
            };
            self.placed.insert(key, placed);
            self.remember_warm(key);
        }
    }

    /// Handles a request that found an adapter missing that should have been ready: either its load takes
    /// longer, or the known state of the engine is wrong and a report is needed. Returns the time until the
    /// load is expected to end now; `None` if that is no news, or if no load is in progress.
    pub fn found_missing(
        &mut self,
        now: clock::MonotonicTime,
        key: demand::AdapterKey,
    ) -> Option<time::Duration> {
        let placed = self.placed.get_mut(&key)?;
        if now < placed.ready_at {
            return None;
        }
        self.has_changed = true;
        let elapsed = now.since(placed.ordered);
        if elapsed >= MAX_LOAD_TIME {
            if self.order_count.is_some() {
                self.resync(now);
            }
            return None;
        }
        let expected = placed.fetch.map_or(elapsed, |fetch| fetch.expected);
        let extension = LATE_LOAD_EXTENSION.max(elapsed.saturating_sub(expected) / 2);
        placed.extend_load(now + extension);
        if placed.fetch.is_some() {
            let (ordered, ready_at) = (placed.ordered, placed.ready_at);
            self.extend_later_fetches(now, ordered, ready_at.since(ordered));
        }
        Some(extension)
    }

    /// Extends the fetches that started after one which is late: the weight store slows them down as well.
    fn extend_later_fetches(
        &mut self,
        now: clock::MonotonicTime,
        ordered: clock::MonotonicTime,
        duration: time::Duration,
    ) {
        let later = self.placed.values_mut().filter(|placed| {
            placed.fetch.is_some() && placed.ordered > ordered && now < placed.ready_at
        });
        for placed in later {
            let ready_at = placed.ordered + duration;
            if ready_at > placed.ready_at {
                placed.extend_load(ready_at);
            }
        }
    }
}

impl PlacedAdapter {
    /// Records that the adapter is expected only at `ready_at`.
    fn extend_load(&mut self, ready_at: clock::MonotonicTime) {
        self.ready_at = ready_at;
        self.readiness = AdapterReadiness::Expected;
        self.reserved_until = self.reserved_until.max(ready_at);
        if let Some(fetch) = &mut self.fetch {
            fetch.actual = ready_at.since(self.ordered);
        }
    }
}

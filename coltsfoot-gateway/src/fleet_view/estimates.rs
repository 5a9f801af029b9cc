//! What upstreams state of themselves, what this instance measures, and what instances tell each other of it.

use std::sync;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;

use crate::{engine_choice, engine_estimate, upstream_slot};

use super::FleetView;

/// Most upstreams in one message, so that it fits one packet.
const MAX_TOLD_UPSTREAMS: usize = 64;
/// Share of failed requests from which on an upstream counts as failing in the log.
const FAILING_RATE: f64 = 0.2;

/// Estimates to tell other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EstimateNews {
    /// Upstreams at which requests failed.
    Failures,
    /// Those, and upstreams whose times this instance has measured.
    All,
}

impl FleetView {
    /// Records the load that a response of an upstream stated.
    pub fn record_load(
        &mut self,
        now: clock::MonotonicTime,
        id: &str,
        load: engine_estimate::LoadStatement,
    ) {
        let Some(slot) = self.upstreams.get_mut(id) else { return };
        // Without their pace, an upstream's own speed can't be told from spells in which its host is busy.
        if load.pace.is_some() && !self.service_estimates.contains_key(&slot.entry.service) {
            let service = sync::Arc::clone(&slot.entry.service);
            self.service_estimates.insert(service, engine_estimate::ServiceEstimate::default());
        }
        slot.estimate.record_statement(now, load, slot.local.running);
    }

    /// Returns the time of a service's upstreams as a multiple of the one expected without any samples; `None`
    /// if their responses do not state their pace.
    pub fn service_factor(&self, service: &str) -> Option<f64> {
        self.service_estimates.get(service).map(engine_estimate::ServiceEstimate::factor)
    }

    /// Records the time in milliseconds to the first event of a stream.
    pub fn first_event_timed(
        &mut self,
        now: clock::MonotonicTime,
        chosen: &engine_choice::ChosenUpstream,
        elapsed_ms: f64,
    ) {
        if self.response_timed(now, chosen, elapsed_ms) {
            return;
        }
        if let Some(slot) = self.upstreams.get_mut(&chosen.id) {
            slot.record_slowness(
                elapsed_ms / chosen.expected_ms.max(engine_choice::FIRST_EVENT_MS),
            );
        }
    }

    /// Records the time in milliseconds to a whole response, or to the first event of a stream; returns false if
    /// the service's responses do not state their pace.
    pub fn response_timed(
        &mut self,
        now: clock::MonotonicTime,
        chosen: &engine_choice::ChosenUpstream,
        elapsed_ms: f64,
    ) -> bool {
        let Some(slot) = self.upstreams.get_mut(&chosen.id) else { return false };
        let Some(service) = self.service_estimates.get_mut(&slot.entry.service) else {
            return false;
        };
        if let Some(log) = service.record(elapsed_ms / chosen.prior_ms) {
            slot.estimate.record_speed(now, log);
        }
        slot.estimate.record_slowness(now, elapsed_ms / chosen.expected_ms);
        true
    }

    /// Returns what to tell other instances, as the instance `sender`; `None` if there is no news.
    pub fn estimates_to_tell(
        &mut self,
        now: clock::MonotonicTime,
        sender: u64,
        news: EstimateNews,
    ) -> Option<fleet::UpstreamEstimates> {
        let is_told = |slot: &upstream_slot::UpstreamSlot, news| match news {
            EstimateNews::Failures => slot.estimate.has_failure_news(now),
            EstimateNews::All => slot.estimate.has_speed_news(),
        };
        let mut estimates = Vec::new();
        for kind in [EstimateNews::Failures, EstimateNews::All] {
            if kind == EstimateNews::All && news == EstimateNews::Failures {
                break;
            }
            for slot in self.upstreams.values_mut().filter(|slot| is_told(slot, kind)) {
                let is_listed = kind == EstimateNews::All && is_told(slot, EstimateNews::Failures);
                if estimates.len() < MAX_TOLD_UPSTREAMS && !is_listed {
                    estimates.push(slot.estimate.tell(now, slot.number));
                }
            }
        }
        let must_forward = false;
        (!estimates.is_empty()).then_some(fleet::UpstreamEstimates {
            sender,
            must_forward,
            estimates,
        })
    }

    /// Applies what another instance told; returns the upstreams at which requests newly fail at many
    /// instances.
    pub fn apply_estimates(
        &mut self,
        now: clock::MonotonicTime,
        told: &fleet::UpstreamEstimates,
    ) -> Vec<sync::Arc<str>> {
        let mut failing = Vec::new();
        for estimate in told.estimates.iter().take(MAX_TOLD_UPSTREAMS) {
            let Some(slot) = self.slot_mut(estimate.upstream) else { continue };
            let before = slot.estimate.shared_failure_rate(now);
            slot.estimate.record_heard(now, told.sender, estimate);
            let after = slot.estimate.shared_failure_rate(now);
            if before < FAILING_RATE && after >= FAILING_RATE {
                failing.push(sync::Arc::clone(&slot.entry.id));
            }
        }
        failing
    }
}

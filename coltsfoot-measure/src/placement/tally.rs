//! What a run is judged by.

use super::engine_model;
use super::trace;
use super::workload;

/// Fate of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFate {
    /// Whether it waited for a load.
    pub stalled: bool,
    /// Time that it waited for a load, in microseconds.
    pub stall_us: u64,
    /// When its first token came, in microseconds.
    pub first_token_us: Option<u64>,
    /// When its answer was complete, in microseconds.
    pub done_us: Option<u64>,
}

/// Fates of all requests.
#[derive(Debug)]
pub struct RunTally {
    /// By number of the request.
    pub fates: Vec<RequestFate>,
    /// Adapters that were evicted while they served a request.
    pub evicted_while_pinned: u64,
    /// Answers of another adapter than the one asked for.
    pub wrong_adapter: u64,
    /// Refusals.
    pub refused: u64,
    /// Loads that the store started.
    pub loads: u64,
    /// Most loads in flight.
    pub peak_loads: usize,
    /// Mean part of the batches of busy engines that ran requests.
    pub batch_occupancy: f64,
}

/// Figures of a run, over the requests that arrived after the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct RunSummary {
    /// Requests that waited for a load, per request.
    pub stalls: f64,
    /// Seconds of waiting for a load, per request.
    pub stall_seconds: f64,
    /// Time to the first token that 95 in 100 requests meet, in seconds.
    pub first_token_p95: f64,
    /// Mean time to the first token of the answered requests, in seconds.
    pub first_token_mean: f64,
    /// Answered requests, as a part of all.
    pub answered: f64,
}

impl RunTally {
    /// Builds the tally of a run that has not begun.
    pub fn new(requests: usize) -> Self {
        Self {
            fates: vec![RequestFate::default(); requests],
            evicted_while_pinned: 0,
            wrong_adapter: 0,
            refused: 0,
            loads: 0,
            peak_loads: 0,
            batch_occupancy: 0.0,
        }
    }

    /// Notes a stall that begins at the arrival; [`Self::end_stall`] ends it.
    pub fn stall(&mut self, request: usize) {
        self.fates[request].stalled = true;
    }

    /// Ends a stall, if there is one that has not ended.
    pub fn end_stall(&mut self, now: u64, request: usize, trace: &trace::RequestTrace) {
        let fate = &mut self.fates[request];
        if fate.stalled && fate.stall_us == 0 {
            fate.stall_us = now - trace.requests[request].arrival_us;
        }
    }

    /// Notes the batches of all engines.
    pub fn count_batches<'a>(
        &mut self,
        workload: &workload::PlacementWorkload,
        engines: impl Iterator<Item = &'a engine_model::EngineModel>,
    ) {
        let mut busy = 0;
        let mut running = 0;
        for engine in engines {
            busy += engine.busy_us;
            running += engine.running_us;
        }
        let capacity = busy as f64 * f64::from(workload.batch_size);
        self.batch_occupancy = running as f64 / capacity.max(1.0);
    }

    /// Sums the run up.
    pub fn summarise(
        &self,
        workload: &workload::PlacementWorkload,
        trace: &trace::RequestTrace,
    ) -> RunSummary {
        let warmup = workload.warmup_s * 1_000_000;
        let fates = self.fates.iter().zip(&trace.requests);
        let measured: Vec<_> = fates.filter(|(_, drawn)| drawn.arrival_us >= warmup).collect();
        let count = measured.len().max(1) as f64;
        let stalls = measured.iter().filter(|(fate, _)| fate.stalled).count();
        let stall_us = measured.iter().map(|(fate, _)| fate.stall_us).sum::<u64>();
        let answered = measured.iter().filter(|(fate, _)| fate.done_us.is_some()).count();
        let mut first: Vec<_> = measured
            .iter()
            .map(|(fate, drawn)| fate.first_token_us.map_or(u64::MAX, |at| at - drawn.arrival_us))
            .collect();
        let answered_us: Vec<_> = first.iter().filter(|us| **us != u64::MAX).collect();
        let mean =
            answered_us.iter().copied().sum::<u64>() as f64 / answered_us.len().max(1) as f64;
        first.sort_unstable();
        let p95 = first.get(first.len() * 95 / 100).copied().unwrap_or(0);
        RunSummary {
            stalls: stalls as f64 / count,
            stall_seconds: stall_us as f64 / 1e6 / count,
            first_token_mean: mean / 1e6,
            first_token_p95: p95 as f64 / 1e6,
            answered: answered as f64 / count,
        }
    }
}

//! An engine that batches continuously: all running requests advance by one token a step.

use std::collections;

use super::workload;

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: usize,
    first_token_at: f64,
    ends_at: f64,
    has_first_token: bool,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineProgress {
    /// The first token is out.
    FirstToken(usize),
    /// The answer is complete.
    Done(usize),
}

/// Batch, prefix cache and statistics of an engine.
#[derive(Debug)]
pub struct EngineModel {
    workload: workload::PlacementWorkload,
    running: Vec<RunningRequest>,
    /// Steps since the start.
    steps: f64,
    updated_us: u64,
    /// Rises with each change of the batch.
    pub version: u64,
    prefixes: collections::VecDeque<(usize, u64)>,
    /// Time with a batch that isn't empty, in microseconds, after the warm-up.
    pub busy_us: u64,
    /// Sum of running requests over that time.
    pub running_us: u64,
}

impl EngineModel {
    /// Builds an idle engine.
    pub fn new(workload: &workload::PlacementWorkload) -> Self {
        Self {
            workload: workload.clone(),
            running: Vec::new(),
            steps: 0.0,
            updated_us: 0,
            version: 0,
            prefixes: collections::VecDeque::new(),
            busy_us: 0,
            running_us: 0,
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the running requests.
    pub fn requests(&self) -> impl Iterator<Item = usize> {
        self.running.iter().map(|running| running.request)
    }

    /// Returns whether another request can run.
    pub fn has_room(&self) -> bool {
        self.running.len() < self.workload.batch_size as usize
    }

    /// Lets a request run.
    pub fn start(&mut self, now: u64, request: usize, prefix: (usize, u64), output_tokens: u32) {
        self.advance(now);
        let is_cached = self.use_prefix(prefix);
        let prefill =
            if is_cached { self.workload.prefix_hit_steps } else { self.workload.prefill_steps };
        let first_token_at = self.steps + prefill;
        let ends_at = first_token_at + f64::from(output_tokens);
        let running = RunningRequest { request, first_token_at, ends_at, has_first_token: false };
        self.running.push(running);
        self.version += 1;
    }

    /// Ends all requests, as a crash does.
    pub fn crash(&mut self, now: u64) -> Vec<usize> {
        self.advance(now);
        self.version += 1;
        self.prefixes.clear();
        self.running.drain(..).map(|running| running.request).collect()
    }

    /// Returns when the next progress is due, in microseconds.
    pub fn next_progress(&self) -> Option<u64> {
        let next = self.running.iter().map(RunningRequest::next).min_by(f64::total_cmp)?;
        let steps = (next - self.steps).max(0.0);
        Some(self.updated_us + (steps * self.step_us()).ceil() as u64)
    }

    /// Advances to `now` and returns what happened.
    pub fn progress(&mut self, now: u64) -> Vec<EngineProgress> {
        self.advance(now);
        let mut progress = Vec::new();
        let steps = self.steps + 1e-6;
        for running in &mut self.running {
            if !running.has_first_token && running.first_token_at <= steps {
                running.has_first_token = true;
                progress.push(EngineProgress::FirstToken(running.request));
            }
        }
        let ended = self.running.iter().filter(|running| running.ends_at <= steps);
        progress.extend(ended.map(|running| EngineProgress::Done(running.request)));
        self.running.retain(|running| running.ends_at > steps);
        self.version += 1;
        progress
    }

    fn advance(&mut self, now: u64) {
        let elapsed = now - self.updated_us;
        if !self.running.is_empty() {
            self.steps += elapsed as f64 / self.step_us();
            let warmup = self.workload.warmup_s * 1_000_000;
            let end = self.workload.duration_s * 1_000_000;
            let measured = now.min(end).saturating_sub(self.updated_us.max(warmup));
            self.busy_us += measured;
            self.running_us += measured * self.running.len() as u64;
        }
        self.updated_us = now;
    }

    fn step_us(&self) -> f64 {
        let batch = self.running.len() as u64;
        (self.workload.step_us + self.workload.step_us_per_request * batch) as f64
    }

    fn use_prefix(&mut self, prefix: (usize, u64)) -> bool {
        let position = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.workload.prefix_cache_entries {
            self.prefixes.pop_front();
        }
        position.is_some()
    }
}

impl RunningRequest {
    fn next(&self) -> f64 {
        if self.has_first_token {
            return self.ends_at;
        }
        self.first_token_at
    }
}

//! Latency of claims without faults, at a given rate of calls in one zone.

use std::collections;

use coltsfoot_once::batcher_event::{self, BatcherAction, BatcherEvent};
use coltsfoot_once::claim_request::{ClaimAction, ClaimEvent};
use coltsfoot_once::{claim_batcher, claim_request, run_state};
use coltsfoot_types::{id, time as clock};
use coltsfoot_wire::once;
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::once::log::{LogModel, wall_ms};
use crate::once::queue::EventQueue;

/// Time of a message between two instances of a zone.
const MESSAGE_US: u64 = 200;
/// Deadline of a call.
const DEADLINE_US: u64 = 10_000_000;

/// A load of calls.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLoad {
    /// Calls per second in the zone.
    pub calls_per_second: f64,
    /// Median time of an append.
    pub append_us: u64,
    /// Median time of a read.
    pub read_us: u64,
    /// Time over which calls come.
    pub duration_us: u64,
}

/// What a load showed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLatency {
    pub median_us: u64,
    pub p99_us: u64,
    pub median_append_us: u64,
    pub appends_per_second: f64,
    /// Most appends in any second.
    pub max_appends_in_second: usize,
}

impl ClaimLatency {
    /// Returns the median time to the claim against one append.
    pub fn ratio(&self) -> f64 {
        self.median_us as f64 / self.median_append_us as f64
    }
}

enum LatencyEvent {
    Call,
    Owner(BatcherEvent),
    LogAppend(u64, once::ClaimBatch, u64),
    LogRead(u64, id::LogOffset, u64),
    Verdict(once::ClaimId, once::ClaimVerdict),
}

struct OpenClaim {
    started_us: u64,
    request: claim_request::ClaimRequest,
}

struct LatencyWorld {
    load: ClaimLoad,
    rng: rngs::SmallRng,
    now_us: u64,
    queue: EventQueue<LatencyEvent>,
    log: LogModel,
    owner: claim_batcher::ClaimBatcher,
    open: collections::BTreeMap<once::ClaimId, OpenClaim>,
    claimed_us: Vec<u64>,
    appended_us: Vec<u64>,
    append_times_us: Vec<u64>,
}

/// Runs a load.
pub fn run(seed: u64, load: ClaimLoad) -> ClaimLatency {
    let settings = batcher_event::BatcherSettings::builder().build();
    let mut world = LatencyWorld {
        load,
        rng: rngs::SmallRng::seed_from_u64(seed),
        now_us: 0,
        queue: EventQueue::default(),
        log: LogModel::default(),
        owner: claim_batcher::ClaimBatcher::new(settings),
        open: collections::BTreeMap::new(),
        claimed_us: Vec::new(),
        appended_us: Vec::new(),
        append_times_us: Vec::new(),
    };
    world.queue.push(0, LatencyEvent::Call);
    while let Some((at_us, event)) = world.queue.pop() {
        world.now_us = at_us;
        world.take(event);
    }
    world.result()
}

impl LatencyWorld {
    fn take(&mut self, event: LatencyEvent) {
        match event {
            LatencyEvent::Call => self.begin_call(),
            LatencyEvent::Owner(event) => self.drive_owner(event),
            LatencyEvent::LogAppend(number, batch, back_us) => {
                self.log.append(self.now_us, batch);
                let event = LatencyEvent::Owner(BatcherEvent::Appended(number));
                self.queue.push(self.now_us + back_us, event);
            }
            LatencyEvent::LogRead(number, from, back_us) => {
                let at_us = self.now_us + back_us;
                let page = self.log.read(from, wall_ms(at_us));
                let event = LatencyEvent::Owner(BatcherEvent::PageRead(number, page));
                self.queue.push(at_us, event);
            }
            LatencyEvent::Verdict(claim, verdict) => {
                self.drive_claim(claim, ClaimEvent::Verdict(verdict));
            }
        }
    }

    fn begin_call(&mut self) {
        let claim = once::ClaimId(uuid::Uuid::from_u128(self.rng.random()));
        let created_ms = u128::from(wall_ms(self.now_us));
        let random = self.rng.random::<u128>() >> 66;
        let key = (created_ms << 80) | (7 << 76) | (2 << 62) | random;
        let entry = once::ClaimEntry {
            key: once::IdempotencyKey(uuid::Uuid::from_u128(key)),
            digest: once::RequestDigest([0; 32]),
            claim,
        };
        let request = claim_request::ClaimRequest::new(
            clock::MonotonicTime(self.now_us),
            run_state::PendingRequest::new(),
            claim_request::ClaimSettings::default(),
            entry,
            clock::MonotonicTime(self.now_us + DEADLINE_US),
        );
        self.open.insert(claim, OpenClaim { started_us: self.now_us, request });
        self.drive_claim(claim, ClaimEvent::Tick);
        let gap_s = -self.rng.random::<f64>().max(1e-12).ln() / self.load.calls_per_second;
        let next_us = self.now_us + (gap_s * 1e6) as u64;
        if next_us < self.load.duration_us {
            self.queue.push(next_us, LatencyEvent::Call);
        }
    }

    fn drive_claim(&mut self, claim: once::ClaimId, event: ClaimEvent) {
        let Some(open) = self.open.get_mut(&claim) else { return };
        let actions = open.request.handle(clock::MonotonicTime(self.now_us), event);
        let started_us = open.started_us;
        for action in actions {
            match action {
                ClaimAction::SendOwner(once::ClaimMessage::Submit { claim, time_left }) => {
                    let instance = "entry".into();
                    let event = BatcherEvent::Submit { instance, claim, time_left };
                    self.queue.push(self.now_us + MESSAGE_US, LatencyEvent::Owner(event));
                }
                ClaimAction::Dispatch(_) => {
                    self.claimed_us.push(self.now_us - started_us);
                    self.open.remove(&claim);
                }
                _ => {}
            }
        }
    }

    fn drive_owner(&mut self, event: BatcherEvent) {
        let now = clock::MonotonicTime(self.now_us);
        for action in self.owner.handle(now, event, &mut self.rng) {
            match action {
                BatcherAction::Append(number, batch) => self.append(number, batch),
                BatcherAction::Read(number, from) => {
                    let there_us = self.draw(self.load.read_us);
                    let event = LatencyEvent::LogRead(number, from, there_us / 2);
                    self.queue.push(self.now_us + there_us / 2, event);
                }
                BatcherAction::Send(_, once::ClaimMessage::Verdict { claim, verdict }) => {
                    let event = LatencyEvent::Verdict(claim, verdict);
                    self.queue.push(self.now_us + MESSAGE_US, event);
                }
                BatcherAction::Send(..) => {}
                BatcherAction::WakeAt(at) if !self.open.is_empty() => {
                    self.queue.push(at.0, LatencyEvent::Owner(BatcherEvent::Tick));
                }
                BatcherAction::WakeAt(_) => {}
            }
        }
    }

    fn append(&mut self, number: u64, batch: once::ClaimBatch) {
        let append_us = self.draw(self.load.append_us);
        self.appended_us.push(append_us);
        self.append_times_us.push(self.now_us);
        let event = LatencyEvent::LogAppend(number, batch, append_us / 2);
        self.queue.push(self.now_us + append_us / 2, event);
    }

    /// Draws a time between half and one and a half of the median.
    fn draw(&mut self, median_us: u64) -> u64 {
        self.rng.random_range(median_us / 2..=median_us * 3 / 2)
    }

    fn result(mut self) -> ClaimLatency {
        self.claimed_us.sort_unstable();
        self.appended_us.sort_unstable();
        let claims = self.claimed_us.len();
        let duration_s = self.load.duration_us as f64 / 1e6;
        ClaimLatency {
            median_us: self.claimed_us[claims / 2],
            p99_us: self.claimed_us[claims * 99 / 100],
            median_append_us: self.appended_us[self.appended_us.len() / 2],
            appends_per_second: self.append_times_us.len() as f64 / duration_s,
            max_appends_in_second: most_in_second(&self.append_times_us),
        }
    }
}

fn most_in_second(times_us: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at_us) in times_us.iter().enumerate() {
        while at_us - times_us[first] >= 1_000_000 {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

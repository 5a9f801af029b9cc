//! Speed, pace, load and failures of an upstream: from what its responses state, how long they take, and what
//! other instances tell.

use std::time;

use coltsfoot_types::time as clock;
use coltsfoot_wire::fleet;
use smallvec::SmallVec;

/// Time after which what a response stated of this moment has lost most of its worth.
const STATEMENT_LIFETIME: time::Duration = time::Duration::from_millis(500);
/// Bounds of a stated pace, as a multiple of the upstream's usual one.
const PACE_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Weight of the newest statement in the usual pace.
const USUAL_PACE_WEIGHT: f64 = 0.1;
/// Half-life of measured times.
const SPEED_HALF_LIFE: time::Duration = time::Duration::from_secs(30);
/// Most samples for which one instance counts.
const MAX_SAMPLES: f64 = 8.0;
/// Samples for which the mean of the service counts.
const PRIOR_SAMPLES: f64 = 2.0;
/// Number of sources from which on the lowest and the highest are ignored.
const MIN_TRIMMED: usize = 5;
/// Bound of the logarithm of an upstream's time as a multiple of the mean of its service.
const MAX_LOG_SPEED: f64 = 1.4;
/// Bound of the logarithm of a measured time as a multiple of the one expected without any samples.
const MAX_LOG_SAMPLE: f64 = 3.0;
/// Number of samples that the mean of a service is taken over.
const SERVICE_SAMPLES: f64 = 32.0;
/// Weight of the newest sample in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Bounds of the slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Half-life of the slowness.
const SLOWNESS_HALF_LIFE: time::Duration = time::Duration::from_secs(10);
/// Half-life of outcomes that instances tell each other.
const OUTCOME_HALF_LIFE: time::Duration = time::Duration::from_secs(3);
/// Most requests for which one instance counts.
const MAX_OUTCOMES: f64 = 4.0;
/// Requests that are assumed to have succeeded.
const PRIOR_OUTCOMES: f64 = 4.0;
/// Failures below which there is nothing to tell.
const MIN_TOLD_FAILURES: f64 = 0.25;
/// Requests below which there is nothing to add to the failures of others.
const MIN_TOLD_OUTCOMES: f64 = 0.5;
/// Most instances whose estimates are kept.
const MAX_SOURCES: usize = 256;
/// Unit of logarithms in messages.
const LOG_UNITS: f64 = 100.0;
/// Unit of outcomes in messages.
const OUTCOME_UNITS: f64 = 10.0;

/// Load that an upstream states in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadStatement {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Time that work takes at this moment, as a multiple of the usual; `None` if the response does not state it.
    pub pace: Option<f64>,
}

/// Load in the headers of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadHeader {
    /// No header.
    Absent,
    /// The load.
    Stated(LoadStatement),
    /// The header does not consist of such numbers.
    Unreadable,
}

/// A statement, when it arrived, and this instance's requests in flight then.
#[derive(Clone, Copy, Debug)]
struct KnownStatement {
    load: LoadStatement,
    local: u32,
    received: clock::MonotonicTime,
}

/// Mean of logarithms, and the number of samples that it counts for.
#[derive(Clone, Copy, Debug, Default)]
struct SpeedMean {
    log: f64,
    samples: f64,
    updated: clock::MonotonicTime,
}

impl SpeedMean {
    fn samples(&self, now: clock::MonotonicTime) -> f64 {
        self.samples * decay(now.since(self.updated), SPEED_HALF_LIFE)
    }

    fn record(&mut self, now: clock::MonotonicTime, log: f64) {
        let samples = self.samples(now);
        self.log += (log - self.log) / (samples + 1.0);
        self.samples = (samples + 1.0).min(MAX_SAMPLES);
        self.updated = now;
    }
}

/// Recent requests and how many of them failed.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeSums {
    sent: f64,
    failed: f64,
    updated: clock::MonotonicTime,
}

impl OutcomeSums {
    fn at(self, now: clock::MonotonicTime) -> Self {
        let left = decay(now.since(self.updated), OUTCOME_HALF_LIFE);
        Self { sent: self.sent * left, failed: self.failed * left, updated: now }
    }

    /// Returns the sums, scaled to as many requests as one instance counts for.
    fn bounded(self, now: clock::MonotonicTime) -> Self {
        let sums = self.at(now);
        let scale = (MAX_OUTCOMES / sums.sent.max(MAX_OUTCOMES)).min(1.0);
        Self { sent: sums.sent * scale, failed: sums.failed * scale, updated: now }
    }
}

/// What another instance told.
#[derive(Clone, Copy, Debug, Default)]
struct HeardEstimate {
    sender: u64,
    speed: SpeedMean,
    outcomes: OutcomeSums,
}

/// What is known of one incarnation of an upstream beside the requests in flight.
#[derive(Clone, Debug, Default)]
pub struct EngineEstimate {
    stated: Option<KnownStatement>,
    /// Mean of the stated paces; `None` before the first one.
    usual_pace: Option<f64>,
    own: SpeedMean,
    /// How much more than one this instance's recent times were, as a multiple of the expected ones.
    excess: f64,
    excess_updated: clock::MonotonicTime,
    outcomes: OutcomeSums,
    heard: Vec<HeardEstimate>,
    /// Sums of the outcomes that other instances told.
    heard_outcomes: OutcomeSums,
    /// Most failures that one of them told, at the same time.
    most_heard_failed: f64,
    /// Logarithm of its time as a multiple of the mean of its service, over all sources.
    log_speed: f64,
    combined: clock::MonotonicTime,
    /// Whether this instance has measured something that it has not told.
    has_news: bool,
}

impl EngineEstimate {
    /// Records what a response stated; `local` is the number of this instance's requests in flight.
    pub fn record_statement(&mut self, now: clock::MonotonicTime, load: LoadStatement, local: u32) {
        if let Some(pace) = load.pace {
            let usual = self.usual_pace.unwrap_or(1.0);
            let (lowest, highest) = PACE_BOUNDS;
            let pace = pace.clamp(lowest * usual, highest * usual);
            self.usual_pace = Some(usual + (pace - usual) * USUAL_PACE_WEIGHT);
        }
        self.stated = Some(KnownStatement { load, local, received: now });
    }

    /// Returns the requests in flight: those known from the instances, corrected by what the upstream stated
    /// as far as that is recent, and never fewer than this instance's own.
    pub fn running(&self, now: clock::MonotonicTime, known: u32, local: u32, slots: u32) -> u32 {
        let Some(stated) = &self.stated else { return known };
        let most = slots.max(1).saturating_mul(2);
        let total = stated.load.running.saturating_add(stated.load.waiting).min(most);
        let total = f64::from(total) + f64::from(local) - f64::from(stated.local);
        let weight = freshness(now.since(stated.received));
        let known = f64::from(known);
        let running = (known + (total - known) * weight).round().max(f64::from(local));
        // The cast saturates.
        running as u32
    }

    /// Returns the time that work of about `horizon` takes from now on, as a multiple of the upstream's usual
    /// time: one if no recent response stated its pace.
    pub fn pace(&self, now: clock::MonotonicTime, horizon: time::Duration) -> f64 {
        let (Some(stated), Some(usual)) = (&self.stated, self.usual_pace) else { return 1.0 };
        let Some(pace) = stated.load.pace else { return 1.0 };
        let (lowest, highest) = PACE_BOUNDS;
        let relative = (pace / usual).clamp(lowest, highest);
        let spans = horizon.as_secs_f64() / STATEMENT_LIFETIME.as_secs_f64();
        let share = if spans > 0.0 { -(-spans).exp_m1() / spans } else { 1.0 };
        1.0 + (relative - 1.0) * freshness(now.since(stated.received)) * share
    }

    /// Returns its usual time as a multiple of the mean of its service.
    pub fn speed(&self, now: clock::MonotonicTime) -> f64 {
        self.speed_share(now, 1.0)
    }

    /// Returns the same with a share of the logarithm.
    pub fn speed_share(&self, now: clock::MonotonicTime, share: f64) -> f64 {
        (self.log_speed * share * decay(now.since(self.combined), SPEED_HALF_LIFE)).exp()
    }

    /// Returns this instance's recent times as a multiple of the expected ones. It covers requests that the
    /// instance does not know of.
    pub fn slowness(&self, now: clock::MonotonicTime) -> f64 {
        1.0 + self.excess * decay(now.since(self.excess_updated), SLOWNESS_HALF_LIFE)
    }

    /// Records a measured time as a multiple of the expected one.
    pub fn record_slowness(&mut self, now: clock::MonotonicTime, ratio: f64) {
        if ratio.is_nan() {
            return;
        }
        let (lowest, highest) = SLOWNESS_BOUNDS;
        let slowness = self.slowness(now);
        let ratio = ratio.clamp(lowest, highest);
        self.excess = slowness + (ratio - slowness) * SLOWNESS_WEIGHT - 1.0;
        self.excess_updated = now;
    }

    /// Records the logarithm of a measured time as a multiple of the mean of its service.
    pub fn record_speed(&mut self, now: clock::MonotonicTime, log: f64) {
        self.own.record(now, log.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED));
        self.has_news = true;
        self.combine(now);
    }

    /// Records whether a request failed.
    pub fn record_outcome(&mut self, now: clock::MonotonicTime, has_failed: bool) {
        let mut sums = self.outcomes.at(now);
        sums.sent += 1.0;
        sums.failed += f64::from(u8::from(has_failed));
        self.outcomes = sums;
    }

    /// Records what another instance told. Its former estimate is replaced, so that lost messages do no harm.
    pub fn record_heard(
        &mut self,
        now: clock::MonotonicTime,
        sender: u64,
        told: &fleet::UpstreamEstimate,
    ) {
        let position = self.heard.iter().position(|heard| heard.sender == sender);
        let position = position.unwrap_or_else(|| {
            if self.heard.len() < MAX_SOURCES {
                self.heard.push(HeardEstimate { sender, ..HeardEstimate::default() });
                return self.heard.len() - 1;
            }
            // The stalest makes room.
            let stalest = self.heard.iter().enumerate();
            let stalest = stalest.min_by_key(|(_, heard)| heard.outcomes.updated);
            let stalest = stalest.map_or(0, |(index, _)| index);
            self.heard[stalest] = HeardEstimate { sender, ..HeardEstimate::default() };
            stalest
        });
        let heard = &mut self.heard[position];
        let sent = f64::from(told.sent_tenths) / OUTCOME_UNITS;
        let failed = (f64::from(told.failed_tenths) / OUTCOME_UNITS).min(sent);
        heard.outcomes = OutcomeSums { sent, failed, updated: now }.bounded(now);
        if told.samples > 0 {
            let log = f64::from(told.log_hundredths) / LOG_UNITS;
            heard.speed = SpeedMean {
                log: log.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED),
                samples: f64::from(told.samples).min(MAX_SAMPLES),
                updated: now,
            };
            self.combine(now);
        }
        self.sum_heard_outcomes(now);
    }

    /// Sums what the instances told, so that a choice among many upstreams need not. All of it loses its worth
    /// at the same rate.
    fn sum_heard_outcomes(&mut self, now: clock::MonotonicTime) {
        let mut sums = OutcomeSums { updated: now, ..OutcomeSums::default() };
        self.most_heard_failed = 0.0;
        for heard in self.heard.iter().map(|heard| heard.outcomes.at(now)) {
            sums.sent += heard.sent;
            sums.failed += heard.failed;
            self.most_heard_failed = self.most_heard_failed.max(heard.failed);
        }
        self.heard_outcomes = sums;
    }

    /// Combines the measured times of all instances. One instance among several can't move the result far: it
    /// counts for few samples, and the highest and the lowest are ignored.
    fn combine(&mut self, now: clock::MonotonicTime) {
        let heard = self.heard.iter().map(|heard| &heard.speed);
        let sources = heard.chain([&self.own]).map(|speed| (speed.log, speed.samples(now)));
        let mut sources: SmallVec<[(f64, f64); 32]> =
            sources.filter(|(_, samples)| *samples > 0.1).collect();
        sources.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let kept = match sources.len() {
            count if count >= MIN_TRIMMED => &sources[1..count - 1],
            _ => &sources[..],
        };
        let samples: f64 = kept.iter().map(|(_, samples)| samples).sum();
        let sum: f64 = kept.iter().map(|(log, samples)| log * samples).sum();
        self.log_speed = sum / (samples + PRIOR_SAMPLES);
        self.combined = now;
    }

    /// Returns the share of recent requests of all instances that failed, zero if no other instance told of
    /// failures. The failures of one instance count for no more than one above those of all others together.
    pub fn shared_failure_rate(&self, now: clock::MonotonicTime) -> f64 {
        if self.heard_outcomes.failed <= 0.0 {
            return 0.0;
        }
        let left = decay(now.since(self.heard_outcomes.updated), OUTCOME_HALF_LIFE);
        let own = self.outcomes.bounded(now);
        let sent = self.heard_outcomes.sent * left + own.sent;
        let failed = self.heard_outcomes.failed * left + own.failed;
        let most = (self.most_heard_failed * left).max(own.failed);
        let others = failed - most;
        (others + most.min(others + 1.0)) / (sent + PRIOR_OUTCOMES)
    }

    /// Returns whether other instances should learn of this instance's outcomes: it saw failures, or others did.
    pub fn has_failure_news(&self, now: clock::MonotonicTime) -> bool {
        let own = self.outcomes.at(now);
        own.failed >= MIN_TOLD_FAILURES
            || own.sent >= MIN_TOLD_OUTCOMES
                && self.heard.iter().any(|heard| heard.outcomes.at(now).failed >= MIN_TOLD_FAILURES)
    }

    /// Returns whether this instance has measured times that it has not told.
    pub fn has_speed_news(&self) -> bool {
        self.has_news
    }

    /// Returns this instance's estimate for others, and marks its measured times as told.
    pub fn tell(&mut self, now: clock::MonotonicTime, upstream: u32) -> fleet::UpstreamEstimate {
        self.has_news = false;
        let sums = self.outcomes.at(now);
        // The casts saturate.
        fleet::UpstreamEstimate {
            upstream,
            log_hundredths: (self.own.log * LOG_UNITS).round() as i16,
            samples: self.own.samples(now).round() as u8,
            sent_tenths: (sums.sent * OUTCOME_UNITS).ceil() as u16,
            failed_tenths: (sums.failed * OUTCOME_UNITS).round() as u16,
        }
    }
}

/// Mean of the times measured at all upstreams of a service whose responses state their pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceEstimate {
    log: f64,
    samples: f64,
}

impl ServiceEstimate {
    /// Returns the time of its upstreams as a multiple of the one expected without any samples.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Records a measured time as a multiple of the one expected without any samples; returns the logarithm of
    /// the time as a multiple of the mean. `None` if `ratio` is not a positive number.
    pub fn record(&mut self, ratio: f64) -> Option<f64> {
        let log = Some(ratio.ln()).filter(|log| log.is_finite())?;
        let log = log.clamp(-MAX_LOG_SAMPLE, MAX_LOG_SAMPLE);
        self.samples = (self.samples + 1.0).min(SERVICE_SAMPLES);
        self.log += (log - self.log) / self.samples;
        Some(log - self.log)
    }
}

fn decay(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the weight of a statement of this age.
fn freshness(age: time::Duration) -> f64 {
    (-age.as_secs_f64() / STATEMENT_LIFETIME.as_secs_f64()).exp()
}

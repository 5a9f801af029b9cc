//! Seeded simulation of many instances that spend one customer's quota, with news of each other that is late.
//! Together they keep to rate and burst but for one overdraft, use the rate, and serve callers evenly at it.

use std::collections::{BTreeMap, VecDeque};
use std::time;

use coltsfoot_gateway::quota_ledger::{QuotaClass, QuotaLedger, QuotaLimit, UsageReport};
use coltsfoot_gateway::rendezvous;
use coltsfoot_types::time as clock;

const CUSTOMER: &str = "clinic";
const LIMIT: QuotaLimit = QuotaLimit { rate_per_s: 361_895.0, burst: 361_895.0 };
/// Window in which the guarantee counts.
const WINDOW_MS: u64 = 8_000;
/// Overdraft that the guarantee allows, as a part of rate and burst of a window.
const OVERDRAFT_SHARE: f64 = 0.1;
/// Groups of instances that report together.
const GROUPS: usize = 5;
const TICK_MS: u64 = 10;
const WARM_UP_MS: u64 = 6_000;
const RUN_MS: u64 = 30_000;
/// Sizes of requests are distributed as `MEDIAN_TOKENS * exp(SIGMA * normal)`: a tenth is over 11,700.
const MEDIAN_TOKENS: f64 = 4_000.0;
const SIGMA: f64 = 0.84;
const MAX_TOKENS: f64 = 46_277.0;
/// Time for which callers come back after refusals.
const DEADLINE_MS: u64 = 4_000;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

struct SeededRng(u64);

impl SeededRng {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (rendezvous::weight(self.0, 7) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }

    fn tokens(&mut self) -> u64 {
        (MEDIAN_TOKENS * (SIGMA * self.normal()).exp()).clamp(100.0, MAX_TOKENS) as u64
    }

    /// Returns a number of arrivals with this mean.
    fn arrivals(&mut self, mean: f64) -> usize {
        let (limit, mut product, mut count) = ((-mean).exp(), self.unit(), 0);
        while product > limit {
            product *= self.unit();
            count += 1;
        }
        count
    }
}

/// How instances hear of each other.
#[derive(Clone, Copy)]
struct NewsPace {
    interval_ms: u64,
    delay_ms: u64,
}

/// Demand over time, as a multiple of the rate.
type DemandCurve = fn(u64) -> f64;

#[derive(Clone, Copy)]
struct Scenario {
    instances: usize,
    news: NewsPace,
    demand: DemandCurve,
    /// Time at which a fifth of the instances leaves and as many join, each with a share of the demand.
    changes_at: Option<u64>,
}

struct Request {
    arrived: u64,
    tokens: u64,
    is_refused: bool,
}

#[derive(Default)]
struct RunFigures {
    overdraft: f64,
    /// Tokens admitted, as a part of what the rate or, if less, the demand allows.
    used_share: f64,
    refused_share: f64,
    /// Largest part of what is admitted in a second that is admitted in a tenth of it, on average.
    peak_share: f64,
}

struct Instance {
    ledger: QuotaLedger,
    id: u64,
    weight: f64,
}

impl Instance {
    fn started(now: u64, id: u64, rng: &mut SeededRng) -> Self {
        let mut ledger = QuotaLedger::new(rendezvous::weight(id, 3));
        ledger.set_limit(at(now), &CUSTOMER.into(), Some(LIMIT));
        Self { ledger, id, weight: 0.3 + rng.unit() }
    }

    fn group(&self) -> usize {
        self.id as usize % GROUPS
    }

    fn total(&self) -> u64 {
        self.ledger.totals().map(|(_, total)| total).sum()
    }
}

/// Usage of a group of instances, as its relay reports it.
struct GroupReport {
    due: u64,
    group: usize,
    /// Totals of its instances, by their ids, and of those that have left.
    totals: BTreeMap<u64, u64>,
    left_total: u64,
}

/// Messages between instances.
struct NewsFeed {
    pace: NewsPace,
    reports: VecDeque<GroupReport>,
    left_totals: [u64; GROUPS],
}

impl NewsFeed {
    fn send(&mut self, now: u64, instances: &[Instance]) {
        for group in 0..GROUPS {
            let offset = self.pace.interval_ms * group as u64 / GROUPS as u64 / TICK_MS * TICK_MS;
            if now < offset || !(now - offset).is_multiple_of(self.pace.interval_ms) {
                continue;
            }
            let members = instances.iter().filter(|instance| instance.group() == group);
            self.reports.push_back(GroupReport {
                due: now + self.pace.delay_ms,
                group,
                totals: members.map(|instance| (instance.id, instance.total())).collect(),
                left_total: self.left_totals[group],
            });
        }
    }

    fn deliver(&mut self, now: u64, instances: &mut [Instance]) {
        while self.reports.front().is_some_and(|report| report.due <= now) {
            let Some(news) = self.reports.pop_front() else { return };
            let all: u64 = news.totals.values().sum();
            for instance in &mut *instances {
                let own = news.totals.get(&instance.id);
                let report = UsageReport {
                    total: news.left_total + all - own.unwrap_or(&0),
                    instances: (news.totals.len() - usize::from(own.is_some())) as u32,
                    interval: time::Duration::from_millis(self.pace.interval_ms),
                    is_deaf: false,
                };
                let ledger = &mut instance.ledger;
                ledger.record_peer_report(at(now), news.group as u64, CUSTOMER, report);
            }
        }
    }

    /// A fifth of the instances leaves, and as many join.
    fn change_instances(&mut self, now: u64, instances: &mut Vec<Instance>, rng: &mut SeededRng) {
        let count = instances.len().div_ceil(5);
        for instance in instances.drain(..count) {
            self.left_totals[instance.group()] += instance.total();
        }
        let next_id = instances.iter().map(|instance| instance.id).max().unwrap_or(0) + 1;
        instances.extend((0..count as u64).map(|id| Instance::started(now, next_id + id, rng)));
    }
}

fn simulate(seed: u64, scenario: Scenario) -> RunFigures {
    let mut rng = SeededRng(seed);
    let mut instances: Vec<_> =
        (0..scenario.instances as u64).map(|id| Instance::started(0, id, &mut rng)).collect();
    let mut feed =
        NewsFeed { pace: scenario.news, reports: VecDeque::new(), left_totals: [0; GROUPS] };
    let mut returning: BTreeMap<u64, Vec<(u64, Request)>> = BTreeMap::new();
    let mut admitted: Vec<f64> = Vec::new();
    let mut offered_tokens = 0.0;
    let (mut offered, mut refused) = (0.0, 0.0);
    let mean_tokens = MEDIAN_TOKENS * (SIGMA * SIGMA / 2.0).exp();
    for now in (0..RUN_MS).step_by(TICK_MS as usize) {
        if scenario.changes_at == Some(now) {
            feed.change_instances(now, &mut instances, &mut rng);
        }
        feed.send(now, &instances);
        feed.deliver(now, &mut instances);
        let total_weight: f64 = instances.iter().map(|instance| instance.weight).sum();
        let demand = (scenario.demand)(now) * LIMIT.rate_per_s * TICK_MS as f64 / 1e3;
        let mut due: Vec<(u64, Request)> = returning.remove(&now).unwrap_or_default();
        for instance in &instances {
            let mean = demand / mean_tokens * instance.weight / total_weight;
            for _ in 0..rng.arrivals(mean) {
                let tokens = rng.tokens();
                offered_tokens += if now >= WARM_UP_MS { tokens as f64 } else { 0.0 };
                due.push((instance.id, Request { arrived: now, tokens, is_refused: false }));
            }
        }
        let mut tick_admitted = 0.0;
        for (id, mut request) in due {
            let index = instances.iter().position(|instance| instance.id == id).unwrap_or(0);
            let ledger = &mut instances[index].ledger;
            let is_counted = now >= WARM_UP_MS;
            offered += f64::from(is_counted && !request.is_refused);
            match ledger.admit(at(now), CUSTOMER, request.tokens, QuotaClass::Plain) {
                Ok(()) => tick_admitted += request.tokens as f64,
                Err(wait) => {
                    refused += f64::from(is_counted && !request.is_refused);
                    request.is_refused = true;
                    let wait_ms = (wait.as_millis() as u64 + 1).next_multiple_of(TICK_MS);
                    if now + wait_ms < request.arrived + DEADLINE_MS {
                        returning.entry(now + wait_ms).or_default().push((id, request));
                    }
                }
            }
        }
        admitted.push(tick_admitted);
    }
    let window = (WINDOW_MS / TICK_MS) as usize;
    let allowed = LIMIT.rate_per_s * WINDOW_MS as f64 / 1e3 + LIMIT.burst;
    let warm = (WARM_UP_MS / TICK_MS) as usize;
    let most = admitted.windows(window).map(|window| window.iter().sum()).fold(0.0, f64::max);
    let used: f64 = admitted[warm..].iter().sum();
    let peak = |second: &[f64]| {
        let all: f64 = second.iter().sum();
        let tenths = second.chunks(10).map(|tenth| tenth.iter().sum()).fold(0.0, f64::max);
        if all > 0.0 { tenths / all } else { 0.0 }
    };
    RunFigures {
        overdraft: most - allowed,
        used_share: used
            / offered_tokens.min(LIMIT.rate_per_s * (RUN_MS - WARM_UP_MS) as f64 / 1e3),
        refused_share: refused / offered,
        peak_share: {
            let seconds: Vec<f64> = admitted[warm..].chunks(100).map(peak).collect();
            seconds.iter().sum::<f64>() / seconds.len() as f64
        },
    }
}

const PACES: [NewsPace; 3] = [
    NewsPace { interval_ms: 50, delay_ms: 10 },
    NewsPace { interval_ms: 150, delay_ms: 50 },
    NewsPace { interval_ms: 300, delay_ms: 200 },
];
const SEEDS: std::ops::Range<u64> = 1..3;

/// Returns the figures of all paces of the news and all seeds.
fn runs(
    instances: usize,
    demand: DemandCurve,
    changes_at: Option<u64>,
) -> impl Iterator<Item = (String, RunFigures)> {
    let runs = PACES.into_iter().flat_map(|news| SEEDS.map(move |seed| (news, seed)));
    runs.map(move |(news, seed)| {
        let figures = simulate(seed, Scenario { instances, news, demand, changes_at });
        let NewsPace { interval_ms, delay_ms } = news;
        (format!("seed {seed}, news every {interval_ms} ms, {delay_ms} ms late"), figures)
    })
}

/// Guards against a level that every instance spends before it hears of the others: bursts beyond the limit, and
/// callers that are all refused, then all served.
#[rstest::rstest]
fn instances_at_a_limit_keep_to_it_and_use_it_evenly(
    #[values(6, 61, 79, 195)] instances: usize,
    #[values(1.0, 1.3, 3.0, 10.0)] load: f64,
) {
    let demand: DemandCurve = match load {
        1.0 => |_| 1.0,
        1.3 => |_| 1.3,
        3.0 => |_| 3.0,
        _ => |_| 10.0,
    };
    for (run, figures) in runs(instances, demand, None) {
        assert!(figures.overdraft <= most_overdraft(), "{run}: overdraft {}", figures.overdraft);
        assert!(figures.used_share >= 0.95, "{run}: {} of the rate", figures.used_share);
        assert!(figures.peak_share < 0.3, "{run}: {} in a tenth of a second", figures.peak_share);
    }
}

#[rstest::rstest]
fn instances_below_a_limit_refuse_nothing(
    #[values(6, 61, 79, 195)] instances: usize,
    #[values(0.5, 0.75)] load: f64,
) {
    let demand: DemandCurve = if load < 0.6 { |_| 0.5 } else { |_| 0.75 };
    for (run, figures) in runs(instances, demand, None) {
        assert_eq!(figures.refused_share, 0.0, "{run}");
    }
}

/// The overdraft does not grow when demand jumps, nor when a fifth of the instances leaves and as many join.
#[rstest::rstest]
fn changes_of_demand_and_instances_do_not_exceed_a_limit(
    #[values(6, 61, 79, 195)] instances: usize,
    #[values(None, Some(13_000))] changes_at: Option<u64>,
) {
    let jump: DemandCurve = |now| if now < 12_000 { 0.5 } else { 5.0 };
    for (run, figures) in runs(instances, jump, changes_at) {
        assert!(figures.overdraft <= most_overdraft(), "{run}: overdraft {}", figures.overdraft);
    }
    for (run, figures) in runs(instances, |_| 3.0, changes_at) {
        assert!(figures.overdraft <= most_overdraft(), "{run}: overdraft {}", figures.overdraft);
        assert!(figures.used_share >= 0.95, "{run}: {} of the rate", figures.used_share);
    }
}

fn most_overdraft() -> f64 {
    OVERDRAFT_SHARE * (LIMIT.rate_per_s * WINDOW_MS as f64 / 1e3 + LIMIT.burst)
}

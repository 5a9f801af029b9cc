//! `fairness`: engines that are full, four customers within their shares, one that asks for more
//! than is left, and then for five times that.

use std::collections;
use std::time;

use coltsfoot_quota::{fair_queue, queue_entry};
use coltsfoot_types::{id, name, time as clock};
use rand::{RngExt as _, SeedableRng as _, rngs};
use rand_distr::Distribution as _;

use crate::cmd;

/// Requests that the engines run at a time.
const SLOTS: usize = 9 * 8;
/// Length of a run.
const RUN: time::Duration = time::Duration::from_secs(3_600);
/// Time between output tokens.
const TOKEN_TIME: time::Duration = time::Duration::from_millis(31);
/// Time that a caller waits for its turn at most.
const PATIENCE: time::Duration = time::Duration::from_secs(20);
/// Smallest and largest output of a request, in tokens.
const OUTPUT_TOKENS: std::ops::RangeInclusive<u64> = 20..=220;
/// Parts of the engines' capacity that the customers ask for; the last one is the flooding one.
const LOADS: [f64; 5] = [0.18, 0.16, 0.14, 0.12, 0.5];
/// How much more the flooding customer asks for.
const FLOOD_FACTOR: f64 = 5.0;

/// Figures of all runs.
#[derive(serde::Serialize)]
struct FairnessFigures {
    victim_p99_ratio: f64,
    worst_share: f64,
    fifo_victim_p99_ratio: f64,
    fifo_worst_share: f64,
    victim_p99_ms: f64,
    victim_p99_flood_ms: f64,
}

/// What a run counted.
struct FairnessRun {
    /// 99th percentiles of the waits, by customer.
    p99: Vec<time::Duration>,
    /// Tokens offered and served, by customer.
    offered: Vec<u64>,
    served: Vec<u64>,
}

/// A request.
#[derive(Clone, Copy, Debug)]
struct OfferedRequest {
    at: clock::MonotonicTime,
    customer: usize,
    tokens: u64,
}

/// Runs the measure.
pub fn run(options: &cmd::MeasureOptions) -> Result<(), cmd::MeasureError> {
    let calm = offer(options.seed, 1.0);
    let flood = offer(options.seed, FLOOD_FACTOR);
    let fair = [serve(&calm, true), serve(&flood, true)];
    let fifo = [serve(&calm, false), serve(&flood, false)];
    for (label, run) in [
        ("fair, calm", &fair[0]),
        ("fair, flood", &fair[1]),
        ("fifo, calm", &fifo[0]),
        ("fifo, flood", &fifo[1]),
    ] {
        println!(
            "{label:12} p99 {:?}  offered {:?}  served {:?}  worst share {:.3}",
            run.p99,
            run.offered,
            run.served,
            worst_share(run),
        );
    }
    let worst_p99 = |run: &FairnessRun| run.p99[..4].iter().max().copied().unwrap_or_default();
    let figures = FairnessFigures {
        victim_p99_ratio: victim_ratio(&fair),
        worst_share: worst_share(&fair[1]),
        fifo_victim_p99_ratio: victim_ratio(&fifo),
        fifo_worst_share: worst_share(&fifo[1]),
        victim_p99_ms: worst_p99(&fair[0]).as_secs_f64() * 1e3,
        victim_p99_flood_ms: worst_p99(&fair[1]).as_secs_f64() * 1e3,
    };
    println!("{}", serde_json::to_string(&figures).expect("figures are plain numbers"));
    Ok(())
}

/// Builds Poisson arrivals; those of the four customers are the same in every run.
fn offer(seed: u64, flood_factor: f64) -> Vec<OfferedRequest> {
    let mean_tokens = (OUTPUT_TOKENS.start() + OUTPUT_TOKENS.end()) as f64 / 2.0;
    let capacity = SLOTS as f64 / TOKEN_TIME.as_secs_f64();
    let mut offered = Vec::new();
    for (customer, load) in LOADS.into_iter().enumerate() {
        let factor = if customer == 4 { flood_factor } else { 1.0 };
        let mut rng = rngs::StdRng::seed_from_u64(seed * 100 + customer as u64);
        let rate = load * factor * capacity / mean_tokens;
        let gaps = rand_distr::Exp::new(rate).expect("the rate is positive");
        let mut at = gaps.sample(&mut rng);
        while at < RUN.as_secs_f64() {
            let instant = clock::MonotonicTime((at * 1e6) as u64);
            let tokens = rng.random_range(OUTPUT_TOKENS);
            offered.push(OfferedRequest { at: instant, customer, tokens });
            at += gaps.sample(&mut rng);
        }
    }
    offered.sort_by_key(|request| request.at);
    offered
}

/// Serves the requests on the slots, from the fair queue or in order of arrival.
fn serve(offered: &[OfferedRequest], is_fair: bool) -> FairnessRun {
    let limits =
        queue_entry::QueueLimits::builder().max_entries(2_000).max_customer_entries(500).build();
    let mut queue = fair_queue::FairQueue::new(limits);
    let mut busy = collections::BTreeSet::<(clock::MonotonicTime, usize)>::new();
    let mut waits = vec![Vec::new(); LOADS.len()];
    let mut run = FairnessRun {
        p99: Vec::new(),
        offered: vec![0; LOADS.len()],
        served: vec![0; LOADS.len()],
    };
    let mut next = 0;
    let mut started = 0;
    let end = clock::MonotonicTime(0) + RUN;
    while let Some(now) = next_instant(offered.get(next), &busy).filter(|now| *now < end) {
        while busy.first().is_some_and(|(ends, _)| *ends <= now) {
            busy.pop_first();
        }
        while let Some(request) = offered.get(next).filter(|request| request.at <= now) {
            run.offered[request.customer] += request.tokens;
            let customer = if is_fair { request.customer } else { 0 };
            let entry = entry(next as u128, customer, request);
            // A refused request has left its customer unserved, which the shares show.
            let _ = queue.push(now, entry);
            next += 1;
        }
        queue.expire(now);
        while busy.len() < SLOTS {
            let Some(entry) = queue.pop(now) else {
                break;
            };
            let request = entry.item;
            waits[request.customer].push(now.since(request.at));
            run.served[request.customer] += request.tokens;
            started += 1;
            busy.insert((now + TOKEN_TIME * request.tokens as u32, started));
        }
    }
    run.p99 = waits.into_iter().map(p99).collect();
    run
}

fn next_instant(
    arrival: Option<&OfferedRequest>,
    busy: &collections::BTreeSet<(clock::MonotonicTime, usize)>,
) -> Option<clock::MonotonicTime> {
    let ends = busy.first().map(|(ends, _)| *ends);
    arrival.map(|request| request.at).into_iter().chain(ends).min()
}

fn entry(
    number: u128,
    customer: usize,
    request: &OfferedRequest,
) -> queue_entry::QueueEntry<OfferedRequest> {
    queue_entry::QueueEntry::builder()
        .request(id::RequestId(number))
        .customer(name::CustomerName::from(format!("customer-{customer}")))
        .tokens(request.tokens)
        .deadline(request.at + PATIENCE)
        .item(*request)
        .build()
}

fn p99(mut waits: Vec<time::Duration>) -> time::Duration {
    waits.sort();
    waits.get(waits.len() * 99 / 100).copied().unwrap_or_default()
}

/// Returns the worst ratio of a victim's 99th percentile with the flood to that without.
fn victim_ratio(runs: &[FairnessRun; 2]) -> f64 {
    let ratios = runs[1].p99[..4].iter().zip(&runs[0].p99);
    ratios.map(|(flood, calm)| flood.as_secs_f64() / calm.as_secs_f64()).fold(0.0, f64::max)
}

/// Returns the smallest part of its max-min fair tokens that a customer was served.
fn worst_share(run: &FairnessRun) -> f64 {
    let capacity = run.served.iter().sum::<u64>() as f64;
    let fair = max_min_shares(capacity, &run.offered);
    let parts = run.served.iter().zip(fair).map(|(served, fair)| *served as f64 / fair);
    parts.fold(f64::INFINITY, f64::min)
}

fn max_min_shares(capacity: f64, offered: &[u64]) -> Vec<f64> {
    let mut order = (0..offered.len()).collect::<Vec<_>>();
    order.sort_by_key(|customer| offered[*customer]);
    let mut shares = vec![0.0; offered.len()];
    let mut rest = capacity;
    for (place, customer) in order.into_iter().enumerate() {
        let equal = rest / (offered.len() - place) as f64;
        shares[customer] = equal.min(offered[customer] as f64);
        rest -= shares[customer];
    }
    shares
}

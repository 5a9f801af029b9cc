//! Skewed and shifting demand of five customers in three zones.

use std::collections;
use std::time;

use coltsfoot_quota::{limit_history, token_bucket};
use coltsfoot_types::{name, time as clock};
use rand::{RngExt as _, SeedableRng as _, rngs};
use rand_distr::Distribution as _;

/// Names of the zones.
pub const ZONES: [&str; 3] = ["rennes", "brest", "nantes"];
/// Instances of each zone.
pub const INSTANCES_PER_ZONE: usize = 3;
/// Rates of the customers, in tokens per second over the fleet.
const RATES: [u64; 5] = [8_000, 4_000, 2_000, 1_000, 500];
/// Time in which the rate fills the burst.
const BURST_SECONDS: u64 = 10;
/// Time after which the zones exchange their parts of the demand.
const SHIFT_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// Parts of a customer's demand by zone; they rotate.
const ZONE_PARTS: [f64; 3] = [0.7, 0.2, 0.1];
/// Parts of a zone's demand by instance.
const INSTANCE_PARTS: [f64; 3] = [0.5, 0.3, 0.2];

/// A request of the workload.
#[derive(Clone, Debug)]
pub struct WorkloadRequest {
    /// When it arrives.
    pub at: clock::MonotonicTime,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Place of the instance among those of the zone.
    pub instance: usize,
    /// Tokens that it is charged with.
    pub tokens: u64,
    /// Tokens that it will not use.
    pub unused: u64,
    /// Time that it runs.
    pub duration: time::Duration,
}

/// Returns the name of a customer.
pub fn customer_name(customer: usize) -> name::CustomerName {
    format!("customer-{customer}").into()
}

/// Returns rate and burst of a customer.
pub fn customer_total(customer: usize) -> token_bucket::BucketLimits {
    let rate = RATES[customer];
    token_bucket::BucketLimits { rate, burst: rate * BURST_SECONDS }
}

/// Returns the number of customers.
pub fn customer_count() -> usize {
    RATES.len()
}

/// Returns the limits of all customers; the zones hold equal parts.
pub fn customer_limits() -> collections::BTreeMap<name::CustomerName, limit_history::CustomerLimits>
{
    let limits = |customer| limit_history::CustomerLimits {
        total: customer_total(customer),
        zone_permille: ZONES.iter().map(|zone| (*zone).into()).zip([334, 333, 333]).collect(),
    };
    (0..RATES.len()).map(|customer| (customer_name(customer), limits(customer))).collect()
}

/// Builds requests that arrive by a Poisson process between two instants. `load` gives the part
/// of each customer's rate that its requests are charged with.
pub fn build(
    seed: u64,
    from: time::Duration,
    until: time::Duration,
    load: impl Fn(usize) -> f64,
) -> Vec<WorkloadRequest> {
    let mut requests = Vec::new();
    for (customer, rate) in RATES.into_iter().enumerate() {
        let mut rng = rngs::StdRng::seed_from_u64(seed * 100 + customer as u64);
        let mean_tokens = 60.0 + 120.0 + 150.0;
        let interval = mean_tokens / (rate as f64 * load(customer));
        let gaps = rand_distr::Exp::new(1.0 / interval).expect("the interval is positive");
        let mut at = from.as_secs_f64();
        loop {
            at += gaps.sample(&mut rng);
            if at >= until.as_secs_f64() {
                break;
            }
            requests.push(request(&mut rng, customer, at));
        }
    }
    requests.sort_by_key(|request| (request.at, request.customer));
    requests
}

fn request(rng: &mut rngs::StdRng, customer: usize, at: f64) -> WorkloadRequest {
    let prompt = 60 + rng.random_range(0..=240_u64);
    let max_output = rng.random_range(50..=250_u64);
    let output = rng.random_range(10..=max_output);
    let shift = (at / SHIFT_INTERVAL.as_secs_f64()) as usize + customer;
    let zone = (pick(rng, &ZONE_PARTS) + shift) % ZONES.len();
    WorkloadRequest {
        at: clock::MonotonicTime((at * 1e6) as u64),
        customer,
        zone,
        instance: pick(rng, &INSTANCE_PARTS),
        tokens: prompt + max_output,
        unused: max_output - output,
        duration: time::Duration::from_millis(340 + 31 * output),
    }
}

fn pick(rng: &mut rngs::StdRng, parts: &[f64; 3]) -> usize {
    let drawn = rng.random_range(0.0..1.0);
    if drawn < parts[0] {
        return 0;
    }
    if drawn < parts[0] + parts[1] { 1 } else { 2 }
}

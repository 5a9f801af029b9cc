//! Mixed workload of five customers: streamed and non-streamed chat and service calls. One
//! customer sends several times its rate limit.

use std::collections;
use std::net;
use std::sync;
use std::time;

use coltsfoot_system::{caller, embedded, sample};
use http_types::Method;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::Distribution as _;

use crate::deployment;

/// Requests per second of a customer that stays within its rate limit.
const REQUESTS_PER_SECOND: f64 = 12.0;
/// Request rate of the flooding customer, as a multiple of the other customers' rate.
const FLOOD_FACTOR: f64 = 8.0;
/// Exponent of the Zipf distribution of requests over adapters.
const POPULARITY_EXPONENT: f64 = 1.1;
/// `max_tokens` of each chat request.
const MAX_TOKENS: u32 = 48;
/// Threads that send requests.
const SENDER_THREADS: usize = 2;

/// Counters and latencies of one customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerOutcome {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Failed requests by error code or transport error.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Times from sending to the end of the answer, in microseconds.
    pub latencies_us: Vec<u64>,
}

/// Outcomes by customer name.
pub type WorkloadOutcome = collections::BTreeMap<&'static str, CustomerOutcome>;

struct PlannedRequest {
    customer: &'static str,
    address: net::SocketAddr,
    kind: RequestKind,
}

enum RequestKind {
    Chat { model: String, streamed: bool },
    ServiceCall,
}

/// Sends requests for `length` and waits for all answers.
pub fn run(
    deployment: &embedded::EmbeddedCluster,
    length: time::Duration,
    seed: u64,
) -> WorkloadOutcome {
    let executor: sync::Arc<async_executor::Executor<'static>> = sync::Arc::default();
    let outcomes = sync::Arc::new(sync::Mutex::new(WorkloadOutcome::new()));
    for _ in 0..SENDER_THREADS {
        let executor = sync::Arc::clone(&executor);
        std::thread::spawn(move || {
            async_io::block_on(executor.run(std::future::pending::<()>()));
        });
    }
    let addresses = deployment.caller_addresses();
    let sending = deployment::CUSTOMERS.into_iter().enumerate().map(|(index, customer)| {
        let addresses = addresses.clone();
        let outcomes = sync::Arc::clone(&outcomes);
        let spawner = sync::Arc::clone(&executor);
        let rng = SmallRng::seed_from_u64(seed + index as u64);
        executor.spawn(send_all(customer, addresses, length, rng, outcomes, spawner))
    });
    let sending: Vec<_> = sending.collect();
    async_io::block_on(async {
        show_progress(length).await;
        for task in sending {
            task.await;
        }
    });
    let outcomes = outcomes.lock().unwrap_or_else(sync::PoisonError::into_inner);
    outcomes.clone()
}

async fn show_progress(length: time::Duration) {
    let steps = length.as_millis() as u64 / 100;
    let bar = indicatif::ProgressBar::new(steps);
    for _ in 0..steps {
        async_io::Timer::after(time::Duration::from_millis(100)).await;
        bar.inc(1);
    }
    bar.finish_and_clear();
}

async fn send_all(
    customer: &'static str,
    addresses: Vec<net::SocketAddr>,
    length: time::Duration,
    mut rng: SmallRng,
    outcomes: sync::Arc<sync::Mutex<WorkloadOutcome>>,
    executor: sync::Arc<async_executor::Executor<'static>>,
) {
    let caller = caller::HttpCaller::new(Some(&sample::key_of(customer)));
    let factor = if customer == "flooder" { FLOOD_FACTOR } else { 1.0 };
    let gaps = rand_distr::Exp::new(REQUESTS_PER_SECOND * factor).expect("the rate is positive");
    let end = time::Instant::now() + length;
    let mut running = Vec::new();
    while time::Instant::now() < end {
        let gap = time::Duration::from_secs_f64(gaps.sample(&mut rng));
        async_io::Timer::after(gap).await;
        let request = plan(customer, &addresses, &mut rng);
        let caller = caller.clone();
        let outcomes = sync::Arc::clone(&outcomes);
        running.push(executor.spawn(async move { send(&caller, request, &outcomes).await }));
    }
    for task in running {
        task.await;
    }
}

fn plan(
    customer: &'static str,
    addresses: &[net::SocketAddr],
    rng: &mut SmallRng,
) -> PlannedRequest {
    let address = addresses[rng.random_range(0..addresses.len())];
    if rng.random_bool(0.1) {
        return PlannedRequest { customer, address, kind: RequestKind::ServiceCall };
    }
    let adapters = deployment::ADAPTERS_PER_CUSTOMER as f64;
    let popularity =
        rand_distr::Zipf::new(adapters, POPULARITY_EXPONENT).expect("the exponent is positive");
    let rank = popularity.sample(rng) as usize - 1;
    let model = format!("{}@1", deployment::adapter_name(customer, rank));
    let streamed = rng.random_bool(0.5);
    PlannedRequest { customer, address, kind: RequestKind::Chat { model, streamed } }
}

async fn send(
    caller: &caller::HttpCaller,
    request: PlannedRequest,
    outcomes: &sync::Mutex<WorkloadOutcome>,
) {
    let sent_at = time::Instant::now();
    let prompt = "Brief the crew of tonight's banquet in the hotel by the harbour";
    let address = request.address;
    let refusal = match request.kind {
        RequestKind::Chat { model, streamed: true } => {
            let answer = caller.stream(address, &model, prompt, MAX_TOKENS, |_| {}).await;
            match answer {
                Ok(answer) if answer.done => None,
                Ok(answer) => Some(answer.error_code.unwrap_or_else(|| "cut".to_owned())),
                Err(error) => Some(error.to_string()),
            }
        }
        RequestKind::Chat { model, streamed: false } => {
            error_code(caller.chat(address, &model, prompt, MAX_TOKENS).await)
        }
        RequestKind::ServiceCall => {
            let path = "/v1/services/look-up/shifts";
            error_code(caller.call(Method::Get, address, path, "").await)
        }
    };
    let mut outcomes = outcomes.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let outcome = outcomes.entry(request.customer).or_default();
    outcome.sent += 1;
    match refusal {
        None => {
            outcome.answered += 1;
            outcome.latencies_us.push(sent_at.elapsed().as_micros() as u64);
        }
        Some(code) => *outcome.refusals.entry(code).or_default() += 1,
    }
}

fn error_code<E: std::fmt::Display>(answer: Result<caller::CallAnswer, E>) -> Option<String> {
    match answer {
        Ok(answer) if answer.status == 200 => None,
        Ok(answer) => Some(answer.code()),
        Err(error) => Some(error.to_string()),
    }
}

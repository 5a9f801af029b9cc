//! Sends chat requests at a pace, or as many as are answered.

use std::fs;
use std::net;
use std::sync;
use std::time;

use async_executor::Executor;
use coltsfoot_system::caller;
use hdrhistogram::Histogram;

/// Threads that send.
const SENDER_THREADS: usize = 2;
/// Largest output asked for, in tokens.
const MAX_TOKENS: u32 = 4;
/// Adapter version that the requests name.
const MODEL: &str = "korrigan-drafts@1";
/// Longest latency that is kept, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// What came of the requests.
pub struct LoadOutcome {
    /// Times from sending to the whole answer, in microseconds.
    pub latencies_us: Histogram<u64>,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that failed or were refused.
    pub failed: u64,
}

impl LoadOutcome {
    fn new() -> Self {
        let latencies_us = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("sound bounds");
        Self { latencies_us, answered: 0, failed: 0 }
    }

    fn add(&mut self, latency: Option<time::Duration>) {
        match latency {
            Some(latency) => {
                self.answered += 1;
                self.latencies_us.saturating_record(latency.as_micros() as u64);
            }
            None => self.failed += 1,
        }
    }
}

type SharedOutcome = sync::Arc<sync::Mutex<LoadOutcome>>;

/// Sends requests at a pace, whatever the answers do.
pub fn paced(
    address: net::SocketAddr,
    key: Option<&str>,
    requests_per_second: u64,
    length: time::Duration,
) -> LoadOutcome {
    let executor = start_executor();
    let outcome: SharedOutcome = sync::Arc::new(sync::Mutex::new(LoadOutcome::new()));
    let caller = caller::HttpCaller::new(key);
    let interval = time::Duration::from_secs(1) / requests_per_second as u32;
    let count = (length.as_secs_f64() * requests_per_second as f64) as u32;
    let began = time::Instant::now();
    let sending = async {
        let mut running = Vec::new();
        for number in 0..count {
            async_io::Timer::at(began + interval * number).await;
            let caller = caller.clone();
            let outcome = sync::Arc::clone(&outcome);
            running.push(executor.spawn(async move { send(&caller, address, &outcome).await }));
        }
        for task in running {
            task.await;
        }
    };
    async_io::block_on(sending);
    take(outcome)
}

/// Keeps a number of requests under way for a while.
pub fn saturating(
    address: net::SocketAddr,
    key: &str,
    concurrency: usize,
    length: time::Duration,
) -> LoadOutcome {
    let executor = start_executor();
    let outcome: SharedOutcome = sync::Arc::new(sync::Mutex::new(LoadOutcome::new()));
    let caller = caller::HttpCaller::new(Some(key));
    let end = time::Instant::now() + length;
    let senders: Vec<_> = (0..concurrency)
        .map(|_| {
            let caller = caller.clone();
            let outcome = sync::Arc::clone(&outcome);
            executor.spawn(async move {
                while time::Instant::now() < end {
                    send(&caller, address, &outcome).await;
                }
            })
        })
        .collect();
    async_io::block_on(async {
        for sender in senders {
            sender.await;
        }
    });
    take(outcome)
}

/// Returns the resident memory of this process, in MiB.
pub fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.unwrap_or(f64::NAN) / 1_024.0
}

async fn send(
    caller: &caller::HttpCaller,
    address: net::SocketAddr,
    outcome: &sync::Mutex<LoadOutcome>,
) {
    let sent = time::Instant::now();
    let answer = caller.chat(address, MODEL, "Brief the crew", MAX_TOKENS).await;
    let answered = answer.is_ok_and(|answer| answer.status == 200);
    let latency = answered.then(|| sent.elapsed());
    outcome.lock().unwrap_or_else(sync::PoisonError::into_inner).add(latency);
}

fn start_executor() -> sync::Arc<Executor<'static>> {
    let executor: sync::Arc<Executor<'static>> = sync::Arc::default();
    for _ in 0..SENDER_THREADS {
        let executor = sync::Arc::clone(&executor);
        std::thread::spawn(move || {
            async_io::block_on(executor.run(std::future::pending::<()>()));
        });
    }
    executor
}

fn take(outcome: SharedOutcome) -> LoadOutcome {
    let mut shared = outcome.lock().unwrap_or_else(sync::PoisonError::into_inner);
    std::mem::replace(&mut shared, LoadOutcome::new())
}

//! Engines name a `Server-Limit`. Checks that requests which are unanswered at their route's `TimeoutMs` get
//! an answer within half a second. Records how long the gateways answer no readiness check, and whether they are
//! busy meanwhile.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::{Addresses, Config, Engine, Flag, Folders, Gateway, Pace, Record, Request, Setting, Store};

/// Field of the engines' answers.
const LIMIT: &str = "Server-Limit: 1\r\n";
const TIMEOUT_MS: u64 = 1500;
const ENGINES: usize = 2;
/// Adapters that the callers ask for: more than the engines have places for.
const ADAPTERS: usize = 60;
/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

fn main() -> ExitCode {
    let folders = Folders::new();
    let record = Record::new();
    let result = run(&folders, &record);
    record.write(&folders.case);
    match result {
        None => ExitCode::from(2),
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
    }
}

/// Time without an answer, and the share of it in which the process was busy.
type Silence = (Duration, f64);

/// Checks readiness ten times a second; returns the longest time without an answer of 200.
fn watch(gateway: &Gateway, stop: &AtomicBool, record: &Record) -> Silence {
    let busy_s = || gateway.processor_ticks() as f64 / TICKS_PER_S;
    let mut answered = (Instant::now(), busy_s());
    let mut longest = (Duration::ZERO, 0.0);
    while !stop.load(Ordering::Relaxed) {
        let is_ready = gateway.is_ready();
        let (silent, busy) = (answered.0.elapsed(), busy_s() - answered.1);
        if silent > longest.0 {
            longest = (silent, busy / silent.as_secs_f64());
        }
        if silent >= Duration::from_millis(800) {
            record.say(format!(
                "{}: no answer to readiness checks for {:.3} s, busy for {busy:.2} s; answers now: {is_ready}",
                gateway.name,
                silent.as_secs_f64()
            ));
        }
        if is_ready {
            answered = (Instant::now(), busy_s());
        }
        standins::sleep_ms(100);
    }
    longest
}

fn run(folders: &Folders, record: &Arc<Record>) -> Option<bool> {
    let mut addresses = Addresses::new();
    let store = Store::start(addresses.next());
    Config { version: 3, timeout_ms: TIMEOUT_MS, rate_per_s: 0, is_resumable: true }.publish(&store);
    let pace = Pace { events: 5, event_ms: 10, prefill_tokens_per_ms: 38.7 };
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| Engine::start(&store, addresses.next(), &format!("i-{number}"), pace, record))
        .collect();
    let gateways = ["edge-rennes-1", "edge-rennes-2"].map(|name| {
        Gateway::start(&store, addresses.next(), name, Setting::default(), &folders.temporary)
    });
    if !standins::wait_ready(&gateways, Duration::from_secs(10)) {
        record.say("the gateways are not ready");
        return None;
    }
    let gateways = gateways.map(Arc::new);
    thread::sleep(Duration::from_secs(10));
    if standins::has_trouble() {
        for engine in &engines {
            *standins::lock(&engine.announcement) = LIMIT.to_owned();
        }
        record.say(format!("the engines name {}", LIMIT.trim_end()));
    }
    let stop = Flag::new(AtomicBool::new(false));
    let watchers = gateways.each_ref().map(|gateway| {
        let (gateway, stop, record) = (Arc::clone(gateway), Arc::clone(&stop), Arc::clone(record));
        thread::spawn(move || watch(&gateway, &stop, &record))
    });
    let waits = Arc::<Mutex<Vec<f64>>>::default();
    let end = Instant::now() + Duration::from_secs(40);
    let mut callers = Vec::new();
    for count in 0_usize.. {
        if Instant::now() >= end {
            break;
        }
        let adapter = 1 + count * 7 % ADAPTERS;
        let request = Request {
            id: format!("r-{count}"),
            model: format!("{}/a{adapter}", standins::model()),
            tokens: (826, 292),
            deadline_ms: 8000,
            extra: String::new(),
            body: vec![b'x'; 1700],
        };
        let front = gateways[count % 2].front();
        let (waits, record) = (Arc::clone(&waits), Arc::clone(record));
        callers.push(thread::spawn(move || {
            let begun = Instant::now();
            let answer = request.call(front);
            let wait = begun.elapsed().as_secs_f64();
            record.note(format!("{} for a{adapter} to {front}: {answer:?} after {wait:.3} s", request.id));
            standins::lock(&waits).push(wait);
        }));
        standins::sleep_ms(100);
    }
    for caller in callers {
        let _ = caller.join();
    }
    stop.store(true, Ordering::Relaxed);
    for (gateway, watcher) in gateways.iter().zip(watchers) {
        let (silent, share) = watcher.join().ok()?;
        record.say(format!(
            "{}: longest time without an answer to readiness checks {:.3} s, busy for {share:.2} of it",
            gateway.name,
            silent.as_secs_f64()
        ));
    }
    let waits = standins::lock(&waits).clone();
    let later = |s: f64| waits.iter().filter(|wait| **wait > s).count();
    let timeout_s = TIMEOUT_MS as f64 / 1000.0;
    let (unanswered, half_a_second_later) = (later(timeout_s), later(timeout_s + 0.5));
    record.say(format!(
        "{} requests, {unanswered} without an answer at TimeoutMs, {half_a_second_later} half a second later",
        waits.len(),
    ));
    // Rule CONFIG: more than half of them.
    Some(half_a_second_later * 2 <= unanswered)
}

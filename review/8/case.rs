//! A new version of an adapter is named whose name has the same 32-bit hash as that of an adapter which
//! a full engine holds. Checks that no engine is ordered to load more adapters than it has places for.

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use standins::{Addresses, Config, Engine, Flag, Folders, Gateway, Pace, Record, Request, Setting, Store};

/// A base model of which two adapters have names with the same hash: one in about a thousand names of
/// models with 3,000 adapters, one in twelve with 24,000.
const MODEL: &str = "daka510491";
const HELD_ADAPTER: &str = "a213";
const NAMED_ADAPTER: &str = "a263";
/// Other adapters in use: the engines have no place to spare.
const OTHERS: usize = 20;
const CALLERS: usize = 8;
/// Callers that ask for the adapter with the new version.
const NAMED_CALLERS: usize = 4;
const ENGINES: usize = 2;

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

fn request(id: String, adapter: &str) -> Request {
    Request {
        id,
        model: format!("{MODEL}/{adapter}"),
        tokens: (826, 292),
        deadline_ms: 15_000,
        extra: String::new(),
        body: vec![b'x'; 1700],
    }
}

fn run(folders: &Folders, record: &Arc<Record>) -> Option<bool> {
    standins::MODEL.set(MODEL.to_owned()).ok()?;
    let mut addresses = Addresses::new();
    let store = Store::start(addresses.next());
    Config { version: 3, timeout_ms: 15_000, rate_per_s: 0, is_resumable: false }.publish(&store);
    let pace = Pace { events: 20, event_ms: 20, prefill_tokens_per_ms: 38.7 };
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
    let stop = Flag::new(AtomicBool::new(false));
    // Whole and cut streams.
    let streams = Arc::<Mutex<(usize, usize)>>::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(record));
            let streams = Arc::clone(&streams);
            let front = gateways[caller % 2].front();
            thread::spawn(move || {
                for count in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    // Two callers use the adapter that stays, the others the rest.
                    let adapter = match caller {
                        0 | 1 => HELD_ADAPTER.to_owned(),
                        _ => format!("a{}", 1 + (count * 5 + caller) % OTHERS),
                    };
                    let request = request(format!("c{caller}-{count}"), &adapter);
                    let answer = request.call(front);
                    record.note(format!("{} for {adapter} to {front}: {answer:?}", request.id));
                    match answer {
                        Ok((200, true)) => standins::lock(&streams).0 += 1,
                        Ok((200, false)) => standins::lock(&streams).1 += 1,
                        _ => {}
                    }
                    standins::sleep_ms(150);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(16));
    // The version is named once a full engine holds the other adapter.
    let is_full = |engine: &Arc<Engine>| {
        engine.held() == standins::ADAPTER_SLOTS && engine.is_ready(HELD_ADAPTER)
    };
    let end = Instant::now() + Duration::from_secs(20);
    while !engines.iter().any(is_full) && Instant::now() < end {
        standins::sleep_ms(2);
    }
    let has_full = engines.iter().any(is_full);
    let held: Vec<usize> = engines.iter().map(|engine| engine.held()).collect();
    record.say(format!("adapters at the engines: {held:?}; one that is full holds it: {has_full}"));
    if standins::has_trouble() {
        for engine in &engines {
            engine.declare(NAMED_ADAPTER, 2);
        }
        let key = format!("version/{MODEL}.{NAMED_ADAPTER}");
        let value = format!(r#"{{"Model":"{MODEL}","Adapter":"{NAMED_ADAPTER}","Version":2}}"#);
        store.put("keyed.op", &key, &value);
        record.say(format!("version 2 of {NAMED_ADAPTER} is named"));
    }
    let named: Vec<_> = (0..NAMED_CALLERS)
        .map(|caller| {
            let (engines, record) = (engines.clone(), Arc::clone(record));
            let front = gateways[caller % 2].front();
            thread::spawn(move || {
                for count in 0..40 {
                    if engines.iter().any(|engine| engine.has_crashed()) {
                        return;
                    }
                    let request = request(format!("n{caller}-{count}"), NAMED_ADAPTER);
                    let answer = request.call(front);
                    record.note(format!("{} for {NAMED_ADAPTER} to {front}: {answer:?}", request.id));
                    standins::sleep_ms(40);
                }
            })
        })
        .collect();
    for caller in named {
        let _ = caller.join();
    }
    standins::sleep_ms(1500);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let crashed: Vec<&str> =
        engines.iter().filter(|engine| engine.has_crashed()).map(|engine| &*engine.id).collect();
    let (whole, cut) = *standins::lock(&streams);
    record.say(format!("streams of the callers: {whole} whole, {cut} cut"));
    record.say(format!("engines that were ordered to load more than they hold: {crashed:?}"));
    if !has_full {
        return None;
    }
    Some(crashed.is_empty())
}

//! LIMIT: a daemon sends an order that had no answer once more, after another daemon has owned the engine.

mod daemon;
mod engine;
mod net;
mod record;
mod store;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use engine::{Engine, MODEL, SERVICE};
use record::Record;

/// Time for which the store turns a daemon away: the longest of `platform_down` with `nodes`.
const TURNED_AWAY: Duration = Duration::from_millis(9000);
/// When an order without an answer is carried out: 2 to 12 s later, by the pages.
const LATE: Duration = Duration::from_millis(11_000);
/// Time in which the share of orders without an answer is counted.
const LATE_WINDOW: Duration = Duration::from_millis(5500);
/// Largest share of orders without an answer, as the site file has it.
const MAX_SHARE: f64 = 0.35;
/// Time since the daemon's last renewal in which its orders get no answer.
const UNANSWERED_FROM: Duration = Duration::from_millis(800);
const UNANSWERED_TO: Duration = Duration::from_millis(1400);
/// Time from then to the end.
const REST: Duration = Duration::from_millis(22_000);
const ENGINES: u8 = 12;
/// Daemons, of which one is turned away: a share of 0.33.
const DAEMONS: usize = 3;
/// Adapters that callers ask for.
const ADAPTERS: u64 = 800;

/// Interval at which a daemon fetches the report of an engine.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Callers of each daemon.
const CLIENTS: u64 = 12;
/// Time after which callers of the first daemon come back.
const RETURN: Duration = Duration::from_millis(11_500);

/// Orders by arrival, with whether they got no answer.
type Orders = Arc<Mutex<Vec<(Instant, bool)>>>;

fn configuration() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-1","Host":"ficu95.example","PathPrefix":"/lohu930/",
"Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,"Priority":1,"Service":"{SERVICE}",
"MaxAttempts":2,"AuthExempt":false,"StickySession":true,"Resumable":true,"GapTargetMs":250}}],
"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,
"Engine":{{"Slots":64,"KvCapacity":232000,"Models":[{{"Name":"{MODEL}","WeightsMb":34300.0,"LoadTimeS":1.0,
"Adapters":3000,"AdapterMb":40.0,"WarmS":0.28,"DiskS":0.4}}],"WeightsMb":35300.0,"AdapterSlots":8,
"LoadsPerS":2.8}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000}}}}"#
    )
}

/// Sends requests for adapters in turn until it is told to stop.
fn send_requests(daemon: &str, address: SocketAddr, first: u64, stop: &AtomicBool, record: &Record) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut seed = first;
    while !stop.load(Ordering::SeqCst) {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let adapter = 1 + (seed >> 33) % ADAPTERS;
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model: \
             {MODEL}/a{adapter}\r\nX-Token-Count: 460,20\r\nX-Prompt-Prefix: 5c1e07a2:400,{id}:60\r\n\
             X-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"
        );
        let answer = net::call(address, request.as_bytes(), Duration::from_secs(6));
        let status = answer.map_or("no whole answer".to_owned(), |answer| answer.start[1].clone());
        record.line(format!("client: {id} a{adapter} to {daemon}: {status}"));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Returns whether an outage that begins now ends shortly after the daemon has fetched the reports of most
/// of its engines, so that it fetches none while it rejoins.
fn is_between_reports(engines: &[Engine], daemon: &str) -> bool {
    let owned: Vec<&Engine> =
        engines.iter().filter(|engine| engine.last_holder() == daemon).collect();
    let is_in_phase = |engine: &&&Engine| {
        let age = engine.report_age().unwrap_or_default() + TURNED_AWAY;
        let since = age.as_millis() % REPORT_INTERVAL.as_millis();
        (100..700).contains(&since)
    };
    owned.iter().filter(is_in_phase).count() * 3 > owned.len() * 2
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, path, folder] = &arguments[..] else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(path);
    record.line(format!("trouble: {has_trouble}"));
    let store = store::Store::new(&record);
    store.put("keyed.op", "config", &configuration());
    let entrances = [91, 92, 93].map(|host| store.entrance(host));
    let orders = Orders::default();
    // The name of the daemon whose orders get no answer, and between which times.
    let unanswered: Arc<Mutex<Option<(String, Instant, Instant)>>> = Arc::default();
    let lateness: engine::Lateness = {
        let (orders, unanswered) = (Arc::clone(&orders), Arc::clone(&unanswered));
        Arc::new(move |holder, order| {
            let now = Instant::now();
            let is_late = unanswered.lock().unwrap().as_ref().is_some_and(|(name, from, to)| {
                name == holder && (*from..*to).contains(&now) && net::member(order, "Op") == Some("load")
            });
            orders.lock().unwrap().push((now, is_late));
            is_late.then_some(LATE)
        })
    };
    let engines: Vec<Engine> = (1..=ENGINES)
        .map(|number| {
            let id = format!("i-7f3a91{number:02x}");
            Engine::start(&id, 20 + number, &store, &record, Arc::clone(&lateness))
        })
        .collect();
    let hosts = [1, 2, 3];
    let callers = net::free_port(&hosts);
    let ports = daemon::Ports { callers, readiness: callers + 1, internal: callers + 2 };
    let mut daemons: Vec<daemon::Daemon> = (0..DAEMONS)
        .map(|index| {
            let name = format!("edge-rennes-{}", index + 1);
            let store = entrances[index].address;
            daemon::Daemon::new(&name, hosts[index], ports, store, Path::new(folder))
        })
        .collect();
    daemons.iter_mut().for_each(|daemon| daemon.start(program));
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon is not ready");
        return ExitCode::from(2);
    }
    let stops: [Arc<AtomicBool>; DAEMONS] = Default::default();
    let start_clients = |index: usize| {
        for client in 0..CLIENTS {
            let (name, address) = (daemons[index].name.clone(), daemons[index].callers);
            let (stop, record) = (Arc::clone(&stops[index]), record.clone());
            let first = (index as u64 * CLIENTS + client) * 77 + 5;
            thread::spawn(move || send_requests(&name, address, first, &stop, &record));
        }
    };
    (0..DAEMONS).for_each(start_clients);
    let first = daemons[0].name.clone();
    let is_warm = |engines: &[Engine]| {
        let owned = engines.iter().filter(|engine| engine.last_holder() == first).count();
        owned >= 2 && engines.iter().all(Engine::is_full)
    };
    let warm_end = Instant::now() + Duration::from_secs(40);
    while !is_warm(&engines) {
        if Instant::now() > warm_end {
            record.line("the engines have not filled up");
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(5));
    let phase_end = Instant::now() + Duration::from_secs(6);
    while !is_between_reports(&engines, &first) && Instant::now() < phase_end {
        thread::sleep(Duration::from_millis(10));
    }
    let begin = Instant::now();
    if has_trouble {
        entrances[0].turned_away.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        let joined = entrances[0].joined.lock().unwrap().unwrap_or(begin);
        let times = (first.clone(), joined + UNANSWERED_FROM, joined + UNANSWERED_TO);
        *unanswered.lock().unwrap() = Some(times);
        record.line(format!("the store turns {first} away"));
    }
    thread::sleep(Duration::from_millis(1600));
    // Callers of the first daemon have no more requests.
    stops[0].store(true, Ordering::SeqCst);
    thread::sleep((begin + TURNED_AWAY).saturating_duration_since(Instant::now()));
    entrances[0].turned_away.store(false, Ordering::SeqCst);
    record.line(format!("the store serves {first}"));
    thread::sleep((begin + RETURN).saturating_duration_since(Instant::now()));
    stops[0].store(false, Ordering::SeqCst);
    start_clients(0);
    let crashed = |engines: &[Engine]| engines.iter().filter(|engine| engine.is_crashed()).count();
    while begin.elapsed() < REST && crashed(&engines) == 0 {
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(700));
    stops.iter().for_each(|stop| stop.store(true, Ordering::SeqCst));
    let crashed = crashed(&engines);
    drop(daemons);
    let end = begin + UNANSWERED_TO;
    let counted = orders.lock().unwrap();
    let window = counted.iter().filter(|(at, _)| (end - LATE_WINDOW..end).contains(at));
    let (late, all) = window.fold((0, 0), |(late, all), (_, is_late)| (late + i32::from(*is_late), all + 1));
    record.line(format!("orders without an answer: {late} of {all} in 5.5 s"));
    record.line(format!("engines that were ordered to load more than they hold: {crashed}"));
    if f64::from(late) > MAX_SHARE * f64::from(all) || (has_trouble && late == 0) {
        record.line("the disruption was not as the pages name it");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(crashed > 0))
}

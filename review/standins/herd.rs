//! BUDGET: a request that crashes each engine that runs it is sent to engines anew after all daemons were killed.

mod daemon;
mod desk;
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

use desk::{Crash, Desk, POISON, SERVICE};
use record::Record;

/// `ContactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3000);
/// Retries that the rule allows.
const MAX_RETRIES: usize = 3;
const DAEMONS: usize = 3;
const ENGINES: u8 = 3;
/// How often the request comes again, and how many times after each start of the daemons.
const REPEAT_INTERVAL: Duration = Duration::from_millis(2500);
const REPEATS: usize = 6;
/// How often all daemons are killed, and how long they are down.
const KILLS: usize = 2;
const DOWN_TIME: Duration = Duration::from_millis(1000);

fn configuration() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-1","Host":"ficu95.example","PathPrefix":"/puxa403/",
"Kind":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":300,"Priority":2,"Service":"{SERVICE}",
"MaxAttempts":1,"AuthExempt":false,"StickySession":false,"Resumable":false}}],
"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Sends a booking and returns the status of its answer.
fn send(daemon: &str, address: SocketAddr, body: &str, record: &Record) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
    let length = body.len();
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    let answer = net::call(address, request.as_bytes(), Duration::from_secs(2));
    let status = answer.map_or("no whole answer".to_owned(), |answer| answer.start[1].clone());
    record.line(format!("client: {id}, {body}, to {daemon}: {status}"));
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, path, folder] = &arguments[..] else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(path);
    record.line(format!("trouble: {has_trouble}"));
    let store = store::Store::new(&record);
    store.put("keyed.op", "config", &configuration());
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let crash = if has_trouble { Crash::Exit } else { Crash::Never };
    let engines: Vec<Desk> = (1..=ENGINES)
        .map(|number| Desk::start(number, &store, &record, &arrivals, crash))
        .collect();
    let hosts = [1, 2, 3];
    let callers = net::free_port(&hosts);
    let ports = daemon::Ports { callers, readiness: callers + 1, internal: callers + 2 };
    let mut daemons: Vec<daemon::Daemon> = (0..DAEMONS)
        .map(|index| {
            let name = format!("edge-rennes-{}", index + 1);
            let entrance = store.entrance(91 + index as u8);
            daemon::Daemon::new(&name, hosts[index], ports, entrance.address, Path::new(folder))
        })
        .collect();
    daemons.iter_mut().for_each(|daemon| daemon.start(program));
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        record.line("a daemon is not ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    for daemon in &daemons {
        let (name, address) = (daemon.name.clone(), daemon.callers);
        let (stop, record) = (Arc::clone(&stop), record.clone());
        thread::spawn(move || {
            for number in 1000.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                send(&name, address, &format!("booking {number}"), &record);
                thread::sleep(Duration::from_millis(300));
            }
        });
    }
    for start in 0..=KILLS {
        for repeat in 0..REPEATS {
            let daemon = &daemons[repeat % DAEMONS];
            send(&daemon.name, daemon.callers, POISON, &record);
            thread::sleep(REPEAT_INTERVAL);
        }
        if start < KILLS && has_trouble {
            record.line("all daemons are killed");
            daemons.iter_mut().for_each(daemon::Daemon::kill);
            thread::sleep(DOWN_TIME);
            daemons.iter_mut().for_each(|daemon| daemon.start(program));
            if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
                record.line("a daemon is not ready");
                return ExitCode::from(2);
            }
            thread::sleep(CONTACT + Duration::from_millis(500));
        }
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(500));
    drop(daemons);
    drop(engines);
    let arrivals = arrivals.lock().unwrap();
    let crashes = if has_trouble { arrivals.len() } else { 0 };
    let third = arrivals.get(2).copied();
    let retries = arrivals.iter().filter(|at| third.is_some_and(|third| **at > third + CONTACT));
    let retries = if has_trouble { retries.count() } else { 0 };
    record.line(format!("engines that crashed: {crashes}"));
    record.line(format!("retries later than ContactMs after the third crash: {retries}"));
    if has_trouble && arrivals.is_empty() {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(retries > MAX_RETRIES))
}

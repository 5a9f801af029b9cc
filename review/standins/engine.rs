//! Stand-in of a model engine: adapters, orders, reports and streams, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Name of the base model.
pub const MODEL: &str = "daka510000";
/// Name of the service.
pub const SERVICE: &str = "huvo11a";
/// Adapters that an engine holds.
pub const SLOTS: usize = 8;
/// Time to load an adapter, and one that the engine held before.
const LOAD: Duration = Duration::from_millis(250);
const WARM_LOAD: Duration = Duration::from_millis(25);
/// Age of the values of a report.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Events of a stream, and the pause before each.
const EVENTS: u32 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// How long after its arrival an order is carried out without an answer; `None` if it is answered.
/// The arguments are the holder and the order.
pub type Lateness = Arc<dyn Fn(&str, &str) -> Option<Duration> + Send + Sync>;

#[derive(Default)]
struct State {
    count: u64,
    adapters: Vec<String>,
    pending: Vec<(String, Instant)>,
    unloading: Option<String>,
    running: BTreeMap<String, u32>,
    held_before: BTreeSet<String>,
    history: VecDeque<(Instant, u64, Vec<String>, Vec<String>)>,
    last_holder: String,
    last_report: Option<Instant>,
    is_crashed: bool,
    open: Vec<TcpStream>,
}

impl State {
    /// Completes the loads and unloads that are due.
    fn advance(&mut self) {
        let now = Instant::now();
        let ready: Vec<String> =
            self.pending.iter().filter(|(_, at)| *at <= now).map(|(name, _)| name.clone()).collect();
        self.pending.retain(|(_, at)| *at > now);
        self.adapters.extend(ready);
        if let Some(name) = self.unloading.take_if(|name| !self.running.contains_key(name)) {
            self.adapters.retain(|held| *held != name);
        }
        let pending = self.pending.iter().map(|(name, _)| name.clone()).collect();
        self.history.push_back((now, self.count, self.adapters.clone(), pending));
        while self.history.len() > 1 && now - self.history[1].0 > REPORT_LAG {
            self.history.pop_front();
        }
    }

    fn has(&self, name: &str) -> bool {
        self.adapters.iter().any(|held| held == name)
    }
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    born: u128,
    state: Arc<Mutex<State>>,
    lateness: Lateness,
    record: Record,
}

impl Engine {
    /// Starts an engine that holds its base model and no adapter.
    pub fn start(id: &str, host: u8, store: &Store, record: &Record, lateness: Lateness) -> Self {
        let (listener, address) = net::bind(host);
        let born = std::time::UNIX_EPOCH.elapsed().expect("a date").as_millis();
        let (state, record) = (Arc::default(), record.clone());
        let engine = Self { id: id.to_owned(), address, born, state, lateness, record };
        let served = engine.clone();
        net::serve(listener, move |connection| served.serve(connection));
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || beating.beat(&store));
        engine
    }

    /// Returns who gave the last order.
    pub fn last_holder(&self) -> String {
        self.state.lock().unwrap().last_holder.clone()
    }

    /// Returns how long ago the last report was fetched.
    pub fn report_age(&self) -> Option<Duration> {
        self.state.lock().unwrap().last_report.map(|at| at.elapsed())
    }

    pub fn is_crashed(&self) -> bool {
        self.state.lock().unwrap().is_crashed
    }

    /// Returns whether all places for adapters are taken.
    pub fn is_full(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.adapters.len() + state.pending.len() >= SLOTS
    }

    fn beat(&self, store: &Store) {
        for sequence in 1_u64.. {
            let adapters = {
                let mut state = self.state.lock().unwrap();
                state.advance();
                if state.is_crashed {
                    return;
                }
                quoted(&state.adapters, "")
            };
            let (address, born) = (self.address, self.born);
            let entry = format!(
                "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"rennes\",\"Version\":\"v1\",\
                 \"Slots\":64,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"unified\",\"Models\":\
                 [{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[{adapters}]}}],\"Seq\":{sequence},\
                 \"born\":{born}}}"
            );
            store.put("keyed.servers", &self.id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, mut connection: Connection) {
        if let Ok(handle) = connection.stream.try_clone() {
            self.state.lock().unwrap().open.push(handle);
        }
        while let Some(request) = connection.message() {
            let mut state = self.state.lock().unwrap();
            state.advance();
            if state.is_crashed {
                return;
            }
            drop(state);
            let expected = request.field("X-Expect-Instance");
            let is_kept = match request.path() {
                _ if expected.is_some_and(|expected| expected != self.id) => {
                    connection.respond(421, &format!("X-Instance-Id: {}\r\n", self.id), b"")
                }
                "/-/report" => self.report(&mut connection),
                "/-/order" => self.receive_order(&mut connection, &request),
                "/health" => connection.respond(200, &format!("X-Instance-Id: {}\r\n", self.id), b""),
                _ => self.run(&mut connection, &request),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn report(&self, connection: &mut Connection) -> bool {
        let body = {
            let mut state = self.state.lock().unwrap();
            state.last_report = Some(Instant::now());
            let (_, count, adapters, pending) = &state.history[0];
            let running: u32 = state.running.values().sum();
            let (adapters, pending) = (quoted(adapters, ""), quoted(pending, &format!("{MODEL}/")));
            let born = self.born;
            format!(
                "{{\"Stage\":\"unified\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":\
                 [{adapters}]}}],\"Busy\":false,\"Seq\":{count},\"Queued\":0,\"Running\":{running},\
                 \"KvUsed\":0,\"KvTotal\":232000,\"Handles\":0,\"Pending\":[{pending}],\"born\":{born}}}"
            )
        };
        connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn receive_order(&self, connection: &mut Connection, request: &Message) -> bool {
        let order = request.text();
        let holder = net::member(&order, "Holder").unwrap_or_default();
        let Some(delay) = (self.lateness)(holder, &order) else {
            let status = self.carry_out(&order, "");
            return status != 0 && connection.respond(status, "", b"");
        };
        self.record.line(format!("engine {}: no answer to {order}", self.id));
        let (engine, late) = (self.clone(), order.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            engine.carry_out(&late, " late");
        });
        // The connection on which an answer is lost brings nothing further.
        let _ = connection.message();
        false
    }

    /// Carries an order out and returns its status, 0 if the engine crashed.
    fn carry_out(&self, order: &str, note: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        state.advance();
        let adapter = net::member(order, "Adapter").unwrap_or_default().to_owned();
        let is_expected = net::number(order, "ExpectedSeq").is_none_or(|count| count == state.count);
        let status = match net::member(order, "Op") {
            _ if state.is_crashed => return 0,
            _ if state.unloading.is_some() || !is_expected => 409,
            Some("load") if adapter.is_empty() || state.has(&adapter) => 200,
            Some("load") if state.pending.iter().any(|(name, _)| *name == adapter) => 200,
            Some("load") => {
                state.count += 1;
                let is_warm = !state.held_before.insert(adapter.clone());
                let ready = Instant::now() + if is_warm { WARM_LOAD } else { LOAD };
                state.pending.push((adapter, ready));
                202
            }
            Some("unload") if !state.has(&adapter) => 200,
            Some("unload") => {
                state.count += 1;
                state.unloading = Some(adapter.clone());
                if state.running.contains_key(&adapter) { 202 } else { 200 }
            }
            _ => 400,
        };
        state.last_holder = net::member(order, "Holder").unwrap_or_default().to_owned();
        state.advance();
        let held = state.adapters.len() + state.pending.len();
        self.record.line(format!("engine {}: {status}{note}, {held} of {SLOTS} held, {order}", self.id));
        if held > SLOTS {
            state.is_crashed = true;
            let cut: u32 = state.running.values().sum();
            for open in state.open.drain(..) {
                let _ = open.shutdown(Shutdown::Both);
            }
            let id = &self.id;
            self.record.line(format!("engine {id}: CRASHES, ordered to hold {held}; {cut} runs are lost"));
            return 0;
        }
        status
    }

    /// Runs a request as a stream.
    fn run(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = request.field("X-Request-Id").unwrap_or_default();
        let model = request.field("X-Model").unwrap_or_default();
        let adapter = model.split_once('/').map_or("", |(_, adapter)| adapter).to_owned();
        {
            let mut state = self.state.lock().unwrap();
            let not_run = format!("X-Not-Executed: 1\r\nX-Request-Id: {id}\r\n");
            if !state.has(&adapter) {
                drop(state);
                return connection.respond(421, &not_run, b"");
            }
            if state.unloading.as_ref() == Some(&adapter) {
                drop(state);
                return connection.respond(503, &not_run, b"");
            }
            *state.running.entry(adapter.clone()).or_default() += 1;
        }
        let is_whole = stream(connection, id);
        let mut state = self.state.lock().unwrap();
        if let Some(count) = state.running.get_mut(&adapter) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&adapter);
            }
        }
        let verdict = if is_whole { "run whole" } else { "run cut" };
        self.record.line(format!("engine {}: {verdict} {id} {adapter}", self.id));
        is_whole
    }
}

fn stream(connection: &mut Connection, id: &str) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
         X-Server-Stamp: s.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = connection.write(head.as_bytes());
    for event in 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let data = format!("id: {event}\ndata: {id}.{event}\n\n");
        is_open &= connection.write(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes());
    }
    is_open && connection.write(b"0\r\n\r\n")
}

/// Lists adapters as the wire does, with the version that all have.
fn quoted(names: &[String], prefix: &str) -> String {
    names.iter().map(|name| format!("\"{prefix}{name}@1\"")).collect::<Vec<_>>().join(",")
}

//! Fake of the platform's append-only log.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::id;
use http_types::{Method, Request, Response};
use rand::{RngExt as _, SeedableRng as _, rngs};
use serde::{Deserialize, Serialize};

use crate::{SharedExecutor, control, server};

/// Records returned to a read without a limit.
const DEFAULT_READ_LIMIT: u64 = 1000;

/// Options of a fake log.
#[derive(Clone, Debug, bon::Builder)]
pub struct LogOptions {
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = crate::server::ANY_PORT)]
    pub listen: net::SocketAddr,
    /// Seed for randomly lost appends and responses.
    #[builder(default = 1)]
    pub seed: u64,
    /// Initial switches.
    #[builder(default)]
    pub switches: LogSwitches,
}

/// Limits and faults of a log, changed by `POST /switches`.
#[derive(Clone, Debug, bon::Builder, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSwitches {
    /// Append calls per second, over all streams; more are refused with 429.
    #[builder(default = 400)]
    pub appends_per_second: u32,
    /// Time that an append takes.
    #[builder(default = 2)]
    pub append_ms: u64,
    /// Time that a read takes.
    #[builder(default = 1)]
    pub read_ms: u64,
    /// Age at which records are trimmed; unlimited if absent.
    pub retention_ms: Option<u64>,
    /// Records retained per stream; unlimited if absent.
    pub retained_records: Option<usize>,
    /// Whether all calls are refused with 503.
    #[builder(default = false)]
    pub outage: bool,
    /// Proportion of appends that take effect but get no response: the connection is closed.
    #[builder(default = 0)]
    pub lost_answers_permille: u32,
    /// Proportion of appends that take no effect and get no response: the connection is closed.
    #[builder(default = 0)]
    pub lost_appends_permille: u32,
}

impl Default for LogSwitches {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Counters of a fake log, as served by `GET /observations`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LogObservations {
    /// Append calls that took effect, by stream.
    pub appends: collections::BTreeMap<String, u64>,
    /// Values appended.
    pub values: u64,
    /// Reads.
    pub reads: u64,
    /// Append calls refused with 429 for exceeding the rate.
    pub over_rate: u64,
    /// Calls refused during an outage.
    pub refused: u64,
    /// Appends that took effect without a response.
    pub lost_answers: u64,
    /// Appends that took no effect and got no response.
    pub lost_appends: u64,
}

#[derive(Default)]
struct LogStream {
    start: u64,
    records: collections::VecDeque<protocol::LogRecord>,
}

impl LogStream {
    fn end(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    fn append(&mut self, timestamp_ms: u64, values: Vec<String>) -> id::LogOffset {
        let first = id::LogOffset(self.end());
        for value in values {
            let offset = id::LogOffset(self.end());
            self.records.push_back(protocol::LogRecord { offset, timestamp_ms, value });
        }
        first
    }

    fn trim(&mut self, timestamp_ms: u64, switches: &LogSwitches) {
        let oldest_ms = switches.retention_ms.map(|age| timestamp_ms.saturating_sub(age));
        let too_old = |record: &protocol::LogRecord| {
            oldest_ms.is_some_and(|oldest_ms| record.timestamp_ms < oldest_ms)
        };
        let too_many = |length| switches.retained_records.is_some_and(|limit| length > limit);
        while self.records.front().is_some_and(too_old) || too_many(self.records.len()) {
            self.records.pop_front();
            self.start += 1;
        }
    }

    fn read(&self, offset: u64, limit: u64) -> protocol::RecordPage {
        let skipped = offset.saturating_sub(self.start) as usize;
        let records = self.records.iter().skip(skipped).take(limit as usize);
        protocol::RecordPage {
            start_offset: id::LogOffset(self.start),
            end_offset: id::LogOffset(self.end()),
            records: records.cloned().collect(),
        }
    }
}

struct LogCore {
    streams: collections::BTreeMap<String, LogStream>,
    observations: LogObservations,
    rate_window: time::Instant,
    appends_in_window: u32,
    rng: rngs::SmallRng,
}

impl LogCore {
    fn admit_append(&mut self, appends_per_second: u32) -> bool {
        if self.rate_window.elapsed() >= time::Duration::from_secs(1) {
            self.rate_window = time::Instant::now();
            self.appends_in_window = 0;
        }
        self.appends_in_window += 1;
        self.appends_in_window <= appends_per_second
    }

    fn injects_fault(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1000) < permille
    }
}

struct LogState {
    switches: sync::Mutex<LogSwitches>,
    core: sync::Mutex<LogCore>,
}

/// A running log. Dropping it closes its port.
pub struct FakeLog {
    state: sync::Arc<LogState>,
    server: server::HttpServer,
}

impl FakeLog {
    /// Starts a log on the executor.
    pub fn start(executor: &SharedExecutor, options: LogOptions) -> io::Result<Self> {
        let state = sync::Arc::new(LogState {
            switches: sync::Mutex::new(options.switches),
            core: sync::Mutex::new(LogCore {
                streams: collections::BTreeMap::new(),
                observations: LogObservations::default(),
                rate_window: time::Instant::now(),
                appends_in_window: 0,
                rng: rngs::SmallRng::seed_from_u64(options.seed),
            }),
        });
        let server = server::HttpServer::start_with(
            executor,
            options.listen,
            &state,
            |state, request| async move { respond(&state, request).await },
        )?;
        Ok(Self { state, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns the current counters.
    pub fn observations(&self) -> LogObservations {
        server::lock(&self.state.core).observations.clone()
    }

    /// Changes the switches in place; applies to later requests.
    pub fn switch(&self, change: impl FnOnce(&mut LogSwitches)) {
        change(&mut server::lock(&self.state.switches));
    }
}

async fn respond(state: &LogState, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (_, "/switches") => return control::serve_switches(&mut request, &state.switches).await,
        (Method::Get, "/observations") => {
            return control::json_response(200, &server::lock(&state.core).observations);
        }
        _ => {}
    }
    let stream = path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"));
    let Some(stream) = stream else { return control::text_response(404, "no such call") };
    let switches = server::lock(&state.switches).clone();
    if switches.outage {
        server::lock(&state.core).observations.refused += 1;
        return control::text_response(503, "outage");
    }
    match request.method() {
        Method::Post => append(state, &switches, stream, &mut request).await,
        Method::Get => read(state, &switches, stream, &request).await,
        _ => control::text_response(405, "append by POST, read by GET"),
    }
}

async fn append(
    state: &LogState,
    switches: &LogSwitches,
    stream: &str,
    request: &mut Request,
) -> http_types::Result<Response> {
    let body = match control::read_json::<protocol::AppendRequest>(request).await? {
        Ok(body) => body,
        Err(response) => return Ok(response),
    };
    async_io::Timer::after(time::Duration::from_millis(switches.append_ms)).await;
    let mut core = server::lock(&state.core);
    if !core.admit_append(switches.appends_per_second) {
        core.observations.over_rate += 1;
        return control::text_response(429, "append rate exceeded");
    }
    if core.injects_fault(switches.lost_appends_permille) {
        core.observations.lost_appends += 1;
        return Err(control::close_connection());
    }
    *core.observations.appends.entry(stream.to_owned()).or_default() += 1;
    core.observations.values += body.values.len() as u64;
    let records = core.streams.entry(stream.to_owned()).or_default();
    let first_offset = records.append(now_ms(), body.values);
    if core.injects_fault(switches.lost_answers_permille) {
        core.observations.lost_answers += 1;
        return Err(control::close_connection());
    }
    control::json_response(200, &protocol::AppendAnswer { first_offset })
}

async fn read(
    state: &LogState,
    switches: &LogSwitches,
    stream: &str,
    request: &Request,
) -> http_types::Result<Response> {
    let offset = control::query_number(request, "offset").unwrap_or_default();
    let limit = control::query_number(request, "limit").unwrap_or(DEFAULT_READ_LIMIT);
    async_io::Timer::after(time::Duration::from_millis(switches.read_ms)).await;
    let mut core = server::lock(&state.core);
    core.observations.reads += 1;
    let records = core.streams.entry(stream.to_owned()).or_default();
    records.trim(now_ms(), switches);
    control::json_response(200, &records.read(offset, limit))
}

fn now_ms() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}

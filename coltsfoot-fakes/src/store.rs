//! Fake of the rate-limited weight store.

use std::io;
use std::net;
use std::sync;
use std::time;

use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::{SharedExecutor, control, server};

/// Options of a fake weight store.
#[derive(Clone, Debug, bon::Builder)]
pub struct StoreOptions {
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = crate::server::ANY_PORT)]
    pub listen: net::SocketAddr,
    /// Initial switches.
    #[builder(default)]
    pub switches: StoreSwitches,
}

/// Limits and faults of a weight store, changed by `POST /switches`.
#[derive(Clone, Debug, bon::Builder, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSwitches {
    /// Loads started per second; zero for no limit.
    #[builder(default = 3.0)]
    pub loads_per_second: f64,
    /// Loads in flight up to which each takes [`Self::load_ms`]; above it, load time grows in
    /// proportion to the loads in flight.
    #[builder(default = 8)]
    pub in_flight_limit: u32,
    /// Duration of a load.
    #[builder(default = 250)]
    pub load_ms: u64,
    /// Whether all loads are refused with 503.
    #[builder(default = false)]
    pub outage: bool,
}

impl Default for StoreSwitches {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Counters of a fake weight store, as served by `GET /observations`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoreObservations {
    /// Loads that were started.
    pub loads: u64,
    /// Loads in flight, waiting ones included.
    pub in_flight: u32,
    /// Most loads that were in flight at a time.
    pub max_in_flight: u32,
    /// Loads that started while more than the limit were in flight.
    pub over_limit: u64,
    /// Loads refused during an outage.
    pub refused: u64,
    /// Loads delayed by the rate limit.
    pub delayed: u64,
}

struct StoreCore {
    observations: StoreObservations,
    next_start: time::Instant,
}

struct StoreState {
    switches: sync::Mutex<StoreSwitches>,
    core: sync::Mutex<StoreCore>,
}

/// Counts a load in flight until it is dropped.
struct InFlightGuard<'a>(&'a StoreState);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        server::lock(&self.0.core).observations.in_flight -= 1;
    }
}

/// A running weight store. Dropping it closes its port.
pub struct FakeStore {
    state: sync::Arc<StoreState>,
    server: server::HttpServer,
}

impl FakeStore {
    /// Starts a weight store on the executor.
    pub fn start(executor: &SharedExecutor, options: StoreOptions) -> io::Result<Self> {
        let state = sync::Arc::new(StoreState {
            switches: sync::Mutex::new(options.switches),
            core: sync::Mutex::new(StoreCore {
                observations: StoreObservations::default(),
                next_start: time::Instant::now(),
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
    pub fn observations(&self) -> StoreObservations {
        server::lock(&self.state.core).observations.clone()
    }

    /// Changes the switches in place; applies to later requests.
    pub fn switch(&self, change: impl FnOnce(&mut StoreSwitches)) {
        change(&mut server::lock(&self.state.switches));
    }
}

async fn respond(state: &StoreState, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (_, "/switches") => control::serve_switches(&mut request, &state.switches).await,
        (Method::Get, "/observations") => {
            control::json_response(200, &server::lock(&state.core).observations)
        }
        (Method::Post, "/loads") => load(state).await,
        _ => control::text_response(404, "no such call"),
    }
}

async fn load(state: &StoreState) -> http_types::Result<Response> {
    let switches = server::lock(&state.switches).clone();
    if switches.outage {
        server::lock(&state.core).observations.refused += 1;
        return control::text_response(503, "outage");
    }
    let (guard, start_at) = begin_load(state, &switches);
    async_io::Timer::at(start_at).await;
    let in_flight = server::lock(&state.core).observations.in_flight;
    let limit = switches.in_flight_limit.max(1);
    let load_ms = switches.load_ms * u64::from(in_flight.max(limit)) / u64::from(limit);
    async_io::Timer::after(time::Duration::from_millis(load_ms)).await;
    drop(guard);
    control::text_response(200, "")
}

fn begin_load<'a>(
    state: &'a StoreState,
    switches: &StoreSwitches,
) -> (InFlightGuard<'a>, time::Instant) {
    let now = time::Instant::now();
    let mut core = server::lock(&state.core);
    let start_at = core.next_start.max(now);
    if switches.loads_per_second > 0.0 {
        let interval = time::Duration::from_secs_f64(1.0 / switches.loads_per_second);
        core.next_start = start_at + interval;
    }
    let observations = &mut core.observations;
    observations.loads += 1;
    observations.in_flight += 1;
    observations.max_in_flight = observations.max_in_flight.max(observations.in_flight);
    observations.over_limit += u64::from(observations.in_flight > switches.in_flight_limit);
    observations.delayed += u64::from(start_at > now);
    (InFlightGuard(state), start_at)
}

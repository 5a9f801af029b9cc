//! Fake of a plain HTTP service that counts the calls it ran.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::name;
use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::{SharedExecutor, control, server};

/// Header with the key under which a call may run only once.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Options of a fake service.
#[derive(Clone, Debug, bon::Builder)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = crate::server::ANY_PORT)]
    pub listen: net::SocketAddr,
    /// Initial switches.
    #[builder(default)]
    pub switches: ServiceSwitches,
}

/// Timing and faults of a service, changed by `POST /switches`.
#[derive(Clone, Debug, bon::Builder, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSwitches {
    /// Duration of a call.
    #[builder(default = 1)]
    pub delay_ms: u64,
    /// Whether calls are refused with 503 and marked as not run.
    #[builder(default = false)]
    pub refuse: bool,
    /// Whether calls run and get the response 500.
    #[builder(default = false)]
    pub fail: bool,
    /// Whether connections are closed before a call runs.
    #[builder(default = false)]
    pub close_before_run: bool,
    /// Whether calls run and their connection is closed without a response.
    #[builder(default = false)]
    pub lose_answers: bool,
    /// Whether calls run and never get a response.
    #[builder(default = false)]
    pub silent: bool,
}

impl Default for ServiceSwitches {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Number of runs of one key and body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceRun {
    /// Value of `Idempotency-Key`, empty if there was none.
    pub key: String,
    /// Request body.
    pub body: String,
    /// How often it ran.
    pub runs: u64,
}

/// Counters of a fake service, as served by `GET /observations`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServiceObservations {
    /// Requests that carried an `Authorization` header.
    pub authorization_headers: u64,
    /// Calls that ran.
    pub runs: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Runs by key and body.
    pub by_call: Vec<ServiceRun>,
}

/// Response body of a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceResponse {
    /// Number of the run, over all calls.
    pub run: u64,
    /// Request path with its query.
    pub path: String,
    /// Request body.
    pub echo: String,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CallKey {
    key: String,
    body: String,
}

#[derive(Default)]
struct ServiceCore {
    authorization_headers: u64,
    runs: u64,
    by_call: collections::BTreeMap<CallKey, u64>,
}

impl ServiceCore {
    fn observations(&self) -> ServiceObservations {
        let mut by_key = collections::BTreeMap::<&str, u64>::new();
        for (call, runs) in self.by_call.iter().filter(|(call, _)| !call.key.is_empty()) {
            *by_key.entry(&call.key).or_default() += runs;
        }
        let by_call = self.by_call.iter().map(|(call, runs)| ServiceRun {
            key: call.key.clone(),
            body: call.body.clone(),
            runs: *runs,
        });
        ServiceObservations {
            authorization_headers: self.authorization_headers,
            runs: self.runs,
            double_runs: by_key.values().filter(|runs| **runs > 1).count() as u64,
            by_call: by_call.collect(),
        }
    }
}

struct ServiceState {
    switches: sync::Mutex<ServiceSwitches>,
    core: sync::Mutex<ServiceCore>,
}

/// A running service. Dropping it closes its port.
pub struct FakeService {
    state: sync::Arc<ServiceState>,
    server: server::HttpServer,
}

impl FakeService {
    /// Starts a service on the executor.
    pub fn start(executor: &SharedExecutor, options: ServiceOptions) -> io::Result<Self> {
        let state = sync::Arc::new(ServiceState {
            switches: sync::Mutex::new(options.switches),
            core: sync::Mutex::default(),
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
    pub fn observations(&self) -> ServiceObservations {
        server::lock(&self.state.core).observations()
    }

    /// Changes the switches in place; applies to later requests.
    pub fn switch(&self, change: impl FnOnce(&mut ServiceSwitches)) {
        change(&mut server::lock(&self.state.switches));
    }

    /// Aborts all connections and closes the port for a while.
    pub fn crash(&self, outage: time::Duration) {
        self.server.pause(outage);
    }

    /// Returns its listing for the instance list.
    pub fn listing(
        &self,
        upstream: name::UpstreamName,
        zone: name::ZoneName,
        service: name::ServiceName,
    ) -> protocol::UpstreamListing {
        let role = protocol::UpstreamRole::Service { service };
        let address = self.address();
        protocol::UpstreamListing { name: upstream, zone, address, leaving: false, role }
    }
}

fn with_query(path: String, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    }
}

async fn respond(state: &ServiceState, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (_, "/switches") => control::serve_switches(&mut request, &state.switches).await,
        (Method::Get, "/observations") => {
            control::json_response(200, &server::lock(&state.core).observations())
        }
        _ => {
            let path = with_query(path, request.url().query());
            run(state, request, path).await
        }
    }
}

async fn run(
    state: &ServiceState,
    mut request: Request,
    path: String,
) -> http_types::Result<Response> {
    let switches = server::lock(&state.switches).clone();
    if request.header("authorization").is_some() {
        server::lock(&state.core).authorization_headers += 1;
    }
    let body = String::from_utf8_lossy(&request.body_bytes().await?).into_owned();
    if switches.close_before_run {
        return Err(control::close_connection());
    }
    if switches.refuse {
        let mut response = control::text_response(503, "refused by a switch")?;
        response.insert_header(protocol::NOT_RUN_HEADER, "true");
        return Ok(response);
    }
    let run = count_run(state, header(&request, IDEMPOTENCY_HEADER), body.clone());
    async_io::Timer::after(time::Duration::from_millis(switches.delay_ms)).await;
    if switches.silent {
        futures_lite::future::pending::<()>().await;
    }
    if switches.lose_answers {
        return Err(control::close_connection());
    }
    let status = if switches.fail { 500 } else { 200 };
    let body = ServiceResponse { run, path, echo: body };
    let mut response = control::json_response(status, &body)?;
    let attempt = header(&request, protocol::ATTEMPT_HEADER);
    response.insert_header(protocol::ATTEMPT_HEADER, attempt);
    Ok(response)
}

fn count_run(state: &ServiceState, key: String, body: String) -> u64 {
    let mut core = server::lock(&state.core);
    core.runs += 1;
    *core.by_call.entry(CallKey { key, body }).or_default() += 1;
    core.runs
}

fn header(request: &Request, name: &str) -> String {
    request.header(name).map_or_else(String::new, |values| values.last().as_str().to_owned())
}

//! Fake of the platform's instance list.

use std::collections;
use std::hash::Hasher as _;
use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::name;
use http_types::{Method, Request, Response, headers};
use serde::{Deserialize, Serialize};

use crate::{SharedExecutor, control, lag, server};

/// Options of a fake instance list.
#[derive(Clone, Debug, bon::Builder)]
pub struct ListOptions {
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = crate::server::ANY_PORT)]
    pub listen: net::SocketAddr,
    /// Upstreams that are listed from the start.
    #[builder(default)]
    pub upstreams: Vec<protocol::UpstreamListing>,
    /// Initial switches.
    #[builder(default)]
    pub switches: ListSwitches,
}

/// Faults of an instance list, changed by `POST /switches`.
#[derive(Clone, Debug, bon::Builder, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListSwitches {
    /// Time after which a change is visible to readers.
    #[builder(default = 100)]
    pub lag_ms: u64,
    /// Whether readers are refused with 503.
    #[builder(default = false)]
    pub outage: bool,
}

impl Default for ListSwitches {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Counters of a fake instance list, as served by `GET /observations`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ListObservations {
    /// Reads, except those refused during an outage.
    pub reads: u64,
    /// Changes of listings, including removals.
    pub changes: u64,
}

struct ListCore {
    entries: collections::BTreeMap<name::InstanceName, protocol::EntryListing>,
    upstreams: collections::BTreeMap<name::UpstreamName, protocol::UpstreamListing>,
    visible: lag::LaggedValue<protocol::InstanceList>,
    observations: ListObservations,
}

impl ListCore {
    fn record_change(&mut self, lag_ms: u64) {
        self.observations.changes += 1;
        let list = protocol::InstanceList {
            entries: self.entries.values().cloned().collect(),
            upstreams: self.upstreams.values().cloned().collect(),
        };
        let lag = time::Duration::from_millis(lag_ms);
        self.visible.record(time::Instant::now(), lag, list);
    }
}

struct ListState {
    switches: sync::Mutex<ListSwitches>,
    core: sync::Mutex<ListCore>,
}

/// A running instance list. Dropping it closes its port.
pub struct FakeList {
    state: sync::Arc<ListState>,
    server: server::HttpServer,
}

impl FakeList {
    /// Starts an instance list on the executor.
    pub fn start(executor: &SharedExecutor, options: ListOptions) -> io::Result<Self> {
        let list =
            protocol::InstanceList { entries: Vec::new(), upstreams: options.upstreams.clone() };
        let upstreams = options.upstreams.into_iter();
        let state = sync::Arc::new(ListState {
            switches: sync::Mutex::new(options.switches),
            core: sync::Mutex::new(ListCore {
                entries: collections::BTreeMap::new(),
                upstreams: upstreams.map(|listing| (listing.name.clone(), listing)).collect(),
                visible: lag::LaggedValue::new(list),
                observations: ListObservations::default(),
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
    pub fn observations(&self) -> ListObservations {
        server::lock(&self.state.core).observations.clone()
    }

    /// Changes the switches in place; applies to later requests.
    pub fn switch(&self, change: impl FnOnce(&mut ListSwitches)) {
        change(&mut server::lock(&self.state.switches));
    }

    /// Lists an entry instance or changes its listing.
    pub fn put_entry(&self, listing: protocol::EntryListing) {
        let mut core = server::lock(&self.state.core);
        core.entries.insert(listing.name.clone(), listing);
        core.record_change(self.lag_ms());
    }

    /// Lists an upstream or changes its listing.
    pub fn put_upstream(&self, listing: protocol::UpstreamListing) {
        let mut core = server::lock(&self.state.core);
        core.upstreams.insert(listing.name.clone(), listing);
        core.record_change(self.lag_ms());
    }

    /// Removes an entry instance.
    pub fn remove_entry(&self, instance: &name::InstanceName) {
        let mut core = server::lock(&self.state.core);
        core.entries.remove(instance);
        core.record_change(self.lag_ms());
    }

    /// Removes an upstream.
    pub fn remove_upstream(&self, upstream: &name::UpstreamName) {
        let mut core = server::lock(&self.state.core);
        core.upstreams.remove(upstream);
        core.record_change(self.lag_ms());
    }

    fn lag_ms(&self) -> u64 {
        server::lock(&self.state.switches).lag_ms
    }
}

async fn respond(state: &ListState, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (_, "/switches") => return control::serve_switches(&mut request, &state.switches).await,
        (Method::Get, "/observations") => {
            return control::json_response(200, &server::lock(&state.core).observations);
        }
        (Method::Get, "/instances") => return read(state, &request),
        _ => {}
    }
    if let Some(name) = path.strip_prefix("/instances/entries/") {
        return change_entry(state, &mut request, &name.into()).await;
    }
    if let Some(name) = path.strip_prefix("/instances/upstreams/") {
        return change_upstream(state, &mut request, &name.into()).await;
    }
    control::text_response(404, "no such call")
}

fn read(state: &ListState, request: &Request) -> http_types::Result<Response> {
    let switches = server::lock(&state.switches).clone();
    if switches.outage {
        return control::text_response(503, "outage");
    }
    let mut core = server::lock(&state.core);
    core.observations.reads += 1;
    let lag = time::Duration::from_millis(switches.lag_ms);
    let list = core.visible.get(time::Instant::now(), lag);
    let tag = format!("\"{:016x}\"", list_hash(&list)?);
    let known = request.header(headers::IF_NONE_MATCH).map(|values| values.last().as_str());
    let mut response = match known == Some(tag.as_str()) {
        true => control::text_response(304, "")?,
        false => control::json_response(200, &list)?,
    };
    response.insert_header(headers::ETAG, tag);
    Ok(response)
}

fn list_hash(list: &protocol::InstanceList) -> http_types::Result<u64> {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(&serde_json::to_vec(list)?);
    Ok(hasher.finish())
}

async fn change_entry(
    state: &ListState,
    request: &mut Request,
    name: &name::InstanceName,
) -> http_types::Result<Response> {
    let lag_ms = server::lock(&state.switches).lag_ms;
    if request.method() == Method::Delete {
        let mut core = server::lock(&state.core);
        let removed = core.entries.remove(name).is_some();
        core.record_change(lag_ms);
        return control::text_response(if removed { 200 } else { 404 }, "");
    }
    let listing = match control::read_json::<protocol::EntryListing>(request).await? {
        Ok(listing) => listing,
        Err(response) => return Ok(response),
    };
    let mut core = server::lock(&state.core);
    core.entries.insert(name.clone(), listing);
    core.record_change(lag_ms);
    control::text_response(200, "")
}

async fn change_upstream(
    state: &ListState,
    request: &mut Request,
    name: &name::UpstreamName,
) -> http_types::Result<Response> {
    let lag_ms = server::lock(&state.switches).lag_ms;
    if request.method() == Method::Delete {
        let mut core = server::lock(&state.core);
        let removed = core.upstreams.remove(name).is_some();
        core.record_change(lag_ms);
        return control::text_response(if removed { 200 } else { 404 }, "");
    }
    let listing = match control::read_json::<protocol::UpstreamListing>(request).await? {
        Ok(listing) => listing,
        Err(response) => return Ok(response),
    };
    let mut core = server::lock(&state.core);
    core.upstreams.insert(name.clone(), listing);
    core.record_change(lag_ms);
    control::text_response(200, "")
}

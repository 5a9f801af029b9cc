//! Stand-in of a model engine.

use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::{adapter, name};
use serde::{Deserialize, Serialize};

use crate::{SharedExecutor, engine_calls, engine_state, server};

/// What an engine is started with.
#[derive(Clone, Debug, bon::Builder)]
pub struct EngineOptions {
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = crate::server::ANY_PORT)]
    pub listen: net::SocketAddr,
    /// Adapters that it holds at a time.
    #[builder(default = 8)]
    pub slots: u32,
    /// Requests that it runs at a time.
    #[builder(default = 16)]
    pub batch_size: u32,
    /// Prompt prefixes that it caches.
    #[builder(default = 64)]
    pub cached_prefixes: usize,
    /// Weight store that loads go to; without it a load takes [`EngineSwitches::load_ms`].
    pub store: Option<net::SocketAddr>,
    /// Adapters that are resident from the start.
    #[builder(default)]
    pub resident: Vec<adapter::AdapterVersion>,
    /// Seed of lost cache events.
    #[builder(default = 1)]
    pub seed: u64,
    /// Switches at the start.
    #[builder(default)]
    pub switches: EngineSwitches,
}

/// Timing and faults of an engine, changed by `POST /switches`.
#[derive(Clone, Debug, bon::Builder, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSwitches {
    /// Time of a load without a weight store.
    #[builder(default = 20)]
    pub load_ms: u64,
    /// Time to read a token of the prompt that isn't cached.
    #[builder(default = 0)]
    pub prefill_us: u64,
    /// Time between two tokens.
    #[builder(default = 500)]
    pub token_us: u64,
    /// Age of load reports.
    #[builder(default = 100)]
    pub report_lag_ms: u64,
    /// Age of cache events when they are seen.
    #[builder(default = 100)]
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are lost.
    #[builder(default = 0)]
    pub cache_event_loss_permille: u32,
    /// Whether orders with an old fencing number are refused.
    #[builder(default = true)]
    pub checks_fencing: bool,
    /// Whether loads fail.
    #[builder(default = false)]
    pub fail_loads: bool,
    /// Whether chat requests are refused with 503, as not run.
    #[builder(default = false)]
    pub refuse_chats: bool,
    /// Whether chat requests are accepted and never answered.
    #[builder(default = false)]
    pub silent: bool,
    /// Text in a prompt that crashes the engine.
    pub crash_prompt: Option<String>,
    /// Time from a crash to the restart.
    #[builder(default = 100)]
    pub crash_outage_ms: u64,
    /// Streams are cut after this many tokens; their runs go on.
    pub cut_after_tokens: Option<u32>,
    /// Streams send nothing more after this many tokens.
    pub stall_after_tokens: Option<u32>,
    /// Whether streams can't be resumed.
    #[builder(default = false)]
    pub forget_streams: bool,
    /// Adapter version that answers name in place of the one that ran.
    pub wrong_adapter: Option<adapter::AdapterVersion>,
    /// Attempt id that answers name in place of their own.
    pub wrong_attempt: Option<String>,
}

impl Default for EngineSwitches {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// What an engine has seen, as `GET /observations` shows it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineObservations {
    /// Number that changes when the engine restarts.
    pub generation: u64,
    /// Requests that carried an `Authorization` header.
    pub authorization_headers: u64,
    /// Chat requests that entered the batch or its queue.
    pub chats: u64,
    /// Runs that ended whole.
    pub completed: u64,
    /// Runs that were cut by an eviction or a crash.
    pub cut_runs: u64,
    /// Runs that were cancelled by their callers.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Chat requests for an adapter that was not resident.
    pub not_resident: u64,
    /// Evictions of an adapter under a running request.
    pub evicted_under_request: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Loads that found no free slot.
    pub loads_without_slot: u64,
    /// Evictions.
    pub unloads: u64,
    /// Orders refused for an old fencing number.
    pub stale_orders_refused: u64,
    /// Orders carried out in spite of an old fencing number.
    pub stale_orders_obeyed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Most requests that ran at a time.
    pub max_running: u32,
    /// Output tokens of whole runs.
    pub output_tokens: u64,
    /// Sum of the times of all runs, in microseconds.
    pub run_time_us: u64,
    /// Time during which at least one request ran, in microseconds. The mean batch is
    /// `run_time_us / busy_time_us`.
    pub busy_time_us: u64,
}

/// A running engine. Dropping it cuts its connections and closes its port.
pub struct FakeEngine {
    state: sync::Arc<engine_state::EngineState>,
}

impl FakeEngine {
    /// Starts an engine on the executor.
    pub fn start(executor: &SharedExecutor, options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let state = sync::Arc::new(engine_state::EngineState::new(executor, options));
        let weak_state = sync::Arc::downgrade(&state);
        let handler: server::RequestHandler = sync::Arc::new(move |request| {
            let state = weak_state.upgrade();
            Box::pin(async move { engine_calls::respond(state, request).await })
        });
        state.set_server(server::HttpServer::start(executor, listen, handler)?);
        Ok(Self { state })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.state.server().address()
    }

    /// Returns what it has seen.
    pub fn observations(&self) -> EngineObservations {
        self.state.observations()
    }

    /// Changes the switches.
    pub fn switch(&self, change: impl FnOnce(&mut EngineSwitches)) {
        change(&mut server::lock(&self.state.switches));
    }

    /// Returns the adapters that are resident now.
    pub fn resident(&self) -> Vec<adapter::AdapterVersion> {
        server::lock(&self.state.core).slots.resident()
    }

    /// Crashes the engine: all runs are cut, the port is closed, and it restarts cold.
    pub fn crash(&self, outage: time::Duration) {
        self.state.crash(outage);
    }

    /// Returns its entry for the instance list.
    pub fn listing(
        &self,
        upstream: name::UpstreamName,
        zone: name::ZoneName,
        base_model: name::ModelName,
    ) -> protocol::UpstreamListing {
        let options = &self.state.options;
        let role = protocol::UpstreamRole::Engine {
            base_model,
            slots: options.slots,
            batch_size: options.batch_size,
            checks_fencing: server::lock(&self.state.switches).checks_fencing,
        };
        let address = self.address();
        protocol::UpstreamListing { name: upstream, zone, address, leaving: false, role }
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.state.server().stop();
    }
}

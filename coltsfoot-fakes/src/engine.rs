//! Fake of a model engine.

use std::io;
use std::net;
use std::sync;
use std::time;

use coltsfoot_platform::protocol;
use coltsfoot_types::{adapter, name};
use serde::{Deserialize, Serialize};

use crate::{SharedExecutor, engine_calls, engine_state, server};

/// Options of a fake engine.
#[derive(Clone, Debug, bon::Builder)]
pub struct EngineOptions {
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = crate::server::ANY_PORT)]
    pub listen: net::SocketAddr,
    /// Adapter slots: most adapters loaded at a time.
    #[builder(default = 8)]
    pub slots: u32,
    /// Most requests that run at a time.
    #[builder(default = 16)]
    pub batch_size: u32,
    /// Capacity of the prefix cache, in prefixes.
    #[builder(default = 64)]
    pub cached_prefixes: usize,
    /// Weight store that weights are fetched from; without it a load takes [`EngineSwitches::load_ms`].
    pub store: Option<net::SocketAddr>,
    /// Adapters that are resident from the start.
    #[builder(default)]
    pub resident: Vec<adapter::AdapterVersion>,
    /// Seed for the random loss of cache events.
    #[builder(default = 1)]
    pub seed: u64,
    /// Initial switches.
    #[builder(default)]
    pub switches: EngineSwitches,
}

/// Timing and faults of an engine, changed by `POST /switches`.
#[derive(Clone, Debug, bon::Builder, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSwitches {
    /// Duration of a load without a weight store.
    #[builder(default = 20)]
    pub load_ms: u64,
    /// Prefill time per prompt token that isn't cached.
    #[builder(default = 0)]
    pub prefill_us: u64,
    /// Time between two tokens.
    #[builder(default = 500)]
    pub token_us: u64,
    /// Lag of load reports.
    #[builder(default = 100)]
    pub report_lag_ms: u64,
    /// Lag after which cache events are visible.
    #[builder(default = 100)]
    pub cache_event_lag_ms: u64,
    /// Proportion of cache events that are lost.
    #[builder(default = 0)]
    pub cache_event_loss_permille: u32,
    /// Whether orders with a stale fencing number are refused.
    #[builder(default = true)]
    pub checks_fencing: bool,
    /// Whether loads fail.
    #[builder(default = false)]
    pub fail_loads: bool,
    /// Whether chat requests are refused with 503 and marked as not run.
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
    /// Closes the connection of a stream after this many tokens; its run continues.
    pub cut_after_tokens: Option<u32>,
    /// Stalls a stream after this many tokens.
    pub stall_after_tokens: Option<u32>,
    /// Whether streams can't be resumed.
    #[builder(default = false)]
    pub forget_streams: bool,
    /// Adapter version that responses name instead of the one that ran.
    pub wrong_adapter: Option<adapter::AdapterVersion>,
    /// Attempt id that responses name instead of their own.
    pub wrong_attempt: Option<String>,
}

impl Default for EngineSwitches {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Counters of a fake engine, as served by `GET /observations`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineObservations {
    /// Number that increases when the engine restarts.
    pub generation: u64,
    /// Requests that carried an `Authorization` header.
    pub authorization_headers: u64,
    /// Chat requests that entered the batch or its queue.
    pub chats: u64,
    /// Runs that produced all their tokens.
    pub completed: u64,
    /// Runs aborted by an eviction or a crash.
    pub cut_runs: u64,
    /// Runs cancelled by their callers.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Chat requests for an adapter that was not resident.
    pub not_resident: u64,
    /// Unfinished runs aborted by the eviction of their adapter.
    pub evicted_under_request: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Load orders that found no free slot.
    pub loads_without_slot: u64,
    /// Unload orders that evicted an adapter.
    pub unloads: u64,
    /// Orders refused for a stale fencing number.
    pub stale_orders_refused: u64,
    /// Orders executed despite a stale fencing number.
    pub stale_orders_obeyed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Most requests that ran at a time.
    pub max_running: u32,
    /// Output tokens of completed runs.
    pub output_tokens: u64,
    /// Total duration of all runs, in microseconds.
    pub run_time_us: u64,
    /// Time during which at least one request ran, in microseconds. The mean batch size
    /// is `run_time_us / busy_time_us`.
    pub busy_time_us: u64,
}

/// A running engine. Dropping it closes its connections and its port.
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

    /// Returns the bound address.
    pub fn address(&self) -> net::SocketAddr {
        self.state.server().address()
    }

    /// Returns the current counters.
    pub fn observations(&self) -> EngineObservations {
        self.state.observations()
    }

    /// Changes the switches in place; applies to later requests.
    pub fn switch(&self, change: impl FnOnce(&mut EngineSwitches)) {
        change(&mut server::lock(&self.state.switches));
    }

    /// Returns the adapters that are resident now.
    pub fn resident(&self) -> Vec<adapter::AdapterVersion> {
        server::lock(&self.state.core).slots.resident()
    }

    /// Crashes the engine: aborts all runs, closes the port, and restarts with empty slots and cache
    /// after `outage`.
    pub fn crash(&self, outage: time::Duration) {
        self.state.crash(outage);
    }

    /// Returns its listing for the instance list.
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

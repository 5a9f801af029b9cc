//! Starts and stops a gateway.

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use async_net::TcpListener;
use coltsfoot_gateway::{
    caller_ledger, fleet_view, lease_table, order_lease, origin_ledger, outage_tracker,
    quarantine_archive, quota_ledger, stop_plan, topic_replica,
};
use coltsfoot_http::{pool, socket};
use site_platform::{entry, rules, settings, store};

use crate::gateway::{
    adoption, archive, caller_table, callers, cold, crashes, engines, estimates, fleet, follower,
    heartbeats, lease, memory, metrics, news, operator_ports, origins, paths, pending_calls,
    permits, reload, state, stop, tunnels,
};
use crate::{clock, event, metrics as registry};

/// Interval between checks whether the next phase of a stop is due.
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time for the last log lines to be written before the process ends.
const LOG_WRITE_TIME: time::Duration = time::Duration::from_millis(100);

/// What the operator published stays in force until something newer is published.
const OPERATOR_POLICY: topic_replica::EraPolicy =
    topic_replica::EraPolicy { revision: rules::revision, keeps_lost: true };
/// Entries expire unless their upstreams renew them, so that those a restored store lacks have to come back.
const UPSTREAM_POLICY: topic_replica::EraPolicy =
    topic_replica::EraPolicy { revision: entry::revision, keeps_lost: false };

/// Errors that prevent the gateway from starting.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A socket could not be bound.
    #[error("could not listen on {address} for {purpose}: {source}; name a free address")]
    Listen {
        /// Purpose of the socket.
        purpose: &'static str,
        /// Address that could not be bound.
        address: net::SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] registry::MetricsError),
    /// A thread or signal handler could not be set up.
    #[error("could not start: {0}; free resources of the machine")]
    System(#[from] io::Error),
}

/// Runs a gateway until SIGTERM or SIGINT and the end of its requests; SIGHUP reloads the settings.
pub fn run_until_signal(
    settings: settings::SiteSettings,
    metrics_port: u16,
) -> Result<(), GatewayError> {
    let signals = watch_signals()?;
    run(settings, metrics_port, signals)
}

/// Runs a gateway until `signals` yields a stop and the running requests have ended.
pub fn run(
    settings: settings::SiteSettings,
    metrics_port: u16,
    signals: async_channel::Receiver<GatewaySignal>,
) -> Result<(), GatewayError> {
    let executor = sync::Arc::new(async_executor::Executor::new());
    async_io::block_on(executor.run(serve(
        settings,
        metrics_port,
        sync::Arc::clone(&executor),
        signals,
    )))
}

/// Signals to a running gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GatewaySignal {
    /// The settings file has changed.
    Reload,
    /// Shut down gracefully: finish running requests, then stop.
    Stop,
}

/// Starts a thread that turns process signals into gateway signals.
fn watch_signals() -> Result<async_channel::Receiver<GatewaySignal>, GatewayError> {
    let (sender, receiver) = async_channel::unbounded();
    let watched =
        [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT, signal_hook::consts::SIGHUP];
    let mut signals = signal_hook::iterator::Signals::new(watched)?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            let message = match signal {
                signal_hook::consts::SIGHUP => GatewaySignal::Reload,
                _ => GatewaySignal::Stop,
            };
            if sender.send_blocking(message).is_err() {
                return;
            }
        }
    })?;
    Ok(receiver)
}

async fn serve(
    settings: settings::SiteSettings,
    metrics_port: u16,
    executor: sync::Arc<async_executor::Executor<'static>>,
    signals: async_channel::Receiver<GatewaySignal>,
) -> Result<(), GatewayError> {
    let callers = listen("callers", settings.listen.callers)?;
    let readiness = listen("readiness", settings.listen.readiness)?;
    let metrics_address = net::SocketAddr::new(settings.ip, metrics_port);
    let scrapes = listen("metrics", metrics_address)?;
    let tunnels = listen("tunnels", settings.fleet_address())?;
    let state = build_state(settings, executor).await?;
    let name = &state.settings.instance;
    log::info!(event = event::STARTED.number, instance = name.to_string(); "started");
    let open = state.stop.sockets.enter();
    state.spawn("callers_accept", callers::accept(sync::Arc::clone(&state), callers, open));
    state.spawn(
        "operator_ports_serve_readiness",
        operator_ports::serve_readiness(sync::Arc::clone(&state), readiness),
    );
    state.spawn(
        "operator_ports_serve_metrics",
        operator_ports::serve_metrics(sync::Arc::clone(&state), scrapes),
    );
    state.spawn("follower_follow_operator", follower::follow_operator(sync::Arc::clone(&state)));
    state.spawn("follower_follow_upstreams", follower::follow_upstreams(sync::Arc::clone(&state)));
    state.spawn("tunnels_accept", tunnels::accept(sync::Arc::clone(&state), tunnels));
    state.spawn("paths_probe_lost", paths::probe_lost(sync::Arc::clone(&state)));
    state.spawn("fleet_receive", fleet::receive(sync::Arc::clone(&state)));
    state
        .spawn("heartbeats_send_heartbeats", heartbeats::send_heartbeats(sync::Arc::clone(&state)));
    state.spawn("news_request_when_behind", news::request_when_behind(sync::Arc::clone(&state)));
    state.spawn("fleet_discover_peers", fleet::discover_peers(sync::Arc::clone(&state)));
    state.spawn("fleet_resend_known", fleet::resend_known(sync::Arc::clone(&state)));
    state.spawn("estimates_tell", estimates::tell(sync::Arc::clone(&state)));
    state.spawn("lease_maintain", lease::maintain(sync::Arc::clone(&state)));
    state.spawn("adoption_maintain", adoption::maintain(sync::Arc::clone(&state)));
    state
        .spawn("engines_poll_stale_engines", engines::poll_stale_engines(sync::Arc::clone(&state)));
    state.spawn("origins_maintain", origins::maintain(sync::Arc::clone(&state)));
    state.spawn("archive_maintain", archive::maintain(sync::Arc::clone(&state)));
    state.spawn("reload_watch", reload::watch(sync::Arc::clone(&state)));
    wait_for_stop(&state, &signals).await;
    pass_stop_phases(&state).await;
    Ok(())
}

async fn wait_for_stop(
    state: &state::GatewayState,
    signals: &async_channel::Receiver<GatewaySignal>,
) {
    while let Ok(signal) = signals.recv().await {
        if signal == GatewaySignal::Stop {
            return;
        }
        reload::reload(state);
    }
}

/// Goes through the phases of a stop. The lease is not released, so that the machine keeps its
/// engines if the process restarts; otherwise it expires.
async fn pass_stop_phases(state: &state::GatewayState) {
    let mut plan = stop_plan::StopPlan::begin(state.now(), state.bounds.load().stop_grace);
    state.stop.begin(plan);
    log::info!(event = event::DRAINING.number; "draining");
    while plan.phase() != stop_plan::StopPhase::Ended {
        async_io::Timer::after(STOP_CHECK_INTERVAL).await;
        state.stop.enter(plan.advance(state.now(), state.stop.sockets.count()));
    }
    let left = state.stop.requests.count();
    log::info!(event = event::STOPPED.number, unfinished = left; "stopped");
    async_io::Timer::after(LOG_WRITE_TIME).await;
}

fn listen(purpose: &'static str, address: net::SocketAddr) -> Result<TcpListener, GatewayError> {
    let bound = socket::listen(address).and_then(TcpListener::try_from);
    bound.map_err(|source| GatewayError::Listen { purpose, address, source })
}

async fn build_state(
    settings: settings::SiteSettings,
    executor: sync::Arc<async_executor::Executor<'static>>,
) -> Result<sync::Arc<state::GatewayState>, GatewayError> {
    let address = settings.fleet_address();
    let bound = async_io::Async::<net::UdpSocket>::bind(address);
    let fleet_socket =
        bound.map_err(|source| GatewayError::Listen { purpose: "instances", address, source })?;
    let max_descriptors = settings.limits.max_descriptors;
    let max_idle = caller_ledger::idle_descriptors(max_descriptors);
    let pool = sync::Arc::new(pool::ConnectionPool::new(max_idle));
    let memory = memory::MessageMemory::new(settings.memory_bytes());
    let callers = caller_table::CallerTable::new(
        caller_ledger::caller_descriptors(max_descriptors),
        memory.requests(),
    );
    let clock = clock::RuntimeClock::since_boot();
    let lease_settings = order_lease::LeaseSettings {
        validity: lease::VALIDITY,
        separation: settings.bounds.order_separation,
        thaw_pause: settings.bounds.thaw_pause,
    };
    let incarnation = rand::random();
    let mut view = fleet_view::FleetView::default();
    view.cold_mut().set_bounds(cold::bounds(&settings.bounds));
    Ok(sync::Arc::new(state::GatewayState {
        origins: sync::Mutex::new(origin_ledger::OriginLedger::new(clock.now())),
        archive: sync::Mutex::new(quarantine_archive::QuarantineArchive::new(clock.now())),
        clock,
        incarnation,
        executor,
        metrics: metrics::GatewayMetrics::new()?,
        store: store::StoreClient::new(settings.store.address, sync::Arc::clone(&pool)),
        pool,
        memory,
        callers: sync::Arc::new(callers),
        routes: arc_swap::ArcSwapOption::empty(),
        view: sync::Mutex::new(view),
        quota: sync::Mutex::new(quota_ledger::QuotaLedger::new(incarnation)),
        retries: sync::Mutex::default(),
        durations: sync::Mutex::default(),
        lease: sync::Mutex::new(lease_table::LeaseTable::new(
            sync::Arc::clone(&settings.zone),
            lease_settings,
        )),
        controllers: engines::ControllerTable::default(),
        loads: pending_calls::PendingCalls::default(),
        permits: permits::PermitState::default(),
        crashes: crashes::CrashState::default(),
        parts: sync::Mutex::default(),
        steps: sync::Mutex::default(),
        origin_reader: async_lock::Mutex::default(),
        fleet_socket,
        operator_read_at: sync::Mutex::default(),
        upstreams_read_at: sync::Mutex::default(),
        operator_replica: sync::Mutex::new(topic_replica::TopicReplica::new(OPERATOR_POLICY)),
        upstream_replica: sync::Mutex::new(topic_replica::TopicReplica::new(UPSTREAM_POLICY)),
        removals: sync::Mutex::default(),
        outages: sync::Mutex::new(outage_tracker::OutageTracker::new(settings.heartbeat)),
        listed_peers: sync::Mutex::default(),
        zone_aggregator: sync::Mutex::default(),
        stop: stop::StopState::default(),
        refusals: stop::OpenCounter::default(),
        tunnels: stop::OpenCounter::default(),
        max_tunnels: caller_ledger::max_tunnels(max_descriptors),
        bounds: arc_swap::ArcSwap::from_pointee(settings.bounds.clone()),
        settings,
    }))
}

//! Starts and stops an instance: its sockets, threads and signal handling.

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use async_channel as channel;
use async_net::{TcpListener, UdpSocket};
use coltsfoot_once::{quarantine, retry_budget};
use coltsfoot_platform::http;

use crate::{clock, control, event, front, metrics, operator, server, settings, shared};

/// Interval between checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time for the load balancer to notice that the instance isn't ready any more.
const BALANCER_DELAY: time::Duration = time::Duration::from_secs(1);

/// Errors that prevent an instance from starting.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A socket could not be bound.
    #[error("could not listen on {address} ({setting}): {source}; name a free address")]
    Listen {
        /// Key of the setting that names the address.
        setting: &'static str,
        /// Address that could not be bound.
        address: net::SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::MetricsError),
    /// A thread or signal handler could not be set up.
    #[error("could not start: {0}; free resources of the machine")]
    System(#[from] io::Error),
}

/// The bound sockets of an instance.
struct BoundSockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

/// A running instance; [`RunningDaemon::stop`] ends it.
pub struct RunningDaemon {
    shared: sync::Arc<shared::InstanceShared>,
    events: control::EventSender,
    stop: channel::Sender<()>,
    stopped: channel::Receiver<()>,
    threads: Vec<thread::JoinHandle<()>>,
    /// Address for callers, with the port that the system assigned.
    pub caller_address: net::SocketAddr,
    /// Address for operators, with the port that the system assigned.
    pub operator_address: net::SocketAddr,
    /// Address for other instances, with the port that the system assigned.
    pub peer_address: net::SocketAddr,
}

impl RunningDaemon {
    /// Binds all addresses and starts the threads.
    pub fn start(settings: settings::DaemonSettings) -> Result<Self, DaemonError> {
        let sockets = async_io::block_on(bind(&settings))?;
        let caller_address = sockets.callers.local_addr()?;
        let operator_address = sockets.operators.local_addr()?;
        let peer_address = sockets.peers.local_addr()?;
        let (events, event_queue) = control::event_queue();
        let shared = sync::Arc::new(shared::InstanceShared {
            clock: clock::RuntimeClock::system(),
            metrics: metrics::MetricSet::new()?,
            catalog: arc_swap::ArcSwap::default(),
            services: arc_swap::ArcSwap::default(),
            retries: sync::Mutex::new(retry_budget::RetryBudget::new(
                retry_budget::RetrySettings::default(),
            )),
            quarantine: sync::Mutex::new(quarantine::QuarantineTable::new(
                quarantine::QuarantineSettings::default(),
            )),
            breakers: front::ServiceBreakers::default(),
            upstreams: http::HttpPool::new(http::HttpLimits::default()),
            control: control::client::ControlClient::new(events.clone()),
            status: shared::InstanceStatus::default(),
            settings,
        });
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop, stop_signal) = channel::bounded(1);
        let (drained, stopped) = channel::bounded(1);
        let mut threads = Vec::new();
        let plane = control::ControlPlane {
            shared: sync::Arc::clone(&shared),
            events: events.clone(),
            queue: event_queue,
            listener: sockets.peers,
            datagrams: sockets.datagrams,
            drained,
        };
        let control_stop = stop_signal.clone();
        threads.push(spawn("control", move || plane.run(control_stop))?);
        for _ in 0..shared.settings.traffic_threads {
            let executor = sync::Arc::clone(&executor);
            let stop_signal = stop_signal.clone();
            let run = move || async_io::block_on(executor.run(wait_for_stop(stop_signal)));
            threads.push(spawn("traffic", run)?);
        }
        serve_callers(&shared, &executor, sockets.callers);
        serve_operators(&shared, &events, &executor, sockets.operators);
        let name = &shared.settings.instance;
        event::emit(event::STARTED, format_args!("{name} serves callers on {caller_address}"));
        Ok(Self {
            shared,
            events,
            stop,
            stopped,
            threads,
            caller_address,
            operator_address,
            peer_address,
        })
    }

    /// Prints the addresses as one line of JSON, for settings with port 0.
    fn print_addresses(&self) {
        let addresses = serde_json::json!({
            "caller_address": self.caller_address,
            "operator_address": self.operator_address,
            "peer_address": self.peer_address,
        });
        println!("{addresses}");
    }

    /// Begins a graceful shutdown: readiness checks fail, ownership is handed over, running
    /// requests end.
    pub fn drain(&self) {
        self.events.send(control::ControlEvent::Drain);
    }

    /// Waits until a graceful shutdown is complete or has timed out.
    pub async fn wait_drained(&self) {
        let _ = self.stopped.recv().await;
    }

    /// Returns all metrics as Prometheus text.
    pub fn metrics_text(&self) -> String {
        self.shared.metrics.to_text()
    }

    /// Returns whether the instance has restored the configuration.
    pub fn is_ready(&self) -> bool {
        self.shared.status.is_ready()
    }

    /// Stops all threads at once and cancels running requests.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
        event::emit(event::STOPPED, format_args!("{}", self.shared.settings.instance));
    }
}

/// Runs an instance until SIGTERM, SIGINT or an operator's drain, then shuts it down gracefully.
pub fn run_until_signal(settings: settings::DaemonSettings) -> Result<(), DaemonError> {
    let daemon = RunningDaemon::start(settings)?;
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGHUP,
    ])?;
    daemon.print_addresses();
    let events = daemon.events.clone();
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == signal_hook::consts::SIGHUP {
                let details = format_args!("settings are read at the start only; restart to apply");
                event::emit(event::RELOAD_FAILED, details);
            } else {
                events.send(control::ControlEvent::Drain);
            }
        }
    })?;
    async_io::block_on(daemon.wait_drained());
    daemon.stop();
    Ok(())
}

/// Waits until a draining instance has finished its requests and handed over its ownership, at most
/// for `drain_timeout_ms` after the load balancer's delay.
pub(crate) async fn finish_requests(shared: &shared::InstanceShared) {
    async_io::Timer::after(BALANCER_DELAY).await;
    let deadline = shared.clock.now() + shared.settings.drain_timeout;
    while shared.status.running() > 0 || !shared.status.is_handed_over() {
        if shared.clock.now() >= deadline {
            let running = shared.status.running();
            event::emit(event::DRAIN_TIMED_OUT, format_args!("{running} requests are cut"));
            return;
        }
        async_io::Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn bind(settings: &settings::DaemonSettings) -> Result<BoundSockets, DaemonError> {
    let failed = |setting, address| move |source| DaemonError::Listen { setting, address, source };
    let callers = settings.caller_address;
    let operators = settings.operator_address;
    let peers = settings.peer_address;
    let bound = TcpListener::bind(peers).await.map_err(failed("peer_address", peers))?;
    let peers = bound.local_addr()?;
    Ok(BoundSockets {
        callers: server::bind(callers).map_err(failed("caller_address", callers))?,
        operators: server::bind(operators).map_err(failed("operator_address", operators))?,
        peers: bound,
        datagrams: UdpSocket::bind(peers).await.map_err(failed("peer_address", peers))?,
    })
}

fn serve_callers(
    shared: &sync::Arc<shared::InstanceShared>,
    executor: &sync::Arc<async_executor::Executor<'static>>,
    listener: TcpListener,
) {
    let responding = sync::Arc::clone(shared);
    let counting = sync::Arc::clone(shared);
    let request_executor = sync::Arc::clone(executor);
    let service = server::HttpService {
        respond: move |request| {
            front::respond(
                sync::Arc::clone(&responding),
                sync::Arc::clone(&request_executor),
                request,
            )
        },
        count_refusal: move |reason| counting.metrics.count_refusal(reason),
        limits: shared.settings.limits.clone(),
    };
    let serving = server::serve(listener, sync::Arc::new(service), sync::Arc::clone(executor));
    executor.spawn(serving).detach();
}

fn serve_operators(
    shared: &sync::Arc<shared::InstanceShared>,
    events: &control::EventSender,
    executor: &sync::Arc<async_executor::Executor<'static>>,
    listener: TcpListener,
) {
    let responding = sync::Arc::clone(shared);
    let events = events.clone();
    let service = server::HttpService {
        respond: move |request| {
            operator::respond(sync::Arc::clone(&responding), events.clone(), request)
        },
        count_refusal: |_| {},
        limits: settings::CallerLimits::for_operators(),
    };
    let serving = server::serve(listener, sync::Arc::new(service), sync::Arc::clone(executor));
    executor.spawn(serving).detach();
}

async fn wait_for_stop(stop: channel::Receiver<()>) {
    let _ = stop.recv().await;
}

fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, io::Error> {
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

//! Event loop of the control thread and the background tasks that feed it.

use std::rc;
use std::sync;
use std::time;

use async_channel as channel;
use async_executor::LocalExecutor;
use async_net::{TcpListener, UdpSocket};
use coltsfoot_platform::{http, list, log};
use coltsfoot_wire::codec;
use futures_lite::future;

use crate::control::catalog::{ConfigContext, ConfigHost};
use crate::control::claims::ClaimHost;
use crate::control::contact::ContactTable;
use crate::control::directory::InstanceDirectory;
use crate::control::engines::EngineDispatcher;
use crate::control::member::{MemberContext, MemberHost};
use crate::control::placement::PlacementHost;
use crate::control::quota::QuotaHost;
use crate::control::state::ControlState;
use crate::control::{ControlEvent, EventSender, platform};
use crate::peers::{PeerListener, PeerNetwork};
use crate::shared;

/// Time between two ticks.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Timeout for responses of the platform's services.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Inputs of the control thread.
pub struct ControlPlane {
    /// State shared with the traffic threads.
    pub shared: sync::Arc<shared::InstanceShared>,
    /// Sender for tasks that report to the control thread.
    pub events: EventSender,
    /// Receiver of its events.
    pub queue: channel::Receiver<ControlEvent>,
    /// Accepts connections from other instances.
    pub listener: TcpListener,
    /// Receives heartbeats.
    pub datagrams: UdpSocket,
    /// Notified when a graceful shutdown is complete.
    pub drained: channel::Sender<()>,
}

impl ControlPlane {
    /// Runs the event loop until `stop` is closed.
    pub fn run(self, stop: channel::Receiver<()>) {
        let executor = rc::Rc::new(LocalExecutor::new());
        let stopped = async {
            let _ = stop.recv().await;
        };
        let serving = self.serve(rc::Rc::clone(&executor));
        async_io::block_on(executor.run(future::or(stopped, serving)));
    }

    async fn serve(self, executor: rc::Rc<LocalExecutor<'static>>) {
        let queue = self.queue.clone();
        let mut state = self.start(&executor);
        while let Ok(event) = queue.recv().await {
            state.handle(event);
        }
    }

    /// Spawns the background tasks and creates the state.
    fn start(self, executor: &rc::Rc<LocalExecutor<'static>>) -> ControlState {
        let Self { shared, events, listener, datagrams, drained, .. } = self;
        let settings = &shared.settings;
        let codec = codec::MessageCodec::new(&settings.peer_secret);
        let limits = http::HttpLimits::builder()
            .head_timeout(PLATFORM_TIMEOUT)
            .body_idle_timeout(PLATFORM_TIMEOUT)
            .build();
        let pool = http::HttpPool::new(limits);
        let log = log::LogClient::new(pool.clone(), settings.log_address);
        let list = list::ListClient::new(pool.clone(), settings.list_address);
        let network = PeerNetwork::new(
            settings.instance.clone(),
            codec.clone(),
            rc::Rc::clone(executor),
            datagrams.clone(),
            sync::Arc::clone(&shared),
            events.clone(),
        );
        let (wakeups, wakeup_queue) = channel::bounded(1);
        let reader = rc::Rc::new(PeerListener { codec, events: events.clone() });
        let accepting = rc::Rc::clone(&reader).accept(listener, rc::Rc::clone(executor));
        executor.spawn(accepting).detach();
        executor.spawn(reader.receive(datagrams)).detach();
        executor.spawn(platform::poll_list(list, events.clone())).detach();
        let polling = platform::poll_members(log.clone(), events.clone(), wakeup_queue);
        executor.spawn(polling).detach();
        executor.spawn(tick(events.clone())).detach();
        let config_context = ConfigContext {
            executor: rc::Rc::clone(executor),
            network: network.clone(),
            log: log.clone(),
            events: events.clone(),
        };
        let context = MemberContext {
            executor: rc::Rc::clone(executor),
            network: network.clone(),
            log: log.clone(),
            events: events.clone(),
            wakeups,
        };
        let claim_shared = sync::Arc::clone(&shared);
        let claims = ClaimHost::new(claim_shared, rc::Rc::clone(executor), log, events.clone());
        let engines = EngineDispatcher::new(
            sync::Arc::clone(&shared),
            pool.clone(),
            rc::Rc::clone(executor),
            events,
        );
        ControlState {
            catalog: ConfigHost::new(sync::Arc::clone(&shared), config_context),
            claims,
            member: MemberHost::new(sync::Arc::clone(&shared), context),
            quota: QuotaHost::new(sync::Arc::clone(&shared)),
            placement: PlacementHost::new(sync::Arc::clone(&shared)),
            directory: InstanceDirectory::default(),
            contacts: ContactTable::default(),
            list_reachable: true,
            executor: rc::Rc::clone(executor),
            network,
            engines,
            drained,
            pool,
            reported_bytes: 0,
            ticks: 0,
            shared,
        }
    }
}

async fn tick(events: EventSender) {
    loop {
        async_io::Timer::after(TICK_INTERVAL).await;
        events.send(ControlEvent::Tick);
    }
}

//! A whole deployment embedded in this process.

use std::net;
use std::sync;
use std::thread;

use async_executor::Executor;
use coltsfoot_catalog::object;
use coltsfoot_fakes::{engine, list, log, service, store};
use coltsfoot_platform::{error, http, log as platform_log, protocol};
use coltsfoot_types::name;
use coltsfootd::{daemon, settings};

use crate::cluster;
use crate::sample;

/// Threads that run the stand-ins.
const FAKE_THREADS: usize = 2;
/// Stream of change sets.
const CONFIG_STREAM: &str = "config";

/// What an embedded deployment consists of.
#[derive(bon::Builder, Clone)]
pub struct EmbeddedOptions {
    /// Zones; each has one daemon.
    #[builder(default = vec!["rennes", "brest", "nantes"])]
    pub zones: Vec<&'static str>,
    /// Daemons of each zone.
    #[builder(default = 1)]
    pub daemons_per_zone: usize,
    /// Engines of each zone.
    #[builder(default = 2)]
    pub engines_per_zone: usize,
    /// Slots of each engine.
    #[builder(default = 8)]
    pub slots: u32,
    /// Requests that an engine runs at a time.
    #[builder(default = 16)]
    pub batch_size: u32,
    /// Timing and faults of the engines.
    #[builder(default)]
    pub engine_switches: engine::EngineSwitches,
    /// Timing and faults of the weight store.
    #[builder(default)]
    pub store_switches: store::StoreSwitches,
    /// Traffic threads of each daemon.
    #[builder(default = 2)]
    pub traffic_threads: usize,
    /// Further settings of the daemons.
    #[builder(default = serde_json::json!({}))]
    pub settings: serde_json::Value,
    /// Port of the first daemon for callers, 0 for one that the system gives.
    #[builder(default = 0)]
    pub caller_port: u16,
}

/// A running embedded deployment.
pub struct EmbeddedCluster {
    /// The log.
    pub log: log::FakeLog,
    /// The instance list.
    pub list: list::FakeList,
    /// The weight store.
    pub store: store::FakeStore,
    /// Engines.
    pub engines: Vec<engine::FakeEngine>,
    /// Plain services.
    pub services: Vec<service::FakeService>,
    /// Daemons.
    pub daemons: Vec<daemon::RunningDaemon>,
    options: EmbeddedOptions,
    executor: coltsfoot_fakes::SharedExecutor,
}

impl EmbeddedCluster {
    /// Starts everything; the configuration is empty.
    pub fn start(options: EmbeddedOptions) -> Result<Self, daemon::DaemonError> {
        let executor: coltsfoot_fakes::SharedExecutor = sync::Arc::new(Executor::new());
        for _ in 0..FAKE_THREADS {
            let executor = sync::Arc::clone(&executor);
            thread::spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())));
        }
        let store_options =
            store::StoreOptions::builder().switches(options.store_switches.clone()).build();
        let mut cluster = Self {
            log: log::FakeLog::start(&executor, log::LogOptions::builder().build())?,
            list: list::FakeList::start(&executor, list::ListOptions::builder().build())?,
            store: store::FakeStore::start(&executor, store_options)?,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            options,
            executor,
        };
        for (place, zone) in cluster.options.zones.clone().into_iter().enumerate() {
            cluster.start_upstreams(zone)?;
            for number in 0..cluster.options.daemons_per_zone {
                let is_first = place == 0 && number == 0;
                let port = if is_first { cluster.options.caller_port } else { 0 };
                cluster.start_daemon(zone, number, port)?;
            }
        }
        Ok(cluster)
    }

    /// Publishes objects as one change set.
    pub fn publish(&self, objects: Vec<object::CatalogObject>) -> Result<(), error::ClientError> {
        let changes = objects
            .into_iter()
            .map(|put| object::ObjectChange {
                revision: None,
                action: object::ChangeAction::Put(put),
            })
            .collect();
        let set = object::ChangeSet {
            change_id: uuid::Uuid::now_v7(),
            author: "demo".to_owned(),
            changes,
        };
        let value = serde_json::to_string(&set).expect("a change set is JSON");
        let pool = http::HttpPool::new(http::HttpLimits::default());
        let client = platform_log::LogClient::new(pool, self.log.address());
        async_io::block_on(client.append(CONFIG_STREAM, &[value]))?;
        Ok(())
    }

    /// Returns the addresses for callers.
    pub fn caller_addresses(&self) -> Vec<net::SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.caller_address).collect()
    }

    /// Waits until every daemon answers a model request.
    pub fn wait_until_serving(&self, caller: &crate::caller::HttpCaller, model: &str) {
        for address in self.caller_addresses() {
            cluster::wait_until("the instance serves", || {
                let answer = caller.chat(address, model, "are you there", 4);
                async_io::block_on(answer).is_ok_and(|answer| answer.status == 200)
            });
        }
    }

    fn start_upstreams(&mut self, zone: &'static str) -> Result<(), daemon::DaemonError> {
        for number in 0..self.options.engines_per_zone {
            let engine_options = engine::EngineOptions::builder()
                .slots(self.options.slots)
                .batch_size(self.options.batch_size)
                .store(self.store.address())
                .switches(self.options.engine_switches.clone())
                .build();
            let engine = engine::FakeEngine::start(&self.executor, engine_options)?;
            let listing = protocol::UpstreamListing {
                name: format!("engine-{zone}-{number}").into(),
                zone: zone.into(),
                address: engine.address(),
                leaving: false,
                role: protocol::UpstreamRole::Engine {
                    base_model: sample::BASE_MODEL.into(),
                    slots: self.options.slots,
                    batch_size: self.options.batch_size,
                    checks_fencing: self.options.engine_switches.checks_fencing,
                },
            };
            self.list.put_upstream(listing);
            self.engines.push(engine);
        }
        let options = service::ServiceOptions::builder().build();
        let service = service::FakeService::start(&self.executor, options)?;
        self.list.put_upstream(protocol::UpstreamListing {
            name: format!("bookings-{zone}").into(),
            zone: zone.into(),
            address: service.address(),
            leaving: false,
            role: protocol::UpstreamRole::Service { service: sample::SERVICE.into() },
        });
        self.services.push(service);
        Ok(())
    }

    fn start_daemon(
        &mut self,
        zone: &'static str,
        number: usize,
        port: u16,
    ) -> Result<(), daemon::DaemonError> {
        let instance: name::InstanceName = format!("entry-{zone}-{number}").into();
        let mut text = serde_json::json!({
            "instance": instance,
            "zone": zone,
            "fleet_zones": self.options.zones,
            "caller_address": net::SocketAddr::from(([127, 0, 0, 1], port)),
            "operator_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "peer_secret": "a secret for embedded use",
            "log_address": self.log.address(),
            "list_address": self.list.address(),
            "store_loads_per_second": self.options.store_switches.loads_per_second,
            "traffic_threads": self.options.traffic_threads,
        });
        cluster::merge_settings(&mut text, &self.options.settings);
        let settings = settings::DaemonSettings::parse(&text.to_string())
            .expect("the embedded settings are sound");
        let daemon = daemon::RunningDaemon::start(settings)?;
        self.list.put_entry(protocol::EntryListing {
            name: instance,
            zone: zone.into(),
            peer_address: daemon.peer_address,
            operator_address: daemon.operator_address,
            leaving: false,
        });
        self.daemons.push(daemon);
        Ok(())
    }
}

//! A whole deployment as separate processes: stand-ins of the platform, engines, a plain service
//! and one daemon a zone.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

use coltsfoot_catalog::object;
use coltsfoot_fakes::{engine, service};
use coltsfoot_platform::protocol;
use coltsfoot_types::name;
use http_types::Method;

use crate::caller::HttpCaller;
use crate::process::{RunningProgram, run};
use crate::sample;

/// Longest wait for a state that the deployment must reach.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time between two looks at the deployment.
const SETTLE_INTERVAL: time::Duration = time::Duration::from_millis(50);

static NEXT_DIRECTORY: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// What a deployment consists of.
#[derive(bon::Builder, Clone)]
pub struct ClusterOptions {
    /// Zones; each has its own daemons, engines and service process.
    #[builder(default = vec!["rennes", "brest", "nantes"])]
    pub zones: Vec<&'static str>,
    /// Daemons of each zone.
    #[builder(default = 1)]
    pub daemons_per_zone: usize,
    /// Engines of each zone.
    #[builder(default = 1)]
    pub engines_per_zone: usize,
    /// Slots of each engine.
    #[builder(default = 4)]
    pub slots: u32,
    /// Requests that an engine runs at a time.
    #[builder(default = 8)]
    pub batch_size: u32,
    /// Timing and faults of the engines.
    #[builder(default)]
    pub engine_switches: engine::EngineSwitches,
    /// Timing and faults of the plain services.
    #[builder(default)]
    pub service_switches: service::ServiceSwitches,
    /// Further settings of the daemons.
    #[builder(default = serde_json::json!({}))]
    pub settings: serde_json::Value,
}

/// A stand-in as a process.
pub struct RunningFake {
    /// The process.
    pub program: RunningProgram,
    /// Its address.
    pub address: net::SocketAddr,
}

impl RunningFake {
    fn start(kind: &str, arguments: &[String]) -> Self {
        let mut all = vec![kind.to_owned()];
        all.extend_from_slice(arguments);
        let mut program = RunningProgram::start("coltsfoot-fakes", &all);
        let line = program.read_line();
        let address = line.strip_prefix("listening on ").expect("the stand-in says its address");
        let address = address.parse().expect("the address is one");
        Self { program, address }
    }

    /// Replaces the given switches.
    pub fn switch(&self, switches: &serde_json::Value) {
        let caller = HttpCaller::new(None);
        let body = switches.to_string();
        let answer = caller.call(Method::Post, self.address, "/switches", &body);
        let answer = async_io::block_on(answer).expect("the stand-in answers");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Returns what the stand-in has counted.
    pub fn observations(&self) -> serde_json::Value {
        let caller = HttpCaller::new(None);
        let answer = caller.call(Method::Get, self.address, "/observations", "");
        async_io::block_on(answer).expect("the stand-in answers").json()
    }
}

/// An engine or service with its listing.
pub struct RunningUpstream {
    /// The stand-in.
    pub fake: RunningFake,
    /// Its listing.
    pub listing: protocol::UpstreamListing,
}

/// A daemon as a process.
pub struct RunningInstance {
    /// The process.
    pub program: RunningProgram,
    /// Its listing.
    pub listing: protocol::EntryListing,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
}

/// A running deployment.
pub struct ProcessCluster {
    /// What it was started with.
    pub options: ClusterOptions,
    /// The log.
    pub log: RunningFake,
    /// The instance list.
    pub list: RunningFake,
    /// The weight store.
    pub store: RunningFake,
    /// Engines and services.
    pub upstreams: Vec<RunningUpstream>,
    /// Daemons.
    pub instances: Vec<RunningInstance>,
    directory: path::PathBuf,
    started: usize,
}

impl ProcessCluster {
    /// Starts everything; the configuration is empty.
    pub fn start(options: ClusterOptions) -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, atomic::Ordering::Relaxed);
        let directory = env::temp_dir().join(format!("coltsfoot-{}-{number}", process::id()));
        fs::create_dir_all(&directory).expect("the directory is created");
        let mut cluster = Self {
            log: RunningFake::start("log", &[]),
            list: RunningFake::start("list", &[]),
            store: RunningFake::start(
                "store",
                &arguments(&["--switches", r#"{"loads_per_second":50.0,"load_ms":20}"#]),
            ),
            upstreams: Vec::new(),
            instances: Vec::new(),
            directory,
            started: 0,
            options,
        };
        for zone in cluster.options.zones.clone() {
            for _ in 0..cluster.options.engines_per_zone {
                cluster.start_engine(zone);
            }
            cluster.start_service(zone);
            for _ in 0..cluster.options.daemons_per_zone {
                cluster.start_instance(zone);
            }
        }
        cluster
    }

    /// Starts an engine in a zone and lists it.
    pub fn start_engine(&mut self, zone: &str) {
        let switches = serde_json::to_string(&self.options.engine_switches).expect("switches");
        let fake = RunningFake::start(
            "engine",
            &arguments(&[
                "--slots",
                &self.options.slots.to_string(),
                "--batch-size",
                &self.options.batch_size.to_string(),
                "--store",
                &self.store.address.to_string(),
                "--switches",
                &switches,
            ]),
        );
        let role = protocol::UpstreamRole::Engine {
            base_model: sample::BASE_MODEL.into(),
            slots: self.options.slots,
            batch_size: self.options.batch_size,
            checks_fencing: self.options.engine_switches.checks_fencing,
        };
        self.add_upstream("engine", zone, fake, role);
    }

    /// Starts a plain service in a zone and lists it.
    pub fn start_service(&mut self, zone: &str) {
        let switches = serde_json::to_string(&self.options.service_switches).expect("switches");
        let fake = RunningFake::start("service", &arguments(&["--switches", &switches]));
        let role = protocol::UpstreamRole::Service { service: sample::SERVICE.into() };
        self.add_upstream("service", zone, fake, role);
    }

    fn add_upstream(
        &mut self,
        kind: &str,
        zone: &str,
        fake: RunningFake,
        role: protocol::UpstreamRole,
    ) {
        let name = self.next_name(kind, zone);
        let listing = protocol::UpstreamListing {
            name: name.as_str().into(),
            zone: zone.into(),
            address: fake.address,
            leaving: false,
            role,
        };
        self.put("upstreams", &name, &listing);
        self.upstreams.push(RunningUpstream { fake, listing });
    }

    /// Starts a daemon in a zone and lists it. Returns its place in `instances`.
    pub fn start_instance(&mut self, zone: &str) -> usize {
        self.start_instance_with(zone, &serde_json::json!({}))
    }

    /// Starts a daemon with settings that differ from those of the others.
    pub fn start_instance_with(&mut self, zone: &str, differing: &serde_json::Value) -> usize {
        let name = self.next_name("entry", zone);
        let path = self.directory.join(format!("{name}.json"));
        let mut settings = self.instance_settings(&name, zone);
        replace_members(&mut settings, differing);
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let arguments = arguments(&["--settings", &path.to_string_lossy()]);
        let mut program = RunningProgram::start("coltsfootd", &arguments);
        let addresses: serde_json::Value =
            serde_json::from_str(&program.read_line()).expect("the daemon prints its addresses");
        let address = |key: &str| -> net::SocketAddr {
            addresses[key].as_str().and_then(|text| text.parse().ok()).expect("an address")
        };
        let listing = protocol::EntryListing {
            name: name.as_str().into(),
            zone: zone.into(),
            peer_address: address("peer_address"),
            operator_address: address("operator_address"),
            leaving: false,
        };
        self.put("entries", &name, &listing);
        let caller_address = address("caller_address");
        self.instances.push(RunningInstance { program, listing, caller_address });
        self.instances.len() - 1
    }

    fn instance_settings(&self, name: &str, zone: &str) -> serde_json::Value {
        let mut settings = serde_json::json!({
            "instance": name,
            "zone": zone,
            "fleet_zones": self.options.zones,
            "caller_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "peer_secret": "a secret for system tests",
            "log_address": self.log.address,
            "list_address": self.list.address,
            "store_loads_per_second": 50.0,
            "log_level": "error",
        });
        replace_members(&mut settings, &self.options.settings);
        settings
    }

    fn next_name(&mut self, kind: &str, zone: &str) -> String {
        self.started += 1;
        format!("{kind}-{zone}-{}", self.started)
    }

    fn put<T: serde::Serialize>(&self, kind: &str, name: &str, listing: &T) {
        let body = serde_json::to_string(listing).expect("the listing is JSON");
        let caller = HttpCaller::new(None);
        let path = format!("/instances/{kind}/{name}");
        let answer = caller.call(Method::Put, self.list.address, &path, &body);
        let answer = async_io::block_on(answer).expect("the list answers");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Lists an upstream as leaving.
    pub fn mark_leaving(&self, upstream: usize) {
        let mut listing = self.upstreams[upstream].listing.clone();
        listing.leaving = true;
        self.put("upstreams", listing.name.as_str(), &listing);
    }

    /// Takes an instance out of the list, as the platform does after it has ended.
    pub fn unlist_instance(&self, instance: &name::InstanceName) {
        let caller = HttpCaller::new(None);
        let path = format!("/instances/entries/{instance}");
        let answer = caller.call(Method::Delete, self.list.address, &path, "");
        async_io::block_on(answer).expect("the list answers");
    }

    /// Publishes changes with `coltsfootctl apply`. Returns exit code and output.
    pub fn apply(&self, changes: &[object::CatalogObject]) -> (Option<i32>, String) {
        let changes: Vec<_> =
            changes.iter().map(|put| serde_json::json!({ "action": { "put": put } })).collect();
        let set = serde_json::json!({ "author": "test", "changes": changes });
        let number = NEXT_DIRECTORY.fetch_add(1, atomic::Ordering::Relaxed);
        let path = self.directory.join(format!("change-{number}.json"));
        fs::write(&path, set.to_string()).expect("the change is written");
        self.control(&["apply", &path.to_string_lossy()])
    }

    /// Runs `coltsfootctl`. Returns exit code and output.
    pub fn control(&self, arguments_given: &[&str]) -> (Option<i32>, String) {
        let mut all = arguments(arguments_given);
        all.extend(arguments(&[
            "--log",
            &self.log.address.to_string(),
            "--list",
            &self.list.address.to_string(),
        ]));
        run("coltsfootctl", &all)
    }

    /// Waits until every running daemon is ready and has folded the log up to an offset.
    pub fn wait_for_offset(&self, offset: u64) {
        for instance in &self.instances {
            let address = instance.listing.operator_address;
            wait_until("the configuration is in force", || {
                status(address)
                    .is_some_and(|json| json["offset"].as_u64().is_some_and(|at| at >= offset))
            });
        }
    }

    /// Waits until a caller of every daemon gets an answer from a model.
    pub fn wait_until_serving(&self, caller: &HttpCaller, model: &str) {
        for instance in &self.instances {
            wait_until("the instance serves", || {
                let answer = caller.chat(instance.caller_address, model, "are you there", 4);
                async_io::block_on(answer).is_ok_and(|answer| answer.status == 200)
            });
        }
    }
}

impl Drop for ProcessCluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Replaces members of a settings object by further ones.
pub(crate) fn merge_settings(settings: &mut serde_json::Value, further: &serde_json::Value) {
    for (key, value) in further.as_object().into_iter().flatten() {
        settings[key] = value.clone();
    }
}

/// Returns the status of an instance, if it answers.
pub fn status(address: net::SocketAddr) -> Option<serde_json::Value> {
    let caller = HttpCaller::new(None);
    let answer = caller.call(Method::Get, address, "/status", "");
    async_io::block_on(answer).ok().map(|answer| answer.json())
}

/// Waits until a condition holds; fails the test if it does not within a minute.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + SETTLE_TIMEOUT;
    while !holds() {
        assert!(time::Instant::now() < deadline, "not reached in time: {what}");
        thread::sleep(SETTLE_INTERVAL);
    }
}

fn replace_members(settings: &mut serde_json::Value, differing: &serde_json::Value) {
    for (key, value) in differing.as_object().into_iter().flatten() {
        settings[key] = value.clone();
    }
}

fn arguments(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

//! Settings of the daemon, read from a JSON file and validated.

use std::fs;
use std::net;
use std::path;
use std::time;

use coltsfoot_types::name;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// Minimum length of `peer_secret`, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Minimum of `log_retention_ms`.
const MIN_LOG_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the instance; a restarted one needs a new name.
    pub instance: name::InstanceName,
    /// Availability zone that the instance runs in.
    pub zone: name::ZoneName,
    /// All availability zones of the fleet, the same on all instances; the load budget is divided
    /// among them.
    pub fleet_zones: Vec<name::ZoneName>,
    /// Address for callers, `IP:PORT`.
    pub caller_address: net::SocketAddr,
    /// Address for operators, `IP:PORT`.
    pub operator_address: net::SocketAddr,
    /// Address for other instances, `IP:PORT`; the same for TCP and UDP.
    pub peer_address: net::SocketAddr,
    /// Secret that authenticates messages between instances, the same on all of them.
    pub peer_secret: String,
    /// Address of the platform's log.
    pub log_address: net::SocketAddr,
    /// Address of the platform's instance list.
    pub list_address: net::SocketAddr,
    /// Number of groups that the zone's instances are divided into, the same on all of them; about
    /// one per nine instances.
    #[serde(default = "default_member_groups")]
    pub member_groups: u8,
    /// Number of threads that serve requests.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Maximum number of load orders in flight in the whole fleet.
    #[serde(default = "default_fleet_loads")]
    pub fleet_loads_in_flight: u32,
    /// Maximum rate of loads from the weight store, per second.
    #[serde(default = "default_store_rate")]
    pub store_loads_per_second: f64,
    /// Minimum time for which the platform's log retains records. Configuration snapshots are
    /// written before a quarter of it has passed; idempotency keys are valid for a little less than
    /// half of it.
    #[serde(default = "default_log_retention", rename = "log_retention_ms")]
    #[serde(with = "serde_with::As::<DurationMilliSeconds<u64>>")]
    pub log_retention: time::Duration,
    /// Time to wait for running requests in a graceful shutdown.
    #[serde(default = "default_drain_timeout", rename = "drain_timeout_ms")]
    #[serde(with = "serde_with::As::<DurationMilliSeconds<u64>>")]
    pub drain_timeout: time::Duration,
}

/// Limits on callers' connections and requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum memory of all connections and requests together, in bytes.
    pub max_memory_bytes: usize,
    /// Timeout from a request's first byte to its last.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "request_timeout_ms")]
    pub request_timeout: time::Duration,
    /// Timeout of a connection without a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms")]
    pub idle_timeout: time::Duration,
    /// Timeout for a caller to accept the next part of a response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "write_timeout_ms")]
    pub write_timeout: time::Duration,
}

impl CallerLimits {
    /// Returns the limits at the port for operators, whose requests have no bodies.
    pub fn for_operators() -> Self {
        Self {
            max_connections: 64,
            max_body_bytes: 1_024,
            max_memory_bytes: 16 * 1_024 * 1_024,
            ..Self::default()
        }
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_body_bytes: 256 * 1_024,
            max_memory_bytes: 160 * 1_024 * 1_024,
            request_timeout: time::Duration::from_secs(10),
            idle_timeout: time::Duration::from_secs(60),
            write_timeout: time::Duration::from_secs(20),
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Normal operation as well.
    #[default]
    Info,
    /// Details for debugging as well.
    Debug,
}

/// Reasons for rejecting a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("could not read {path}: {source}; name a readable JSON file")]
    Unreadable {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A key is unknown or missing, or a value has the wrong type or syntax.
    #[error("setting `{key}`: {problem}; see docs/operators/settings.md")]
    Malformed {
        /// Path of the key.
        key: String,
        /// Error of the parser, with the value.
        problem: String,
    },
    /// A value is out of range.
    #[error("setting `{key}` is {value}; {remedy}")]
    OutOfBounds {
        /// Path of the key.
        key: &'static str,
        /// Formatted value.
        value: String,
        /// How to correct it.
        remedy: &'static str,
    },
}

impl DaemonSettings {
    /// Reads and validates a settings file.
    pub fn read(path: &path::Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&text)
    }

    /// Parses and validates the JSON text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                SettingsError::Malformed {
                    key: error.path().to_string(),
                    problem: error.inner().to_string(),
                }
            })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let limits = &self.limits;
        let checks = [
            Check {
                key: "instance",
                value: self.instance.to_string(),
                is_valid: !self.instance.as_str().is_empty(),
                remedy: "give the instance a name of its own",
            },
            Check {
                key: "zone",
                value: self.zone.to_string(),
                is_valid: !self.zone.as_str().is_empty(),
                remedy: "name the availability zone",
            },
            Check {
                key: "fleet_zones",
                value: format!("{:?}", self.fleet_zones),
                is_valid: self.fleet_zones.contains(&self.zone),
                remedy: "list all zones of the fleet, this instance's among them",
            },
            Check {
                key: "peer_secret",
                value: format!("{} bytes long", self.peer_secret.len()),
                is_valid: self.peer_secret.len() >= MIN_SECRET_BYTES,
                remedy: "use at least 16 bytes, the same on all instances",
            },
            Check {
                key: "member_groups",
                value: self.member_groups.to_string(),
                is_valid: self.member_groups > 0,
                remedy: "use at least 1",
            },
            Check {
                key: "traffic_threads",
                value: self.traffic_threads.to_string(),
                is_valid: (1..=64).contains(&self.traffic_threads),
                remedy: "use 1 to 64",
            },
            Check {
                key: "fleet_loads_in_flight",
                value: self.fleet_loads_in_flight.to_string(),
                is_valid: self.fleet_loads_in_flight > 0,
                remedy: "use at least 1",
            },
            Check {
                key: "store_loads_per_second",
                value: self.store_loads_per_second.to_string(),
                is_valid: self.store_loads_per_second > 0.0,
                remedy: "use the weight store's rate, above 0",
            },
            Check {
                key: "log_retention_ms",
                value: self.log_retention.as_millis().to_string(),
                is_valid: self.log_retention >= MIN_LOG_RETENTION,
                remedy: "use at least 10000, and no more than the log really keeps",
            },
            Check {
                key: "limits.max_connections",
                value: limits.max_connections.to_string(),
                is_valid: limits.max_connections > 0,
                remedy: "use at least 1",
            },
            Check {
                key: "limits.max_body_bytes",
                value: limits.max_body_bytes.to_string(),
                is_valid: (1_024..=16 * 1_024 * 1_024).contains(&limits.max_body_bytes),
                remedy: "use 1024 to 16777216",
            },
            Check {
                key: "limits.max_memory_bytes",
                value: limits.max_memory_bytes.to_string(),
                is_valid: limits.max_memory_bytes >= limits.max_body_bytes,
                remedy: "use at least limits.max_body_bytes",
            },
            Check {
                key: "limits.request_timeout_ms",
                value: limits.request_timeout.as_millis().to_string(),
                is_valid: !limits.request_timeout.is_zero(),
                remedy: "use at least 1",
            },
        ];
        match checks.into_iter().find(|check| !check.is_valid) {
            None => Ok(()),
            Some(Check { key, value, remedy, .. }) => {
                Err(SettingsError::OutOfBounds { key, value, remedy })
            }
        }
    }
}

/// Result of validating one setting.
struct Check {
    key: &'static str,
    value: String,
    is_valid: bool,
    remedy: &'static str,
}

fn default_member_groups() -> u8 {
    1
}

fn default_traffic_threads() -> usize {
    2
}

fn default_fleet_loads() -> u32 {
    8
}

fn default_store_rate() -> f64 {
    3.0
}

fn default_log_retention() -> time::Duration {
    time::Duration::from_secs(30 * 60)
}

fn default_drain_timeout() -> time::Duration {
    time::Duration::from_secs(30)
}

//! Parses the daemon's command line and runs it.

use std::path;
use std::process;

use lexopt::ValueExt as _;

use coltsfootd::{daemon, gateway, logs, settings};
use site_platform::settings as site_settings;

const HELP: &str = "\
Serve callers as one entry instance.

Usage: coltsfootd --settings FILE.json [--check-settings]
       coltsfootd --platform [--metrics-port PORT] [--check-settings]

Options:
  --settings FILE     Settings of the instance; see docs/operators/settings.md
  --platform          Forward whole requests on the users' platform, which writes the settings;
                      see docs/operators/platform.md
  --metrics-port PORT  Port of the metrics on the platform (9464)
  --check-settings    Check the settings and exit
  --help              Print this help
  --version           Print the version

Exit codes: 0 graceful shutdown or valid settings, 1 failed to start, 2 invalid command line or settings

Examples:
  coltsfootd --settings /etc/coltsfoot/rennes-1.json
  coltsfootd --settings rennes-1.json --check-settings
";

/// Exit code after an invalid command line or invalid settings.
const USAGE_EXIT: u8 = 2;
/// Exit code of a daemon that failed to start.
const FAILURE_EXIT: u8 = 1;

/// An error that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line could not be parsed.
    #[error("{0}; see `coltsfootd --help`")]
    Usage(#[from] lexopt::Error),
    /// Neither `--settings` nor `--platform` was given.
    #[error("no settings; give `--settings FILE.json`")]
    NoSettings,
    /// The settings could not be read or are invalid.
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    /// The settings that the platform writes could not be read or are invalid.
    #[error(transparent)]
    Site(#[from] site_settings::SettingsError),
    /// The daemon failed to start.
    #[error(transparent)]
    Daemon(#[from] daemon::DaemonError),
    /// The gateway failed to start.
    #[error(transparent)]
    Gateway(#[from] gateway::GatewayError),
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Daemon(_) | Self::Gateway(_) => FAILURE_EXIT,
            _ => USAGE_EXIT,
        }
    }
}

struct CommandLine {
    settings: Option<path::PathBuf>,
    is_on_platform: bool,
    metrics_port: u16,
    check_only: bool,
}

/// Parses the command line and runs the daemon until it is stopped by a signal.
pub fn run() -> Result<process::ExitCode, CommandError> {
    let Some(line) = parse()? else { return Ok(process::ExitCode::SUCCESS) };
    if line.is_on_platform {
        return run_on_platform(line.metrics_port, line.check_only);
    }
    let path = line.settings.ok_or(CommandError::NoSettings)?;
    let settings = settings::DaemonSettings::read(&path)?;
    if line.check_only {
        println!("{}: the settings are sound", path.display());
        return Ok(process::ExitCode::SUCCESS);
    }
    logs::start(settings.log_format, settings.log_level);
    daemon::run_until_signal(settings)?;
    Ok(process::ExitCode::SUCCESS)
}

fn run_on_platform(metrics_port: u16, check_only: bool) -> Result<process::ExitCode, CommandError> {
    let settings = site_settings::SiteSettings::read()?;
    if check_only {
        println!("{}: the settings are sound", settings.instance);
        return Ok(process::ExitCode::SUCCESS);
    }
    logs::start_bounded(settings::LogLevel::Info);
    gateway::run_until_signal(settings, metrics_port)?;
    Ok(process::ExitCode::SUCCESS)
}

fn parse() -> Result<Option<CommandLine>, lexopt::Error> {
    let mut line = CommandLine {
        settings: None,
        is_on_platform: false,
        metrics_port: gateway::DEFAULT_METRICS_PORT,
        check_only: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("settings") => line.settings = Some(parser.value()?.into()),
            lexopt::Arg::Long("platform") => line.is_on_platform = true,
            lexopt::Arg::Long("metrics-port") => line.metrics_port = parser.value()?.parse()?,
            lexopt::Arg::Long("check-settings") => line.check_only = true,
            lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            lexopt::Arg::Long("version") => {
                println!("coltsfootd {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(line))
}

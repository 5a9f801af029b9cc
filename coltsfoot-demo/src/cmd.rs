//! Command line of the demo.

use std::time;

use coltsfootd::{daemon, logs, settings};

use crate::{deployment, report, workload};

const HELP: &str = "\
Run a complete deployment in one process and send it a mixed workload.

Usage: coltsfoot-demo [--seconds N] [--seed N] [--serve] [--port N]

Options:
  --seconds N   Length of the workload, 10 if absent
  --seed N      Seed of the workload, 1 if absent
  --serve       Send no workload; keep the deployment running and print a curl command
  --port N      Port of the first daemon with --serve, 8080 if absent
  --help        Print this help

Examples:
  cargo run --release -p coltsfoot-demo
  cargo run --release -p coltsfoot-demo -- --serve
";

/// Port of the first daemon with `--serve`.
const DEFAULT_PORT: u16 = 8080;

/// Error that ends the demo.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// Invalid command line.
    #[error("{0}; see `coltsfoot-demo --help`")]
    Usage(#[from] lexopt::Error),
    /// A daemon or fake could not be started.
    #[error(transparent)]
    Daemon(#[from] daemon::DaemonError),
    /// The sample configuration could not be published; holds the cause.
    #[error("could not publish the sample configuration: {0}")]
    Publish(String),
}

struct DemoOptions {
    seconds: u64,
    seed: u64,
    serve: bool,
    port: u16,
}

/// Parses the command line and runs the demo.
pub fn run() -> Result<(), DemoError> {
    let Some(options) = parse()? else { return Ok(()) };
    logs::start(settings::LogFormat::Text, settings::LogLevel::Error);
    let port = if options.serve { options.port } else { 0 };
    let deployment = deployment::start(port)?;
    if options.serve {
        deployment::print_curl(&deployment);
        loop {
            std::thread::park();
        }
    }
    let length = time::Duration::from_secs(options.seconds);
    let outcome = workload::run(&deployment, length, options.seed);
    report::print(&deployment, &outcome);
    Ok(())
}

fn parse() -> Result<Option<DemoOptions>, lexopt::Error> {
    use lexopt::ValueExt as _;
    let mut options = DemoOptions { seconds: 10, seed: 1, serve: false, port: DEFAULT_PORT };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("serve") => options.serve = true,
            lexopt::Arg::Long("port") => options.port = parser.value()?.parse()?,
            lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(options))
}

//! Command line of `coltsfoot-fakes`.

use std::io;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;

use coltsfoot_fakes::{SharedExecutor, engine, list, log, service, store};
use lexopt::ValueExt as _;
use serde::de;

/// Threads that run the executor.
const EXECUTOR_THREADS: usize = 2;

const USAGE: &str = "\
Usage: coltsfoot-fakes engine|log|store|list|service [OPTIONS]

Runs a fake and prints `listening on IP:PORT`.

Options:
  --listen IP:PORT   address, 127.0.0.1:0 if absent
  --switches JSON    timing and faults, as for POST /switches
  --slots N          engine: most adapters loaded at a time
  --batch-size N     engine: most requests run at a time
  --store IP:PORT    engine: weight store to load adapters from
  --resident A@N     engine: adapter that is resident from the start; may be repeated
  --upstreams JSON   list: upstreams listed from the start
  --seed N           seed of random faults

Examples:
  coltsfoot-fakes log --switches '{\"retention_ms\":60000}'
  coltsfoot-fakes engine --slots 4 --store 127.0.0.1:7003
";

/// Error that prevents a fake from starting.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Invalid command line.
    #[error("{0}; see `coltsfoot-fakes --help`")]
    Usage(#[from] lexopt::Error),
    /// Invalid JSON in an option.
    #[error("option --{option}: {source}; see docs/FAKES.md")]
    Json {
        /// Option without its leading dashes.
        option: &'static str,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The address could not be bound.
    #[error("could not listen: {0}; choose another --listen")]
    Listen(#[from] io::Error),
    /// No fake was named, or an unknown one.
    #[error("name one of engine, log, store, list or service; see `coltsfoot-fakes --help`")]
    MissingCommand,
}

#[derive(Default)]
struct CommandOptions {
    kind: Option<String>,
    listen: Option<net::SocketAddr>,
    switches: Option<String>,
    slots: Option<u32>,
    batch_size: Option<u32>,
    store: Option<net::SocketAddr>,
    resident: Vec<coltsfoot_types::adapter::AdapterVersion>,
    upstreams: Option<String>,
    seed: Option<u64>,
}

/// Parses the command line and runs the fake until the process is killed.
pub fn run() -> Result<(), CommandError> {
    let Some(options) = parse()? else {
        print!("{USAGE}");
        return Ok(());
    };
    let executor = SharedExecutor::default();
    match options.kind.as_deref() {
        Some("engine") => run_engine(&executor, options),
        Some("log") => run_log(&executor, options),
        Some("store") => run_store(&executor, options),
        Some("list") => run_list(&executor, options),
        Some("service") => run_service(&executor, options),
        _ => Err(CommandError::MissingCommand),
    }
}

fn parse() -> Result<Option<CommandOptions>, lexopt::Error> {
    let mut options = CommandOptions::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("listen") => options.listen = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("switches") => options.switches = Some(parser.value()?.string()?),
            lexopt::Arg::Long("slots") => options.slots = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("batch-size") => options.batch_size = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("store") => options.store = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("resident") => options.resident.push(parser.value()?.parse()?),
            lexopt::Arg::Long("upstreams") => options.upstreams = Some(parser.value()?.string()?),
            lexopt::Arg::Long("seed") => options.seed = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("help") => return Ok(None),
            lexopt::Arg::Value(value) if options.kind.is_none() => {
                options.kind = Some(value.string()?);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(options))
}

fn run_engine(executor: &SharedExecutor, options: CommandOptions) -> Result<(), CommandError> {
    let engine_options = engine::EngineOptions::builder()
        .maybe_listen(options.listen)
        .maybe_slots(options.slots)
        .maybe_batch_size(options.batch_size)
        .maybe_store(options.store)
        .resident(options.resident)
        .maybe_seed(options.seed)
        .maybe_switches(parse_json("switches", options.switches)?)
        .build();
    let engine = engine::FakeEngine::start(executor, engine_options)?;
    serve(executor, engine.address())
}

fn run_log(executor: &SharedExecutor, options: CommandOptions) -> Result<(), CommandError> {
    let log_options = log::LogOptions::builder()
        .maybe_listen(options.listen)
        .maybe_seed(options.seed)
        .maybe_switches(parse_json("switches", options.switches)?)
        .build();
    let log = log::FakeLog::start(executor, log_options)?;
    serve(executor, log.address())
}

fn run_store(executor: &SharedExecutor, options: CommandOptions) -> Result<(), CommandError> {
    let store_options = store::StoreOptions::builder()
        .maybe_listen(options.listen)
        .maybe_switches(parse_json("switches", options.switches)?)
        .build();
    let store = store::FakeStore::start(executor, store_options)?;
    serve(executor, store.address())
}

fn run_list(executor: &SharedExecutor, options: CommandOptions) -> Result<(), CommandError> {
    let list_options = list::ListOptions::builder()
        .maybe_listen(options.listen)
        .maybe_upstreams(parse_json("upstreams", options.upstreams)?)
        .maybe_switches(parse_json("switches", options.switches)?)
        .build();
    let list = list::FakeList::start(executor, list_options)?;
    serve(executor, list.address())
}

fn run_service(executor: &SharedExecutor, options: CommandOptions) -> Result<(), CommandError> {
    let service_options = service::ServiceOptions::builder()
        .maybe_listen(options.listen)
        .maybe_switches(parse_json("switches", options.switches)?)
        .build();
    let service = service::FakeService::start(executor, service_options)?;
    serve(executor, service.address())
}

fn parse_json<T: de::DeserializeOwned>(
    option: &'static str,
    text: Option<String>,
) -> Result<Option<T>, CommandError> {
    let parsed = text.map(|text| serde_json::from_str(&text)).transpose();
    parsed.map_err(|source| CommandError::Json { option, source })
}

fn serve(executor: &SharedExecutor, address: net::SocketAddr) -> Result<(), CommandError> {
    println!("listening on {address}");
    io::stdout().flush()?;
    for _ in 1..EXECUTOR_THREADS {
        let executor = sync::Arc::clone(executor);
        thread::spawn(move || run_forever(&executor));
    }
    run_forever(executor);
    Ok(())
}

fn run_forever(executor: &SharedExecutor) {
    futures_lite::future::block_on(executor.run(futures_lite::future::pending::<()>()));
}

//! Subcommands; each prints a table and, as its last line, one line of JSON.

mod burst;
mod config;
mod control;
mod fairness;
mod limits;
mod member;
mod once;
mod placement;
mod placement_sweep;
mod quota;
mod retries;
mod whole_path;

use std::path;

use lexopt::ValueExt as _;

/// A subcommand.
struct MeasureCommand {
    name: &'static str,
    run: fn(&MeasureOptions) -> Result<(), MeasureError>,
}

/// All subcommands.
const COMMANDS: &[MeasureCommand] = &[
    MeasureCommand { name: "burst", run: burst::run },
    MeasureCommand { name: "config", run: config::run },
    MeasureCommand { name: "fairness", run: fairness::run },
    MeasureCommand { name: "control", run: control::run },
    MeasureCommand { name: "limits", run: limits::run },
    MeasureCommand { name: "member", run: member::run },
    MeasureCommand { name: "once", run: once::run },
    MeasureCommand { name: "path", run: whole_path::run },
    MeasureCommand { name: "placement", run: placement::run },
    MeasureCommand { name: "placement-sweep", run: placement_sweep::run },
    MeasureCommand { name: "quota", run: quota::run },
    MeasureCommand { name: "retries", run: retries::run },
];

/// An error that ends a measure.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The command line can't be understood.
    #[error("{0}; see `coltsfoot-measure --help`")]
    Usage(#[from] lexopt::Error),
    /// No subcommand of that name.
    #[error("no measure is called \"{0}\"; see `coltsfoot-measure --help`")]
    UnknownCommand(String),
    /// No case of that name.
    #[error("no case is called \"{0}\"; see the measure's page in docs/design")]
    UnknownCase(String),
    /// A result misses what must always hold.
    #[error("{0}; run the named seed alone to see it")]
    Violated(String),
    /// A workload file can't be read.
    #[error("could not read {path}: {source}; name a readable JSON file")]
    #[allow(dead_code)]
    Workload {
        /// The file.
        path: path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
}

/// Options that all measures share.
#[derive(Debug)]
#[allow(dead_code)]
pub struct MeasureOptions {
    /// Seed of all randomness.
    pub seed: u64,
    /// Workload file, for measures that have one.
    pub workload: Option<path::PathBuf>,
    /// Variant of the measure, for those that have several.
    pub case: Option<String>,
}

/// Parses the command line and runs the subcommand.
pub fn run() -> Result<(), MeasureError> {
    let mut options = MeasureOptions { seed: 1, workload: None, case: None };
    let mut command = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("workload") => options.workload = Some(parser.value()?.into()),
            lexopt::Arg::Long("case") => options.case = Some(parser.value()?.string()?),
            lexopt::Arg::Long("help") => {
                print_help();
                return Ok(());
            }
            lexopt::Arg::Value(value) if command.is_none() => command = Some(value.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let Some(command) = command else {
        print_help();
        return Ok(());
    };
    let found = COMMANDS.iter().find(|candidate| candidate.name == command);
    let command = found.ok_or(MeasureError::UnknownCommand(command))?;
    (command.run)(&options)
}

fn print_help() {
    println!("Usage: coltsfoot-measure COMMAND [--seed N] [--workload FILE.json] [--case NAME]");
    println!("Commands:");
    for command in COMMANDS {
        println!("  {}", command.name);
    }
}

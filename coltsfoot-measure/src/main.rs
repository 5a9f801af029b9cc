//! `coltsfoot-measure`: measures the decisions and the path, one subcommand a measure.

mod cmd;
mod config;
mod once;
mod placement;
mod retries;

use std::process;

fn main() -> process::ExitCode {
    match cmd::run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfoot-measure: {error}");
            process::ExitCode::FAILURE
        }
    }
}

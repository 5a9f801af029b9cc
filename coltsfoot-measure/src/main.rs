//! `coltsfoot-measure`: measures the decisions and the path, one subcommand a measure.

mod cmd;
mod quota_reference;
mod quota_run;
mod quota_workload;
// The tests of `coltsfoot-quota` use the rest.
mod config;
mod once;
mod placement;
mod retries;
#[allow(dead_code)]
mod virtual_fleet;

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
